"""Callers of a demonstration, which switch between entry hosts."""

from __future__ import annotations

import http.client
import json
import random
import select
import time
from typing import TYPE_CHECKING, Any, Final

import attrs

from rosemarysaddle.demo._deployments import CallKind, ClassSpec
from rosemarysaddle.demo._recorder import CallRecord
from rosemarysaddle.serve import ApiPath

if TYPE_CHECKING:
    import threading
    from collections.abc import Sequence

    from rosemarysaddle.demo._deployments import Deployment
    from rosemarysaddle.demo._recorder import CallRecorder
    from rosemarysaddle.demo._simulated_network import SimulatedNetwork
    from rosemarysaddle.link import Address

__all__ = ("CallerSession", "EntryEndpoint", "LoadBalancer", "Reply")

REQUEST_DEADLINE_MS: Final = 4_000
HTTP_TIMEOUT_S: Final = 6.0
REMOTE_HOST_SHARE: Final = 0.2
KEY_TTL_MS: Final = 3_600_000
LOST: Final = "lost"


@attrs.frozen(kw_only=True)
class EntryEndpoint:
    """Data centre and callers' address of an entry host."""

    name: str
    data_center: str
    address: Address


@attrs.define(kw_only=True, eq=False)
class LoadBalancer:
    """Stand-in for the platform's load balancer.

    :param out_of_service: names of hosts that get no requests
    """

    hosts: Sequence[EntryEndpoint]
    network_conditions: SimulatedNetwork
    out_of_service: frozenset[str] = frozenset()

    def pick(self, home_center: str, rng: random.Random) -> EntryEndpoint:
        """Pick a host, mostly one in the caller's data centre.

        :param home_center: data centre of the caller
        """
        usable = [
            h
            for h in self.hosts
            if h.name not in self.out_of_service
            and not self.network_conditions.are_partitioned(
                home_center, h.data_center
            )
        ]
        near = [h for h in usable if h.data_center == home_center]
        if near and rng.random() > REMOTE_HOST_SHARE:
            return rng.choice(near)
        return rng.choice(usable)


@attrs.frozen(kw_only=True)
class Reply:
    """Answer to a request; the outcome is ``lost`` if none came."""

    outcome: str
    body: dict[str, Any]

    @property
    def reason(self) -> str:
        """Last segment of the problem type, or empty."""
        return str(self.body.get("type", "")).rpartition(":")[2]


@attrs.define(kw_only=True, eq=False)
class CallerSession:
    """One caller with its session token.

    :param home_center: data centre of the caller
    :param think_time_s: mean pause between two calls
    :param own_marks: number of acknowledged writes by group
    """

    name: str
    home_center: str
    deployment: Deployment
    credential: str
    balancer: LoadBalancer
    recorder: CallRecorder
    seed: int
    think_time_s: float
    token: str = attrs.field(default="", init=False)
    own_marks: dict[str, int] = attrs.field(factory=dict, init=False)
    _rng: random.Random = attrs.field(init=False)
    _connections: dict[str, http.client.HTTPConnection] = attrs.field(
        factory=dict, init=False
    )
    _sequence: int = attrs.field(default=0, init=False)

    def __attrs_post_init__(self) -> None:
        """Seed the random generator of the caller."""
        self._rng = random.Random(f"{self.seed}:{self.name}")

    def run(self, stop: threading.Event) -> None:
        """Make calls until the event is set."""
        classes = self.deployment.classes
        weights = [c.weight for c in classes]
        while not stop.is_set():
            spec = self._rng.choices(classes, weights)[0]
            group = self._rng.choice(self.deployment.groups)
            self.call(spec, group)
            stop.wait(self._rng.expovariate(1 / self.think_time_s))
        for connection in self._connections.values():
            connection.close()

    def call(self, spec: ClassSpec, group: str) -> CallRecord:
        """Make one call and record its outcome."""
        sent_s = time.monotonic()
        match spec.kind:
            case CallKind.WRITE:
                marks, reply = self._write(spec, group)
            case CallKind.KEYED_WRITE:
                marks, reply = self._keyed_write(spec, group)
            case CallKind.TRANSACTION:
                marks, reply = self._transaction(spec, group)
            case _:
                marks, reply = (), self._read(spec, group)
        record = self._build_record(spec, group, marks, reply, sent_s)
        self.recorder.add(record)
        if record.outcome == "done":
            self.token = reply.body.get("token", self.token)
            owned = self.own_marks.get(group, 0)
            self.own_marks[group] = owned + len(marks)
        return record

    def post(self, path: str, body: dict[str, Any]) -> Reply:
        """Send one request through the load balancer."""
        host = self.balancer.pick(self.home_center, self._rng)
        time.sleep(self.deployment.client_delay_ms / 1_000)
        reply = self._send_request(host, path, body)
        time.sleep(self.deployment.client_delay_ms / 1_000)
        return reply

    def _build_record(
        self,
        spec: ClassSpec,
        group: str,
        marks: tuple[str, ...],
        reply: Reply,
        sent_s: float,
    ) -> CallRecord:
        served = reply.body.get("served_by", {})
        value, echoed = _read_count(reply, self._nonce())
        return CallRecord(
            session=self.name,
            group=group,
            request_class=spec.name,
            kind=spec.kind,
            marks=marks,
            outcome=reply.outcome,
            reason=reply.reason,
            sent_s=sent_s,
            ended_s=time.monotonic(),
            role=served.get("role", ""),
            term=served.get("term", 0),
            position=served.get("position", 0),
            value=value,
            own_marks=self.own_marks.get(group, 0),
            age_ms=served.get("age_ms", 0),
            echoed=echoed or bool(marks),
            repeated=bool(reply.body.get("repeated")),
        )

    def _write(
        self, spec: ClassSpec, group: str
    ) -> tuple[tuple[str, ...], Reply]:
        mark = self._next_mark()
        body = self._build_body(
            spec, group, [_insert_statement(mark, self.name)]
        )
        body["write"] = True
        return (mark,), self.post(ApiPath.STATEMENTS, body)

    def _keyed_write(
        self, spec: ClassSpec, group: str
    ) -> tuple[tuple[str, ...], Reply]:
        mark = self._next_mark()
        body = self._build_body(
            spec, group, [_insert_statement(mark, self.name)]
        )
        body["write"] = True
        body["key"] = f"key-{mark}"
        body["key_expires_at_ms"] = int(time.time() * 1_000) + KEY_TTL_MS
        reply = self.post(ApiPath.STATEMENTS, body)
        if reply.outcome in {LOST, "unknown"}:
            body["resend"] = True
            reply = self.post(ApiPath.STATEMENTS, body)
        return (mark,), reply

    def _transaction(
        self, spec: ClassSpec, group: str
    ) -> tuple[tuple[str, ...], Reply]:
        marks = (self._next_mark(), self._next_mark())
        begun = self.post(ApiPath.BEGIN, self._build_body(spec, group, []))
        handle = begun.body.get("transaction", "")
        if not handle:
            return marks, begun
        for mark in marks:
            body = self._build_body(
                spec, group, [_insert_statement(mark, self.name)]
            )
            body.update({"write": True, "transaction": handle})
            reply = self.post(ApiPath.EXECUTE, body)
            if reply.outcome != "done":
                return marks, attrs.evolve(reply, outcome="not-run")
        body = self._build_body(spec, group, [])
        body["transaction"] = handle
        return marks, self.post(ApiPath.COMMIT, body)

    def _read(self, spec: ClassSpec, group: str) -> Reply:
        where = ""
        args: list[Any] = [self._nonce()]
        if spec.kind is CallKind.OWN_READ:
            where = " WHERE session = %s"
            args.append(self.name)
        sql = f"SELECT %s AS nonce, COUNT(*) AS n FROM marks{where}"
        body = self._build_body(spec, group, [{"sql": sql, "args": args}])
        return self.post(ApiPath.STATEMENTS, body)

    def _build_body(
        self, spec: ClassSpec, group: str, statements: list[dict[str, Any]]
    ) -> dict[str, Any]:
        body: dict[str, Any] = {
            "group": group,
            "class": spec.name,
            "deadline_ms": REQUEST_DEADLINE_MS,
        }
        if statements:
            body["statements"] = statements
        if self.token:
            body["token"] = self.token
        return body

    def _next_mark(self) -> str:
        self._sequence += 1
        return f"{self.name}-{self._sequence}"

    def _nonce(self) -> str:
        return f"{self.name}/{self._sequence}"

    def _send_request(
        self, host: EntryEndpoint, path: str, body: dict[str, Any]
    ) -> Reply:
        connection = self._connections.get(host.name)
        if connection is None:
            connection = http.client.HTTPConnection(
                host.address.ip, host.address.port, timeout=HTTP_TIMEOUT_S
            )
            self._connections[host.name] = connection
        headers = {
            "X-Tenant": self.deployment.tenant,
            "Authorization": f"Bearer {self.credential}",
            "Content-Type": "application/json",
        }
        try:
            if _is_closed_by_peer(connection):
                connection.close()
            if connection.sock is None:
                connection.connect()
        except OSError:
            return Reply(outcome="not-run", body={"type": "x:no-host"})
        try:
            data = json.dumps(body)
            connection.request("POST", path, body=data, headers=headers)
            answer = connection.getresponse()
            decoded = json.loads(answer.read())
        except (OSError, http.client.HTTPException, ValueError) as error:
            connection.close()
            return Reply(outcome=LOST, body={"type": f"x:{error!r}"})
        return Reply(outcome=decoded.get("outcome", LOST), body=decoded)


def _is_closed_by_peer(connection: http.client.HTTPConnection) -> bool:
    """Return whether the host has closed an idle connection."""
    if connection.sock is None:
        return False
    readable, _, _ = select.select([connection.sock], [], [], 0)
    return bool(readable)


def _insert_statement(mark: str, session: str) -> dict[str, Any]:
    sql = "INSERT INTO marks (mark, session) VALUES (%s, %s)"
    return {"sql": sql, "args": [mark, session]}


def _read_count(reply: Reply, nonce: str) -> tuple[int, bool]:
    results = reply.body.get("results") or []
    if not results or not results[0]["rows"]:
        return -1, reply.outcome != "done"
    row = results[0]["rows"][0]
    return int(row[1]), row[0] == nonce
