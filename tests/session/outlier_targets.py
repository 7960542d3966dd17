"""Reads of many hosts at one group of three targets, without a network.

Load of deployment A: 117 reads/s on each group, of 24 ms, with a
time-out of 800 ms, through hosts in three data centres, two of which
form a region.
Each target runs 5 statements at once and queues the others.
"""

from __future__ import annotations

import heapq
import itertools
import random
from typing import TYPE_CHECKING

import attrs

from rosemarysaddle.decide import (
    NS_PER_MS,
    FaultCode,
    LogPoint,
    ReadConstraints,
    TargetState,
    choose_target,
    compute_transfer_cost_ns,
)
from rosemarysaddle.session._target_outliers import TargetOutliers

if TYPE_CHECKING:
    from collections.abc import Callable

REGIONS = {"a1": "a", "a2": "a", "b1": "b"}
CENTERS = {"t0": "a1", "t1": "a2", "t2": "b1"}
TIMEOUT_MS = 800
RECHECK_MS = 250
SLOTS = 5
# By the cost of the transfer in ms: same data centre, region, other.
ONE_WAY_MS = {0: 0.1, 20: 0.9, 60: 12.0}


@attrs.define(kw_only=True)
class Behaviour:
    """Condition of the targets; all are healthy by default."""

    factor: Callable[[str, float], float] = lambda _target, _ms: 1.0
    failing: dict[str, float] = attrs.field(factory=dict)
    fault: FaultCode = FaultCode.FAILED
    is_down: Callable[[str, float], bool] = lambda _target, _ms: False


class Host:
    """Entry host of the fake group."""

    def __init__(self, data_center: str) -> None:
        """Create a host that knows all targets."""
        self.data_center = data_center
        self.targets = {
            name: TargetState(
                target=name,
                group="g",
                address="",
                slots=SLOTS,
                transfer_cost_ns=compute_transfer_cost_ns(
                    data_center, center, REGIONS
                ),
            )
            for name, center in CENTERS.items()
        }
        self.outliers = TargetOutliers(targets=self.targets)
        for state in self.targets.values():
            self.outliers.add_target(state)


@attrs.define(kw_only=True)
class FakeGroup:
    """Runs reads and records what callers get."""

    behaviour: Behaviour
    detects: bool = True
    hosts_per_center: int = 4
    reads_per_s: float = 117.0
    work_ms: float = 24.0
    seed: int = 1
    duration_ms: float = 30_000
    settle_ms: float = 10_000
    latencies_ms: list[float] = attrs.field(factory=list)
    refused: int = 0
    hosts: list[Host] = attrs.field(factory=list)
    events: list[tuple[float, int, Callable[[float], None]]] = attrs.field(
        factory=list
    )
    order: itertools.count[int] = attrs.field(factory=itertools.count)
    rng: random.Random = attrs.field(init=False)
    free_ms: dict[str, list[float]] = attrs.field(init=False)
    sent: dict[str, int] = attrs.field(
        factory=lambda: dict.fromkeys(CENTERS, 0)
    )

    def run(self) -> FakeGroup:
        """Run all reads; only those after ``settle_ms`` are counted."""
        self.rng = random.Random(self.seed)  # noqa: S311
        self.hosts = [
            Host(center)
            for center in CENTERS.values()
            for _ in range(self.hosts_per_center)
        ]
        self.free_ms = {name: [0.0] * SLOTS for name in CENTERS}
        self._at(0.0, self._arrive)
        while self.events:
            ms, _, action = heapq.heappop(self.events)
            action(ms)
        return self

    def _at(self, ms: float, action: Callable[[float], None]) -> None:
        heapq.heappush(self.events, (ms, next(self.order), action))

    def _arrive(self, ms: float) -> None:
        if ms < self.duration_ms:
            gap_ms = self.rng.expovariate(self.reads_per_s / 1_000)
            self._at(ms + gap_ms, self._arrive)
            self._attempt(self.rng.choice(self.hosts), ms, set(), ms)

    def _choose(
        self, host: Host, failed: set[str], now_ms: float
    ) -> TargetState | None:
        need = ReadConstraints(
            point=LogPoint(term=1, position=1),
            primary="t2",
            excluded=failed,
            now_ns=int(now_ms * NS_PER_MS),
        )
        states = host.targets.values()
        if not self.detects:
            return choose_target(states, need)
        return host.outliers.choose(states, need, may_probe=not failed)

    def _attempt(
        self, host: Host, began_ms: float, failed: set[str], now_ms: float
    ) -> None:
        state = self._choose(host, failed, now_ms)
        if state is None:
            self._finish(began_ms, now_ms, served=False)
        elif self.behaviour.is_down(state.target, now_ms):
            self._mark_down(host, state, now_ms)
            self._at(
                now_ms + 1,
                lambda ms: self._attempt(host, began_ms, failed, ms),
            )
        else:
            self.sent[state.target] += began_ms >= self.settle_ms
            state.running += 1
            done_ms, fault = self._serve(state, began_ms, now_ms)

            def answer(ms: float) -> None:
                state.running -= 1
                self._record(host, state, fault, now_ms, ms)
                if fault is None:
                    self._finish(began_ms, ms, served=True)
                elif fault.is_not_run or not failed:
                    excluded = failed | {state.target}
                    self._attempt(host, began_ms, excluded, ms)
                else:
                    self._finish(began_ms, ms, served=False)

            self._at(done_ms, answer)

    def _serve(
        self, state: TargetState, began_ms: float, now_ms: float
    ) -> tuple[float, FaultCode | None]:
        name = state.target
        one_way_ms = ONE_WAY_MS[state.transfer_cost_ns // NS_PER_MS]
        slots = self.free_ms[name]
        start_ms = max(now_ms + one_way_ms, heapq.heappop(slots))
        work_ms = self.rng.gammavariate(4, self.work_ms / 4)
        end_ms = start_ms + work_ms * self.behaviour.factor(name, start_ms)
        heapq.heappush(slots, end_ms)
        if end_ms + one_way_ms > began_ms + TIMEOUT_MS:
            return began_ms + TIMEOUT_MS, FaultCode.TIMEOUT
        fault: FaultCode | None = None
        if self.rng.random() < self.behaviour.failing.get(name, 0.0):
            fault = self.behaviour.fault
        if any(self.behaviour.is_down(name, ms) for ms in (start_ms, end_ms)):
            fault = FaultCode.LOST
        return end_ms + one_way_ms, fault

    def _record(
        self,
        host: Host,
        state: TargetState,
        fault: FaultCode | None,
        sent_ms: float,
        ms: float,
    ) -> None:
        now_ns = int(ms * NS_PER_MS)
        if fault is None:
            state.record_latency(int((ms - sent_ms) * NS_PER_MS))
        elif fault is FaultCode.BEHIND:
            state.mark_lagging(now_ns)
        if self.detects:
            host.outliers.record_statement(state, fault, now_ns)

    def _mark_down(self, host: Host, state: TargetState, ms: float) -> None:
        if state.is_unreachable:
            return
        state.is_unreachable = True
        if self.detects:
            host.outliers.record_down(state, int(ms * NS_PER_MS))

        def recheck(now_ms: float) -> None:
            if self.behaviour.is_down(state.target, now_ms):
                self._at(now_ms + RECHECK_MS, recheck)
            else:
                state.is_unreachable = False

        self._at(ms + RECHECK_MS, recheck)

    def _finish(self, began_ms: float, ms: float, *, served: bool) -> None:
        if began_ms < self.settle_ms:
            return
        if served:
            self.latencies_ms.append(ms - began_ms)
        else:
            self.refused += 1

    def served_share(self) -> float:
        """Return the share of reads that were answered in time."""
        return len(self.latencies_ms) / (len(self.latencies_ms) + self.refused)

    def p99_ms(self) -> float:
        """Return the 99th percentile of the latency of served reads."""
        return sorted(self.latencies_ms)[int(0.99 * len(self.latencies_ms))]

    def level_changes(self) -> int:
        """Return the number of changes of level at all hosts."""
        return sum(sum(h.outliers.changes.values()) for h in self.hosts)
