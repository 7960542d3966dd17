"""Data and rules of a change of primary.

The phases and fencing of one change, the evidence that starts it, and
the choice of the new primary.
"""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING, Final

import attrs

from rosemarysaddle.decide._times import NS_PER_MS

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

    from rosemarysaddle.decide._effects import TargetReport

__all__ = (
    "ChangeReason",
    "ChangeTimes",
    "Evidence",
    "GroupChange",
    "Phase",
    "choose_primary",
    "eligible_reports",
    "promotion_quorum",
    "write_quorum",
)

EVIDENCE_WINDOW_MS: Final = 2_000
# A full accept queue can drop a connection attempt for about a second;
# an outage lasts longer.
MIN_OUTAGE_MS: Final = 1_300


class Phase(enum.StrEnum):
    """Phase of a change of primary."""

    CLOSE = "close"
    FENCE = "fence"
    PROBE = "probe"
    OPEN = "open"
    PROMOTE = "promote"


class ChangeReason(enum.StrEnum):
    """Why a change of primary was started."""

    NEW_GROUP = "new-group"
    SUSPECTED = "suspected"
    PLANNED = "planned"
    CLOSED = "closed"
    """The term was closed by a change that did not end."""
    PROMOTION_FAILED = "promotion-failed"
    LATER_TERM = "later-term"
    """A target has been promoted after the recorded primary."""
    ROLE_LOST = "role-lost"
    """The recorded primary is one no more."""
    NEW_IDENTITY = "new-identity"


@attrs.frozen(kw_only=True)
class ChangeTimes:
    """Times of a finished change: monotonic, in nanoseconds.

    :param term: term that the change opened
    """

    group: str
    term: int
    suspected_ns: int
    started_ns: int
    fenced_ns: int
    chosen_ns: int
    promoted_ns: int


@attrs.define(kw_only=True)
class GroupChange:
    """One change of primary in progress.

    :param term: term that is being closed; 0 for a new group
    :param preferred: instance to promote in a planned change, or empty
    :param keeps_former: whether the former primary stays if no replica
        holds all its writes soon after the fence
    :param fence_deadlines_ns: lease deadline of each host that may
        still write under the old term
    :param probe_from_ns: time before which no instance is probed
    :param attempt: number of the latest probe
    :param retry_at_ns: time of the next probe
    :param candidate_deadline_ns: time from which another instance than
        the preferred one, or one that lacks writes, may be chosen, and
        from which a new group may open without some of its instances
    :param reason: why the change was started, for the log
    :param known_term: newest term that a target was seen to know of
    :param chosen: instance that becomes primary under the new term
    :param above_term: the chosen instance takes up the role in a term
        above this one, as instances number their terms
    :param may_be_primary: whether the chosen instance may be the
        primary already
    :param may_be_present: whether the chosen instance may be the
        present primary although another one was ordered to be
    :param may_order: whether the chosen instance may have to be
        promoted
    :param promote_until_ns: time until which the order to promote is
        repeated while its result is unknown
    :param blocked_reason: why no primary can be chosen yet, or empty
    """

    group: str
    term: int
    suspected_ns: int
    started_ns: int
    preferred: str = ""
    keeps_former: bool = False
    phase: Phase = Phase.CLOSE
    fence_deadlines_ns: dict[str, int] = attrs.field(factory=dict)
    probe_from_ns: int = 0
    attempt: int = 0
    retry_at_ns: int = 0
    candidate_deadline_ns: int = 0
    fenced_ns: int = 0
    chosen_ns: int = 0
    new_term: int = 0
    reason: str = ""
    known_term: int = 0
    chosen: str = ""
    above_term: int = 0
    may_be_primary: bool = True
    may_be_present: bool = False
    may_order: bool = True
    promote_until_ns: int = 0
    blocked_reason: str = ""

    def begin_fence(self, deadlines_ns: dict[str, int]) -> None:
        """Start waiting until no host can write under the old term.

        :param deadlines_ns: lease deadline of each host that may write
        """
        self.phase = Phase.FENCE
        self.fence_deadlines_ns = deadlines_ns

    def is_fenced(self, now_ns: int) -> bool:
        """Tell whether no host can write under the old term."""
        return all(now_ns >= d for d in self.fence_deadlines_ns.values())

    def times(self, now_ns: int) -> ChangeTimes:
        """Summarize the finished change."""
        return ChangeTimes(
            group=self.group,
            term=self.new_term,
            suspected_ns=self.suspected_ns,
            started_ns=self.started_ns,
            fenced_ns=self.fenced_ns,
            chosen_ns=self.chosen_ns,
            promoted_ns=now_ns,
        )


@attrs.define(kw_only=True)
class Evidence:
    """Reports of hosts about the primary of one term.

    :param term: term of the primary
    :param first_ns: time of the first report of the current outage
    :param window_ms: time for which a report counts, in milliseconds
    :param min_hosts: number of hosts that have to agree
    """

    term: int
    first_ns: int
    window_ms: int = EVIDENCE_WINDOW_MS
    min_hosts: int = 2
    _reports_ns: dict[str, int] = attrs.field(factory=dict)

    def add(self, host: str, now_ns: int) -> None:
        """Record a report from a host.

        A report that follows the newest one by more than ``window_ms``
        counts as the start of a new outage.
        """
        if now_ns - max(self._reports_ns.values(), default=0) > (
            self.window_ms * NS_PER_MS
        ):
            self.first_ns = now_ns
        self._reports_ns[host] = now_ns

    def has_host_quorum(
        self, centers: Mapping[str, str], *, live_centers: int, now_ns: int
    ) -> bool:
        """Tell whether enough hosts agree.

        Where the live hosts span two data centres, the reports have to
        come from two as well.

        :param centers: data centre of each known host
        :param live_centers: number of data centres of the live hosts
        :param now_ns: monotonic time, in nanoseconds
        """
        recent = self._recent(now_ns)
        spanned = {centers[h] for h in recent if h in centers}
        return len(recent) >= self.min_hosts and len(spanned) >= min(
            2, live_centers
        )

    def is_corroborated(
        self, *, observer: str, hosts: int, now_ns: int
    ) -> bool:
        """Tell whether the observer or most entry hosts confirm it.

        The observer's own report suffices.  Without it, more than half
        of the entry hosts have to report, for ``MIN_OUTAGE_MS``.

        :param observer: control host whose own probe counts as proof
        :param hosts: number of the entry hosts
        :param now_ns: time of the decision, in nanoseconds
        """
        recent = self._recent(now_ns)
        if observer in recent:
            return True
        lasts = self.has_lasted(MIN_OUTAGE_MS, now_ns)
        return lasts and 2 * len(recent) > hosts

    def has_lasted(self, duration_ms: int, now_ns: int) -> bool:
        """Tell whether hosts have reported for that long."""
        return now_ns >= self.first_ns + duration_ms * NS_PER_MS

    def _recent(self, now_ns: int) -> set[str]:
        oldest_ns = now_ns - self.window_ms * NS_PER_MS
        return {h for h, at in self._reports_ns.items() if at > oldest_ns}


def write_quorum(instances: int) -> int:
    """Compute how many instances must hold an acknowledged write."""
    return instances // 2 + 1


def promotion_quorum(instances: int) -> int:
    """Compute how many instances to read before a promotion.

    Of so many, at least one holds each acknowledged write.
    """
    return instances - write_quorum(instances) + 1


def eligible_reports(
    reports: Sequence[TargetReport], identities: Mapping[str, str]
) -> list[TargetReport]:
    """Select the reports of instances eligible for promotion.

    An instance that lost its disk has another identity and may lack
    writes that it held before.  It is eligible once it is admitted
    again.

    :param identities: identity of each eligible instance, or empty for
        a group that had no term yet
    """
    answers = [r for r in reports if r.reachable]
    if not identities:
        return answers
    return [r for r in answers if identities.get(r.target) == r.identity]


def choose_primary(
    reports: Sequence[TargetReport],
    *,
    instances: int,
    preferred: str,
) -> TargetReport | None:
    """Choose an instance that holds every acknowledged write.

    :param reports: reports of the eligible instances
    :param instances: number of instances in the group
    :param preferred: instance to choose among equals, or empty
    :return: the choice, or None if too few instances answered
    """
    answers = [r for r in reports if r.reachable]
    if len(answers) < promotion_quorum(instances):
        return None
    best = max(answers, key=lambda r: (r.term, r.position))
    for report in answers:
        same = (report.term, report.position) == (best.term, best.position)
        if report.target == preferred and same:
            return report
    return best
