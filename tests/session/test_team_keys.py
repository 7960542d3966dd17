from __future__ import annotations

import asyncio
import json
from typing import TYPE_CHECKING, Any

import pytest

from rosemarysaddle import _log as logging
from rosemarysaddle.connection import Lender, TargetConnection
from rosemarysaddle.decide import Reason, Refusal, RouteTable, Step
from rosemarysaddle.node._host_metrics import entry_metrics
from rosemarysaddle.session._rate_limits import NO_TOKEN, AdmissionToken
from rosemarysaddle.session._unknown_keys import UnknownKeyCounter
from tests.session.standin import (
    PLAN,
    Caller,
    StandInTarget,
    make_router,
    open_caller,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine

    from rosemarysaddle.decide import Answer
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


def _record_asked(monkeypatch: pytest.MonkeyPatch) -> list[bytes]:
    """Record the requests that hosts send to targets."""
    asked: list[bytes] = []
    ask = TargetConnection.ask

    async def record(
        self: TargetConnection, data: bytes, *, deadline_ns: int
    ) -> Answer:
        asked.append(data)
        return await ask(self, data, deadline_ns=deadline_ns)

    monkeypatch.setattr(TargetConnection, "ask", record)
    return asked


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


def test_new_key_opens_a_session_once_the_host_has_its_plan() -> None:
    async def scenario(router: Router, target: StandInTarget) -> None:
        del target
        assert "NOACCESS" in (await _open(router, "own", "k2")).opening
        _put_plan(router, 3, x=KEY, y="k2")
        caller = await _open(router, "own", "k2")
        assert caller.opening == "READY I -"
        assert caller.session.runner.team == "y"
        assert router.unknown_keys.total == 1

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
        async def admit(self: Router, team: str) -> AdmissionToken:
            del self
            admitted.append(team)
            return NO_TOKEN

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
        async def admit(self: Router, team: str) -> Refusal:
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
        async def admit(self: Router, team: str) -> AdmissionToken:
            _put_plan(self, 3)
            del team
            return NO_TOKEN

        caller = await _open(router, "own", KEY)
        with pytest.MonkeyPatch.context() as patch:
            patch.setattr(type(router), "admit_operation", admit)
            assert await caller.query("WRITE 1 x") == "NOACCESS I"
        assert target.texts == []

    _run(scenario)


def _apply_plan(router: Router, *callers: Caller) -> list[bool]:
    router.apply_view()
    return [caller.session.recheck_key() for caller in callers]


@pytest.mark.parametrize(
    ("last", "answer"), [("READ 1", "ABORTED E"), ("COMMIT", "ABORTED I")]
)
def test_idle_transaction_ends_when_the_plan_is_applied(
    last: str, answer: str
) -> None:
    """Guards against idle transactions that keep a lost key's locks."""

    async def scenario(router: Router, target: StandInTarget) -> None:
        callers = [await _open(router, "own", KEY) for _ in range(2)]
        await callers[0].query("BEGIN")
        await callers[0].query("WRITE 1 x")
        connection = callers[0].session._transaction.connection  # type: ignore[union-attr]
        assert connection is not None
        _put_plan(router, 3)
        assert _apply_plan(router, *callers) == [True, False]
        assert connection.is_lost
        assert await callers[0].query(last) == answer
        assert target.texts == ["BEGIN", "WRITE 1 x"]

    _run(scenario)


@pytest.mark.parametrize(
    ("before", "text", "answer"),
    [
        ([], "WRITE 1 x", "NOACCESS I"),
        ([], "READ 1", "NOACCESS I"),
        (["BEGIN"], "READ 1", "ABORTED E"),
        (["BEGIN", "READ 2"], "WRITE 1 x", "ABORTED E"),
        (["BEGIN", "READ 2"], "COMMIT", "ABORTED I"),
    ],
)
@pytest.mark.parametrize("teams", [{}, {"y": KEY}])
def test_statement_that_waits_is_not_sent_once_its_key_is_removed(
    before: list[str],
    text: str,
    answer: str,
    teams: dict[str, str],
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # The target may receive after the removal what was sent before it.
    asked = _record_asked(monkeypatch)

    async def scenario(router: Router, target: StandInTarget) -> None:
        caller = await _open(router, "own", KEY)
        for statement in before:
            await caller.query(statement)
        sent = len(asked)
        for verb in ("READ", "WRITE", "COMMIT", "BEGIN"):
            target.faults[verb] = ["BUSY"] * 99
        waiting = asyncio.create_task(caller.query(text))
        await asyncio.sleep(0.05)
        assert len(asked) > sent
        _put_plan(router, 3, **teams)
        _apply_plan(router, caller)
        sent = len(asked)
        assert await waiting == answer
        assert len(asked) == sent
        if answer.endswith("E"):
            assert await caller.query("ROLLBACK") == "OK I"
        target.faults.clear()
        expected = "OK I" if teams else "NOACCESS I"
        assert await caller.query("READ 1") == expected

    _run(scenario)


def test_transaction_of_a_statement_that_ran_ends_after_its_answer() -> None:
    """Guards against transactions left idle under a removed key."""

    async def scenario(router: Router, target: StandInTarget) -> None:
        caller = await _open(router, "own", KEY)
        await caller.query("BEGIN")
        await caller.query("READ 2")
        waiting = asyncio.create_task(caller.query("WRITE 1 x"))
        await asyncio.sleep(0)
        assert caller.session.is_busy
        _put_plan(router, 3)
        assert _apply_plan(router, caller) == [False]
        assert await waiting in {"OK T", "ABORTED E"}
        await asyncio.sleep(0.01)
        assert not caller.session.in_transaction
        assert target.texts[:2] == ["BEGIN", "READ 2"]

    _run(scenario)


def test_key_is_not_relied_on_while_the_plan_may_be_outdated() -> None:
    """Guards against a removed key that runs at a host cut off."""

    async def scenario(router: Router, target: StandInTarget) -> None:
        node = router.node
        callers = [await _open(router, name, KEY) for name in ("own", "pub")]
        await callers[0].query("BEGIN")
        await callers[0].query("READ 2")
        node.view_confirmed_ns = 1
        sent = len(target.received)
        assert await callers[0].query("COMMIT") == "ABORTED I"
        for text in ("READ 1", "WRITE 1 x", "BEGIN"):
            assert await callers[0].query(text) == "BUSY I"
        assert len(target.received) == sent
        assert await callers[1].query("READ 1") == "OK I"
        waiting = asyncio.create_task(callers[0].query("READ 1"))
        await asyncio.sleep(0.01)
        node.view_confirmed_ns = node.lease.deadline_ns
        router.notify_waiters()
        assert await waiting == "OK I"

    _run(scenario)


def test_plan_without_teams_does_not_depend_on_its_age() -> None:
    async def scenario(router: Router, target: StandInTarget) -> None:
        del target
        router.node.state.routes = RouteTable.of(json.dumps(PLAN))
        router.node.view_confirmed_ns = 1
        caller = await _open(router, "own", "any word")
        for text in ("READ 1", "WRITE 1 x"):
            assert await caller.query(text) == "OK I"

    _run(scenario)


def test_many_unknown_keys_make_one_log_line_a_second() -> None:
    lines: list[str] = []
    counter = UnknownKeyCounter(log=lambda *texts: lines.append(texts[1]))

    for number in range(300):
        counter.record("own", "10.0.0.1", number * 10_000_000)
    counter.tick(3_500_000_000)

    assert [line.split()[0] for line in lines] == [
        "count=1",
        "count=100",
        "count=100",
        "count=99",
    ]
    assert counter.total == 300


def test_no_key_is_logged_shown_or_sent(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    shown: list[str] = []

    def keep_line(text: str, *values: object, **_: object) -> None:
        shown.append(text % values)

    for level in ("info", "warning", "error"):
        monkeypatch.setattr(logging, level, keep_line)

    async def scenario(router: Router, target: StandInTarget) -> None:
        starts = [
            ("own", KEY),
            ("own", f"{KEY}-unknown"),
            ("pub", f"{KEY}-unknown"),
            (KEY, "own"),
        ]
        callers = [await _open(router, *start) for start in starts]
        shown.extend(caller.opening for caller in callers)
        target.faults["WRITE"] = ["FAILED", "drop"]
        texts = ("WRITE 1 x", "WRITE 1 y", "BEGIN", "READ 1")
        shown.extend([await callers[0].ask(f"QUERY 5c {t}") for t in texts])
        _put_plan(router, 3, y=f"{KEY}-new")
        _apply_plan(router, *callers)
        later = ("READ 1", "ROLLBACK", "READ 1")
        shown.extend([await callers[0].ask(f"QUERY 5c {t}") for t in later])
        lender = Lender(
            find_pool=router.own_pool, find_point=router.positions.find
        )
        teams = [caller.session.runner.team for caller in callers]
        metrics = entry_metrics(router.node, router, lender, teams=teams)
        shown.extend(map(repr, metrics))
        shown.append(repr(router.node.state.routes))
        shown.extend(target.labels.values())
        shown.extend(target.texts)

    _run(scenario)

    events = {text.split()[0] for text in shown if text.startswith("event=")}
    assert {
        "event=refused",
        "event=refused-key",
        "event=transaction-revoked",
        "event=unknown-key",
    } <= events
    assert [text for text in shown if KEY in text] == []
