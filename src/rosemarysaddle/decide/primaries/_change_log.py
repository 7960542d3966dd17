"""Log lines about the steps of a change of primary.

Each names the term of the group and, where it matters, the term of the
target, as targets number theirs.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from rosemarysaddle.decide._effects import LogDecision
from rosemarysaddle.decide._times import NS_PER_MS

if TYPE_CHECKING:
    from collections.abc import Collection

    from rosemarysaddle.decide._effects import PromotionResult, TargetReport
    from rosemarysaddle.decide.primaries._change import GroupChange
    from rosemarysaddle.decide.primaries._criteria import SuccessorCriteria
    from rosemarysaddle.decide.primaries._terms import GroupTerm

__all__ = ("log_choice", "log_serving", "log_start", "log_wait")


def log_start(
    change: GroupChange, term: GroupTerm | None, in_doubt: Collection[str]
) -> LogDecision:
    """Tell why a change was started.

    :param term: term that it closes, None for a new group
    :param in_doubt: targets whose promotion may yet take effect
    """
    primary = "-" if term is None else term.primary
    target_term = 0 if term is None else term.target_term
    return LogDecision(
        event="change-started",
        text=f"group={change.group} term={change.term}"
        f" primary={primary} target_term={target_term}"
        f" reason={change.reason or '-'}"
        f" preferred={change.preferred or '-'}"
        f" in_doubt={','.join(in_doubt) or '-'}",
    )


def log_wait(change: GroupChange, reason: str, now_ns: int) -> LogDecision:
    """Tell why no primary can be chosen yet."""
    spent_ms = (now_ns - change.started_ns) // NS_PER_MS
    return LogDecision(
        event="change-waits",
        text=f"group={change.group} term={change.term} spent_ms={spent_ms}"
        f" reason={reason!r}",
    )


def log_choice(
    change: GroupChange,
    choice: TargetReport,
    criteria: SuccessorCriteria,
    now_ns: int,
) -> LogDecision:
    """Tell which target was chosen, and on what evidence."""
    age_ms = (now_ns - choice.asked_ns) // NS_PER_MS
    return LogDecision(
        event="primary-chosen",
        text=f"group={change.group} term={change.term}"
        f" former={criteria.former or '-'}"
        f" target_term={criteria.target_term}"
        f" known_term={criteria.known_term} target={choice.target}"
        f" role={choice.role} observed_term={choice.term}"
        f" log={choice.progress[0]}.{choice.position} age_ms={age_ms}"
        f" order={change.may_order} above_term={change.above_term}"
        f" lagging_allowed={criteria.allow_lagging}"
        f" in_doubt={','.join(criteria.in_doubt) or '-'}",
    )


def log_serving(
    change: GroupChange, result: PromotionResult, now_ns: int
) -> LogDecision:
    """Tell that the new primary serves."""
    spent_ms = (now_ns - change.started_ns) // NS_PER_MS
    return LogDecision(
        event="primary-serves",
        text=f"group={change.group} term={change.new_term}"
        f" primary={change.chosen} target_term={result.target_term}"
        f" reason={change.reason} ordered={change.may_order}"
        f" settled={result.is_settled} spent_ms={spent_ms}",
    )
