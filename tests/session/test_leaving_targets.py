"""Work at targets that have announced their planned stop."""

from __future__ import annotations

import asyncio
import json
from typing import TYPE_CHECKING, Any

import attrs
import pytest

from rosemarysaddle._clock import clock_ns
from rosemarysaddle.connection import SharedPool
from rosemarysaddle.schema import LogEntry, ViewDelta
from rosemarysaddle.session._leaving_targets import (
    LEAVING_WORK_MS,
    SEND_RESERVE_MS,
    WorkRole,
)
from tests.helpers import NS_PER_MS
from tests.session.standin import (
    ROUTE_TIMEOUT_MS,
    StandInTarget,
    open_caller,
    run_router,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine

    from rosemarysaddle.session import Router

PORT = 17_720
WORK_MS = LEAVING_WORK_MS - SEND_RESERVE_MS


def _run(
    scenario: Callable[[Router, StandInTarget], Coroutine[None, None, None]],
) -> None:
    async def run() -> None:
        target = StandInTarget(name="t1", port=PORT)
        async with run_router([target]) as router:
            await scenario(router, target)

    asyncio.run(run())


def _leave(router: Router, *, earlier_view_ms: int) -> None:
    """Let the host learn that t1 leaves.

    :param earlier_view_ms: age of the newest view that is known to be
        older than the announcement
    """
    node = router.node
    record = node.state.targets.records["t1"]
    now_ns = clock_ns()
    node.view_confirmed_ns = now_ns - earlier_view_ms * NS_PER_MS
    payload = attrs.asdict(attrs.evolve(record, leaving=True))
    entry = LogEntry(
        index=node.state.index + 1,
        term=1,
        kind="target",
        payload=json.dumps(payload),
    )
    node.receive("c", ViewDelta(entries=(entry,)), now_ns)
    router.apply_view()


@pytest.mark.parametrize(
    "texts",
    [["WRITE 1 x"], ["BEGIN", "WRITE 1 x"]],
    ids=["write", "transaction"],
)
@pytest.mark.parametrize(
    ("earlier_view_ms", "reaches_target"),
    [(1_000, True), (WORK_MS, False)],
    ids=["within-bound", "after-bound"],
)
def test_leaving_primary_gets_no_new_work_after_the_bound(
    texts: list[str], earlier_view_ms: int, *, reaches_target: bool
) -> None:
    """Guards against writes that a stopping target cuts off."""

    async def scenario(router: Router, target: StandInTarget) -> None:
        caller = await open_caller(router, "own")
        _leave(router, earlier_view_ms=earlier_view_ms)
        answers = [await caller.query(text) for text in texts]

        assert ("WRITE 1 x" in target.texts) is reaches_target
        assert answers[-1].startswith("OK") is reaches_target

    _run(scenario)


def test_work_that_waited_for_a_connection_is_not_sent_after_the_bound(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a bound that is checked only before the wait."""
    acquire = SharedPool.acquire

    async def acquire_late(*arguments: Any, **options: Any) -> Any:
        connection = await acquire(*arguments, **options)
        await asyncio.sleep(ROUTE_TIMEOUT_MS / 4 / 1_000)
        return connection

    monkeypatch.setattr(SharedPool, "acquire", acquire_late)

    async def scenario(router: Router, target: StandInTarget) -> None:
        caller = await open_caller(router, "own")
        _leave(router, earlier_view_ms=WORK_MS - ROUTE_TIMEOUT_MS // 8)
        answer = await caller.query("WRITE 1 x")

        assert "WRITE 1 x" not in target.texts
        assert not answer.startswith(("OK", "UNSURE"))

    _run(scenario)


def test_work_at_a_leaving_target_is_counted_by_its_age() -> None:
    """Guards against late work that no metric shows."""

    async def scenario(router: Router, target: StandInTarget) -> None:
        del target
        caller = await open_caller(router, "own")
        await caller.query("WRITE 1 x")
        _leave(router, earlier_view_ms=0)
        await caller.query("WRITE 1 x")

        assert router.leaving.work_ages[WorkRole.PRIMARY].total == 1
        assert router.leaving.work_ages[WorkRole.REPLICA].total == 0

    _run(scenario)
