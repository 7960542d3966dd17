from __future__ import annotations

import heapq
import random
from typing import Final

import attrs
import pytest

from rosemarysaddle.decide import (
    NS_PER_MS,
    ConcurrencyWindow,
    ConnectionQueue,
    ConnectionRequest,
)

STATEMENT = ConnectionRequest()
TRANSACTION = ConnectionRequest(pinned=True)
SLOTS: Final = 5
SERVICE_MS: Final = 33
# A lender's share of 117 connections, one sixth of nine tenths.
CONNECTIONS: Final = 17
RETRY_MS: Final = 20
OBJECTIVE_MS: Final = 1_000


@attrs.define(kw_only=True)
class Load:
    """Statements that arrive at one lender for a target of five slots.

    The target refuses a statement that finds no free slot, and the
    caller's host tries again a little later.
    """

    queue: ConnectionQueue[int]
    per_second: float
    now_ms: float = 0
    in_use: int = 0
    rejected: int = 0
    latencies_ms: list[float] = attrs.field(factory=list)
    _events: list[tuple[float, int, str, int]] = attrs.field(factory=list)
    _arrived_ms: dict[int, float] = attrs.field(factory=dict)
    _sequence: int = 0

    def run(self, statements: int) -> None:
        source = random.Random(7)  # noqa: S311
        at_ms = 0.0
        for number in range(statements):
            at_ms += source.expovariate(self.per_second / 1_000)
            self._arrived_ms[number] = at_ms
            self._push(at_ms, "arrive", number)
        while self._events:
            self.now_ms, _, kind, number = heapq.heappop(self._events)
            if kind == "arrive":
                self._arrive(number)
            else:
                self._finish(number, was_busy=kind == "busy")

    def _push(self, at_ms: float, kind: str, number: int) -> None:
        self._sequence += 1
        heapq.heappush(self._events, (at_ms, self._sequence, kind, number))

    @property
    def _now_ns(self) -> int:
        return round(self.now_ms * NS_PER_MS)

    def _arrive(self, number: int) -> None:
        self.queue.push(STATEMENT, number, now_ns=self._now_ns)
        self._start_waiting()

    def _start_waiting(self) -> None:
        while self.queue.window.running < self.queue.limit:
            waiter = self.queue.pop(now_ns=self._now_ns)
            if waiter is None:
                return
            self.queue.record_acquired(STATEMENT)
            if self.in_use >= SLOTS:
                self.rejected += 1
                self._push(self.now_ms + 1, "busy", waiter.item)
            else:
                self.in_use += 1
                self._push(self.now_ms + SERVICE_MS, "done", waiter.item)

    def _finish(self, number: int, *, was_busy: bool) -> None:
        held_ns = (1 if was_busy else SERVICE_MS) * NS_PER_MS
        self.queue.record_released(
            STATEMENT,
            held_ns,
            now_ns=self._now_ns,
            was_busy=was_busy,
        )
        if was_busy:
            self._push(self.now_ms + RETRY_MS, "arrive", number)
        else:
            self.in_use -= 1
            arrived_ms = self._arrived_ms[number]
            self.latencies_ms.append(self.now_ms - arrived_ms)
        self._start_waiting()


def _queue(*, size: float = SLOTS) -> ConnectionQueue[int]:
    return ConnectionQueue(
        limit=CONNECTIONS, window=ConcurrencyWindow(size=size)
    )


@pytest.mark.parametrize(
    "utilization", [0.3, 0.6, 0.9], ids=["quiet", "busy", "peak"]
)
def test_statements_wait_at_the_lender_instead_of_being_rejected(
    utilization: float,
) -> None:
    per_second = utilization * SLOTS * 1_000 / SERVICE_MS
    load = Load(queue=_queue(), per_second=per_second)

    load.run(statements=4_000)

    assert load.rejected < 0.05 * 4_000
    served = sorted(load.latencies_ms)
    assert len(served) == 4_000
    assert served[int(0.99 * len(served))] < OBJECTIVE_MS


def test_window_settles_at_the_slots_that_others_leave() -> None:
    queue = _queue(size=16)
    load = Load(queue=queue, per_second=0.95 * SLOTS * 1_000 / SERVICE_MS)

    load.run(statements=4_000)

    assert queue.window.size < 2 * SLOTS


def test_window_does_not_count_transactions() -> None:
    queue = _queue(size=1)
    queue.record_acquired(TRANSACTION)

    assert queue.may_acquire(STATEMENT)
    queue.record_released(TRANSACTION, 0, now_ns=0, was_busy=True)
    assert queue.window.size == 1


def test_expected_wait_follows_the_window() -> None:
    wide, narrow = _queue(size=10), _queue(size=2)

    assert narrow.expected_wait_ns(
        STATEMENT, now_ns=0
    ) == 5 * wide.expected_wait_ns(STATEMENT, now_ns=0)


def test_burst_of_refusals_narrows_the_window_once() -> None:
    # Each refusal of one burst narrowed the window: five left one
    # statement at a time, and 15 waiting requests made an expected
    # wait of 370 ms, so that requests with 300 ms left were refused,
    # although the target serves 16 statements within 110 ms.
    queue = _queue(size=SLOTS)
    for number in range(15):
        queue.push(STATEMENT, number, now_ns=99 * NS_PER_MS)
    for _ in range(5):
        queue.record_acquired(STATEMENT)
    for at_ms in range(100, 105):
        queue.record_released(
            STATEMENT,
            5 * NS_PER_MS,
            now_ns=at_ms * NS_PER_MS,
            was_busy=True,
        )

    assert int(queue.window.size) == 3
    wait_ns = queue.expected_wait_ns(STATEMENT, now_ns=104 * NS_PER_MS)
    assert wait_ns <= 200 * NS_PER_MS


def test_window_narrows_again_after_a_round_trip() -> None:
    window = ConcurrencyWindow(size=10)

    for sent_ns, now_ns in ((0, 5), (4, 6), (6, 11), (10, 12), (11, 16)):
        window.record_shed(sent_ns=sent_ns, now_ns=now_ns)

    assert window.size == pytest.approx(10 * 0.67**3)
