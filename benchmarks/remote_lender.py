"""Statements at one target through a lender of all data centres.

Plays Poisson arrivals of statements outside of transactions against the
queue and the window of each lender of one target, in simulated time:

    python -m benchmarks.remote_lender

A connection is held for the way to the borrower and back as well, so a
window that suits hosts next to the lender starves a target whose
borrowers are far away.  The table compares a lender in each data centre
with one for all whose window narrows down to 1 or to a number of slots.
"""

from __future__ import annotations

import functools
import random
from typing import Final

import attrs

from benchmarks.timeline import Timeline
from rosemarysaddle.decide import (
    NS_PER_MS,
    ConcurrencyWindow,
    ConnectionQueue,
    ConnectionRequest,
)

SLOTS: Final = 4
WORK_MS: Final = 18.0
PLAYED_S: Final = 30
SEED: Final = 1
# Round trips between the target's data centre and the six of
# deployment B: its own, one of its region, four of other regions.
ROUND_TRIPS_MS: Final = (1.0, 2.0, 24.0, 24.0, 24.0, 24.0)
_REQUEST: Final = ConnectionRequest()


@attrs.frozen(kw_only=True)
class Statement:
    """One statement.

    :param arrived_ms: time at which it was sent
    :param way_ms: from the grant until the target has the statement,
        and from the answer until the lender has the connection back
    """

    queue: ConnectionQueue[Statement]
    arrived_ms: float
    way_ms: float


@attrs.define(kw_only=True, eq=False)
class Simulation(Timeline):
    """Target with its lenders, in simulated time."""

    queues: list[ConnectionQueue[Statement]]
    waits_ms: list[float] = attrs.field(factory=list)
    sheds: int = 0
    _running: int = 0
    _numbers: random.Random = attrs.field(factory=lambda: random.Random(SEED))

    def run(self, rate_per_s: float) -> None:
        """Play all arrivals and wait for the last answer."""
        at_ms = 0.0
        while at_ms < PLAYED_S * 1_000:
            at_ms += self._numbers.expovariate(rate_per_s / 1_000)
            center = self._numbers.randrange(len(ROUND_TRIPS_MS))
            way_ms = ROUND_TRIPS_MS[center]
            if len(self.queues) > 1:
                # The loan itself does not leave the data centre.
                way_ms = (way_ms + ROUND_TRIPS_MS[0]) / 2
            statement = Statement(
                queue=self.queues[center % len(self.queues)],
                arrived_ms=at_ms,
                way_ms=way_ms,
            )
            self._at(at_ms, self._push, statement)
        self._run_events()

    def _push(self, statement: Statement) -> None:
        statement.queue.push(_REQUEST, statement, now_ns=self._now_ns)
        self._serve(statement.queue)

    def _serve(self, queue: ConnectionQueue[Statement]) -> None:
        while (waiter := queue.pop(now_ns=self._now_ns)) is not None:
            queue.record_acquired(_REQUEST)
            action = functools.partial(self._reach, waiter.item, self._now_ms)
            self._at(self._now_ms + waiter.item.way_ms, action)

    def _reach(self, statement: Statement, granted_ms: float) -> None:
        is_shed = self._running >= SLOTS
        done_ms = self._now_ms
        if is_shed:
            self.sheds += 1
        else:
            self._running += 1
            done_ms += self._numbers.expovariate(1 / WORK_MS)
            self._at(done_ms, self._leave)
        action = functools.partial(
            self._return, statement, granted_ms, is_shed=is_shed
        )
        self._at(done_ms + statement.way_ms, action)

    def _leave(self) -> None:
        self._running -= 1

    def _return(
        self, statement: Statement, granted_ms: float, *, is_shed: bool
    ) -> None:
        held_ns = int((self._now_ms - granted_ms) * NS_PER_MS)
        statement.queue.record_released(
            _REQUEST,
            held_ns,
            now_ns=self._now_ns,
            was_busy=is_shed,
        )
        if is_shed:
            statement.queue.push(_REQUEST, statement, now_ns=self._now_ns)
        else:
            self.waits_ms.append(self._now_ms - statement.arrived_ms)
        self._serve(statement.queue)


def measure(
    rate_per_s: float, *, lenders: int, min_size: float
) -> tuple[float, float, float]:
    """Play one load.

    :param min_size: size down to which a window narrows
    :return: refusals of the target for each statement, and the median
        and the 99th percentile of the time to the answer in ms
    """
    queues: list[ConnectionQueue[Statement]] = [
        ConnectionQueue(
            limit=40 if lenders == 1 else 8,
            window=ConcurrencyWindow(
                size=max(SLOTS, min_size), min_size=min_size
            ),
        )
        for _ in range(lenders)
    ]
    played = Simulation(queues=queues)
    played.run(rate_per_s)
    waits = sorted(played.waits_ms)
    count = len(waits)
    return played.sheds / count, waits[count // 2], waits[count * 99 // 100]


def main() -> None:
    """Print the table."""
    for rate_per_s in (34, 77, 120):
        for lenders, min_size in ((6, 1), (1, 1), (1, 4), (1, 6), (1, 8)):
            sheds, median_ms, late_ms = measure(
                rate_per_s, lenders=lenders, min_size=min_size
            )
            print(
                f"{rate_per_s:>4}/s  {lenders} lenders, window from"
                f" {min_size}: refused {sheds:6.1%}"
                f"  p50 {median_ms:6.0f} ms  p99 {late_ms:6.0f} ms"
            )


if __name__ == "__main__":
    main()
