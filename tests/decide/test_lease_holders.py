"""Leases across changes of leader.

Once a leader reports that it lists all leases, no valid one may be
missing from its table.
"""

from __future__ import annotations

from typing import Any

import attrs
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
)

from rosemarysaddle.decide import ClusterState, LeaseTable
from rosemarysaddle.decide._times import NS_PER_MS
from rosemarysaddle.decide.control_log._context import LeaderContext
from rosemarysaddle.decide.leases._lease_holders import LeaseHolderRegistry
from rosemarysaddle.schema import LeaseRenewal, LogEntry

LEASE_MS = 4_000
HOSTS = st.sampled_from(["e1", "e2", "e3", "e4"])


def _renewal(host: str) -> LeaseRenewal:
    return LeaseRenewal(
        host=host, data_center="dc", sent_ns=0, applied_index=0, address=""
    )


@attrs.define(kw_only=True, eq=False)
class _Leader:
    """Leader with its own copy of the committed entries."""

    led_until_ns: int
    state: ClusterState
    context: LeaderContext = attrs.field(init=False)
    registry: LeaseHolderRegistry = attrs.field(init=False)
    proposed: list[tuple[str, str]] = attrs.field(factory=list)

    def __attrs_post_init__(self) -> None:
        self.context = LeaderContext(
            host="c",
            data_center="dc",
            state=self.state,
            leases=LeaseTable.for_new_leader(self.led_until_ns, LEASE_MS),
            propose=self._propose,
            leads=lambda _: True,
        )
        self.registry = LeaseHolderRegistry(context=self.context)

    def _propose(self, kind: str, payload: str, now_ns: int) -> list[Any]:
        del now_ns
        self.proposed.append((kind, payload))
        return []


class LeaseMachine(RuleBasedStateMachine):
    """Successive leaders; a former one may still grant for a while."""

    def __init__(self) -> None:
        super().__init__()
        self.now_ns = 0
        self.log: list[LogEntry] = []
        self.leaders = [_Leader(led_until_ns=0, state=ClusterState())]
        self.ends_ns: list[int] = []
        self.actual_ns: dict[str, int] = {}
        self.stopped: set[str] = set()

    @property
    def leader(self) -> _Leader:
        return self.leaders[-1]

    @rule(spent_ms=st.integers(1, 2_500))
    def time_passes(self, spent_ms: int) -> None:
        self.now_ns += spent_ms * NS_PER_MS

    @rule(host=HOSTS, number=st.integers(0, 3))
    def host_renews(self, host: str, number: int) -> None:
        """Renew with the leader, or with one that may still grant."""
        if host in self.stopped:
            return
        number = min(number, len(self.leaders) - 1)
        leader = self.leaders[-1 - number]
        if number and self.now_ns >= self.ends_ns[-number]:
            return
        if not leader.registry.is_registered(host):
            leader.registry.register(host, _renewal(host), self.now_ns)
            return
        self._grant(leader, host)

    def _grant(self, leader: _Leader, host: str) -> None:
        if host in self.stopped:
            return
        leader.context.leases.grant(host, self.now_ns)
        until_ns = self.now_ns + LEASE_MS * NS_PER_MS
        self.actual_ns[host] = max(self.actual_ns.get(host, 0), until_ns)

    @rule(host=HOSTS)
    def host_stops(self, host: str) -> None:
        """Return the lease; the host does not come back."""
        self.stopped.add(host)
        self.actual_ns.pop(host, None)
        self.leader.context.leases.drop(host)

    @rule()
    def leader_ticks(self) -> None:
        self.leader.registry.tick(self.now_ns)

    @precondition(lambda self: self.leader.proposed)
    @rule()
    def entry_is_committed(self) -> None:
        leader = self.leader
        kind, payload = leader.proposed.pop(0)
        entry = LogEntry(
            index=len(self.log) + 1, term=1, kind=kind, payload=payload
        )
        self.log.append(entry)
        leader.state.apply(entry)
        _, ready = leader.registry.on_applied(entry, self.now_ns)
        for host, _renewed in ready:
            self._grant(leader, host)

    @rule(left_ms=st.integers(0, 3_000))
    def leader_changes(self, left_ms: int) -> None:
        """Elect a new leader; the former one may grant for a while."""
        until_ns = self.now_ns + left_ms * NS_PER_MS
        self.ends_ns.append(until_ns)
        state = ClusterState()
        for entry in self.log:
            state.apply(entry)
        led_until_ns = max(self.ends_ns)
        self.leaders.append(_Leader(led_until_ns=led_until_ns, state=state))

    @invariant()
    def leader_lists_every_valid_lease(self) -> None:
        context = self.leader.context
        if not context.lists_all_leases(self.now_ns):
            return
        listed = context.leases.deadlines_ns(self.now_ns)
        for host, until_ns in self.actual_ns.items():
            if until_ns > self.now_ns:
                assert listed.get(host, 0) >= until_ns


LeaseMachine.TestCase.settings = settings(
    max_examples=150, stateful_step_count=40, deadline=None, derandomize=True
)
TestLeaseMachine = LeaseMachine.TestCase


def test_retired_host_gets_no_lease_until_registered_again() -> None:
    leader = _Leader(led_until_ns=0, state=ClusterState())
    leader.state.lease_holders.add("e1")
    now_ns = 2 * LEASE_MS * NS_PER_MS
    leader.registry.tick(now_ns)

    registered = leader.registry.is_registered("e1")
    leader.registry.register("e1", _renewal("e1"), now_ns)

    assert not registered
    assert [payload for _, payload in leader.proposed] == [
        '{"in": [], "out": ["e1"]}',
        '{"in": ["e1"], "out": []}',
    ]


def test_waiting_hosts_share_an_entry() -> None:
    leader = _Leader(led_until_ns=0, state=ClusterState())
    for host in ("e1", "e2", "e3"):
        leader.registry.register(host, _renewal(host), 0)
    first = LogEntry(
        index=1, term=1, kind="holders", payload=leader.proposed[0][1]
    )
    leader.state.apply(first)

    _, ready = leader.registry.on_applied(first, 0)

    assert [host for host, _ in ready] == ["e1"]
    assert leader.proposed[1][1] == '{"in": ["e2", "e3"], "out": []}'


def test_host_counts_as_renewed_once_no_earlier_leader_can_grant() -> None:
    led_until_ns = 1_000 * NS_PER_MS
    table = LeaseTable.for_new_leader(led_until_ns, LEASE_MS)
    table.grant("e1", led_until_ns - 1)
    early = table.lists_all(led_until_ns, {"e1"})

    table.grant("e1", led_until_ns)

    assert not early
    assert table.lists_all(led_until_ns, {"e1"})
