"""Replicas that lack the log positions which reads need."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from rosemarysaddle._events import log_event
from rosemarysaddle.decide import NS_PER_MS

if TYPE_CHECKING:
    from collections.abc import Callable, Collection, Sequence

    from rosemarysaddle.decide import Effect, EntryNode, TargetState
    from rosemarysaddle.session._positions import PositionTracker

__all__ = ("LaggingReplicas",)


@attrs.define(kw_only=True, eq=False)
class LaggingReplicas:
    """Records which replicas are behind, and reports it to the leader.

    :param send: executes the effects of decisions of the node
    """

    node: EntryNode
    positions: PositionTracker
    send: Callable[[Sequence[Effect]], None]

    def record_behind(self, target_state: TargetState, now_ns: int) -> None:
        """Record that a target lacked the position of a read."""
        if not target_state.behind_ns:
            newest = self.positions.newest(target_state.group)
            log_event(
                "target-behind",
                f"target={target_state.target} group={target_state.group}"
                f" position={target_state.point or '-'}"
                f" newest={newest or '-'}",
            )
        target_state.mark_lagging(now_ns)

    @staticmethod
    def record_served(target_state: TargetState, now_ns: int) -> None:
        """Record that a target served a statement."""
        if not target_state.behind_ns:
            return
        asked_ms = (now_ns - target_state.behind_ns) // NS_PER_MS
        log_event(
            "target-caught-up",
            f"target={target_state.target} group={target_state.group}"
            f" position={target_state.point or '-'}"
            f" last_behind_ms={asked_ms}",
        )
        target_state.behind_ns = 0

    def record_refused_read(
        self, group: str, targets: Collection[TargetState], now_ns: int
    ) -> None:
        """Report to the leader that reads are refused.

        Only if all replicas of the group are behind.  The leader may
        then have one relieve the primary.

        :param targets: targets of the group
        """
        term = self.node.primary_of(group, now_ns)
        point = self.positions.newest(group)
        if term is None or point is None:
            return
        replicas = [
            t for t in targets if t.target != term.primary and not t.leaving
        ]
        if replicas and all(t.is_behind(now_ns) for t in replicas):
            self.send(self.node.report_replicas_behind(group, point, now_ns))
