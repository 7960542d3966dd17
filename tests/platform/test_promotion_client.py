"""Orders that the platform's client sends, or does not."""

from __future__ import annotations

import socket

from rosemarysaddle._clock import clock_ns
from rosemarysaddle.decide import NS_PER_MS
from rosemarysaddle.node import OrderAnswer, PromotionOrder
from rosemarysaddle.platform._http import PromotionClient


def _order(left_ms: int) -> PromotionOrder:
    """Build an order that may be sent for some time yet."""
    now_ns = clock_ns()
    return PromotionOrder(
        group="g",
        target="t",
        leader="c",
        fencing_token=1,
        deadline_ns=now_ns + left_ms * NS_PER_MS,
        answer_deadline_ns=now_ns + 30_000 * NS_PER_MS,
    )


def test_order_whose_deadline_has_passed_is_not_sent() -> None:
    """Guards against a late order that gives up another's writes."""
    with socket.create_server(("127.0.0.1", 0)) as server:
        ip, port = server.getsockname()
        client = PromotionClient(address=f"{ip}:{port}")

        answer = client.promote(_order(left_ms=-1), may_send=lambda: True)

        server.settimeout(1.0)
        connection, _ = server.accept()
        with connection:
            connection.settimeout(1.0)
            try:
                received = connection.recv(64)
            except ConnectionResetError:
                received = b""

    assert answer is OrderAnswer.NOT_TAKEN
    assert received == b""


def test_call_is_reset_once_the_host_leads_no_more() -> None:
    """Guards against a late order after one of a later leader."""
    with socket.create_server(("127.0.0.1", 0)) as server:
        ip, port = server.getsockname()
        client = PromotionClient(address=f"{ip}:{port}")
        order = _order(left_ms=1_000)
        leads = iter([True, True, False])
        started_ns = clock_ns()

        answer = client.promote(order, may_send=lambda: next(leads))

        assert clock_ns() < started_ns + 2_000 * NS_PER_MS

    assert answer is OrderAnswer.UNKNOWN
