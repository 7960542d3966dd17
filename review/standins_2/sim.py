"""Stand-ins for the clients, instances, operator and provider.

They speak what PROTOCOL.md says, on loopback addresses, and start the
project's own programs with the commands of the deploy file.
"""

from __future__ import annotations

import asyncio
import collections
import contextlib
import json
import os
import shutil
import signal
import socket
import subprocess
import tempfile
import time
from pathlib import Path
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

ROOT = Path(__file__).resolve().parents[2]
ZONES = {"moc-chau": "bac-bo", "da-lat": "tay-nguyen", "tay-ninh": "nam-bo"}
FRONT_PORT, READY_PORT, CONTROL_PORT, CLOUD_PORT = 8784, 8785, 8782, 8783
PEERS_PORT, LAST_PORT, METRICS_PORT, INSTANCE_PORT = 7440, 7455, 9464, 5432
GRACE_S, DRAIN_MS = 6, 7_000
HEARTBEAT_S = 1.2
PROMOTE_S = 1.0
DEMOTE_AFTER_S = 1.0
APPLY_LAG_S = 0.06
WORK_S = 0.004
PREFIX = "/rosemarysaddle"


class Record:
    """Writes what was sent, answered and run, with the time."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._start_s = time.monotonic()

    def __call__(self, text: str) -> None:
        """Write one line."""
        spent_s = time.monotonic() - self._start_s
        self._file.write(f"{spent_s:9.3f} {text}\n")
        self._file.flush()


class Entry:
    """One committed transaction of a service's log."""

    def __init__(self, term: int, number: int, ids: list[str]) -> None:
        self.term, self.number, self.ids = term, number, ids


class Instance:
    """One database instance.

    :ivar deaf: whether it receives nothing from the primary
    :ivar dark: whether it accepts and answers nothing, without a reset
    """

    def __init__(self, name: str, ip: str, zone: str) -> None:
        self.name, self.ip, self.zone = name, ip, zone
        self.address = f"{ip}:{INSTANCE_PORT}"
        self.role, self.term, self.hold = "replica", 1, 0
        self.log: list[Entry] = []
        self.applied = 0
        self.up = self.deaf = False
        self.draining = False
        self.born, self.seq = 0, 0
        self.receive_s = 0.005
        self.transports: set[asyncio.Transport] = set()
        self.server: asyncio.Server | None = None
        self.waiting: list[tuple[int, asyncio.Future[bool]]] = []
        self.received: dict[str, int] = {}
        self.heart: asyncio.Task[None] | None = None
        self.reached_s = 0.0

    def position(self, count: int) -> str:
        """Return the position of the log after some entries."""
        if not count:
            return "1.0"
        entry = self.log[count - 1]
        return f"{entry.term}.{entry.number}"

    def holds(self, position: str) -> bool:
        """Tell whether reads see a position."""
        if position.endswith(".0"):
            return True
        seen = self.log[: self.applied]
        return any(f"{e.term}.{e.number}" == position for e in reversed(seen))


class Service:
    """The instances of one service, and what was run there."""

    def __init__(self, name: str, record: Record, sync: int) -> None:
        self.name, self.record, self.sync = name, record, sync
        self.instances: dict[str, Instance] = {}
        self.promotions: list[dict[str, Any]] = []
        self.runs: collections.Counter[str] = collections.Counter()
        self.commits: dict[str, tuple[str, int, float]] = {}
        self.primary = ""
        self.send: Callable[[str, str, dict[str, Any]], Awaitable[int]]
        self.acked_leaving_s: dict[str, float] = {}
        self.loop = asyncio.get_running_loop()

    # --- life of an instance ---

    async def start(self, instance: Instance, *, lead: bool = False) -> None:
        """Start an instance; it listens and checks in."""
        instance.born = time.time_ns() // 1_000_000
        instance.seq, instance.up, instance.draining = 0, True, False
        instance.hold = 0
        self.instances[instance.name] = instance
        if lead:
            instance.role, self.primary = "primary", instance.name
        elif instance.name != self.primary:
            instance.role = "replica"
        instance.server = await self.loop.create_server(
            lambda: Connection(self, instance),
            instance.ip,
            INSTANCE_PORT,
            reuse_address=True,
        )
        instance.heart = asyncio.create_task(self._beat(instance))
        self.record(f"instance {instance.name} starts as {instance.role}")

    def crash(self, instance: Instance) -> None:
        """End an instance at once; its log is kept."""
        instance.up = False
        if instance.server is not None:
            instance.server.close()
        if instance.heart is not None:
            instance.heart.cancel()
        for _, future in instance.waiting:
            if not future.done():
                future.set_result(False)
        instance.waiting = []
        for transport in list(instance.transports):
            transport.abort()
        self.record(
            f"instance {instance.name} ends, log at"
            f" {instance.position(len(instance.log))}"
        )

    async def leave(self, instance: Instance) -> None:
        """Say that an instance ends, and end it."""
        path = f"/instances/{instance.name}/leave"
        status = await self.send("POST", path, {"born": instance.born})
        self.record(f"leave of {instance.name}: {status}")
        self.crash(instance)

    async def _beat(self, instance: Instance) -> None:
        last = ("", False)
        due_s = 0.0
        while instance.up:
            now_s = time.monotonic()
            state = (instance.role, instance.draining)
            if state != last or now_s >= due_s:
                last, due_s = state, now_s + HEARTBEAT_S
                status = await self._check_in(instance)
                if status != 200:
                    due_s = time.monotonic() + 0.3
                elif state[1]:
                    self.acked_leaving_s.setdefault(
                        instance.name, time.monotonic()
                    )
            await asyncio.sleep(0.02)

    async def _check_in(self, instance: Instance) -> int:
        instance.seq += 1
        body = {
            "group": self.name,
            "address": instance.address,
            "data_center": instance.zone,
            "version": "v1",
            "slots": 5,
            "state": "draining" if instance.draining else "ready",
            "coldRemainingMs": 0,
            "replication_role": instance.role,
            "seq": instance.seq,
            "born": instance.born,
        }
        path = f"/instances/{instance.name}/heartbeat"
        status = await self.send("POST", path, body)
        if instance.draining or status != 200:
            self.record(f"check-in {instance.name} {body['state']}: {status}")
        return status

    # --- replication ---

    async def replicate(self) -> None:
        """Let replicas follow the primary, and old primaries end."""
        while True:
            primary = self.instances.get(self.primary)
            now_s = time.monotonic()
            for each in list(self.instances.values()):
                if primary is None or each is primary or not each.up:
                    continue
                if not primary.up:
                    each.reached_s = 0.0
                elif each.role == "primary":
                    each.reached_s = each.reached_s or now_s
                    if now_s > each.reached_s + DEMOTE_AFTER_S:
                        self.demote(each)
                elif not each.deaf and not each.hold:
                    self._follow(primary, each)
            await asyncio.sleep(0.002)

    def _follow(self, primary: Instance, replica: Instance) -> None:
        count = len(primary.log)
        if replica.log == primary.log and replica.term == primary.term:
            return
        if replica.receive_s:
            self.loop.call_later(
                replica.receive_s, self._receive, primary, replica, count
            )
        else:
            self._receive(primary, replica, count)

    def _receive(
        self, primary: Instance, replica: Instance, count: int
    ) -> None:
        if self.primary != primary.name or not (primary.up and replica.up):
            return
        if replica.deaf or replica.hold or replica.role == "primary":
            return
        common = 0
        for ours, theirs in zip(replica.log, primary.log, strict=False):
            if ours is not theirs:
                break
            common += 1
        replica.term = primary.term
        replica.applied = min(replica.applied, common)
        replica.log[common:] = primary.log[common : max(common, count)]
        held = len(replica.log)
        primary.received[replica.name] = held
        self._confirm(primary)
        self.loop.call_later(APPLY_LAG_S, self._apply, replica, held)

    @staticmethod
    def _apply(replica: Instance, count: int) -> None:
        if replica.role == "replica":
            replica.applied = max(
                replica.applied, min(count, len(replica.log))
            )

    def _confirm(self, primary: Instance) -> None:
        waiting, primary.waiting = primary.waiting, []
        for count, future in waiting:
            held = sum(n >= count for n in primary.received.values())
            if held >= self.sync:
                if not future.done():
                    future.set_result(True)
            else:
                primary.waiting.append((count, future))

    async def commit(self, instance: Instance, ids: list[str]) -> bool:
        """Append a transaction; wait for a replica where one has to."""
        number = instance.log[-1].number + 1 if instance.log else 1
        entry = Entry(instance.term, number, ids)
        instance.log.append(entry)
        instance.applied = len(instance.log)
        self.record(
            f"{instance.name} commits {' '.join(ids)} as"
            f" {entry.term}.{entry.number}"
        )
        for request_id in ids:
            self.runs[request_id] += 1
        if not self.sync:
            return True
        future: asyncio.Future[bool] = self.loop.create_future()
        instance.waiting.append((len(instance.log), future))
        self._confirm(instance)
        return await future

    def demote(self, instance: Instance) -> None:
        """Make an old primary a replica."""
        instance.role = "replica"
        for _, future in instance.waiting:
            if not future.done():
                future.set_result(False)
        instance.waiting = []
        self.record(f"instance {instance.name} is a replica now")

    async def promote(self, name: str) -> int:
        """Carry an order out; the status of the answer comes first."""
        instance = self.instances.get(name)
        if instance is None or not instance.up:
            return 409
        if name != self.primary:
            self.loop.call_later(PROMOTE_S, self._lead, instance)
        return 200

    def _lead(self, instance: Instance) -> None:
        if not instance.up or self.primary == instance.name:
            return
        term = max(each.term for each in self.instances.values()) + 1
        instance.term, instance.role, instance.hold = term, "primary", 0
        instance.applied = len(instance.log)
        instance.received = {}
        self.primary = instance.name
        held = {i for entry in instance.log for i in entry.ids}
        self.promotions.append(
            {"at_s": time.monotonic(), "name": instance.name, "ids": held}
        )
        self.record(
            f"promoted {instance.name} term={term} log="
            f"{instance.position(len(instance.log))}"
        )
        for each in self.instances.values():
            each.hold = 0


class Connection(asyncio.Protocol):
    """One connection to an instance."""

    def __init__(self, service: Service, instance: Instance) -> None:
        self.service, self.instance = service, instance
        self.buffer = b""
        self.lines: asyncio.Queue[str] = asyncio.Queue()
        self.state, self.read_only, self.term = "I", False, 0
        self.pending: list[str] = []
        self.opened = False
        self.values: dict[str, str] = {}
        self.names: dict[str, tuple[str, str]] = {}
        self.transport: asyncio.Transport
        self.task: asyncio.Task[None] | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        self.instance.transports.add(transport)
        self.task = asyncio.create_task(self._serve())

    def connection_lost(self, exc: Exception | None) -> None:
        """Roll back, as the connection is closed."""
        del exc
        self.instance.transports.discard(self.transport)
        if self.task is not None:
            self.task.cancel()

    def data_received(self, data: bytes) -> None:
        """Queue the complete lines."""
        *lines, self.buffer = (self.buffer + data).split(b"\r\n")
        for line in lines:
            self.lines.put_nowait(line.decode())

    async def _serve(self) -> None:
        while True:
            line = await self.lines.get()
            if not self.opened:
                if not self._open(line):
                    return
                continue
            _, request_id, text = line.split(" ", 2)
            answer = await self._run(request_id, text)
            if not self.instance.up or self.transport.is_closing():
                return
            self._answer(answer)

    def _open(self, line: str) -> bool:
        words = line.split(" ")
        wrong = words[1] != self.service.name or (
            len(words) > 3 and words[3] != self.instance.name
        )
        if words[0] != "START" or wrong:
            self.transport.write(b"ERROR WRONGHOST -\r\n")
            self.transport.close()
            return False
        self.opened = True
        self._answer("")
        return True

    def _answer(self, text: str) -> None:
        place = self.instance.position(self.instance.applied)
        self.transport.write(f"{text}READY {self.state} {place}\r\n".encode())

    def _done(self, request_id: str) -> str:
        return f"DONE {self.instance.name}.{request_id}\r\n"

    def _fail(self, code: str) -> str:
        if self.state == "T":
            self.state = "E"
        return f"ERROR {code} {self.instance.name}\r\n"

    async def _run(self, request_id: str, text: str) -> str:
        instance = self.instance
        if text.startswith("AFTER "):
            _, place, text = text.split(" ", 2)
            if not instance.holds(place):
                return self._fail("BEHIND")
        verb, _, rest = text.partition(" ")
        match verb:
            case "STATUS" | "DEMOTE" | "HOLD" | "RESUME":
                return self._order(verb, rest)
            case "BEGIN":
                if not rest and instance.role != "primary":
                    return self._fail("READONLY")
                self.state, self.read_only = "T", bool(rest)
                self.term, self.pending = instance.term, []
                return "DONE -\r\n"
            case "ROLLBACK":
                self.state, self.pending = "I", []
                return "DONE -\r\n"
            case "RESET":
                self.values.clear()
                self.names.clear()
                return "DONE -\r\n"
            case "SET":
                name, _, value = rest.partition(" ")
                self.values[name] = value
                return "DONE -\r\n"
            case "PREPARE":
                name, kind, shape = rest.split(" ", 2)
                self.names[name] = (kind, shape)
                return "DONE -\r\n"
            case "FORGET":
                self.names.pop(rest, None)
                return "DONE -\r\n"
            case "EXECUTE":
                name, _, rest = rest.partition(" ")
                if name not in self.names:
                    return self._fail("UNNAMED")
                verb = self.names[name][0]
        await asyncio.sleep(WORK_S)
        if verb == "COMMIT":
            return await self._commit(request_id)
        return await self._statement(request_id, verb)

    def _lost_lead(self) -> bool:
        instance = self.instance
        moved = instance.role != "primary" or instance.term != self.term
        return not self.read_only and moved

    async def _statement(self, request_id: str, verb: str) -> str:
        instance = self.instance
        if self.state == "T" and self._lost_lead():
            return self._fail("READONLY")
        if verb == "READ":
            return f"ROW {instance.position(instance.applied)}\r\n" + (
                self._done(request_id)
            )
        if self.state == "T":
            if self.read_only:
                return self._fail("READONLY")
            self.pending.append(request_id)
            return self._done(request_id)
        if instance.role != "primary":
            return self._fail("READONLY")
        return await self._store(request_id, [request_id])

    async def _commit(self, request_id: str) -> str:
        ids, self.pending = self.pending, []
        was_lost = self._lost_lead()
        self.state = "I"
        if not ids:
            return self._done(request_id)
        if was_lost:
            return f"ERROR READONLY {self.instance.name}\r\n"
        return await self._store(request_id, ids)

    async def _store(self, request_id: str, ids: list[str]) -> str:
        if await self.service.commit(self.instance, ids):
            return self._done(request_id)
        self.transport.abort()
        return ""

    def _order(self, verb: str, rest: str) -> str:
        instance = self.instance
        term = int(rest) if rest else 0
        if verb == "DEMOTE" and term > instance.term:
            if instance.role == "primary":
                self.service.demote(instance)
        elif verb == "HOLD" and instance.role != "primary":
            instance.hold = term
        elif verb == "RESUME":
            instance.hold = 0
        place = instance.position(len(instance.log))
        return (
            f"ROW {instance.role} {instance.term} {place} {instance.hold}"
            f" 0 0 {len(instance.transports)}\r\nDONE -\r\n"
        )


async def http_call(
    ip: str,
    port: int,
    method: str,
    path: str,
    body: Any = None,
    *,
    timeout_s: float = 1.0,
) -> tuple[int, bytes]:
    """Make one HTTP call; the status is 0 without an answer."""
    data = b"" if body is None else json.dumps(body).encode()
    head = (
        f"{method} {path} HTTP/1.1\r\nHost: {ip}:{port}\r\n"
        f"Content-Type: application/json\r\nContent-Length: {len(data)}\r\n"
        "Connection: close\r\n\r\n"
    ).encode()
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(ip, port)
            writer.write(head + data)
            answer = await reader.read()
            status, _, payload = answer.partition(b"\r\n\r\n")
            return int(status.split(b" ")[1]), payload
    except (OSError, TimeoutError, ValueError, IndexError):
        return 0, b""
    finally:
        if writer is not None:
            writer.close()


class Provider:
    """The provider's promotion call.

    :ivar before_answer: awaited with the order before it is handled
    """

    def __init__(self, bed: Bed) -> None:
        self.bed = bed
        self.orders: list[dict[str, Any]] = []
        self.before_answer: Callable[[dict[str, Any]], Awaitable[None]] | None
        self.before_answer = None
        self.server: asyncio.Server | None = None

    async def start(self, ip: str) -> None:
        """Listen for orders."""
        self.server = await asyncio.start_server(self._serve, ip, CLOUD_PORT)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            head = (await reader.readuntil(b"\r\n\r\n")).decode()
            fields = {}
            for line in head.split("\r\n")[1:]:
                name, _, value = line.partition(":")
                fields[name.strip().lower()] = value.strip()
            size = int(fields.get("content-length", "0"))
            body = json.loads(await reader.readexactly(size))
            order = {
                "at_s": time.monotonic(),
                "service": body["group"],
                "identifier": body["identifier"],
                "holder": fields["duty-holder"],
                "fence": int(fields["fencing-token"]),
            }
            self.orders.append(order)
            self.bed.record(
                f"order promote {order['identifier']} holder="
                f"{order['holder']} fence={order['fence']}"
            )
            if self.before_answer is not None:
                await self.before_answer(order)
            service = self.bed.services[order["service"]]
            status = await service.promote(order["identifier"])
            order["status"] = status
            writer.write(
                f"HTTP/1.1 {status} -\r\nContent-Length: 0\r\n"
                "Connection: close\r\n\r\n".encode()
            )
            await writer.drain()
        writer.close()


class Node:
    """One process of the system."""

    def __init__(self, bed: Bed, name: str, role: str, ip: str) -> None:
        self.bed, self.name, self.role, self.ip = bed, name, role, ip
        zones = list(ZONES)
        self.zone = zones[int(name.rpartition("-")[2]) % len(zones)]
        self.folder = bed.folder / name
        self.process: subprocess.Popen[bytes] | None = None
        self.first_start = True
        self.log_path = bed.folder / f"{name}.log"

    def settings(self) -> dict[str, Any]:
        """Return what the template renders."""
        is_entry = self.role == "entry"
        return {
            "host": self.name,
            "role": self.role,
            "data_center": self.zone,
            "region": ZONES[self.zone],
            "places": [
                {"data_center": z, "region": r} for z, r in ZONES.items()
            ],
            "ip": self.ip,
            "peers_port": PEERS_PORT,
            "seeds": [f"{n.ip}:{CONTROL_PORT}" for n in self.bed.control[:3]],
            "first_start": self.first_start,
            "data_folder": "" if is_entry else str(self.folder),
            "sessions_address": f"{self.ip}:{FRONT_PORT}" * is_entry,
            "lending_address": f"{self.ip}:{LAST_PORT}",
            "metrics_address": f"{self.ip}:{METRICS_PORT}",
            "ready_address": f"{self.ip}:{READY_PORT}" * is_entry,
            "control_address": f"{self.ip}:{CONTROL_PORT}" * (not is_entry),
            "promotion_address": f"{self.bed.cloud_ip}:{CLOUD_PORT}",
            "tolerated_hosts": 1,
            "grace_s": GRACE_S,
            "leaving_work_ms": DRAIN_MS,
        }

    def start(self) -> None:
        """Write the settings and start the process."""
        path = self.bed.folder / f"{self.name}.json"
        path.write_text(json.dumps(self.settings()), encoding="utf-8")
        environment = {
            key: os.environ[key]
            for key in ("PATH", "HOME", "LANG")
            if key in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["ROSEMARYSADDLE_NODE_FILE"] = str(path)
        with self.log_path.open("ab") as log:
            self.process = subprocess.Popen(
                ["python3", "deploy/launch.py"],
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
            )
        self.first_start = False
        self.bed.record(f"process {self.name} starts")

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        if self.process is not None and self.process.poll() is None:
            self.bed.record(f"process {self.name} gets {number.name}")
            self.process.send_signal(number)

    def end(self) -> None:
        """End the process and wait for its end."""
        if self.process is None:
            return
        if self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        self.process.wait()

    def last_role(self) -> tuple[str, int]:
        """Return the last role and term that the log of it tells."""
        found = ("", 0)
        if self.log_path.exists():
            for line in self.log_path.read_text("utf-8").splitlines():
                if "event=control " in line:
                    words = dict(
                        w.split("=", 1) for w in line.split() if "=" in w
                    )
                    found = (words["role"], int(words["term"]))
        return found


class Bed:
    """A small deployment with its stand-ins."""

    def __init__(self, record: Record, *, entries: int = 3) -> None:
        self.record = record
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.network = _free_network()
        self.cloud_ip = f"{self.network}.4.1"
        self.control: list[Node] = []
        self.control.extend(
            Node(self, f"core-{n}", "control", f"{self.network}.0.{n}")
            for n in (1, 2, 3)
        )
        self.entries = [
            Node(self, f"front-{n}", "entry", f"{self.network}.1.{n}")
            for n in range(1, entries + 1)
        ]
        self.services: dict[str, Service] = {}
        self.provider = Provider(self)
        self.version = 0
        self.tasks: list[asyncio.Task[None]] = []
        self._turn = 0

    async def add_service(self, name: str, *, sync: int = 0) -> Service:
        """Add a service with a primary and two replicas."""
        service = Service(name, self.record, sync)
        service.send = self.call
        number = len(self.services) + 1
        self.services[name] = service
        self.tasks.append(asyncio.create_task(service.replicate()))
        for place, zone in enumerate(ZONES, start=1):
            ip = f"{self.network}.{10 + number}.{place}"
            instance = Instance(f"{name}-i{place}", ip, zone)
            await service.start(instance, lead=place == 1)
        return service

    def plan(self, routes: list[dict[str, Any]]) -> dict[str, Any]:
        """Build the next desired state."""
        self.version += 1
        return {
            "version": self.version,
            "routes": routes,
            "groups": [
                {
                    "name": s.name,
                    "healthPath": "/health",
                    "connection_limit": 33,
                    "protocol": "h1",
                    "transportSecurity": False,
                    "sync_replicas": s.sync,
                }
                for s in self.services.values()
            ],
            "limits": {
                "maxHeaderBytes": 16384,
                "maxBodyBytes": 262144,
                "headerTimeoutMs": 3000,
                "idleTimeoutMs": 15000,
                "transaction_idle_ms": 3000,
            },
        }

    async def call(self, method: str, path: str, body: dict[str, Any]) -> int:
        """Call a control host; go on to the next after a failure."""
        status = 0
        for _ in self.control:
            self._turn += 1
            node = self.control[self._turn % len(self.control)]
            status, _ = await http_call(
                node.ip, CONTROL_PORT, method, PREFIX + path, body
            )
            if status == 200 or 400 <= status < 500:
                return status
        return status

    async def configure(self, plan: dict[str, Any], within_s: float) -> bool:
        """Send a desired state until it is acknowledged."""
        until_s = time.monotonic() + within_s
        while time.monotonic() < until_s:
            status = await self.call("POST", "/configuration/replace", plan)
            self.record(f"desired state {plan['version']}: {status}")
            if status == 200:
                return True
            if 400 <= status < 500:
                return False
            await asyncio.sleep(0.3)
        return False

    async def start(self) -> None:
        """Start the provider and all processes."""
        await self.provider.start(self.cloud_ip)
        for node in [*self.control, *self.entries]:
            node.start()

    async def wait_ready(self, within_s: float) -> bool:
        """Wait until all fronts report that they are ready."""
        until_s = time.monotonic() + within_s
        while time.monotonic() < until_s:
            answers = [
                await http_call(n.ip, READY_PORT, "GET", f"{PREFIX}/readiness")
                for n in self.entries
            ]
            if all(status == 200 for status, _ in answers):
                return True
            await asyncio.sleep(0.2)
        return False

    def leader(self) -> Node | None:
        """Return the control host that logged last that it leads."""
        roles = [(n.last_role(), n) for n in self.control]
        led = [(term, n) for (role, term), n in roles if role == "leader"]
        return max(led, key=lambda pair: pair[0])[1] if led else None

    def end(self) -> None:
        """End all processes, and keep their logs if asked to."""
        for node in [*self.control, *self.entries]:
            node.end()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            shutil.copytree(self.folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)


def route(
    name: str, service: str, kind: str, timeout_ms: int = 1_000
) -> dict[str, Any]:
    """Build one route of a desired state."""
    found: dict[str, Any] = {
        "name": f"r-{name}",
        "database": name,
        "path_prefix": "/",
        "freshness": kind,
        "timeout_ms": timeout_ms,
        "latency_objective_ms": 500,
        "priority": 1,
        "group": service,
        "max_attempts": 2,
    }
    if kind != "primary":
        found["max_staleness_ms"] = 1_500
    return found


class Client:
    """One session of a client."""

    def __init__(self, bed: Bed, name: str, database: str) -> None:
        self.bed, self.name, self.database = bed, name, database
        self.reader: asyncio.StreamReader
        self.writer: asyncio.StreamWriter | None = None
        self.number = 0

    async def open(self, ip: str) -> str:
        """Open a session; return the answer to START."""
        try:
            async with asyncio.timeout(2.0):
                self.reader, self.writer = await asyncio.open_connection(
                    ip, FRONT_PORT
                )
                self.writer.write(
                    f"START {self.database} {self.name}\r\n".encode()
                )
                line = await self.reader.readuntil(b"\r\n")
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            self.close()
            return "NONE"
        answer = line.decode().strip()
        if not answer.startswith("READY"):
            self.close()
        return answer

    def next_id(self) -> str:
        """Return a new id of a request."""
        self.number += 1
        return f"{self.name}x{self.number:05d}"

    async def ask(
        self, request_id: str, text: str, timeout_s: float = 8.0
    ) -> tuple[str, list[str], str]:
        """Send one statement.

        :return: ``DONE digest``, ``ERROR code text`` or ``NONE``, the
            rows, and the state of the session
        """
        rows: list[str] = []
        result = "NONE"
        if self.writer is None:
            return result, rows, "-"
        try:
            async with asyncio.timeout(timeout_s):
                self.writer.write(f"QUERY {request_id} {text}\r\n".encode())
                while True:
                    line = (await self.reader.readuntil(b"\r\n")).decode()
                    word, _, rest = line.strip().partition(" ")
                    if word == "ROW":
                        rows.append(rest)
                    elif word == "READY":
                        return result, rows, rest.split(" ")[0]
                    else:
                        result = line.strip()
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            self.close()
            return "NONE", rows, "-"

    def close(self) -> None:
        """Close the session."""
        if self.writer is not None:
            self.writer.close()
            self.writer = None


def _free_network() -> str:
    """Find a loopback network with free ports."""
    for attempt in range(50):
        network = f"127.{70 + (os.getpid() + attempt) % 50}"
        with socket.socket() as control, socket.socket() as peers:
            try:
                control.bind((f"{network}.0.1", CONTROL_PORT))
                peers.bind((f"{network}.0.1", PEERS_PORT))
            except OSError:
                continue
        return network
    message = "no free loopback network"
    raise OSError(message)


def run_case(
    work: Callable[[Record, bool], Awaitable[int]], folder: Path
) -> int:
    """Run a case; return the status with which to exit."""
    record = Record(folder / "record.txt")
    trouble = os.environ.get("TROUBLE", "1") != "0"
    try:
        return asyncio.run(_limited(work, record, trouble=trouble))
    except (Exception, asyncio.CancelledError) as error:
        record(f"could not run: {error!r}")
        return 2


async def _limited(
    work: Callable[[Record, bool], Awaitable[int]],
    record: Record,
    *,
    trouble: bool,
) -> int:
    task = asyncio.current_task()
    if task is not None:
        loop = asyncio.get_running_loop()
        # The processes end with the case, also if it is stopped.
        loop.add_signal_handler(signal.SIGTERM, task.cancel)
    async with asyncio.timeout(110):
        return await work(record, trouble)
