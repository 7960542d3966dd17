"""Changes of primary, driven by the control leader.

A change closes the term of the old primary, waits until no entry host
can write under it, probes the instances, opens a new term with one of
them as primary, and promotes it.
"""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Final

import attrs

from rosemarysaddle.decide._effects import (
    Effect,
    FollowPrimary,
    ProbeGroup,
    PromoteTarget,
    PromotionResult,
    Send,
    TargetReport,
)
from rosemarysaddle.decide._times import NS_PER_MS
from rosemarysaddle.decide.control_log._state import EntryKind
from rosemarysaddle.decide.primaries._acknowledged_reports import (
    AcknowledgedReports,
)
from rosemarysaddle.decide.primaries._announced_choice import AnnouncedChoice
from rosemarysaddle.decide.primaries._change import (
    ChangeReason,
    ChangeTimes,
    Evidence,
    GroupChange,
    Phase,
    choose_primary,
    eligible_reports,
    promotion_quorum,
)
from rosemarysaddle.decide.primaries._change_log import log_serving, log_start
from rosemarysaddle.decide.primaries._held_writes import PRIMARY_ROLE
from rosemarysaddle.decide.primaries._orders_in_doubt import (
    OrdersInDoubt,
    Settlement,
)
from rosemarysaddle.schema import (
    Announcement,
    CloseGroup,
    ClosingGroup,
    GroupClosed,
    LogEntry,
    Suspicion,
)

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from rosemarysaddle.decide.control_log._context import LeaderContext
    from rosemarysaddle.decide.primaries._terms import GroupTerm
    from rosemarysaddle.schema import Group

__all__ = (
    "CONFIRM_ATTEMPT",
    "PROBE_TIMEOUT_MS",
    "PROMOTE_TIMEOUT_MS",
    "PrimaryManager",
)

PROBE_TIMEOUT_MS: Final = 500
# Factor by which the time-out grows while a needed target is slow.
MAX_PROBE_TIMEOUTS: Final = 4
CONFIRM_PROBE_TIMEOUT_MS: Final = 400
PROMOTE_TIMEOUT_MS: Final = 1_000
# The result of a promotion arrives within this time after its deadline.
PROMOTE_RESULT_MS: Final = 1_000
RETRY_DELAY_MS: Final = 100
# Pause after the second failed promotion of an outage; doubles with
# each further one.
FAILED_PAUSE_MS: Final = 200
MAX_FAILED_PAUSE_MS: Final = 2_000
# Suspicions of a new primary are ignored for this long.
NEW_PRIMARY_GRACE_MS: Final = 1_500
CANDIDATE_TIMEOUT_MS: Final = 5_000
MAX_KEPT_TIMES: Final = 256
# A change numbers its probes from 1.  Two others here have numbers of
# their own: the probe that confirms a suspicion, and the warm-up probe,
# which only opens the connections for the next one; its result is
# ignored.
CONFIRM_ATTEMPT: Final = 0
WARM_UP_ATTEMPT: Final = -1


@attrs.define(kw_only=True)
class PrimaryManager:
    """Maintains one primary for each group.

    :param announced: newest announcement of each instance
    :param changes: changes in progress, by group
    :param times: times of the most recent changes
    :param promote_timeout_ms: time-out of a promotion, in milliseconds
    """

    context: LeaderContext
    promote_timeout_ms: int = PROMOTE_TIMEOUT_MS
    announced: dict[str, Announcement] = attrs.field(factory=dict)
    changes: dict[str, GroupChange] = attrs.field(factory=dict)
    times: list[ChangeTimes] = attrs.field(factory=list)
    orders: OrdersInDoubt = attrs.field(init=False)
    _acknowledged: AcknowledgedReports = attrs.field(init=False)
    _announced_choice: AnnouncedChoice = attrs.field(init=False)
    _evidence: dict[str, Evidence] = attrs.field(factory=dict, init=False)
    _groups_to_open: set[str] = attrs.field(factory=set, init=False)
    _confirming_until_ns: dict[str, int] = attrs.field(
        factory=dict, init=False
    )
    _grace_until_ns: dict[str, int] = attrs.field(factory=dict, init=False)
    _served_since_ns: dict[str, int] = attrs.field(factory=dict, init=False)
    _failed_promotions: dict[str, int] = attrs.field(factory=dict, init=False)

    def __attrs_post_init__(self) -> None:
        """Create the parts for groups of the route plan."""
        self.orders = OrdersInDoubt(context=self.context)
        self._acknowledged = AcknowledgedReports(context=self.context)
        self._announced_choice = AnnouncedChoice(
            context=self.context,
            orders=self.orders,
            acknowledged=self._acknowledged,
        )

    def on_elected(self) -> None:
        """Reset the state when this host is elected leader."""
        self._evidence.clear()
        self._served_since_ns.clear()
        self._failed_promotions.clear()
        self.orders.on_elected()
        state = self.context.state
        self._groups_to_open = {*state.inventory.groups, *state.routes.groups}

    def on_leadership_lost(self) -> None:
        """Drop the changes that only a leader may continue."""
        self.changes.clear()
        self._acknowledged.clear()
        self._confirming_until_ns.clear()

    def tick(self, now_ns: int) -> list[Effect]:
        """Start the changes that are due, and advance running ones."""
        effects = self.orders.tick(now_ns)
        effects.extend(self._start_new_groups(now_ns))
        for change in list(self.changes.values()):
            effects.extend(self._advance(change, now_ns))
        return effects

    def closing(self) -> tuple[ClosingGroup, ...]:
        """List the groups with a closed term and no newer open one."""
        return tuple(
            ClosingGroup(group=c.group, term=c.term, drain=bool(c.preferred))
            for c in self.changes.values()
            if c.phase in {Phase.FENCE, Phase.PROBE, Phase.OPEN}
        )

    def on_applied(self, entry: LogEntry, now_ns: int) -> list[Effect]:
        """Advance a change whose log entry has been committed."""
        if entry.kind not in {EntryKind.CLOSE, EntryKind.OPEN}:
            return []
        group = json.loads(entry.payload)["group"]
        if entry.kind == EntryKind.OPEN:
            self.orders.examine(group)
        change = self.changes.get(group)
        if change is None:
            return []
        if entry.kind == EntryKind.CLOSE and change.phase is Phase.CLOSE:
            self._groups_to_open.add(change.group)
            return self._fence(change, now_ns)
        if entry.kind == EntryKind.OPEN and change.phase is Phase.OPEN:
            return self._promote(change, now_ns)
        return []

    def start_planned_change(
        self,
        group: str,
        preferred: str,
        now_ns: int,
        *,
        keeps_former: bool = False,
        is_warm: bool = False,
    ) -> list[Effect]:
        """Start a planned change of primary.

        Nothing is done if a change of the group is in progress, if the
        instance is its primary already, or if this host does not lead.
        A primary whose own promotion may be carried out once more keeps
        the role until that is settled.

        :param group: name of the group
        :param preferred: instance to promote
        :param now_ns: monotonic time, in nanoseconds
        :param keeps_former: whether the former primary stays if no
            replica holds all its writes soon after the fence
        :param is_warm: whether connections to the instances are open
        """
        term = self.context.state.terms.get(group)
        if (
            term is None
            or group in self.changes
            or not self.context.leads(now_ns)
        ):
            return []
        if term.primary == preferred:
            return []
        if term.primary in self.orders.targets(group, now_ns):
            return []
        return self.start_change(
            group,
            term.term,
            now_ns,
            preferred,
            keeps_former=keeps_former,
            is_warm=is_warm,
            reason=ChangeReason.PLANNED,
        )

    def on_probe(
        self,
        group: str,
        attempt: int,
        reports: Sequence[TargetReport],
        now_ns: int,
    ) -> list[Effect]:
        """Handle the result of a probe of a group's instances.

        :param attempt: attempt number of the probe
        :param reports: reports of the instances; an instance that did
            not answer may be missing
        :param now_ns: monotonic time, in nanoseconds
        """
        if attempt == CONFIRM_ATTEMPT:
            return self._on_confirmation(group, reports, now_ns)
        change = self.changes.get(group)
        if change is None or change.attempt != attempt:
            return []
        if change.phase is not Phase.PROBE or not self.context.leads(now_ns):
            return []
        return self._choose(change, reports, now_ns)

    def on_promoted(
        self,
        group: str,
        term: int,
        result: PromotionResult,
        now_ns: int,
    ) -> list[Effect]:
        """Handle the result of the promotion that opened a term.

        A failed promotion starts another change under a newer term.

        :param now_ns: monotonic time, in nanoseconds
        """
        change = self.changes.get(group)
        if change is None or change.new_term != term:
            return []
        del self.changes[group]
        if result.has_open_calls:
            self.orders.record_open_calls(group, change.chosen, now_ns)
        settled = []
        if result.is_settled:
            outcome = (
                Settlement.TOOK_EFFECT if result.done else Settlement.REFUSED
            )
            settled = self.orders.settle(group, term, outcome, now_ns)
        if not result.done:
            if not self.context.leads(now_ns):
                return settled
            started = self.start_change(
                group, term, now_ns, reason=ChangeReason.PROMOTION_FAILED
            )
            self._pause(group, now_ns)
            return [*settled, *started]
        self.times.append(change.times(now_ns))
        del self.times[:-MAX_KEPT_TIMES]
        self._groups_to_open.discard(group)
        self._evidence.pop(group, None)
        self._failed_promotions.pop(group, None)
        self._acknowledged.forget(group)
        self.orders.end_outage(group)
        if self._is_route_group(group):
            self._served_since_ns[group] = now_ns
            self._grace_until_ns[group] = (
                now_ns + NEW_PRIMARY_GRACE_MS * NS_PER_MS
            )
        payload = json.dumps(
            {"group": group, "term": term, "target_term": result.target_term}
        )
        log = log_serving(change, result, now_ns)
        serving = self.context.propose(EntryKind.SERVING, payload, now_ns)
        return [log, *settled, *serving, *self._order_replicas(group)]

    def _pause(self, group: str, now_ns: int) -> None:
        """Let a change wait after repeated failures.

        A platform that refuses each order at once takes few a second.
        """
        failures = self._failed_promotions.get(group, 0)
        self._failed_promotions[group] = failures + 1
        change = self.changes.get(group)
        if change is not None and failures:
            pause_ms = min(
                FAILED_PAUSE_MS << (failures - 1), MAX_FAILED_PAUSE_MS
            )
            change.probe_from_ns = now_ns + pause_ms * NS_PER_MS

    def served_since_ns(self, group: str) -> int:
        """Return when this leader saw the primary of a group promoted.

        :return: monotonic time in nanoseconds, 0 if an earlier leader
            saw it
        """
        return self._served_since_ns.get(group, 0)

    def is_new_primary(self, group: str, now_ns: int) -> bool:
        """Tell whether a group's primary was promoted just now."""
        return now_ns < self._grace_until_ns.get(group, 0)

    def follow(self, group: str, target: str) -> FollowPrimary:
        """Order an instance to replicate from its group's primary."""
        term = self.context.state.terms[group]
        return FollowPrimary(
            group=group,
            target=target,
            primary=term.primary,
            term=term.term,
            start=term.start_of(term.term) or 0,
        )

    def _order_replicas(self, group: str) -> list[Effect]:
        found = self.context.state.group(group)
        if found is None:
            return []
        primary = self.context.state.terms[group].primary
        return [
            self.follow(group, instance.name)
            for instance in found.instances
            if instance.name != primary
        ]

    def examine(self, groups: Iterable[str]) -> None:
        """Open the groups that are new or closed with the next tick."""
        self._groups_to_open.update(groups)

    def _start_new_groups(self, now_ns: int) -> list[Effect]:
        effects: list[Effect] = []
        for name in sorted(self._groups_to_open - self.changes.keys()):
            term = self.context.state.terms.get(name)
            group = self.context.state.group(name)
            if group is None:
                self._groups_to_open.discard(name)
            elif term is not None and term.is_open:
                if term.is_serving or not self._is_route_group(name):
                    self._groups_to_open.discard(name)
                else:
                    effects.extend(self._resume_promotion(name, term, now_ns))
            elif term is not None:
                effects.extend(
                    self.start_change(
                        name, term.term, now_ns, reason=ChangeReason.CLOSED
                    )
                )
            elif self._is_fully_announced(group):
                effects.extend(
                    self.start_change(
                        name, 0, now_ns, reason=ChangeReason.NEW_GROUP
                    )
                )
        return effects

    def _is_route_group(self, group: str) -> bool:
        """Tell whether a group is in the route plan.

        The members of such a group are the targets that announce
        themselves; those of other groups are listed in the inventory.
        """
        return group in self.context.state.routes.groups

    def _resume_promotion(
        self, group: str, term: GroupTerm, now_ns: int
    ) -> list[Effect]:
        """Continue a promotion that is not known to have taken effect.

        An earlier leader started it, or this one lost its result.
        """
        change = GroupChange(
            group=group,
            term=0,
            suspected_ns=now_ns,
            started_ns=now_ns,
            reason=ChangeReason.CLOSED,
        )
        change.chosen = term.primary
        change.new_term = term.term
        order = term.order_of(term.term)
        if self._is_route_group(group):
            change.may_order = order is not None
            change.above_term = (
                max(0, term.target_term - 1)
                if order is None
                else order.above_term
            )
        self.changes[group] = change
        return self._promote(change, now_ns)

    def _is_fully_announced(self, group: Group) -> bool:
        if self._is_route_group(group.name):
            return bool(group.instances)
        return all(
            self.announced.get(i.name) is not None
            and self.announced[i.name].address == i.address
            for i in group.instances
        )

    def on_suspicion(self, suspicion: Suspicion, now_ns: int) -> list[Effect]:
        """Handle a suspected outage of a primary.

        A host reports that the primary accepts no new connections.
        """
        term = self.context.state.terms.get(suspicion.group)
        if term is None or not self.context.leads(now_ns):
            return []
        if (term.term, term.primary) != (suspicion.term, suspicion.target):
            return []
        if suspicion.group in self.changes:
            return []
        if self.is_new_primary(suspicion.group, now_ns):
            return []
        self._record_evidence(suspicion.group, suspicion.host, now_ns)
        effects = self._fail_over_if_proven(suspicion.group, now_ns)
        if effects:
            return effects
        if now_ns < self._confirming_until_ns.get(suspicion.group, 0):
            return []
        return self._probe_to_confirm(suspicion.group, now_ns)

    def _record_evidence(self, group: str, host: str, now_ns: int) -> None:
        term = self.context.state.terms[group].term
        evidence = self._evidence.get(group)
        if evidence is None or evidence.term != term:
            evidence = Evidence(term=term, first_ns=now_ns)
            self._evidence[group] = evidence
        evidence.add(host, now_ns)

    def _probe_to_confirm(self, group: str, now_ns: int) -> list[Effect]:
        deadline_ns = now_ns + CONFIRM_PROBE_TIMEOUT_MS * NS_PER_MS
        # A result that is lost holds up the next probe for a moment.
        self._confirming_until_ns[group] = (
            deadline_ns + RETRY_DELAY_MS * NS_PER_MS
        )
        return [
            ProbeGroup(
                group=group,
                attempt=CONFIRM_ATTEMPT,
                deadline_ns=deadline_ns,
                quorum=len(self.context.instances(group)),
                fresh=True,
            )
        ]

    def _on_confirmation(
        self, group: str, reports: Sequence[TargetReport], now_ns: int
    ) -> list[Effect]:
        self._confirming_until_ns.pop(group, None)
        term = self.context.state.terms.get(group)
        if (
            term is None
            or group in self.changes
            or not self.context.leads(now_ns)
        ):
            return []
        is_unreachable = any(
            r.target == term.primary and not r.reachable for r in reports
        )
        if not is_unreachable:
            return []
        self._record_evidence(group, self.context.host, now_ns)
        return self._fail_over_if_proven(group, now_ns)

    def _fail_over_if_proven(self, group: str, now_ns: int) -> list[Effect]:
        evidence = self._evidence[group]
        centers = {
            **self.context.centers,
            self.context.host: self.context.data_center,
        }
        holders = {
            *self.context.leases.deadlines_ns(now_ns),
            self.context.host,
        }
        live = {centers[h] for h in holders if h in centers}
        if not evidence.has_host_quorum(
            centers, live_centers=len(live), now_ns=now_ns
        ):
            return []
        if self._is_route_group(group) and not evidence.is_corroborated(
            observer=self.context.host,
            hosts=self.context.state.entry_hosts,
            now_ns=now_ns,
        ):
            return []
        term = self.context.state.terms[group].term
        return self.start_change(
            group,
            term,
            now_ns,
            suspected_ns=evidence.first_ns,
            reason=ChangeReason.SUSPECTED,
        )

    def start_change(
        self,
        group: str,
        term: int,
        now_ns: int,
        preferred: str = "",
        suspected_ns: int = 0,
        *,
        keeps_former: bool = False,
        is_warm: bool = False,
        reason: str = "",
        known_term: int = 0,
    ) -> list[Effect]:
        """Start a change by closing the current term of a group.

        A warm-up probe opens connections to the instances meanwhile.

        :param term: term to close; 0 for a new group
        :param preferred: instance to promote in a planned change
        :param suspected_ns: time of the first evidence, in nanoseconds,
            or 0 where there is none
        :param keeps_former: whether the former primary stays if no
            replica holds all its writes soon after the fence
        :param is_warm: whether connections to the instances are open,
            so that no warm-up probe is needed
        :param reason: why the change is started, for the log
        :param known_term: newest term that a target knows of, as
            instances number theirs; 0 if none was seen now
        """
        self.changes[group] = GroupChange(
            group=group,
            term=term,
            suspected_ns=suspected_ns or now_ns,
            started_ns=now_ns,
            preferred=preferred,
            keeps_former=keeps_former,
            candidate_deadline_ns=now_ns + CANDIDATE_TIMEOUT_MS * NS_PER_MS,
            reason=reason,
        )
        payload = json.dumps({"group": group, "term": term})
        effects = [
            log_start(
                self.changes[group],
                self.context.state.terms.get(group),
                self.orders.targets(group, now_ns),
            ),
            *self._announced_choice.record_seen(
                self.changes[group], known_term, now_ns
            ),
            *self.context.propose(EntryKind.CLOSE, payload, now_ns),
        ]
        if is_warm:
            return effects
        warm_up = ProbeGroup(
            group=group,
            attempt=WARM_UP_ATTEMPT,
            deadline_ns=now_ns + PROBE_TIMEOUT_MS * NS_PER_MS,
            quorum=len(self.context.instances(group)),
        )
        return [*effects, warm_up]

    def _fence(self, change: GroupChange, now_ns: int) -> list[Effect]:
        change.begin_fence(self.context.leases.deadlines_ns(now_ns))
        close = CloseGroup(
            group=change.group,
            term=change.term,
            drain=bool(change.preferred),
        )
        return [Send(peer=h, message=close) for h in change.fence_deadlines_ns]

    def on_closed(self, closed: GroupClosed, now_ns: int) -> list[Effect]:
        """Handle a host's confirmation that it has closed a term."""
        change = self.changes.get(closed.group)
        if change is None or change.term != closed.term:
            return []
        change.fence_deadlines_ns.pop(closed.host, None)
        self._acknowledged.record(closed)
        return self._advance(change, now_ns)

    def on_first_renewal(self, host: str) -> None:
        """Wait for a host that may hold a lease of an earlier leader.

        It was not listed when the term was closed, and the grant that
        tells it of the closing may not arrive.
        """
        until_ns = self.context.leases.unlisted_until_ns
        for change in self.changes.values():
            if change.phase is Phase.FENCE:
                held_ns = change.fence_deadlines_ns.get(host, 0)
                change.fence_deadlines_ns[host] = max(held_ns, until_ns)

    def on_lease_returned(self, host: str, now_ns: int) -> list[Effect]:
        """Stop waiting for a host that has returned its lease."""
        effects: list[Effect] = []
        for change in list(self.changes.values()):
            change.fence_deadlines_ns.pop(host, None)
            effects.extend(self._advance(change, now_ns))
        return effects

    def _advance(self, change: GroupChange, now_ns: int) -> list[Effect]:
        if not self.context.leads(now_ns):
            return []
        if self.context.state.group(change.group) is None:
            self.changes.pop(change.group, None)
            return []
        if (
            change.phase is Phase.FENCE
            and now_ns >= change.probe_from_ns
            and self._is_fenced(change, now_ns)
        ):
            change.fenced_ns = now_ns
            change.phase = Phase.PROBE
            return self._probe(change, now_ns)
        if change.phase is Phase.PROMOTE and now_ns >= (
            change.promote_until_ns + PROMOTE_RESULT_MS * NS_PER_MS
        ):
            return self.on_promoted(
                change.group,
                change.new_term,
                PromotionResult(done=False),
                now_ns,
            )
        is_due = change.phase is Phase.PROBE and now_ns >= change.retry_at_ns
        return self._probe(change, now_ns) if is_due else []

    def _is_fenced(self, change: GroupChange, now_ns: int) -> bool:
        return self.context.lists_all_leases(now_ns) and change.is_fenced(
            now_ns
        )

    def _probe(self, change: GroupChange, now_ns: int) -> list[Effect]:
        change.attempt += 1
        timeout_ms = PROBE_TIMEOUT_MS
        if self._announced_choice.sync_replicas(change.group):
            # The one slow replica may be the one that is needed.
            timeout_ms *= min(change.attempt, MAX_PROBE_TIMEOUTS)
        deadline_ns = now_ns + timeout_ms * NS_PER_MS
        change.retry_at_ns = deadline_ns + RETRY_DELAY_MS * NS_PER_MS
        count = len(self.context.instances(change.group))
        needed: tuple[str, ...] = ()
        if self._is_route_group(change.group):
            quorum = count
            if change.term and not change.preferred:
                # The primary is presumed lost.
                needed = self._find_others(change.group)
            if change.attempt > 1 or self.orders.targets(change.group, now_ns):
                # What has answered so far was not enough.
                needed = ()
        elif change.preferred or not change.term:
            quorum = count
        else:
            quorum = promotion_quorum(count)
        return [
            ProbeGroup(
                group=change.group,
                attempt=change.attempt,
                deadline_ns=deadline_ns,
                quorum=quorum,
                needed=needed,
                identities=self.context.identities(change.group),
            )
        ]

    def _find_others(self, group: str) -> tuple[str, ...]:
        """List the instances of a group besides its primary."""
        term = self.context.state.terms.get(group)
        primary = "" if term is None else term.primary
        return tuple(
            instance.name
            for instance in self.context.instances(group)
            if instance.name != primary
        )

    def _choose(
        self,
        change: GroupChange,
        reports: Sequence[TargetReport],
        now_ns: int,
    ) -> list[Effect]:
        if self._is_route_group(change.group):
            announced, effects = self._announced_choice.choose(
                change, reports, now_ns
            )
            if announced is None:
                change.retry_at_ns = now_ns + RETRY_DELAY_MS * NS_PER_MS
                return effects
            return [*effects, *self._open(change, announced, (), now_ns)]
        count = len(self.context.instances(change.group))
        eligible = eligible_reports(
            reports, self.context.identities(change.group)
        )
        choice = choose_primary(
            eligible, instances=count, preferred=change.preferred
        )
        if choice is None:
            change.blocked_reason = "too few eligible instances answered"
            change.retry_at_ns = now_ns + RETRY_DELAY_MS * NS_PER_MS
            return []
        preferred_lags = change.preferred not in {"", choice.target}
        is_partial = not change.term and len(eligible) < count
        if is_partial and now_ns < change.candidate_deadline_ns:
            change.retry_at_ns = now_ns + RETRY_DELAY_MS * NS_PER_MS
            return []
        if preferred_lags and now_ns < change.candidate_deadline_ns:
            return [
                *self._let_preferred_follow(change, reports),
                *self._probe(change, now_ns),
            ]
        return self._open(change, choice, eligible, now_ns)

    def _let_preferred_follow(
        self, change: GroupChange, reports: Sequence[TargetReport]
    ) -> list[Effect]:
        """Let a preferred instance follow that is in an earlier term.

        One that was cut off has not been told of the present primary,
        and catches up with nobody.
        """
        term = self.context.state.terms[change.group]
        for report in reports:
            is_earlier = report.term < term.term or report.role == PRIMARY_ROLE
            if report.target == change.preferred and is_earlier:
                return [self.follow(change.group, change.preferred)]
        return []

    def _open(
        self,
        change: GroupChange,
        choice: TargetReport,
        reports: Sequence[TargetReport],
        now_ns: int,
    ) -> list[Effect]:
        newest = max((r.term for r in reports), default=0)
        change.new_term = max(change.term, newest) + 1
        change.chosen = choice.target
        change.chosen_ns = now_ns
        change.phase = Phase.OPEN
        change.blocked_reason = ""
        body = {
            "group": change.group,
            "term": change.new_term,
            "primary": choice.target,
            "start": choice.position,
            "start_term": choice.progress[0],
            "identities": {
                **self.context.identities(change.group),
                **{r.target: r.identity for r in reports},
            },
        }
        if change.may_order and self._is_route_group(change.group):
            body["above_term"] = change.above_term
        payload = json.dumps(body)
        return self.context.propose(EntryKind.OPEN, payload, now_ns)

    def _promote(self, change: GroupChange, now_ns: int) -> list[Effect]:
        change.phase = Phase.PROMOTE
        deadline_ns = now_ns + self.promote_timeout_ms * NS_PER_MS
        change.promote_until_ns = deadline_ns
        term = self.context.state.terms[change.group]
        return [
            PromoteTarget(
                group=change.group,
                target=change.chosen,
                term=change.new_term,
                start=term.start_of(change.new_term) or 0,
                deadline_ns=deadline_ns,
                above_term=change.above_term,
                may_be_primary=change.may_be_primary,
                may_be_present=change.may_be_present,
                may_order=change.may_order,
            )
        ]
