"""Admission to one target under contention.

Plays named loads against the queue of one lender, in simulated time and
without a network:

    python -m benchmarks.admission

For each load and order of the queue, it prints who is served, how fast
and who is refused.  ``arrival`` is the order by priority and arrival
with an expected wait from the window alone, ``deadline`` is earliest
deadline first by latency objective, ``fair`` shares by team without
objectives, ``decided`` is what the proxy does.
"""

from __future__ import annotations

import collections
import functools
import random
from typing import TYPE_CHECKING, Final

import attrs

from benchmarks.remote_lender import ROUND_TRIPS_MS
from benchmarks.timeline import Timeline
from rosemarysaddle.decide import (
    MIN_SIZE,
    NS_PER_MS,
    ConcurrencyWindow,
    ConnectionQueue,
    ConnectionRequest,
    retry_after,
)
from rosemarysaddle.decide.load._lending import STATEMENTS_PER_SLOT

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from rosemarysaddle.decide import Waiter


LIMIT: Final = 40
SLOTS: Final = 4
SEED: Final = 7
ONE_WAY_MS: Final = 1.0
BUSY_RETRY_MS: Final = 20
CALLER_RETRIES: Final = 2
# Statements may wait for half of their time-out of 800 ms.
START_MS: Final = 400
# Figures of deployment B: writes and reads that follow them.
WRITE_OBJECTIVE_MS: Final = 400
READ_OBJECTIVE_MS: Final = 1_500
# Mean work of deployment B's statements at one target.
WORK_MS: Final = 18.0
CAPACITY_PER_S: Final = SLOTS * 1_000 / WORK_MS


@attrs.define(kw_only=True, eq=False)
class Operation:
    """One operation of a caller.

    :param hold_ms: time for which a transaction stays idle; 0 for a
        statement
    :param way_ms: time one way between the caller's host and the target
    :param tried_ms: arrival of the last try
    """

    team: str
    at_ms: float
    work_ms: float = WORK_MS
    priority: int = 0
    objective_ms: int = WRITE_OBJECTIVE_MS
    hold_ms: float = 0
    way_ms: float = ONE_WAY_MS
    tries: int = 0
    tried_ms: float = 0


@attrs.define(kw_only=True)
class Result:
    """What became of the operations of one team.

    :param latencies_ms: time from the last try to the answer
    :param refusals: times for which refused tries were held
    :param late_refusals: refusals after a quarter of the objective
    """

    operations: int = 0
    in_time: int = 0
    failed: int = 0
    late_refusals: int = 0
    latencies_ms: list[float] = attrs.field(factory=list)
    refusals: list[float] = attrs.field(factory=list)

    @property
    def served_share(self) -> float:
        """Part of the operations that were served."""
        return len(self.latencies_ms) / max(1, self.operations)

    def percentile(self, part: float) -> float:
        """Return a percentile of the latencies, in milliseconds."""
        ordered = sorted(self.latencies_ms) or [0.0]
        return ordered[min(len(ordered) - 1, int(part * len(ordered)))]


class _ByArrival(ConnectionQueue[Operation]):
    """Queue as it was: by arrival, with an assumed rate."""

    def expected_wait_ns(
        self, connection_request: ConnectionRequest, *, now_ns: int
    ) -> int:
        del now_ns
        priority = connection_request.priority
        ahead = sum(
            n for p, n in self.waiting_by_priority().items() if p <= priority
        )
        at_once = max(1, min(self.limit, int(self.window.size)))
        return (ahead + 1) * self.mean_hold_ns // at_once

    def is_hopeless(
        self, wait_ns: int, *, deadline_ns: int, now_ns: int
    ) -> bool:
        return now_ns + wait_ns > deadline_ns


@attrs.define(kw_only=True, eq=False)
class Simulation(Timeline):
    """Play of one load at one lender.

    :param order: ``decided``, ``fair``, ``deadline`` or ``arrival``
    :param slots: slots of the target by simulated time
    :param min_size: size down to which the window narrows
    :param ends_ms: times at which operations were served
    """

    order: str = "decided"
    slots: Callable[[float], int] = lambda _: SLOTS
    min_size: float = MIN_SIZE
    results: dict[str, Result] = attrs.field(
        factory=lambda: collections.defaultdict(Result), init=False
    )
    ends_ms: list[float] = attrs.field(factory=list, init=False)
    _queue: ConnectionQueue[Operation] = attrs.field(init=False)
    _in_use: int = attrs.field(default=0, init=False)
    _running: int = attrs.field(default=0, init=False)

    def __attrs_post_init__(self) -> None:
        """Create the empty queue."""
        queue_class = (
            _ByArrival if self.order == "arrival" else ConnectionQueue
        )
        self._queue = queue_class(
            limit=LIMIT,
            window=ConcurrencyWindow(
                size=max(SLOTS, self.min_size), min_size=self.min_size
            ),
        )

    def play(self, operations: list[Operation]) -> dict[str, Result]:
        """Play operations until all of them have ended."""
        for operation in operations:
            self.results[operation.team].operations += 1
            self._at(operation.at_ms, self._arrive, operation)
        self._run_events()
        return dict(self.results)

    def _arrive(self, operation: Operation) -> None:
        operation.tries += 1
        operation.tried_ms = self._now_ms
        self._request(operation)

    def _request(self, operation: Operation) -> None:
        tried_ns = round(operation.tried_ms * NS_PER_MS)
        objective_ns = tried_ns + operation.objective_ms * NS_PER_MS
        deadline_ns = tried_ns + START_MS * NS_PER_MS
        request = ConnectionRequest(
            priority=operation.priority,
            pinned=operation.hold_ms > 0,
            team=operation.team if self.order in _FAIR else "",
            deadline_ns=deadline_ns,
            objective_ns=objective_ns if self.order == "decided" else 0,
        )
        if self._queue.may_acquire(request) and self._in_use < LIMIT:
            self._start(request, operation)
            return
        wait_ns = self._queue.expected_wait_ns(request, now_ns=self._now_ns)
        if self._queue.is_hopeless(
            wait_ns, deadline_ns=deadline_ns, now_ns=self._now_ns
        ):
            self._refuse(operation, wait_ns)
            return
        # With its objective as its number, a request is served in the
        # order of the objectives.
        number = objective_ns if self.order == "deadline" else None
        waiter = self._queue.push(
            request, operation, now_ns=self._now_ns, number=number
        )
        self._at(deadline_ns / NS_PER_MS, self._time_out, waiter)

    def _time_out(self, waiter: Waiter[Operation]) -> None:
        if waiter not in self._queue.waiters:
            return
        self._queue.remove(waiter, now_ns=self._now_ns)
        wait_ns = self._queue.expected_wait_ns(
            waiter.connection_request, now_ns=self._now_ns
        )
        self._refuse(waiter.item, wait_ns)

    def _refuse(self, operation: Operation, wait_ns: int) -> None:
        result = self.results[operation.team]
        held_ms = self._now_ms - operation.tried_ms
        result.refusals.append(held_ms)
        result.late_refusals += held_ms > operation.objective_ms / 4
        if operation.tries > CALLER_RETRIES:
            result.failed += 1
            return
        self._at(self._now_ms + retry_after(wait_ns), self._arrive, operation)

    def _start(self, request: ConnectionRequest, operation: Operation) -> None:
        self._queue.record_acquired(request)
        self._in_use += 1
        reached_ms = self._now_ms + operation.way_ms
        self._at(reached_ms, self._reach, request, operation, self._now_ns)

    def _reach(
        self, request: ConnectionRequest, operation: Operation, began_ns: int
    ) -> None:
        answered_ms = self._now_ms + operation.way_ms
        end = functools.partial(self._end, request, operation, began_ns)
        if operation.hold_ms:
            self._at(answered_ms + operation.hold_ms, end, _SERVED)
        elif self._running >= self.slots(self._now_ms):
            self._at(answered_ms, end, _BUSY)
        else:
            self._running += 1
            self._at(answered_ms + operation.work_ms, end, _SERVED)

    def _end(
        self,
        request: ConnectionRequest,
        operation: Operation,
        began_ns: int,
        outcome: str,
    ) -> None:
        was_busy = outcome == _BUSY
        self._in_use -= 1
        self._queue.record_released(
            request,
            self._now_ns - began_ns,
            now_ns=self._now_ns,
            was_busy=was_busy,
        )
        if was_busy:
            self._retry_busy(operation)
        else:
            self._running -= not operation.hold_ms
            self._record_served(operation)
        while self._in_use < LIMIT:
            waiter = self._queue.pop(now_ns=self._now_ns)
            if waiter is None:
                return
            self._start(waiter.connection_request, waiter.item)

    def _retry_busy(self, operation: Operation) -> None:
        at_ms = self._now_ms + BUSY_RETRY_MS
        if at_ms < operation.tried_ms + START_MS:
            self._at(at_ms, self._request, operation)
        else:
            self._refuse(operation, 0)

    def _record_served(self, operation: Operation) -> None:
        result = self.results[operation.team]
        latency_ms = self._now_ms - operation.tried_ms - operation.hold_ms
        result.latencies_ms.append(latency_ms)
        result.in_time += latency_ms <= operation.objective_ms
        self.ends_ms.append(self._now_ms)


_FAIR: Final = ("fair", "decided")
_SERVED: Final = "served"
_BUSY: Final = "busy"


def arrivals(
    team: str,
    rate_per_s: float,
    duration_ms: float,
    *,
    start_ms: float = 0,
    priority: int = 0,
    objective_ms: int = WRITE_OBJECTIVE_MS,
) -> list[Operation]:
    """Draw the operations of one team, with exponential work."""
    source = random.Random(f"{SEED} {team} {priority}")
    found: list[Operation] = []
    at_ms = start_ms
    while True:
        at_ms += source.expovariate(rate_per_s / 1_000)
        if at_ms >= start_ms + duration_ms:
            return found
        operation = Operation(
            team=team,
            at_ms=at_ms,
            work_ms=source.expovariate(1 / WORK_MS),
            priority=priority,
            objective_ms=objective_ms,
        )
        found.append(operation)


def team_rates(count: int, load: float) -> dict[str, float]:
    """Return rates of teams sized 1/rank^1.2, in operations/s.

    :param load: part of the capacity that they use together
    """
    sizes = [rank**-1.2 for rank in range(1, count + 1)]
    total = sum(sizes)
    return {
        f"t{rank:02}": load * CAPACITY_PER_S * size / total
        for rank, size in enumerate(sizes, 1)
    }


def hot_team() -> list[Operation]:
    """Play ten teams at 0.6, the third at 8 times its load."""
    rates = team_rates(10, 0.6)
    rates["t03"] *= 8
    return [o for t, r in rates.items() for o in arrivals(t, r, 20_000)]


def hot_team_remote() -> list[Operation]:
    """Play the hot team with one lender for six data centres.

    The round trips and the window are those of
    `benchmarks.remote_lender`.
    """
    source = random.Random(SEED)
    operations = hot_team()
    for operation in operations:
        operation.way_ms = source.choice(ROUND_TRIPS_MS) / 2
    return operations


def idle_transactions() -> list[Operation]:
    """Play 120 callers idle for 5 s in transactions, others at 0.6."""
    idle = [
        Operation(team="idle", at_ms=2_000 + n, hold_ms=5_000)
        for n in range(120)
    ]
    return idle + arrivals("others", 0.6 * CAPACITY_PER_S, 10_000)


def lost_slots() -> list[Operation]:
    """Play writes at 0.15 and reads at 0.5 while slots are lost."""
    reads = arrivals(
        "reads",
        0.5 * CAPACITY_PER_S,
        15_000,
        priority=1,
        objective_ms=READ_OBJECTIVE_MS,
    )
    return reads + arrivals("writes", 0.15 * CAPACITY_PER_S, 15_000)


def lost_slots_at(at_ms: float) -> int:
    """Return the slots of a target that has one from 5 s to 10 s."""
    return 1 if 5_000 <= at_ms < 10_000 else SLOTS


def all_return() -> list[Operation]:
    """Play 170 callers of one target at once, then a load of 0.6.

    2,020 sessions return to 12 targets.
    """
    rates = team_rates(10, 0.6)
    usual = [o for t, r in rates.items() for o in arrivals(t, r, 10_000)]
    source = random.Random(SEED)
    teams = source.choices(list(rates), list(rates.values()), k=170)
    return usual + [Operation(team=t, at_ms=0) for t in teams]


def many_teams() -> list[Operation]:
    """Play 83 teams sized 1/rank^1.2 at 1.5 times the capacity."""
    rates = team_rates(83, 1.5)
    return [o for t, r in rates.items() for o in arrivals(t, r, 20_000)]


LOADS: Final[dict[str, Callable[[], list[Operation]]]] = {
    "hot_team": hot_team,
    "hot_team_remote": hot_team_remote,
    "idle_transactions": idle_transactions,
    "lost_slots": lost_slots,
    "all_return": all_return,
    "many_teams": many_teams,
}
ORDERS: Final = ("arrival", "deadline", "fair", "decided")


def play(load: str, order: str = "decided") -> Simulation:
    """Play a named load."""
    slots = lost_slots_at if load == "lost_slots" else lambda _: SLOTS
    min_size = MIN_SIZE
    if load == "hot_team_remote":
        min_size = STATEMENTS_PER_SLOT * SLOTS
    simulation = Simulation(order=order, slots=slots, min_size=min_size)
    simulation.play(LOADS[load]())
    return simulation


def merge(results: Iterable[Result]) -> Result:
    """Add up the results of several teams."""
    total = Result()
    for result in results:
        for field in attrs.fields(Result):
            value = getattr(total, field.name) + getattr(result, field.name)
            setattr(total, field.name, value)
    return total


def main() -> None:
    """Print a table for each load and order."""
    for load in LOADS:
        print(f"{load}: {(LOADS[load].__doc__ or '').splitlines()[0]}")
        for order in ORDERS:
            results = play(load, order).results
            largest = sorted(results, key=lambda t: -results[t].operations)
            rows = {t: results[t] for t in sorted(largest[:4])}
            rows["rest"] = merge(results[t] for t in largest[4:])
            rows["all"] = merge(results.values())
            for team, result in rows.items():
                if result.operations:
                    print(f"  {order:9} {team:7} {_describe(result)}")


def _describe(result: Result) -> str:
    return (
        f"operations={result.operations}"
        f" served={result.served_share:.3f}"
        f" in_time={result.in_time / result.operations:.3f}"
        f" p50={result.percentile(0.5):.0f}"
        f" p99={result.percentile(0.99):.0f}"
        f" refusals={len(result.refusals)} late={result.late_refusals}"
    )


if __name__ == "__main__":
    main()
