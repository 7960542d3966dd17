"""Outliers among the targets of all groups, as one host sees them."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING, Final

import attrs

from rosemarysaddle._events import log_event
from rosemarysaddle.decide import (
    OutlierDetector,
    OutlierLevel,
    StatementSample,
    choose_target,
)

if TYPE_CHECKING:
    from collections.abc import Collection

    from rosemarysaddle.decide import (
        FaultCode,
        OutlierChange,
        ReadConstraints,
        TargetState,
    )

__all__ = ("TargetOutliers",)

# A target has room while it is less than this many times as slow as the
# outlier, apart from half of the cost of the transfer (a cost of 60 ms
# stands for a round trip of 24 ms).
ROOM_FACTOR: Final = 1.25


@attrs.define(kw_only=True, eq=False)
class TargetOutliers:
    """Detects outliers and applies them to the states of the targets.

    :param targets: state of each target, kept by the router
    :param changes: number of changes to each level
    :param probes: number of reads sent as probes, by target
    """

    targets: dict[str, TargetState]
    changes: collections.Counter[OutlierLevel] = attrs.field(
        factory=collections.Counter, init=False
    )
    probes: collections.Counter[str] = attrs.field(
        factory=collections.Counter, init=False
    )
    _detectors: dict[str, OutlierDetector] = attrs.field(
        factory=dict, init=False
    )
    _avoided: dict[str, OutlierLevel] = attrs.field(factory=dict, init=False)

    @property
    def avoided(self) -> dict[str, OutlierLevel]:
        """Return the targets that reads avoid, with their levels."""
        return dict(self._avoided)

    def add_target(self, target_state: TargetState) -> None:
        """Add a target of a group."""
        detector = self._detectors.setdefault(
            target_state.group, OutlierDetector()
        )
        detector.add_target(target_state.target, target_state.transfer_cost_ns)

    def remove_target(self, target_state: TargetState) -> None:
        """Remove a target."""
        self._detectors[target_state.group].remove_target(target_state.target)
        self._avoided.pop(target_state.target, None)

    def record_statement(
        self,
        target_state: TargetState,
        fault: FaultCode | None,
        now_ns: int,
    ) -> None:
        """Record the outcome of a statement."""
        sample = StatementSample(
            target=target_state.target,
            fault=fault,
        )
        detector = self._detectors[target_state.group]
        self._apply(detector.record(sample, now_ns))

    def record_down(self, target_state: TargetState, now_ns: int) -> None:
        """Record that a target went down."""
        detector = self._detectors[target_state.group]
        self._apply(detector.record_down(target_state.target, now_ns))

    def choose(
        self,
        candidates: Collection[TargetState],
        constraints: ReadConstraints,
        *,
        may_probe: bool,
    ) -> TargetState | None:
        """Choose the target of a read with regard to outliers.

        :param candidates: targets of one group
        :param may_probe: whether the read may go to a target that is
            avoided, to find out whether it has recovered
        """
        if not self._avoided or not candidates:
            return choose_target(candidates, constraints)
        group = next(iter(candidates)).group
        detector = self._detectors[group]
        now_ns = constraints.now_ns
        self._apply(detector.update(now_ns))
        if may_probe:
            name = detector.probe_candidate(now_ns)
            probed = choose_target(
                [c for c in candidates if c.target == name], constraints
            )
            if probed is not None:
                detector.take_probe(now_ns)
                self.probes[name] += 1
                return probed
        self._set_penalties(candidates, detector)
        return choose_target(candidates, constraints)

    @staticmethod
    def _set_penalties(
        candidates: Collection[TargetState], detector: OutlierDetector
    ) -> None:
        penalties_ns = detector.penalties_ns()
        for candidate in candidates:
            candidate.penalty_ns = 0
            penalty_ns = penalties_ns.get(candidate.target)
            if penalty_ns and _have_room(candidate, candidates):
                candidate.penalty_ns = penalty_ns

    def _apply(self, changes: list[OutlierChange]) -> None:
        for change in changes:
            target_state = self.targets[change.target]
            self.changes[change.level] += 1
            if change.level is OutlierLevel.NORMAL:
                self._avoided.pop(change.target, None)
                target_state.penalty_ns = 0
            else:
                self._avoided[change.target] = change.level
            _log_change(change, target_state.group)


def _have_room(
    outlier: TargetState, candidates: Collection[TargetState]
) -> bool:
    """Tell whether another target has room for an outlier's reads.

    Statements queue at a target that is much slower than the outlier.
    Moving reads there as well would cost more than the faults.
    """
    for other in candidates:
        transfer_ns = other.transfer_cost_ns - outlier.transfer_cost_ns
        limit_ns = outlier.latency_ns * ROOM_FACTOR + max(0, transfer_ns) // 2
        if other is not outlier and other.latency_ns <= limit_ns:
            return True
    return False


def _log_change(change: OutlierChange, group: str) -> None:
    is_worse = change.level > change.before
    log_event(
        "target-outlier" if is_worse else "target-reinstated",
        f"target={change.target} group={group}"
        f" level={change.level.name.lower()}"
        f" before={change.before.name.lower()}"
        f" samples={change.samples:.1f}"
        f" failure_share={change.failure_share:.2f}"
        f" downs={change.downs:.1f}",
    )
