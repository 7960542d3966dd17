"""Targets that leave, as an entry host learns of them."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING, Final

import attrs

from rosemarysaddle._clock import clock_ns
from rosemarysaddle._durations import DurationHistogram
from rosemarysaddle._events import log_event
from rosemarysaddle.decide import NS_PER_MS

if TYPE_CHECKING:
    from rosemarysaddle.decide import TargetState
    from rosemarysaddle.decide.primaries._registry import TargetRecord

__all__ = (
    "LEAVING_WORK_MS",
    "WORK_AGE_BOUNDS_MS",
    "LeavingTargets",
    "WorkRole",
)

LEAVING_WORK_MS: Final = 7_000
# For the preparation of a connection and the way to the target.
SEND_RESERVE_MS: Final = 1_000
# The usual change of primary is over by then.
LATE_WORK_MS: Final = 2_000
WORK_AGE_BOUNDS_MS: Final = (500, 1_000, 2_000, 3_000, 5_000, 7_000, 10_000)


class WorkRole(enum.StrEnum):
    """Role of a target in its group when work starts there."""

    PRIMARY = "primary"
    REPLICA = "replica"


def _histograms() -> dict[WorkRole, DurationHistogram]:
    return {
        role: DurationHistogram(bounds_ms=WORK_AGE_BOUNDS_MS)
        for role in WorkRole
    }


@attrs.define(kw_only=True)
class LeavingTargets:
    """Tracks announced stops, and work that is sent in spite of them.

    Work is a statement outside a transaction, or the first one of a
    transaction.

    :param leaving_work_ms: time after the acknowledgement of a target's
        stop for which new work may reach it, in milliseconds
    :param work_ages: time since this host learned of the stop, at each
        start of work at a leaving target, by its role
    """

    leaving_work_ms: int = LEAVING_WORK_MS
    work_ages: dict[WorkRole, DurationHistogram] = attrs.field(
        factory=_histograms, init=False
    )

    def update(
        self,
        target_state: TargetState,
        record: TargetRecord,
        *,
        index: int,
        earlier_view_ns: int,
    ) -> None:
        """Apply the record of a target to its state.

        :param index: log index of the view that holds the record
        :param earlier_view_ns: time of a view without this record
        """
        if target_state.leaving == record.leaving:
            return
        target_state.leaving = record.leaving
        # A stop that was not part of the earlier view was acknowledged
        # after it, however late this host learned of it.
        target_state.work_deadline_ns = (
            earlier_view_ns
            + (self.leaving_work_ms - SEND_RESERVE_MS) * NS_PER_MS
        )
        target_state.leaving_since_ns = clock_ns() if record.leaving else 0
        log_event(
            "target-leaving" if record.leaving else "target-stays",
            f"target={record.target} group={record.group}"
            f" incarnation_ms={record.incarnation_ms} index={index}"
            f" work_left_ms={self._work_left_ms(target_state)}",
        )

    @staticmethod
    def _work_left_ms(target_state: TargetState) -> int:
        left_ns = target_state.work_deadline_ns - clock_ns()
        return max(0, left_ns // NS_PER_MS) if target_state.leaving else 0

    def record_new_work(
        self, target_state: TargetState, role: WorkRole, now_ns: int
    ) -> None:
        """Record that work starts at a target."""
        if not target_state.leaving:
            return
        age_ns = now_ns - target_state.leaving_since_ns
        self.work_ages[role].record(age_ns)
        if age_ns >= LATE_WORK_MS * NS_PER_MS:
            log_event(
                "work-at-leaving-target",
                f"target={target_state.target} group={target_state.group}"
                f" role={role} leaving_for_ms={age_ns // NS_PER_MS}",
            )
