from __future__ import annotations

from typing import TYPE_CHECKING

from rosemarysaddle._clock import NS_PER_S
from rosemarysaddle.node._host_metrics import timeline_metric
from rosemarysaddle.node._start_timeline import StartStep, StartTimeline

if TYPE_CHECKING:
    import pytest


def test_each_step_is_recorded_and_logged_once(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a line for each message that a host receives."""
    lines: list[str] = []
    monkeypatch.setattr(
        "rosemarysaddle._log.info",
        lambda text, *args: lines.append(text % args),
    )
    now_ns = [NS_PER_S]
    timeline = StartTimeline(started_ns=0, clock_ns=lambda: now_ns[0])

    timeline.record(StartStep.LEASE, reached=False)
    timeline.record(StartStep.IMPORTED)
    now_ns[0] = 2 * NS_PER_S
    timeline.record(StartStep.IMPORTED)
    timeline.record(StartStep.LEASE)

    assert timeline.steps_s == {StartStep.IMPORTED: 1, StartStep.LEASE: 2}
    assert [line.split()[1:3] for line in lines] == [
        ["step=imported", "after_ms=1000"],
        ["step=lease", "after_ms=2000"],
    ]


def test_metric_names_the_steps_that_were_reached() -> None:
    timeline = StartTimeline(started_ns=0, clock_ns=lambda: NS_PER_S)
    timeline.record(StartStep.READY)

    metric = timeline_metric(timeline)

    assert metric.name == "rosemarysaddle_start_step_seconds"
    assert metric.values == {"ready": 1.0}
