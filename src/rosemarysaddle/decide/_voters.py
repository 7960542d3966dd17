"""Voters of the control log as the log itself records them."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Final

import attrs

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from rosemarysaddle.schema import LogEntry

__all__ = ("MEMBERS", "VoterHistory", "join_voters", "split_voters")

MEMBERS: Final = "members"


def join_voters(voters: Iterable[str]) -> str:
    """Render names of voters as one text."""
    return ",".join(voters)


def split_voters(text: str) -> tuple[str, ...]:
    """Read names of voters from one text."""
    return tuple(text.split(",")) if text else ()


@attrs.define(kw_only=True)
class VoterHistory:
    """Sets of voters by the index at which each was set.

    A set counts from the moment its entry is held, committed or not, so
    that two majorities of neighbouring sets always share a voter.

    :param base: voters at the start of the held entries
    """

    base: tuple[str, ...]
    _voter_sets: list[tuple[int, tuple[str, ...]]] = attrs.field(factory=list)

    @property
    def current(self) -> tuple[str, ...]:
        """Voters that count now."""
        return self._voter_sets[-1][1] if self._voter_sets else self.base

    @property
    def changed_index(self) -> int:
        """Index of the newest change that is held, or 0."""
        return self._voter_sets[-1][0] if self._voter_sets else 0

    def record(self, entries: Sequence[LogEntry]) -> None:
        """Take over entries that replace all from the first one on."""
        if entries:
            self.truncate(entries[0].index)
        for entry in entries:
            if entry.kind == MEMBERS:
                voters = tuple(json.loads(entry.payload)["voters"])
                self._voter_sets.append((entry.index, voters))

    def truncate(self, first_index: int) -> None:
        """Forget the sets from an index on."""
        self._voter_sets = [s for s in self._voter_sets if s[0] < first_index]

    def voters_at(self, index: int) -> tuple[str, ...]:
        """Voters that the entries up to an index set."""
        found = self.base
        for set_index, voters in self._voter_sets:
            if set_index <= index:
                found = voters
        return found

    def compact(self, index: int) -> None:
        """Keep the sets after an index on top of the one in force."""
        self.base = self.voters_at(index)
        self._voter_sets = [s for s in self._voter_sets if s[0] > index]

    def load(self, index: int, voters: tuple[str, ...]) -> None:
        """Take over the voters of a snapshot."""
        self.base = voters
        self._voter_sets = [s for s in self._voter_sets if s[0] > index]
