"""Terms in the answers of targets, compared with the recorded ones.

Targets number the terms of their log themselves.  An answer of a later
term than the recorded one proves a later promotion, and a write that
ran in an earlier term ran at a primary that has been replaced.
"""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

import attrs

from rosemarysaddle._events import log_event
from rosemarysaddle.decide import FaultCode, newer_point

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from rosemarysaddle.decide import (
        Answer,
        Effect,
        EntryNode,
        LogPoint,
        TargetState,
    )

__all__ = ("TargetTerms",)


class _Conflict(enum.StrEnum):
    """How an answer contradicts what is known of the terms."""

    WENT_BACK = "went-back"
    ABOVE_RECORDED = "above-recorded"
    WRITE_BELOW_KNOWN = "write-below-known"
    READ_BELOW_KNOWN = "read-below-known"


@attrs.define(kw_only=True, eq=False)
class TargetTerms:
    """Notices answers that contradict the recorded terms of a group.

    :param send: executes the effects of decisions of the node
    """

    node: EntryNode
    send: Callable[[Sequence[Effect]], None]

    def record_answer(
        self,
        target_state: TargetState,
        answer: Answer,
        now_ns: int,
        *,
        was_leased_primary: bool,
    ) -> None:
        """Compare an answer with the terms known so far.

        To be called before the answer's position is stored as that of
        the target.

        :param was_leased_primary: whether the target was the leased
            primary when the statement was sent
        """
        point, previous = answer.point, target_state.point
        is_read_only = (
            was_leased_primary and answer.fault is FaultCode.READ_ONLY
        )
        effects = self.node.observe_term(
            target_state.group,
            target_state.target,
            point.term if point is not None else 0,
            now_ns,
            read_only=is_read_only,
        )
        if effects:
            self.send(effects)
        action = "reported" if effects else "none"
        if point is not None and (
            previous is None or previous.term != point.term or effects
        ):
            recorded = self._recorded_term(target_state.group)
            if previous is not None and point.term < previous.term:
                self._log_conflict(
                    _Conflict.WENT_BACK, target_state, point, action
                )
            if 0 < recorded < point.term:
                self._log_conflict(
                    _Conflict.ABOVE_RECORDED, target_state, point, action
                )
        if is_read_only:
            description = self._describe(
                target_state.group, target_state.target, point
            )
            log_event("primary-read-only", f"{description} action={action}")

    def confirm(
        self,
        group: str,
        target: str,
        point: LogPoint | None,
        now_ns: int,
        *,
        min_point: LogPoint | None,
        has_written: bool = False,
    ) -> bool:
        """Check the log on which a primary has run a statement.

        An earlier one than that of the group is reported.

        :param point: position that the target reported with the answer
        :param min_point: newest position that is known of the group, or
            None
        :param has_written: whether the statement has committed a write
        :return: False if the answer must not be given to the caller, as
            the primary had been replaced
        """
        if point is None or newer_point(point, min_point) is point:
            return True
        conflict = (
            _Conflict.WRITE_BELOW_KNOWN
            if has_written
            else _Conflict.READ_BELOW_KNOWN
        )
        log_event(
            "target-term",
            f"reason={conflict} {self._describe(group, target, point)}"
            f" known={min_point} action=withheld",
        )
        effects = self.node.report_earlier_term(
            group, target, point.term, now_ns
        )
        if effects:
            self.send(effects)
        return False

    def _recorded_term(self, group: str) -> int:
        term = self.node.state.terms.get(group)
        return term.target_term if term is not None else 0

    def _log_conflict(
        self,
        conflict: _Conflict,
        target_state: TargetState,
        point: LogPoint,
        action: str,
    ) -> None:
        group, target = target_state.group, target_state.target
        log_event(
            "target-term",
            f"reason={conflict} {self._describe(group, target, point)}"
            f" previous={target_state.point or '-'} action={action}",
        )

    def _describe(
        self, group: str, target: str, point: LogPoint | None
    ) -> str:
        term = self.node.state.terms.get(group)
        return (
            f"group={group} target={target}"
            f" primary={term.primary if term is not None else '-'}"
            f" observed={point or '-'}"
            f" recorded={term.target_term if term is not None else 0}"
            f" control_term={term.term if term is not None else 0}"
        )
