from __future__ import annotations

import asyncio
from typing import Any

import pytest

from rosemarysaddle._clock import clock_ns
from rosemarysaddle.decide import (
    NS_PER_MS,
    Answer,
    FaultCode,
    LogPoint,
    Outcome,
    Reason,
    Send,
)
from rosemarysaddle.schema import ReplicasBehind
from rosemarysaddle.session._refusals import not_run_refusal
from tests.session.standin import GROUP, StandInTarget, make_router


@pytest.mark.parametrize(
    ("fault", "has_primary", "reason"),
    [
        (FaultCode.BUSY, True, Reason.TARGET_BUSY),
        (FaultCode.TOO_MANY_CONNECTIONS, True, Reason.TARGET_BUSY),
        (FaultCode.BEHIND, True, Reason.REPLICAS_BEHIND),
        (FaultCode.READ_ONLY, True, Reason.NO_PRIMARY),
        (FaultCode.LOST, True, Reason.CONNECTION_LOST),
        (FaultCode.WRONG_TARGET, True, Reason.NO_CONNECTION),
        (None, True, Reason.NO_CONNECTION),
        (None, False, Reason.NO_PRIMARY),
    ],
)
def test_refusal_names_what_kept_the_statement_from_running(
    fault: FaultCode | None, has_primary: bool, reason: Reason
) -> None:
    # Refusals of reads whose replicas were behind named a missing
    # primary, although it was known and leased.
    last = Answer(fault=fault) if fault is not None else None

    refusal = not_run_refusal("g", last, has_primary=has_primary)

    assert refusal.reason is reason
    assert refusal.outcome is Outcome.NOT_RUN
    assert refusal.retry_after_ms > 0


def test_host_reports_once_that_all_replicas_are_behind() -> None:
    # Guards against a report where a replica still serves reads, and
    # against one for each refusal.
    async def scenario() -> list[Any]:
        router = make_router(
            [StandInTarget(name=f"t{n}", port=17_990 + n) for n in range(3)]
        )
        sent: list[Any] = []
        router.lagging.send = sent.extend
        router.apply_view()
        newest = LogPoint(term=1, position=7)
        router.positions.record(GROUP, clock_ns(), newest)
        router.targets["t1"].mark_lagging(clock_ns())
        router.record_refused_read(GROUP)
        assert not sent

        router.targets["t2"].mark_lagging(clock_ns())
        for _ in range(3):
            router.record_refused_read(GROUP)
        return [e.message for e in sent if isinstance(e, Send)]

    reports = asyncio.run(scenario())

    assert reports == [
        ReplicasBehind(
            host="e", group=GROUP, term=1, point_term=1, point_position=7
        )
    ]


def test_reports_about_many_groups_are_spread() -> None:
    # Guards against more than the 2 KB/s that a host may send.
    async def scenario() -> int:
        target = StandInTarget(name="t0", port=17_990)
        node = make_router([target]).node
        term = node.state.terms[GROUP]
        point = LogPoint(term=1, position=7)
        start_ns = clock_ns()
        found = 0
        for now_ms in range(0, 1_000, 10):
            group = f"g{now_ms}"
            node.state.terms[group] = term
            now_ns = start_ns + now_ms * NS_PER_MS
            found += len(node.report_replicas_behind(group, point, now_ns))
        return found

    assert asyncio.run(scenario()) == 10
