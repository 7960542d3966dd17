from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

import pytest

from rosemarysaddle._clock import clock_ns
from rosemarysaddle.connection import (
    ConnectionPool,
    OpenFault,
    TargetConnection,
)
from rosemarysaddle.connection import _pool as pool_module
from rosemarysaddle.decide import (
    NS_PER_MS,
    Answer,
    ConnectionRequest,
    FaultCode,
    SessionVariables,
)
from rosemarysaddle.decide.load._queueing import (
    CONNECTIONS_PER_RESERVED,
    INITIAL_TRANSACTION_NS,
)
from rosemarysaddle.link import Address
from rosemarysaddle.platform import TargetLineCodec
from tests.session.standin import IP, StandInTarget

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine

PORT = 17_770
NO_VARIABLES = SessionVariables()


def _run_scenario(
    scenario: Callable[[ConnectionPool], Coroutine[None, None, None]],
    limit: int,
) -> StandInTarget:
    target = StandInTarget(name="t", port=PORT)

    async def run() -> None:
        await target.start()
        pool = ConnectionPool(
            target="t",
            group="g",
            address=Address(ip=IP, port=PORT),
            label="h",
            limit=limit,
            new_codec=TargetLineCodec,
            on_open_fault=lambda _: None,
        )
        try:
            await scenario(pool)
        finally:
            pool.close()
            target.stop()
            await asyncio.sleep(0)

    asyncio.run(run())
    return target


def _deadline_after_ms(delay_ms: int) -> int:
    return clock_ns() + delay_ms * NS_PER_MS


async def _acquire(
    pool: ConnectionPool,
    connection_request: ConnectionRequest,
    left_ms: int = 5_000,
) -> TargetConnection:
    found = await pool.acquire(
        NO_VARIABLES,
        deadline_ns=_deadline_after_ms(left_ms),
        connection_request=connection_request,
    )
    assert isinstance(found, TargetConnection)
    return found


def test_pool_reserves_a_connection_for_statements() -> None:
    async def scenario(pool: ConnectionPool) -> None:
        for _ in range(3):
            await _acquire(pool, ConnectionRequest(pinned=True))
        late = await pool.acquire(
            NO_VARIABLES,
            deadline_ns=_deadline_after_ms(40),
            connection_request=ConnectionRequest(pinned=True),
        )
        statement = await _acquire(pool, ConnectionRequest())
        assert isinstance(late, OpenFault)
        assert not statement.is_lost

    _run_scenario(scenario, 4)


def test_pool_serves_requests_by_priority() -> None:
    async def scenario(pool: ConnectionPool) -> None:
        held = await _acquire(pool, ConnectionRequest())
        order: list[int] = []

        async def use(priority: int) -> None:
            found = await _acquire(pool, ConnectionRequest(priority=priority))
            order.append(priority)
            pool.release(found)

        users = []
        for priority in (2, 2, 0, 1):
            users.append(asyncio.create_task(use(priority)))
            await asyncio.sleep(0)
        pool.release(held)
        await asyncio.gather(*users)
        assert order == [0, 1, 2, 2]

    _run_scenario(scenario, 1)


def test_pool_refuses_at_once_if_the_expected_wait_is_too_long() -> None:
    async def scenario(pool: ConnectionPool) -> None:
        await _acquire(pool, ConnectionRequest())
        pool._queue.mean_hold_ns = 60_000 * NS_PER_MS
        fault = await asyncio.wait_for(
            pool.acquire(NO_VARIABLES, deadline_ns=_deadline_after_ms(50_000)),
            10,
        )
        assert isinstance(fault, OpenFault)

    _run_scenario(scenario, 1)


def test_pool_frees_the_slot_of_a_lost_pinned_connection() -> None:
    async def scenario(pool: ConnectionPool) -> None:
        held = [
            await _acquire(pool, ConnectionRequest(pinned=True))
            for _ in range(3)
        ]
        held[0].abort()
        again = await _acquire(pool, ConnectionRequest(pinned=True))
        assert not again.is_lost

    _run_scenario(scenario, 4)


def test_pool_does_not_lose_a_connection_released_at_the_deadline() -> None:
    async def scenario(pool: ConnectionPool) -> None:
        loop = asyncio.get_running_loop()
        held = await _acquire(pool, ConnectionRequest())
        pool._queue.mean_hold_ns = 0
        waiter = asyncio.create_task(
            pool.acquire(NO_VARIABLES, deadline_ns=_deadline_after_ms(30))
        )
        await asyncio.sleep(0)

        def block_loop() -> None:
            # Make the release and the time-out of the waiter due in
            # the same iteration of the event loop.
            time.sleep(0.05)
            loop.call_soon(pool.release, held)

        loop.call_soon(block_loop)
        found = await waiter
        if isinstance(found, TargetConnection):
            pool.release(found)
        again = await _acquire(pool, ConnectionRequest())
        assert not again.is_lost

    _run_scenario(scenario, 1)


def test_pool_sends_fewer_statements_to_a_busy_target() -> None:
    async def scenario(pool: ConnectionPool) -> None:
        held = [await _acquire(pool, ConnectionRequest()) for _ in range(3)]
        for connection in held:
            connection.was_busy = True
            pool.release(connection)

        # The three refusals of one round trip take one of three away.
        taken = [await _acquire(pool, ConnectionRequest()) for _ in range(2)]
        waiting = asyncio.create_task(_acquire(pool, ConnectionRequest()))
        await asyncio.sleep(0.02)
        assert not waiting.done()
        pool.release(taken[0])
        assert not (await waiting).is_lost

    _run_scenario(scenario, 8)


def test_pool_reports_no_fault_of_a_target_for_a_late_request() -> None:
    faults: list[OpenFault] = []

    async def scenario(pool: ConnectionPool) -> None:
        pool.on_open_fault = faults.append
        found = await pool.acquire(
            NO_VARIABLES, deadline_ns=_deadline_after_ms(-1)
        )
        assert isinstance(found, OpenFault)

    _run_scenario(scenario, 4)

    assert faults == []


def test_pool_opens_a_connection_under_the_name_of_its_team() -> None:
    async def scenario(pool: ConnectionPool) -> None:
        pool.set_limit(4, uses_teams=True)
        for team in ("a", "b", "", "a"):
            found = await _acquire(pool, ConnectionRequest(team=team))
            pool.release(found)

    target = _run_scenario(scenario, 4)

    assert target.labels == {1: "a", 2: "b", 3: "h"}


def test_pool_replaces_an_idle_connection_at_the_limit() -> None:
    async def scenario(pool: ConnectionPool) -> None:
        pool.set_limit(2, uses_teams=True)
        for team in ("a", "b", "b", "c"):
            pool.release(await _acquire(pool, ConnectionRequest(team=team)))
        assert pool.opened == 2
        assert pool.replaced == 1
        # Team "a" sent the fewest requests, so it lost its connection.
        again = await _acquire(pool, ConnectionRequest(team="b"))
        assert not again.is_lost
        assert pool.opens == 3

    target = _run_scenario(scenario, 2)

    assert target.labels == {1: "a", 2: "b", 3: "c"}


def test_pool_passes_a_returned_connection_on_within_its_team() -> None:
    # Handing it to the first in the queue would mix teams.
    async def scenario(pool: ConnectionPool) -> None:
        pool.set_limit(1, uses_teams=True)
        held = await _acquire(pool, ConnectionRequest(team="a"))
        order: list[str] = []

        async def use(team: str) -> None:
            found = await _acquire(pool, ConnectionRequest(team=team))
            order.append(team)
            assert (found is held) == (team == "a")
            pool.release(found)

        first = asyncio.create_task(use("b"))
        await asyncio.sleep(0)
        second = asyncio.create_task(use("c"))
        await asyncio.sleep(0)
        pool.release(held)
        await asyncio.gather(first, second)
        assert order == ["b", "c"]

    target = _run_scenario(scenario, 1)

    assert target.labels == {1: "a", 2: "b", 3: "c"}


def test_pool_serves_statements_of_the_proxy_over_any_team() -> None:
    async def scenario(pool: ConnectionPool) -> None:
        pool.set_limit(4, uses_teams=True)
        pool.release(await _acquire(pool, ConnectionRequest(team="a")))
        found = await _acquire(pool, ConnectionRequest(any_team=True))
        pool.release(found)
        assert pool.opens == 1

    _run_scenario(scenario, 4)


def test_probe_leaves_no_connection_that_serves_no_team() -> None:
    async def scenario(pool: ConnectionPool) -> None:
        pool.set_limit(4, uses_teams=True)
        assert await pool.check()
        await pool.warm(1)
        assert pool.opened == 0

    _run_scenario(scenario, 4)


def test_pool_does_not_count_a_lost_connection_as_served() -> None:
    # A target that drops connections widened the window with each one.
    async def scenario(pool: ConnectionPool) -> None:
        held = [await _acquire(pool, ConnectionRequest()) for _ in range(3)]
        size = pool._queue.window.size
        mean_hold_ns = pool._queue.mean_hold_ns
        for connection in held:
            connection.abort()

        assert pool._queue.window.size == size
        assert pool._queue.window.running == 0
        assert pool._queue.mean_hold_ns == mean_hold_ns

    _run_scenario(scenario, 8)


def test_pool_refuses_with_the_time_after_which_to_retry() -> None:
    # A refusal by the queue named 200 ms, however long the queue was.
    async def scenario(pool: ConnectionPool) -> None:
        held = await _acquire(pool, ConnectionRequest())
        pool._queue.window.size = 1
        waiting = [
            asyncio.create_task(_acquire(pool, ConnectionRequest()))
            for _ in range(20)
        ]
        await asyncio.sleep(0)
        found = await pool.acquire(
            NO_VARIABLES, deadline_ns=_deadline_after_ms(100)
        )
        assert isinstance(found, OpenFault)
        # 21 statements of 30 ms, one after the other.
        assert 600 <= found.retry_after_ms <= 1_200
        assert pool.stats.refused == {(0, "wait"): 1}
        assert pool.waiting == {0: 20}
        pool.release(held)
        for task in waiting:
            pool.release(await task)
        assert pool.stats.waits[0].total == 20

    _run_scenario(scenario, 8)


def test_pool_measures_waits_with_and_without_teams() -> None:
    # Without the measure, 85 % of the refusals under full load came
    # after 300 ms or more.
    pool = ConnectionPool(
        target="t",
        group="g",
        address=Address(ip=IP, port=PORT),
        label="h",
        limit=8,
        slots=4,
        new_codec=TargetLineCodec,
        on_open_fault=lambda _: None,
    )
    waits_ns = {}
    for uses_teams in (False, True):
        pool.set_limit(8, uses_teams=uses_teams)
        waits_ns[uses_teams] = pool._queue.expected_wait_ns(
            ConnectionRequest(pinned=True), now_ns=0
        )

    assumed_ns = INITIAL_TRANSACTION_NS // (8 - 8 // CONNECTIONS_PER_RESERVED)
    assert waits_ns == {
        False: pytest.approx(assumed_ns, abs=1),
        True: pytest.approx(assumed_ns, abs=1),
    }


def test_statement_of_a_transaction_leaves_new_work_no_slot() -> None:
    # Statements of transactions do not wait, so new work that did not
    # count them met a target whose slots were all in use.
    async def scenario(pool: ConnectionPool) -> None:
        pinned = await _acquire(pool, ConnectionRequest(pinned=True))
        queue = pool._queue
        queue.window.set_bounds(1, 1)
        pinned.set_active(is_active=True)

        assert pool.running == 1
        assert not queue.may_acquire(ConnectionRequest())
        assert not queue.may_acquire(ConnectionRequest(pinned=True))

        waiting = asyncio.create_task(_acquire(pool, ConnectionRequest()))
        await asyncio.sleep(0)
        pinned.set_active(is_active=False)
        statement = await waiting

        assert pool.running == 1
        pool.release(statement)
        pool.release(pinned)
        assert pool.running == 0

    _run_scenario(scenario, limit=4)


def test_all_that_wait_for_an_unreachable_target_are_refused_at_once(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Only the request that made the opening learned that it failed; the
    # others waited for one opening after the other to time out.
    openings = []

    async def time_out(*args: object, **kwargs: object) -> Answer:
        openings.append((args, kwargs))
        await asyncio.sleep(0.01)
        return Answer(fault=FaultCode.TIMEOUT)

    monkeypatch.setattr(pool_module, "open_connection", time_out)

    async def scenario(pool: ConnectionPool) -> None:
        deadline_ns = _deadline_after_ms(60_000)
        found = await asyncio.gather(
            *(
                pool.acquire(NO_VARIABLES, deadline_ns=deadline_ns)
                for _ in range(5)
            )
        )
        assert {type(fault) for fault in found} == {OpenFault}
        assert len(openings) == 1

    _run_scenario(scenario, limit=4)
