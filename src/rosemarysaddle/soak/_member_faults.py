"""Faults in which a replica is replaced, or comes back with nothing.

Meanwhile another replica may receive nothing, so that the first one was
all that acknowledged commits, and the primary may crash.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Final

from rosemarysaddle.soak._departures import LEAVING_WORK_S
from rosemarysaddle.soak._faults import FAULTS, end_target, wait_until

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from rosemarysaddle.soak._faults import FaultContext
    from rosemarysaddle.soak._targets import TargetInstance

__all__ = ("ALL_FAULTS", "MEMBER_FAULTS", "replace_target")

EXTRA_SERVICE_RANGE_S: Final = (0.2, 2.0)
SUCCESSOR_DELAY_RANGE_S: Final = (0.3, 5.0)
# Share of the runs in which another replica receives nothing.
DEAF_SHARE: Final = 3 / 4
DEAF_S: Final = 6.0
DEAF_BEFORE_RANGE_S: Final = (0.5, 3.0)
# A target whose leave call is not answered exits some seconds later.
UNHEARD_RANGE_S: Final = (0.5, 4.0)
CRASH_DELAY_RANGE_S: Final = (0.0, 0.5)
# Longer than an order is late.
MAX_ORDERS_S: Final = 20.0
EMPTY_DOWN_RANGE_S: Final = (0.2, 1.5)
PRIMARY_DOWN_RANGE_S: Final = (2.0, 8.0)


async def replace_target(
    context: FaultContext, instance: TargetInstance, serves_s: float
) -> None:
    """Stop a target as planned; one of a new name then has its log.

    :param serves_s: time from the announcement to the end
    """
    await end_target(context, instance, serves_s)
    await asyncio.sleep(context.rng.uniform(*SUCCESSOR_DELAY_RANGE_S))
    await start_successor(context, instance)


async def start_successor(
    context: FaultContext, instance: TargetInstance
) -> TargetInstance:
    """Start a new target at the address of one that has ended."""
    successor = context.group.succeed(instance)
    context.proxies[successor.name] = context.proxies.pop(instance.name)
    await context.restart(successor)
    context.platform.announce(successor)
    return successor


async def _replace_any(context: FaultContext) -> None:
    await context.reserve({"target"})
    instances = context.group.instances
    instance = instances[context.rng.choice(sorted(instances))]
    await replace_target(context, instance, _draw_service_s(context))
    await context.release({"target"})


async def _leave_then_crash(context: FaultContext) -> None:
    """Crash the primary right after a replica has left."""
    await _crash_after_leave(context, goes_on_s=0.0)


async def _leave_unheard(context: FaultContext) -> None:
    """Let a replica go on after its leave call, then crash the primary.

    Meanwhile it may be all that acknowledges commits.
    """
    goes_on_s = context.rng.uniform(*UNHEARD_RANGE_S)
    await _crash_after_leave(context, goes_on_s=goes_on_s)


async def _crash_after_leave(
    context: FaultContext, *, goes_on_s: float
) -> None:
    """Let a replica leave, and crash the primary right after its end.

    :param goes_on_s: time for which the replica goes on after it has
        said that it leaves; the other one lags from then on
    """
    await context.reserve({"target", "platform"})
    context.group.keeps_orders = False
    leaving, other = _draw_replicas(context)
    serves_s = _draw_service_s(context)
    lags_at_s = serves_s - context.rng.uniform(*DEAF_BEFORE_RANGE_S)
    if goes_on_s:
        lags_at_s = serves_s + goes_on_s / 4
    deafening = asyncio.ensure_future(_deafen(context, other, lags_at_s))
    await end_target(context, leaving, serves_s, goes_on_s)
    crashing = asyncio.ensure_future(_crash_primary(context))
    await asyncio.sleep(context.rng.uniform(*SUCCESSOR_DELAY_RANGE_S))
    await start_successor(context, leaving)
    await crashing
    await deafening
    await context.release({"target", "platform"})


async def _empty_then_crash(context: FaultContext) -> None:
    """Crash the primary while a replica comes back with nothing.

    A primary comes back with its log, and nothing protects a target
    that loses its log once it has been ordered to lead.
    """
    await context.reserve({"target", "platform"})
    context.group.keeps_orders = False
    emptied, other = _draw_replicas(context)
    deafening = asyncio.ensure_future(_deafen(context, other, 0.0))
    await asyncio.sleep(context.rng.uniform(*DEAF_BEFORE_RANGE_S))
    is_idle = await wait_until(
        lambda: context.platform.orders.is_idle, limit_s=MAX_ORDERS_S
    )
    if is_idle and emptied is not context.group.current_primary:
        context.crash(emptied)
        emptied.lose_log()
        crashing = asyncio.ensure_future(_crash_primary(context))
        await asyncio.sleep(context.rng.uniform(*EMPTY_DOWN_RANGE_S))
        await context.restart(emptied)
        await crashing
    await deafening
    await context.release({"target", "platform"})


async def _crash_primary(context: FaultContext) -> None:
    await asyncio.sleep(context.rng.uniform(*CRASH_DELAY_RANGE_S))
    primary = context.group.current_primary
    context.crash(primary)
    await asyncio.sleep(context.rng.uniform(*PRIMARY_DOWN_RANGE_S))
    await context.restart(primary)


async def _deafen(
    context: FaultContext, instance: TargetInstance, delay_s: float
) -> None:
    """Let a replica receive nothing for a while, in most runs."""
    is_deaf = context.rng.random() < DEAF_SHARE
    await asyncio.sleep(delay_s)
    instance.is_deaf = is_deaf
    await asyncio.sleep(DEAF_S)
    instance.is_deaf = False


def _draw_replicas(
    context: FaultContext,
) -> tuple[TargetInstance, TargetInstance]:
    primary = context.group.current_primary
    replicas = [
        each
        for _, each in sorted(context.group.instances.items())
        if each is not primary
    ]
    first, second = context.rng.sample(replicas, 2)
    return first, second


def _draw_service_s(context: FaultContext) -> float:
    return LEAVING_WORK_S + context.rng.uniform(*EXTRA_SERVICE_RANGE_S)


MEMBER_FAULTS: Final[dict[str, Callable[[FaultContext], Awaitable[None]]]] = {
    "replace-any": _replace_any,
    "leave-then-crash": _leave_then_crash,
    "leave-unheard": _leave_unheard,
    "empty-then-crash": _empty_then_crash,
}
ALL_FAULTS: Final = {**FAULTS, **MEMBER_FAULTS}
