"""Scripted faults around one change of primary."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Final

from rosemarysaddle.soak._faults import darken, leave, wait_until, wake
from rosemarysaddle.soak._orders import OrderFault

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from rosemarysaddle.soak._faults import FaultContext
    from rosemarysaddle.soak._targets import TargetInstance

__all__ = ("PLAYS",)

DARK_S: Final = 6.0
SERVES_S: Final = 1.5
DOWN_S: Final = 5.0
LATE_ANSWER_S: Final = 0.9
LATE_ORDER_S: Final = 6.0
SLOW_PROMOTION_S: Final = 1.0
CRASH_AFTER_ORDER_S: Final = 0.5
CRASH_AFTER_PROMOTION_S: Final = 0.02
# Longer than an old primary keeps its role.
SETTLE_S: Final = 3.0


async def _dark_then_crash(context: FaultContext) -> None:
    """Wake an old primary while all other targets are down."""
    instances = context.group.instances.values()
    first = context.group.current_primary
    others = [each for each in instances if each is not first]
    loop = asyncio.get_running_loop()
    wakes_s = loop.time() + DARK_S
    if await _darken_until_promotion(context) is None:
        return
    for other in others:
        context.crash(other)
    returns_s = loop.time() + DOWN_S
    await _sleep_until(wakes_s)
    await wake(context, first)
    await _sleep_until(returns_s)
    for other in others:
        await context.restart(other)
    await asyncio.sleep(SETTLE_S)


async def _dark_then_late(context: FaultContext) -> None:
    """Wake an old primary while one target is down and one late."""
    first = context.group.current_primary
    loop = asyncio.get_running_loop()
    wakes_s = loop.time() + DARK_S
    second = await _darken_until_promotion(context)
    if second is None:
        return
    (third,) = (
        each
        for each in context.group.instances.values()
        if each not in {first, second}
    )
    context.crash(second)
    third.answer_delay_s = LATE_ANSWER_S
    returns_s = loop.time() + DOWN_S
    await _sleep_until(wakes_s)
    await wake(context, first)
    await _sleep_until(returns_s)
    await context.restart(second)
    third.answer_delay_s = 0.0
    await asyncio.sleep(SETTLE_S)


async def _crash_in_promotion(context: FaultContext) -> None:
    """Crash a target before the accepted order for it takes effect."""
    context.group.keeps_orders = True
    context.group.promotion_delay_s = SLOW_PROMOTION_S
    await _crash_ordered(context)


async def _late_order(context: FaultContext) -> None:
    """Carry out an order long after its caller has given up."""
    context.platform.orders.set_fault(OrderFault.LATE, LATE_ORDER_S)
    await _crash_ordered(context)


async def _crash_ordered(context: FaultContext) -> None:
    leaving = asyncio.ensure_future(
        leave(context, context.group.current_primary)
    )
    orders = context.platform.orders
    if await wait_until(lambda: bool(orders.calls)):
        orders.set_fault(OrderFault.NONE)
        ordered = context.group.instances[orders.calls[0].target]
        await asyncio.sleep(CRASH_AFTER_ORDER_S)
        await _restart_later(context, ordered)
    else:
        context.violations.append("no promotion was ordered")
    await leaving
    await asyncio.sleep(SETTLE_S)


async def _crash_after_promotion(context: FaultContext) -> None:
    """Crash a target right after it was promoted as planned."""
    leaving = asyncio.ensure_future(
        leave(context, context.group.current_primary)
    )
    promoted = await _wait_for_promotion(context)
    if promoted is not None:
        await asyncio.sleep(CRASH_AFTER_PROMOTION_S)
        await _restart_later(context, promoted)
    await leaving
    await asyncio.sleep(SETTLE_S)


async def _darken_until_promotion(
    context: FaultContext,
) -> TargetInstance | None:
    """Cut the primary off and let the next one serve for a while.

    :return: the next primary, or None if there was none
    """
    darken(context, context.group.current_primary)
    promoted = await _wait_for_promotion(context)
    if promoted is not None:
        await asyncio.sleep(SERVES_S)
    return promoted


async def _restart_later(
    context: FaultContext, instance: TargetInstance
) -> None:
    context.crash(instance)
    await asyncio.sleep(DOWN_S)
    await context.restart(instance)


async def _wait_for_promotion(context: FaultContext) -> TargetInstance | None:
    group = context.group
    if not await wait_until(lambda: bool(group.promotions)):
        context.violations.append("no promotion took effect")
        return None
    return group.current_primary


async def _sleep_until(at_s: float) -> None:
    loop = asyncio.get_running_loop()
    await asyncio.sleep(max(0.0, at_s - loop.time()))


PLAYS: Final[dict[str, Callable[[FaultContext], Awaitable[None]]]] = {
    "dark-then-crash": _dark_then_crash,
    "dark-then-late": _dark_then_late,
    "crash-in-promotion": _crash_in_promotion,
    "late-order": _late_order,
    "crash-after-promotion": _crash_after_promotion,
}
