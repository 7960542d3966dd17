"""Estimates of the work of operations, by kind.

Designed for overload: short operations go before long ones, so that
more callers are served with the same slots of a target.  A target that
is overloaded queues statements itself, which makes all of them look
long; an estimate is therefore the lowest mean of the last minutes.
"""

from __future__ import annotations

import math
from typing import Final

import attrs

from rosemarysaddle.decide._times import NS_PER_MS

__all__ = ("WorkEstimates", "WorkKind")

# Operations of one rank differ by less than this factor.  Means of two
# kinds with equal work may be a rank apart, but not two.
RANK_FACTOR: Final = 1.15
# The mean covers some tens of operations.
EWMA_WEIGHT: Final = 1 / 32
# Time in which the lowest mean doubles, so that it follows operations
# that take longer than before.
FLOOR_DOUBLING_MS: Final = 60_000
# Operations after which the mean of a kind counts as its estimate.
MIN_OPERATIONS: Final = 8
# Assumed work while too few operations have ended: one statement.
INITIAL_WORK_NS: Final = 30 * NS_PER_MS
# Bounds the memory of a host whose plans have many classes.
MAX_KINDS: Final = 1_024


def _rank(work_ns: float) -> int:
    return math.floor(math.log(max(1.0, work_ns), RANK_FACTOR))


INITIAL_RANK: Final = _rank(INITIAL_WORK_NS)


@attrs.frozen(kw_only=True)
class WorkKind:
    """Kind of operations that are taken to need the same work.

    :param service_class: class of the operations' route
    :param is_transaction: whether they are transactions
    """

    service_class: str
    is_transaction: bool


@attrs.define(kw_only=True)
class _Estimate:
    """Estimate for one kind.

    :param mean_ns: moving average
    :param floor_ns: lowest average lately
    :param rank: rank of the lowest average
    """

    count: int = 0
    mean_ns: float = 0.0
    floor_ns: float = math.inf
    updated_ns: int = 0
    rank: int = INITIAL_RANK

    def add(self, work_ns: int, now_ns: int) -> None:
        """Add the work of one operation."""
        self.count += 1
        weight = max(EWMA_WEIGHT, 1 / self.count)
        self.mean_ns += weight * (work_ns - self.mean_ns)
        if self.count < MIN_OPERATIONS:
            return
        age_ms = (now_ns - self.updated_ns) / NS_PER_MS
        self.updated_ns = now_ns
        if math.isfinite(self.floor_ns):
            self.floor_ns *= math.exp2(age_ms / FLOOR_DOUBLING_MS)
        self.floor_ns = min(self.floor_ns, self.mean_ns)
        self.rank = _rank(self.floor_ns)


@attrs.define(kw_only=True)
class WorkEstimates:
    """Work of the operations of each kind."""

    _estimates: dict[WorkKind, _Estimate] = attrs.field(
        factory=dict, init=False
    )

    def record(self, kind: WorkKind, work_ns: int, now_ns: int) -> None:
        """Record the time for which one operation used a slot."""
        estimate = self._estimates.get(kind)
        if estimate is None:
            if len(self._estimates) >= MAX_KINDS:
                del self._estimates[next(iter(self._estimates))]
            estimate = self._estimates[kind] = _Estimate()
        estimate.add(work_ns, now_ns)

    def rank(self, kind: WorkKind) -> int:
        """Rank a kind by its work; shorter ones have lower ranks."""
        estimate = self._estimates.get(kind)
        return estimate.rank if estimate is not None else INITIAL_RANK
