"""Count of the entry hosts that share the targets' connections.

The count is recorded in the control log.  Otherwise, after a restart of
all hosts, the first ones up would take the connections of the others.
"""

from __future__ import annotations

from typing import Final

import attrs

from rosemarysaddle.decide._times import NS_PER_MS

__all__ = ("EntryHostCounter",)

GROW_INTERVAL_MS: Final = 500
# Longer than a host is down for a restart or a repair.
SHRINK_WINDOW_MS: Final = 60_000


@attrs.define(kw_only=True)
class EntryHostCounter:
    """Decides when the recorded count has to change."""

    _propose_at_ns: int = attrs.field(default=0, init=False)
    _peak: int = attrs.field(default=0, init=False)
    _shrink_at_ns: int = attrs.field(default=0, init=False)

    def on_elected(self, now_ns: int) -> None:
        """Reset the state when this host is elected leader."""
        self._propose_at_ns = now_ns
        self._start_window(now_ns)

    def count(self, *, recorded: int, present: int, now_ns: int) -> int:
        """Compute the count to record.

        It grows at most once per interval, and shrinks to the peak of
        the last window.

        :param recorded: count recorded so far
        :param present: number of entry hosts that hold a lease now
        :param now_ns: time of the decision, in nanoseconds
        :return: the new count, or the recorded one if it stays
        """
        self._peak = max(self._peak, present)
        if present > recorded and now_ns >= self._propose_at_ns:
            self._propose_at_ns = now_ns + GROW_INTERVAL_MS * NS_PER_MS
            return present
        if now_ns < self._shrink_at_ns:
            return recorded
        peak = self._peak
        self._start_window(now_ns)
        return min(recorded, peak) if peak else recorded

    def _start_window(self, now_ns: int) -> None:
        self._peak = 0
        self._shrink_at_ns = now_ns + SHRINK_WINDOW_MS * NS_PER_MS
