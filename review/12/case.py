"""A replica whose leave call got no ack is no longer counted."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins_3"))

from platform_standin import Client, Cluster, now, run_case

DRAIN_S = 7.0
# Where it gets no ack, an instance exits some seconds after its leave
# call.
EXIT_S = 3.5
DEAF_AFTER_S = 0.8
INTERVAL_S = 4.5


async def write_until(
    client: Client, delay_s: float, ended: asyncio.Event, acked: list
):
    """Write now and then, and keep the acknowledged ids."""
    await asyncio.sleep(delay_s)
    while not ended.is_set():
        request_id, code, _ = await client.query(f"WRITE k{client.name} v")
        if code == "DONE":
            acked.append((now(), request_id))
        await asyncio.sleep(INTERVAL_S)


async def scenario(cluster: Cluster, disturbed: bool) -> list[str]:
    """Play the case and return the commits that were lost."""
    service = cluster.service
    acked: list[tuple[float, str]] = []
    ended = asyncio.Event()
    # Quiet traffic: a write every 1.5 s, by one front after the other.
    writers = [
        asyncio.create_task(
            write_until(
                cluster.client(f"c{n}", "strict", n),
                n * INTERVAL_S / 3,
                ended,
                acked,
            )
        )
        for n in range(3)
    ]
    await asyncio.sleep(2.0 * INTERVAL_S)
    primary = service.primary
    leaving, other = [
        i for i in service.instances.values() if i is not primary
    ]
    # A planned stop of a replica.
    if not await leaving.drain():
        raise RuntimeError("the planned stop was not acknowledged")
    await asyncio.sleep(DRAIN_S + 0.5)
    leaving.loses_acks = disturbed
    called = now()
    call = asyncio.create_task(leaving.leave())
    await asyncio.sleep(DEAF_AFTER_S)
    if disturbed:
        # The other replica receives nothing for a while, and the
        # primary crashes meanwhile.
        cluster.record.add(f"{other.name} receives nothing from now on")
        other.is_deaf = True
        await asyncio.sleep(max(0.0, called + EXIT_S - now()))
    await call
    leaving.crash()
    if disturbed:
        primary.crash()
        await asyncio.sleep(3.0)
        cluster.record.add(f"{other.name} receives again")
        other.is_deaf = False
        await asyncio.sleep(4.0)
        cluster.record.add(f"{primary.name} is back with its log")
        primary.role = "primary" if service.primary is primary else "replica"
        await primary.start()
    await asyncio.sleep(8.0)
    ended.set()
    await asyncio.gather(*writers)
    if not acked or acked[-1][0] < now() - 6.0:
        raise RuntimeError("writes are not served at the end")
    return lost_commits(cluster, acked)


def lost_commits(cluster: Cluster, acked: list) -> list[str]:
    """List acknowledged commits that a promoted instance lacks."""
    times = {request_id: at for at, request_id in acked}
    found = []
    for at, name, term, log in cluster.service.promotions:
        held = {request_id for entry in log for request_id in entry.ids}
        found.extend(
            f"{request_id} was acknowledged {at - acked_at:.2f} s before"
            f" {name} led term {term}, whose log lacks it"
            for request_id, acked_at in times.items()
            if acked_at < at and request_id not in held
        )
    return found


if __name__ == "__main__":
    sys.exit(run_case(scenario, __file__, sync_replicas=1))
