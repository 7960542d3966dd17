"""Counts of the requests that waited or were refused."""

from __future__ import annotations

import bisect
import collections
from typing import Final

import attrs

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
    :param waits: for each priority, the number of waits by upper bound
        (``QUEUE_WAIT_BOUNDS_MS``, then longer ones)
    :param wait_sums_ns: sum of the waits of each priority
    """

    refused: collections.Counter[tuple[int, str]] = attrs.field(
        factory=collections.Counter, init=False
    )
    waits: dict[int, list[int]] = attrs.field(factory=dict, init=False)
    wait_sums_ns: collections.Counter[int] = attrs.field(
        factory=collections.Counter, init=False
    )

    def record_refused(self, priority: int, reason: str) -> None:
        """Record one refusal."""
        self.refused[min(priority, MAX_PRIORITY_LABEL), reason] += 1

    def record_wait(self, priority: int, wait_ns: int) -> None:
        """Record the end of one wait, with or without a connection.

        :param wait_ns: time from the request to its end
        """
        label = min(priority, MAX_PRIORITY_LABEL)
        counts = self.waits.get(label)
        if counts is None:
            counts = [0] * (len(QUEUE_WAIT_BOUNDS_MS) + 1)
            self.waits[label] = counts
        bucket = bisect.bisect_left(QUEUE_WAIT_BOUNDS_MS, wait_ns / NS_PER_MS)
        counts[bucket] += 1
        self.wait_sums_ns[label] += wait_ns

    def add(self, other: QueueStats) -> None:
        """Add the waits and refusals of another queue."""
        self.refused.update(other.refused)
        self.wait_sums_ns.update(other.wait_sums_ns)
        for label, counts in other.waits.items():
            own = self.waits.get(label, [0] * len(counts))
            self.waits[label] = [
                a + b for a, b in zip(own, counts, strict=True)
            ]
