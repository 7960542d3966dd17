"""Planned stop of a front machine whose clients have transactions open."""

from __future__ import annotations

import asyncio
import signal
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from harness.callers import Session, desired_state  # noqa: E402
from harness.run import (  # noqa: E402
    BROKEN,
    HELD,
    NOT_RUN,
    is_troubled,
    main,
    start_around,
)
from harness.servers import Provider, Service  # noqa: E402

GRACE_S = 6.0
SENT_BY_S = 3.0
ROUTE_TIMEOUT_S = 3.0
WORK_S = 0.3
PAUSE_S = 0.25
STATEMENTS = 12
CLIENTS = 16
STAGGER_S = 0.034


async def run_transaction(session, name, requests):
    """Run a transaction of twelve reads, as a client does."""
    code, _ = await session.query(f"{name}b", "BEGIN READ")
    for number in range(STATEMENTS):
        if code != "DONE" or session.writer is None:
            return
        await asyncio.sleep(PAUSE_S if number else 0)
        request_id = f"{name}s{number}"
        sent = time.monotonic()
        code, _ = await session.query(request_id, "READ p", timeout_s=8.0)
        requests[request_id] = (sent, time.monotonic(), code)
    if code == "DONE" and session.writer is not None:
        sent = time.monotonic()
        code, _ = await session.query(f"{name}c", "COMMIT")
        requests[f"{name}c"] = (sent, time.monotonic(), code)


async def play(fleet, record):
    service = Service(fleet, record)
    provider = Provider(fleet, service, record)
    await start_around(
        fleet,
        record,
        service,
        provider,
        desired_state(1, service.name, timeout_ms=int(ROUTE_TIMEOUT_S * 1e3)),
    )
    await asyncio.sleep(3.0)
    service.work_s = WORK_S
    front = fleet.fronts[0]
    sessions = [Session(front.ip, "old", f"u{n}") for n in range(CLIENTS)]
    for session in sessions:
        if not await session.open():
            return NOT_RUN
    requests = {}
    tasks = []
    for number, session in enumerate(sessions):
        name = f"t{number}"
        work = run_transaction(session, name, requests)
        tasks.append(asyncio.ensure_future(work))
        await asyncio.sleep(STAGGER_S)
    stopped = time.monotonic()
    if is_troubled():
        record(f"SIGTERM to {front.name}")
        front.signal(signal.SIGTERM)
    await asyncio.gather(*tasks)
    if is_troubled():
        front.child.wait(GRACE_S)
        record(f"{front.name} ended after {time.monotonic() - stopped:.2f} s")
    return judge(service, requests, stopped, record)


def judge(service, requests, stopped, record):
    broken = 0
    for request_id, (sent, ended, code) in sorted(requests.items()):
        record(
            f"request id={request_id} sent_s={sent - stopped:.3f}"
            f" ended_s={ended - stopped:.3f} answer={code}"
        )
        if code != "LOST" or ended - stopped > GRACE_S + 1.0:
            continue
        reached = [s for s in service.arrived if s[2] == request_id]
        if not reached or ended - sent >= ROUTE_TIMEOUT_S:
            continue
        # Not counted: sent by then, and still at work at the very end.
        if sent - stopped <= SENT_BY_S:
            continue
        broken += 1
        record(
            f"BROKEN id={request_id} reached {reached[0][1]}, and its"
            f" connection ended without an answer"
        )
    record(f"requests cut off after they were passed on: {broken}")
    return BROKEN if broken else HELD


if __name__ == "__main__":
    main(HERE, play)
