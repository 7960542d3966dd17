"""A check-in of another writer hides that an instance leaves."""

from __future__ import annotations

import asyncio
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

DRAIN_S = 7.0
LINGER_S = 8.0  # it goes on serving for drainMs and some seconds more


class Reader:
    """A client that reads again and again, each time with a new id."""

    def __init__(self, ip, name, sent):
        self.ip, self.name, self.sent = ip, name, sent

    async def run(self, ended):
        session, number = Session(self.ip, "old", self.name), 0
        while not ended.is_set():
            if session.writer is None and not await session.open():
                await asyncio.sleep(0.2)
                continue
            number += 1
            request_id = f"{self.name}x{number}"
            self.sent[request_id] = time.monotonic()
            await session.query(request_id, "READ p", timeout_s=4.0)
            await asyncio.sleep(0.05)
        session.close()


async def send_other_check_in(fleet, instance, record):
    """Send a check-in as another writer does: two fields are wrong."""
    body = instance.beat()
    del body["seq"]
    body["version"] = 1  # a number where the page has text
    body["born"] = int(time.time() * 1000)
    path = f"/instances/{instance.name}/heartbeat"
    for process in fleet.core:
        status, _ = await http_call(process.ip, "POST", path, body)
        record(f"check-in of another writer at={process.name} status={status}")
        if 200 <= status < 300:
            return


async def play(fleet, record):
    service = Service(fleet, record)
    provider = Provider(fleet, service, record)
    acknowledged = []

    def record_all(text):
        record(text)
        if text.startswith("draining-acknowledged"):
            acknowledged.append(time.monotonic())

    await start_around(
        fleet,
        record_all,
        service,
        provider,
        desired_state(1, service.name, timeout_ms=3000),
    )
    service.work_s = 0.033
    sent, ended = {}, asyncio.Event()
    readers = [
        Reader(front.ip, f"r{n}{k}", sent)
        for n, front in enumerate(fleet.fronts)
        for k in range(2)
    ]
    tasks = [asyncio.ensure_future(r.run(ended)) for r in readers]
    await asyncio.sleep(3.0)
    leaving = service.instances[1]
    if is_troubled():
        await send_other_check_in(fleet, leaving, record)
    await asyncio.sleep(2.0)
    record(f"{leaving.name} reports draining")
    leaving.state = "draining"
    await asyncio.sleep(DRAIN_S + LINGER_S)
    ended.set()
    await asyncio.gather(*tasks)
    if not acknowledged:
        record("draining was not acknowledged")
        return NOT_RUN
    late = [
        (at, request_id)
        for at, name, request_id in service.arrived
        if name == leaving.name
        and request_id in sent
        and at > acknowledged[0] + DRAIN_S
        and sent[request_id] > acknowledged[0] + DRAIN_S
    ]
    for at, request_id in late[:20]:
        record(
            f"BROKEN id={request_id} reached {leaving.name}"
            f" {at - acknowledged[0]:.3f} s after the ack"
        )
    record(f"reads that reached it later than {DRAIN_S} s: {len(late)}")
    return BROKEN if late else HELD


if __name__ == "__main__":
    main(HERE, play)
