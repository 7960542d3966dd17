"""Control host: leases, views and changes of primary over the log."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any, Final

import attrs

from rosemarysaddle.decide._change import (
    ChangeTimes,
    Evidence,
    GroupChange,
    Phase,
    choose_primary,
    counted,
    promotion_quorum,
)
from rosemarysaddle.decide._effects import (
    Committed,
    Effect,
    FollowPrimary,
    LoadSnapshot,
    ProbeGroup,
    PromoteTarget,
    Send,
    TargetReport,
)
from rosemarysaddle.decide._lease import LeaseTable
from rosemarysaddle.decide._log import LogNode, Role
from rosemarysaddle.decide._state import ClusterState, EntryKind
from rosemarysaddle.decide._times import LEASE_MS, NS_PER_MS
from rosemarysaddle.schema import (
    Announcement,
    ChangeProposal,
    ChangeReply,
    CloseGroup,
    ClosingGroup,
    GroupClosed,
    LeaseGrant,
    LeaseRefusal,
    LeaseRenewal,
    LeaseReturn,
    Suspicion,
    Switchover,
    ViewDelta,
    ViewSnapshot,
)

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping, Sequence

    from rosemarysaddle.decide._terms import GroupTerm
    from rosemarysaddle.schema import Group, LogEntry, Message

__all__ = ("ControlNode",)

PROBE_MS: Final = 500
CONFIRM_PROBE_MS: Final = 400
PROMOTE_MS: Final = 1_000
RETRY_MS: Final = 100
PREFERRED_MS: Final = 5_000
COMPACT_ENTRIES: Final = 1_000
KEPT_TIMES: Final = 256
CONFIRM_ATTEMPT: Final = 0
WARM_UP_ATTEMPT: Final = -1
ADMIT_ATTEMPT: Final = -2


@attrs.define(kw_only=True)
class ControlNode:
    """One control host.

    :param log: its part of the replicated log
    :param state: state built from the committed entries
    """

    log: LogNode
    state: ClusterState
    data_center: str
    times: list[ChangeTimes] = attrs.field(factory=list, init=False)
    changes: dict[str, GroupChange] = attrs.field(factory=dict, init=False)
    addresses: dict[str, Announcement] = attrs.field(factory=dict, init=False)
    applied_by_host: dict[str, int] = attrs.field(factory=dict, init=False)
    _leases: LeaseTable = attrs.field(init=False)
    _snapshot: ViewSnapshot | None = attrs.field(default=None, init=False)
    _lease_term: int = attrs.field(default=0, init=False)
    _centers: dict[str, str] = attrs.field(factory=dict, init=False)
    _evidence: dict[str, Evidence] = attrs.field(factory=dict, init=False)
    _marks: dict[tuple[str, str, str, int], int] = attrs.field(
        factory=dict, init=False
    )
    _unopened: set[str] = attrs.field(factory=set, init=False)
    _confirming: set[str] = attrs.field(factory=set, init=False)
    _askers: dict[str, list[str]] = attrs.field(factory=dict, init=False)

    def __attrs_post_init__(self) -> None:
        """Start without leases."""
        self._leases = LeaseTable(blind_until_ns=0)

    @property
    def host(self) -> str:
        """Name of this host."""
        return self.log.host

    def tick(self, now_ns: int) -> list[Effect]:
        """Do what is due at this time.

        :param now_ns: monotonic time, in nanoseconds
        """
        effects = self._absorb(self.log.tick(now_ns), now_ns)
        if self._leads(now_ns):
            effects.extend(self._start_new_groups(now_ns))
            for change in list(self.changes.values()):
                effects.extend(self._advance(change, now_ns))
        return effects

    def receive(
        self, source: str, message: Message, now_ns: int
    ) -> list[Effect]:
        """Handle a message of another host.

        :param source: name of the sender
        :param message: what it sent
        :param now_ns: monotonic time, in nanoseconds
        """
        match message:
            case LeaseRenewal():
                return self._on_renewal(source, message, now_ns)
            case LeaseReturn():
                self._leases.drop(message.host)
                return self._release(message.host, now_ns)
            case GroupClosed():
                return self._on_closed(message, now_ns)
            case Suspicion():
                return self._on_suspicion(message, now_ns)
            case ChangeProposal():
                return self._on_proposal(source, message, now_ns)
            case Announcement():
                return self._on_announcement(message, now_ns)
            case Switchover():
                return self.start_planned(
                    message.group, message.target, now_ns
                )
            case _:
                effects = self.log.receive(source, message, now_ns)
                return self._absorb(effects, now_ns)

    def start_planned(
        self, group: str, preferred: str, now_ns: int
    ) -> list[Effect]:
        """Begin a planned change of primary.

        :param group: name of the group
        :param preferred: instance to promote
        :param now_ns: monotonic time, in nanoseconds
        """
        term = self.state.terms.get(group)
        if term is None or group in self.changes or not self._leads(now_ns):
            return []
        if term.primary == preferred:
            return []
        return self._start_change(group, term.term, now_ns, preferred)

    def on_probe(
        self,
        group: str,
        attempt: int,
        reports: Sequence[TargetReport],
        now_ns: int,
    ) -> list[Effect]:
        """Take the answers of a group's instances.

        :param attempt: attempt named by the probe
        :param reports: one report for each instance
        :param now_ns: monotonic time, in nanoseconds
        """
        if attempt == CONFIRM_ATTEMPT:
            return self._on_confirmation(group, reports, now_ns)
        if attempt == ADMIT_ATTEMPT:
            return self._on_newcomers(group, reports, now_ns)
        change = self.changes.get(group)
        if change is None or change.attempt != attempt:
            return []
        if change.phase is not Phase.PROBE or not self._leads(now_ns):
            return []
        return self._choose(change, reports, now_ns)

    def on_promoted(
        self, group: str, term: int, *, done: bool, now_ns: int
    ) -> list[Effect]:
        """Take the answer of an instance to its promotion.

        :param done: whether it now is primary under the term
        :param now_ns: monotonic time, in nanoseconds
        """
        change = self.changes.get(group)
        if change is None or change.new_term != term:
            return []
        if not done:
            del self.changes[group]
            if not self._leads(now_ns):
                return []
            return self._start_change(group, term, now_ns)
        self.times.append(change.times(now_ns))
        del self.times[:-KEPT_TIMES]
        del self.changes[group]
        self._evidence.pop(group, None)
        return self._order_followers(group)

    def step_down(self, now_ns: int) -> list[Effect]:
        """Give up leadership before a planned stop."""
        return self._absorb(self.log.step_down(now_ns), now_ns)

    def report(self, now_ns: int) -> dict[str, Any]:
        """Describe this host for operators."""
        return {
            "host": self.host,
            "role": str(self.log.role),
            "leader": self.log.leader,
            "current": self.log.is_current(now_ns),
            "log_term": self.log.term,
            "commit_index": self.log.commit_index,
            "leases": sorted(self._leases.deadlines_ns(now_ns)),
            "applied": dict(self.applied_by_host),
            "changes": {
                c.group: {"phase": str(c.phase), "blocked": c.blocked}
                for c in self.changes.values()
            },
            "times": [attrs.asdict(t) for t in self.times],
        }

    # --- log ---

    def _leads(self, now_ns: int) -> bool:
        if not self.log.is_current(now_ns):
            return False
        return self._lease_term == self.log.term

    def _absorb(self, effects: Iterable[Effect], now_ns: int) -> list[Effect]:
        out: list[Effect] = []
        for effect in effects:
            match effect:
                case Committed():
                    out.extend(self._apply_all(effect.entries, now_ns))
                case LoadSnapshot():
                    self.state = ClusterState.load(effect.state)
                case _:
                    out.append(effect)
        if self.log.role is not Role.LEADER:
            self.changes.clear()
            self._confirming.clear()
            self._askers.clear()
        return out

    def _apply_all(
        self, entries: Sequence[LogEntry], now_ns: int
    ) -> list[Effect]:
        out: list[Effect] = []
        for entry in entries:
            reply = self.state.apply(entry)
            if reply is not None:
                out.extend(self._answer(reply))
            out.extend(self._on_applied(entry, now_ns))
        if self.log.role is Role.LEADER:
            delta = ViewDelta(entries=tuple(entries))
            hosts = self._leases.deadlines_ns(now_ns)
            out.extend(Send(peer=host, message=delta) for host in hosts)
        out.extend(self._compact())
        return out

    def _compact(self) -> list[Effect]:
        if self.log.held_entries < COMPACT_ENTRIES:
            return []
        return self.log.compact(self.state.index, self.state.dump())

    def _on_applied(self, entry: LogEntry, now_ns: int) -> list[Effect]:
        if self.log.role is not Role.LEADER:
            return []
        if entry.kind == EntryKind.NOOP and entry.term == self.log.term:
            self._take_office()
            return []
        if entry.kind not in {EntryKind.CLOSE, EntryKind.OPEN}:
            return []
        payload = json.loads(entry.payload)
        change = self.changes.get(payload["group"])
        if change is None:
            return []
        if entry.kind == EntryKind.CLOSE and change.phase is Phase.CLOSE:
            self._unopened.add(change.group)
            return self._fence(change, now_ns)
        if entry.kind == EntryKind.OPEN and change.phase is Phase.OPEN:
            return self._promote(change, now_ns)
        return []

    def _take_office(self) -> None:
        self._lease_term = self.log.term
        self._leases = LeaseTable.for_new_leader(self.log.others_led_until_ns)
        self._evidence.clear()
        self._marks.clear()
        self._unopened = set(self.state.inventory.groups)

    # --- leases ---

    def _on_renewal(
        self, source: str, renewal: LeaseRenewal, now_ns: int
    ) -> list[Effect]:
        if not self._leads(now_ns):
            leader = self.log.leader if self.log.leader != self.host else ""
            refusal = LeaseRefusal(sent_ns=renewal.sent_ns, leader=leader)
            return [Send(peer=source, message=refusal)]
        self._leases.grant(source, now_ns)
        self._centers[source] = renewal.data_center
        self.applied_by_host[source] = renewal.applied_index
        grant = LeaseGrant(
            sent_ns=renewal.sent_ns,
            lease_ms=LEASE_MS,
            min_index=self.state.index,
            closing=self._closing(),
        )
        out: list[Effect] = []
        if renewal.applied_index < self.state.index:
            out.append(self._view_for(source, renewal.applied_index))
        return [*out, Send(peer=source, message=grant)]

    def _closing(self) -> tuple[ClosingGroup, ...]:
        return tuple(
            ClosingGroup(group=c.group, term=c.term, drain=bool(c.preferred))
            for c in self.changes.values()
            if c.phase in {Phase.FENCE, Phase.PROBE, Phase.OPEN}
        )

    def _view_for(self, host: str, applied_index: int) -> Send:
        entries = self.log.entries_after(applied_index)
        if entries is None:
            return Send(peer=host, message=self._view_snapshot())
        return Send(peer=host, message=ViewDelta(entries=entries))

    def _view_snapshot(self) -> ViewSnapshot:
        # Hosts that start together get one snapshot, rendered once.
        index = self.state.index
        if self._snapshot is None or self._snapshot.index != index:
            state = self.state.dump()
            self._snapshot = ViewSnapshot(index=index, state=state)
        return self._snapshot

    # --- documents ---

    def _on_proposal(
        self, source: str, change: ChangeProposal, now_ns: int
    ) -> list[Effect]:
        known = self.state.replies.get(change.change_id)
        if known is not None and self._leads(now_ns):
            return [Send(peer=source, message=known)]
        if not self._leads(now_ns):
            reply = ChangeReply(
                change_id=change.change_id,
                accepted=False,
                version=0,
                reason="not-leader",
                path="",
            )
            return [Send(peer=source, message=reply)]
        askers = self._askers.setdefault(change.change_id, [])
        askers.append(source)
        if len(askers) > 1:
            return []
        payload = json.dumps(attrs.asdict(change))
        return self._propose(EntryKind.CHANGE, payload, now_ns)

    def _answer(self, reply: ChangeReply) -> list[Effect]:
        askers = self._askers.pop(reply.change_id, [])
        return [Send(peer=asker, message=reply) for asker in askers]

    def _propose(self, kind: str, payload: str, now_ns: int) -> list[Effect]:
        return self._absorb(self.log.propose(kind, payload, now_ns), now_ns)

    # --- announcements ---

    def _on_announcement(
        self, announcement: Announcement, now_ns: int
    ) -> list[Effect]:
        self.addresses[announcement.target] = announcement
        if not self._leads(now_ns) or announcement.group in self.changes:
            return []
        term = self.state.terms.get(announcement.group)
        instance = self.state.instance(announcement.target)
        if term is None or instance is None or not term.is_open:
            return []
        if instance.address != announcement.address:
            return []
        if announcement.target == term.primary:
            return self._check_primary(announcement, now_ns)
        if announcement.identity != term.identities.get(announcement.target):
            return [
                *self._check_newcomer(announcement, now_ns),
                *self._follow_if_behind(announcement, term),
            ]
        return self._follow_if_behind(announcement, term)

    def _follow_if_behind(
        self, announcement: Announcement, term: GroupTerm
    ) -> list[Effect]:
        if announcement.role == "primary" or announcement.term < term.term:
            return [self._follow(announcement.group, announcement.target)]
        return []

    def _check_newcomer(
        self, announcement: Announcement, now_ns: int
    ) -> list[Effect]:
        return [
            ProbeGroup(
                group=announcement.group,
                attempt=ADMIT_ATTEMPT,
                deadline_ns=now_ns + PROBE_MS * NS_PER_MS,
                quorum=len(self._instances(announcement.group)),
            )
        ]

    def _on_newcomers(
        self, group: str, reports: Sequence[TargetReport], now_ns: int
    ) -> list[Effect]:
        term = self.state.terms.get(group)
        if term is None or not term.is_open or not self._leads(now_ns):
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
        # What the instance confirmed before its disk was lost is older
        # than the primary's position when the newcomer was first seen.
        key = (group, report.target, report.identity, primary.term)
        mark = self._marks.setdefault(key, primary.position)
        return report.term == primary.term and report.position >= mark

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
        return self._propose(EntryKind.ADMIT, payload, now_ns)

    def _check_primary(
        self, announcement: Announcement, now_ns: int
    ) -> list[Effect]:
        group = announcement.group
        term = self.state.terms[group]
        known = term.identities.get(term.primary, "")
        if announcement.identity != known:
            return self._start_change(group, term.term, now_ns)
        if announcement.term >= term.term and announcement.role == "primary":
            return []
        return [
            PromoteTarget(
                group=group,
                target=term.primary,
                term=term.term,
                start=term.start_of(term.term) or 0,
                deadline_ns=now_ns + PROMOTE_MS * NS_PER_MS,
            )
        ]

    def _follow(self, group: str, target: str) -> FollowPrimary:
        term = self.state.terms[group]
        return FollowPrimary(
            group=group,
            target=target,
            primary=term.primary,
            term=term.term,
            start=term.start_of(term.term) or 0,
        )

    def _order_followers(self, group: str) -> list[Effect]:
        found = self.state.group(group)
        if found is None:
            return []
        primary = self.state.terms[group].primary
        return [
            self._follow(group, instance.name)
            for instance in found.instances
            if instance.name != primary
        ]

    # --- changes of primary ---

    def _start_new_groups(self, now_ns: int) -> list[Effect]:
        self._note_unopened()
        effects: list[Effect] = []
        for name in sorted(self._unopened - self.changes.keys()):
            term = self.state.terms.get(name)
            group = self.state.group(name)
            if group is None or (term is not None and term.is_open):
                self._unopened.discard(name)
            elif term is not None:
                effects.extend(self._start_change(name, term.term, now_ns))
            elif self._is_announced(group):
                effects.extend(self._start_change(name, 0, now_ns))
        return effects

    def _note_unopened(self) -> None:
        touched = self.state.inventory.touched
        self._unopened.update(touched)
        touched.clear()

    def _is_announced(self, group: Group) -> bool:
        return all(
            self.addresses.get(i.name) is not None
            and self.addresses[i.name].address == i.address
            for i in group.instances
        )

    def _on_suspicion(self, suspicion: Suspicion, now_ns: int) -> list[Effect]:
        term = self.state.terms.get(suspicion.group)
        if term is None or not self._leads(now_ns):
            return []
        if (term.term, term.primary) != (suspicion.term, suspicion.target):
            return []
        if suspicion.group in self.changes:
            return []
        self._note_evidence(suspicion.group, suspicion.host, now_ns)
        effects = self._judge(suspicion.group, now_ns)
        if effects or suspicion.group in self._confirming:
            return effects
        return self._confirm(suspicion.group, now_ns)

    def _note_evidence(self, group: str, host: str, now_ns: int) -> None:
        term = self.state.terms[group].term
        evidence = self._evidence.get(group)
        if evidence is None or evidence.term != term:
            evidence = Evidence(term=term, first_ns=now_ns)
            self._evidence[group] = evidence
        evidence.add(host, now_ns)

    def _confirm(self, group: str, now_ns: int) -> list[Effect]:
        self._confirming.add(group)
        return [
            ProbeGroup(
                group=group,
                attempt=CONFIRM_ATTEMPT,
                deadline_ns=now_ns + CONFIRM_PROBE_MS * NS_PER_MS,
                quorum=len(self._instances(group)),
                fresh=True,
            )
        ]

    def _on_confirmation(
        self, group: str, reports: Sequence[TargetReport], now_ns: int
    ) -> list[Effect]:
        self._confirming.discard(group)
        term = self.state.terms.get(group)
        if term is None or group in self.changes or not self._leads(now_ns):
            return []
        dead = any(
            r.target == term.primary and not r.reachable for r in reports
        )
        if not dead:
            return []
        self._note_evidence(group, self.host, now_ns)
        return self._judge(group, now_ns)

    def _judge(self, group: str, now_ns: int) -> list[Effect]:
        evidence = self._evidence[group]
        centers = {**self._centers, self.host: self.data_center}
        holders = {*self._leases.deadlines_ns(now_ns), self.host}
        live = {centers[h] for h in holders if h in centers}
        if not evidence.suffices(
            centers, live_centers=len(live), now_ns=now_ns
        ):
            return []
        term = self.state.terms[group].term
        return self._start_change(
            group, term, now_ns, suspected_ns=evidence.first_ns
        )

    def _start_change(
        self,
        group: str,
        term: int,
        now_ns: int,
        preferred: str = "",
        suspected_ns: int = 0,
    ) -> list[Effect]:
        self.changes[group] = GroupChange(
            group=group,
            term=term,
            suspected_ns=suspected_ns or now_ns,
            started_ns=now_ns,
            preferred=preferred,
            give_up_preferred_ns=now_ns + PREFERRED_MS * NS_PER_MS,
        )
        payload = json.dumps({"group": group, "term": term})
        effects = self._propose(EntryKind.CLOSE, payload, now_ns)
        warm_up = ProbeGroup(
            group=group,
            attempt=WARM_UP_ATTEMPT,
            deadline_ns=now_ns + PROBE_MS * NS_PER_MS,
            quorum=len(self._instances(group)),
        )
        return [*effects, warm_up]

    def _fence(self, change: GroupChange, now_ns: int) -> list[Effect]:
        change.begin_fence(self._leases.deadlines_ns(now_ns))
        close = CloseGroup(
            group=change.group,
            term=change.term,
            drain=bool(change.preferred),
        )
        return [Send(peer=h, message=close) for h in change.waiting_ns]

    def _on_closed(self, closed: GroupClosed, now_ns: int) -> list[Effect]:
        change = self.changes.get(closed.group)
        if change is None or change.term != closed.term:
            return []
        change.waiting_ns.pop(closed.host, None)
        return self._advance(change, now_ns)

    def _release(self, host: str, now_ns: int) -> list[Effect]:
        effects: list[Effect] = []
        for change in list(self.changes.values()):
            change.waiting_ns.pop(host, None)
            effects.extend(self._advance(change, now_ns))
        return effects

    def _advance(self, change: GroupChange, now_ns: int) -> list[Effect]:
        if not self._leads(now_ns):
            return []
        if self.state.group(change.group) is None:
            self.changes.pop(change.group, None)
            return []
        if change.phase is Phase.FENCE and self._is_fenced(change, now_ns):
            change.fenced_ns = now_ns
            change.phase = Phase.PROBE
            return self._probe(change, now_ns)
        due = change.phase is Phase.PROBE and now_ns >= change.retry_at_ns
        return self._probe(change, now_ns) if due else []

    def _is_fenced(self, change: GroupChange, now_ns: int) -> bool:
        return self._leases.sees_all(now_ns) and change.is_fenced(now_ns)

    def _probe(self, change: GroupChange, now_ns: int) -> list[Effect]:
        change.attempt += 1
        deadline_ns = now_ns + PROBE_MS * NS_PER_MS
        change.retry_at_ns = deadline_ns + RETRY_MS * NS_PER_MS
        count = len(self._instances(change.group))
        quorum = count if change.preferred else promotion_quorum(count)
        return [
            ProbeGroup(
                group=change.group,
                attempt=change.attempt,
                deadline_ns=deadline_ns,
                quorum=quorum,
            )
        ]

    def _choose(
        self,
        change: GroupChange,
        reports: Sequence[TargetReport],
        now_ns: int,
    ) -> list[Effect]:
        count = len(self._instances(change.group))
        valid = counted(reports, self._identities(change.group))
        choice = choose_primary(
            valid, instances=count, preferred=change.preferred
        )
        if choice is None:
            change.blocked = "too few instances answer"
            change.retry_at_ns = now_ns + RETRY_MS * NS_PER_MS
            return []
        behind = change.preferred not in {"", choice.target}
        if behind and now_ns < change.give_up_preferred_ns:
            return self._probe(change, now_ns)
        return self._open(change, choice, valid, now_ns)

    def _open(
        self,
        change: GroupChange,
        choice: TargetReport,
        reports: Sequence[TargetReport],
        now_ns: int,
    ) -> list[Effect]:
        newest = max(r.term for r in reports)
        change.new_term = max(change.term, newest) + 1
        change.chosen = choice.target
        change.chosen_ns = now_ns
        change.phase = Phase.OPEN
        change.blocked = ""
        payload = json.dumps(
            {
                "group": change.group,
                "term": change.new_term,
                "primary": choice.target,
                "start": choice.position,
                "identities": {
                    **self._identities(change.group),
                    **{r.target: r.identity for r in reports},
                },
            }
        )
        return self._propose(EntryKind.OPEN, payload, now_ns)

    def _promote(self, change: GroupChange, now_ns: int) -> list[Effect]:
        change.phase = Phase.PROMOTE
        term = self.state.terms[change.group]
        return [
            PromoteTarget(
                group=change.group,
                target=change.chosen,
                term=change.new_term,
                start=term.start_of(change.new_term) or 0,
                deadline_ns=now_ns + PROMOTE_MS * NS_PER_MS,
            )
        ]

    def _identities(self, group: str) -> Mapping[str, str]:
        term = self.state.terms.get(group)
        return {} if term is None else term.identities

    def _instances(self, group: str) -> tuple[Any, ...]:
        found = self.state.group(group)
        return () if found is None else found.instances
