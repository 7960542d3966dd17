"""Voters on faulty links, which agree soon after the links heal."""

from __future__ import annotations

from typing import TYPE_CHECKING, ClassVar

import attrs
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from rosemarysaddle._jitter import election_jitter
from rosemarysaddle.decide import Committed, LogNode, Role, Send
from rosemarysaddle.decide._voter_manager import VoterManager, address_of
from rosemarysaddle.schema import AppendRequest, LogEntry, SnapshotInstall
from tests.helpers import NS_PER_MS, FakeDisk

if TYPE_CHECKING:
    from collections.abc import Sequence

    from rosemarysaddle.decide import Effect

STEP_MS = 20
# An election, the replacement of a voter whose disk was lost, and the
# time-outs that these wait for.
MAX_CONVERGENCE_MS = 8_000
# Once a leader has heard of all hosts: probes, batches, a snapshot that
# is sent again.
MAX_CATCH_UP_MS = 2_500
HOST_NUMBERS = st.integers(min_value=0, max_value=4)


@attrs.define(kw_only=True)
class Host:
    """A control host with its disk; a new disk brings a new name."""

    disk: FakeDisk
    log: LogNode
    manager: VoterManager


@attrs.define(kw_only=True)
class Cluster:
    """Control hosts, and the messages that are on their way."""

    size: int
    now_ns: int = 0
    hosts: dict[str, Host] = attrs.field(factory=dict)
    in_flight: list[tuple[str, Send]] = attrs.field(factory=list)
    cut: set[tuple[str, str]] = attrs.field(factory=set)
    committed: dict[int, LogEntry] = attrs.field(factory=dict)
    leaders: dict[int, str] = attrs.field(factory=dict)
    sent_entries: int = 0
    sent_snapshots: int = 0
    names: int = 0
    voters: tuple[str, ...] = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self.voters = tuple("abcde"[: self.size])
        for name in self.voters:
            self.start(name, FakeDisk())

    def start(self, name: str, disk: FakeDisk) -> None:
        log = LogNode(
            host=name,
            voters=self.voters if name in self.voters else (),
            stored=disk.stored,
            jitter_ms=election_jitter(name),
            started_ns=self.now_ns,
        )
        manager = VoterManager(log=log, wanted=self.size)
        self.hosts[name] = Host(disk=disk, log=log, manager=manager)

    def absorb(self, name: str, effects: Sequence[Effect]) -> None:
        self.hosts[name].disk.save(effects)
        for effect in effects:
            if isinstance(effect, Send):
                self._count(effect)
                self.in_flight.append((name, effect))
            if isinstance(effect, Committed):
                for entry in effect.entries:
                    known = self.committed.setdefault(entry.index, entry)
                    assert known == entry, "two entries at one index"

    def _count(self, send: Send) -> None:
        if isinstance(send.message, AppendRequest):
            self.sent_entries += len(send.message.entries)
        if isinstance(send.message, SnapshotInstall):
            self.sent_snapshots += 1

    def deliver(self, source: str, send: Send) -> None:
        host = self.hosts.get(send.peer)
        if host is None or (source, send.peer) in self.cut:
            return
        effects = host.log.receive(source, send.message, self.now_ns)
        self.absorb(send.peer, effects)

    def step(self, spent_ms: int = STEP_MS) -> None:
        """Let time pass; what is on its way arrives."""
        self.now_ns += spent_ms * NS_PER_MS
        arriving, self.in_flight = self.in_flight, []
        for source, send in arriving:
            self.deliver(source, send)
        for name, host in self.hosts.items():
            self.absorb(name, host.log.tick(self.now_ns))
        self._manage_voters()

    def _manage_voters(self) -> None:
        for name, host in list(self.hosts.items()):
            if not host.log.is_current(self.now_ns):
                continue
            for other, joining in self.hosts.items():
                links = {(name, other), (other, name)}
                if joining.log.needs_to_join and not links & self.cut:
                    self.absorb(name, host.manager.join(other, self.now_ns))
            self.absorb(name, host.manager.tick(self.now_ns))

    def leader(self) -> Host | None:
        for host in self.hosts.values():
            if host.log.is_current(self.now_ns):
                return host
        return None

    def restart(self, name: str) -> None:
        self.start(name, self.hosts[name].disk)

    def lose_disk(self, name: str) -> None:
        del self.hosts[name]
        self.names += 1
        self.start(f"{address_of(name)}#{self.names}", FakeDisk())

    @property
    def is_settled(self) -> bool:
        """Whether all hosts vote and hold a current leader's log."""
        leader = self.leader()
        return leader is not None and all(
            host.log.last_index == leader.log.last_index
            and host.log.commit_index == leader.log.last_index
            and set(host.log.voters) == set(self.hosts)
            for host in self.hosts.values()
        )


class LivenessMachine(RuleBasedStateMachine):
    """Faults on links, hosts and disks; then all is well again."""

    size: ClassVar[int] = 3

    @initialize()
    def start(self) -> None:
        self.cluster = Cluster(size=self.size)
        self.proposals = 0

    def _name(self, number: int) -> str:
        names = sorted(self.cluster.hosts)
        return names[number % len(names)]

    @rule(rounds=st.integers(min_value=1, max_value=60))
    def elapse(self, rounds: int) -> None:
        for _ in range(rounds):
            self.cluster.step()

    @rule(
        changes=st.integers(min_value=1, max_value=70),
        chars=st.sampled_from([1, 9_000]),
    )
    def propose(self, changes: int, chars: int) -> None:
        self._propose(changes, chars)

    def _propose(self, changes: int, chars: int) -> None:
        for name, host in self.cluster.hosts.items():
            if host.log.role is not Role.LEADER:
                continue
            for _ in range(changes):
                self.proposals += 1
                payload = f'"{self.proposals:0{chars}}"'
                effects = host.log.propose(
                    "change", payload, self.cluster.now_ns
                )
                self.cluster.absorb(name, effects)

    @rule(data=st.data(), twice=st.booleans())
    @precondition(lambda self: self.cluster.in_flight)
    def deliver_out_of_order(
        self, data: st.DataObject, *, twice: bool
    ) -> None:
        last = len(self.cluster.in_flight) - 1
        number = data.draw(st.integers(min_value=0, max_value=last))
        source, send = self.cluster.in_flight[number]
        if not twice:
            del self.cluster.in_flight[number]
        self.cluster.deliver(source, send)

    @rule(keep_every=st.integers(min_value=2, max_value=4))
    def lose_messages(self, keep_every: int) -> None:
        kept = self.cluster.in_flight[::keep_every]
        self.cluster.in_flight = kept

    @rule(source=HOST_NUMBERS, peer=HOST_NUMBERS)
    def cut_one_way(self, source: int, peer: int) -> None:
        self.cluster.cut.add((self._name(source), self._name(peer)))

    @rule(number=HOST_NUMBERS)
    def cut_off(self, number: int) -> None:
        name = self._name(number)
        for other in self.cluster.hosts:
            self.cluster.cut |= {(name, other), (other, name)}

    @rule()
    def cut_leader_off(self) -> None:
        leader = self.cluster.leader()
        if leader is not None:
            for other in self.cluster.hosts:
                name = leader.log.host
                self.cluster.cut |= {(name, other), (other, name)}

    @rule(
        lost=st.integers(min_value=1, max_value=70),
        kept=st.integers(min_value=0, max_value=70),
    )
    def replace_leader_with_proposals(self, lost: int, kept: int) -> None:
        """Leave a leader with entries that only it holds."""
        self.cut_leader_off()
        self._propose(lost, 1)
        for _ in range(2_000 // STEP_MS):
            self.cluster.step()
        self._propose(kept, 1)
        self.cluster.step()
        self.cluster.cut = set()

    @rule()
    def heal(self) -> None:
        self.cluster.cut = set()

    @rule(number=HOST_NUMBERS)
    def restart_from_disk(self, number: int) -> None:
        self.cluster.restart(self._name(number))

    @rule(number=HOST_NUMBERS)
    def lose_disk(self, number: int) -> None:
        """Lose one disk while all the others hold all that counts."""
        if self.cluster.is_settled:
            self.cluster.lose_disk(self._name(number))

    @rule(number=HOST_NUMBERS)
    def compact(self, number: int) -> None:
        name = self._name(number)
        log = self.cluster.hosts[name].log
        if log.commit_index > log.last_index - log.held_entries:
            effects = log.compact(log.commit_index, "state")
            self.cluster.absorb(name, effects)

    @rule()
    def heal_and_converge(self) -> None:
        cluster = self.cluster
        cluster.cut = set()
        for _ in range(MAX_CONVERGENCE_MS // STEP_MS):
            if cluster.is_settled:
                return
            cluster.step()
        held = {
            n: (h.log.role, h.log.term, h.log.last_index, h.log.voters)
            for n, h in cluster.hosts.items()
        }
        message = f"no agreement after the links healed: {held}"
        raise AssertionError(message)

    @rule()
    def heal_and_catch_up(self) -> None:
        """Bound what is sent to hosts that lack entries."""
        cluster = self.cluster
        cluster.cut = set()
        for _ in range(MAX_CONVERGENCE_MS // STEP_MS):
            if cluster.leader() is not None:
                break
            cluster.step()
        assert cluster.leader() is not None, "no leader on healed links"
        cluster.in_flight = []
        cluster.sent_entries = cluster.sent_snapshots = 0
        for _ in range(MAX_CATCH_UP_MS // STEP_MS):
            cluster.step()
        highest = max(h.log.last_index for h in cluster.hosts.values())
        bound = 2 * (highest + 8) * (len(cluster.hosts) - 1)
        assert cluster.sent_entries <= bound
        # One for each peer, and one if it changes the leader.
        assert cluster.sent_snapshots <= 2 * len(cluster.hosts)

    @invariant()
    def one_leader_for_each_term(self) -> None:
        if not hasattr(self, "cluster"):
            return
        for name, host in self.cluster.hosts.items():
            if host.log.role is Role.LEADER:
                term = host.log.term
                assert self.cluster.leaders.setdefault(term, name) == name

    @invariant()
    def current_leader_holds_what_is_committed(self) -> None:
        if not hasattr(self, "cluster"):
            return
        leader = self.cluster.leader()
        if leader is not None:
            highest = max(self.cluster.committed, default=0)
            assert leader.log.last_index >= highest


class FiveVotersMachine(LivenessMachine):
    """The same with five voters."""

    size = 5


LivenessMachine.TestCase.settings = settings(
    max_examples=150, stateful_step_count=40, deadline=None, derandomize=True
)
FiveVotersMachine.TestCase.settings = settings(
    max_examples=60, stateful_step_count=40, deadline=None, derandomize=True
)
TestThreeVoters = LivenessMachine.TestCase
TestFiveVoters = FiveVotersMachine.TestCase
