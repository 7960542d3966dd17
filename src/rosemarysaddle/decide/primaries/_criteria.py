"""What the choice of a primary depends on, besides the reports."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from rosemarysaddle.decide.primaries._former_members import find_continued

if TYPE_CHECKING:
    from collections.abc import Collection, Mapping, Sequence

    from rosemarysaddle.decide.primaries._former_members import FormerMember
    from rosemarysaddle.decide.primaries._registry import TargetRecord
    from rosemarysaddle.decide.primaries._terms import GroupTerm

__all__ = ("SuccessorCriteria",)


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
