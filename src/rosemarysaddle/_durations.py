"""Histogram of durations, as the metrics of a host report them."""

from __future__ import annotations

import bisect
import itertools
from typing import Final

import attrs

__all__ = ("DurationHistogram",)

_NS_PER_MS: Final = 1_000_000


@attrs.define(kw_only=True)
class DurationHistogram:
    """Counts of durations by upper bound.

    :param bounds_ms: upper bounds, in milliseconds, ascending
    :param counts: durations up to each bound, and longer ones
    :param sum_ns: sum of all durations, in nanoseconds
    """

    bounds_ms: tuple[int, ...]
    counts: list[int] = attrs.field(init=False)
    sum_ns: int = attrs.field(default=0, init=False)

    def __attrs_post_init__(self) -> None:
        """Start with no durations."""
        self.counts = [0] * (len(self.bounds_ms) + 1)

    def record(self, duration_ns: int) -> None:
        """Record one duration, in nanoseconds."""
        bucket = bisect.bisect_left(self.bounds_ms, duration_ns / _NS_PER_MS)
        self.counts[bucket] += 1
        self.sum_ns += duration_ns

    def add(self, other: DurationHistogram) -> None:
        """Add the durations of another histogram with equal bounds."""
        pairs = zip(self.counts, other.counts, strict=True)
        self.counts = [own + added for own, added in pairs]
        self.sum_ns += other.sum_ns

    @property
    def total(self) -> int:
        """Number of durations."""
        return sum(self.counts)

    def cumulative(self) -> list[int]:
        """Return the counts up to each bound, and of all durations."""
        return list(itertools.accumulate(self.counts))
