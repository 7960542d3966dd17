"""Faults that the soak injects; each one ends by itself."""

from __future__ import annotations

import asyncio
import signal
import time
from typing import TYPE_CHECKING, Final

import attrs

from rosemarysaddle.soak._departures import LEAVING_WORK_S, Departure
from rosemarysaddle.soak._disk_faults import DiskFault
from rosemarysaddle.soak._log_checks import Freeze
from rosemarysaddle.soak._orders import OrderFault
from rosemarysaddle.soak._proxy import ProxyFault
from rosemarysaddle.soak._targets import PROMOTION_DELAY_S

if TYPE_CHECKING:
    import random
    from collections.abc import Awaitable, Callable

    from rosemarysaddle.soak._nodes import Node, Nodes
    from rosemarysaddle.soak._platform import StandInPlatform
    from rosemarysaddle.soak._proxy import FaultProxy
    from rosemarysaddle.soak._targets import TargetGroup, TargetInstance

__all__ = (
    "FAULTS",
    "FaultContext",
    "darken",
    "end_target",
    "leave",
    "wait_until",
    "wake",
)

FAULT_DURATION_RANGE_S: Final = (0.5, 3.0)
RESTART_DELAY_S: Final = 0.5
# Longer than an election and the restart of one host.
CATCH_UP_S: Final = 4.0
VOTE_TIMEOUT_S: Final = 40.0
VOTE_POLL_S: Final = 0.1
CHANGE_INTERVAL_S: Final = 0.1
# From before a host has started to after it has joined.
DISK_LOSS_RANGE_S: Final = (0.05, 2.5)
# A stop takes up to the grace period.
MAX_RELEASED: Final = 6
# A leaving target serves for longer than it has to.
EXTRA_SERVICE_RANGE_S: Final = (1.0, 5.0)
# Around the time-out after which a change accepts any successor (5 s).
CUT_OFF_RANGE_S: Final = (4.0, 9.0)
# How long a promoted target serves, and how long it is down then.
SERVES_RANGE_S: Final = (0.0, 2.0)
DOWN_RANGE_S: Final = (1.0, 5.0)
PROMOTION_TIMEOUT_S: Final = 12.0
PROMOTION_POLL_S: Final = 0.005
ORDER_DELAYS_S: Final = (1.2, 2.5, 6.0, 10.0)
ORDER_FAULT_RANGE_S: Final = (3.0, 8.0)
PLATFORM_DOWN_S: Final = 10.0


@attrs.define(kw_only=True, eq=False)
class FaultContext:
    """Processes and stand-ins that faults act on.

    :param proxies: proxy of each target by name
    :param violations: what faults themselves have found
    :param disturbed_s: monotonic time at which the last fault of each
        name ended
    :param freezes: hosts that were frozen
    :param reserved: names of nodes that a running fault uses, and
        "target" while one is crashed, or "platform" while orders fail;
        other faults wait for them
    """

    nodes: Nodes
    group: TargetGroup
    proxies: dict[str, FaultProxy]
    platform: StandInPlatform
    rng: random.Random
    violations: list[str] = attrs.field(factory=list)
    freezes: list[Freeze] = attrs.field(factory=list)
    reserved: set[str] = attrs.field(factory=set)
    disturbed_s: dict[str, float] = attrs.field(factory=dict)
    begun_s: float = attrs.field(factory=time.monotonic)
    _released: asyncio.Condition = attrs.field(
        factory=asyncio.Condition, init=False
    )

    def crash(self, instance: TargetInstance) -> None:
        """Crash a target; its address refuses connections."""
        instance.crash()
        self.proxies[instance.name].close()

    async def restart(self, instance: TargetInstance) -> None:
        """Start a crashed target again, with its log.

        Nothing is done if another fault has started it meanwhile.
        """
        if instance.is_up:
            return
        await self.group.restart(instance)
        await self.proxies[instance.name].start()

    async def wait_fault_duration(self) -> None:
        """Wait for the random duration of a fault."""
        await asyncio.sleep(self.rng.uniform(*FAULT_DURATION_RANGE_S))

    async def reserve(self, names: set[str]) -> None:
        """Reserve names once no running fault uses any of them.

        Faults of the same nodes therefore follow each other, so that no
        more hosts are lost at once than the platform tolerates.
        """
        async with self._released:
            await self._released.wait_for(lambda: not self.reserved & names)
            self.reserved |= names

    async def reserve_node(self, nodes: list[Node]) -> Node:
        """Reserve one of the nodes once no fault uses any of them."""
        names = {node.name for node in nodes}
        await self.reserve(names)
        node = self.rng.choice(nodes)
        await self.release(names - {node.name})
        return node

    async def release(self, names: set[str]) -> None:
        """Let other faults use the names."""
        async with self._released:
            now_s = time.monotonic()
            self.disturbed_s.update(dict.fromkeys(names, now_s))
            self.reserved -= names
            self._released.notify_all()


async def _freeze(context: FaultContext, nodes: list[Node]) -> None:
    node = await context.reserve_node(nodes)
    frozen_s = time.monotonic()
    node.send_signal(signal.SIGSTOP)
    await context.wait_fault_duration()
    node.send_signal(signal.SIGCONT)
    context.freezes.append(
        Freeze(host=node.name, from_s=frozen_s, until_s=time.monotonic())
    )
    await context.release({node.name})


async def _restart(
    context: FaultContext, nodes: list[Node], stop_signal: signal.Signals
) -> None:
    node = await context.reserve_node(nodes)
    await asyncio.to_thread(node.stop_process, stop_signal)
    await asyncio.sleep(RESTART_DELAY_S)
    node.start()
    await context.wait_fault_duration()
    await context.release({node.name})


async def _freeze_entry(context: FaultContext) -> None:
    await _freeze(context, context.nodes.entry)


async def _freeze_control(context: FaultContext) -> None:
    await _freeze(context, context.nodes.control)


async def _kill_entry(context: FaultContext) -> None:
    await _restart(context, context.nodes.entry, signal.SIGKILL)


async def _kill_control(context: FaultContext) -> None:
    await _restart(context, context.nodes.control, signal.SIGKILL)


async def _stop_entry(context: FaultContext) -> None:
    await _restart(context, context.nodes.entry, signal.SIGTERM)


async def _stop_control(context: FaultContext) -> None:
    await _restart(context, context.nodes.control, signal.SIGTERM)


async def _restart_control(context: FaultContext) -> None:
    await _restart_all(context, context.nodes.control)


async def _restart_hosts(context: FaultContext) -> None:
    await _restart_all(context, context.nodes.all)


async def _restart_all(context: FaultContext, nodes: list[Node]) -> None:
    """Kill all of the nodes at once, then start them again."""
    names = {node.name for node in nodes}
    await context.reserve(names)
    for node in nodes:
        node.send_signal(signal.SIGKILL)
    for node in nodes:
        await asyncio.to_thread(node.stop_process)
    await asyncio.sleep(RESTART_DELAY_S)
    for node in nodes:
        node.start()
    await context.wait_fault_duration()
    await context.release(names)


async def _lose_quorum_disk(context: FaultContext) -> None:
    """Lose a disk after a leader with changes in flight was replaced.

    The quorum that is left needs the former leader, whose log ends with
    entries that no other host holds.
    """
    names = {node.name for node in context.nodes.control}
    await context.reserve(names)
    leader = context.nodes.find_leader() or context.nodes.control[0]
    followers = [node for node in context.nodes.control if node != leader]
    # Suspended followers would still read the leader's last messages.
    for node in followers:
        node.send_signal(signal.SIGKILL)
    await asyncio.gather(
        *(context.platform.change([leader]) for _ in range(3))
    )
    for node in context.nodes.control:
        await asyncio.to_thread(node.stop_process)
    for node in followers:
        node.start()
    await _run_changes(context, CATCH_UP_S)
    leader.start()
    await _run_changes(context, CATCH_UP_S)
    lost = context.rng.choice(followers)
    await _restart_without_disk(lost)
    await context.wait_fault_duration()
    await _wait_for_vote(context, lost)
    await context.release(names)


async def _wait_for_vote(context: FaultContext, node: Node) -> None:
    """Wait until a control host that has lost its disk votes again.

    With a second disk lost before that, no majority would be left.
    """
    if context.nodes.control_hosts > 1 or node.sources:
        # Not every host has a vote, or an earlier build tells it.
        await asyncio.sleep(CATCH_UP_S)
        return
    has_vote = await wait_until(
        lambda: context.nodes.has_vote(node),
        limit_s=VOTE_TIMEOUT_S,
        poll_s=VOTE_POLL_S,
    )
    if not has_vote:
        context.violations.append(
            f"{node.name} had no vote {VOTE_TIMEOUT_S:.0f} s after it had"
            " lost its disk"
        )


async def _restart_without_disk(node: Node) -> None:
    await asyncio.to_thread(node.stop_process)
    node.lose_disk()
    node.start()


async def _fail_disk(context: FaultContext, fault: DiskFault) -> None:
    """Let the disk of one control host fail while changes are sent."""
    node = await context.reserve_node(context.nodes.control)
    node.set_disk_fault(fault)
    await _run_changes(context, context.rng.uniform(*FAULT_DURATION_RANGE_S))
    node.set_disk_fault(None)
    await asyncio.sleep(CATCH_UP_S)
    await context.release({node.name})


async def _fill_disk(context: FaultContext) -> None:
    await _fail_disk(context, DiskFault.FULL)


async def _slow_disk(context: FaultContext) -> None:
    await _fail_disk(context, DiskFault.SLOW)


async def _hang_disk(context: FaultContext) -> None:
    await _fail_disk(context, DiskFault.HANGING)


async def _fill_disks_in_turn(context: FaultContext) -> None:
    """Fill the disk of each control host, one after another."""
    names = {node.name for node in context.nodes.control}
    await context.reserve(names)
    for node in context.rng.sample(context.nodes.control, k=len(names)):
        node.set_disk_fault(DiskFault.FULL)
        await _run_changes(
            context, context.rng.uniform(*FAULT_DURATION_RANGE_S)
        )
        node.set_disk_fault(None)
        await asyncio.sleep(CATCH_UP_S)
    await context.release(names)


async def _run_changes(context: FaultContext, duration_s: float) -> None:
    loop = asyncio.get_running_loop()
    deadline_s = loop.time() + duration_s
    while loop.time() < deadline_s:
        await context.platform.change()
        await asyncio.sleep(CHANGE_INTERVAL_S)


async def _crash_primary(context: FaultContext) -> None:
    await context.reserve({"target"})
    primary = context.group.current_primary
    context.crash(primary)
    await asyncio.sleep(context.rng.uniform(2.0, 4.0))
    await context.restart(primary)
    await context.wait_fault_duration()
    await context.release({"target"})


async def _crash_ordered(context: FaultContext) -> None:
    """Crash a target before the order for it takes effect."""
    await context.reserve({"target", "platform"})
    group, calls = context.group, context.platform.orders.calls
    group.keeps_orders = context.rng.random() < 1 / 2
    first, count = group.current_primary, len(calls)
    context.crash(first)
    restarting = asyncio.ensure_future(_restart_later(context, first))
    if await wait_until(lambda: len(calls) > count):
        ordered = group.instances[calls[count].target]
        await asyncio.sleep(context.rng.uniform(0.0, PROMOTION_DELAY_S))
        if ordered is not first:
            context.crash(ordered)
            await _restart_later(context, ordered)
    await restarting
    await context.release({"target", "platform"})


async def _crash_promoted(context: FaultContext) -> None:
    """Crash a target that was promoted a moment ago."""
    await context.reserve({"target"})
    group = context.group
    first, count = group.current_primary, len(group.promotions)
    context.crash(first)
    restarting = asyncio.ensure_future(_restart_later(context, first))
    if await wait_until(lambda: len(group.promotions) > count):
        await asyncio.sleep(context.rng.uniform(*SERVES_RANGE_S))
        promoted = group.current_primary
        if promoted is not first:
            context.crash(promoted)
            await _restart_later(context, promoted)
    await restarting
    await context.release({"target"})


async def _wake_old_primary(context: FaultContext) -> None:
    """Wake a dark primary while the promoted one is down."""
    await context.reserve({"target"})
    group = context.group
    first, count = group.current_primary, len(group.promotions)
    darken(context, first)
    if await wait_until(lambda: len(group.promotions) > count):
        await asyncio.sleep(context.rng.uniform(*SERVES_RANGE_S))
        promoted = group.current_primary
        others = [
            each
            for each in group.instances.values()
            if each is promoted
            or (each is not first and context.rng.random() < 1 / 2)
        ]
        for each in others:
            context.crash(each)
        await context.wait_fault_duration()
        await wake(context, first)
        await asyncio.gather(*(_restart_later(context, o) for o in others))
    else:
        await wake(context, first)
    await context.release({"target"})


async def _restart_later(
    context: FaultContext, instance: TargetInstance
) -> None:
    await asyncio.sleep(context.rng.uniform(*DOWN_RANGE_S))
    await context.restart(instance)


async def wait_until(
    condition: Callable[[], bool],
    *,
    limit_s: float = PROMOTION_TIMEOUT_S,
    poll_s: float = PROMOTION_POLL_S,
) -> bool:
    """Wait for a condition, and tell if it came.

    :param limit_s: time to wait; by default for a part of a change of
        primary
    :param poll_s: time between two checks
    """
    loop = asyncio.get_running_loop()
    deadline_s = loop.time() + limit_s
    while loop.time() < deadline_s:
        if condition():
            return True
        await asyncio.sleep(poll_s)
    return False


async def _delay_orders(context: FaultContext) -> None:
    """Let the platform carry orders out late."""
    delay_s = context.rng.choice(ORDER_DELAYS_S)
    duration_s = context.rng.uniform(*ORDER_FAULT_RANGE_S)
    await _fail_orders(context, OrderFault.LATE, duration_s, delay_s)


async def _lose_order_answers(context: FaultContext) -> None:
    duration_s = context.rng.uniform(*ORDER_FAULT_RANGE_S)
    await _fail_orders(context, OrderFault.ANSWER_LOST, duration_s)


async def _lose_orders(context: FaultContext) -> None:
    duration_s = context.rng.uniform(*ORDER_FAULT_RANGE_S)
    await _fail_orders(context, OrderFault.CALL_LOST, duration_s)


async def _stop_platform(context: FaultContext) -> None:
    await _fail_orders(context, OrderFault.CALL_LOST, PLATFORM_DOWN_S)


async def _fail_orders(
    context: FaultContext,
    fault: OrderFault,
    duration_s: float,
    delay_s: float = 0.0,
) -> None:
    """Let orders fail while a primary is replaced."""
    await context.reserve({"platform"})
    context.group.keeps_orders = context.rng.random() < 1 / 2
    context.platform.orders.set_fault(fault, delay_s)
    await asyncio.sleep(duration_s)
    context.platform.orders.set_fault(OrderFault.NONE)
    await context.release({"platform"})


async def _leave_primary(context: FaultContext) -> None:
    await context.reserve({"target"})
    await leave(context, context.group.current_primary)
    await context.release({"target"})


async def _leave_any(context: FaultContext) -> None:
    await context.reserve({"target"})
    instances = context.group.instances
    await leave(context, instances[context.rng.choice(sorted(instances))])
    await context.release({"target"})


async def _leave_cut_off(context: FaultContext) -> None:
    """Let the primary leave while no other target can be reached.

    A change of primary that starts meanwhile finds no successor.
    """
    await context.reserve({"target"})
    primary = context.group.current_primary
    others = [p for n, p in context.proxies.items() if n != primary.name]
    for proxy in others:
        proxy.set_fault(ProxyFault.SILENT)
    leaving = asyncio.ensure_future(leave(context, primary))
    await asyncio.sleep(context.rng.uniform(*CUT_OFF_RANGE_S))
    for proxy in others:
        proxy.set_fault(ProxyFault.NONE)
    await leaving
    await context.release({"target"})


async def leave(context: FaultContext, instance: TargetInstance) -> None:
    """Announce an instance's stop, end it later, and start it again."""
    extra_s = context.rng.uniform(*EXTRA_SERVICE_RANGE_S)
    await end_target(context, instance, LEAVING_WORK_S + extra_s)
    await asyncio.sleep(RESTART_DELAY_S)
    await context.restart(instance)


async def end_target(
    context: FaultContext,
    instance: TargetInstance,
    serves_s: float,
    goes_on_s: float = 0.0,
) -> None:
    """Announce an instance's stop, and end it later.

    :param serves_s: time from the announcement to the leave call
    :param goes_on_s: time for which it goes on after that, as it got no
        answer
    """
    departure = Departure(target=instance.name)
    context.group.departures.append(departure)
    instance.departure = departure
    # A target ends even if no control host acknowledges its stop.
    await asyncio.sleep(serves_s)
    departure.has_left = True
    await context.platform.send_leave(instance)
    await asyncio.sleep(goes_on_s)
    context.crash(instance)
    departure.ended_s = time.monotonic()


def darken(context: FaultContext, instance: TargetInstance) -> None:
    """Cut an instance off from all hosts and instances."""
    instance.is_dark = True
    context.proxies[instance.name].cut()


async def wake(context: FaultContext, instance: TargetInstance) -> None:
    """Let a dark instance be reached again."""
    await context.proxies[instance.name].join()
    instance.is_dark = False


async def _disrupt_primary(context: FaultContext) -> None:
    await _disrupt(context, context.group.current_primary.name)


async def _disrupt_any(context: FaultContext) -> None:
    await _disrupt(context, context.rng.choice(sorted(context.proxies)))


async def _disrupt(context: FaultContext, target: str) -> None:
    kinds = [
        ProxyFault.DELAY,
        ProxyFault.SILENT,
        ProxyFault.ONE_WAY,
        ProxyFault.RESET,
    ]
    proxy = context.proxies[target]
    proxy.set_fault(context.rng.choice(kinds))
    await context.wait_fault_duration()
    proxy.set_fault(ProxyFault.NONE)


async def _change(context: FaultContext) -> None:
    await context.platform.change()


async def _send_odd_entries(context: FaultContext) -> None:
    instances = context.group.instances
    instance = instances[context.rng.choice(sorted(instances))]
    taken = await context.platform.send_odd_entries(instance, context.rng)
    context.violations.extend(f"taken for a target: {t}" for t in taken)


async def _send_sighup(context: FaultContext) -> None:
    """Send a signal that ends a process which has just been started.

    The platform starts processes again that end.
    """
    node = context.rng.choice(context.nodes.all)
    node.send_signal(signal.SIGHUP)
    await asyncio.sleep(RESTART_DELAY_S)
    node.start_if_ended_by(signal.SIGHUP)


async def _release_entries(context: FaultContext) -> None:
    """Stop and start all entry hosts, one after the other."""
    for node in context.rng.sample(
        context.nodes.entry, len(context.nodes.entry)
    )[:MAX_RELEASED]:
        await context.reserve({node.name})
        await asyncio.to_thread(node.stop_process, signal.SIGTERM)
        node.start()
        await context.release({node.name})


async def _lose_disk(context: FaultContext) -> None:
    """Restart a control host with an empty disk."""
    node = await context.reserve_node(context.nodes.control)
    await _restart_without_disk(node)
    await asyncio.sleep(CATCH_UP_S)
    await _wait_for_vote(context, node)
    await context.release({node.name})


async def _lose_disk_again(context: FaultContext) -> None:
    """Restart a control host with an empty disk several times."""
    node = await context.reserve_node(context.nodes.control)
    for _ in range(context.rng.randint(2, 3)):
        await _restart_without_disk(node)
        await asyncio.sleep(context.rng.uniform(*DISK_LOSS_RANGE_S))
    await asyncio.sleep(CATCH_UP_S)
    await _wait_for_vote(context, node)
    await context.release({node.name})


FAULTS: Final[dict[str, Callable[[FaultContext], Awaitable[None]]]] = {
    "freeze-entry": _freeze_entry,
    "freeze-control": _freeze_control,
    "kill-entry": _kill_entry,
    "kill-control": _kill_control,
    "stop-entry": _stop_entry,
    "stop-control": _stop_control,
    "restart-control": _restart_control,
    "restart-hosts": _restart_hosts,
    "lose-quorum-disk": _lose_quorum_disk,
    "fill-disk": _fill_disk,
    "fill-disks-in-turn": _fill_disks_in_turn,
    "slow-disk": _slow_disk,
    "hang-disk": _hang_disk,
    "crash-primary": _crash_primary,
    "leave-primary": _leave_primary,
    "leave-any": _leave_any,
    "leave-cut-off": _leave_cut_off,
    "harm-primary": _disrupt_primary,
    "harm-any": _disrupt_any,
    "change": _change,
    "hang-up": _send_sighup,
    "lose-disk": _lose_disk,
    "lose-disk-again": _lose_disk_again,
    "release-entries": _release_entries,
    "odd-entries": _send_odd_entries,
    "crash-ordered": _crash_ordered,
    "crash-promoted": _crash_promoted,
    "wake-old-primary": _wake_old_primary,
    "late-orders": _delay_orders,
    "lost-answers": _lose_order_answers,
    "lost-orders": _lose_orders,
    "platform-down": _stop_platform,
}
