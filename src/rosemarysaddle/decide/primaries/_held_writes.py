"""Which targets hold the acknowledged writes of the closed term.

With synchronous replicas, that is counted over all that were members
when a write was acknowledged, also those that have left since then.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from collections.abc import Sequence

    from rosemarysaddle.decide._effects import TargetReport
    from rosemarysaddle.decide.primaries._criteria import SuccessorCriteria
    from rosemarysaddle.decide.primaries._former_members import FormerMember

__all__ = (
    "PRIMARY_ROLE",
    "has_followed",
    "has_served",
    "has_status",
    "holds_all",
)

PRIMARY_ROLE: Final = "primary"


def holds_all(
    best: TargetReport,
    reports: Sequence[TargetReport],
    criteria: SuccessorCriteria,
) -> bool:
    """Tell whether a target holds each write that was acknowledged.

    Entry hosts tell how far these go, the last primary tells how far it
    got, or so many replicas answer that one of them has acknowledged
    the newest write.
    """
    answers = [r for r in reports if r.reachable and has_status(r)]
    if any(r.progress > best.progress for r in answers):
        return False
    if best.progress < criteria.least_acknowledged:
        # A replica that answers may have lost its log, unannounced.
        return False
    if _has_acknowledged(best, criteria):
        return True
    if any(has_served(r, criteria) for r in answers):
        return True
    served_by = criteria.served_by or criteria.former
    continued = [
        member
        for report in answers
        if _shows_log(report, criteria)
        for member in criteria.continued.get(report.target, ())
    ]
    if any(_has_led(member, criteria) for member in continued):
        return True
    # The primary's own copy is none of the counted ones.
    former = [m for m in criteria.former_members if not _has_led(m, criteria)]
    members = criteria.replicas + len(former)
    answered = sum(r.target != served_by for r in answers) + len(continued)
    return answered >= min(members, members - criteria.held_by + 1)


def has_followed(report: TargetReport, criteria: SuccessorCriteria) -> bool:
    """Tell whether a target may hold the writes of the last primary.

    One that knows of earlier terms only was cut off since then, and
    lacks all of them, unless none was acknowledged.
    """
    if criteria.allow_lagging or _has_acknowledged(report, criteria):
        return True
    return report.newest_term >= criteria.target_term


def has_served(report: TargetReport, criteria: SuccessorCriteria) -> bool:
    """Tell whether a target is the primary in the term served last.

    It has all writes then.  One that restarted may have come back with
    an empty log, as a replica.
    """
    if report.role != PRIMARY_ROLE:
        return False
    if criteria.target_term:
        return report.term == criteria.target_term
    return report.target == criteria.former


def has_status(report: TargetReport) -> bool:
    """Tell whether a target has told its status."""
    return report.role != ""


def _has_acknowledged(
    report: TargetReport, criteria: SuccessorCriteria
) -> bool:
    """Tell whether a target has reached all acknowledged writes.

    A later log than that of the last term comes from another promotion
    and tells nothing about that term.
    """
    newest = criteria.newest_acknowledged
    if newest is None or report.progress[0] > criteria.target_term:
        return False
    return report.progress >= newest


def _shows_log(report: TargetReport, criteria: SuccessorCriteria) -> bool:
    """Tell whether a target has the log of the term served last.

    One that ends before the term began holds none of its writes.
    """
    follows = report.newest_term >= criteria.target_term
    return follows and report.position >= criteria.start


def _has_led(member: FormerMember, criteria: SuccessorCriteria) -> bool:
    """Tell whether a former member was the primary that served last."""
    return 0 < criteria.target_term == member.led_term
