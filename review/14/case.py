"""One desired state that cannot be read ends the core's processes."""

from __future__ import annotations

import asyncio
import json
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins_3"))

from platform_standin import (
    CONTROL_PORT,
    Cluster,
    Node,
    http_call,
    now,
    run_case,
)

REPLACE = "/rosemarysaddle/configuration/replace"
DEEPEST = 1_010
PLAY_S = 80.0
RESTART_S = 0.5
# Delay before the operator's next call, which grows.
FIRST_DELAY_S, LAST_DELAY_S = 0.2, 1.0


def with_note(plan: dict, depth: int) -> bytes:
    """Add a field that the pages do not name: nested lists."""
    note = "[" * depth + "]" * depth
    return f'{json.dumps(plan)[:-1]}, "note": {note}}}'.encode()


async def keep_running(node: Node, ends: list[float]) -> None:
    """Start a process again that ended by itself, as the platform does."""
    while True:
        await asyncio.sleep(0.05)
        if node.process is not None and node.process.poll() is not None:
            ends.append(now())
            node.cluster.record.add(
                f"{node.name} ended by itself with {node.process.poll()}"
            )
            await asyncio.sleep(RESTART_S)
            node.start()


async def scenario(cluster: Cluster, disturbed: bool) -> list[str]:
    """Play the case and return what broke the rule."""
    ends: dict[str, list[float]] = {n.name: [] for n in cluster.core}
    for node in cluster.core:
        work = keep_running(node, ends[node.name])
        cluster.tasks.append(asyncio.create_task(work))
    ips = cluster.core_ips()
    body = json.dumps(cluster.plan()).encode()
    if disturbed:
        # The deepest one that is not refused: a deeper one is answered
        # with 400.  The depth depends on the Python version.
        plan = cluster.plan()
        for depth in range(DEEPEST, 900, -1):
            body = with_note(plan, depth)
            status, _ = await http_call(
                "POST", f"{ips[0]}:{CONTROL_PORT}", REPLACE, body
            )
            cluster.record.add(f"{depth} deep: {status}")
            if status != 400:
                break
    # The operator sends it again, unchanged, until it is answered.
    client = cluster.client("c", "strict")
    until, number, delay = now() + PLAY_S, 0, FIRST_DELAY_S
    answered = served = asked = 0
    while now() < until:
        ip = ips[number % len(ips)]
        number += 1
        status, _ = await http_call(
            "POST", f"{ip}:{CONTROL_PORT}", REPLACE, body
        )
        cluster.record.add(f"desired state to {ip}: {status}")
        if status in {200, 400}:
            answered += 1
            delay = 1.0
        _, code, _ = await client.query("WRITE k v")
        asked, served = asked + 1, served + (code == "DONE")
        await asyncio.sleep(delay)
        delay = min(LAST_DELAY_S, delay * 1.5)
    cluster.record.add(
        f"{number} calls, {answered} answered; {served} of {asked} writes"
        f" served; ends {[len(each) for each in ends.values()]}"
    )
    print(f"ends {[len(each) for each in ends.values()]}")
    print(f"{served} of {asked} writes served")
    often = [name for name, times in ends.items() if len(times) >= 3]
    if 2 * len(often) >= len(ends):
        return [
            f"the process of {name} ended by itself {len(ends[name])} times"
            for name in often
        ]
    return []


if __name__ == "__main__":
    sys.exit(run_case(scenario, __file__))
