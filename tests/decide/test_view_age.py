from __future__ import annotations

from rosemarysaddle.decide import ClusterState, EntryNode
from rosemarysaddle.schema import (
    LeaseGrant,
    LogEntry,
    ViewDelta,
    ViewSnapshot,
)
from tests.helpers import NS_PER_MS

MAX_AGE_MS = 4_000


def _node() -> EntryNode:
    return EntryNode(host="e", data_center="dc", address="", control=["c"])


def _grant(sent_ms: int, min_index: int) -> LeaseGrant:
    return LeaseGrant(
        sent_ns=sent_ms * NS_PER_MS,
        lease_ms=4_000,
        min_index=min_index,
        closing=(),
    )


def _delta(*indexes: int) -> ViewDelta:
    entries = tuple(
        LogEntry(index=index, term=1, kind="noop", payload="")
        for index in indexes
    )
    return ViewDelta(entries=entries)


def _confirmed_ms(node: EntryNode) -> int:
    return node.view_confirmed_ns // NS_PER_MS


def test_view_is_confirmed_as_of_the_renewal_not_of_the_grant() -> None:
    node = _node()

    node.receive("c", _grant(100, 0), 900 * NS_PER_MS)

    assert _confirmed_ms(node) == 100
    assert node.is_view_current(4_099 * NS_PER_MS, MAX_AGE_MS)
    assert not node.is_view_current(4_100 * NS_PER_MS, MAX_AGE_MS)


def test_view_is_confirmed_once_it_holds_what_the_grant_names() -> None:
    """Guards against a grant that hides that a change is lacking."""
    node = _node()

    node.receive("c", _grant(100, 2), 110 * NS_PER_MS)
    assert _confirmed_ms(node) == 0
    node.receive("c", _delta(1), 120 * NS_PER_MS)
    assert _confirmed_ms(node) == 0
    node.receive("c", _delta(2), 130 * NS_PER_MS)
    assert _confirmed_ms(node) == 100


def test_view_is_confirmed_by_a_snapshot() -> None:
    node = _node()
    state = ClusterState(index=7)

    node.receive("c", _grant(100, 7), 110 * NS_PER_MS)
    snapshot = ViewSnapshot(index=7, state=state.dump())
    node.receive("c", snapshot, 120 * NS_PER_MS)

    assert _confirmed_ms(node) == 100


def test_late_grant_does_not_make_the_view_older() -> None:
    node = _node()

    for sent_ms in (300, 100):
        node.receive("c", _grant(sent_ms, 0), 400 * NS_PER_MS)

    assert _confirmed_ms(node) == 300


def test_change_is_newer_than_the_view_confirmed_before_it() -> None:
    """Guards against a change that counts from when the host got it.

    A renewal that is granted after the change was committed, and before
    it arrives, tells nothing of the time of the change.
    """
    node = _node()
    node.receive("c", _grant(100, 0), 110 * NS_PER_MS)
    node.receive("c", _grant(1_100, 1), 1_110 * NS_PER_MS)

    node.receive("c", _delta(1), 1_900 * NS_PER_MS)

    assert _confirmed_ms(node) == 1_100
    assert node.earlier_view_ns == 100 * NS_PER_MS
