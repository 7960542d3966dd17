"""Answers that contradict the recorded terms of a group."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import attrs
import pytest

from rosemarysaddle._clock import clock_ns
from rosemarysaddle.decide import (
    Answer,
    FaultCode,
    LogPoint,
    Refusal,
    Send,
    WriteTicket,
)
from rosemarysaddle.schema import TermReport
from rosemarysaddle.session import _caller, _positions, _target_terms
from tests.session.standin import (
    GROUP,
    StandInTarget,
    make_router,
    open_caller,
    run_router,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from rosemarysaddle.decide import Effect
    from rosemarysaddle.session import Router
    from rosemarysaddle.session._runner import Runner
    from tests.session.standin import Caller

PORT = 17_860
PRIMARY, REPLICA = "t0", "t1"


@pytest.fixture(name="lines")
def _lines(monkeypatch: pytest.MonkeyPatch) -> list[str]:
    lines: list[str] = []
    for module in (_caller, _positions, _target_terms):
        monkeypatch.setattr(
            module,
            "log_event",
            lambda kind, text: lines.append(f"event={kind} {text}"),
        )
    return lines


def _targets() -> list[StandInTarget]:
    return [
        StandInTarget(name=name, port=PORT + number)
        for number, name in enumerate((PRIMARY, REPLICA))
    ]


def _set_target_term(router: Router, target_term: int) -> None:
    terms = router.node.state.terms
    terms[GROUP] = attrs.evolve(terms[GROUP], target_term=target_term)


def _with_router(check: Callable[[Router], None]) -> None:
    """Check the router of a host whose targets are not reached."""

    async def run() -> None:
        router = make_router(_targets())
        router.apply_view()
        _set_target_term(router, 2)
        check(router)

    asyncio.run(run())


def _answer(
    router: Router,
    target: str,
    point: LogPoint,
    fault: FaultCode | None = None,
) -> None:
    router.record_answer(
        target,
        Answer(point=point, fault=fault),
        asked_ns=clock_ns(),
        was_leased_primary=router.is_leased_primary(target),
    )


def test_term_that_goes_back_is_logged(lines: list[str]) -> None:
    """Guards against an earlier log that no line tells of."""

    def check(router: Router) -> None:
        _answer(router, REPLICA, LogPoint(term=2, position=84))
        assert not lines
        _answer(router, REPLICA, LogPoint(term=1, position=95))
        _answer(router, REPLICA, LogPoint(term=1, position=96))

    _with_router(check)

    assert lines == [
        (
            "event=target-term reason=went-back group=g target=t1 primary=t0"
            " observed=1.95 recorded=2 control_term=1 previous=2.84"
            " action=none"
        )
    ]


def test_term_above_the_recorded_one_is_logged_once(
    lines: list[str],
) -> None:
    """Guards against a later promotion that no line tells of."""

    def check(router: Router) -> None:
        for position in (90, 91):
            _answer(router, REPLICA, LogPoint(term=3, position=position))

    _with_router(check)

    assert len(lines) == 1
    assert "reason=above-recorded" in lines[0]
    assert "observed=3.90 recorded=2" in lines[0]
    assert lines[0].endswith("action=reported")


def test_no_write_starts_or_ends_after_an_answer_of_a_later_term() -> None:
    """Guards against commits at a primary that has been replaced."""

    def check(router: Router) -> None:
        running = router.begin_write(GROUP)
        assert isinstance(running, WriteTicket)
        _answer(router, REPLICA, LogPoint(term=3, position=90))

        assert isinstance(router.begin_write(GROUP), Refusal)
        assert not router.holds(running)
        assert not router.end_write(running)

    _with_router(check)


def test_primary_that_refuses_writes_is_logged(lines: list[str]) -> None:
    """Guards against a demoted primary that no line tells of."""

    def check(router: Router) -> None:
        point = LogPoint(term=2, position=84)
        _answer(router, REPLICA, point, FaultCode.READ_ONLY)
        assert not lines
        _answer(router, PRIMARY, point, FaultCode.READ_ONLY)

    _with_router(check)

    assert lines == [
        (
            "event=primary-read-only group=g target=t0 primary=t0"
            " observed=2.84 recorded=2 control_term=1 action=reported"
        )
    ]


IN_TRANSACTION = ["BEGIN", "WRITE 1 x", "COMMIT"]


def _run_at(
    target_term: int, texts: list[str], sent: list[Effect] | None = None
) -> tuple[list[str], Runner]:
    """Run statements at a primary whose log is in term 1.

    :param target_term: recorded term
    :param sent: collects what is sent to the leader
    :return: the answers, and the runner of the session
    """

    async def run() -> tuple[list[str], Runner]:
        async with run_router(_targets()) as router:
            _set_target_term(router, target_term)
            if sent is not None:
                router.target_terms.send = sent.extend
            caller = await open_caller(router, "own")
            answers = [await caller.query(text) for text in texts]
            return answers, caller.session.runner

    return asyncio.run(run())


@pytest.mark.parametrize("texts", [["WRITE 1 x"], IN_TRANSACTION])
def test_write_in_an_earlier_term_is_not_acknowledged(
    lines: list[str], texts: list[str]
) -> None:
    """Guards against commits acknowledged at an old primary."""
    sent: list[Effect] = []

    answers, runner = _run_at(2, texts, sent)

    assert answers[-1] == "UNSURE I"
    assert not runner.points
    (report,) = [e.message for e in sent if isinstance(e, Send)]
    assert isinstance(report, TermReport)
    assert (report.target, report.observed_term) == (PRIMARY, 1)
    found = [line for line in lines if "event=target-term" in line]
    assert len(found) == 1
    assert "reason=write-below-known" in found[0]
    assert "action=withheld" in found[0]
    assert any("reason=primary-replaced" in line for line in lines)


@pytest.mark.parametrize("target_term", [0, 1])
@pytest.mark.parametrize("texts", [["WRITE 1 x"], IN_TRANSACTION])
def test_write_in_the_recorded_term_is_acknowledged(
    texts: list[str], target_term: int
) -> None:
    """Guards against refusals where no other term is recorded."""
    answers, runner = _run_at(target_term, texts)

    assert answers[-1] == "OK I"
    assert runner.points[GROUP].term == 1


def test_transaction_that_wrote_nothing_ends_in_an_earlier_term() -> None:
    """Guards against a doubt about a commit that changes nothing."""
    answers, _ = _run_at(2, ["BEGIN", "READ 1", "COMMIT"])

    assert answers == ["OK T", "OK T", "OK I"]


NEWEST = LogPoint(term=2, position=84)


def _know_newest(caller: Caller, router: Router, *, is_own: bool) -> None:
    """Let a session or its host know a position of term 2."""
    if is_own:
        caller.session.runner.points[GROUP] = NEWEST
    else:
        router.positions.record(GROUP, clock_ns(), NEWEST)


@pytest.mark.parametrize("is_own", [True, False])
@pytest.mark.parametrize(
    ("texts", "refusal"),
    [
        (["READ 1"], "BUSY I"),
        (["BEGIN READ", "READ 1"], "ABORTED E"),
        (["BEGIN", "READ 1"], "ABORTED E"),
    ],
)
def test_no_row_of_an_earlier_log_is_given_out(
    lines: list[str], texts: list[str], refusal: str, *, is_own: bool
) -> None:
    """Guards against reads without the session's own commit."""
    sent: list[Effect] = []

    async def run() -> list[str]:
        async with run_router(_targets()) as router:
            router.target_terms.send = sent.extend
            caller = await open_caller(router, "own")
            _know_newest(caller, router, is_own=is_own)
            return [await caller.query(text) for text in texts]

    assert asyncio.run(run())[-1] == refusal
    assert any("reason=read-below-known" in line for line in lines)
    reports = [e.message for e in sent if isinstance(e, Send)]
    assert all(isinstance(r, TermReport) for r in reports)
    assert reports


@pytest.mark.parametrize("is_own", [True, False])
def test_write_below_a_known_position_is_not_acknowledged(
    *, is_own: bool
) -> None:
    """Guards against old primaries of a group without recorded term."""

    async def run() -> str:
        async with run_router(_targets()) as router:
            caller = await open_caller(router, "own")
            _know_newest(caller, router, is_own=is_own)
            return await caller.query("WRITE 1 x")

    assert asyncio.run(run()) == "UNSURE I"


@pytest.mark.parametrize("texts", [["READ 1"], ["BEGIN READ", "READ 1"]])
def test_read_is_retried_after_an_answer_from_an_earlier_log(
    texts: list[str],
) -> None:
    """Guards against refusals while a replica can serve the read."""
    targets = _targets()
    targets[1].term = 2

    async def run() -> str:
        async with run_router(targets) as router:
            router.targets[REPLICA].transfer_cost_ns = 10**9
            caller = await open_caller(router, "old")
            _know_newest(caller, router, is_own=False)
            answers = [await caller.ask(f"QUERY 5c {text}") for text in texts]
            return answers[-1]

    assert "DONE t1.READ" in asyncio.run(run())
    assert "READ" in "".join(targets[0].texts)


def test_primary_promoted_later_serves_what_it_has() -> None:
    """Guards against reads that wait for a group's next write."""

    async def run() -> str:
        async with run_router(_targets()) as router:
            _set_target_term(router, 3)
            caller = await open_caller(router, "own")
            _know_newest(caller, router, is_own=True)
            return await caller.query("READ 1")

    assert asyncio.run(run()) == "OK I"


def test_transaction_goes_on_after_a_later_promotion() -> None:
    """Guards against reads that owe more than when they began."""

    async def run() -> list[str]:
        async with run_router(_targets()) as router:
            caller = await open_caller(router, "own")
            answers = [await caller.query("BEGIN READ")]
            answers.append(await caller.query("READ 1"))
            _know_newest(caller, router, is_own=False)
            answers.append(await caller.query("READ 1"))
            return answers

    assert asyncio.run(run()) == ["OK T"] * 3


def test_position_of_an_earlier_term_is_not_recorded(
    lines: list[str],
) -> None:
    """Guards against reads that an old log answers as if up to date."""

    def check(router: Router) -> None:
        newest = LogPoint(term=2, position=84)
        now_ns = clock_ns()
        router.positions.record(GROUP, now_ns - 10**9, newest)
        old = LogPoint(term=1, position=95)
        router.positions.record(GROUP, now_ns, old)

        assert router.positions.newest(GROUP) == newest

    _with_router(check)

    assert lines == [
        (
            "event=position-ignored group=g observed=1.95 newest=2.84"
            " primary=t0 recorded=2 control_term=1"
        )
    ]


def test_refused_read_names_the_position_it_asked_for(
    lines: list[str],
) -> None:
    """Guards against a refusal that hides what the replicas lacked."""
    targets = _targets()
    targets[1].faults["READ"] = ["BEHIND"] * 20

    async def run() -> None:
        async with run_router(targets) as router:
            point = LogPoint(term=2, position=84)
            router.positions.record(GROUP, clock_ns(), point)
            router.targets[PRIMARY].is_unreachable = True
            caller = await open_caller(router, "old")
            await caller.query("READ 1")

    asyncio.run(run())

    refused = [line for line in lines if line.startswith("event=refused")]
    assert len(refused) == 1
    assert "position=2.84" in refused[0]
    assert refused[0].endswith("after=2.84 own=-")


@pytest.mark.parametrize(
    ("observed", "is_current"),
    [
        (LogPoint(term=2, position=83), False),
        (LogPoint(term=2, position=84), True),
        (LogPoint(term=3, position=1), True),
    ],
)
def test_rows_from_before_a_known_position_are_not_given_out(
    observed: LogPoint, *, is_current: bool
) -> None:
    """Guards against a primary that came back with a shorter log."""

    def check(router: Router) -> None:
        own = LogPoint(term=2, position=84)
        needed = router.required_point_of_primary(GROUP, own)
        answer = Answer(point=observed)

        assert router.confirm_read(GROUP, PRIMARY, answer, needed) is (
            is_current
        )

    _with_router(check)
