"""Renewals of entry hosts that find no leader at their start."""

from __future__ import annotations

from typing import Any

from rosemarysaddle.decide import EntryNode, Send
from rosemarysaddle.decide.leases._waiting_hosts import (
    MAX_AGE_MS,
    WaitingHosts,
)
from rosemarysaddle.schema import (
    LeaseGrant,
    LeaseRefusal,
    LeaseRenewal,
    LeaseReturn,
)
from tests.helpers import NS_PER_MS, make_leader

START_NS = 10_000 * NS_PER_MS
ELECTION_MS = 3_000


def _renewal(host: str, sent_ns: int = START_NS) -> LeaseRenewal:
    return LeaseRenewal(
        host=host,
        data_center="dc-1",
        sent_ns=sent_ns,
        applied_index=0,
        address="",
    )


def _entry() -> EntryNode:
    return EntryNode(
        host="h", data_center="dc-1", address="", control=["a", "b", "c"]
    )


def _renewed_at(effects: Any) -> list[str]:
    return [
        effect.peer
        for effect in effects
        if isinstance(effect, Send)
        and isinstance(effect.message, LeaseRenewal)
    ]


def _refusal(leader: str = "") -> LeaseRefusal:
    return LeaseRefusal(sent_ns=START_NS, leader=leader)


def _grant() -> LeaseGrant:
    return LeaseGrant(
        sent_ns=START_NS, lease_ms=4_000, min_index=0, closing=()
    )


def _elect(leader: Any, host_asks_at_ms: int, *, returns: bool) -> list[str]:
    """Ask for a lease before the election; list who is granted one."""
    granted: list[str] = []
    now_ns = START_NS
    for spent_ms in range(0, ELECTION_MS, 50):
        now_ns = START_NS + spent_ms * NS_PER_MS
        effects = leader.tick(now_ns)
        if spent_ms == host_asks_at_ms:
            leader.receive("h", _renewal("h", now_ns), now_ns)
            if returns:
                leader.receive("h", LeaseReturn(host="h"), now_ns)
        granted += [
            e.peer
            for e in effects
            if isinstance(e, Send) and isinstance(e.message, LeaseGrant)
        ]
    return granted


def _fresh_control() -> tuple[Any, int]:
    """Build a control host that is alone; find when it is elected."""
    leader = make_leader(START_NS - 5_000 * NS_PER_MS)
    leader.step_down(START_NS)
    for spent_ms in range(0, ELECTION_MS, 50):
        leader.tick(START_NS + spent_ms * NS_PER_MS)
        if leader.leads(START_NS + spent_ms * NS_PER_MS):
            break
    else:
        raise AssertionError
    again = make_leader(START_NS - 5_000 * NS_PER_MS)
    again.step_down(START_NS)
    return again, spent_ms


def test_host_that_asked_before_the_election_is_granted_a_lease_by_it() -> (
    None
):
    """Guards against hosts that wait for their next renewal."""
    leader, elected_ms = _fresh_control()

    assert "h" in _elect(leader, elected_ms - 100, returns=False)


def test_host_that_gave_its_lease_back_is_granted_none() -> None:
    """Guards against a lease that delays a change of primary."""
    leader, elected_ms = _fresh_control()

    assert not _elect(leader, elected_ms - 100, returns=True)


def test_old_renewals_are_not_answered() -> None:
    """Guards against a lease of a host that is gone."""
    waiting = WaitingHosts()
    waiting.add("old", _renewal("old"), START_NS)
    now_ns = START_NS + (MAX_AGE_MS + 1) * NS_PER_MS
    waiting.add("new", _renewal("new"), now_ns)

    assert [host for host, _ in waiting.take(now_ns)] == ["new"]
    assert not waiting.take(now_ns)


def test_starting_host_asks_all_control_hosts_until_one_answers() -> None:
    """Guards against 300 ms for each control host that is down."""
    host = _entry()

    assert _renewed_at(host.tick(START_NS)) == ["a", "b", "c"]
    later_ns = START_NS + 300 * NS_PER_MS
    assert _renewed_at(host.tick(later_ns)) == ["a", "b", "c"]
    host.receive("b", _refusal(), later_ns)
    assert len(_renewed_at(host.tick(later_ns + 300 * NS_PER_MS))) == 1


def test_host_asks_the_leader_as_soon_as_it_is_named() -> None:
    host = _entry()
    host.tick(START_NS)

    assert _renewed_at(host.receive("a", _refusal("c"), START_NS)) == ["c"]


def test_hosts_that_name_each_other_are_asked_once_a_tick() -> None:
    """Guards against messages without end between three hosts."""
    host = _entry()
    host.tick(START_NS)

    assert _renewed_at(host.receive("a", _refusal("b"), START_NS)) == ["b"]
    assert not _renewed_at(host.receive("b", _refusal("a"), START_NS))
    assert _renewed_at(host.tick(START_NS)) == ["a"]


def test_refusal_after_the_grant_changes_nothing() -> None:
    """Guards against a renewal with a leader that has been replaced."""
    host = _entry()
    host.tick(START_NS)
    host.receive("a", _grant(), START_NS)

    assert not host.receive("b", _refusal("c"), START_NS)
    assert host.lease.leader == "a"
    assert not host.tick(START_NS + 300 * NS_PER_MS)
