"""Faults of the soak, each with its end, all from outside."""

from __future__ import annotations

import asyncio
import signal
from typing import TYPE_CHECKING, Final

import attrs

from rosemarysaddle.soak._proxy import ProxyFault

if TYPE_CHECKING:
    import random
    from collections.abc import Awaitable, Callable

    from rosemarysaddle.soak._nodes import Node, Nodes
    from rosemarysaddle.soak._platform import StandInPlatform
    from rosemarysaddle.soak._proxy import FaultProxy
    from rosemarysaddle.soak._targets import TargetGroup

__all__ = ("FAULTS", "FaultContext")

FAULT_DURATION_RANGE_S: Final = (0.5, 3.0)
RESTART_DELAY_S: Final = 0.5


@attrs.define(kw_only=True, eq=False)
class FaultContext:
    """What faults act on.

    :param down: nodes that one fault has taken; another leaves them
    """

    nodes: Nodes
    group: TargetGroup
    proxies: dict[str, FaultProxy]
    platform: StandInPlatform
    rng: random.Random
    reserved: set[str] = attrs.field(factory=set)

    async def wait_fault_duration(self) -> None:
        """Let a fault last."""
        await asyncio.sleep(self.rng.uniform(*FAULT_DURATION_RANGE_S))

    def reserve_node(self, nodes: list[Node]) -> Node | None:
        """Choose a node while all of its kind are well."""
        if self.reserved & {node.name for node in nodes}:
            return None
        node = self.rng.choice(nodes)
        self.reserved.add(node.name)
        return node


async def _freeze(field: FaultContext, nodes: list[Node]) -> None:
    node = field.reserve_node(nodes)
    if node is None:
        return
    node.send(signal.SIGSTOP)
    await field.wait_fault_duration()
    node.send(signal.SIGCONT)
    field.reserved.discard(node.name)


async def _restart(
    field: FaultContext, nodes: list[Node], number: signal.Signals
) -> None:
    node = field.reserve_node(nodes)
    if node is None:
        return
    await asyncio.to_thread(node.stop_process, number)
    await asyncio.sleep(RESTART_DELAY_S)
    node.start()
    await field.wait_fault_duration()
    field.reserved.discard(node.name)


async def _freeze_entry(field: FaultContext) -> None:
    await _freeze(field, field.nodes.entry)


async def _freeze_control(field: FaultContext) -> None:
    await _freeze(field, field.nodes.control)


async def _kill_entry(field: FaultContext) -> None:
    await _restart(field, field.nodes.entry, signal.SIGKILL)


async def _kill_control(field: FaultContext) -> None:
    await _restart(field, field.nodes.control, signal.SIGKILL)


async def _stop_entry(field: FaultContext) -> None:
    await _restart(field, field.nodes.entry, signal.SIGTERM)


async def _stop_control(field: FaultContext) -> None:
    await _restart(field, field.nodes.control, signal.SIGTERM)


async def _restart_control(field: FaultContext) -> None:
    """Kill all control hosts at once."""
    names = {node.name for node in field.nodes.control}
    if field.reserved & names:
        return
    field.reserved |= names
    for node in field.nodes.control:
        node.send(signal.SIGKILL)
    for node in field.nodes.control:
        await asyncio.to_thread(node.stop_process)
    await asyncio.sleep(RESTART_DELAY_S)
    for node in field.nodes.control:
        node.start()
    await field.wait_fault_duration()
    field.reserved -= names


async def _crash_primary(field: FaultContext) -> None:
    if "target" in field.reserved:
        return
    field.reserved.add("target")
    primary = field.group.current_primary
    primary.crash()
    await asyncio.sleep(field.rng.uniform(2.0, 4.0))
    primary.is_up = True
    primary.incarnation_ms += 1
    await primary.listen(field.group)
    field.group.demote_others()
    await field.wait_fault_duration()
    field.reserved.discard("target")


async def _disrupt_primary(field: FaultContext) -> None:
    await _disrupt(field, field.group.current_primary.name)


async def _disrupt_any(field: FaultContext) -> None:
    await _disrupt(field, field.rng.choice(sorted(field.proxies)))


async def _disrupt(field: FaultContext, target: str) -> None:
    kinds = [
        ProxyFault.DELAY,
        ProxyFault.SILENT,
        ProxyFault.ONE_WAY,
        ProxyFault.RESET,
    ]
    proxy = field.proxies[target]
    proxy.set_fault(field.rng.choice(kinds))
    await field.wait_fault_duration()
    proxy.set_fault(ProxyFault.NONE)


async def _change(field: FaultContext) -> None:
    await field.platform.change()


async def _hang_up(field: FaultContext) -> None:
    field.rng.choice(field.nodes.all).send(signal.SIGHUP)


FAULTS: Final[dict[str, Callable[[FaultContext], Awaitable[None]]]] = {
    "freeze-entry": _freeze_entry,
    "freeze-control": _freeze_control,
    "kill-entry": _kill_entry,
    "kill-control": _kill_control,
    "stop-entry": _stop_entry,
    "stop-control": _stop_control,
    "restart-control": _restart_control,
    "crash-primary": _crash_primary,
    "harm-primary": _disrupt_primary,
    "harm-any": _disrupt_any,
    "change": _change,
    "hang-up": _hang_up,
}
