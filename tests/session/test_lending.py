"""Tests of entry hosts that lend connections to one another."""

from __future__ import annotations

import asyncio
import json
from typing import TYPE_CHECKING, Any

import attrs

from rosemarysaddle._clock import clock_ns
from rosemarysaddle.connection import Lender, OpenFault
from rosemarysaddle.connection import _lender as lender_module
from rosemarysaddle.connection import _loans as loans_module
from rosemarysaddle.decide import (
    FaultCode,
    LenderRanking,
    PositionHistory,
    RouteTable,
)
from tests.session.standin import (
    IP,
    PLAN,
    StandInTarget,
    make_router,
    open_caller,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine

    import pytest

    from rosemarysaddle.decide import ConnectionRequest
    from tests.session.standin import Caller

PORT = 17_700
HOSTS = 4
# Three connections for four hosts, so one host has none of its own.
LIMIT = 3
TARGET_PORT = PORT + 50


@attrs.define(kw_only=True, eq=False)
class _Host:
    """Entry host with its lender."""

    router: Any
    lender: Lender
    server: asyncio.Server | None = None

    async def start(self, port: int) -> None:
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(self.lender.accept, IP, port)

    def stop(self) -> None:
        if self.server is not None:
            self.server.close()
        self.lender.close()
        self.router.loan_client.close()
        for pool in self.router.pools.values():
            pool.close()


def _address(number: int) -> str:
    return f"{IP}:{PORT + number}"


def _build_host(target: StandInTarget, number: int) -> _Host:
    router = make_router([target])
    plan = {**PLAN, "groups": [{"name": "g", "connection_limit": LIMIT}]}
    router.node.state.routes = RouteTable.of(json.dumps(plan))
    router.node.state.entry_hosts = HOSTS
    router.node.neighbours = tuple(_address(n) for n in range(HOSTS))
    router.loan_client.ranking = LenderRanking(own=_address(number))
    router.apply_view()
    lender = Lender(
        find_pool=router.own_pool, find_point=router.positions.find
    )
    return _Host(router=router, lender=lender)


@attrs.define(kw_only=True, eq=False)
class _DataCenter:
    target: StandInTarget
    hosts: list[_Host]

    @property
    def lender(self) -> int:
        ranking = self.hosts[0].router.loan_client.ranking
        address = ranking.lender(self.target.name, 0)
        return next(n for n in range(HOSTS) if _address(n) == address)

    @property
    def borrower(self) -> int:
        return next(n for n in range(HOSTS) if n != self.lender)

    async def caller(self, number: int) -> Caller:
        return await open_caller(self.hosts[number].router, "own")


def _run_scenario(
    scenario: Callable[[_DataCenter], Coroutine[None, None, None]],
    **faults: list[str],
) -> None:
    async def run() -> None:
        target = StandInTarget(name="t1", port=TARGET_PORT, faults=faults)
        await target.start()
        hosts = [_build_host(target, n) for n in range(HOSTS)]
        for number, host in enumerate(hosts):
            await host.start(PORT + number)
        try:
            await scenario(_DataCenter(target=target, hosts=hosts))
        finally:
            for host in hosts:
                host.stop()
            target.stop()
            await asyncio.sleep(0)

    asyncio.run(run())


def test_lending_serves_more_hosts_than_the_connection_limit() -> None:
    async def scenario(center: _DataCenter) -> None:
        for _ in range(3):
            for number in range(HOSTS):
                caller = await center.caller(number)
                assert await caller.query("WRITE 1 x") == "OK I"
        assert center.target.connections <= LIMIT

    _run_scenario(scenario)


def test_lending_shares_connections_between_transactions() -> None:
    async def scenario(center: _DataCenter) -> None:
        callers = [await center.caller(n) for n in range(HOSTS)]
        for text in ("BEGIN", "WRITE 1 x", "COMMIT"):
            for caller in callers[:2]:
                state = "I" if text == "COMMIT" else "T"
                assert await caller.query(text) == f"OK {state}"
        verbs = [text.split()[0] for text in center.target.texts]
        assert verbs.count("COMMIT") == 2
        assert center.target.connections <= LIMIT

    _run_scenario(scenario)


def test_lending_passes_on_the_setup_of_a_connection() -> None:
    async def scenario(center: _DataCenter) -> None:
        number = center.borrower
        first = await center.caller(number)
        await first.query("SET v 1")
        await first.query("READ 1")
        await first.query("READ 2")
        other = await center.caller(center.lender)
        await other.query("READ 3")
        kept = [t for t in center.target.texts if not t.startswith("SET")]
        assert center.target.texts.count("SET v 1") == 1
        assert kept == ["READ 1", "READ 2", "RESET", "READ 3"]

    _run_scenario(scenario)


def test_lending_aborts_a_transaction_whose_lender_stops() -> None:
    async def scenario(center: _DataCenter) -> None:
        caller = await center.caller(center.borrower)
        await caller.query("BEGIN")
        await caller.query("WRITE 1 x")
        center.hosts[center.lender].stop()
        await asyncio.sleep(0.02)
        assert await caller.query("COMMIT") == "ABORTED I"
        assert "COMMIT" not in center.target.texts

    _run_scenario(scenario)


def test_lending_skips_an_unreachable_lender() -> None:
    async def scenario(center: _DataCenter) -> None:
        center.hosts[center.lender].stop()
        caller = await center.caller(center.borrower)
        assert await caller.query("WRITE 1 x") == "OK I"

    _run_scenario(scenario)


def test_lending_does_not_repeat_a_write_whose_lender_is_lost() -> None:
    async def scenario(center: _DataCenter) -> None:
        caller = await center.caller(center.borrower)
        pending = asyncio.ensure_future(caller.query("WRITE 1 x"))
        for _ in range(400):
            if center.target.texts:
                break
            await asyncio.sleep(0.005)
        center.hosts[center.lender].lender.close()
        assert await pending == "UNSURE I"
        assert center.target.texts == ["WRITE 1 x"]

    _run_scenario(scenario, WRITE=["silent"])


def test_lender_ends_the_loan_of_a_silent_borrower(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(lender_module, "BORROWER_SILENCE_TIMEOUT_MS", 0)

    async def scenario(center: _DataCenter) -> None:
        caller = await center.caller(center.borrower)
        await caller.query("BEGIN")
        lender = center.hosts[center.lender].lender
        await caller.query("WRITE 1 x")
        lender.tick(2**62)
        assert lender.lent_count == 0
        await asyncio.sleep(0.02)
        assert await caller.query("COMMIT") == "ABORTED I"

    _run_scenario(scenario)


def test_borrower_skips_a_lender_that_does_not_answer(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(loans_module, "FIRST_ANSWER_TIMEOUT_MS", 20)

    async def scenario(center: _DataCenter) -> None:
        host = center.hosts[center.lender]
        host.lender.find_pool = lambda _: _hanging_pool()
        caller = await center.caller(center.borrower)
        assert await caller.query("WRITE 1 x") == "OK I"

    class _Hanging:
        has_idle = True

        async def acquire(self, *args: object, **kwargs: object) -> None:
            del args, kwargs
            await asyncio.sleep(1)

    def _hanging_pool() -> Any:
        return _Hanging()

    _run_scenario(scenario)


def test_lender_shares_the_position_of_a_primary() -> None:
    async def scenario(center: _DataCenter) -> None:
        callers = [
            await open_caller(host.router, "old") for host in center.hosts
        ]
        for host, caller in zip(center.hosts, callers, strict=True):
            await caller.query("READ 1")
            host.router.positions.refresh()
        for _ in range(400):
            if all(_knows_point(host) for host in center.hosts):
                break
            await asyncio.sleep(0.005)
        assert all(_knows_point(host) for host in center.hosts)
        assert center.target.texts.count("RESET") <= 1

    _run_scenario(scenario)


def _knows_point(host: _Host) -> bool:
    return host.router.positions.newest("g") is not None


def test_router_asks_a_busy_primary_for_its_position_once() -> None:
    async def scenario(center: _DataCenter) -> None:
        router = center.hosts[center.lender].router
        caller = await open_caller(router, "old")
        router.positions._needed_ns["g"] = 2**62
        router.positions._histories["g"] = PositionHistory()
        for _ in range(5):
            router.positions.refresh()
            await asyncio.sleep(0.02)
        assert center.target.texts.count("RESET") == 1
        assert await caller.query("READ 1") == "OK I"

    _run_scenario(
        scenario, RESET=["silent", "silent", "silent", "silent", "silent"]
    )


def test_host_without_a_list_waits_for_it_instead_of_connecting() -> None:
    async def scenario(center: _DataCenter) -> None:
        host = center.hosts[center.borrower]
        router = host.router
        # As after a restart, when the list has not arrived yet.
        router.loan_client.ranking.hosts = ()
        router.apply_view()
        connections = center.target.connections
        caller = await center.caller(center.borrower)

        answer = asyncio.create_task(caller.query("READ 1"))
        await asyncio.sleep(0.05)

        assert not answer.done()
        assert center.target.connections == connections
        router.loan_client.ranking.replace(router.node.neighbours)
        router.apply_view()
        assert await answer == "OK I"
        assert router.loan_client.borrowed_count == 0

    _run_scenario(scenario)


def test_replica_is_probed_over_the_lender() -> None:
    async def scenario(center: _DataCenter) -> None:
        lender = await center.caller(center.lender)
        await lender.query("READ 1")
        connections = center.target.connections
        router = center.hosts[center.borrower].router
        pool = router.pools[center.target.name]

        assert await pool.check_through_lender()

        assert center.target.connections == connections

    _run_scenario(scenario)


def test_refusal_of_a_lender_reaches_the_caller_with_its_time() -> None:
    # The time that the lender had measured was lost on the way.
    async def scenario(center: _DataCenter) -> None:
        caller = await center.caller(center.borrower)
        lender = center.hosts[center.lender]
        pool = lender.router.pools["t1"].own
        requests: list[ConnectionRequest] = []

        async def refuse(*_: object, **names: Any) -> OpenFault:
            requests.append(names["connection_request"])
            code = FaultCode.TOO_MANY_CONNECTIONS
            return OpenFault(code=code, peer="t1", retry_after_ms=1_234)

        refusing: Any = _Refusing(pool, refuse)
        lender.lender.find_pool = lambda _: refusing
        answer = await caller.ask("QUERY 5c WRITE 1 x")
        assert answer.startswith("ERROR BUSY")
        assert "retry-after-ms=1234" in answer
        # Another try before then would be refused as well.
        assert len(requests) == 1
        assert requests[0].deadline_ns > clock_ns()

    _run_scenario(scenario)


class _Refusing:
    """Pool that refuses each request."""

    def __init__(self, pool: Any, acquire: Any) -> None:
        self.serves_at_once = pool.serves_at_once
        self.acquire = acquire


def test_refusal_of_a_full_target_does_not_make_it_unreachable() -> None:
    # Each host probed a target that was only full, with openings that
    # took slots from statements.
    async def scenario(center: _DataCenter) -> None:
        router = center.hosts[center.borrower].router
        target_state = router.targets["t1"]
        for is_connected in (True, False):
            router.handle_refused_loan(
                OpenFault(
                    code=FaultCode.TIMEOUT, peer="t1", connected=is_connected
                )
            )
            assert target_state.is_unreachable is not is_connected

    _run_scenario(scenario)


def test_borrower_knows_that_it_waits_for_room_in_the_window(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # With an idle connection, but no room in the window, the lender
    # sent no answer.  It counted as lost, and another host lent its own
    # share of connections beside it.
    monkeypatch.setattr(loans_module, "FIRST_ANSWER_TIMEOUT_MS", 20)

    async def scenario(center: _DataCenter) -> None:
        lender = center.hosts[center.lender].router
        borrower = center.hosts[center.borrower].router
        caller = await center.caller(center.borrower)
        assert await caller.query("WRITE 1 x") == "OK I"
        window = lender.pools["t1"].own._queue.window
        running, window.running = window.running, 100
        write = asyncio.create_task(caller.query("WRITE 2 x"))
        await asyncio.sleep(0.06)
        window.running = running
        lender.pools["t1"].own._wake_one()

        assert await write == "OK I"
        assert not borrower.loan_client.ranking._down_until_ns

    _run_scenario(scenario)
