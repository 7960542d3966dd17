"""Handling of announcements of inventory instances by the leader.

Corrects roles that differ from the state, admits instances with a new
identity, and replaces primaries that leave.
"""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Final

import attrs

from rosemarysaddle.decide._effects import (
    Effect,
    ProbeGroup,
    PromoteTarget,
    Send,
    TargetReport,
)
from rosemarysaddle.decide._times import NS_PER_MS
from rosemarysaddle.decide.control_log._state import EntryKind
from rosemarysaddle.decide.primaries._change import ChangeReason
from rosemarysaddle.decide.primaries._held_writes import PRIMARY_ROLE
from rosemarysaddle.decide.primaries._primaries import (
    PROBE_TIMEOUT_MS,
    PROMOTE_TIMEOUT_MS,
)

if TYPE_CHECKING:
    from collections.abc import Sequence

    from rosemarysaddle.decide.control_log._context import LeaderContext
    from rosemarysaddle.decide.primaries._primaries import PrimaryManager
    from rosemarysaddle.decide.primaries._terms import GroupTerm
    from rosemarysaddle.schema import Announcement

__all__ = ("ADMIT_ATTEMPT", "InstanceReconciler")

# Attempt number of a probe for the admission of an instance; it differs
# from those that `_primaries` uses.
ADMIT_ATTEMPT: Final = -2


@attrs.define(kw_only=True)
class InstanceReconciler:
    """Brings announced instances into the role the state assigns."""

    context: LeaderContext
    primaries: PrimaryManager
    _catch_up_positions: dict[tuple[str, str, str, int], int] = attrs.field(
        factory=dict, init=False
    )

    def on_elected(self) -> None:
        """Reset the state when this host is elected leader."""
        self._catch_up_positions.clear()

    def on_announcement(
        self, announcement: Announcement, now_ns: int
    ) -> list[Effect]:
        """Handle the announcement of a target.

        Each announcement of a leaving target is forwarded to every host
        with a lease.  A planned change replaces a leaving primary.
        """
        self.primaries.announced[announcement.target] = announcement
        if (
            not self.context.leads(now_ns)
            or announcement.group in self.primaries.changes
        ):
            return []
        term = self.context.state.terms.get(announcement.group)
        instance = self.context.state.instance(announcement.target)
        if term is None or instance is None or not term.is_open:
            return []
        if instance.address != announcement.address:
            return []
        if announcement.leaving:
            return self._handle_leaving(announcement, term, now_ns)
        if announcement.target == term.primary:
            return self._check_primary(announcement, now_ns)
        if announcement.identity != term.identities.get(announcement.target):
            return [
                *self._probe_newcomer(announcement, now_ns),
                *self._follow_if_lagging(announcement, term),
            ]
        return self._follow_if_lagging(announcement, term)

    def _handle_leaving(
        self, announcement: Announcement, term: GroupTerm, now_ns: int
    ) -> list[Effect]:
        hosts = self.context.leases.deadlines_ns(now_ns)
        effects: list[Effect] = [
            Send(peer=host, message=announcement)
            for host in hosts
            if host != self.context.host
        ]
        if announcement.target == term.primary:
            replacement = self._choose_replacement(announcement)
            effects.extend(
                self.primaries.start_planned_change(
                    announcement.group, replacement, now_ns
                )
            )
        return effects

    def _choose_replacement(self, leaving: Announcement) -> str:
        for instance in self.context.instances(leaving.group):
            known = self.primaries.announced.get(instance.name)
            if known is not None and not known.leaving:
                return instance.name
        return leaving.target

    def _follow_if_lagging(
        self, announcement: Announcement, term: GroupTerm
    ) -> list[Effect]:
        if announcement.role == PRIMARY_ROLE or announcement.term < term.term:
            return [
                self.primaries.follow(announcement.group, announcement.target)
            ]
        return []

    def _probe_newcomer(
        self, announcement: Announcement, now_ns: int
    ) -> list[Effect]:
        return [
            ProbeGroup(
                group=announcement.group,
                attempt=ADMIT_ATTEMPT,
                deadline_ns=now_ns + PROBE_TIMEOUT_MS * NS_PER_MS,
                quorum=len(self.context.instances(announcement.group)),
            )
        ]

    def on_admission_probe(
        self, group: str, reports: Sequence[TargetReport], now_ns: int
    ) -> list[Effect]:
        """Admit instances with a new identity that have caught up."""
        term = self.context.state.terms.get(group)
        if term is None or not term.is_open or not self.context.leads(now_ns):
            return []
        primary = next((r for r in reports if r.target == term.primary), None)
        if primary is None or primary.term != term.term:
            return []
        effects: list[Effect] = []
        for report in reports:
            if report.identity in {"", term.identities.get(report.target)}:
                continue
            if self._has_caught_up(group, report, primary):
                effects.extend(self._admit(group, term.term, report, now_ns))
        return effects

    def _has_caught_up(
        self, group: str, report: TargetReport, primary: TargetReport
    ) -> bool:
        # All writes that the instance acknowledged before it lost its
        # disk lie before the primary's position at the time when the
        # new identity was first seen.
        key = (group, report.target, report.identity, primary.term)
        required = self._catch_up_positions.setdefault(key, primary.position)
        return report.term == primary.term and report.position >= required

    def _admit(
        self, group: str, term: int, report: TargetReport, now_ns: int
    ) -> list[Effect]:
        payload = json.dumps(
            {
                "group": group,
                "term": term,
                "target": report.target,
                "identity": report.identity,
            }
        )
        return self.context.propose(EntryKind.ADMIT, payload, now_ns)

    def _check_primary(
        self, announcement: Announcement, now_ns: int
    ) -> list[Effect]:
        group = announcement.group
        term = self.context.state.terms[group]
        known = term.identities.get(term.primary, "")
        if announcement.identity != known:
            return self.primaries.start_change(
                group, term.term, now_ns, reason=ChangeReason.NEW_IDENTITY
            )
        if (
            announcement.term >= term.term
            and announcement.role == PRIMARY_ROLE
        ):
            return []
        return [
            PromoteTarget(
                group=group,
                target=term.primary,
                term=term.term,
                start=term.start_of(term.term) or 0,
                deadline_ns=now_ns + PROMOTE_TIMEOUT_MS * NS_PER_MS,
            )
        ]
