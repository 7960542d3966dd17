"""Decision logic of a control host.

Combines the replicated log with what its leader does: granting leases,
sending views to entry hosts, changing primaries and changing documents.
"""

from __future__ import annotations

import collections
import itertools
import json
from typing import TYPE_CHECKING, Any, Final

import attrs

from rosemarysaddle.decide._effects import (
    Committed,
    Effect,
    LoadSnapshot,
    PromotionResult,
    Send,
    TargetReport,
)
from rosemarysaddle.decide._times import LEASE_MS
from rosemarysaddle.decide.configuration._json_bounds import (
    ValueFault,
    decode_json,
)
from rosemarysaddle.decide.configuration._plan_patch import make_patch
from rosemarysaddle.decide.configuration._plan_repair import PlanRepair
from rosemarysaddle.decide.control_log._context import LeaderContext
from rosemarysaddle.decide.control_log._log import LogNode, Role
from rosemarysaddle.decide.control_log._state import (
    ClusterState,
    DocumentKind,
    EntryKind,
)
from rosemarysaddle.decide.control_log._voter_manager import VoterManager
from rosemarysaddle.decide.leases._entry_host_counter import EntryHostCounter
from rosemarysaddle.decide.leases._lease import LeaseTable
from rosemarysaddle.decide.leases._lease_holders import LeaseHolderRegistry
from rosemarysaddle.decide.leases._neighbours import NeighbourLists
from rosemarysaddle.decide.leases._restarted_hosts import RestartedHosts
from rosemarysaddle.decide.leases._waiting_hosts import WaitingHosts
from rosemarysaddle.decide.primaries._contested import ContestedTargets
from rosemarysaddle.decide.primaries._departures import (
    SUCCESSOR_ATTEMPT,
    DepartureManager,
)
from rosemarysaddle.decide.primaries._member_watch import (
    MEMBERS_ATTEMPT,
    FormerMemberWatch,
)
from rosemarysaddle.decide.primaries._primaries import PrimaryManager
from rosemarysaddle.decide.primaries._reconciler import (
    ADMIT_ATTEMPT,
    InstanceReconciler,
)
from rosemarysaddle.decide.primaries._registry import (
    is_outdated,
    is_update,
    is_well_formed,
    record_of,
)
from rosemarysaddle.decide.primaries._relief import (
    RELIEF_ATTEMPT,
    PrimaryRelief,
)
from rosemarysaddle.decide.primaries._roles import (
    ROLE_ATTEMPT,
    RoleWatch,
    contradicts_state,
)
from rosemarysaddle.schema import (
    Announcement,
    ChangeProposal,
    ChangeReply,
    GroupClosed,
    IndexReply,
    IndexRequest,
    JoinRequest,
    LeaseGrant,
    LeaseRefusal,
    LeaseRenewal,
    LeaseReturn,
    LogEntry,
    PlanReport,
    ReplicasBehind,
    StepOut,
    Suspicion,
    Switchover,
    TermReport,
    ViewDelta,
    ViewSnapshot,
)

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable, Sequence

    from rosemarysaddle.schema import Message

__all__ = ("ControlNode",)

COMPACT_AFTER_ENTRIES: Final = 1_000
COMPACT_AFTER_CHARS: Final = 8 * 1024 * 1024
MAX_RECENT_ENTRIES: Final = 2_000
# Entries that follow a snapshot that is sent to more than one host.
MAX_ENTRIES_AFTER_SNAPSHOT: Final = 16


@attrs.define(kw_only=True)
class ControlNode:
    """One control host.

    :param log: this host's replica of the log
    :param state: state built from the committed entries
    :param data_center: data centre of this host
    :param lease_ms: length of an entry host's lease, in milliseconds
    :param wanted_voters: number of voters to maintain; 0 disables
        changes of the voters and of the recorded count of entry hosts
    :param applied_by_host: log index that each entry host has applied
    """

    log: LogNode
    state: ClusterState
    data_center: str
    lease_ms: int = LEASE_MS
    wanted_voters: int = 0
    primaries: PrimaryManager = attrs.field(init=False)
    departures: DepartureManager = attrs.field(init=False)
    applied_by_host: dict[str, int] = attrs.field(factory=dict, init=False)
    _context: LeaderContext = attrs.field(init=False)
    _reconciler: InstanceReconciler = attrs.field(init=False)
    _relief: PrimaryRelief = attrs.field(init=False)
    _roles: RoleWatch = attrs.field(init=False)
    _former_members: FormerMemberWatch = attrs.field(init=False)
    _lease_holders: LeaseHolderRegistry = attrs.field(init=False)
    _voter_manager: VoterManager = attrs.field(init=False)
    _last_proposed_plan: tuple[int, str] = attrs.field(
        default=(-1, ""), init=False
    )
    _entry_host_counter: EntryHostCounter = attrs.field(
        factory=EntryHostCounter, init=False
    )
    _neighbours: NeighbourLists = attrs.field(
        factory=NeighbourLists, init=False
    )
    _recent: collections.deque[LogEntry] = attrs.field(
        factory=lambda: collections.deque(maxlen=MAX_RECENT_ENTRIES),
        init=False,
    )
    _restarted_hosts: RestartedHosts = attrs.field(
        factory=RestartedHosts, init=False
    )
    _waiting_hosts: WaitingHosts = attrs.field(
        factory=WaitingHosts, init=False
    )
    _snapshot: ViewSnapshot | None = attrs.field(default=None, init=False)
    _lease_term: int = attrs.field(default=0, init=False)
    _contested: ContestedTargets = attrs.field(
        factory=ContestedTargets, init=False
    )
    _waiting_proposers: dict[str, list[str]] = attrs.field(
        factory=dict, init=False
    )
    _plan_repair: PlanRepair = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Create the components of a leader, with no lease granted."""
        self._context = LeaderContext(
            host=self.host,
            data_center=self.data_center,
            state=self.state,
            leases=LeaseTable(unlisted_until_ns=0),
            propose=self._propose,
            leads=self._leads,
        )
        self.primaries = PrimaryManager(context=self._context)
        self.departures = DepartureManager(
            context=self._context, primaries=self.primaries
        )
        self._reconciler = InstanceReconciler(
            context=self._context, primaries=self.primaries
        )
        self._relief = PrimaryRelief(
            context=self._context, primaries=self.primaries
        )
        self._roles = RoleWatch(
            context=self._context, primaries=self.primaries
        )
        self._former_members = FormerMemberWatch(
            context=self._context, primaries=self.primaries
        )
        self._lease_holders = LeaseHolderRegistry(context=self._context)
        self._plan_repair = PlanRepair(context=self._context, log=self.log)
        self._voter_manager = VoterManager(
            log=self.log, wanted=self.wanted_voters
        )

    @property
    def host(self) -> str:
        """Name of this host."""
        return self.log.host

    def tick(self, now_ns: int) -> list[Effect]:
        """Run the timers of the log and, as leader, of the components.

        :param now_ns: monotonic time, in nanoseconds
        """
        effects = self._process_effects(self.log.tick(now_ns), now_ns)
        if self._leads(now_ns):
            self._examine_changed_groups()
            effects.extend(self.primaries.tick(now_ns))
            effects.extend(self.departures.tick(now_ns))
            effects.extend(self._roles.tick(now_ns))
            effects.extend(self._former_members.tick(now_ns))
            effects.extend(self._lease_holders.tick(now_ns))
            effects.extend(self._tick_voters(now_ns))
        effects.extend(self._answer_waiting_hosts(now_ns))
        effects.extend(self._plan_repair.tick(now_ns))
        return effects

    def _examine_changed_groups(self) -> None:
        inventory, targets = self.state.inventory, self.state.targets
        self.primaries.examine(inventory.changed_groups)
        self.primaries.examine(targets.changed_groups)
        self.departures.examine(targets.changed_groups)
        inventory.changed_groups.clear()
        targets.changed_groups.clear()

    def receive(
        self, source: str, message: Message, now_ns: int
    ) -> list[Effect]:
        """Handle a message from another host.

        :param source: name of the sender
        :param message: message received; unknown types are ignored
        :param now_ns: monotonic time, in nanoseconds
        """
        match message:
            case LeaseRenewal():
                return self._on_renewal(source, message, now_ns)
            case LeaseReturn():
                self._waiting_hosts.drop(message.host)
                self._context.leases.drop(message.host)
                return self.primaries.on_lease_returned(message.host, now_ns)
            case GroupClosed():
                return self.primaries.on_closed(message, now_ns)
            case Suspicion() | ReplicasBehind() | TermReport() | PlanReport():
                return self._on_report(message, now_ns)
            case ChangeProposal():
                return self._on_proposal(source, message, now_ns)
            case Announcement():
                return self._on_announcement(message, now_ns)
            case Switchover():
                return self.primaries.start_planned_change(
                    message.group, message.target, now_ns
                )
            case _:
                return self._receive_from_control(source, message, now_ns)

    def _on_report(
        self,
        report: Suspicion | ReplicasBehind | TermReport | PlanReport,
        now_ns: int,
    ) -> list[Effect]:
        if isinstance(report, PlanReport):
            return self._plan_repair.on_report(report, now_ns)
        if isinstance(report, Suspicion):
            return self.primaries.on_suspicion(report, now_ns)
        if isinstance(report, TermReport):
            return self._roles.on_report(report, now_ns)
        return self._relief.on_report(report, now_ns)

    def _receive_from_control(
        self, source: str, message: Message, now_ns: int
    ) -> list[Effect]:
        match message:
            case JoinRequest() | StepOut():
                return self._on_membership(message, now_ns)
            case IndexRequest():
                return [self._answer_index_request(source, message, now_ns)]
            case _:
                effects = self.log.receive(source, message, now_ns)
                out = self._process_effects(effects, now_ns)
                return [*out, *self._answer_waiting_hosts(now_ns)]

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
        effects = self._roles.on_probe(group, reports, now_ns)
        return [
            *effects,
            *self._former_members.on_probe(group, reports, now_ns),
            *self._handle_probe(group, attempt, reports, now_ns),
        ]

    def on_end_checked(
        self, group: str, ended: Collection[tuple[str, int]], now_ns: int
    ) -> list[Effect]:
        """Handle the result of a check of a group's former members.

        :param ended: name and incarnation of each that runs no more
        :param now_ns: monotonic time, in nanoseconds
        """
        return self._former_members.on_end_checked(group, ended, now_ns)

    def _handle_probe(
        self,
        group: str,
        attempt: int,
        reports: Sequence[TargetReport],
        now_ns: int,
    ) -> list[Effect]:
        if attempt == ADMIT_ATTEMPT:
            return self._reconciler.on_admission_probe(group, reports, now_ns)
        if attempt == RELIEF_ATTEMPT:
            return self._relief.on_probe(group, reports, now_ns)
        if attempt == SUCCESSOR_ATTEMPT:
            return self.departures.on_probe(group, reports, now_ns)
        if attempt in {ROLE_ATTEMPT, MEMBERS_ATTEMPT}:
            return []
        return self.primaries.on_probe(group, attempt, reports, now_ns)

    def on_promoted(
        self,
        group: str,
        term: int,
        result: PromotionResult,
        now_ns: int,
    ) -> list[Effect]:
        """Handle the result of the promotion that opened a term.

        :param now_ns: monotonic time, in nanoseconds
        """
        return self.primaries.on_promoted(group, term, result, now_ns)

    def on_order_answered(
        self, group: str, target: str, now_ns: int
    ) -> list[Effect]:
        """Note that all calls to promote a target have been answered.

        :param now_ns: monotonic time, in nanoseconds
        """
        self.primaries.orders.record_answers(group, target, now_ns)
        return []

    def contradicts_state(self, announcement: Announcement) -> bool:
        """Tell whether a target tells another role than recorded."""
        return contradicts_state(announcement, self.state)

    def leads(self, now_ns: int) -> bool:
        """Tell whether this host may act as leader.

        No other host can lead, and this host has applied all entries of
        earlier terms.
        """
        return self._leads(now_ns)

    def lease_holders(self, now_ns: int) -> list[str]:
        """List the entry hosts whose lease may still be valid."""
        return sorted(self._context.leases.deadlines_ns(now_ns))

    def step_down(self, now_ns: int) -> list[Effect]:
        """Step down as leader before a planned stop."""
        return self._process_effects(self.log.step_down(now_ns), now_ns)

    def report(self, now_ns: int) -> dict[str, Any]:
        """Summarize the status of this host for operators."""
        return {
            "host": self.host,
            "role": str(self.log.role),
            "leader": self.log.leader,
            "current": self.log.is_current(now_ns),
            "log_term": self.log.term,
            "commit_index": self.log.commit_index,
            "leases": self.lease_holders(now_ns),
            "applied": dict(self.applied_by_host),
            "changes": {
                c.group: {"phase": str(c.phase), "blocked": c.blocked_reason}
                for c in self.primaries.changes.values()
            },
            "times": [attrs.asdict(t) for t in self.primaries.times],
        }

    # --- log ---

    def _leads(self, now_ns: int) -> bool:
        if not self.log.is_current(now_ns):
            return False
        return self._lease_term == self.log.term

    def _process_effects(
        self, effects: Iterable[Effect], now_ns: int
    ) -> list[Effect]:
        out: list[Effect] = []
        for effect in effects:
            match effect:
                case Committed():
                    out.extend(self._apply_all(effect.entries, now_ns))
                case LoadSnapshot():
                    self._replace_state(ClusterState.load(effect.state))
                case _:
                    out.append(effect)
        if self.log.role is not Role.LEADER:
            self.primaries.on_leadership_lost()
            self._waiting_proposers.clear()
        return out

    def _apply_all(
        self, entries: Sequence[LogEntry], now_ns: int
    ) -> list[Effect]:
        out: list[Effect] = []
        for entry in entries:
            reply = self.state.apply(entry)
            self._recent.append(entry)
            if reply is not None:
                out.extend(self._reply_to_proposers(reply))
            out.extend(self._on_applied(entry, now_ns))
        if self.log.role is Role.LEADER:
            delta = ViewDelta(entries=tuple(entries))
            hosts = self._context.leases.deadlines_ns(now_ns)
            out.extend(Send(peer=host, message=delta) for host in hosts)
        out.extend(self._compact())
        return out

    def _compact(self) -> list[Effect]:
        if (
            self.log.held_entries < COMPACT_AFTER_ENTRIES
            and self.log.held_chars < COMPACT_AFTER_CHARS
        ):
            return []
        return self.log.compact(self.state.index, self.state.dump())

    def _on_applied(self, entry: LogEntry, now_ns: int) -> list[Effect]:
        if self.log.role is not Role.LEADER:
            return []
        if entry.kind == EntryKind.NOOP and entry.term == self.log.term:
            self._on_elected()
            routes = self.state.routes
            self._last_proposed_plan = (routes.version, routes.source)
            self._entry_host_counter.on_elected(now_ns)
            self._neighbours.on_elected(
                now_ns, entry_hosts=self.state.entry_hosts
            )
            return []
        if self.state.skipped_index == entry.index:
            # Later patches start from what is in force.
            routes = self.state.routes
            self._last_proposed_plan = (routes.version, routes.source)
        self.departures.on_applied(entry)
        self._former_members.on_applied(entry, now_ns)
        effects, ready = self._lease_holders.on_applied(entry, now_ns)
        for host, renewal in ready:
            effects.extend(self._on_renewal(host, renewal, now_ns))
        return [*effects, *self.primaries.on_applied(entry, now_ns)]

    def _on_elected(self) -> None:
        self._lease_term = self.log.term
        self._context.leases = LeaseTable.for_new_leader(
            self.log.earlier_leader_until_ns, self.lease_ms
        )
        self.primaries.on_elected()
        self.departures.on_elected()
        self._reconciler.on_elected()
        self._relief.on_elected()
        self._roles.on_elected()
        self._former_members.on_elected()
        self._lease_holders.on_elected()
        self._restarted_hosts.on_elected()

    def _replace_state(self, state: ClusterState) -> None:
        self.state = state
        self._context.state = state
        self._recent.clear()

    # --- leases ---

    def _on_renewal(
        self, source: str, renewal: LeaseRenewal, now_ns: int
    ) -> list[Effect]:
        if not self._leads(now_ns):
            leader = self._other_leader()
            if not leader:
                self._waiting_hosts.add(source, renewal, now_ns)
            refusal = LeaseRefusal(sent_ns=renewal.sent_ns, leader=leader)
            return [Send(peer=source, message=refusal)]
        if not self._lease_holders.is_registered(source):
            return self._lease_holders.register(source, renewal, now_ns)
        if self._context.leases.grant(source, now_ns):
            self.primaries.on_first_renewal(source)
        self._context.centers[source] = renewal.data_center
        self._restarted_hosts.record(source, renewal, now_ns)
        self.applied_by_host[source] = renewal.applied_index
        grant = LeaseGrant(
            sent_ns=renewal.sent_ns,
            lease_ms=self.lease_ms,
            min_index=self.state.index,
            closing=self.primaries.closing(),
        )
        out: list[Effect] = []
        if renewal.applied_index < self.state.index:
            out.extend(self._views_for(source, renewal.applied_index))
        with_remote = self.state.routes.uses_teams
        neighbours = self._neighbours.list_if_changed(
            source,
            renewal,
            centers=self._context.centers,
            present=self._context.leases.holders,
            now_ns=now_ns,
            with_remote=with_remote,
        )
        if neighbours is not None:
            out.append(Send(peer=source, message=neighbours))
        lists = self._neighbours.lists_once_complete(
            centers=self._context.centers,
            present=self._context.leases.holders,
            now_ns=now_ns,
            with_remote=with_remote,
            find_uncounted_ns=self._find_uncounted_ns,
        )
        out.extend(Send(peer=h, message=m) for h, m in lists.items())
        return [*out, Send(peer=source, message=grant)]

    def _find_uncounted_ns(self, data_center: str) -> int:
        return self._restarted_hosts.uncounted_since_ns(
            data_center, self.state.lease_holders
        )

    def _other_leader(self) -> str:
        return self.log.leader if self.log.leader != self.host else ""

    def _answer_waiting_hosts(self, now_ns: int) -> list[Effect]:
        leads, leader = self._leads(now_ns), self._other_leader()
        if not leads and not leader:
            return []
        out: list[Effect] = []
        for host, renewal in self._waiting_hosts.take(now_ns):
            out.extend(self._on_renewal(host, renewal, now_ns))
        return out

    def _views_for(self, host: str, applied_index: int) -> list[Send]:
        # A host without any state applies a snapshot sooner than all
        # entries since the first one.
        entries = self._entries_after(applied_index) if applied_index else None
        if entries is not None:
            return [Send(peer=host, message=ViewDelta(entries=entries))]
        snapshot = self._view_snapshot()
        views = [Send(peer=host, message=snapshot)]
        newer = self._entries_after(snapshot.index)
        if newer:
            views.append(Send(peer=host, message=ViewDelta(entries=newer)))
        return views

    def _entries_after(self, index: int) -> tuple[LogEntry, ...] | None:
        # Each compaction truncates the log.  The recent entries reach
        # further back, so that a slightly lagging host gets a delta.
        if self._recent and self._recent[0].index <= index + 1:
            skipped = index + 1 - self._recent[0].index
            return tuple(itertools.islice(self._recent, skipped, None))
        return self.log.entries_after(index)

    def _view_snapshot(self) -> ViewSnapshot:
        # Hosts that start together need the same one, while each batch
        # of them is registered by a new entry.
        cached, index = self._snapshot, self.state.index
        if (
            cached is None
            or index - cached.index > MAX_ENTRIES_AFTER_SNAPSHOT
            or self._entries_after(cached.index) is None
        ):
            cached = ViewSnapshot(index=index, state=self.state.dump())
            self._snapshot = cached
        return cached

    # --- targets and voters ---

    def _on_announcement(
        self, announcement: Announcement, now_ns: int
    ) -> list[Effect]:
        group = announcement.group
        known = announcement.target in self.state.targets.records
        if group not in self.state.routes.groups and not known:
            return self._reconciler.on_announcement(announcement, now_ns)
        outdated = is_outdated(announcement, self.state.targets)
        if not outdated:
            self.primaries.announced[announcement.target] = announcement
        if not self._leads(now_ns):
            return []
        effects = (
            []
            if outdated
            else self._roles.on_announcement(announcement, now_ns)
        )
        is_change = (
            self._runs_all_the_same(announcement, now_ns)
            if outdated
            else is_update(announcement, self.state.targets)
        )
        if not is_change or not is_well_formed(record_of(announcement)):
            return effects
        kind = EntryKind.GONE if announcement.gone else EntryKind.TARGET
        payload = json.dumps(attrs.asdict(record_of(announcement)))
        return [*effects, *self._propose(kind, payload, now_ns)]

    def _runs_all_the_same(
        self, announcement: Announcement, now_ns: int
    ) -> bool:
        """Tell whether a target held for ended runs."""
        is_end = announcement.gone
        return not is_end and self._contested.shows_to_run(
            announcement, now_ns
        )

    def _on_membership(
        self, message: JoinRequest | StepOut, now_ns: int
    ) -> list[Effect]:
        if not self._leads(now_ns):
            leader = self.log.leader
            # One hop suffices: the followers of a leader know its name.
            if leader in {"", self.host, message.host}:
                return []
            return [Send(peer=leader, message=message)]
        if isinstance(message, StepOut):
            self._voter_manager.step_out(message.host, now_ns)
            return []
        return self._process_effects(
            self._voter_manager.join(message.host, now_ns), now_ns
        )

    def _tick_voters(self, now_ns: int) -> list[Effect]:
        if not self.wanted_voters:
            return []
        effects = self._process_effects(
            self._voter_manager.tick(now_ns), now_ns
        )
        return [*effects, *self._propose_host_count(now_ns)]

    def _propose_host_count(self, now_ns: int) -> list[Effect]:
        recorded = self.state.entry_hosts
        present = len(self._context.leases.deadlines_ns(now_ns))
        count = self._entry_host_counter.count(
            recorded=recorded, present=present, now_ns=now_ns
        )
        if count == recorded:
            return []
        payload = json.dumps({"count": count})
        return self._propose(EntryKind.HOSTS, payload, now_ns)

    def _answer_index_request(
        self, source: str, request: IndexRequest, now_ns: int
    ) -> Send:
        reply = IndexReply(
            asked_ns=request.asked_ns,
            index=self.state.index,
            current=self._leads(now_ns),
        )
        return Send(peer=source, message=reply)

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
        if self._is_outdated_plan(change):
            return [
                Send(peer=source, message=self._outdated_plan_reply(change))
            ]
        proposers = self._waiting_proposers.setdefault(change.change_id, [])
        proposers.append(source)
        if len(proposers) > 1:
            return []
        proposed = self._as_plan_patch(change)
        if isinstance(proposed, ValueFault):
            reply = ChangeReply(
                change_id=change.change_id,
                accepted=False,
                version=self.state.routes.version,
                reason=proposed.reason,
                path=proposed.path,
            )
            return self._reply_to_proposers(reply)
        payload = json.dumps(attrs.asdict(proposed))
        return self._propose(EntryKind.CHANGE, payload, now_ns)

    def _as_plan_patch(
        self, change: ChangeProposal
    ) -> ChangeProposal | ValueFault:
        """Replace a newer plan by a patch of the last proposed one.

        :return: a fault if some host could not read the plan; a host of
            an earlier build may have passed it on
        """
        version, source = self._last_proposed_plan
        if change.kind != DocumentKind.ROUTES:
            return change
        if change.base_version <= version:
            return change
        decoded = decode_json(change.payload)
        if isinstance(decoded, ValueFault):
            return decoded
        patch = make_patch(source, change.payload, decoded=decoded)
        self._last_proposed_plan = (change.base_version, change.payload)
        if patch is None:
            return change
        kind = DocumentKind.ROUTES_PATCH
        return attrs.evolve(change, kind=kind, payload=patch)

    def _is_outdated_plan(self, change: ChangeProposal) -> bool:
        # A plan no newer than the one in force changes nothing.
        is_plan = change.kind == DocumentKind.ROUTES
        return is_plan and change.base_version <= self.state.routes.version

    def _outdated_plan_reply(self, change: ChangeProposal) -> ChangeReply:
        return ChangeReply(
            change_id=change.change_id,
            accepted=True,
            version=self.state.routes.version,
            reason="",
            path="",
        )

    def _reply_to_proposers(self, reply: ChangeReply) -> list[Effect]:
        proposers = self._waiting_proposers.pop(reply.change_id, [])
        return [Send(peer=host, message=reply) for host in proposers]

    def _propose(self, kind: str, payload: str, now_ns: int) -> list[Effect]:
        return self._process_effects(
            self.log.propose(kind, payload, now_ns), now_ns
        )
