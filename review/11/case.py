"""A core machine loses its disk in a row; the core never leads again."""

from __future__ import annotations

import asyncio
import json
import shutil
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins_3"))

from platform_standin import (
    CONTROL_PORT,
    Client,
    Cluster,
    http_call,
    now,
    run_case,
)

READ = "/rosemarysaddle/configuration/get"
MAX_LOSSES = 3
# Time for which the machine answers again before the next loss.
UP_S = 0.3
BACK_S = 3.0
# recoveryS of the site, and some seconds.
RECOVERY_S = 15.0
READ_BACK_S = 15.0


async def lose_disk(cluster: Cluster, number: int) -> None:
    """Let one core machine lose its disk; it is back at once."""
    node = cluster.core[number]
    await asyncio.to_thread(node.kill)
    shutil.rmtree(node.folder / "data", ignore_errors=True)
    node.start()
    cluster.record.add(f"{node.name} has lost its disk and starts again")


async def wait_until_back(cluster: Cluster, number: int) -> bool:
    """Wait until a core machine answers the operator again."""
    address = f"{cluster.core[number].ip}:{CONTROL_PORT}"
    until = now() + BACK_S
    while now() < until:
        status, _ = await http_call("GET", address, READ)
        if status:
            cluster.record.add(f"{address} answers again: {status}")
            return True
        await asyncio.sleep(0.02)
    cluster.record.add(f"{address} does not answer")
    return False


async def read_back(cluster: Cluster, version: int) -> bool:
    """Read the desired state until it comes, as the operator does."""
    until = now() + READ_BACK_S
    while now() < until:
        for ip in cluster.core_ips():
            status, body = await http_call("GET", f"{ip}:{CONTROL_PORT}", READ)
            cluster.record.add(f"read at {ip}: {status}")
            if status == 200 and json.loads(body)["version"] >= version:
                return True
        await asyncio.sleep(0.5)
    return False


async def write_for(client: Client, time_s: float) -> tuple[int, int]:
    """Write for some time; count what was asked and what was served."""
    until, asked, served = now() + time_s, 0, 0
    while now() < until:
        _, code, _ = await client.query("WRITE k v")
        asked, served = asked + 1, served + (code == "DONE")
        await asyncio.sleep(0.2)
    return asked, served


async def scenario(cluster: Cluster, disturbed: bool) -> list[str]:
    """Play the case and return what broke the rule."""
    client = cluster.client("c", "strict")
    asked, served = await write_for(client, 2.0)
    if 2 * served < asked:
        raise RuntimeError("writes are not served at the start")
    if await cluster.configure(cluster.plan()) != 200:
        raise RuntimeError("the desired state was not acknowledged")
    version = cluster.version
    if disturbed:
        for _ in range(MAX_LOSSES):
            await lose_disk(cluster, 2)
            if not await wait_until_back(cluster, 2):
                break
            await asyncio.sleep(UP_S)
    cluster.record.add("all machines run from here on")
    await asyncio.sleep(RECOVERY_S)
    asked, served = await write_for(client, 5.0)
    found = []
    if 4 * served < asked:
        found.append(f"{served} of {asked} writes are served")
    if not await read_back(cluster, version):
        found.append(
            f"version {version}, which was acknowledged, is not read back"
            f" within {READ_BACK_S:.0f} s, {RECOVERY_S + 5:.0f} s after all"
            " machines are back"
        )
    return found


if __name__ == "__main__":
    sys.exit(run_case(scenario, __file__))
