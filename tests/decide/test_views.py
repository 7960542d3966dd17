"""Views that a leader sends to hosts that start together."""

from __future__ import annotations

import itertools
import json

from rosemarysaddle.decide import (
    ClusterState,
    ControlNode,
    EntryNode,
    LogNode,
    Send,
    StoredLog,
)
from rosemarysaddle.decide._control import MAX_ENTRIES_AFTER_SNAPSHOT
from rosemarysaddle.schema import LeaseRenewal, ViewDelta, ViewSnapshot
from tests.helpers import NS_PER_MS


def _leader() -> ControlNode:
    log = LogNode(
        host="c",
        voters=("c",),
        stored=StoredLog(),
        jitter_ms=itertools.repeat(10),
        started_ns=0,
    )
    control = ControlNode(
        log=log, state=ClusterState(), data_center="d", wanted_voters=1
    )
    for now_ms in (1_000, 3_000):
        control.tick(now_ms * NS_PER_MS)
    return control


def _renew(
    control: ControlNode, host: str, applied_index: int = 0
) -> list[Send]:
    renewal = LeaseRenewal(
        host=host,
        data_center="d",
        sent_ns=1,
        applied_index=applied_index,
        address="",
    )
    effects = control.receive(host, renewal, 3_010 * NS_PER_MS)
    return [e for e in effects if isinstance(e, Send) and e.peer == host]


def _apply(sends: list[Send]) -> EntryNode:
    node = EntryNode(host="e", data_center="d", address="", control=["c"])
    for send in sends:
        node.receive("c", send.message, 3_020 * NS_PER_MS)
    return node


def _snapshots(sends: list[Send]) -> list[ViewSnapshot]:
    return [s.message for s in sends if isinstance(s.message, ViewSnapshot)]


def test_hosts_that_start_together_are_sent_one_snapshot() -> None:
    """Guards against a leader that encodes a view for each host.

    With 83 hosts that took .8 s, and the leader lost its followers.
    """
    control = _leader()

    sends = [_renew(control, f"e{n}") for n in range(10)]

    assert len({id(s) for found in sends for s in _snapshots(found)}) == 1
    for found in sends:
        assert _apply(found).state.index >= control.state.index - 10
    assert _apply(sends[-1]).state.index == control.state.index


def test_snapshot_is_replaced_when_many_entries_follow_it() -> None:
    """Guards against snapshots that ever more entries follow."""
    control = _leader()
    first = _snapshots(_renew(control, "e"))[0]
    for number in range(MAX_ENTRIES_AFTER_SNAPSHOT + 1):
        body = json.dumps({"count": number + 1})
        control._propose("hosts", body, 3_005 * NS_PER_MS)

    sends = _renew(control, "f")

    assert _snapshots(sends)[0].index > first.index
    assert _apply(sends).state.index == control.state.index


def test_host_with_a_state_is_sent_what_it_lacks() -> None:
    """Guards against whole views for hosts that lack a few entries."""
    control = _leader()
    _renew(control, "e")
    index = control.state.index
    control._propose("hosts", json.dumps({"count": 1}), 3_005 * NS_PER_MS)

    sends = _renew(control, "e", applied_index=index)

    assert not _snapshots(sends)
    deltas = [s.message for s in sends if isinstance(s.message, ViewDelta)]
    assert [len(delta.entries) for delta in deltas] == [1]
