"""Time of statements in each stage between caller and target."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING, Final

import attrs

from rosemarysaddle._clock import clock_ns
from rosemarysaddle._durations import DurationHistogram
from rosemarysaddle._events import log_event
from rosemarysaddle.decide import NS_PER_MS

if TYPE_CHECKING:
    from collections.abc import Iterator

    from rosemarysaddle.schema import Route

__all__ = (
    "STAGE_BOUNDS_MS",
    "Stage",
    "StageStats",
    "StageTimes",
    "log_slow_statement",
    "service_class",
)

STAGE_BOUNDS_MS: Final = (1, 5, 10, 20, 50, 100, 200, 500, 1_000, 2_000)
# A class that a plan no longer contains keeps its counts.
MAX_CLASSES: Final = 32
LOG_INTERVAL_MS: Final = 10_000


class Stage(enum.StrEnum):
    """Stage of a statement; a retry adds to the same stages."""

    LIMIT = "limit"
    """Wait for a token of the team's limit."""
    TARGET = "target"
    """Wait for a target that may serve it, or for a primary."""
    CONNECTION = "connection"
    """Wait for a connection, at the lender or for a new one."""
    EXECUTION = "execution"
    """From sending it until the target's answer."""
    PAUSE = "pause"
    """Wait before another attempt."""


@attrs.define(kw_only=True)
class StageTimes:
    """Stages of the statement that a session runs now."""

    spent_ns: dict[Stage, int] = attrs.field(factory=dict, init=False)

    def clear(self) -> None:
        """Start with the next statement."""
        self.spent_ns.clear()

    def add(self, stage: Stage, since_ns: int) -> None:
        """Add the time since the start of a stage.

        :param since_ns: :func:`clock_ns` time at which it started
        """
        spent_ns = clock_ns() - since_ns
        self.spent_ns[stage] = self.spent_ns.get(stage, 0) + spent_ns


@attrs.define(kw_only=True)
class StageStats:
    """Histograms of the stages, by class of statements.

    :param histograms: by label of the class and stage
    """

    histograms: dict[tuple[str, Stage], DurationHistogram] = attrs.field(
        factory=dict, init=False
    )
    _classes: set[str] = attrs.field(factory=set, init=False)
    _logged: dict[tuple[str, Stage], tuple[int, int]] = attrs.field(
        factory=dict, init=False
    )
    _next_log_ns: int = attrs.field(default=0, init=False)

    def record(
        self, route: Route, times: StageTimes, *, in_transaction: bool
    ) -> None:
        """Record the stages of one statement that has ended."""
        label = service_class(route)
        if in_transaction:
            label += "/transaction"
        if label not in self._classes:
            if len(self._classes) >= MAX_CLASSES:
                return
            self._classes.add(label)
        for stage, spent_ns in times.spent_ns.items():
            histogram = self.histograms.get((label, stage))
            if histogram is None:
                histogram = DurationHistogram(bounds_ms=STAGE_BOUNDS_MS)
                self.histograms[label, stage] = histogram
            histogram.record(spent_ns)

    def tick(self, now_ns: int) -> None:
        """Log the mean time of each stage now and then."""
        if now_ns < self._next_log_ns:
            return
        self._next_log_ns = now_ns + LOG_INTERVAL_MS * NS_PER_MS
        for label in sorted(self._classes):
            stages = " ".join(self._describe(label))
            if stages:
                log_event("stages", f"class={label} {stages}")

    def _describe(self, label: str) -> Iterator[str]:
        """Describe what was recorded since the last line.

        :return: for each stage that occurred, how many statements were
            in it and their mean time
        """
        for stage in Stage:
            histogram = self.histograms.get((label, stage))
            if histogram is None:
                continue
            total, sum_ns = histogram.total, histogram.sum_ns
            last_total, last_sum_ns = self._logged.get((label, stage), (0, 0))
            self._logged[label, stage] = (total, sum_ns)
            count = total - last_total
            if count:
                mean_ms = (sum_ns - last_sum_ns) / count / NS_PER_MS
                yield f"{stage}={count} {stage}_mean_ms={mean_ms:.1f}"


def service_class(route: Route) -> str:
    """Return the class of operations that a route belongs to.

    Routes that promise their callers the same are taken to run the same
    kinds of operations.
    """
    return f"{route.freshness}/{route.latency_objective_ms}"


def log_slow_statement(
    request_id: str, route: Route, times: StageTimes, spent_ns: int
) -> None:
    """Log where a statement has spent more time than its objective."""
    objective_ns = route.latency_objective_ms * NS_PER_MS
    if not objective_ns or spent_ns <= objective_ns:
        return
    stages = " ".join(
        f"{stage}_ms={times.spent_ns.get(stage, 0) // NS_PER_MS}"
        for stage in Stage
    )
    log_event(
        "slow-statement",
        f"id={request_id} class={service_class(route)}"
        f" group={route.group} spent_ms={spent_ns // NS_PER_MS} {stages}",
    )
