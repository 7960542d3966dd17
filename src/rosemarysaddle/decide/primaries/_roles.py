"""Differences between the recorded primary and what targets say.

Somebody else may have promoted a target, an order that was in doubt may
have taken effect, a primary may have lost its role, and one that was
cut off goes on in its old one.  A target tells a change of its role at
once, and repeats its role every second or two; entry hosts report
answers that contradict the recorded primary.  Such a word only leads to
a reading of the target's own status, which has the term of its role.
"""

from __future__ import annotations

import collections
import json
from typing import TYPE_CHECKING, Final

import attrs

from rosemarysaddle.decide._effects import (
    DemoteTarget,
    Effect,
    LogDecision,
    ProbeGroup,
    TargetReport,
)
from rosemarysaddle.decide._times import NS_PER_MS
from rosemarysaddle.decide.control_log._state import EntryKind
from rosemarysaddle.decide.primaries._change import ChangeReason
from rosemarysaddle.decide.primaries._held_writes import PRIMARY_ROLE
from rosemarysaddle.decide.primaries._primaries import PROBE_TIMEOUT_MS

if TYPE_CHECKING:
    from collections.abc import Sequence

    from rosemarysaddle.decide.control_log._context import LeaderContext
    from rosemarysaddle.decide.control_log._state import ClusterState
    from rosemarysaddle.decide.primaries._primaries import PrimaryManager
    from rosemarysaddle.decide.primaries._terms import GroupTerm
    from rosemarysaddle.schema import Announcement, TermReport

__all__ = ("ROLE_ATTEMPT", "RoleWatch", "contradicts_state")

# Attempt number of a probe of roles; it differs from those that
# `_primaries`, `_reconciler`, `_relief` and `_departures` use.
ROLE_ATTEMPT: Final = -5
CHECK_INTERVAL_MS: Final = 300
# Groups without a known term whose primary is asked with one tick.
MAX_CHECKS_AT_ONCE: Final = 8


def contradicts_state(announcement: Announcement, state: ClusterState) -> bool:
    """Tell whether a target's role differs from the recorded one."""
    term = state.terms.get(announcement.group)
    if term is None or not term.is_serving or not term.is_open:
        return False
    if announcement.group not in state.routes.groups or announcement.gone:
        return False
    says_primary = announcement.role == PRIMARY_ROLE
    return bool(announcement.role) and says_primary is not (
        announcement.target == term.primary
    )


@attrs.define(kw_only=True)
class _Check:
    """Reading of the status of targets whose role may differ.

    :param targets: targets to read
    :param retry_at_ns: time before which the group is not read again
    """

    targets: set[str] = attrs.field(factory=set)
    retry_at_ns: int = 0


@attrs.define(kw_only=True)
class RoleWatch:
    """Follows, replaces or corrects targets whose role differs."""

    context: LeaderContext
    primaries: PrimaryManager
    _checks: dict[str, _Check] = attrs.field(factory=dict, init=False)
    _forget_at_ns: int = attrs.field(default=0, init=False)
    _groups_without_term: collections.deque[str] = attrs.field(
        factory=collections.deque, init=False
    )

    def on_elected(self) -> None:
        """Reset the state when this host is elected leader."""
        self._checks.clear()
        state = self.context.state
        # An earlier build did not record the term of the primary.
        self._groups_without_term = collections.deque(
            group
            for group in sorted(state.routes.groups)
            if group in state.terms and not state.terms[group].target_term
        )

    def tick(self, now_ns: int) -> list[Effect]:
        """Read the status of the primaries whose term is not known."""
        if now_ns >= self._forget_at_ns:
            self._forget_at_ns = now_ns + CHECK_INTERVAL_MS * NS_PER_MS
            self._checks = {
                group: check
                for group, check in self._checks.items()
                if now_ns < check.retry_at_ns
            }
        effects: list[Effect] = []
        for group in self.primaries.orders.groups_to_watch(now_ns):
            if self._watched_term(group) is not None:
                effects.extend(self._check(group, "", now_ns))
        groups = self._groups_without_term
        for _ in range(min(MAX_CHECKS_AT_ONCE, len(groups))):
            group = groups.popleft()
            term = self.context.state.terms.get(group)
            if term is None or term.target_term:
                continue
            groups.append(group)
            if self._watched_term(group) is not None:
                effects.extend(self._check(group, term.primary, now_ns))
        return effects

    def on_announcement(
        self, announcement: Announcement, now_ns: int
    ) -> list[Effect]:
        """Read the status of a target that tells another role."""
        group = announcement.group
        if self._watched_term(group) is None or not self.context.leads(now_ns):
            return []
        if not contradicts_state(announcement, self.context.state):
            return []
        return self._check(group, announcement.target, now_ns)

    def on_report(self, report: TermReport, now_ns: int) -> list[Effect]:
        """Handle the report of an entry host about a target's answer.

        An answer that shows a later term proves a later promotion.
        """
        group = report.group
        term = self._watched_term(group)
        if term is None or not self.context.leads(now_ns):
            return []
        if report.term != term.term or not term.target_term:
            return []
        if report.observed_term <= max(term.target_term, term.known_term):
            return self._check(group, report.target, now_ns)
        text = (
            f"group={group} term={term.term} target_term={term.target_term}"
            f" primary={term.primary} target={report.target}"
            f" observed_term={report.observed_term} host={report.host}"
            f" action={ChangeReason.LATER_TERM}"
        )
        return [
            LogDecision(event="role-differs", text=text),
            *self.primaries.start_change(
                group,
                term.term,
                now_ns,
                reason=ChangeReason.LATER_TERM,
                known_term=report.observed_term,
            ),
        ]

    def on_probe(
        self, group: str, reports: Sequence[TargetReport], now_ns: int
    ) -> list[Effect]:
        """Act on the status of targets, whatever it was read for."""
        check = self._checks.get(group)
        if check is not None:
            check.targets.clear()
        if not self.context.leads(now_ns):
            return []
        term = self._watched_term(group)
        if term is None:
            return []
        effects: list[Effect] = []
        # The primary first: a later term may be its own.
        for report in sorted(reports, key=lambda r: r.target != term.primary):
            current = self._watched_term(group)
            if report.role and current is not None:
                effects.extend(
                    self._handle_status(group, current, report, now_ns)
                )
        return effects

    def _handle_status(
        self, group: str, term: GroupTerm, report: TargetReport, now_ns: int
    ) -> list[Effect]:
        leads = report.role == PRIMARY_ROLE
        if report.target == term.primary:
            if 0 < report.asked_ns <= self.primaries.served_since_ns(group):
                # Read for the change that promoted it.
                return []
            if not leads or report.term < term.target_term:
                reason = ChangeReason.ROLE_LOST
                return self._replace(group, term, report, reason, now_ns)
            if report.newest_term > term.target_term:
                return [
                    *self._log(group, term, report, "record-term", now_ns),
                    *self._record_term(group, term, report, now_ns),
                ]
            return []
        if not term.target_term:
            return []
        if report.newest_term > term.target_term:
            reason = ChangeReason.LATER_TERM
            return self._replace(group, term, report, reason, now_ns)
        if leads and report.term < term.target_term:
            return self._correct(group, term, report, now_ns)
        return []

    def _replace(
        self,
        group: str,
        term: GroupTerm,
        report: TargetReport,
        reason: ChangeReason,
        now_ns: int,
    ) -> list[Effect]:
        return [
            *self._log(group, term, report, reason, now_ns),
            *self.primaries.start_change(
                group,
                term.term,
                now_ns,
                reason=reason,
                known_term=report.newest_term,
            ),
        ]

    def _correct(
        self, group: str, term: GroupTerm, report: TargetReport, now_ns: int
    ) -> list[Effect]:
        """Tell an old primary of the present term.

        Right after a change it finds out by itself.
        """
        if self.primaries.is_new_primary(group, now_ns):
            return []
        order = DemoteTarget(
            group=group, target=report.target, term=term.target_term
        )
        return [*self._log(group, term, report, "demote", now_ns), order]

    def _record_term(
        self, group: str, term: GroupTerm, report: TargetReport, now_ns: int
    ) -> list[Effect]:
        payload = json.dumps(
            {
                "group": group,
                "term": term.term,
                "target_term": report.term,
            }
        )
        return self.context.propose(EntryKind.SERVING, payload, now_ns)

    def _log(
        self,
        group: str,
        term: GroupTerm,
        report: TargetReport,
        action: str,
        now_ns: int,
    ) -> list[Effect]:
        age_ms = (now_ns - report.asked_ns) // NS_PER_MS
        text = (
            f"group={group} term={term.term} target_term={term.target_term}"
            f" primary={term.primary} target={report.target}"
            f" role={report.role} observed_term={report.term}"
            f" log={report.progress[0]}.{report.position} age_ms={age_ms}"
            f" action={action}"
        )
        return [LogDecision(event="role-differs", text=text)]

    def _check(self, group: str, target: str, now_ns: int) -> list[Effect]:
        """Read the status of a target, or of all without a name."""
        check = self._checks.setdefault(group, _Check())
        if target:
            check.targets.add(target)
        if now_ns < check.retry_at_ns:
            return []
        check.retry_at_ns = now_ns + CHECK_INTERVAL_MS * NS_PER_MS
        return [
            ProbeGroup(
                group=group,
                attempt=ROLE_ATTEMPT,
                deadline_ns=now_ns + PROBE_TIMEOUT_MS * NS_PER_MS,
                quorum=len(self.context.instances(group)),
                needed=tuple(sorted(check.targets)),
            )
        ]

    def _watched_term(self, group: str) -> GroupTerm | None:
        """Return the term of a group that serves, with no change."""
        state = self.context.state
        term = state.terms.get(group)
        if term is None or not term.is_serving or not term.is_open:
            return None
        if group in self.primaries.changes or group not in state.routes.groups:
            return None
        return term
