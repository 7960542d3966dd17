"""Tests of hosts that lend connections of teams to all data centres."""

from __future__ import annotations

import asyncio
import collections
import json
import random
from typing import TYPE_CHECKING, Any

import attrs

from rosemarysaddle._clock import clock_ns
from rosemarysaddle.connection import Lender, OpenFault, TargetConnection
from rosemarysaddle.connection import _loans as loans_module
from rosemarysaddle.decide import (
    NS_PER_MS,
    ConnectionRequest,
    FaultCode,
    LenderRanking,
    RouteTable,
    SessionVariables,
)
from tests.session.standin import (
    IP,
    PLAN,
    ROUTES,
    Caller,
    StandInTarget,
    make_router,
    open_caller,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine

    import pytest

PORT = 17_840
TARGET_PORT = PORT + 50
LIMIT = 12
# The target is in the data centre of the first two hosts.
CENTERS = ("dc", "dc", "other", "other")
# Codes of refusals after which the whole operation may be run again.
PROMISES = {"BUSY", "ABORTED"}
# A statement that was sent has an unknown outcome at its time-out, and
# the machine of a test run may be busy.
TIMEOUT_MS = 5_000
# Time within which an operation has to be served.
RETRY_MS = 20_000
TEAMS = [
    {"name": f"team{n}", "api_keys": [f"key-{n:02d}-0123456789"]}
    for n in range(9)
]


def _address(number: int) -> str:
    return f"{IP}:{PORT + number}"


def _addresses(center: str) -> tuple[str, ...]:
    return tuple(_address(n) for n, c in enumerate(CENTERS) if c == center)


@attrs.define(kw_only=True, eq=False)
class _Host:
    router: Any
    lender: Lender
    server: asyncio.Server | None = None

    async def acquire(
        self, team: str, wait_ms: int = 2_000
    ) -> TargetConnection | OpenFault:
        found: TargetConnection | OpenFault = await self.router.pools[
            "t1"
        ].acquire(
            SessionVariables(),
            deadline_ns=clock_ns() + wait_ms * NS_PER_MS,
            connection_request=ConnectionRequest(team=team),
        )
        return found

    async def use(self, team: str) -> None:
        found = await self.acquire(team)
        assert isinstance(found, TargetConnection)
        self.router.pools["t1"].release(found)
        # The lender has the connection back once it read the return.
        await asyncio.sleep(0.01)

    @property
    def pool(self) -> Any:
        return self.router.pools["t1"].own

    def stop(self) -> None:
        if self.server is not None:
            self.server.close()
        self.lender.close()
        self.router.loan_client.close()
        self.router.pools["t1"].close()


def _build_host(target: StandInTarget, number: int) -> _Host:
    router = make_router([target])
    node = router.node
    plan = {
        **PLAN,
        "routes": [{**r, "timeout_ms": TIMEOUT_MS} for r in ROUTES],
        "groups": [{"name": "g", "connection_limit": LIMIT}],
        "teams": TEAMS,
        # A caller of these tests may pause for more than 150 ms between
        # two statements on a busy machine.
        "limits": {"transaction_idle_ms": 3_000},
    }
    node.state.routes = RouteTable.of(json.dumps(plan))
    node.state.entry_hosts = len(CENTERS)
    node.data_center = CENTERS[number]
    node.lending_address = _address(number)
    node.neighbours = _addresses(CENTERS[number])
    node.remote_hosts = {
        center: _addresses(center)
        for center in set(CENTERS) - {CENTERS[number]}
    }
    router.loan_client.ranking = LenderRanking(
        own=_address(number), data_center=CENTERS[number]
    )
    router.apply_view()
    lender = Lender(
        find_pool=router.own_pool, find_point=router.positions.find
    )
    return _Host(router=router, lender=lender)


@attrs.define(kw_only=True, eq=False)
class _Fleet:
    target: StandInTarget
    hosts: list[_Host]

    @property
    def lender(self) -> _Host:
        found = {h.router.pools["t1"].lender for h in self.hosts}
        assert len(found) == 1
        return self.hosts[int(found.pop().rpartition(":")[2]) - PORT]

    @property
    def local_stand_in(self) -> _Host:
        return next(h for h in self.hosts[:2] if h is not self.lender)


def _run_scenario(
    scenario: Callable[[_Fleet], Coroutine[None, None, None]],
) -> None:
    async def run() -> None:
        target = StandInTarget(name="t1", port=TARGET_PORT)
        await target.start()
        hosts = [_build_host(target, n) for n in range(len(CENTERS))]
        loop = asyncio.get_running_loop()
        for number, host in enumerate(hosts):
            host.server = await loop.create_server(
                host.lender.accept, IP, PORT + number
            )
        try:
            await scenario(_Fleet(target=target, hosts=hosts))
        finally:
            for host in hosts:
                host.stop()
            target.stop()
            await asyncio.sleep(0)

    asyncio.run(run())


def test_hosts_of_all_data_centers_share_a_teams_connection() -> None:
    # A lender in each data centre would open one for each of them.
    async def scenario(fleet: _Fleet) -> None:
        for team in ("a", "b"):
            for host in fleet.hosts:
                await host.use(team)

        assert fleet.target.labels == {1: "a", 2: "b"}
        assert fleet.lender.pool.opened == 2

    _run_scenario(scenario)


def test_lender_leaves_connections_to_the_other_data_center() -> None:
    async def scenario(fleet: _Fleet) -> None:
        limits = [host.pool.limit for host in fleet.hosts]
        stand_in = fleet.local_stand_in.pool.limit

        assert fleet.lender.pool.limit == 8
        assert limits[2:] == [2, 2]
        assert stand_in == 2
        assert 8 + 2 + stand_in <= LIMIT
        assert fleet.lender.pool._queue.window.min_size == 8

    _run_scenario(scenario)


def test_unreachable_data_center_is_replaced_and_tried_again(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(loans_module, "REMOTE_CONNECT_TIMEOUT_MS", 20)

    async def scenario(fleet: _Fleet) -> None:
        remote, near = fleet.hosts[3], fleet.hosts[:2]
        for host in near:
            assert host.server is not None
            host.server.close()
            host.lender.close()

        await remote.use("a")

        lender = remote.router.pools["t1"].lender
        assert lender in _addresses("other")
        opened = [h.pool.opened for h in fleet.hosts[2:]]
        assert sum(opened) == 1
        # The lenders are back: the next trial uses them again.
        loop = asyncio.get_running_loop()
        for number, host in enumerate(near):
            host.server = await loop.create_server(
                host.lender.accept, IP, PORT + number
            )
        ranking = remote.router.loan_client.ranking
        ranking._center_trial_ns["dc"] = 0
        ranking._down_until_ns.clear()
        await remote.use("a")
        assert remote.router.pools["t1"].lender in _addresses("dc")

    _run_scenario(scenario)


def test_lender_that_cannot_connect_is_passed_over_for_the_target() -> None:
    async def scenario(fleet: _Fleet) -> None:
        lender, remote = fleet.lender, fleet.hosts[2]
        stand_in = fleet.local_stand_in
        # Nothing listens there: the lender is cut off from the target.
        lender.pool.address = attrs.evolve(
            lender.pool.address, port=TARGET_PORT + 1
        )

        for host in (remote, lender):
            await host.use("a")

        assert stand_in.pool.opened == 1
        assert fleet.target.labels == {1: "a"}

    _run_scenario(scenario)


def test_target_that_two_lenders_cannot_reach_is_refused() -> None:
    # Asking all in turn would open a connection from each host.
    async def scenario(fleet: _Fleet) -> None:
        for host in fleet.hosts:
            host.pool.address = attrs.evolve(
                host.pool.address, port=TARGET_PORT + 1
            )

        found = await fleet.hosts[2].acquire("a")

        assert isinstance(found, OpenFault)
        assert found.code is FaultCode.LOST
        near = fleet.hosts[:2]
        assert sorted(host.pool.failed_opens for host in near) == [1, 1]
        assert fleet.hosts[3].pool.failed_opens == 0

    _run_scenario(scenario)


def test_host_that_knows_no_other_data_center_lends_within_its_own() -> None:
    async def scenario(fleet: _Fleet) -> None:
        router = fleet.hosts[2].router
        router.node.remote_hosts = {}
        router.apply_view()

        pool = router.pools["t1"]

        assert pool.lender in _addresses("other")
        assert pool.own.limit == LIMIT * 0.9 // 4

    _run_scenario(scenario)


async def _run_operation(caller: Caller, texts: list[str]) -> bool:
    """Run the statements of one operation.

    :return: whether they ran; False after a refusal that promises that
        nothing is kept
    """
    for text in texts:
        answer = await caller.query(text)
        code, state = answer.split()
        if code != "OK":
            assert code in PROMISES, answer
            if state != "I":
                assert (await caller.query("ROLLBACK")).startswith("OK")
            return False
    return True


def test_statements_of_callers_run_under_their_team_when_a_lender_ends() -> (
    None
):
    # More teams than connections, transactions among the statements,
    # and a lender that is gone halfway.  On a busy machine statements
    # may be refused; their callers try again.
    async def scenario(fleet: _Fleet) -> None:
        numbers = random.Random(3)  # noqa: S311
        plain: list[str] = []

        async def run(number: int) -> None:
            team = min(len(TEAMS), int(numbers.paretovariate(0.8))) - 1
            host = fleet.hosts[numbers.choice([2, 3])]
            key = str(TEAMS[team]["api_keys"][0])
            caller = await open_caller(host.router, "own", key)
            write = f"WRITE {number} team{team}"
            is_transaction = numbers.random() < 0.3
            texts = ["BEGIN", write, "COMMIT"] if is_transaction else [write]
            if not is_transaction:
                plain.append(write)
            until_ns = clock_ns() + RETRY_MS * NS_PER_MS
            while not await _run_operation(caller, texts):
                assert clock_ns() < until_ns
                await asyncio.sleep(0.1)

        lender, stand_in = fleet.lender, fleet.local_stand_in
        tasks = []
        for number in range(200):
            tasks.append(asyncio.create_task(run(number)))
            await asyncio.sleep(0.004)
            if number == 100:
                await asyncio.gather(*tasks)
                lender.stop()
        await asyncio.gather(*tasks)

        labels = fleet.target.labels
        for number, text in fleet.target.received:
            if text.startswith("WRITE"):
                assert labels[number] == text.split()[2]
        # No refused statement was run.
        received = collections.Counter(fleet.target.texts)
        assert {received[text] for text in plain} == {1}
        assert lender.pool.replaced > 0
        assert 0 < stand_in.pool.opened <= stand_in.pool.limit

    _run_scenario(scenario)
