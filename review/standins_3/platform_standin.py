"""Stand-ins for the users' platform, its databases and its clients.

Everything runs in one event loop: instances of one service, their
check-ins, the provider's promotion call, the operator and the clients.
The programs under test run as separate processes, started with the
command of the deploy file.  Only the standard library is used.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import tempfile
import time
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
FRONT_PORT = 8784
READY_PORT = 8785
CONTROL_PORT = 8782
CLOUD_PORT = 8783
DATABASE_PORT = 8149
PORT_RANGE = (7440, 7455)
ZONES = {"zone-a": "region-a", "zone-b": "region-b", "zone-c": "region-c"}
SERVICE = "hop-tac"
# As on the users' sheet.
HANDSHAKE_S = 0.012
WORK_S = 0.005
RECEIVE_S = 0.006
APPLY_S = 0.060
PROMOTE_S = 1.0
HEARTBEAT_S = 1.2
DEMOTION_S = 1.0
CALL_TIMEOUT_S = 1.0


def now() -> float:
    """Return the steady clock, in seconds."""
    return time.monotonic()


class Record:
    """Writes what was sent, answered and run to ``record.txt``."""

    def __init__(self, folder: Path) -> None:
        self.start = now()
        self.file = (folder / "record.txt").open("w", encoding="utf-8")

    def add(self, text: str) -> None:
        """Add one line with the time since the start."""
        self.file.write(f"{now() - self.start:8.3f} {text}\n")
        self.file.flush()


class Entry:
    """One commit in a log."""

    def __init__(self, term: int, number: int, ids: list[str]) -> None:
        self.term = term
        self.number = number
        self.ids = ids
        self.at = now()


class Instance:
    """One database instance, as the pages describe it."""

    def __init__(
        self, service: Service, name: str, address: str, zone: str
    ) -> None:
        self.service = service
        self.name = name
        self.address = address
        self.zone = zone
        self.role = "replica"
        self.term = 1
        self.log: list[Entry] = []
        self.applied = 0
        self.items: dict[str, str] = {}
        self.born = int(time.time() * 1000)
        self.seq = 0
        self.state = "ready"
        self.is_up = False
        self.is_deaf = False
        self.loses_acks = False
        self.hides_position = False
        self.received: dict[str, int] = {}
        self.waiting: list[tuple[int, asyncio.Future[bool]]] = []
        self.connections: set[Connection] = set()
        self.server: asyncio.Server | None = None
        self.beats: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Listen and begin to check in."""
        ip, _, port = self.address.rpartition(":")
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(
            lambda: Connection(self), ip, int(port), reuse_address=True
        )
        self.is_up = True
        self.beats = asyncio.create_task(self.check_in_forever())

    def crash(self) -> None:
        """End at once; the log is kept."""
        self.is_up = False
        self.service.record.add(f"{self.name} ends")
        if self.beats is not None:
            self.beats.cancel()
        if self.server is not None:
            self.server.close()
        for connection in list(self.connections):
            connection.abort()
        for _, future in self.waiting:
            if not future.done():
                future.set_result(False)
        self.waiting.clear()

    async def restart(self, *, leads: bool) -> None:
        """Start again with the log; as primary if nobody was promoted."""
        self.role = "primary" if leads else "replica"
        self.born = int(time.time() * 1000)
        self.seq = 0
        self.service.record.add(f"{self.name} is back as {self.role}")
        await self.start()

    # --- check-ins ---

    def body(self) -> dict[str, object]:
        """Build the body of a check-in."""
        self.seq += 1
        return {
            "group": SERVICE,
            "address": self.address,
            "data_center": self.zone,
            "version": "v1",
            "slots": 5,
            "state": self.state,
            "coldRemainingMs": 0,
            "replication_role": self.role,
            "seq": self.seq,
            "born": self.born,
        }

    async def check_in_forever(self) -> None:
        """Check in every interval, and at once after a change of role."""
        while True:
            role = self.role
            await self.call("heartbeat", self.body())
            until = now() + HEARTBEAT_S
            while now() < until and self.role == role:
                await asyncio.sleep(0.02)

    async def call(self, verb: str, body: dict[str, object]) -> bool:
        """Call one daemon after the other until one acknowledges."""
        path = f"/rosemarysaddle/instances/{self.name}/{verb}"
        for ip in self.service.cluster.core_ips():
            status, _ = await http_call(
                "POST", f"{ip}:{CONTROL_PORT}", path, body
            )
            if self.loses_acks:
                # The answer is lost on its way to this instance.
                self.service.record.add(
                    f"{self.name} {verb} to {ip}: answer {status} is lost"
                )
                await asyncio.sleep(CALL_TIMEOUT_S)
                continue
            if 200 <= status < 300:
                return True
        return False

    async def drain(self) -> bool:
        """Report ``draining`` until that is acknowledged."""
        self.state = "draining"
        self.service.record.add(f"{self.name} drains")
        for _ in range(10):
            if await self.call("heartbeat", self.body()):
                return True
            await asyncio.sleep(0.2)
        return False

    async def leave(self) -> bool:
        """Say that it leaves; return whether that was acknowledged."""
        self.seq += 1
        body = {"seq": self.seq, "born": self.born}
        is_done = await self.call("leave", body)
        self.service.record.add(f"{self.name} leaves, ack={is_done}")
        return is_done

    # --- log ---

    def position(self, count: int) -> str:
        """Return the position of the first entries of the log."""
        term = self.log[count - 1].term if count else 1
        return f"{term}.{count}"

    def holds(self, term: int, number: int) -> bool:
        """Tell whether reads see a position."""
        if not number:
            return True
        if number <= self.applied:
            return self.log[number - 1].term >= term
        return False

    def status(self) -> str:
        """Build the row of a status."""
        return (
            f"ROW {self.role} {self.term} {self.position(len(self.log))} 0 0"
            f" 0 {len(self.connections)}\r\n"
        )

    async def commit(self, ids: list[str]) -> bool:
        """Commit writes; wait for replicas where that is asked for."""
        entry = Entry(self.term, len(self.log) + 1, ids)
        self.log.append(entry)
        self.applied = len(self.log)
        self.service.record.add(
            f"{self.name} commits {','.join(ids)} at"
            f" {entry.term}.{entry.number}"
        )
        self.service.commits.append((now(), self.name, entry))
        self.service.replicate(self)
        if not self.service.sync_replicas:
            return True
        future: asyncio.Future[bool] = (
            asyncio.get_running_loop().create_future()
        )
        self.waiting.append((entry.number, future))
        return await future

    def resolve(self) -> None:
        """Answer the commits that enough replicas have received."""
        kept = []
        for number, future in self.waiting:
            held = sum(n >= number for n in self.received.values())
            if held < self.service.sync_replicas:
                kept.append((number, future))
            elif not future.done():
                future.set_result(True)
        self.waiting = kept


class Service:
    """The instances of one service, and what became of their commits."""

    def __init__(self, cluster: Cluster, sync_replicas: int) -> None:
        self.cluster = cluster
        self.record = cluster.record
        self.sync_replicas = sync_replicas
        self.instances: dict[str, Instance] = {}
        self.commits: list[tuple[float, str, Entry]] = []
        # Time, instance, term and log of each promotion.
        self.promotions: list[tuple[float, str, int, list[Entry]]] = []
        # Id, instance and log of each read.
        self.reads: dict[str, tuple[float, str, list[Entry]]] = {}
        self.follower: asyncio.Task[None] | None = None

    def add(self, name: str, ip: str, zone: str) -> Instance:
        """Add an instance that is not started yet."""
        instance = Instance(self, name, f"{ip}:{DATABASE_PORT}", zone)
        self.instances[name] = instance
        return instance

    @property
    def primary(self) -> Instance:
        """Return the primary of the newest term."""
        leads = [i for i in self.instances.values() if i.role == "primary"]
        return max(leads, key=lambda i: i.term)

    def replicate(self, source: Instance) -> None:
        """Send the log of a primary to the replicas."""
        loop = asyncio.get_running_loop()
        for other in self.instances.values():
            if other is not source:
                loop.call_later(
                    RECEIVE_S, self.receive, source, other, source.term
                )

    def receive(self, source: Instance, other: Instance, term: int) -> None:
        """Let a replica receive what the primary has."""
        if not (source.is_up and other.is_up) or other.is_deaf:
            return
        if source.role != "primary" or other.role == "primary":
            return
        if source.term != term or other.term > term:
            return
        common = min(len(other.log), len(source.log))
        while common and other.log[common - 1] is not source.log[common - 1]:
            common -= 1
        other.applied = min(other.applied, common)
        other.log[common:] = source.log[common:]
        other.term = term
        count = len(other.log)
        source.received[other.name] = count
        source.resolve()
        loop = asyncio.get_running_loop()
        loop.call_later(APPLY_S, self.apply, other, term, count)

    def apply(self, other: Instance, term: int, count: int) -> None:
        """Let reads at a replica see what it has received."""
        if other.term == term and len(other.log) >= count:
            other.applied = max(other.applied, count)

    async def follow(self) -> None:
        """Bring replicas and old primaries behind the newest primary."""
        reached: dict[str, float] = {}
        while True:
            newest = self.primary
            for other in list(self.instances.values()):
                if other is newest:
                    continue
                if not (other.is_up and newest.is_up):
                    reached.pop(other.name, None)
                    continue
                since = reached.setdefault(other.name, now())
                if other.role == "primary":
                    if now() > since + DEMOTION_S:
                        self.demote(other)
                elif len(other.log) != len(newest.log) or (
                    other.term != newest.term
                ):
                    self.receive(newest, other, newest.term)
            await asyncio.sleep(0.05)

    def demote(self, instance: Instance) -> None:
        """Make an old primary a replica."""
        self.record.add(f"{instance.name} becomes a replica")
        instance.role = "replica"
        for _, future in instance.waiting:
            if not future.done():
                future.set_result(False)
        instance.waiting.clear()

    async def promote(self, name: str) -> int:
        """Carry out the provider's order; return the HTTP status."""
        chosen = self.instances.get(name)
        if chosen is None or not chosen.is_up:
            return 409
        if chosen is self.primary:
            return 200
        loop = asyncio.get_running_loop()
        loop.call_later(PROMOTE_S, self.lead, chosen)
        return 200

    def lead(self, chosen: Instance) -> None:
        """Let an instance lead the next term."""
        if not chosen.is_up or chosen is self.primary:
            return
        term = max(i.term for i in self.instances.values()) + 1
        chosen.role, chosen.term = "primary", term
        chosen.applied = len(chosen.log)
        chosen.received.clear()
        self.promotions.append((now(), chosen.name, term, list(chosen.log)))
        self.record.add(
            f"{chosen.name} leads term {term} with {len(chosen.log)} commits"
        )
        self.replicate(chosen)


class Connection(asyncio.Protocol):
    """One connection to an instance."""

    def __init__(self, instance: Instance) -> None:
        self.instance = instance
        self.transport: asyncio.Transport | None = None
        self.buffer = b""
        self.lines: asyncio.Queue[str] = asyncio.Queue()
        self.task: asyncio.Task[None] | None = None
        self.state = "I"
        self.term = 0
        self.is_read_only = False
        self.writes: list[tuple[str, str, str]] = []
        self.values: dict[str, str] = {}
        self.names: dict[str, tuple[str, str]] = {}

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Accept the connection."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        self.instance.connections.add(self)
        self.task = asyncio.create_task(self.run())

    def connection_lost(self, exc: Exception | None) -> None:
        """Roll back what was open."""
        del exc
        self.instance.connections.discard(self)
        if self.task is not None:
            self.task.cancel()

    def abort(self) -> None:
        """Reset the connection."""
        if self.transport is not None:
            self.transport.abort()

    def data_received(self, data: bytes) -> None:
        """Queue the complete lines."""
        *lines, self.buffer = (self.buffer + data).split(b"\r\n")
        for line in lines:
            self.lines.put_nowait(line.decode())

    def send(self, text: str) -> None:
        """Send lines."""
        if self.transport is not None:
            self.transport.write(text.encode())

    def ready(self) -> str:
        """Build the end of an answer."""
        instance = self.instance
        position = instance.position(instance.applied)
        if instance.hides_position:
            position = "-"
        return f"READY {self.state} {position}\r\n"

    async def run(self) -> None:
        """Handle one line after the other."""
        start = (await self.lines.get()).split(" ")
        await asyncio.sleep(HANDSHAKE_S)
        is_wrong = start[0] != "START" or start[1] != SERVICE
        if is_wrong or start[3:] not in ([], [self.instance.name]):
            self.send("ERROR WRONGHOST other\r\n")
            self.abort()
            return
        self.send(self.ready())
        while True:
            line = await self.lines.get()
            verb, _, rest = line.partition(" ")
            if verb == "BYE":
                self.abort()
                return
            request_id, _, text = rest.partition(" ")
            answer = await self.handle(request_id, text)
            if answer is None:
                self.abort()
                return
            if request_id != "-":
                first = answer.splitlines()[-1]
                self.instance.service.record.add(
                    f"{self.instance.name} runs {request_id} {text[:60]}"
                    f" -> {first}"
                )
            self.send(answer + self.ready())

    def refuse(self) -> str:
        """Refuse a statement that only a primary runs."""
        if self.state == "T":
            self.state = "E"
        return f"ERROR READONLY {self.instance.name}\r\n"

    async def handle(self, request_id: str, text: str) -> str | None:
        """Run one statement; None ends the connection without answer."""
        instance = self.instance
        done = f"DONE {instance.name}.{request_id}\r\n"
        if text.startswith("AFTER "):
            _, point, text = text.split(" ", 2)
            term, _, number = point.partition(".")
            if not instance.holds(int(term), int(number)):
                return f"ERROR BEHIND {instance.name}\r\n"
        verb, _, rest = text.partition(" ")
        if verb == "EXECUTE":
            name, _, rest = rest.partition(" ")
            if name not in self.names:
                return "ERROR UNNAMED name\r\n"
            verb = self.names[name][0]
            self.note_shape(request_id, self.names[name])
        if verb in {"READ", "WRITE", "COMMIT"}:
            await asyncio.sleep(WORK_S)
        match verb:
            case "STATUS":
                return f"{instance.status()}DONE -\r\n"
            case "DEMOTE":
                if instance.role == "primary" and int(rest) > instance.term:
                    instance.service.demote(instance)
                return f"{instance.status()}DONE -\r\n"
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
            case "BEGIN":
                if not rest and instance.role != "primary":
                    return self.refuse()
                self.state, self.is_read_only = "T", bool(rest)
                self.term, self.writes = instance.term, []
                return done
            case "ROLLBACK":
                self.state, self.writes = "I", []
                return "DONE -\r\n"
            case "COMMIT":
                return await self.commit(done)
            case "READ":
                return self.read(request_id, rest, done)
            case "WRITE":
                return await self.write(request_id, rest, done)
        return "ERROR MALFORMED text\r\n"

    def note_shape(self, request_id: str, shape: tuple[str, str]) -> None:
        """Record with which shape a prepared statement runs."""
        self.instance.service.cluster.shapes[request_id] = shape

    def has_lost_lead(self) -> bool:
        """Tell whether a plain transaction cannot go on."""
        instance = self.instance
        is_primary = instance.role == "primary"
        is_same = is_primary and instance.term == self.term
        return not self.is_read_only and not is_same

    def read(self, request_id: str, item: str, done: str) -> str:
        """Read an item at what was applied."""
        instance = self.instance
        if self.state == "T" and self.has_lost_lead():
            return self.refuse()
        seen = instance.log[: instance.applied]
        instance.service.reads[request_id] = (now(), instance.name, seen)
        del item
        return f"ROW {len(seen)}\r\n{done}"

    async def write(self, request_id: str, rest: str, done: str) -> str | None:
        """Write an item, at once or with the transaction's commit."""
        instance = self.instance
        item, _, data = rest.partition(" ")
        if self.state == "T":
            if self.has_lost_lead() or self.is_read_only:
                return self.refuse()
            self.writes.append((request_id, item, data))
            return done
        if instance.role != "primary":
            return self.refuse()
        return done if await instance.commit([request_id]) else None

    async def commit(self, done: str) -> str | None:
        """Commit the transaction."""
        writes, self.writes = self.writes, []
        if writes and self.has_lost_lead():
            self.state = "I"
            return f"ERROR READONLY {self.instance.name}\r\n"
        self.state = "I"
        if not writes:
            return done
        ids = [request_id for request_id, _, _ in writes]
        return done if await self.instance.commit(ids) else None


async def http_call(
    method: str, address: str, path: str, body: object = None
) -> tuple[int, bytes]:
    """Make one HTTP call; the status is 0 without an answer."""
    ip, _, port = address.rpartition(":")
    data = (
        b""
        if body is None
        else (body if isinstance(body, bytes) else json.dumps(body).encode())
    )
    head = (
        f"{method} {path} HTTP/1.1\r\nHost: {address}\r\n"
        "Content-Type: application/json\r\nConnection: close\r\n"
        f"Content-Length: {len(data)}\r\n\r\n"
    )
    writer = None
    try:
        async with asyncio.timeout(CALL_TIMEOUT_S + len(data) / 1_000_000):
            reader, writer = await asyncio.open_connection(ip, int(port))
            writer.write(head.encode() + data)
            answer = await reader.read()
    except (OSError, TimeoutError):
        return 0, b""
    finally:
        if writer is not None:
            writer.transport.abort()
    first, _, rest = answer.partition(b"\r\n")
    words = first.split(b" ")
    if len(words) < 2:
        return 0, b""
    return int(words[1]), rest.partition(b"\r\n\r\n")[2]


class Node:
    """One process of the system."""

    def __init__(self, cluster: Cluster, kind: str, number: int) -> None:
        zone = list(ZONES)[(number - 1) % 3]
        self.cluster = cluster
        self.kind = kind
        self.name = f"{kind}-{zone}-{number}"
        self.ip = f"{cluster.net}.{1 if kind == 'core' else 2}.{number}"
        self.zone = zone
        self.folder = cluster.folder / self.name
        self.process: subprocess.Popen[bytes] | None = None
        self.is_first = True

    def settings(self) -> dict[str, object]:
        """Fill in the fields of the platform's settings."""
        is_core = self.kind == "core"
        return {
            "host": self.name,
            "role": "control" if is_core else "entry",
            "data_center": self.zone,
            "region": ZONES[self.zone],
            "places": [
                {"data_center": z, "region": r} for z, r in ZONES.items()
            ],
            "ip": self.ip,
            "peers_port": PORT_RANGE[0],
            "seeds": [
                f"{ip}:{CONTROL_PORT}" for ip in self.cluster.core_ips()[:3]
            ],
            "first_start": self.is_first,
            "data_folder": str(self.folder / "data") if is_core else "",
            "sessions_address": "" if is_core else f"{self.ip}:{FRONT_PORT}",
            "lending_address": f"{self.ip}:{PORT_RANGE[1]}",
            "metrics_address": f"{self.ip}:9464",
            "ready_address": "" if is_core else f"{self.ip}:{READY_PORT}",
            "control_address": f"{self.ip}:{CONTROL_PORT}" if is_core else "",
            "promotion_address": f"{self.cluster.net}.3.1:{CLOUD_PORT}",
            "tolerated_hosts": 1,
            "grace_s": 6,
            "leaving_work_ms": 7000,
        }

    def start(self) -> None:
        """Start the process with the command of the deploy file."""
        self.folder.mkdir(parents=True, exist_ok=True)
        path = self.folder / "settings.json"
        path.write_text(json.dumps(self.settings()), encoding="utf-8")
        self.is_first = False
        deploy = tomllib.loads(
            (ROOT / "deploy/system.toml").read_text(encoding="utf-8")
        )
        role = "control" if self.kind == "core" else "entry"
        environment = {
            "PATH": os.environ.get("PATH", ""),
            "HOME": os.environ.get("HOME", ""),
            "PYTHONPATH": str(ROOT / "target/deps"),
            "ROSEMARYSADDLE_NODE_FILE": str(path),
        }
        with (self.folder / "log").open("ab") as log:
            self.process = subprocess.Popen(
                deploy["roles"][role]["run"].split(),
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the running process."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def kill(self) -> None:
        """End the process at once."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()

    def log_text(self) -> str:
        """Return what the process has logged."""
        path = self.folder / "log"
        return path.read_text(encoding="utf-8") if path.exists() else ""


class Cluster:
    """A small deployment with its platform."""

    def __init__(
        self, folder: Path, *, fronts: int = 3, sync_replicas: int = 0
    ) -> None:
        self.record = Record(folder)
        self.folder = Path(tempfile.mkdtemp(prefix="review-3-"))
        self.net, self.guard = find_network()
        self.core = [Node(self, "core", n) for n in (1, 2, 3)]
        self.front = [Node(self, "front", n) for n in range(1, fronts + 1)]
        self.service = Service(self, sync_replicas)
        self.shapes: dict[str, tuple[str, str]] = {}
        self.version = 0
        self.cloud: asyncio.Server | None = None
        self.tasks: list[asyncio.Task[None]] = []
        self.clients: list[Client] = []
        # Called with the body of each order to promote.
        self.on_order = self.service.promote
        for number, zone in enumerate(ZONES, start=1):
            self.service.add(f"i-{number}", f"{self.net}.4.{number}", zone)
        first = self.service.instances["i-1"]
        first.role = "primary"

    def core_ips(self) -> list[str]:
        """List the addresses of the core machines."""
        return [f"{self.net}.1.{n}" for n in (1, 2, 3)]

    async def start(self) -> None:
        """Start everything and wait until it serves."""
        self.cloud = await asyncio.start_server(
            self.serve_cloud, f"{self.net}.3.1", CLOUD_PORT
        )
        for node in [*self.core, *self.front]:
            node.start()
        for instance in self.service.instances.values():
            await instance.start()
        self.tasks.append(asyncio.create_task(self.service.follow()))
        await self.configure(self.plan())
        for front in self.front:
            await self.wait_ready(front)

    async def stop(self) -> None:
        """End all that was started."""
        for client in self.clients:
            client.close()
        for task in self.tasks:
            task.cancel()
        for instance in self.service.instances.values():
            if instance.is_up:
                instance.crash()
        if self.cloud is not None:
            self.cloud.close()
        for node in [*self.core, *self.front]:
            node.kill()
        self.guard.close()
        shutil.rmtree(self.folder, ignore_errors=True)

    def plan(self) -> dict[str, object]:
        """Build the next desired state."""
        self.version += 1
        kinds = {
            "strict": "primary",
            "own": "read_your_writes",
            "old": "bounded_staleness",
        }
        return {
            "version": self.version,
            "routes": [
                {
                    "name": f"r-{name}",
                    "database": name,
                    "path_prefix": "/",
                    "freshness": kind,
                    "timeout_ms": 800,
                    "latency_objective_ms": 500,
                    "priority": 1,
                    "group": SERVICE,
                    "max_attempts": 2,
                    "max_staleness_ms": 2500,
                }
                for name, kind in kinds.items()
            ],
            "groups": [
                {
                    "name": SERVICE,
                    "healthPath": "/health",
                    "connection_limit": 33,
                    "protocol": "h1",
                    "transportSecurity": False,
                    "sync_replicas": self.service.sync_replicas,
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

    async def configure(self, plan: object, *, limit_s: float = 20.0) -> int:
        """Send a desired state until it gets a clear answer."""
        until = now() + limit_s
        path = "/rosemarysaddle/configuration/replace"
        while now() < until:
            for ip in self.core_ips():
                status, body = await http_call(
                    "POST", f"{ip}:{CONTROL_PORT}", path, plan
                )
                self.record.add(f"desired state to {ip}: {status}")
                if 200 <= status < 500 and status not in {408, 429}:
                    return status
                del body
            await asyncio.sleep(0.2)
        return 0

    async def wait_ready(self, node: Node) -> None:
        """Wait until a front machine says that it is ready."""
        until = now() + 20
        while now() < until:
            status, _ = await http_call(
                "GET",
                f"{node.ip}:{READY_PORT}",
                "/rosemarysaddle/readiness",
            )
            if status == 200:
                return
            await asyncio.sleep(0.1)
        raise TimeoutError(f"{node.name} is not ready")

    async def serve_cloud(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer one call of the provider's API."""
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            head = (await reader.readuntil(b"\r\n\r\n")).decode()
            fields = {
                line.partition(":")[0].lower(): line.partition(":")[2].strip()
                for line in head.split("\r\n")[1:]
            }
            length = int(fields.get("content-length", "0"))
            body = json.loads(await reader.readexactly(length))
            self.record.add(
                f"order to promote {body['identifier']} by"
                f" {fields.get('duty-holder')} fence"
                f" {fields.get('fencing-token')}"
            )
            status = await self.on_order(body["identifier"])
            writer.write(
                f"HTTP/1.1 {status} X\r\nContent-Length: 0\r\n\r\n".encode()
            )
            await writer.drain()
        writer.close()

    def client(self, name: str, database: str, front: int = 0) -> Client:
        """Create a client of one database at one front machine."""
        client = Client(self, name, database, self.front[front])
        self.clients.append(client)
        return client


class Client:
    """One session; each statement waits for its answer."""

    def __init__(
        self, cluster: Cluster, name: str, database: str, front: Node
    ) -> None:
        self.cluster = cluster
        self.name = name
        self.database = database
        self.front = front
        self.number = 0
        self.reader: asyncio.StreamReader | None = None
        self.writer: asyncio.StreamWriter | None = None

    async def open(self) -> bool:
        """Open the session."""
        self.close()
        try:
            async with asyncio.timeout(2.0):
                self.reader, self.writer = await asyncio.open_connection(
                    self.front.ip, FRONT_PORT, limit=2 << 20
                )
        except (OSError, TimeoutError):
            return False
        code, _ = await self.exchange(f"START {self.database} {self.name}")
        return code == "READY"

    def close(self) -> None:
        """Close the session."""
        if self.writer is not None:
            self.writer.transport.abort()
        self.reader = self.writer = None

    async def query(self, text: str) -> tuple[str, str, list[str]]:
        """Run one statement.

        Returns its id, the code of its answer (``DONE``, an error's
        code or ``NONE``) and its rows.
        """
        if self.writer is None and not await self.open():
            return "", "NONE", []
        self.number += 1
        request_id = f"{self.name}-{self.number}"
        self.cluster.record.add(
            f"{self.name}@{self.front.name} sends {request_id} {text[:60]}"
        )
        code, rows = await self.exchange(f"QUERY {request_id} {text}")
        self.cluster.record.add(
            f"{self.name}@{self.front.name} gets {request_id} {code}"
        )
        return request_id, code, rows

    async def exchange(self, line: str) -> tuple[str, list[str]]:
        """Send one line and read its answer."""
        assert self.reader is not None and self.writer is not None
        code, rows = "", []
        try:
            async with asyncio.timeout(8.0):
                self.writer.write(f"{line}\r\n".encode())
                while data := await self.reader.readline():
                    word, _, rest = data.decode().rstrip("\r\n").partition(" ")
                    if word == "ROW":
                        rows.append(rest)
                    elif word == "READY":
                        return code or "READY", rows
                    elif word == "ERROR":
                        code = rest.partition(" ")[0]
                    else:
                        code = word
        except (OSError, TimeoutError):
            pass
        self.close()
        return code or "NONE", rows


def find_network() -> tuple[str, socket.socket]:
    """Find loopback addresses that no other run uses.

    Returns the first two bytes, and a socket that holds them.
    """
    for _ in range(200):
        net = f"127.{random.randrange(80, 250)}"
        guard = socket.socket()
        try:
            guard.bind((f"{net}.5.1", CLOUD_PORT))
            for port in (CONTROL_PORT, PORT_RANGE[0], 9464):
                with socket.socket() as probe:
                    probe.bind((f"{net}.1.1", port))
            with socket.socket() as probe:
                probe.bind((f"{net}.2.1", FRONT_PORT))
        except OSError:
            guard.close()
            continue
        return net, guard
    raise OSError("no free loopback addresses")


def run_case(scenario, folder: str, *, limit_s: float = 110.0, **options):
    """Run a scenario and return the exit status of the script.

    The scenario returns a list of what breaks the rule; it raises where
    the case could not run.
    """
    path = Path(folder).resolve().parent
    is_disturbed = os.environ.get("TROUBLE", "1") != "0"

    async def run() -> int:
        cluster = Cluster(path, **options)
        task = asyncio.current_task()
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, task.cancel)
        try:
            async with asyncio.timeout(limit_s):
                await cluster.start()
                found = await scenario(cluster, is_disturbed)
        except (Exception, asyncio.CancelledError) as error:
            cluster.record.add(f"could not run: {error!r}")
            print(f"could not run: {error!r}")
            return 2
        finally:
            await cluster.stop()
        for line in found[:20]:
            cluster.record.add(f"BROKEN {line}")
            print(f"broken: {line}")
        cluster.record.add(f"broken {len(found)} times")
        print("broken" if found else "held")
        return 1 if found else 0

    return asyncio.run(run())
