"""Faults of the soak, each with its end, all from outside."""

from __future__ import annotations

import asyncio
import signal
from typing import TYPE_CHECKING, Final

import attrs

from rosemarysaddle.soak._proxy import Harm

if TYPE_CHECKING:
    import random
    from collections.abc import Awaitable, Callable

    from rosemarysaddle.soak._nodes import Node, Nodes
    from rosemarysaddle.soak._platform import StandInPlatform
    from rosemarysaddle.soak._proxy import HarmingProxy
    from rosemarysaddle.soak._targets import TargetGroup

__all__ = ("FAULTS", "FaultField")

SHORT_S: Final = (0.5, 3.0)
RESTART_S: Final = 0.5


@attrs.define(kw_only=True, eq=False)
class FaultField:
    """What faults act on.

    :param down: nodes that one fault has taken; another leaves them
    """

    nodes: Nodes
    group: TargetGroup
    proxies: dict[str, HarmingProxy]
    platform: StandInPlatform
    source: random.Random
    down: set[str] = attrs.field(factory=set)

    async def hold(self) -> None:
        """Let a fault last."""
        await asyncio.sleep(self.source.uniform(*SHORT_S))

    def take(self, nodes: list[Node]) -> Node | None:
        """Choose a node while all of its kind are well."""
        if self.down & {node.name for node in nodes}:
            return None
        node = self.source.choice(nodes)
        self.down.add(node.name)
        return node


async def _freeze(field: FaultField, nodes: list[Node]) -> None:
    node = field.take(nodes)
    if node is None:
        return
    node.send(signal.SIGSTOP)
    await field.hold()
    node.send(signal.SIGCONT)
    field.down.discard(node.name)


async def _restart(
    field: FaultField, nodes: list[Node], number: signal.Signals
) -> None:
    node = field.take(nodes)
    if node is None:
        return
    await asyncio.to_thread(node.end, number)
    await asyncio.sleep(RESTART_S)
    node.start()
    await field.hold()
    field.down.discard(node.name)


async def _freeze_entry(field: FaultField) -> None:
    await _freeze(field, field.nodes.entry)


async def _freeze_control(field: FaultField) -> None:
    await _freeze(field, field.nodes.control)


async def _kill_entry(field: FaultField) -> None:
    await _restart(field, field.nodes.entry, signal.SIGKILL)


async def _kill_control(field: FaultField) -> None:
    await _restart(field, field.nodes.control, signal.SIGKILL)


async def _stop_entry(field: FaultField) -> None:
    await _restart(field, field.nodes.entry, signal.SIGTERM)


async def _stop_control(field: FaultField) -> None:
    await _restart(field, field.nodes.control, signal.SIGTERM)


async def _restart_control(field: FaultField) -> None:
    """Kill all control hosts at once."""
    names = {node.name for node in field.nodes.control}
    if field.down & names:
        return
    field.down |= names
    for node in field.nodes.control:
        node.send(signal.SIGKILL)
    for node in field.nodes.control:
        await asyncio.to_thread(node.end)
    await asyncio.sleep(RESTART_S)
    for node in field.nodes.control:
        node.start()
    await field.hold()
    field.down -= names


async def _crash_primary(field: FaultField) -> None:
    if "target" in field.down:
        return
    field.down.add("target")
    primary = field.group.leader
    primary.crash()
    await asyncio.sleep(field.source.uniform(2.0, 4.0))
    primary.is_up = True
    primary.born_ms += 1
    await primary.listen(field.group)
    field.group.settle()
    await field.hold()
    field.down.discard("target")


async def _harm_primary(field: FaultField) -> None:
    await _harm(field, field.group.leader.name)


async def _harm_any(field: FaultField) -> None:
    await _harm(field, field.source.choice(sorted(field.proxies)))


async def _harm(field: FaultField, target: str) -> None:
    kinds = [Harm.DELAY, Harm.SILENT, Harm.ONE_WAY, Harm.RESET]
    proxy = field.proxies[target]
    proxy.set_harm(field.source.choice(kinds))
    await field.hold()
    proxy.set_harm(Harm.NONE)


async def _change(field: FaultField) -> None:
    await field.platform.change()


async def _hang_up(field: FaultField) -> None:
    field.source.choice(field.nodes.all).send(signal.SIGHUP)


FAULTS: Final[dict[str, Callable[[FaultField], Awaitable[None]]]] = {
    "freeze-entry": _freeze_entry,
    "freeze-control": _freeze_control,
    "kill-entry": _kill_entry,
    "kill-control": _kill_control,
    "stop-entry": _stop_entry,
    "stop-control": _stop_control,
    "restart-control": _restart_control,
    "crash-primary": _crash_primary,
    "harm-primary": _harm_primary,
    "harm-any": _harm_any,
    "change": _change,
    "hang-up": _hang_up,
}
