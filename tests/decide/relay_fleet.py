"""Control and entry hosts on links that may be cut in one direction."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any

import attrs

from rosemarysaddle._jitter import election_jitter
from rosemarysaddle.decide import (
    ClusterState,
    ControlNode,
    EntryNode,
    LogNode,
    ProbeGroup,
    PromoteTarget,
    PromotionResult,
    RelayRoutes,
    Send,
    SendRelayed,
    TargetReport,
    is_relayable,
)
from rosemarysaddle.decide.primaries._change import Phase
from rosemarysaddle.node._timing import LEASE_MS, RENEWAL_INTERVAL_MS
from rosemarysaddle.schema import Announcement, ChangeProposal, LeaseGrant
from tests.helpers import NS_PER_MS, VOTERS, FakeDisk

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

__all__ = ("ENTRY", "GROUP", "TARGETS", "Fleet")

GROUP = "db-1"
TARGETS = ("db-1a", "db-1b", "db-1c")
ENTRY = ("h1", "h2", "h3")
STEP_MS = 50
MAX_HISTORY = 60


@attrs.frozen(kw_only=True)
class Packet:
    """Message on one link.

    :param relayed: entry host that a relayed message is from or for
    :param author: control host that sent a relayed message
    """

    source: str
    target: str
    message: Any
    relayed: str = ""
    author: str = ""


def _inventory() -> str:
    instances = [
        {"name": t, "data_center": "dc-1", "address": f"127.0.0.{n}:3306"}
        for n, t in enumerate(TARGETS, 1)
    ]
    group = {"name": GROUP, "instances": instances}
    return json.dumps({"groups": [group], "tenants": []})


@attrs.define(kw_only=True)
class Fleet:
    """Three control hosts, and three entry hosts of one data centre.

    :param cut: links that lose all packets, by source and target
    :param frozen: hosts that neither run nor read
    :param lost: messages that are lost, by target and class name
    :param are_targets_slow: whether targets answer no probe
    :param sent_ns: times of the renewals of each entry host
    :param promoted: terms for which a promotion was ordered
    """

    now_ns: int = 10_000 * NS_PER_MS
    control: dict[str, ControlNode] = attrs.field(factory=dict)
    entry: dict[str, EntryNode] = attrs.field(factory=dict)
    cut: set[tuple[str, str]] = attrs.field(factory=set)
    frozen: set[str] = attrs.field(factory=set)
    lost: set[tuple[str, str]] = attrs.field(factory=set)
    are_targets_slow: bool = False
    sent_ns: dict[str, set[int]] = attrs.field(factory=dict)
    promoted: set[int] = attrs.field(factory=set)
    history: list[Packet] = attrs.field(factory=list)
    relayed_grants: int = 0
    _disks: dict[str, FakeDisk] = attrs.field(factory=dict)
    _routes: dict[str, RelayRoutes] = attrs.field(factory=dict)
    _in_flight: list[Packet] = attrs.field(factory=list)
    _tasks: list[tuple[str, Any]] = attrs.field(factory=list)

    @classmethod
    def open(cls) -> Fleet:
        """Build a fleet with an open group and leases."""
        fleet = cls()
        for name in VOTERS:
            disk = FakeDisk()
            fleet._disks[name] = disk
            fleet._routes[name] = RelayRoutes()
            fleet.control[name] = ControlNode(
                log=LogNode(
                    host=name,
                    voters=VOTERS,
                    stored=disk.stored,
                    jitter_ms=election_jitter(name),
                    started_ns=fleet.now_ns,
                ),
                state=ClusterState(),
                data_center="dc-1",
                lease_ms=LEASE_MS,
            )
        for name in ENTRY:
            fleet.sent_ns[name] = set()
            fleet.entry[name] = EntryNode(
                host=name,
                data_center="dc-1",
                address="",
                control=VOTERS,
                lending_address=f"{name}:1",
                renewal_ms=RENEWAL_INTERVAL_MS,
            )
        fleet.elapse(2_500)
        change = ChangeProposal(
            change_id="c",
            kind="inventory",
            base_version=0,
            author="op",
            payload=_inventory(),
        )
        leader = fleet.leader()
        assert leader
        fleet.give(leader, "op", change)
        for number, target in enumerate(TARGETS, 1):
            announcement = Announcement(
                target=target,
                group=GROUP,
                data_center="dc-1",
                address=f"127.0.0.{number}:3306",
                role="replica",
                term=0,
                position=0,
                leaving=False,
                identity="1",
            )
            fleet.give(leader, "op", announcement)
        fleet.elapse(3_000)
        assert all(fleet.is_covered(h) for h in ENTRY)
        return fleet

    def leader(self) -> str:
        """Return the control host that leads, or an empty text."""
        for name, node in self.control.items():
            if name not in self.frozen and node.leads(self.now_ns):
                return name
        return ""

    def is_covered(self, host: str) -> bool:
        """Return whether a host may write to the group's primary."""
        node = self.entry[host]
        term = node.state.terms.get(GROUP)
        return term is not None and node.covers(term, GROUP, self.now_ns)

    def give(self, name: str, source: str, message: Any) -> None:
        """Give a message to a control host at once."""
        node = self.control[name]
        self._absorb(name, node.receive(source, message, self.now_ns))

    def elapse(self, spent_ms: int) -> None:
        """Let time pass; what is on its way arrives."""
        for _ in range(spent_ms // STEP_MS):
            self.now_ns += STEP_MS * NS_PER_MS
            # A relayed renewal and its answer take four links.
            for _ in range(4):
                self._deliver_all()
            self._run_tasks()
            for name, control in self.control.items():
                if name not in self.frozen:
                    self._absorb(name, control.tick(self.now_ns))
            for name, entry in self.entry.items():
                if name not in self.frozen:
                    self.send(name, entry.tick(self.now_ns))

    def send(self, host: str, effects: Iterable[Any]) -> None:
        """Send the messages of an entry host."""
        for effect in effects:
            assert isinstance(effect, Send | SendRelayed)
            sent_ns = getattr(effect.message, "sent_ns", None)
            if sent_ns is not None:
                self.sent_ns[host].add(sent_ns)
            if isinstance(effect, Send):
                self._post(host, effect.peer, effect.message)
            else:
                relay = effect.neighbour.partition(":")[0]
                self._post(host, relay, effect.message, relayed=host)

    def replay(self, number: int) -> None:
        """Deliver a relayed message again."""
        if self.history:
            self._in_flight.append(self.history[number % len(self.history)])

    def _post(self, source: str, target: str, message: Any, **to: str) -> None:
        packet = Packet(source=source, target=target, message=message, **to)
        self._in_flight.append(packet)
        if packet.relayed:
            self.history = [*self.history[1 - MAX_HISTORY :], packet]

    def _deliver_all(self) -> None:
        packets, self._in_flight = self._in_flight, []
        for packet in packets:
            kind = type(packet.message).__name__
            is_lost = (packet.target, kind) in self.lost
            if is_lost or (packet.source, packet.target) in self.cut:
                continue
            if packet.target in self.frozen:
                self._in_flight.append(packet)
            elif packet.target in self.control:
                self._deliver_to_control(packet)
            elif packet.target in self.entry:
                self._deliver_to_entry(packet)

    def _deliver_to_control(self, packet: Packet) -> None:
        if not packet.relayed:
            self.give(packet.target, packet.source, packet.message)
        elif is_relayable(packet.relayed, packet.message):
            self._routes[packet.target].record(
                packet.relayed, packet.source, self.now_ns
            )
            self.give(packet.target, packet.relayed, packet.message)

    def _deliver_to_entry(self, packet: Packet) -> None:
        node = self.entry[packet.target]
        if not packet.relayed:
            effects = node.receive(packet.source, packet.message, self.now_ns)
            self.send(packet.target, effects)
        elif packet.relayed != packet.target:
            self._relay(node, packet)
        elif packet.message is None:
            node.relay.record_failure(f"{packet.source}:1")
        else:
            before_ns = node.lease.deadline_ns
            effects = node.receive_relayed(
                f"{packet.source}:1",
                packet.author,
                packet.message,
                self.now_ns,
            )
            extended = node.lease.deadline_ns > before_ns
            is_grant = isinstance(packet.message, LeaseGrant)
            self.relayed_grants += extended and is_grant
            self.send(packet.target, effects)

    def _relay(self, node: EntryNode, packet: Packet) -> None:
        to = {"relayed": packet.relayed, "author": packet.author}
        if packet.author:
            self._post(packet.target, packet.relayed, packet.message, **to)
            return
        leader = node.relay_leader(self.now_ns)
        if leader:
            self._post(packet.target, leader, packet.message, **to)
        else:
            self._post(packet.target, packet.relayed, None, **to)

    def _absorb(self, name: str, effects: Sequence[Any]) -> None:
        self._disks[name].save(effects)
        for effect in effects:
            if isinstance(effect, Send):
                self._post(name, effect.peer, effect.message)
                relay = self._routes[name].find(effect.peer, self.now_ns)
                if relay:
                    self._post(
                        name,
                        relay,
                        effect.message,
                        relayed=effect.peer,
                        author=name,
                    )
            elif isinstance(effect, ProbeGroup | PromoteTarget):
                if isinstance(effect, PromoteTarget):
                    self.promoted.add(effect.term)
                self._tasks.append((name, effect))

    def _run_tasks(self) -> None:
        if self.are_targets_slow:
            return
        tasks, self._tasks = self._tasks, []
        for name, task in tasks:
            if name in self.frozen:
                self._tasks.append((name, task))
                continue
            node = self.control[name]
            if isinstance(task, PromoteTarget):
                effects = node.on_promoted(
                    GROUP, task.term, PromotionResult(done=True), self.now_ns
                )
            else:
                reports = [
                    TargetReport(
                        target=t,
                        reachable=True,
                        term=1,
                        position=5,
                        identity="1",
                    )
                    for t in TARGETS
                ]
                effects = node.on_probe(
                    GROUP, task.attempt, reports, self.now_ns
                )
            self._absorb(name, effects)

    def is_fenced(self, term: int) -> bool:
        """Return whether a leader relies on the end of a term."""
        changes = [
            control.primaries.changes.get(GROUP)
            for name, control in self.control.items()
            if name == self.leader()
        ]
        return term < max(self.promoted, default=0) or any(
            change is not None
            and change.term >= term
            and change.phase not in {Phase.CLOSE, Phase.FENCE}
            for change in changes
        )

    def assert_consistent(self) -> None:
        """Assert that no two leases contradict each other."""
        covered = {
            node.state.terms[GROUP].term
            for host, node in self.entry.items()
            if self.is_covered(host)
        }
        assert len(covered) <= 1, "leases cover different terms"
        assert all(t >= max(self.promoted, default=0) for t in covered)
        for host, node in self.entry.items():
            direct_ns = max(self.sent_ns[host]) + LEASE_MS * NS_PER_MS
            assert node.lease.deadline_ns <= direct_ns, "lease too long"
