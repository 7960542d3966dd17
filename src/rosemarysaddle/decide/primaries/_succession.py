"""Choice of the primary of a group of the route plan.

In such a group, a write is acknowledged as soon as the primary has it.
While the former primary still answers, the choice therefore waits for a
replica that has caught up with it.

With synchronous replicas, a write is acknowledged once so many of them
have it.  The choice then waits until enough replicas have answered for
one of them to hold every such write, however long that takes.  Those
that have left or started again since then count as replicas that do not
answer.

What a target says of its role counts together with the term in which it
has it.  One that leads a later term than the group was served in has
been promoted and is followed; the primary of an earlier term is an old
one.  While an order to promote a target may yet take effect, writes at
another one would be lost, so that no other one is chosen.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from rosemarysaddle.decide.primaries._held_writes import (
    PRIMARY_ROLE,
    has_followed,
    has_served,
    has_status,
    holds_all,
)

if TYPE_CHECKING:
    from collections.abc import Sequence

    from rosemarysaddle.decide._effects import TargetReport
    from rosemarysaddle.decide.primaries._criteria import SuccessorCriteria
    from rosemarysaddle.decide.primaries._registry import TargetRecord

__all__ = (
    "MAX_MISSING_WRITES",
    "choose_successor",
    "find_promoted",
    "has_ready_successor",
    "needs_order",
    "newest_known_term",
    "registered_reports",
)

# Writes that a healthy replica has not received yet when the status of
# all is read, at some tens of writes per second.
MAX_MISSING_WRITES: Final = 5


def registered_reports(
    reports: Sequence[TargetReport], records: Sequence[TargetRecord]
) -> list[TargetReport]:
    """Leave out targets that left since their status was read."""
    registered = {r.target for r in records}
    return [r for r in reports if r.target in registered]


def choose_successor(
    reports: Sequence[TargetReport], criteria: SuccessorCriteria
) -> TargetReport | None:
    """Choose the next primary.

    :param reports: reports of the group's targets; a target that did
        not answer may be missing
    :return: the choice, or None if no target can be chosen yet
    """
    answers = [r for r in reports if r.reachable and has_status(r)]
    if not answers:
        return None
    if not criteria.former:
        return _current_primary(answers, criteria)
    promoted = find_promoted(answers, criteria)
    if promoted is not None:
        return promoted
    if criteria.in_doubt:
        return _choose_in_doubt(answers, criteria)
    former = next((r for r in reports if r.target == criteria.former), None)
    former = former if former is not None and former.reachable else None
    return _replace_former(reports, former, criteria)


def find_promoted(
    reports: Sequence[TargetReport], criteria: SuccessorCriteria
) -> TargetReport | None:
    """Find the primary of a later term than the group was served in.

    Where that term is not known, the one that the former primary
    reports stands for it.  A promotion that is older than an order in
    doubt does not count, as the order would overtake it; nor does one
    while an order for another target is in doubt, as nothing tells
    which of them comes first.

    :return: its report, or None if there is none, or if a later term
        still is known
    """
    answers = [r for r in reports if has_status(r)]
    served = criteria.target_term or max(
        (r.term for r in answers if r.target == criteria.former), default=0
    )
    if not served:
        return None
    served = max(served, criteria.doubt_term)
    newest = newest_known_term(answers, criteria.known_term)
    return next(
        (
            r
            for r in answers
            if r.role == PRIMARY_ROLE
            and r.term == newest > served
            and not set(criteria.in_doubt) - {r.target}
        ),
        None,
    )


def needs_order(
    choice: TargetReport, reports: Sequence[TargetReport], known_term: int
) -> bool:
    """Tell whether the chosen target has to be promoted.

    It need not if it is the primary of the newest term of all: then
    nobody was promoted after it.

    :param known_term: newest term that was known before the reports
    """
    if choice.role != PRIMARY_ROLE:
        return True
    return choice.term < newest_known_term(reports, known_term)


def newest_known_term(reports: Sequence[TargetReport], known_term: int) -> int:
    """Return the newest term of a group that is known of, or 0.

    :param known_term: newest term that was known before the reports
    """
    reported = [r.newest_term for r in reports if has_status(r)]
    return max([known_term, *reported])


def _choose_in_doubt(
    answers: Sequence[TargetReport], criteria: SuccessorCriteria
) -> TargetReport | None:
    """Choose a target whose promotion may yet take effect anyway."""
    candidates = [
        r
        for r in answers
        if r.target in criteria.in_doubt
        and r.target in criteria.repeatable
        and has_followed(r, criteria)
        and not (r.target in criteria.leaving and criteria.others_stay)
        and (not criteria.sync_replicas or holds_all(r, answers, criteria))
    ]
    return max(candidates, key=lambda r: r.progress, default=None)


def _replace_former(
    reports: Sequence[TargetReport],
    former: TargetReport | None,
    criteria: SuccessorCriteria,
) -> TargetReport | None:
    """Choose between a replica and a former primary.

    :param former: report of the former primary, if it is reachable
    """
    if (
        criteria.keeps_former
        and not criteria.allow_lagging
        and not _is_readable(former)
    ):
        # A former primary that was only full holds writes that no
        # replica may have.
        return None
    candidates = _find_candidates(reports, criteria)
    if not candidates:
        if criteria.keeps_former and not criteria.reuse_former:
            return None
        return _reuse_former(former, criteria)
    best = max(candidates, key=lambda r: r.progress)
    if criteria.sync_replicas and not holds_all(best, reports, criteria):
        reuses = criteria.reuse_former or criteria.allow_lagging
        if former is None or not reuses or not has_served(former, criteria):
            return None
        return _reuse_former(former, criteria)
    lags = former is not None and (
        not has_status(former) or best.progress < former.progress
    )
    reuses_former = criteria.reuse_former and not criteria.former_must_go
    if lags and reuses_former and _is_readable(former):
        return former
    # A target that is about to stop hands its log to the one that takes
    # its place, so nothing that it holds has to be given up.
    may_lag = criteria.allow_lagging and not (
        criteria.former_must_go and _is_readable(former)
    )
    return best if may_lag or not lags else None


def _find_candidates(
    reports: Sequence[TargetReport], criteria: SuccessorCriteria
) -> list[TargetReport]:
    """List reports of targets that may replace the former primary."""
    candidates = [
        r
        for r in reports
        if r.reachable
        and has_status(r)
        and r.target not in criteria.leaving
        and _may_replace(r, criteria)
        and has_followed(r, criteria)
    ]
    others = [r for r in candidates if r.target not in criteria.avoided]
    return others or candidates


def _may_replace(report: TargetReport, criteria: SuccessorCriteria) -> bool:
    # A former primary that lost the role is like any other replica.
    if report.target != criteria.former:
        return True
    return report.role != PRIMARY_ROLE


def has_ready_successor(
    reports: Sequence[TargetReport], criteria: SuccessorCriteria
) -> bool:
    """Tell whether a target could replace the primary without delay.

    :param reports: reports read while the primary serves
    """
    candidates = _find_candidates(reports, criteria)
    former = next((r for r in reports if r.target == criteria.former), None)
    if former is None or not former.reachable:
        return bool(candidates)
    return has_status(former) and any(
        r.progress[0] == former.progress[0]
        and r.position + MAX_MISSING_WRITES >= former.position
        for r in candidates
    )


def _reuse_former(
    former: TargetReport | None, criteria: SuccessorCriteria
) -> TargetReport | None:
    if former is None or not has_status(former):
        return None
    if criteria.former_must_go or not has_followed(former, criteria):
        return None
    leaves = former.target in criteria.leaving
    return former if criteria.allow_lagging or not leaves else None


def _current_primary(
    answers: Sequence[TargetReport], criteria: SuccessorCriteria
) -> TargetReport | None:
    primaries = [r for r in answers if r.role == PRIMARY_ROLE]
    if primaries:
        return max(primaries, key=lambda r: (r.term, *r.progress))
    if not criteria.allow_lagging:
        return None
    return max(answers, key=lambda r: r.progress)


def _is_readable(report: TargetReport | None) -> bool:
    return report is not None and has_status(report)
