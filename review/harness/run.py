"""Frame of a script: record, exit status and clean-up."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
import time
from pathlib import Path

from .nodes import CannotRun, Fleet

HELD, BROKEN, NOT_RUN = 0, 1, 2


class Record:
    """Lines with the time since the start, written to record.txt."""

    def __init__(self, folder):
        self.file = (Path(folder) / "record.txt").open("w")
        self.began = time.monotonic()

    def __call__(self, text):
        now = time.monotonic() - self.began
        self.file.write(f"{now:9.3f} {text}\n")
        self.file.flush()


def is_troubled():
    """Tell whether the disruption is to be played."""
    return os.environ.get("TROUBLE", "1") != "0"


def main(folder, play, fronts=3, limit_s=110):
    """Play a case and exit with its status."""
    record = Record(folder)
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(NOT_RUN))
    fleet = None
    status = NOT_RUN
    try:
        fleet = Fleet(fronts)
        fleet.start()

        async def limited():
            async with asyncio.timeout(limit_s):
                return await play(fleet, record)

        status = asyncio.run(limited())
    except (CannotRun, TimeoutError, OSError) as error:
        record(f"could not run: {error!r}")
        print(f"could not run: {error!r}")
    finally:
        if fleet is not None:
            keep = os.environ.get("KEEP", "") != ""
            fleet.stop(keep=keep)
            if keep:
                print(fleet.folder)
    names = {HELD: "held", BROKEN: "broken", NOT_RUN: "could not run"}
    record(f"result: {names[status]}")
    print(names[status])
    sys.exit(status)


async def find_leader(fleet, limit_s=15.0):
    """Wait until a core machine leads; return it."""
    until = time.monotonic() + limit_s
    while time.monotonic() < until:
        leader = fleet.leader()
        if leader is not None:
            return leader
        await asyncio.sleep(0.1)
    raise CannotRun("no core machine leads")


async def start_around(fleet, record, service, provider, state):
    """Start the stand-ins and wait until writes succeed.

    :return: the tasks that send the check-ins
    """
    from .callers import Operator, Session, check_in

    await service.start()
    await provider.start()
    if not await Operator(fleet, record).replace(state):
        raise CannotRun("the first desired state was not acknowledged")
    tasks = [
        asyncio.ensure_future(check_in(fleet, instance, record))
        for instance in service.instances
    ]
    until = time.monotonic() + 20
    for front in fleet.fronts:
        while True:
            session = Session(front.ip, "strict", "probe")
            code = ""
            if await session.open():
                code, _ = await session.query(
                    f"start{int(time.monotonic() * 1e6)}", "WRITE p 1"
                )
                session.close()
            if code == "DONE":
                break
            if time.monotonic() > until:
                raise CannotRun(f"{front.name} serves no writes")
            await asyncio.sleep(0.2)
    record("all front machines serve")
    return tasks
