"""Statements of a host that has no path to the control leader."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import pytest

from rosemarysaddle._clock import clock_ns
from rosemarysaddle.decide import EntryNode
from rosemarysaddle.schema import LeaseRefusal
from tests.helpers import NS_PER_MS
from tests.session.standin import StandInTarget, open_caller, run_router

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine

    from rosemarysaddle.session import Router

PORT = 17_690


def _lose_leader(router: Router, spent_ms: int) -> None:
    now_ns = clock_ns()
    router.node.last_leader = "c"
    router.node.lease.deadline_ns = now_ns
    router.node.unanswered_since_ns = now_ns - spent_ms * NS_PER_MS


def _run(scenario: Callable[[Router], Coroutine[None, None, None]]) -> None:
    async def run() -> None:
        target = StandInTarget(name="t1", port=PORT)
        async with run_router([target]) as router:
            await scenario(router)

    asyncio.run(run())


@pytest.mark.parametrize(
    "texts", [["WRITE 1 x"], ["READ 1"], ["BEGIN", "WRITE 1 x"]]
)
def test_statement_is_refused_at_once_without_a_path_to_the_leader(
    texts: list[str],
) -> None:
    # Each of 1,246 statements was held for 600 ms before its refusal.
    async def scenario(router: Router) -> None:
        caller = await open_caller(router, "own")
        _lose_leader(router, 5_000)
        begun_ns = clock_ns()
        for text in texts:
            answer = await caller.ask(f"QUERY 5c {text}")

        assert clock_ns() - begun_ns < 100 * NS_PER_MS
        assert answer.startswith(("ERROR BUSY", "ERROR ABORTED"))
        assert "retry-after-ms=2000" in answer

    _run(scenario)


def test_statement_waits_while_a_lease_may_come_soon() -> None:
    # A change of primary or a short loss usually ends within the wait.
    async def scenario(router: Router) -> None:
        caller = await open_caller(router, "own")
        _lose_leader(router, 400)
        answer = asyncio.create_task(caller.query("WRITE 1 x"))
        await asyncio.sleep(0.1)
        assert not answer.done()

        router.node.unanswered_since_ns = 0
        router.node.lease.deadline_ns = clock_ns() + 60_000 * NS_PER_MS
        router.notify_waiters()
        assert await answer == "OK I"

    _run(scenario)


def test_stale_read_is_served_without_a_path_to_the_leader() -> None:
    # What needs no lease must not be refused with the rest.
    async def scenario(router: Router) -> None:
        own = await open_caller(router, "own")
        await own.query("WRITE 1 x")
        caller = await open_caller(router, "old")
        _lose_leader(router, 5_000)

        assert await caller.query("READ 1") == "OK I"

    _run(scenario)


def test_stale_read_waits_for_a_target_without_a_path_to_the_leader() -> None:
    # A target that is down for a moment is no reason to refuse what a
    # lease would not help.
    async def scenario(router: Router) -> None:
        own = await open_caller(router, "own")
        await own.query("WRITE 1 x")
        caller = await open_caller(router, "old")
        _lose_leader(router, 5_000)
        router.targets["t1"].is_unreachable = True
        answer = asyncio.create_task(caller.query("READ 1"))
        await asyncio.sleep(0.05)
        assert not answer.done()

        router.targets["t1"].is_unreachable = False
        router.notify_waiters()
        assert await answer == "OK I"

    _run(scenario)


@pytest.mark.parametrize(
    ("leader", "spent_ms", "retry_ms"),
    [
        pytest.param(None, 1_000, 0, id="neighbours-not-asked-yet"),
        pytest.param(None, 3_000, 1_500, id="no-answer"),
        pytest.param("", 3_000, 0, id="election"),
        pytest.param("", 7_000, 2_000, id="no-quorum"),
        pytest.param("b", 3_000, 0, id="other-leader"),
        pytest.param("a", 3_000, 1_500, id="unreachable-leader"),
    ],
)
def test_outage_is_known_once_no_answer_promises_a_lease(
    leader: str | None, spent_ms: int, retry_ms: int
) -> None:
    # A refusal at once is wrong where an election is about to end.
    node = EntryNode(host="e", data_center="d", address="", control=["a"])
    now_ns = 100_000 * NS_PER_MS
    node.last_leader = "a"
    node.unanswered_since_ns = now_ns - spent_ms * NS_PER_MS
    node.tick(now_ns)

    if leader is not None:
        refusal = LeaseRefusal(sent_ns=now_ns, leader=leader)
        node.receive("c", refusal, now_ns)

    assert node.outage_retry_ms(now_ns) == retry_ms
