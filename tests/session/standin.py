"""Stand-ins of a target and of a caller for the tests of sessions."""

from __future__ import annotations

import asyncio
import contextlib
import json
from typing import TYPE_CHECKING, Any

import attrs

from rosemarysaddle._clock import clock_ns
from rosemarysaddle.decide import EntryNode, GroupTerm, RouteTable
from rosemarysaddle.decide.primaries._registry import TargetRecord
from rosemarysaddle.platform import CallerLineCodec, TargetLineCodec
from rosemarysaddle.session import CallerSession, Router
from tests.helpers import TEST_NETWORK

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

IP = f"{TEST_NETWORK}.1.1"
GROUP = "g"
ROUTE_TIMEOUT_MS = 400
_ROUTE = {
    "name": "r",
    "group": GROUP,
    "timeout_ms": ROUTE_TIMEOUT_MS,
    "max_attempts": 2,
}
ROUTES = [
    {**_ROUTE, "name": "p", "database": "own", "freshness": "primary"},
    {
        **_ROUTE,
        "database": "old",
        "freshness": "bounded_staleness",
        "max_staleness_ms": 1500,
    },
    {
        **_ROUTE,
        "name": "s",
        "database": "mine",
        "freshness": "read_your_writes",
        "max_staleness_ms": 1500,
    },
]
PLAN = {
    "version": 1,
    "groups": [{"name": GROUP, "connection_limit": 30}],
    "routes": ROUTES,
    "limits": {"transaction_idle_ms": 150},
}


@attrs.define(kw_only=True)
class StandInTarget:
    """Target that answers from a script of faults.

    :param faults: faults by verb, each used for one statement: a code
        to answer with, ``silent`` or ``drop``
    :param term: term of its log
    :param tells_position: whether its answers name its position
    :param received: received statements, each with the number of its
        connection
    :param connections: number of connections accepted so far
    :param labels: name given when each of them was opened, by number
    """

    name: str
    port: int
    role: str = "primary"
    term: int = 1
    position: int = 5
    tells_position: bool = True
    faults: dict[str, list[str]] = attrs.field(factory=dict)
    received: list[tuple[int, str]] = attrs.field(factory=list)
    connections: int = 0
    labels: dict[int, str] = attrs.field(factory=dict)
    _server: asyncio.Server | None = None

    async def start(self) -> None:
        """Start listening."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: _Connection(target=self), IP, self.port
        )

    def stop(self) -> None:
        """Stop listening."""
        if self._server is not None:
            self._server.close()

    @property
    def texts(self) -> list[str]:
        """Texts of the received statements."""
        return [text for _, text in self.received]


@attrs.define(kw_only=True, eq=False)
class _Connection(asyncio.Protocol):
    target: StandInTarget
    number: int = 0
    state: str = "I"
    transport: Any = None

    def connection_made(self, transport: Any) -> None:
        self.transport = transport
        self.target.connections += 1
        self.number = self.target.connections

    def data_received(self, data: bytes) -> None:
        for line in data.decode().split("\r\n")[:-1]:
            self._answer(line)

    def _answer(self, line: str) -> None:
        command, _, rest = line.partition(" ")
        if command == "START":
            self.target.labels[self.number] = rest.split(" ")[1]
            self._send("")
            return
        text = rest.partition(" ")[2]
        if text.startswith("AFTER "):
            text = text.split(" ", 2)[2]
        self.target.received.append((self.number, text))
        verb = text.partition(" ")[0]
        script = self.target.faults.get(verb, [])
        fault = script.pop(0) if script else ""
        if fault == "drop":
            self.transport.abort()
        elif fault and fault != "silent":
            if self.state == "T" and fault != "BUSY":
                self.state = "E"
            self._send(f"ERROR {fault} {self.target.name}\r\n")
        elif not fault:
            self._run(verb)

    def _run(self, verb: str) -> None:
        if verb == "BEGIN":
            self.state = "T"
        if verb in {"COMMIT", "ROLLBACK"}:
            self.state = "I"
        if verb in {"COMMIT", "WRITE"}:
            self.target.position += 1
        row = "ROW x\r\n" if verb in {"READ", "EXECUTE"} else ""
        self._send(f"{row}DONE {self.target.name}.{verb}\r\n")

    def _send(self, text: str) -> None:
        point = f"{self.target.term}.{self.target.position}"
        if not self.target.tells_position:
            point = "-"
        ready = f"READY {self.state} {point}\r\n"
        self.transport.write((text + ready).encode())


@attrs.define(kw_only=True, eq=False)
class Caller:
    """Caller connected to a session without a socket."""

    session: CallerSession
    opening: str = ""
    _sent: list[bytes] = attrs.field(factory=list)
    is_closed: bool = False

    def write(self, data: bytes) -> None:
        """Collect what the session writes."""
        self._sent.append(data)

    def close(self) -> None:
        """Record that the session closed the connection."""
        self.is_closed = True

    def get_extra_info(self, name: str) -> Any:
        """Return the address of the caller."""
        return (IP, 9) if name == "peername" else None

    async def ask(self, line: str) -> str:
        """Send one line and wait for the answer."""
        self._sent.clear()
        self.session.data_received(f"{line}\r\n".encode())
        for _ in range(400):
            text = b"".join(self._sent).decode()
            if "READY" in text or "ERROR" in text:
                return " ".join(text.split("\r\n")).strip()
            await asyncio.sleep(0.005)
        return "nothing"

    async def query(self, text: str) -> str:
        """Send a statement.

        :return: ``OK`` or the error code, and the session's state
        """
        answer = await self.ask(f"QUERY 5c {text}")
        tokens = answer.split()
        code = tokens[1] if tokens[0] == "ERROR" else tokens[0]
        state = tokens[tokens.index("READY") + 1] if "READY" in tokens else "-"
        return f"{'OK' if code in {'DONE', 'ROW'} else code} {state}"


def make_router(targets: list[StandInTarget]) -> Router:
    """Create the router of an entry host that holds a lease."""
    node = EntryNode(host="e", data_center="dc", address="", control=["c"])
    state = node.state
    state.routes = RouteTable.of(json.dumps(PLAN))
    state.entry_hosts = 1
    for target in targets:
        state.targets.put(
            TargetRecord(
                target=target.name,
                group=GROUP,
                address=f"{IP}:{target.port}",
                data_center="dc",
                slots=4,
                incarnation_ms=1,
                leaving=False,
            )
        )
    state.terms[GROUP] = GroupTerm(
        term=1, primary=targets[0].name, is_open=True, is_serving=True
    )
    node.lease.deadline_ns = clock_ns() + 60_000_000_000
    node.view_confirmed_ns = node.lease.deadline_ns
    node.ready = True
    return Router(
        node=node, label="e", new_codec=TargetLineCodec, send=lambda _: None
    )


@contextlib.asynccontextmanager
async def run_router(targets: list[StandInTarget]) -> AsyncIterator[Router]:
    """Run targets and the router of a host that holds a lease."""
    for target in targets:
        await target.start()
    router = make_router(targets)
    router.apply_view()
    try:
        yield router
    finally:
        for pool in router.pools.values():
            pool.close()
        for target in targets:
            target.stop()
        await asyncio.sleep(0)


async def open_caller(
    router: Router, database: str, key: str = "u1"
) -> Caller:
    """Open a session on a database."""
    session = CallerSession(
        codec=CallerLineCodec(), router=router, on_end=lambda _: None
    )
    caller = Caller(session=session)
    session._transport = caller  # type: ignore[assignment]
    caller.opening = await caller.ask(f"START {database} {key}")
    return caller
