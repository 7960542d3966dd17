"""In-memory entries of the control log after its last snapshot."""

from __future__ import annotations

import bisect
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Sequence

    from rosemarysaddle.schema import LogEntry

__all__ = ("EntryStore",)


@attrs.define(kw_only=True)
class EntryStore:
    """Entries by index, on top of a snapshot.

    :param base_index: last index that the snapshot covers
    :param base_term: term of the entry at that index
    :param base_state: serialized state of the snapshot
    """

    base_index: int
    base_term: int
    base_state: str
    _entries: list[LogEntry]

    @property
    def last_index(self) -> int:
        """Index of the last entry held."""
        return self.base_index + len(self._entries)

    @property
    def held(self) -> int:
        """Number of entries held after the snapshot."""
        return len(self._entries)

    @property
    def held_chars(self) -> int:
        """Characters of the payloads held after the snapshot."""
        return sum(len(entry.payload) for entry in self._entries)

    def term_at(self, index: int) -> int:
        """Return the term of the entry at a held index."""
        if index == self.base_index:
            return self.base_term
        return self._entries[index - self.base_index - 1].term

    def last_index_up_to(self, index: int, term: int) -> int:
        """Find the last entry up to an index with at most a given term.

        :return: its index, or the last one that the snapshot covers
        """
        held = max(0, index - self.base_index)
        found = bisect.bisect_right(
            self._entries, term, hi=min(held, self.held), key=_term_of
        )
        return self.base_index + found

    def between(self, first: int, last: int) -> list[LogEntry]:
        """List the entries from one index to another, inclusive."""
        return self._entries[
            first - self.base_index - 1 : last - self.base_index
        ]

    def append(self, entry: LogEntry) -> None:
        """Append an entry after the last one."""
        self._entries.append(entry)

    def merge(self, entries: Sequence[LogEntry]) -> tuple[LogEntry, ...]:
        """Append entries of a leader, replacing conflicting ones.

        :return: the entries that were not held before
        """
        number = 0
        while number < len(entries) and self.holds(
            entries[number].index, entries[number].term
        ):
            number += 1
        added = tuple(entries[number:])
        if added:
            del self._entries[added[0].index - self.base_index - 1 :]
            self._entries.extend(added)
        return added

    def holds(self, index: int, term: int) -> bool:
        """Tell whether an entry is held, or covered by the snapshot."""
        if index <= self.base_index:
            return True
        return index <= self.last_index and self.term_at(index) == term

    def compact(self, index: int, state: str) -> None:
        """Replace the entries up to an index with a snapshot."""
        term = self.term_at(index)
        del self._entries[: index - self.base_index]
        self.base_index = index
        self.base_term = term
        self.base_state = state

    def load(self, index: int, term: int, state: str) -> None:
        """Install a leader's snapshot and keep what follows it."""
        follows = index <= self.last_index and self.holds(index, term)
        skipped = index - self.base_index
        self._entries = self._entries[skipped:] if follows else []
        self.base_index = index
        self.base_term = term
        self.base_state = state


def _term_of(entry: LogEntry) -> int:
    return entry.term
