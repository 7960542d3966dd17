"""Property test of a pool whose connections serve one team each."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any
from unittest import mock

import attrs
from hypothesis import given, settings
from hypothesis import strategies as st

from rosemarysaddle._clock import clock_ns
from rosemarysaddle.connection import (
    ConnectionPool,
    TargetConnection,
)
from rosemarysaddle.connection import _pool as pool_module
from rosemarysaddle.decide import (
    NS_PER_MS,
    Answer,
    ConnectionRequest,
    FaultCode,
    SessionState,
    SessionVariables,
)
from rosemarysaddle.link import Address

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine, Iterable

LONG_MS = 1_000_000
DONE = Answer()
LOST = Answer(fault=FaultCode.LOST, state=SessionState.FAILED)
FULL = Answer(fault=FaultCode.TOO_MANY_CONNECTIONS, state=SessionState.FAILED)
TEAMS = ("a", "b", "c", "")
REQUESTS = st.builds(
    ConnectionRequest,
    team=st.sampled_from(TEAMS),
    pinned=st.booleans(),
    priority=st.integers(0, 1),
) | st.just(ConnectionRequest(any_team=True))
STEPS = st.lists(
    st.tuples(st.just("request"), REQUESTS)
    | st.tuples(st.sampled_from(["return", "lose"]), st.integers(0, 9))
    | st.tuples(st.just("open"), st.sampled_from([DONE, LOST, FULL]))
    | st.tuples(st.just("limit"), st.integers(1, 6)),
    max_size=60,
)


class _Codec:
    def encode_open(self, *, group: str, label: str, target: str) -> bytes:
        del group, target
        return label.encode()


class _Channel:
    def abort(self) -> None:
        pass


@attrs.define(kw_only=True, eq=False)
class _Run:
    """Pool with scripted openings, and the requests that use it."""

    pool: ConnectionPool
    labels: dict[TargetConnection, str] = attrs.field(factory=dict)
    openings: list[asyncio.Future[Answer]] = attrs.field(factory=list)
    used: list[TargetConnection] = attrs.field(factory=list)
    tasks: list[asyncio.Task[None]] = attrs.field(factory=list)

    async def open_connection(
        self, connection: Any, _: Address, opening: bytes, **__: int
    ) -> Answer:
        connections = self.pool._connections
        assert connections.opened + connections.opening <= self.pool.limit
        self.labels[connection] = opening.decode()
        scripted = asyncio.get_running_loop().create_future()
        self.openings.append(scripted)
        answer: Answer = await scripted
        if answer is DONE:
            connection._transport = _Channel()
        return answer

    async def request(self, request: ConnectionRequest) -> None:
        found = await self.pool.acquire(
            SessionVariables(),
            deadline_ns=clock_ns() + LONG_MS * NS_PER_MS,
            connection_request=request,
        )
        if isinstance(found, TargetConnection):
            if not request.any_team:
                assert self.labels[found] == (request.team or "h")
            assert found not in self.used
            self.used.append(found)

    def step(self, name: str, value: Any) -> None:
        if name == "request":
            self.tasks.append(asyncio.create_task(self.request(value)))
        elif name == "limit":
            self.pool.set_limit(value, uses_teams=True)
        elif name == "open" and self.openings:
            self.openings.pop(0).set_result(value)
        elif self.used and name == "return":
            self.pool.release(self.used.pop(value % len(self.used)))
        elif self.used and name == "lose":
            self.used.pop(value % len(self.used)).abort()

    async def settle(self) -> None:
        for _ in range(6):
            await asyncio.sleep(0)

    def check_no_needless_wait(self) -> None:
        connections = self.pool._connections
        if connections.opening or not connections.idle:
            return
        if connections.opened > connections._limit_at(clock_ns()):
            return
        for waiter in self.pool._queue.waiters:
            request = waiter.connection_request
            assert not (
                self.pool._queue.may_acquire(request)
                and connections.may_take(request)
            )

    async def play(self, steps: Iterable[tuple[str, Any]]) -> None:
        for name, value in steps:
            self.step(name, value)
            await self.settle()
            self.check_no_needless_wait()
        for _ in range(20 * len(self.tasks) + 1):
            self.step("open", DONE)
            self.step("return", 0)
            await self.settle()
        assert all(task.done() for task in self.tasks)
        await asyncio.gather(*self.tasks)


def _play(
    limit: int,
    slots: int,
    scenario: Callable[[_Run], Coroutine[None, None, None]],
) -> None:
    async def run() -> None:
        pool = ConnectionPool(
            target="t",
            group="g",
            address=Address(ip="", port=0),
            label="h",
            limit=limit,
            slots=slots,
            new_codec=_Codec,  # type: ignore[arg-type]
            on_open_fault=lambda _: None,
        )
        pool.set_limit(limit, uses_teams=True)
        scripted = _Run(pool=pool)
        with mock.patch.object(
            pool_module, "open_connection", scripted.open_connection
        ):
            await scenario(scripted)

    asyncio.run(run())


@settings(max_examples=150, deadline=None)
@given(limit=st.integers(1, 6), slots=st.integers(0, 6), steps=STEPS)
def test_pool_keeps_teams_apart_and_serves_all_of_them(
    limit: int, slots: int, steps: list[tuple[str, Any]]
) -> None:
    _play(limit, slots, lambda scripted: scripted.play(steps))


def test_pool_of_a_full_target_replaces_instead_of_failing() -> None:
    # A host that lost power still holds connections for some seconds;
    # the lender that follows it refused requests meanwhile.
    async def scenario(scripted: _Run) -> None:
        await scripted.play([("request", ConnectionRequest(team="a"))])
        scripted.step("request", ConnectionRequest(team="b"))
        await scripted.settle()
        scripted.step("open", FULL)
        await scripted.settle()
        scripted.step("open", DONE)
        await scripted.settle()

        assert [scripted.labels[c] for c in scripted.used] == ["b"]
        assert scripted.pool.replaced == 1
        assert scripted.pool.opened == 1

    _play(4, 4, scenario)
