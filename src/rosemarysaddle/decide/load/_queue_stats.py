"""Counts of the requests that waited or were refused."""

from __future__ import annotations

import collections
from typing import Final

import attrs

from rosemarysaddle._durations import DurationHistogram
from rosemarysaddle.decide._times import NS_PER_MS

__all__ = (
    "MAX_PRIORITY_LABEL",
    "QUEUE_WAIT_BOUNDS_MS",
    "QueueStats",
    "retry_after",
)

# Up to half of the longest time-out of a statement (2,000 ms).
QUEUE_WAIT_BOUNDS_MS: Final = (1, 5, 10, 20, 50, 100, 200, 400, 1_000)
# Bounds the number of label values, as plans choose the priorities.
MAX_PRIORITY_LABEL: Final = 7
MIN_RETRY_AFTER_MS: Final = 10
# An estimate for a target that hangs grows without bound, while the
# target may be replaced within a second.
MAX_RETRY_AFTER_MS: Final = 2_000


def retry_after(expected_wait_ns: int) -> int:
    """Return the time after which a refused request may succeed.

    By then, the requests that are ahead now have been served.

    :return: the time from now, in milliseconds
    """
    wait_ms = -(-expected_wait_ns // NS_PER_MS)
    return max(MIN_RETRY_AFTER_MS, min(MAX_RETRY_AFTER_MS, wait_ms))


@attrs.define(kw_only=True)
class QueueStats:
    """Waits and refusals of one queue, by priority.

    Priorities above ``MAX_PRIORITY_LABEL`` are counted as that one.

    :param refused: number of refusals by priority and reason
    :param waits: waits of each priority
    """

    refused: collections.Counter[tuple[int, str]] = attrs.field(
        factory=collections.Counter, init=False
    )
    waits: dict[int, DurationHistogram] = attrs.field(factory=dict, init=False)

    def record_refused(self, priority: int, reason: str) -> None:
        """Record one refusal."""
        self.refused[min(priority, MAX_PRIORITY_LABEL), reason] += 1

    def record_wait(self, priority: int, wait_ns: int) -> None:
        """Record the end of one wait, with or without a connection.

        :param wait_ns: time from the request to its end
        """
        label = min(priority, MAX_PRIORITY_LABEL)
        self._waits_of(label).record(wait_ns)

    def add(self, other: QueueStats) -> None:
        """Add the waits and refusals of another queue."""
        self.refused.update(other.refused)
        for label, waits in other.waits.items():
            self._waits_of(label).add(waits)

    def _waits_of(self, label: int) -> DurationHistogram:
        waits = self.waits.get(label)
        if waits is None:
            waits = DurationHistogram(bounds_ms=QUEUE_WAIT_BOUNDS_MS)
            self.waits[label] = waits
        return waits
