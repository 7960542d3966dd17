"""Stand-in database instances of one service, and the provider.

They do what PROTOCOL.md says.  Each commit that writes gets the next
number; replicas receive it over the network and apply it later.  A
promoted instance leads the next term with what it has received.  The
old primary goes on until a second after it can reach the new one.
"""

from __future__ import annotations

import asyncio
import json
import time

from .nodes import PROVIDER_PORT, SERVER_PORT

RECEIVE_S = 0.02
APPLY_S = 0.06
DEMOTE_S = 1.0
HEARTBEAT_S = 1.2
SLOTS = 5


class Instance:
    """One instance: its role, its log and its connections."""

    def __init__(self, service, number, zone, ip):
        self.service, self.zone, self.ip = service, zone, ip
        self.name = f"i-{service.name}-{number}"
        self.role, self.term = "replica", 1
        self.log = []  # (request id, item, data)
        self.applied = 0
        self.is_up = True
        self.state = "ready"
        self.answer_delay_s = 0.0
        self.receive_delay_s = RECEIVE_S
        self.reaches = lambda other: True
        self.transports = set()
        self.slots = asyncio.Semaphore(SLOTS)
        self.server = None
        self.born = int(time.time() * 1000)
        self.seq = 0
        self.version = 0  # increases with each rollback

    @property
    def address(self):
        return f"{self.ip}:{SERVER_PORT}"

    async def listen(self):
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(
            lambda: Connection(self), self.ip, SERVER_PORT, reuse_address=True
        )

    def crash(self):
        """End at once; the log stays."""
        self.is_up = False
        if self.server is not None:
            self.server.close()
        for transport in list(self.transports):
            transport.abort()

    def beat(self):
        self.seq += 1
        return {
            "group": self.service.name,
            "address": self.address,
            "data_center": self.zone,
            "version": "v1",
            "slots": SLOTS,
            "state": self.state,
            "coldRemainingMs": 0,
            "replication_role": self.role,
            "seq": self.seq,
            "born": self.born,
        }

    def lacks(self, term, number):
        """Tell whether reads here do not see a position yet."""
        if self.term < term:
            return True
        return self.applied < min(number, len(self.log)) or (
            self.term == term and self.applied < number
        )

    def read(self, item):
        for _, key, data in reversed(self.log[: self.applied]):
            if key == item:
                return data
        return "-"


class Service:
    """A primary and its replicas."""

    def __init__(self, fleet, record, name="svc", sync=0, promote_s=1.0):
        self.name, self.record, self.sync = name, record, sync
        self.promote_s = promote_s
        self.work_s = 0.0  # how long a read or write occupies its slot
        # Zone of each caller, by the word that it gives as its name; a
        # connection over the loopback device shows no other sign of it.
        self.zones = {p.name: p.zone for p in fleet.fronts}
        self.instances = [
            Instance(self, n + 1, zone, f"{fleet.network}.5.{n + 1}")
            for n, zone in enumerate(("moc-chau", "da-lat", "tay-ninh"))
        ]
        self.instances[0].role = "primary"
        self.primary = self.instances[0]  # leads the newest term
        self.promoted_at = 0.0
        self.arrived = []  # (time, instance, id)
        self.statements = []  # (time, instance, id, text, code)
        self.commits = []  # (time, instance, term, position, entries)
        self.promotions = []  # (time, instance, term, log length)
        self.tasks = set()

    def spawn(self, work):
        task = asyncio.ensure_future(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def start(self):
        for instance in self.instances:
            await instance.listen()

    def find(self, name):
        return next((i for i in self.instances if i.name == name), None)

    async def commit(self, instance, entries):
        """Commit at a primary; return whether it can be acknowledged."""
        instance.log.extend(entries)
        instance.applied = len(instance.log)
        now = time.monotonic()
        self.commits.append(
            (now, instance.name, instance.term, len(instance.log), entries)
        )
        self.record(
            f"commit at={instance.name} term={instance.term}"
            f" number={len(instance.log)} ids={[e[0] for e in entries]}"
            f" newest={self.primary.name}"
        )
        received = asyncio.Event()
        for other in self.instances:
            if other is not instance and instance is self.primary:
                self.spawn(self._ship(instance, other, received))
        if self.sync and instance is self.primary:
            await received.wait()

    async def _ship(self, source, other, received):
        count, term = len(source.log), source.term
        await asyncio.sleep(other.receive_delay_s)
        if source is not self.primary or source.term != term:
            return
        if not (source.is_up and other.is_up and source.reaches(other)):
            return
        if other.role == "primary":
            return
        self._copy(source, other, count)
        received.set()

    def _copy(self, source, other, count):
        count = (
            max(count, len(other.log))
            if other.term == source.term
            else (len(source.log))
        )
        count = min(count, len(source.log))
        if other.log[:count] != source.log[:count]:
            other.version += 1
            other.applied = min(other.applied, _common(source.log, other.log))
        other.log[:] = source.log[:count]
        other.applied = min(other.applied, count)
        other.term = source.term
        self.spawn(self._apply(other, other.term, count))

    async def _apply(self, other, term, count):
        await asyncio.sleep(APPLY_S)
        if other.term == term:
            other.applied = max(other.applied, min(count, len(other.log)))

    async def promote(self, instance):
        """Make an instance lead the next term after a while."""
        await asyncio.sleep(self.promote_s)
        if not instance.is_up or instance is self.primary:
            return
        instance.term = max(i.term for i in self.instances) + 1
        instance.role = "primary"
        instance.applied = len(instance.log)
        self.primary = instance
        self.promoted_at = time.monotonic()
        self.promotions.append(
            (self.promoted_at, instance.name, instance.term, len(instance.log))
        )
        self.record(
            f"promoted instance={instance.name} term={instance.term}"
            f" number={len(instance.log)}"
        )
        for other in self.instances:
            if other is not instance:
                self.spawn(self._follow(instance, other))

    async def _follow(self, source, other):
        """Let another instance follow a new primary."""
        if other.role == "primary":
            since = None
            while source is self.primary:
                can = other.is_up and source.is_up and source.reaches(other)
                now = time.monotonic()
                since = (since or now) if can else None
                if since is not None and now >= since + DEMOTE_S:
                    break
                await asyncio.sleep(0.01)
        else:
            await asyncio.sleep(other.receive_delay_s)
        if source is self.primary and other.is_up and source.is_up:
            if other.role == "primary":
                self.record(f"demoted instance={other.name}")
            other.role = "replica"
            if source.reaches(other):
                self._copy(source, other, len(source.log))


def _common(first, second):
    count = 0
    for a, b in zip(first, second, strict=False):
        if a != b:
            break
        count += 1
    return count


class Connection(asyncio.Protocol):
    """Connection of a caller to an instance."""

    def __init__(self, instance):
        self.instance, self.service = instance, instance.service
        self.buffer, self.transport = b"", None
        self.is_open, self.state = False, "I"
        self.writes, self.is_read_only, self.version = [], False, 0
        self.queue = asyncio.Queue()
        self.worker = None
        self.round_trip_s = 0.0

    def connection_made(self, transport):
        self.transport = transport
        self.instance.transports.add(transport)
        self.worker = asyncio.ensure_future(self.work())

    def connection_lost(self, exc):
        self.instance.transports.discard(self.transport)
        self.worker.cancel()

    def data_received(self, data):
        *lines, self.buffer = (self.buffer + data).split(b"\r\n")
        for line in lines:
            self.queue.put_nowait(line.decode())

    async def work(self):
        while True:
            line = await self.queue.get()
            await asyncio.sleep(
                self.round_trip_s + self.instance.answer_delay_s
            )
            text = await self.answer(line)
            if text is None:
                return
            i = self.instance
            if not i.is_up:
                return
            self.transport.write(
                f"{text}READY {self.state} {i.term}.{i.applied}\r\n".encode()
            )

    async def answer(self, line):
        verb, _, rest = line.partition(" ")
        if not self.is_open:
            words = rest.split()
            if (
                verb != "START"
                or words[0] != self.service.name
                or (len(words) > 2 and words[2] != self.instance.name)
            ):
                self.transport.write(
                    f"ERROR WRONGHOST {self.instance.name}\r\n".encode()
                )
                self.transport.close()
                return None
            self.is_open = True
            # The three zones lie in three areas, 12 ms apart.
            zone = self.service.zones.get(words[1])
            if zone not in {None, self.instance.zone}:
                self.round_trip_s = 0.024
                await asyncio.sleep(self.round_trip_s)
            return ""
        if verb == "BYE":
            self.transport.close()
            return None
        request_id, _, text = rest.partition(" ")
        if request_id != "-":
            self.service.arrived.append(
                (time.monotonic(), self.instance.name, request_id)
            )
        result = await self.run(request_id, text)
        if request_id != "-":
            code = result.split()[1] if result.startswith("ERROR") else "DONE"
            self.service.statements.append(
                (time.monotonic(), self.instance.name, request_id, text, code)
            )
        return result

    async def run(self, request_id, text):
        i = self.instance
        if text.startswith("AFTER "):
            _, point, text = text.split(" ", 2)
            term, _, number = point.partition(".")
            if i.lacks(int(term), int(number)):
                return f"ERROR BEHIND {i.name}\r\n"
        verb, *words = text.split(" ")
        done = f"DONE {i.name}.{request_id}\r\n"
        if verb == "STATUS":
            received = f"{i.term}.{len(i.log)}"
            return f"ROW {i.role} {i.term} {received} 0 0 0 1\r\nDONE -\r\n"
        if verb == "ROLLBACK":
            self.state, self.writes = "I", []
            return done
        if self.state == "E":
            return f"ERROR MALFORMED {i.name}\r\n"
        if verb == "BEGIN":
            if not words and i.role != "primary":
                return f"ERROR READONLY {i.name}\r\n"
            self.state, self.is_read_only = "T", bool(words)
            self.version = (i.term, i.version)
            return done
        lost_lead = (
            self.state == "T"
            and not self.is_read_only
            and (i.role != "primary" or self.version != (i.term, i.version))
        )
        if verb == "COMMIT":
            writes, self.writes, self.state = self.writes, [], "I"
            if writes and lost_lead:
                return f"ERROR READONLY {i.name}\r\n"
            if writes:
                await self.service.commit(i, writes)
            return done
        if lost_lead:
            self.state = "E"
            return f"ERROR READONLY {i.name}\r\n"
        if verb in {"READ", "WRITE"} and self.service.work_s:
            async with i.slots:
                await asyncio.sleep(self.service.work_s)
        if verb == "READ":
            return f"ROW {i.read(words[0])}\r\n{done}"
        if verb == "WRITE":
            if i.role != "primary":
                return f"ERROR READONLY {i.name}\r\n"
            entry = (request_id, words[0], words[1])
            if self.state == "T":
                self.writes.append(entry)
            else:
                await self.service.commit(i, [entry])
            return done
        return done  # SET, PREPARE, FORGET, RESET


class Provider:
    """The provider's API: POST /promote.

    :param delay_s: returns how long the next call takes until it is
        carried out
    """

    def __init__(self, fleet, service, record, delay_s=lambda number: 0.0):
        self.ip, self.service, self.record = (
            fleet.provider_ip,
            service,
            record,
        )
        self.delay_s = delay_s
        self.calls = []
        self.server = None

    async def start(self):
        self.server = await asyncio.start_server(
            self.serve, self.ip, PROVIDER_PORT
        )

    async def serve(self, reader, writer):
        try:
            head = (await reader.readuntil(b"\r\n\r\n")).decode()
            fields = dict(
                line.lower().split(": ", 1)
                for line in head.split("\r\n")[1:]
                if ": " in line
            )
            length = int(fields.get("content-length", 0))
            body = json.loads(await reader.readexactly(length))
        except (asyncio.IncompleteReadError, OSError, ValueError):
            writer.close()
            return
        # The call has been received: it is carried out from here on,
        # whether or not the caller waits for the answer.
        self.service.spawn(self.carry_out(fields, body, writer))

    async def carry_out(self, fields, body, writer):
        number = len(self.calls)
        delay = self.delay_s(number)
        self.calls.append((time.monotonic(), body["identifier"]))
        self.record(
            f"promote-call number={number} target={body['identifier']}"
            f" holder={fields.get('duty-holder')}"
            f" token={fields.get('fencing-token')} takes_s={delay}"
        )
        await asyncio.sleep(delay)
        instance = self.service.find(body["identifier"])
        is_running = instance is not None and instance.is_up
        if is_running and instance is not self.service.primary:
            self.service.spawn(self.service.promote(instance))
        status = "200 OK" if is_running else "409 Conflict"
        try:
            writer.write(
                f"HTTP/1.1 {status}\r\nContent-Type: application/json\r\n"
                "Content-Length: 2\r\n\r\n{}".encode()
            )
            await writer.drain()
        except OSError:
            pass
        writer.close()
