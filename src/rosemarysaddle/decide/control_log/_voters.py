"""Voters of the control log, as its entries record them."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Final

import attrs

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from rosemarysaddle.schema import LogEntry

__all__ = ("MEMBERS", "VoterHistory", "join_voters", "split_voters")

# Kind of the log entry that sets the voters.
MEMBERS: Final = "members"


def join_voters(voters: Iterable[str]) -> str:
    """Serialize the names of voters."""
    return ",".join(voters)


def split_voters(text: str) -> tuple[str, ...]:
    """Parse serialized names of voters."""
    return tuple(text.split(",")) if text else ()


@attrs.define(kw_only=True)
class VoterHistory:
    """Voter sets by the log index that introduced each of them.

    A set takes effect as soon as its entry is held, committed or not,
    so that majorities of two consecutive sets always overlap.

    :param base: voters in force before the first held entry
    """

    base: tuple[str, ...]
    _voter_sets: list[tuple[int, tuple[str, ...]]] = attrs.field(factory=list)

    @property
    def current(self) -> tuple[str, ...]:
        """Voters in force now."""
        return self._voter_sets[-1][1] if self._voter_sets else self.base

    @property
    def changed_index(self) -> int:
        """Index of the newest change held, or 0."""
        return self._voter_sets[-1][0] if self._voter_sets else 0

    def record(self, entries: Sequence[LogEntry]) -> None:
        """Record the voter sets of new entries.

        They replace the sets from the index of the first entry on.
        """
        if entries:
            self.truncate(entries[0].index)
        for entry in entries:
            if entry.kind == MEMBERS:
                voters = tuple(json.loads(entry.payload)["voters"])
                self._voter_sets.append((entry.index, voters))

    def truncate(self, first_index: int) -> None:
        """Drop the sets from an index on."""
        self._voter_sets = [s for s in self._voter_sets if s[0] < first_index]

    def voters_at(self, index: int) -> tuple[str, ...]:
        """Return the voters in force at an index."""
        found = self.base
        for set_index, voters in self._voter_sets:
            if set_index <= index:
                found = voters
        return found

    def compact(self, index: int) -> None:
        """Merge the sets up to an index into the base."""
        self.base = self.voters_at(index)
        self._voter_sets = [s for s in self._voter_sets if s[0] > index]

    def load(self, index: int, voters: tuple[str, ...]) -> None:
        """Load the voters of a snapshot up to an index."""
        self.base = voters
        self._voter_sets = [s for s in self._voter_sets if s[0] > index]
