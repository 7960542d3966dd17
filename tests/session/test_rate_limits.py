"""Tests of rate limits over several hosts and real connections."""

from __future__ import annotations

import asyncio
import json
from typing import TYPE_CHECKING, Any

import attrs

from rosemarysaddle._clock import NS_PER_S, clock_ns
from rosemarysaddle.connection import Lender
from rosemarysaddle.decide import (
    EntryNode,
    LimitSettings,
    Reason,
    Refusal,
    RouteTable,
    Step,
)
from rosemarysaddle.platform import TargetLineCodec
from rosemarysaddle.session import Router
from rosemarysaddle.session._rate_limits import NO_TOKEN
from tests.session.limit_hosts import fake_network
from tests.session.standin import IP, PLAN

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine

PORT = 17_900
HOSTS = 3
TEAM = "t"
SETTINGS = LimitSettings(
    window_ns=5 * NS_PER_S,
    overage=0.1,
    slack=20,
)


def _address(number: int) -> str:
    return f"{IP}:{PORT + number}"


@attrs.define(kw_only=True, eq=False)
class _Host:
    """Entry host that answers requests for tokens."""

    router: Router
    lender: Lender
    server: asyncio.Server

    def stop(self) -> None:
        self.server.close()
        self.lender.close()
        self.router.rate_limits.close()


async def _start_host(
    number: int, team: dict[str, Any], *, centers: int
) -> _Host:
    names = tuple(f"d{n}" for n in range(centers))
    center = names[number % centers]
    by_center: dict[str, list[str]] = {name: [] for name in names}
    for other in range(HOSTS):
        by_center[names[other % centers]].append(_address(other))
    node = EntryNode(
        host=f"e{number}",
        data_center=center,
        address="",
        control=["c"],
        lending_address=_address(number),
    )
    node.state.routes = RouteTable.of(json.dumps({**PLAN, "teams": [team]}))
    node.lease.deadline_ns = clock_ns() + 60 * NS_PER_S
    node.neighbours = tuple(by_center.pop(center))
    node.remote_hosts = {n: tuple(a) for n, a in by_center.items()}
    router = Router(
        node=node,
        label="e",
        new_codec=TargetLineCodec,
        send=lambda _: None,
        limit_settings=attrs.evolve(
            SETTINGS, data_center=center, data_centers=names
        ),
    )
    limits = router.rate_limits
    limits.tick(clock_ns())
    router.apply_view()
    lender = Lender(
        find_pool=router.own_pool,
        find_point=router.positions.find,
        on_token_request=limits.handle_request,
    )
    loop = asyncio.get_running_loop()
    server = await loop.create_server(lender.accept, IP, PORT + number)
    return _Host(router=router, lender=lender, server=server)


def _run_scenario(
    scenario: Callable[[list[_Host]], Coroutine[None, None, None]],
    *,
    centers: int = 1,
    **team: float,
) -> None:
    async def run() -> None:
        plan_team = {"name": TEAM, "api_keys": ["k"], **team}
        hosts = [
            await _start_host(n, plan_team, centers=centers)
            for n in range(HOSTS)
        ]
        try:
            await scenario(hosts)
        finally:
            for host in hosts:
                host.stop()
            await asyncio.sleep(0)

    asyncio.run(run())


def _counting_host(hosts: list[_Host]) -> int:
    ranking = hosts[0].router.rate_limits.counter.hosts.ranking(TEAM)
    return next(n for n in range(HOSTS) if _address(n) == ranking[0])


def test_hosts_share_one_limit() -> None:
    # Guards against hosts that each grant the whole limit.
    rate_per_s, burst_size = 400, 90

    async def scenario(hosts: list[_Host]) -> None:
        await asyncio.sleep(0.3)
        start_ns = clock_ns()
        asked = [
            host.router.admit_operation(TEAM)
            for _ in range(100)
            for host in hosts
        ]
        results = await asyncio.gather(*asked)
        refusals = [r for r in results if isinstance(r, Refusal)]
        elapsed_s = (clock_ns() - start_ns) / NS_PER_S
        admitted = 300 - len(refusals)
        # A busy machine takes longer, and more tokens accrue meanwhile.
        assert 60 <= admitted <= burst_size + rate_per_s * elapsed_s
        assert {(r.reason, r.step, r.peer) for r in refusals} == {
            (Reason.RATE_LIMITED, Step.ADMIT, TEAM)
        }

    _run_scenario(scenario, rate_per_s=rate_per_s, burst_size=burst_size)


def test_hosts_grant_the_limit_at_once_and_name_the_wait() -> None:
    # Guards against hosts that each grant the whole limit, and against
    # a wait that is not that for the next token.
    with fake_network(
        centers=1, hosts_per_center=HOSTS, rate_per_s=400, burst_size=90
    ) as network:
        network.settle(0)
        for _ in range(100):
            for host in network.hosts.values():
                network.operate(host)
        network.loop.sleep(0.2)

        assert 60 <= len(network.admitted) <= 110
        assert len(network.refusals) == 300 - len(network.admitted)
        waits_ms = {r.retry_after_ms for r in network.refusals}
        assert min(waits_ms) > 0
        assert max(waits_ms) <= 10


def test_requests_of_one_turn_share_one_message() -> None:
    # Guards against one message for each operation of a busy host.
    async def scenario(hosts: list[_Host]) -> None:
        await asyncio.sleep(0.3)
        number = (_counting_host(hosts) + 1) % HOSTS
        limits = hosts[number].router.rate_limits
        results = await asyncio.gather(
            *(limits.admit(TEAM) for _ in range(50))
        )
        assert not any(isinstance(r, Refusal) for r in results)
        assert limits.links.requests <= 2

    _run_scenario(scenario, rate_per_s=400, burst_size=100)


def test_refused_team_is_not_asked_for_at_each_operation() -> None:
    # Guards against a flood of requests while a team is over its limit.
    async def scenario(hosts: list[_Host]) -> None:
        number = (_counting_host(hosts) + 1) % HOSTS
        limits = hosts[number].router.rate_limits
        for _ in range(200):
            assert isinstance(await limits.admit(TEAM), Refusal)
        assert limits.links.requests <= 2
        # No refusal blames a host that answers.
        assert set(limits.stats.refused) == {"limit"}
        assert limits.refused_teams == 1

    _run_scenario(scenario, rate_per_s=0, burst_size=100)


def test_operation_is_answered_while_the_counting_host_is_lost() -> None:
    # Guards against operations that wait for a host that is gone.
    async def scenario(hosts: list[_Host]) -> None:
        counting = _counting_host(hosts)
        hosts[counting].stop()
        limits = hosts[(counting + 1) % HOSTS].router.rate_limits
        start_ns = clock_ns()
        refusal = await limits.admit(TEAM)
        assert isinstance(refusal, Refusal)
        assert clock_ns() - start_ns < NS_PER_S // 4
        assert limits.links.lost_hosts == 1

    _run_scenario(scenario, rate_per_s=400, burst_size=100)


def test_tokens_of_another_data_centre_are_used() -> None:
    # Guards against a team that gets the share of one data centre only.
    async def scenario(hosts: list[_Host]) -> None:
        await asyncio.sleep(0.5)
        limits = hosts[0].router.rate_limits
        results = [limits.admit(TEAM) for _ in range(90)]
        for result in await asyncio.gather(*results):
            assert not isinstance(result, Refusal)
        # The counting host depends on the addresses of the test run.
        all_stats = [host.router.rate_limits.stats for host in hosts]
        assert sum(s.transferred["received"] for s in all_stats) >= 30

    _run_scenario(scenario, centers=2, rate_per_s=400, burst_size=100)


def test_team_without_limit_is_admitted() -> None:
    # Guards against limits where the plan has none.
    async def scenario(hosts: list[_Host]) -> None:
        assert await hosts[0].router.admit_operation(TEAM) == NO_TOKEN
        assert await hosts[0].router.admit_operation("") == NO_TOKEN
        assert hosts[0].router.rate_limits.stats.granted == 0

    _run_scenario(scenario)
