"""Terms that targets show before control has recorded them."""

from __future__ import annotations

import json

import attrs
import pytest

from rosemarysaddle.decide import (
    EntryNode,
    GroupTerm,
    Reason,
    Refusal,
    RouteTable,
    Send,
    SendRelayed,
    WriteTicket,
    is_relayable,
)
from rosemarysaddle.schema import CloseGroup, LeaseGrant, TermReport
from tests.helpers import NS_PER_MS

GROUP, PRIMARY, REPLICA = "g", "t0", "t1"
START_NS = 10_000 * NS_PER_MS
PLAN = {
    "version": 1,
    "groups": [{"name": GROUP, "connection_limit": 30}],
    "routes": [],
    "limits": {},
}


def _node(target_term: int = 2) -> EntryNode:
    node = EntryNode(host="e", data_center="d", address="", control=["c"])
    node.state.routes = RouteTable.of(json.dumps(PLAN))
    node.state.terms[GROUP] = GroupTerm(
        term=5,
        primary=PRIMARY,
        is_open=True,
        is_serving=True,
        target_term=target_term,
    )
    grant = LeaseGrant(
        sent_ns=START_NS, lease_ms=60_000, min_index=0, closing=()
    )
    node.receive("c", grant, START_NS)
    return node


def _record(node: EntryNode, **changes: object) -> None:
    term = node.state.terms[GROUP]
    node.state.terms[GROUP] = attrs.evolve(term, **changes)  # type: ignore[arg-type]


def _observe(
    node: EntryNode, term: int, now_ms: int = 0, target: str = REPLICA
) -> list[TermReport]:
    effects = node.observe_term(
        GROUP, target, term, START_NS + now_ms * NS_PER_MS
    )
    return [_report(e) for e in effects]


def _report(effect: object) -> TermReport:
    assert isinstance(effect, Send)
    assert effect.peer == "c"
    assert isinstance(effect.message, TermReport)
    return effect.message


def _tick(node: EntryNode, now_ms: int) -> list[TermReport]:
    effects = node.tick(START_NS + now_ms * NS_PER_MS)
    return [
        e.message
        for e in effects
        if isinstance(e, Send) and isinstance(e.message, TermReport)
    ]


def test_no_write_of_a_term_that_a_later_promotion_has_replaced() -> None:
    """Guards against two primaries that are written to at once."""
    node = _node()
    running = node.begin_write(GROUP, START_NS)
    assert isinstance(running, WriteTicket)
    assert node.holds(running, START_NS)

    assert _observe(node, 3) == [
        TermReport(
            host="e",
            group=GROUP,
            term=5,
            target=REPLICA,
            observed_term=3,
            read_only=False,
        )
    ]

    refused = node.begin_write(GROUP, START_NS)
    assert isinstance(refused, Refusal)
    assert refused.reason is Reason.NO_PRIMARY
    assert node.primary_of(GROUP, START_NS) is None
    assert not node.end_write(running, START_NS)


def test_group_takes_writes_once_the_promotion_is_recorded() -> None:
    """Guards against a group that stays without writes for good."""
    node = _node()
    _observe(node, 3)

    _record(node, term=6, target_term=2)
    assert isinstance(node.begin_write(GROUP, START_NS), Refusal)
    _record(node, term=7, target_term=3)
    assert isinstance(node.begin_write(GROUP, START_NS), WriteTicket)


def test_no_write_of_a_draining_term_that_was_replaced() -> None:
    """Guards against a drain that outlasts a later promotion."""
    node = _node()
    running = node.begin_write(GROUP, START_NS)
    assert isinstance(running, WriteTicket)
    node.receive("c", CloseGroup(group=GROUP, term=5, drain=True), START_NS)
    assert node.holds(running, START_NS)

    _observe(node, 3)

    assert not node.holds(running, START_NS)


@pytest.mark.parametrize(
    ("recorded", "observed"), [(0, 3), (2, 2), (2, 1), (2, 0)]
)
def test_term_that_proves_no_later_promotion_changes_nothing(
    recorded: int, observed: int
) -> None:
    """Guards against a group stopped by its primary's first answers."""
    node = _node(recorded)

    assert not _observe(node, observed, target=PRIMARY)

    assert isinstance(node.begin_write(GROUP, START_NS), WriteTicket)


def test_reports_of_a_group_are_limited_and_repeated() -> None:
    """Guards against a flood of reports, and against a lost one."""
    node = _node()

    sent = [now for now in range(0, 900, 10) if _observe(node, 3, now)]
    assert sent == [0, 300, 600]

    repeated = [now for now in range(900, 3_000, 100) if _tick(node, now)]
    assert repeated == [1_600, 2_600]


def test_report_is_sent_over_a_relay_too() -> None:
    """Guards against a leader out of reach that learns of nothing."""
    node = _node()
    node.relay.record_grant("n")

    effects = node.observe_term(GROUP, REPLICA, 3, START_NS)

    direct, relayed = effects
    assert isinstance(relayed, SendRelayed)
    assert relayed.message == _report(direct)
    assert is_relayable("e", relayed.message)
    assert not is_relayable("other", relayed.message)


def _refuse_write(
    node: EntryNode, target: str, now_ms: int = 0
) -> list[TermReport]:
    effects = node.observe_term(
        GROUP, target, 2, START_NS + now_ms * NS_PER_MS, read_only=True
    )
    return [_report(e) for e in effects]


@pytest.mark.parametrize("target_term", [0, 2])
def test_primary_that_refuses_writes_is_reported(target_term: int) -> None:
    """Guards against a group without writes that nobody mends."""
    node = _node(target_term)

    reports = _refuse_write(node, PRIMARY)

    assert [r.read_only for r in reports] == [True]
    assert not _refuse_write(node, PRIMARY, 290)
    assert _refuse_write(node, PRIMARY, 300)
    assert isinstance(node.begin_write(GROUP, START_NS), WriteTicket)


def test_refusal_in_a_change_of_primary_is_not_reported() -> None:
    """Guards against reports of what the leader itself has ordered."""
    node = _node()
    assert not _refuse_write(node, REPLICA)
    _record(node, is_serving=False)
    assert not _refuse_write(node, PRIMARY)
    _record(node, is_serving=True, is_open=False)
    assert not _refuse_write(node, PRIMARY)
    assert not _observe(node, 3)


@pytest.mark.parametrize("is_gone", [True, False])
def test_nothing_is_kept_of_a_settled_group(*, is_gone: bool) -> None:
    """Guards against a dictionary that grows with each group."""
    node = _node()
    _observe(node, 3)
    assert _tick(node, 1_000)

    if is_gone:
        node.state.routes = RouteTable()
    else:
        _record(node, target_term=3)

    assert not _tick(node, 2_000)
    assert not node._observed._newest
    assert not node._observed._reported_ns
