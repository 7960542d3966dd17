from __future__ import annotations

import asyncio

from rosemarysaddle._clock import clock_ns
from rosemarysaddle._events import MAX_LINES_PER_SECOND, EventLog
from rosemarysaddle.decide import ConcurrencyWindow, ConnectionRequest
from rosemarysaddle.session._admission import AdmissionQueue

NS_PER_MS = 1_000_000
FAR_FUTURE_NS = 60_000 * NS_PER_MS
STATEMENT = ConnectionRequest()


def test_window_shrinks_while_the_target_sheds_load_and_grows_again() -> None:
    window = ConcurrencyWindow(running=2)
    for sent_ns in range(10):
        window.record_shed(sent_ns=sent_ns, now_ns=sent_ns)
    shrunk = window.size
    for _ in range(100):
        window.record_served()

    assert shrunk == 1.0
    assert window.size > 3.0


def test_queue_admits_by_priority_then_arrival() -> None:
    async def scenario() -> list[str]:
        queue = AdmissionQueue(window=ConcurrencyWindow(size=1.0))
        order: list[str] = []

        async def run(name: str, priority: int) -> None:
            deadline_ns = clock_ns() + FAR_FUTURE_NS
            request = ConnectionRequest(priority=priority)
            if await queue.enter(request, deadline_ns=deadline_ns):
                order.append(name)
                await asyncio.sleep(0)
                queue.leave()

        names = (("a", 2), ("b", 2), ("c", 2), ("d", 0), ("e", 1))
        await asyncio.gather(*(run(n, p) for n, p in names))
        return order

    assert asyncio.run(scenario()) == ["a", "d", "e", "b", "c"]


def test_queue_drops_a_statement_at_its_deadline() -> None:
    async def scenario() -> tuple[bool, int, bool]:
        queue = AdmissionQueue(window=ConcurrencyWindow(size=1.0))
        await queue.enter(STATEMENT, deadline_ns=clock_ns() + FAR_FUTURE_NS)
        late = await queue.enter(STATEMENT, deadline_ns=clock_ns() + NS_PER_MS)
        waiting = queue.waiting
        queue.leave()
        again = await queue.enter(
            STATEMENT, deadline_ns=clock_ns() + NS_PER_MS
        )
        return late, waiting, again

    assert asyncio.run(scenario()) == (False, 0, True)


def test_queue_admits_an_open_transaction_at_once() -> None:
    queue = AdmissionQueue(window=ConcurrencyWindow(size=1.0, running=1))

    queue.enter_now()

    assert queue.window.running == 2


def test_event_log_limits_lines_and_counts_the_suppressed() -> None:
    lines: list[str] = []
    log = EventLog(write=lines.append)
    for number in range(10 * MAX_LINES_PER_SECOND):
        log.log("refused", str(number), 0)
    log.log("refused", "id=last", 1_000 * NS_PER_MS)

    assert len(lines) == MAX_LINES_PER_SECOND + 2
    assert lines[-2] == f"event=left-out kind=refused count={180}"


def test_queue_admits_a_rare_team_before_the_rest_of_a_flood() -> None:
    async def scenario() -> list[str]:
        queue = AdmissionQueue(window=ConcurrencyWindow(size=1.0))
        order: list[str] = []

        async def run(team: str) -> None:
            request = ConnectionRequest(team=team)
            deadline_ns = clock_ns() + FAR_FUTURE_NS
            if await queue.enter(request, deadline_ns=deadline_ns):
                order.append(team)
                await asyncio.sleep(0)
                queue.leave()

        await asyncio.gather(*(run(t) for t in ["hot"] * 9 + ["rare"]))
        return order

    assert "rare" in asyncio.run(scenario())[:3]
