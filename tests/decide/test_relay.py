"""Leases whose renewals pass over neighbouring entry hosts."""

from __future__ import annotations

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from rosemarysaddle.decide import RelayChoice, RelayRoutes, WriteTicket
from rosemarysaddle.schema import Switchover
from tests.decide.relay_fleet import (
    ENTRY,
    GROUP,
    TARGETS,
    Fleet,
)
from tests.helpers import NS_PER_MS, VOTERS

# Two elections, a change of primary, and each pair of neighbours asked.
MAX_RETURN_MS = 6_000
ALL = (*VOTERS, *ENTRY)
KINDS = ("ViewDelta", "CloseGroup", "LeaseGrant")


def _both(
    first: tuple[str, ...], second: tuple[str, ...]
) -> set[tuple[str, str]]:
    return {p for a in first for b in second for p in ((a, b), (b, a))}


@pytest.mark.parametrize("is_one_way", [True, False])
def test_host_without_the_leader_keeps_its_lease(*, is_one_way: bool) -> None:
    # Without a relay the lease ends while others of the data centre
    # renew theirs.
    fleet = Fleet.open()
    cut = _both(("h1",), VOTERS)
    fleet.cut = {c for c in cut if c[0] != "h1"} if is_one_way else cut

    fleet.elapse(1_300)
    for _ in range(60):
        fleet.elapse(50)
        assert fleet.is_covered("h1")


def test_fence_waits_for_a_lease_of_the_leader_before() -> None:
    # The renewals of a host that hears nothing reach the new leader, so
    # its old lease was taken as replaced by one that names the closing.
    fleet = Fleet.open()
    fleet.cut = {(name, "h1") for name in VOTERS}
    leader = fleet.leader()
    primary = fleet.entry["h1"].state.terms[GROUP].primary
    other = next(t for t in TARGETS if t != primary)
    fleet.give(leader, "op", Switchover(group=GROUP, target=other))
    fleet._absorb(leader, fleet.control[leader].step_down(fleet.now_ns))

    for _ in range(100):
        fleet.elapse(50)
        fleet.assert_consistent()

    assert all(fleet.is_covered(h) for h in ENTRY)


def test_change_of_primary_passes_over_the_relay() -> None:
    # A holder that does not answer the closing order delays the change
    # until its lease ends.
    fleet = Fleet.open()
    fleet.cut = _both(("h1",), VOTERS)
    fleet.elapse(3_000)
    ticket = fleet.entry["h1"].begin_write(GROUP, fleet.now_ns)
    assert isinstance(ticket, WriteTicket)
    fleet.entry["h1"].end_write(ticket, fleet.now_ns)
    other = next(t for t in TARGETS if t != ticket.primary)

    fleet.give(fleet.leader(), "op", Switchover(group=GROUP, target=other))
    fleet.elapse(400)

    assert ticket.term + 1 in fleet.promoted
    assert fleet.is_covered("h1")


def test_answered_renewals_ask_no_neighbour() -> None:
    # The ordinary case must not cost more messages than before.
    fleet = Fleet.open()
    fleet.elapse(5_000)
    assert not fleet.history


def test_neighbours_are_asked_in_turn_two_at_a_time() -> None:
    # The only neighbour with a path must be found, without asking all
    # of 200 hosts at once.
    neighbours = [f"n{n}:1" for n in range(9)]
    choice = RelayChoice(host="h", own="n0:1")
    asked: list[str] = []
    now_ns = 1_000 * NS_PER_MS
    for step in range(9, 25, 3):
        found = choice.choose(
            neighbours,
            unanswered_since_ns=now_ns,
            now_ns=now_ns + step * 100 * NS_PER_MS,
        )
        assert len(found) == 2
        asked.extend(found)
    assert set(asked[:8]) == set(neighbours) - {"n0:1"}


def test_routes_end_and_are_bounded(monkeypatch: pytest.MonkeyPatch) -> None:
    # Hosts that restart under new names must not add up at the leader.
    monkeypatch.setattr("rosemarysaddle.decide.leases._relay.MAX_ROUTES", 5)
    routes = RelayRoutes()
    for number in range(20):
        routes.record(f"h{number}", "n", number)
    assert routes.find("h19", 20) == "n"
    assert not routes.find("h2", 20)
    assert not routes.find("h19", 60_000 * NS_PER_MS)


class RelayMachine(RuleBasedStateMachine):
    """Writes under leases that are relayed over faulty hosts."""

    @initialize()
    def start(self) -> None:
        self.fleet = Fleet.open()
        self.tickets: list[tuple[str, WriteTicket]] = []

    @rule(host=st.sampled_from(ENTRY))
    def begin(self, host: str) -> None:
        fleet = self.fleet
        ticket = fleet.entry[host].begin_write(GROUP, fleet.now_ns)
        if isinstance(ticket, WriteTicket):
            self.tickets.append((host, ticket))

    @rule(number=st.integers(0, 9))
    @precondition(lambda self: self.tickets)
    def end(self, number: int) -> None:
        host, ticket = self.tickets.pop(number % len(self.tickets))
        fleet = self.fleet
        if fleet.entry[host].end_write(ticket, fleet.now_ns):
            assert not fleet.is_fenced(ticket.term), "fenced term"

    @rule(spent_ms=st.sampled_from([50, 200, 450, 1_000, 2_500]))
    def elapse(self, spent_ms: int) -> None:
        for _ in range(spent_ms // 50):
            self.fleet.elapse(50)
            self.fleet.assert_consistent()

    @rule(
        hosts=st.sets(st.sampled_from(ENTRY), min_size=1),
        is_inbound=st.booleans(),
        is_outbound=st.booleans(),
    )
    def cut_off(
        self, hosts: set[str], *, is_inbound: bool, is_outbound: bool
    ) -> None:
        for source, target in _both(tuple(hosts), VOTERS):
            if is_outbound if source in hosts else is_inbound:
                self.fleet.cut.add((source, target))

    @rule(links=st.sets(st.tuples(st.sampled_from(ALL), st.sampled_from(ALL))))
    def cut(self, links: set[tuple[str, str]]) -> None:
        self.fleet.cut = links

    @rule(hosts=st.sets(st.sampled_from(ALL), max_size=2))
    def freeze(self, hosts: set[str]) -> None:
        # Those that were frozen before wake and read what has waited.
        self.fleet.frozen = hosts

    @rule(
        lost=st.sets(
            st.tuples(st.sampled_from(ENTRY), st.sampled_from(KINDS)),
            max_size=3,
        )
    )
    def lose(self, lost: set[tuple[str, str]]) -> None:
        self.fleet.lost = lost

    @rule(
        host=st.sampled_from(ENTRY),
        primary=st.sampled_from(TARGETS),
        spent_ms=st.sampled_from([450, 2_500, 4_500]),
    )
    def write_during_change(
        self, host: str, primary: str, spent_ms: int
    ) -> None:
        self.begin(host)
        self.change_primary(primary)
        self.elapse(spent_ms)
        if self.tickets:
            self.end(len(self.tickets) - 1)

    @rule(are_slow=st.booleans())
    def slow_targets(self, *, are_slow: bool) -> None:
        self.fleet.are_targets_slow = are_slow

    @rule(numbers=st.lists(st.integers(0, 59), min_size=1, max_size=5))
    def replay(self, numbers: list[int]) -> None:
        for number in numbers:
            self.fleet.replay(number)

    @rule(primary=st.sampled_from(TARGETS))
    def change_primary(self, primary: str) -> None:
        leader = self.fleet.leader()
        if leader:
            order = Switchover(group=GROUP, target=primary)
            self.fleet.give(leader, "op", order)

    @rule()
    def step_down(self) -> None:
        leader = self.fleet.leader()
        if leader:
            node = self.fleet.control[leader]
            self.fleet._absorb(leader, node.step_down(self.fleet.now_ns))

    @rule(host=st.sampled_from(ENTRY))
    def lease_returns_over_any_path(self, host: str) -> None:
        fleet = self.fleet
        fleet.frozen = set()
        fleet.lost = set()
        fleet.are_targets_slow = False
        fleet.cut = _both((host,), VOTERS)
        fleet.elapse(MAX_RETURN_MS)
        assert all(fleet.is_covered(h) for h in ENTRY)

    @invariant()
    def leases_agree(self) -> None:
        if hasattr(self, "fleet"):
            self.fleet.assert_consistent()


RelayMachine.TestCase.settings = settings(
    max_examples=40, stateful_step_count=30, deadline=None, derandomize=True
)
TestRelayMachine = RelayMachine.TestCase
