from __future__ import annotations

import asyncio
import http
from typing import TYPE_CHECKING

import pytest

from rosemarysaddle.soak import _orders, _targets
from rosemarysaddle.soak._orders import OrderFault, PromotionOrders
from rosemarysaddle.soak._targets import TargetGroup, TargetInstance

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine

WAIT_S = 0.1


def _run(
    scenario: Callable[[PromotionOrders], Coroutine[None, None, None]],
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(_targets, "PROMOTION_DELAY_S", 0)
    monkeypatch.setattr(_orders, "NO_ANSWER_S", 0)
    instances = {
        name: TargetInstance(
            name=name,
            ip="127.0.0.1",
            port=0,
            data_center="dc",
            role="primary" if name == "t1" else "replica",
        )
        for name in ("t1", "t2", "t3")
    }
    group = TargetGroup(name="g", instances=instances)
    asyncio.run(scenario(PromotionOrders(group=group)))


@pytest.mark.parametrize(
    ("fault", "status", "primary"),
    [
        (OrderFault.NONE, http.HTTPStatus.OK, "t2"),
        (OrderFault.LATE, http.HTTPStatus.OK, "t2"),
        (OrderFault.ANSWER_LOST, None, "t2"),
        (OrderFault.CALL_LOST, None, "t1"),
    ],
)
def test_an_order_is_carried_out_as_its_fault_says(
    fault: OrderFault,
    status: http.HTTPStatus | None,
    primary: str,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a platform that is nicer than its fault."""

    async def scenario(orders: PromotionOrders) -> None:
        orders.set_fault(fault, WAIT_S if fault is OrderFault.LATE else 0.0)
        handling = asyncio.ensure_future(orders.handle("t2"))
        await asyncio.sleep(WAIT_S / 2)
        is_late = fault is OrderFault.LATE
        if is_late:
            assert orders.group.current_primary.name == "t1"
        assert await handling == status
        await asyncio.sleep(WAIT_S)
        assert orders.group.current_primary.name == primary

    _run(scenario, monkeypatch)


def test_an_order_for_the_primary_changes_nothing(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a new term without a new primary."""

    async def scenario(orders: PromotionOrders) -> None:
        assert await orders.handle("t1") == http.HTTPStatus.OK
        await asyncio.sleep(WAIT_S)
        assert orders.group.promotions == []

    _run(scenario, monkeypatch)


def test_an_order_for_a_target_that_is_down_is_refused(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a promotion of a target that is down."""

    async def scenario(orders: PromotionOrders) -> None:
        orders.group.instances["t2"].crash()
        assert await orders.handle("t2") == http.HTTPStatus.CONFLICT

    _run(scenario, monkeypatch)


@pytest.mark.parametrize(
    ("keeps_orders", "primary"), [(False, "t1"), (True, "t2")]
)
def test_an_accepted_order_may_outlive_a_crash_of_its_target(
    monkeypatch: pytest.MonkeyPatch, *, keeps_orders: bool, primary: str
) -> None:
    """Guards against the loss of one of the two outcomes."""

    async def scenario(orders: PromotionOrders) -> None:
        group = orders.group
        group.keeps_orders = keeps_orders
        second = group.instances["t2"]
        assert await orders.handle("t2") == http.HTTPStatus.OK
        second.crash()
        await asyncio.sleep(WAIT_S)
        assert group.current_primary.name == "t1"
        await group.restart(second)
        assert group.current_primary.name == primary
        second.crash()

    _run(scenario, monkeypatch)
