"""Stand-in operator, check-ins of the instances, and clients."""

from __future__ import annotations

import asyncio
import json
import random
import time

from .nodes import CONTROL_PORT, FRONT_PORT
from .servers import HEARTBEAT_S

PREFIX = "/rosemarysaddle"


async def http_call(ip, method, path, body=None, timeout_s=1.0):
    """Call a control machine; return status (0 if none) and body."""
    data = b"" if body is None else json.dumps(body).encode()
    return await raw_call(ip, method, path, data, timeout_s)


async def raw_call(ip, method, path, data, timeout_s=1.0):
    """Like http_call, with the bytes of the body."""
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(ip, CONTROL_PORT)
            head = (
                f"{method} {PREFIX}{path} HTTP/1.1\r\nHost: {ip}\r\n"
                "Content-Type: application/json\r\n"
                f"Content-Length: {len(data)}\r\nConnection: close\r\n\r\n"
            )
            writer.write(head.encode() + data)
            answer = await reader.read()
    except (OSError, TimeoutError):
        return 0, b""
    finally:
        if writer is not None:
            writer.transport.abort()
    head, _, rest = answer.partition(b"\r\n\r\n")
    words = head.split(b" ")
    return (int(words[1]), rest) if len(words) > 1 else (0, b"")


class Operator:
    """Sends desired states and reads them back."""

    def __init__(self, fleet, record):
        self.fleet, self.record = fleet, record

    async def replace(self, state, limit_s=20.0):
        """Send a desired state until it is acknowledged."""
        until = time.monotonic() + limit_s
        while time.monotonic() < until:
            for process in self.fleet.core:
                status, _ = await http_call(
                    process.ip, "POST", "/configuration/replace", state
                )
                if status:
                    self.record(
                        f"desired-state version={state['version']}"
                        f" at={process.name} status={status}"
                    )
                if status == 200:
                    return True
            await asyncio.sleep(0.2)
        return False


def desired_state(version, service, sync=0, timeout_ms=1000):
    """Build a desired state with one route of each kind."""
    kinds = {
        "strict": ("primary", {}),
        "own": ("read_your_writes", {"max_staleness_ms": 2500}),
        "old": ("bounded_staleness", {"max_staleness_ms": 1500}),
    }
    return {
        "version": version,
        "routes": [
            {
                "name": f"r-{name}",
                "database": name,
                "path_prefix": "/",
                "freshness": kind,
                "timeout_ms": timeout_ms,
                "latency_objective_ms": 500,
                "priority": 1,
                "group": service,
                "max_attempts": 2,
                **more,
            }
            for name, (kind, more) in kinds.items()
        ],
        "groups": [
            {
                "name": service,
                "healthPath": "/health",
                "connection_limit": 33,
                "protocol": "h1",
                "transportSecurity": False,
                "sync_replicas": sync,
            }
        ],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 262144,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
            "transaction_idle_ms": 3000,
        },
    }


async def check_in(fleet, instance, record):
    """Send check-ins of an instance while it runs."""
    told_draining = False
    while True:
        if instance.is_up:
            role = instance.role
            for process in random.sample(fleet.core, len(fleet.core)):
                state = instance.state
                status, _ = await http_call(
                    process.ip,
                    "POST",
                    f"/instances/{instance.name}/heartbeat",
                    instance.beat(),
                )
                if 200 <= status < 300:
                    if state == "draining" and not told_draining:
                        told_draining = True
                        record(f"draining-acknowledged by={instance.name}")
                    break
            # A change of the role is reported immediately.
            until = time.monotonic() + HEARTBEAT_S
            seen = (role, instance.state)
            while time.monotonic() < until:
                if (instance.role, instance.state) != seen:
                    break
                await asyncio.sleep(0.02)
        else:
            await asyncio.sleep(0.1)


PROMISES = {"BUSY", "ABORTED", "BEHIND", "READONLY", "WRONGHOST", "TOOMANY"}


class Session:
    """A client's session on one front machine."""

    def __init__(self, ip, database, label="u1"):
        self.ip, self.database, self.label = ip, database, label
        self.reader = self.writer = None

    async def open(self, timeout_s=2.0):
        try:
            async with asyncio.timeout(timeout_s):
                self.reader, self.writer = await asyncio.open_connection(
                    self.ip, FRONT_PORT, limit=1 << 21
                )
                self.writer.write(
                    f"START {self.database} {self.label}\r\n".encode()
                )
                line = await self.reader.readline()
        except (OSError, TimeoutError):
            self.close()
            return False
        if not line.startswith(b"READY"):
            self.close()
            return False
        return True

    def close(self):
        if self.writer is not None:
            self.writer.transport.abort()
        self.reader = self.writer = None

    async def query(self, request_id, text, timeout_s=10.0):
        """Return the code (DONE, an error, LOST or SILENT) and rows."""
        code, rows = "", []
        try:
            async with asyncio.timeout(timeout_s):
                self.writer.write(f"QUERY {request_id} {text}\r\n".encode())
                while line := await self.reader.readline():
                    word, _, rest = line.decode().rstrip("\r\n").partition(" ")
                    if word == "ROW":
                        rows.append(rest)
                    elif word == "READY":
                        return code, rows
                    elif word == "DONE":
                        code = "DONE"
                    else:
                        code = rest.split()[0]
        except TimeoutError:
            self.close()
            return "SILENT", rows
        except (OSError, ValueError):
            pass
        self.close()
        return code or "LOST", rows


class Writer:
    """A client that writes single rows, each with a new id."""

    def __init__(self, ip, database, name, outcomes, record, pause_s=0.04):
        self.ip, self.database, self.name = ip, database, name
        self.outcomes, self.record, self.pause_s = outcomes, record, pause_s
        self.number = 0

    async def run(self, ended):
        session = Session(self.ip, self.database, self.name)
        while not ended.is_set():
            if session.writer is None and not await session.open():
                await asyncio.sleep(0.2)
                continue
            self.number += 1
            request_id = f"{self.name}x{self.number}"
            sent = time.monotonic()
            code, _ = await session.query(
                request_id, f"WRITE {self.name} d{self.number}"
            )
            self.outcomes[request_id] = (sent, time.monotonic(), code)
            self.record(f"write id={request_id} answer={code}")
            await asyncio.sleep(self.pause_s)
        session.close()
