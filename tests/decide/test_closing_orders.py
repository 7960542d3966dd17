"""Closing orders that arrive again, late or after their term."""

from __future__ import annotations

import pytest

from rosemarysaddle.decide import EntryNode, GroupTerm, WriteTicket
from rosemarysaddle.schema import (
    CloseGroup,
    ClosingGroup,
    GroupClosed,
    LeaseGrant,
    Message,
)
from tests.helpers import NS_PER_MS

START_NS = 10_000 * NS_PER_MS


def _grant(sent_ns: int, *closing: ClosingGroup) -> LeaseGrant:
    return LeaseGrant(
        sent_ns=sent_ns, lease_ms=4_000, min_index=0, closing=closing
    )


def _node(term: int = 1) -> EntryNode:
    node = EntryNode(host="h", data_center="d", address="", control=["a"])
    node.state.terms["g"] = GroupTerm(
        term=term, primary="t", is_open=True, is_serving=True
    )
    node.receive("a", _grant(START_NS), START_NS)
    return node


_ORDER = CloseGroup(group="g", term=1, drain=True)
_CLOSING = ClosingGroup(group="g", term=1, drain=True)


@pytest.mark.parametrize("is_grant", [True, False])
def test_closed_term_is_not_drained_again(*, is_grant: bool) -> None:
    # The write would be acknowledged after the leader had been told
    # that no more are, and after it chose the next primary.
    node = _node()
    ticket = node.begin_write("g", START_NS)
    assert isinstance(ticket, WriteTicket)
    node.receive("a", _ORDER, START_NS)
    later_ns = START_NS + 2_100 * NS_PER_MS
    effects = node.tick(later_ns)
    assert any(isinstance(e.message, GroupClosed) for e in effects)  # type: ignore[union-attr]

    again: Message = _grant(later_ns, _CLOSING) if is_grant else _ORDER
    node.receive("a", again, later_ns)

    assert not node.holds(ticket, later_ns)
    assert not node.end_write(ticket, later_ns)


def test_late_order_does_not_stop_writes_of_a_later_term() -> None:
    # A frozen relay delivers the order of a change that is over.
    node = _node(term=2)
    ticket = node.begin_write("g", START_NS)
    assert isinstance(ticket, WriteTicket)

    effects = node.receive("a", _ORDER, START_NS)

    assert [e.message for e in effects] == [  # type: ignore[union-attr]
        GroupClosed(host="h", group="g", term=1, is_bounded=True)
    ]
    assert isinstance(node.begin_write("g", START_NS), WriteTicket)


def test_late_grant_does_not_replace_a_newer_one() -> None:
    # A grant that an earlier leader sent over a slow relay would name
    # that leader as the current one.
    node = _node()
    newer_ns = START_NS + 500 * NS_PER_MS
    node.receive_relayed("n:1", "b", _grant(newer_ns), newer_ns)

    for source, sent_ns in (("a", START_NS), ("a", newer_ns + 1)):
        node.receive(source, _grant(sent_ns), newer_ns)
        node.receive_relayed("m:1", source, _grant(sent_ns), newer_ns)

    assert (node.last_leader, node.relay.current) == ("b", "n:1")
