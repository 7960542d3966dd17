"""A replica that acknowledged commits leaves; then the primary crashes."""

from __future__ import annotations

import asyncio
import os
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins_2"))

from sim import (  # noqa: E402
    DRAIN_MS,
    Bed,
    Instance,
    Record,
    Service,
    route,
    run_case,
)
from writers import Writer, judge_lost  # noqa: E402

DEAF_S = 6.0  # `replica_lag`, how "deaf crash": for_s 6.0 in the site file
DOWN_S = 7.0  # `srv_crash` of a primary: for_s 7.0 in the site file
DEAF_BEFORE_END_S = 2.0
CRASH_AFTER_END_S = 0.2
SUCCESSOR_AFTER_S = 1.0
WRITERS = 4


async def replace(bed: Bed, service: Service, old: Instance) -> Instance:
    """Replace an instance as planned; return its successor, not started.

    It drains, serves for ``drainMs`` and a little longer, leaves and
    ends.  A new instance at its address gets its log.
    """
    old.draining = True
    while old.name not in service.acked_leaving_s:
        await asyncio.sleep(0.02)
    bed.record(f"drain of {old.name} is acknowledged")
    await asyncio.sleep(DRAIN_MS / 1_000 + 0.2)
    await service.leave(old)
    successor = Instance(f"{old.name}n", old.ip, old.zone)
    successor.log, successor.applied = list(old.log), old.applied
    successor.term = old.term
    return successor


async def start_later(service: Service, successor: Instance) -> None:
    """Start the successor of an instance that ended just now."""
    await asyncio.sleep(SUCCESSOR_AFTER_S)
    await service.start(successor)


async def case(record: Record, trouble: bool) -> int:
    """Run the case."""
    bed = Bed(record)
    try:
        service = await bed.add_service("hop", sync=1)
        await bed.start()
        plan = bed.plan([route("book", "hop", "primary")])
        if not await bed.configure(plan, 20.0):
            return 2
        if not await bed.wait_ready(20.0):
            return 2
        writers = [Writer(bed, n) for n in range(WRITERS)]
        tasks = [asyncio.create_task(w.run()) for w in writers]
        await asyncio.sleep(4.0)
        if not any(w.acked for w in writers):
            return 2
        names = sorted(service.instances)
        primary, leaving, other = (service.instances[n] for n in names)
        replacing = asyncio.create_task(replace(bed, service, leaving))
        if trouble:
            while leaving.name not in service.acked_leaving_s:
                await asyncio.sleep(0.02)
            await asyncio.sleep(DRAIN_MS / 1_000 + 0.2 - DEAF_BEFORE_END_S)
            # TROUBLE=crash: the crash alone, as a check of the stand-ins.
            other.deaf = os.environ.get("TROUBLE") != "crash"
            record(f"{other.name} receives nothing: {other.deaf}")
        successor = await replacing
        starting = asyncio.create_task(start_later(service, successor))
        if trouble:
            await asyncio.sleep(CRASH_AFTER_END_S)
            service.crash(primary)
            await asyncio.sleep(DEAF_S - DEAF_BEFORE_END_S - CRASH_AFTER_END_S)
            other.deaf = False
            record(f"{other.name} receives again")
            await asyncio.sleep(
                DOWN_S + CRASH_AFTER_END_S + DEAF_BEFORE_END_S - DEAF_S
            )
            await service.start(primary)
        await starting
        await asyncio.sleep(8.0)
        for task in tasks:
            task.cancel()
        return judge_lost(record, service, writers)
    finally:
        bed.end()


if __name__ == "__main__":
    sys.exit(run_case(case, HERE))
