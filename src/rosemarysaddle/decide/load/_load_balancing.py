"""Load balancing of reads over the targets of a group.

Designed for peak load: a read stays in its data centre as long as the
target there is fresh, up and no slower than one in another data centre,
the transfer included.  When statements queue there, reads spill over,
first within the own region and then to other regions.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Final

import attrs

from rosemarysaddle.decide._times import NS_PER_MS

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable, Mapping

    from rosemarysaddle.decide.reads._token import LogPoint

__all__ = (
    "ReadConstraints",
    "TargetState",
    "choose_target",
    "compute_transfer_cost_ns",
)

# Cost of a transfer to another data centre, as the queueing time that
# it is worth: within the own region, and to another region.
SAME_REGION_COST_NS: Final = 20 * NS_PER_MS
OTHER_REGION_COST_NS: Final = 60 * NS_PER_MS
# Keeps primaries free for writes while a replica is equally near.
PRIMARY_PENALTY_NS: Final = 15 * NS_PER_MS
# A replica that lacked a position is asked again after this time, which
# doubles up to 1.2 s while it lacks others.  Several hosts ask, so one
# of them soon learns that it has caught up.
LAGGING_MS: Final = 150
MAX_LAGGING_DOUBLINGS: Final = 3
# Covers the time until a replica that lags is asked again.
BEHIND_MS: Final = 2_500
DOWN_BACKOFF_MS: Final = 400
# A queue at a lender is served or refused within about this time.
WAIT_HALF_LIFE_MS: Final = 1_000
INITIAL_LATENCY_NS: Final = 20 * NS_PER_MS
_LATENCY_EWMA_DIVISOR: Final = 8


@attrs.define(kw_only=True)
class TargetState:
    """Load and condition of one target as known to an entry host.

    :param transfer_cost_ns: cost of a transfer between this host's data
        centre and the target's, see :func:`compute_transfer_cost_ns`
    :param slots: statements that the target runs at once
    :param leaving: whether it announced its planned stop
    :param leaving_since_ns: time at which this host learned of that; 0
        if it does not leave
    :param work_deadline_ns: time from which it gets no new work, if it
        leaves
    :param running: statements of this host that run there
    :param queued: statements of this host in its admission queue
    :param latency_ns: moving average of the time a statement takes
    :param penalty_ns: added cost of a target that stands out in its
        group, see :mod:`rosemarysaddle.decide.load._outliers`
    :param point: newest position that the target reported
    :param lagging_until_ns: time until which it is assumed to lag
    :param behind_ns: time of the newest statement for which it lacked a
        position, if it has served none since; otherwise 0
    :param down_until_ns: time until which it gets work only if no other
        target may serve it
    :param is_unreachable: whether it took no connection at the last
        attempt; it gets no work until one of this host's own checks
        succeeds
    """

    target: str
    group: str
    address: str
    transfer_cost_ns: int = 0
    slots: int = 1
    leaving: bool = False
    leaving_since_ns: int = 0
    work_deadline_ns: int = 0
    running: int = 0
    queued: int = 0
    latency_ns: int = INITIAL_LATENCY_NS
    penalty_ns: int = 0
    point: LogPoint | None = None
    lagging_until_ns: int = 0
    behind_ns: int = 0
    down_until_ns: int = 0
    is_unreachable: bool = False
    _doublings: int = attrs.field(default=0, init=False)
    _wait_ns: int = attrs.field(default=0, init=False)
    _waited_ns: int = attrs.field(default=0, init=False)

    def takes_new_work(self, now_ns: int) -> bool:
        """Tell whether new work may still be sent to the target."""
        return not self.leaving or now_ns < self.work_deadline_ns

    def record_latency(self, latency_ns: int) -> None:
        """Add the time that a statement took to the moving average."""
        self.latency_ns += (
            latency_ns - self.latency_ns
        ) // _LATENCY_EWMA_DIVISOR

    def record_point(self, point: LogPoint | None) -> None:
        """Record the position that the target reported, if any."""
        if point is not None:
            self.point = point

    def mark_lagging(self, now_ns: int) -> None:
        """Mark the target as lagging: it lacked a required position."""
        if now_ns >= self.lagging_until_ns:
            doublings = min(MAX_LAGGING_DOUBLINGS, self._doublings + 1)
            self._doublings = doublings if self.behind_ns else 0
            wait_ms = LAGGING_MS << self._doublings
            self.lagging_until_ns = now_ns + wait_ms * NS_PER_MS
        self.behind_ns = now_ns

    def is_behind(self, now_ns: int) -> bool:
        """Tell whether it lately lacked what reads require."""
        return now_ns < self.behind_ns + BEHIND_MS * NS_PER_MS

    def mark_down(self, now_ns: int) -> None:
        """Mark the target as down: it accepted no connection."""
        self.down_until_ns = now_ns + DOWN_BACKOFF_MS * NS_PER_MS

    def record_wait(self, wait_ns: int, now_ns: int) -> None:
        """Record the time that a statement waited for a connection."""
        self._wait_ns = (self.wait_ns(now_ns) + wait_ns) // 2
        self._waited_ns = now_ns

    def wait_ns(self, now_ns: int) -> int:
        """Estimate the wait for a connection.

        It decays, as a target that is avoided shows no shorter wait.
        """
        age_ms = (now_ns - self._waited_ns) / NS_PER_MS
        return int(self._wait_ns * math.exp2(-age_ms / WAIT_HALF_LIFE_MS))

    def cost_ns(self, now_ns: int) -> int:
        """Estimate the time until a new statement is answered."""
        busy = self.running + self.queued
        waiting = max(0, busy + 1 - max(1, self.slots))
        cost_ns = self.latency_ns * (1 + waiting // max(1, self.slots))
        cost_ns += self.wait_ns(now_ns)
        return cost_ns + self.transfer_cost_ns + self.penalty_ns


@attrs.frozen(kw_only=True)
class ReadConstraints:
    """Constraints that a target has to meet to serve a read.

    :param point: position that a replica must have applied, or None if
        only the primary may serve the read
    :param primary: primary that this host may rely on, or empty
    :param excluded: targets at which the read has already failed
    """

    point: LogPoint | None
    primary: str
    excluded: Collection[str]
    now_ns: int


def compute_transfer_cost_ns(
    data_center: str, other: str, regions: Mapping[str, str]
) -> int:
    """Compute the cost of a transfer between two data centres.

    :param regions: region of each data centre that is known; an unknown
        region counts as another region
    """
    if data_center == other:
        return 0
    region = regions.get(data_center)
    if region is not None and region == regions.get(other):
        return SAME_REGION_COST_NS
    return OTHER_REGION_COST_NS


def choose_target(
    targets: Iterable[TargetState], need: ReadConstraints
) -> TargetState | None:
    """Choose the eligible target with the lowest cost for a read.

    :return: the target, or None if none is eligible
    """
    eligible = [t for t in targets if _is_eligible(t, need)]
    if not eligible:
        return None
    up = [t for t in eligible if need.now_ns >= t.down_until_ns]
    return min(up or eligible, key=lambda t: _rank(t, need))


def _is_eligible(target: TargetState, need: ReadConstraints) -> bool:
    if target.target in need.excluded or target.leaving:
        return False
    if target.is_unreachable:
        return False
    if target.target == need.primary:
        return True
    return need.point is not None and not _is_lagging(target, need)


def _is_lagging(target: TargetState, need: ReadConstraints) -> bool:
    if need.now_ns >= target.lagging_until_ns or need.point is None:
        return False
    known = target.point
    if known is None:
        return True
    wanted = (need.point.term, need.point.position)
    return (known.term, known.position) < wanted


def _rank(target: TargetState, need: ReadConstraints) -> tuple[int, str]:
    cost_ns = target.cost_ns(need.now_ns)
    if target.target == need.primary:
        cost_ns += PRIMARY_PENALTY_NS
    return (cost_ns, target.target)
