from __future__ import annotations

import asyncio

from rosemarysaddle._clock import clock_ns
from rosemarysaddle._events import MAX_LINES_PER_SECOND, EventLog
from rosemarysaddle.decide import ConcurrencyWindow
from rosemarysaddle.session._admission import AdmissionQueue

NS_PER_MS = 1_000_000
FAR_NS = 60_000 * NS_PER_MS


def test_window_shrinks_while_the_target_sheds_and_grows_again() -> None:
    window = ConcurrencyWindow(running=2)
    for _ in range(10):
        window.record_shed()
    shrunk = window.size
    for _ in range(100):
        window.record_served()

    assert shrunk == 1.0
    assert window.size > 3.0


def test_turns_are_given_by_priority_then_arrival() -> None:
    async def scenario() -> list[str]:
        admission_queues = AdmissionQueue(window=ConcurrencyWindow(size=1.0))
        order: list[str] = []

        async def run(name: str, priority: int) -> None:
            deadline_ns = clock_ns() + FAR_NS
            if await admission_queues.enter(
                priority=priority, deadline_ns=deadline_ns
            ):
                order.append(name)
                await asyncio.sleep(0)
                admission_queues.leave()

        names = (("a", 2), ("b", 2), ("c", 2), ("d", 0), ("e", 1))
        await asyncio.gather(*(run(n, p) for n, p in names))
        return order

    assert asyncio.run(scenario()) == ["a", "d", "e", "b", "c"]


def test_turn_that_does_not_come_in_time_is_given_up() -> None:
    async def scenario() -> tuple[bool, int, bool]:
        admission_queues = AdmissionQueue(window=ConcurrencyWindow(size=1.0))
        await admission_queues.enter(
            priority=0, deadline_ns=clock_ns() + FAR_NS
        )
        late = await admission_queues.enter(
            priority=0, deadline_ns=clock_ns() + NS_PER_MS
        )
        waiting = admission_queues.waiting
        admission_queues.leave()
        again = await admission_queues.enter(
            priority=0, deadline_ns=clock_ns() + NS_PER_MS
        )
        return late, waiting, again

    assert asyncio.run(scenario()) == (False, 0, True)


def test_transaction_that_has_begun_waits_for_no_turn() -> None:
    admission_queues = AdmissionQueue(
        window=ConcurrencyWindow(size=1.0, running=1)
    )

    admission_queues.enter_now()

    assert admission_queues.window.running == 2


def test_event_log_bounds_a_flood_and_counts_the_rest() -> None:
    lines: list[str] = []
    log = EventLog(write=lines.append)
    for number in range(10 * MAX_LINES_PER_SECOND):
        log.log("refused", str(number), 0)
    log.log("refused", "id=last", 1_000 * NS_PER_MS)

    assert len(lines) == MAX_LINES_PER_SECOND + 2
    assert lines[-2] == f"event=left-out kind=refused count={180}"
