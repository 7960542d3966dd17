"""Voters on faulty links, which agree soon after the links heal."""

from __future__ import annotations

from typing import ClassVar

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from rosemarysaddle.decide import Role
from tests.decide.cluster import MAX_CONVERGENCE_MS, STEP_MS, Cluster

# Once a leader has heard of all hosts: probes, batches, a snapshot that
# is sent again.
MAX_CATCH_UP_MS = 2_500
HOST_NUMBERS = st.integers(min_value=0, max_value=4)


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
        self.cluster.cut_off(self._name(number))

    @rule()
    def cut_leader_off(self) -> None:
        leader = self.cluster.leader()
        if leader is not None:
            self.cluster.cut_off(leader.log.host)

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
