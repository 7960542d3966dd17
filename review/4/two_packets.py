"""A check-in that can't be read arrives at each core machine."""

from __future__ import annotations

import asyncio
import json
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from harness.callers import PREFIX, desired_state  # noqa: E402
from harness.nodes import CONTROL_PORT  # noqa: E402
from harness.run import (  # noqa: E402
    BROKEN,
    HELD,
    is_troubled,
    main,
    start_around,
)
from harness.servers import Provider, Service  # noqa: E402

ACK_TIMEOUT_S = 6.0
CALL_TIMEOUT_S = 1.0
# Header and body are two packets; between areas a packet takes 12 ms.
PACKET_GAP_S = 0.02
PLAY_S = 15.0
BAD_LENGTH = "9" * 5_000


async def call(ip, path, packets):
    """Send the packets of one request; return its status, or 0."""
    writer = None
    try:
        async with asyncio.timeout(CALL_TIMEOUT_S):
            reader, writer = await asyncio.open_connection(ip, CONTROL_PORT)
            for packet in packets:
                await asyncio.sleep(PACKET_GAP_S)
                writer.write(packet)
                await writer.drain()
            line = await reader.readline()
    except (OSError, TimeoutError):
        return 0
    finally:
        if writer is not None:
            writer.transport.abort()
    words = line.split()
    return int(words[1]) if len(words) > 1 else 0


def order(ip, path, body):
    """Build the two packets of a request with a JSON body."""
    data = json.dumps(body).encode()
    head = (
        f"POST {PREFIX}{path} HTTP/1.1\r\nHost: {ip}\r\n"
        "Content-Type: application/json\r\n"
        f"Content-Length: {len(data)}\r\nConnection: close\r\n\r\n"
    )
    return [head.encode(), data]


async def send_unreadable_check_in(fleet, record):
    """Send it to one core machine after the other: none answers."""
    path = "/instances/i-other-1/heartbeat"
    for process in fleet.core:
        packets = [
            f"POST {PREFIX}{path} HTTP/1.1\r\nHost: {process.ip}\r\n".encode(),
            f"Content-Length: {BAD_LENGTH}\r\n\r\n".encode(),
        ]
        status = await call(process.ip, path, packets)
        record(f"unreadable check-in at={process.name} status={status}")


async def send_order(fleet, record, version, state, limit_s):
    """Send a desired state until it is acknowledged.

    :return: the time that this took, or None
    """
    began = time.monotonic()
    while time.monotonic() < began + limit_s:
        for process in fleet.core:
            path = "/configuration/replace"
            status = await call(
                process.ip, path, order(process.ip, path, state)
            )
            record(
                f"order version={version} at={process.name} status={status}"
            )
            if status == 200:
                return time.monotonic() - began
        await asyncio.sleep(0.2)
    return None


async def play(fleet, record):
    service = Service(fleet, record)
    provider = Provider(fleet, service, record)
    await start_around(
        fleet, record, service, provider, desired_state(1, service.name)
    )
    state = desired_state(2, service.name, timeout_ms=900)
    took = await send_order(fleet, record, 2, state, PLAY_S)
    if took is None:
        record("no order was acknowledged before the disruption")
        return 2
    if is_troubled():
        await send_unreadable_check_in(fleet, record)
    await asyncio.sleep(1.0)
    state = desired_state(3, service.name, timeout_ms=800)
    took = await send_order(fleet, record, 3, state, PLAY_S)
    if took is None:
        record(f"BROKEN no ack of a valid order within {PLAY_S} s")
        return BROKEN
    record(f"order acknowledged after {took:.3f} s")
    return BROKEN if took > ACK_TIMEOUT_S else HELD


if __name__ == "__main__":
    main(HERE, play)
