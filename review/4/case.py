"""A check-in of another writer is taken for an instance."""

from __future__ import annotations

import asyncio
import signal
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from harness.callers import (  # noqa: E402
    Session,
    desired_state,
    http_call,
)
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
ROUTE_TIMEOUT_S = 3.0
LOSS_SLACK_S = 0.2
SILENCE_S = 10.0
WORK_S = 0.055
BAD_PORT = 80_800  # a port has 16 bits: 65,535 at most


async def read(session, request_id, requests, timeout_s=SILENCE_S):
    """Send one read and record what became of it."""
    sent = time.monotonic()
    code, _ = await session.query(request_id, "READ p", timeout_s)
    requests[request_id] = (sent, time.monotonic(), code)


async def read_at_once(front, name, count, requests):
    """Read once in each of several new sessions at the same time."""
    sessions = [
        Session(front.ip, "old" if n % 2 else "own", f"{name}{n}")
        for n in range(count)
    ]
    opened = [await session.open() for session in sessions]
    reads = [
        asyncio.ensure_future(read(session, f"{name}{n}", requests))
        for n, session in enumerate(sessions)
        if opened[n]
    ]
    return reads


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
    service.work_s = WORK_S
    front = fleet.fronts[1]
    warm_up = {}
    for n in range(10):
        await asyncio.gather(*await read_at_once(front, f"w{n}", 3, warm_up))
    if is_troubled():
        await send_bad_check_in(fleet, service, front.zone, record)
    await asyncio.sleep(3.0)
    earlier, requests = {}, {}
    first = await read_at_once(front, "a", 6, earlier)
    await asyncio.sleep(ROUTE_TIMEOUT_S + 0.5)
    silent = sum(not task.done() for task in first)
    record(
        f"reads without any answer {ROUTE_TIMEOUT_S + 0.5} s after they were"
        f" sent: {silent} of {len(first)}"
    )
    stopped = time.monotonic()
    record(f"SIGTERM to {front.name}")
    front.signal(signal.SIGTERM)
    reads = await read_at_once(front, "b", 6, requests)
    await asyncio.gather(*first, *reads)
    front.child.wait(GRACE_S + 2)
    return judge(service, requests, stopped, silent, record)


async def send_bad_check_in(fleet, service, zone, record):
    """Send a check-in without `seq` and with a number as `version`."""
    body = service.instances[1].beat()
    del body["seq"]
    body["version"] = 1
    body["address"] = f"{fleet.network}.5.9:{BAD_PORT}"
    body["data_center"] = zone
    body["born"] = int(time.time() * 1000)
    for process in fleet.core:
        status, _ = await http_call(
            process.ip, "POST", "/instances/i-other-1/heartbeat", body
        )
        record(
            f"check-in of another writer address={body['address']}"
            f" at={process.name} status={status}"
        )


def judge(service, requests, stopped, silent, record):
    if not requests:
        return NOT_RUN
    broken = 0
    for request_id, (sent, ended, code) in requests.items():
        record(
            f"read id={request_id} sent_s={sent - stopped:.3f}"
            f" ended_s={ended - stopped:.3f} answer={code}"
        )
        took = ended - sent
        if code != "LOST" or took >= ROUTE_TIMEOUT_S or took < LOSS_SLACK_S:
            continue
        if ended - stopped > GRACE_S + 1.0:
            continue
        broken += 1
        record(
            f"BROKEN id={request_id}: its connection ended after"
            f" {took:.3f} s without an answer"
        )
    record(
        f"reads cut off around the stop: {broken}; reads without an"
        f" answer before it: {silent}"
    )
    return BROKEN if broken else HELD


if __name__ == "__main__":
    main(HERE, play)
