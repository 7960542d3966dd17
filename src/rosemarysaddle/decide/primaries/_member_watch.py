"""Checks whether others hold what former members have acknowledged.

While a group serves, its primary holds all acknowledged writes.  Once
the primary tells a position that is newer than the end of a former
member, and enough replicas have reached it, that member counts no more.
Targets are read only for that, at growing intervals while they lag.
"""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Final

import attrs

from rosemarysaddle.decide._effects import (
    Effect,
    LogDecision,
    ProbeGroup,
    TargetReport,
)
from rosemarysaddle.decide._times import NS_PER_MS
from rosemarysaddle.decide.control_log._state import EntryKind
from rosemarysaddle.decide.primaries._held_writes import PRIMARY_ROLE
from rosemarysaddle.decide.primaries._member_ends import MemberEnds
from rosemarysaddle.decide.primaries._primaries import PROBE_TIMEOUT_MS

if TYPE_CHECKING:
    from collections.abc import Collection, Sequence

    from rosemarysaddle.decide.control_log._context import LeaderContext
    from rosemarysaddle.decide.primaries._former_members import FormerMember
    from rosemarysaddle.decide.primaries._primaries import PrimaryManager
    from rosemarysaddle.decide.primaries._terms import GroupTerm
    from rosemarysaddle.schema import LogEntry

__all__ = ("MEMBERS_ATTEMPT", "FormerMemberWatch")

# Attempt number of a probe for former members; it differs from those
# that `_primaries` and its other users have.
MEMBERS_ATTEMPT: Final = -6
MIN_INTERVAL_MS: Final = 50
MAX_INTERVAL_MS: Final = 2_000


@attrs.define(kw_only=True)
class _Check:
    """Check of the former members of a group in one of its terms.

    :param term: term of the group
    :param members: those that ended before the primary was read
    :param plan_version: plan in force by then
    :param position: progress that the primary told, or None
    :param holders: incarnation of each target known to have reached it
    :param retry_at_ns: time of the next probe
    :param interval_ms: pause before the one after that
    """

    term: int
    members: frozenset[tuple[str, int]] = frozenset()
    plan_version: int = -1
    position: tuple[int, int] | None = None
    holders: dict[str, int] = attrs.field(factory=dict)
    retry_at_ns: int = 0
    interval_ms: int = MIN_INTERVAL_MS

    def read_soon(self, now_ns: int) -> None:
        """Read the primary at once, as a member has ended."""
        self.interval_ms = MIN_INTERVAL_MS
        self.retry_at_ns = now_ns

    def forget_position(self) -> None:
        """Begin anew with a later position of the primary."""
        self.position = None
        self.holders.clear()


@attrs.define(kw_only=True)
class FormerMemberWatch:
    """Drops former members of groups whose writes others hold."""

    context: LeaderContext
    primaries: PrimaryManager
    _checks: dict[str, _Check] = attrs.field(factory=dict, init=False)
    _ends: dict[str, MemberEnds] = attrs.field(factory=dict, init=False)

    def on_elected(self) -> None:
        """Reset the state when this host is elected leader."""
        self._checks.clear()
        self._ends.clear()

    def on_applied(self, entry: LogEntry, now_ns: int) -> None:
        """Note when a member was removed from its group."""
        if entry.kind not in {EntryKind.TARGET, EntryKind.GONE}:
            return
        group = json.loads(entry.payload)["group"]
        term = self._serving_term(group)
        if term is not None and self._former(group):
            self._check_of(group, term, now_ns)

    def tick(self, now_ns: int) -> list[Effect]:
        """Read the status of groups with former members when due."""
        groups = self.context.state.former_members.groups
        for group in self._checks.keys() - groups:
            del self._checks[group]
            del self._ends[group]
        effects: list[Effect] = []
        for group in sorted(groups):
            term = self._serving_term(group)
            if term is not None:
                check = self._check_of(group, term, now_ns)
                former = self._former(group)
                effects.extend(self._ends[group].check(former, now_ns))
                effects.extend(self._probe(group, check, term, now_ns))
        return effects

    def on_end_checked(
        self, group: str, ended: Collection[tuple[str, int]], now_ns: int
    ) -> list[Effect]:
        """Note which former members of a group run no more.

        :param ended: name and incarnation of each that has ended
        """
        check = self._checks.get(group)
        if check is None or not self.context.leads(now_ns):
            return []
        lines = self._ends[group].record(self._former(group), ended, now_ns)
        if lines:
            check.read_soon(now_ns)
        return list(lines)

    def _probe(
        self, group: str, check: _Check, term: GroupTerm, now_ns: int
    ) -> list[Effect]:
        if now_ns < check.retry_at_ns or not self._may_confirm(group, now_ns):
            return []
        check.retry_at_ns = (
            now_ns + (PROBE_TIMEOUT_MS + check.interval_ms) * NS_PER_MS
        )
        return [
            ProbeGroup(
                group=group,
                attempt=MEMBERS_ATTEMPT,
                deadline_ns=now_ns + PROBE_TIMEOUT_MS * NS_PER_MS,
                quorum=len(self.context.instances(group)),
                needed=(term.primary,) if check.position is None else (),
            )
        ]

    def _may_confirm(self, group: str, now_ns: int) -> bool:
        """Tell whether the position of the primary is of use now."""
        members = self.context.state.former_members
        return members.has_lower_count(group) or bool(
            self._ends[group].ended_before(now_ns)
        )

    def _check_of(self, group: str, term: GroupTerm, now_ns: int) -> _Check:
        """Return the check of a group, with all its former members."""
        check = self._checks.get(group)
        if check is None or check.term != term.term:
            check = self._checks[group] = _Check(term=term.term)
        ends = self._ends.setdefault(group, MemberEnds(group=group))
        records = self.context.state.targets.records
        if ends.follow(self._former(group), records, now_ns):
            check.read_soon(now_ns)
        return check

    def on_probe(
        self, group: str, reports: Sequence[TargetReport], now_ns: int
    ) -> list[Effect]:
        """Use the status of targets, whatever it was read for."""
        term = self._serving_term(group)
        if term is None or not self.context.leads(now_ns):
            return []
        if group not in self.context.state.former_members.groups:
            return []
        check = self._check_of(group, term, now_ns)
        if check.position is None:
            self._record_position(group, check, term, reports)
        self._record_holders(group, check, term, reports)
        if check.position is None or not self._is_held(group, check):
            check.interval_ms = min(2 * check.interval_ms, MAX_INTERVAL_MS)
            check.retry_at_ns = now_ns + check.interval_ms * NS_PER_MS
            return []
        return self._confirm(group, check, now_ns)

    def _record_position(
        self,
        group: str,
        check: _Check,
        term: GroupTerm,
        reports: Sequence[TargetReport],
    ) -> None:
        """Record the primary's position, and who had ended before."""
        primary = next(
            (
                r
                for r in reports
                if r.target == term.primary
                and r.role == PRIMARY_ROLE
                and r.term == term.target_term
            ),
            None,
        )
        if primary is None:
            return
        # The reading starts after the end was known, so it covers each
        # write that such a member has acknowledged.
        ended = self._ends[group].ended_before(primary.asked_ns)
        members = self.context.state.former_members
        if not ended and not members.has_lower_count(group):
            return
        check.members = ended
        check.plan_version = self.context.state.routes.version
        check.position = primary.progress
        check.interval_ms = MIN_INTERVAL_MS // 2

    def _record_holders(
        self,
        group: str,
        check: _Check,
        term: GroupTerm,
        reports: Sequence[TargetReport],
    ) -> None:
        if check.position is None:
            return
        records = self.context.state.targets.records
        for report in reports:
            record = records.get(report.target)
            if record is None or record.group != group or not report.role:
                continue
            if report.target == term.primary:
                continue
            if report.asked_ns <= self._ends[group].started_ns(report.target):
                # An earlier incarnation may have answered.
                continue
            if report.progress >= check.position:
                check.holders[report.target] = record.incarnation_ms

    def _is_held(self, group: str, check: _Check) -> bool:
        """Tell whether enough replicas have reached the position.

        One that has left or started again since then does not count.
        """
        records = self.context.state.targets.records
        holders = sum(
            target in records and records[target].incarnation_ms == born_ms
            for target, born_ms in check.holders.items()
        )
        policy = self.context.state.routes.groups[group]
        return holders >= policy.sync_replicas

    def _confirm(self, group: str, check: _Check, now_ns: int) -> list[Effect]:
        position = check.position or (0, 0)
        names = ",".join(f"{t}@{born_ms}" for t, born_ms in check.members)
        text = (
            f"group={group} term={check.term} members={names or '-'}"
            f" position={position[0]}.{position[1]}"
            f" holders={','.join(check.holders)}"
        )
        payload = json.dumps(
            {
                "group": group,
                "members": sorted(check.members),
                "plan_version": check.plan_version,
            }
        )
        check.forget_position()
        check.retry_at_ns = now_ns + PROBE_TIMEOUT_MS * NS_PER_MS
        return [
            LogDecision(event="former-members-dropped", text=text),
            *self.context.propose(EntryKind.HELD, payload, now_ns),
        ]

    def _former(self, group: str) -> tuple[FormerMember, ...]:
        return self.context.state.former_members.of_group(group)

    def _serving_term(self, group: str) -> GroupTerm | None:
        """Return the term of a group that serves, with no change."""
        state = self.context.state
        term = state.terms.get(group)
        if term is None or not (term.is_serving and term.is_open):
            return None
        if group in self.primaries.changes or group not in state.routes.groups:
            return None
        return term if term.target_term else None
