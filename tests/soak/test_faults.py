from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING

from rosemarysaddle.soak._faults import FaultContext
from rosemarysaddle.soak._nodes import Nodes
from rosemarysaddle.soak._platform import GROUP, StandInPlatform
from rosemarysaddle.soak._targets import TargetGroup

if TYPE_CHECKING:
    from pathlib import Path


def _context(folder: Path) -> FaultContext:
    nodes = Nodes(network="127.99", folder=folder)
    group = TargetGroup(name=GROUP, instances={})
    return FaultContext(
        nodes=nodes,
        group=group,
        proxies={},
        platform=StandInPlatform(nodes=nodes, group=group, proxies={}),
        rng=random.Random(1),  # noqa: S311
    )


def test_fault_waits_until_its_nodes_are_free(tmp_path: Path) -> None:
    context = _context(tmp_path)

    async def run() -> None:
        first = await context.reserve_node(context.nodes.control)
        names = {node.name for node in context.nodes.all}
        second = asyncio.ensure_future(context.reserve(names))
        await asyncio.sleep(0)
        assert context.reserved == {first.name}

        await context.release({first.name})
        await second
        assert context.reserved == names

    asyncio.run(run())


def test_faults_of_control_and_entry_hosts_overlap(tmp_path: Path) -> None:
    context = _context(tmp_path)

    async def run() -> set[str]:
        control = await context.reserve_node(context.nodes.control)
        entry = await context.reserve_node(context.nodes.entry)
        return {control.name, entry.name}

    assert asyncio.run(run()) == context.reserved
