"""Log positions that bound the age of the data a replica returns.

A position that a primary reports after a given moment covers every
write that was acknowledged before that moment.  A read that carries
this position sees all of these writes, however far the replica lags.
"""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING, Final

import attrs

from rosemarysaddle.decide._times import NS_PER_MS

if TYPE_CHECKING:
    from rosemarysaddle.decide.reads._token import LogPoint

__all__ = ("PositionHistory", "newer_point")

MIN_SAMPLE_INTERVAL_MS: Final = 20
SAMPLE_RETENTION_MS: Final = 4_000
# Makes the staleness bound stricter, because the clock may step forward
# between the arrival of a read and the choice of its target.
CLOCK_STEP_MARGIN_MS: Final = 50


def newer_point(
    first: LogPoint | None, second: LogPoint | None
) -> LogPoint | None:
    """Return the later of two positions; None precedes all others."""
    if first is None or second is None:
        return first or second
    first_key = (first.term, first.position)
    return first if first_key >= (second.term, second.position) else second


@attrs.frozen(kw_only=True)
class _Sample:
    asked_ns: int
    point: LogPoint


@attrs.define(kw_only=True)
class PositionHistory:
    """Recent log positions of the leased primary of one group."""

    _samples: collections.deque[_Sample] = attrs.field(
        factory=collections.deque, init=False
    )

    def add_sample(
        self, asked_ns: int, point: LogPoint, *, recorded_term: int = 0
    ) -> bool:
        """Add a position that the primary reported.

        A sample that follows the newest one too closely is ignored, and
        samples older than the retention time are dropped.

        A position of an earlier term than the newest one shows a log
        that lacks what the group has acknowledged, unless the primary
        was promoted in a later term than both: what it lacks has been
        rolled back then, and the earlier samples are dropped.

        :param asked_ns: time at which the lease covered the primary,
            before the position was requested, in nanoseconds
        :param point: position that the primary reported
        :param recorded_term: term of the target in which it was
            promoted, 0 if unknown
        :return: False if the position is of an earlier term and must
            not be relied on
        """
        samples = self._samples
        if samples and point.term < samples[-1].point.term:
            if recorded_term <= samples[-1].point.term:
                return False
            samples.clear()
        if samples and asked_ns < samples[-1].asked_ns + (
            MIN_SAMPLE_INTERVAL_MS * NS_PER_MS
        ):
            return True
        samples.append(_Sample(asked_ns=asked_ns, point=point))
        oldest_ns = asked_ns - SAMPLE_RETENTION_MS * NS_PER_MS
        while samples[0].asked_ns < oldest_ns:
            samples.popleft()
        return True

    def newest_ns(self) -> int:
        """Return the request time of the newest sample, or 0."""
        return self._samples[-1].asked_ns if self._samples else 0

    def newest(self) -> LogPoint | None:
        """Return the newest position, or None."""
        return self._samples[-1].point if self._samples else None

    def required_point(
        self, *, now_ns: int, staleness_ms: int
    ) -> LogPoint | None:
        """Find the position that a read has to carry.

        This is the oldest position that is young enough, because most
        replicas have already applied it.

        :param now_ns: time of the read, in nanoseconds
        :param staleness_ms: maximum age of the data, in milliseconds
        :return: the position, or None if none is young enough
        """
        since_ns = now_ns - (staleness_ms - CLOCK_STEP_MARGIN_MS) * NS_PER_MS
        for sample in self._samples:
            if sample.asked_ns >= since_ns:
                return sample.point
        return None
