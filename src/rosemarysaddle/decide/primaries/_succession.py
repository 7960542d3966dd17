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

import attrs

from rosemarysaddle.decide.primaries._former_members import find_continued

if TYPE_CHECKING:
    from collections.abc import Collection, Mapping, Sequence

    from rosemarysaddle.decide._effects import TargetReport
    from rosemarysaddle.decide.primaries._former_members import FormerMember
    from rosemarysaddle.decide.primaries._registry import TargetRecord
    from rosemarysaddle.decide.primaries._terms import GroupTerm

__all__ = (
    "MAX_MISSING_WRITES",
    "SuccessorCriteria",
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
PRIMARY_ROLE: Final = "primary"


@attrs.frozen(kw_only=True)
class SuccessorCriteria:
    """What the choice of a primary depends on, besides the reports.

    :param former: primary of the closed term, or empty for a new group
    :param target_term: newest term, as targets number them, in which a
        primary of the group served; 0 if it is not known
    :param served_by: target that served in that term, or empty
    :param known_term: newest term that a target was seen to know of
    :param doubt_term: newest term that an order in doubt has to exceed;
        a promotion up to that term is older than the order
    :param repeatable: targets that may be ordered again while they are
        in doubt
    :param in_doubt: targets whose promotion was ordered with an unknown
        result, and may yet take effect
    :param leaving: targets that are about to stop
    :param others_stay: whether another target than the former primary
        is registered and stays
    :param avoided: targets that took no effect of an order; others go
        first
    :param allow_lagging: whether a lagging replica may be chosen
    :param keeps_former: whether the former primary may stay
    :param reuse_former: whether the former primary is chosen now if the
        replicas lag or do not answer
    :param sync_replicas: number of replicas that hold a write by the
        time that it is acknowledged
    :param held_by: least number of replicas that hold each write that
        was acknowledged; an earlier plan may have asked for fewer
    :param replicas: number of registered targets besides the one that
        served last
    :param former_members: members that are registered no more and may
        have acknowledged writes that others lack
    :param continued: former members whose log a registered target was
        given, by target
    :param start: position at which the term began that served last
    :param least_acknowledged: position that the newest acknowledged
        write has reached, term first
    :param newest_acknowledged: position that no acknowledged write is
        after, or None if it is not known
    """

    former: str
    leaving: Collection[str]
    target_term: int = 0
    served_by: str = ""
    known_term: int = 0
    in_doubt: Collection[str] = ()
    doubt_term: int = 0
    repeatable: Collection[str] = ()
    avoided: Collection[str] = ()
    allow_lagging: bool = False
    others_stay: bool = False
    keeps_former: bool = False
    reuse_former: bool = False
    sync_replicas: int = 0
    held_by: int = attrs.field(
        default=attrs.Factory(lambda self: self.sync_replicas, takes_self=True)
    )
    replicas: int = 0
    former_members: Collection[FormerMember] = ()
    continued: Mapping[str, Collection[FormerMember]] = attrs.field(
        factory=dict
    )
    start: int = 0
    least_acknowledged: tuple[int, int] = (0, 0)
    newest_acknowledged: tuple[int, int] | None = None

    @classmethod
    def of_group(
        cls,
        term: GroupTerm | None,
        records: Sequence[TargetRecord],
        *,
        allow_lagging: bool = False,
        keeps_former: bool = False,
        reuse_former: bool = False,
        sync_replicas: int = 0,
        held_by: int = 0,
        former_members: Sequence[FormerMember] = (),
        least_acknowledged: tuple[int, int] = (0, 0),
        newest_acknowledged: tuple[int, int] | None = None,
        known_term: int = 0,
        in_doubt: Collection[str] = (),
        doubt_term: int = 0,
        repeatable: Collection[str] = (),
        avoided: Collection[str] = (),
    ) -> SuccessorCriteria:
        """Build the criteria for a group.

        :param term: current term of the group, None for a new group
        :param records: registered targets of the group
        :param former_members: all former members of the group
        """
        former = "" if term is None else term.primary
        served_by = "" if term is None else term.served_by
        target_term = 0 if term is None else term.target_term
        return cls(
            former=former,
            target_term=target_term,
            served_by=served_by,
            known_term=known_term,
            in_doubt=in_doubt,
            doubt_term=doubt_term,
            repeatable=repeatable,
            avoided=avoided,
            leaving={r.target for r in records if r.leaving},
            others_stay=any(
                r.target != former for r in records if not r.leaving
            ),
            allow_lagging=allow_lagging,
            keeps_former=keeps_former,
            reuse_former=reuse_former,
            sync_replicas=sync_replicas,
            held_by=held_by,
            replicas=sum(r.target != (served_by or former) for r in records),
            former_members=former_members,
            continued={
                r.target: find_continued(r, former_members) for r in records
            },
            start=0 if term is None else term.start_of(term.served_in) or 0,
            least_acknowledged=least_acknowledged,
            newest_acknowledged=newest_acknowledged,
        )

    @property
    def former_must_go(self) -> bool:
        """Tell whether the former primary may not be chosen again.

        A target may stop soon after its announcement, and gets no new
        work by then.  Without a target that stays, there is no other
        choice for the writes of the group.
        """
        return self.former in self.leaving and self.others_stay


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
    answers = [r for r in reports if r.reachable and _has_status(r)]
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
    answers = [r for r in reports if _has_status(r)]
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
    reported = [r.newest_term for r in reports if _has_status(r)]
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
        and _has_followed(r, criteria)
        and not (r.target in criteria.leaving and criteria.others_stay)
        and (not criteria.sync_replicas or _holds_all(r, answers, criteria))
    ]
    return max(candidates, key=_progress, default=None)


def _has_followed(report: TargetReport, criteria: SuccessorCriteria) -> bool:
    """Tell whether a target may hold the writes of the last primary.

    One that knows of earlier terms only was cut off since then, and
    lacks all of them, unless none was acknowledged.
    """
    if criteria.allow_lagging or _has_acknowledged(report, criteria):
        return True
    return report.newest_term >= criteria.target_term


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
    return _progress(report) >= newest


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
    best = max(candidates, key=_progress)
    if criteria.sync_replicas and not _holds_all(best, reports, criteria):
        reuses = criteria.reuse_former or criteria.allow_lagging
        if former is None or not reuses or not _served(former, criteria):
            return None
        return _reuse_former(former, criteria)
    lags = former is not None and (
        not _has_status(former) or _progress(best) < _progress(former)
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


def _holds_all(
    best: TargetReport,
    reports: Sequence[TargetReport],
    criteria: SuccessorCriteria,
) -> bool:
    """Tell whether a target holds each write that was acknowledged.

    Entry hosts tell how far these go, the last primary tells how far it
    got, or so many replicas answer that one of them has acknowledged
    the newest write.
    """
    answers = [r for r in reports if r.reachable and _has_status(r)]
    if any(_progress(r) > _progress(best) for r in answers):
        return False
    if _progress(best) < criteria.least_acknowledged:
        # A replica that answers may have lost its log, unannounced.
        return False
    if _has_acknowledged(best, criteria):
        return True
    if any(_served(r, criteria) for r in answers):
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
    # The primary of the closed term acknowledged nothing by itself.
    former = [m for m in criteria.former_members if not _has_led(m, criteria)]
    members = criteria.replicas + len(former)
    answered = sum(r.target != served_by for r in answers) + len(continued)
    return answered >= min(members, members - criteria.held_by + 1)


def _shows_log(report: TargetReport, criteria: SuccessorCriteria) -> bool:
    """Tell whether a target has the log of the term served last.

    One that ends before the term began holds none of its writes.
    """
    follows = report.newest_term >= criteria.target_term
    return follows and report.position >= criteria.start


def _has_led(member: FormerMember, criteria: SuccessorCriteria) -> bool:
    """Tell whether a former member was the primary that served last."""
    return 0 < criteria.target_term == member.led_term


def _served(report: TargetReport, criteria: SuccessorCriteria) -> bool:
    """Tell whether a target is the primary in the term served last.

    It has all writes then.  One that restarted may have come back with
    an empty log, as a replica.
    """
    if report.role != PRIMARY_ROLE:
        return False
    if criteria.target_term:
        return report.term == criteria.target_term
    return report.target == criteria.former


def _find_candidates(
    reports: Sequence[TargetReport], criteria: SuccessorCriteria
) -> list[TargetReport]:
    """List reports of targets that may replace the former primary."""
    candidates = [
        r
        for r in reports
        if r.reachable
        and _has_status(r)
        and r.target not in criteria.leaving
        and _may_replace(r, criteria)
        and _has_followed(r, criteria)
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
    return _has_status(former) and any(
        r.progress[0] == former.progress[0]
        and r.position + MAX_MISSING_WRITES >= former.position
        for r in candidates
    )


def _reuse_former(
    former: TargetReport | None, criteria: SuccessorCriteria
) -> TargetReport | None:
    if former is None or not _has_status(former):
        return None
    if criteria.former_must_go or not _has_followed(former, criteria):
        return None
    leaves = former.target in criteria.leaving
    return former if criteria.allow_lagging or not leaves else None


def _current_primary(
    answers: Sequence[TargetReport], criteria: SuccessorCriteria
) -> TargetReport | None:
    primaries = [r for r in answers if r.role == PRIMARY_ROLE]
    if primaries:
        return max(primaries, key=lambda r: (r.term, *r.progress))
    return max(answers, key=_progress) if criteria.allow_lagging else None


def _is_readable(report: TargetReport | None) -> bool:
    return report is not None and _has_status(report)


def _has_status(report: TargetReport) -> bool:
    return report.role != ""


def _progress(report: TargetReport) -> tuple[int, int]:
    return report.progress
