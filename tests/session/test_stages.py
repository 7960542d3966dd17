"""Tests of the record of where statements spend their time."""

from __future__ import annotations

import attrs
import pytest

from rosemarysaddle.decide import NS_PER_MS
from rosemarysaddle.schema import Route
from rosemarysaddle.session import _stages
from rosemarysaddle.session._stages import (
    MAX_CLASSES,
    Stage,
    StageStats,
    StageTimes,
    log_slow_statement,
)

ROUTE = Route(
    name="r",
    database="d",
    freshness="primary",
    timeout_ms=1_000,
    group="g",
    latency_objective_ms=500,
)


@pytest.fixture(name="lines")
def _lines(monkeypatch: pytest.MonkeyPatch) -> list[str]:
    lines: list[str] = []
    monkeypatch.setattr(
        _stages, "log_event", lambda kind, text: lines.append(f"{kind} {text}")
    )
    return lines


def _times(monkeypatch: pytest.MonkeyPatch, **spent_ms: int) -> StageTimes:
    times = StageTimes()
    for stage, duration_ms in spent_ms.items():
        now_ns = duration_ms * NS_PER_MS
        monkeypatch.setattr(_stages, "clock_ns", lambda now=now_ns: now)
        times.add(Stage(stage), 0)
    return times


def test_attempts_of_one_statement_add_up(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a stage that tells only of the last attempt."""
    times = _times(monkeypatch, execution=30)
    times.add(Stage.EXECUTION, 10 * NS_PER_MS)

    assert times.spent_ns == {Stage.EXECUTION: 50 * NS_PER_MS}


def test_statement_over_its_objective_is_logged_with_its_stages(
    monkeypatch: pytest.MonkeyPatch, lines: list[str]
) -> None:
    """Guards against late answers whose cause no line tells."""
    times = _times(monkeypatch, connection=400, execution=120)

    log_slow_statement("1", ROUTE, times, 500 * NS_PER_MS)
    log_slow_statement("2", ROUTE, times, 530 * NS_PER_MS)

    assert lines == [
        (
            "slow-statement id=2 class=primary/500 group=g spent_ms=530"
            " limit_ms=0 target_ms=0 connection_ms=400 execution_ms=120"
            " pause_ms=0"
        )
    ]


def test_means_are_logged_for_what_is_new(
    monkeypatch: pytest.MonkeyPatch, lines: list[str]
) -> None:
    """Guards against means over the whole life of a host."""
    stats = StageStats()
    for spent_ms in (10, 30):
        times = _times(monkeypatch, execution=spent_ms)
        stats.record(ROUTE, times, in_transaction=True)

    stats.tick(1)
    stats.tick(2)
    stats.tick(60_000 * NS_PER_MS)

    assert lines == [
        (
            "stages class=primary/500/transaction execution=2"
            " execution_mean_ms=20.0"
        )
    ]


def test_number_of_classes_is_bounded(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against plans that change objectives all the time."""
    stats = StageStats()
    times = _times(monkeypatch, execution=1)

    for number in range(2 * MAX_CLASSES):
        route = attrs.evolve(ROUTE, latency_objective_ms=number)
        stats.record(route, times, in_transaction=False)

    assert len(stats.histograms) == MAX_CLASSES
