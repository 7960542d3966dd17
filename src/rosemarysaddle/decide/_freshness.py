"""Positions that bound the age of what a replica holds.

A position that a primary told after a moment covers every write that
was acknowledged before that moment.  A read that carries it sees them
all, however far the replica lags.
"""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING, Final

import attrs

from rosemarysaddle.decide._times import NS_PER_MS

if TYPE_CHECKING:
    from rosemarysaddle.decide._token import LogPoint

__all__ = ("PositionHistory", "newer_point")

MIN_SAMPLE_INTERVAL_MS: Final = 20
SAMPLE_RETENTION_MS: Final = 4_000
# Clock steps between the arrival of a read and its placing.
CLOCK_STEP_MARGIN_MS: Final = 50


def newer_point(
    first: LogPoint | None, second: LogPoint | None
) -> LogPoint | None:
    """Choose the later of two positions; None is before all."""
    if first is None or second is None:
        return first or second
    mine = (first.term, first.position)
    return first if mine >= (second.term, second.position) else second


@attrs.frozen(kw_only=True)
class _Sample:
    asked_ns: int
    point: LogPoint


@attrs.define(kw_only=True)
class PositionHistory:
    """Positions that the primary of one group told under a lease."""

    _samples: collections.deque[_Sample] = attrs.field(
        factory=collections.deque, init=False
    )

    def add_sample(self, asked_ns: int, point: LogPoint) -> None:
        """Take a position that the primary told.

        :param asked_ns: time at which the lease covered the primary,
            before the question was sent, in nanoseconds
        """
        samples = self._samples
        if samples and asked_ns < samples[-1].asked_ns + (
            MIN_SAMPLE_INTERVAL_MS * NS_PER_MS
        ):
            return
        samples.append(_Sample(asked_ns=asked_ns, point=point))
        oldest_ns = asked_ns - SAMPLE_RETENTION_MS * NS_PER_MS
        while samples[0].asked_ns < oldest_ns:
            samples.popleft()

    def newest_ns(self) -> int:
        """Time of the newest position, or 0."""
        return self._samples[-1].asked_ns if self._samples else 0

    def newest(self) -> LogPoint | None:
        """Newest position, or None."""
        return self._samples[-1].point if self._samples else None

    def required_point(
        self, *, now_ns: int, staleness_ms: int
    ) -> LogPoint | None:
        """Find the position that a read has to carry.

        The oldest that will do, which most replicas hold.

        :param now_ns: time of the read, in nanoseconds
        :param staleness_ms: greatest age of the data, in milliseconds
        :return: the position, or None where none is young enough
        """
        since_ns = now_ns - (staleness_ms - CLOCK_STEP_MARGIN_MS) * NS_PER_MS
        for sample in self._samples:
            if sample.asked_ns >= since_ns:
                return sample.point
        return None
