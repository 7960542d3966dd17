from __future__ import annotations

import asyncio
import json
from typing import TYPE_CHECKING, Any

import pytest

from rosemarysaddle.decide import Reason, Refusal, RouteTable, Step
from tests.session.standin import (
    PLAN,
    Caller,
    StandInTarget,
    make_router,
    open_caller,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine

    from rosemarysaddle.session import Router

    Scenario = Callable[[Router, StandInTarget], Coroutine[Any, Any, None]]

PORT = 17_700
KEY = "k-secret-1"


def _put_plan(router: Router, version: int, **teams: str) -> None:
    """Put a plan in force in which each team has one key."""
    body: dict[str, Any] = {**PLAN, "version": version}
    body["teams"] = [
        {"name": name, "api_keys": [key], "rate_per_s": 5}
        for name, key in teams.items()
    ]
    body["routes"] = [
        *PLAN["routes"],  # type: ignore[misc]
        {**body["routes"][0], "name": "o", "database": "pub", "public": True},
    ]
    router.node.state.routes = RouteTable.of(json.dumps(body))


def _run(scenario: Scenario) -> None:
    async def run() -> None:
        target = StandInTarget(name="t1", port=PORT + 1)
        await target.start()
        router = make_router([target])
        router.apply_view()
        _put_plan(router, 2, x=KEY)
        try:
            await scenario(router, target)
        finally:
            target.stop()
            for pool in router.pools.values():
                pool.close()

    asyncio.run(run())


async def _open(router: Router, database: str, key: str) -> Caller:
    return await open_caller(router, database, key)


@pytest.mark.parametrize(
    ("database", "key", "expected"),
    [
        ("own", KEY, ("READY I -", "x")),
        ("own", "k2", ("ERROR NOACCESS unknown-key authorize own", "")),
        ("own", "", ("ERROR NOACCESS unknown-key authorize own", "")),
        ("own", "x", ("ERROR NOACCESS unknown-key authorize own", "")),
        ("pub", KEY, ("READY I -", "x")),
        ("pub", "k2", ("READY I -", "")),
    ],
)
def test_session_opens_for_the_team_that_holds_the_key(
    database: str, key: str, expected: tuple[str, str]
) -> None:
    async def scenario(router: Router, target: StandInTarget) -> None:
        del target
        caller = await _open(router, database, key)
        assert (caller.opening, caller.session.runner.team) == expected
        assert caller.is_closed is ("ERROR" in caller.opening)

    _run(scenario)


def test_session_without_its_key_runs_nothing_until_the_key_is_back() -> None:
    async def scenario(router: Router, target: StandInTarget) -> None:
        caller = await _open(router, "own", KEY)
        _put_plan(router, 3)
        answers = [
            await caller.query(text)
            for text in ("READ 1", "WRITE 1 x", "BEGIN", "SET a b", "COMMIT")
        ]
        assert answers == ["NOACCESS I"] * 5
        assert target.texts == []
        _put_plan(router, 4, x=KEY)
        assert await caller.query("READ 1") == "OK I"

    _run(scenario)


@pytest.mark.parametrize(
    ("last", "answer"),
    [
        ("READ 1", "ABORTED E"),
        ("WRITE 1 y", "ABORTED E"),
        ("SET a b", "ABORTED E"),
        ("COMMIT", "ABORTED I"),
        ("ROLLBACK", "OK I"),
    ],
)
@pytest.mark.parametrize("teams", [{}, {"y": KEY}])
def test_transaction_ends_if_its_team_loses_the_key(
    teams: dict[str, str], last: str, answer: str
) -> None:
    async def scenario(router: Router, target: StandInTarget) -> None:
        caller = await _open(router, "own", KEY)
        await caller.query("BEGIN")
        await caller.query("WRITE 1 x")
        _put_plan(router, 3, **teams)
        assert await caller.query(last) == answer
        assert target.texts == ["BEGIN", "WRITE 1 x"]
        if answer.endswith("E"):
            assert await caller.query("ROLLBACK") == "OK I"
        expected = "OK I" if teams else "NOACCESS I"
        assert await caller.query("READ 1") == expected
        assert caller.session.runner.team == "".join(teams)

    _run(scenario)


def test_transaction_continues_if_its_team_keeps_the_key() -> None:
    async def scenario(router: Router, target: StandInTarget) -> None:
        del target
        caller = await _open(router, "own", KEY)
        await caller.query("BEGIN")
        _put_plan(router, 3, w="k0", x=KEY)
        assert await caller.query("WRITE 1 x") == "OK T"
        assert await caller.query("COMMIT") == "OK I"

    _run(scenario)


def test_each_operation_is_admitted_once() -> None:
    admitted: list[str] = []

    async def scenario(router: Router, target: StandInTarget) -> None:
        async def admit(self: Router, team: str) -> Refusal | None:
            del self
            admitted.append(team)
            return None

        target.faults["READ"] = ["BUSY", "drop"]
        caller = await _open(router, "own", KEY)
        with pytest.MonkeyPatch.context() as patch:
            patch.setattr(type(router), "admit_operation", admit)
            for text in ("READ 1", "BEGIN", "WRITE 1 x", "COMMIT"):
                await caller.query(text)
            for text in ("SET a b", "COMMIT", "EXECUTE s", "DROP"):
                await caller.query(text)

    _run(scenario)

    assert admitted == ["x", "x"]


@pytest.mark.parametrize("text", ["READ 1", "WRITE 1 x", "BEGIN"])
def test_operation_over_the_limit_is_refused_with_a_time(text: str) -> None:
    async def scenario(router: Router, target: StandInTarget) -> None:
        async def admit(self: Router, team: str) -> Refusal | None:
            del self
            return Refusal(
                reason=Reason.RATE_LIMITED,
                step=Step.ADMIT,
                peer=team,
                retry_after_ms=70,
            )

        caller = await _open(router, "own", KEY)
        with pytest.MonkeyPatch.context() as patch:
            patch.setattr(type(router), "admit_operation", admit)
            assert await caller.ask(f"QUERY 5c {text}") == (
                "ERROR BUSY rate-limited admit x retry-after-ms=70 READY I -"
            )
        assert target.texts == []

    _run(scenario)


def test_key_removed_during_admission_stops_the_operation() -> None:
    async def scenario(router: Router, target: StandInTarget) -> None:
        async def admit(self: Router, team: str) -> Refusal | None:
            _put_plan(self, 3)
            del team
            return None

        caller = await _open(router, "own", KEY)
        with pytest.MonkeyPatch.context() as patch:
            patch.setattr(type(router), "admit_operation", admit)
            assert await caller.query("WRITE 1 x") == "NOACCESS I"
        assert target.texts == []

    _run(scenario)
