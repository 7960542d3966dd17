"""Load of a primary that has to serve all statements of its group.

While the replicas of a group are behind, its primary gets the reads
too, up to twice what its slots can do.  One lender in each of six data
centres queues the statements; the target queues what exceeds its slots
in order of arrival.  Callers repeat refused operations.  Run::

    python -m benchmarks.full_primary
"""

from __future__ import annotations

import collections
import functools
import math
import random
from typing import TYPE_CHECKING, Final

import attrs

from benchmarks.timeline import Timeline
from rosemarysaddle.decide import (
    MAX_SIZE,
    NS_PER_MS,
    ConcurrencyWindow,
    ConnectionQueue,
    ConnectionRequest,
    ConnectionShare,
    WorkEstimates,
    WorkKind,
    retry_after,
)

if TYPE_CHECKING:
    from rosemarysaddle.decide import Waiter


SLOTS: Final = 6
TARGET_QUEUE: Final = 48
CONNECTIONS: Final = (8, 8, 8, 8, 7, 7)
# Two lenders are in the region of the target.
ROUND_TRIPS_MS: Final = (2, 2, 24, 24, 24, 24)
CALLER_TRIES: Final = 3
BACKOFF_MS: Final = 20
PAUSE_MS: Final = 200
MAX_STATEMENTS: Final = 8
WARM_UP_MS: Final = 5_000
WARM_UP_RATE_PER_S: Final = 60
DURATION_MS: Final = 15_000
_SPREAD: Final = 0.7


@attrs.frozen(kw_only=True)
class ServiceClass:
    """Operations that callers expect the same of.

    :param work_ms: mean work of one statement
    :param share: part of all operations
    :param transactions: part of its operations that are transactions
    """

    name: str
    priority: int
    work_ms: float
    transactions: float
    timeout_ms: int
    objective_ms: int
    share: float


CLASSES: Final = (
    ServiceClass(
        name="intake",
        priority=1,
        work_ms=11,
        transactions=0.4,
        timeout_ms=1_000,
        objective_ms=500,
        share=0.15,
    ),
    ServiceClass(
        name="status",
        priority=2,
        work_ms=55,
        transactions=0.1,
        timeout_ms=3_000,
        objective_ms=1_200,
        share=0.15,
    ),
    ServiceClass(
        name="quote",
        priority=2,
        work_ms=33,
        transactions=0.12,
        timeout_ms=1_000,
        objective_ms=1_000,
        share=0.7,
    ),
)


@attrs.define(kw_only=True, eq=False)
class Operation:
    """One operation of a caller.

    :param statements: number of its statements
    :param lender: number of the lender that its host asks
    :param pauses_ms: time for which its caller paused
    """

    service_class: ServiceClass
    at_ms: float
    statements: int
    is_transaction: bool
    lender: int
    tries: int = 0
    tried_ms: float = 0
    taken_ms: float = 0
    sent_ms: float = 0
    done: int = 0
    work_ms: float = 0
    pauses_ms: float = 0


@attrs.define(kw_only=True)
class Result:
    """What callers of one class got.

    :param late_refusals: tries refused after more than 100 ms
    """

    operations: int = 0
    served: int = 0
    in_time: int = 0
    refusals: int = 0
    late_refusals: int = 0

    @property
    def served_share(self) -> float:
        """Part of the operations that were served."""
        return self.served / max(1, self.operations)

    @property
    def in_time_share(self) -> float:
        """Part of the operations that were served in time."""
        return self.in_time / max(1, self.operations)


@attrs.frozen(kw_only=True)
class Policy:
    """Rules that are in force; each can be switched off.

    :param shortest_first: whether short operations go first
    :param bounds_windows: whether the slots bound the lenders' windows
    :param counts_transactions: whether statements of transactions count
        in the window, and a transaction begins only with room in it
    """

    shortest_first: bool = True
    bounds_windows: bool = True
    counts_transactions: bool = True


class _EqualWork(WorkEstimates):
    """Takes all operations to need the same work."""

    def rank(self, kind: WorkKind) -> int:
        del kind
        return 0


class _BeginsWithoutRoom(ConnectionQueue[Operation]):
    """Queue in which transactions begin whatever runs."""

    def may_acquire(self, connection_request: ConnectionRequest) -> bool:
        if connection_request.pinned:
            return self.pinned < self._max_pinned
        return super().may_acquire(connection_request)


@attrs.define(kw_only=True, eq=False)
class Simulation(Timeline):
    """Play of the load at one target and its lenders."""

    policy: Policy = attrs.field(factory=Policy)
    rate_per_s: float = 268
    seed: int = 1
    results: dict[str, Result] = attrs.field(
        factory=lambda: collections.defaultdict(Result), init=False
    )
    busy_ms: float = attrs.field(default=0, init=False)
    _queues: list[ConnectionQueue[Operation]] = attrs.field(init=False)
    _free: list[int] = attrs.field(init=False)
    _random: random.Random = attrs.field(init=False)
    _running: int = attrs.field(default=0, init=False)
    _at_target: collections.deque[Operation] = attrs.field(
        factory=collections.deque, init=False
    )

    def __attrs_post_init__(self) -> None:
        """Create the lenders' queues."""
        self._random = random.Random(self.seed)
        self._free = list(CONNECTIONS)
        self._queues = [self._new_queue(limit) for limit in CONNECTIONS]

    def _new_queue(self, limit: int) -> ConnectionQueue[Operation]:
        policy = self.policy
        share = ConnectionShare(
            limit=limit, uses_lender=True, fraction=1 / len(CONNECTIONS)
        )
        max_size = MAX_SIZE
        if policy.bounds_windows:
            max_size = share.max_window(SLOTS)
        window = ConcurrencyWindow(size=min(SLOTS, max_size))
        window.max_size = max_size
        queue_class = (
            ConnectionQueue
            if policy.counts_transactions
            else _BeginsWithoutRoom
        )
        return queue_class(
            limit=limit,
            window=window,
            work=WorkEstimates() if policy.shortest_first else _EqualWork(),
        )

    def play(self) -> dict[str, Result]:
        """Play until all operations have ended."""
        rates = (
            (0, WARM_UP_MS, min(self.rate_per_s, WARM_UP_RATE_PER_S)),
            (WARM_UP_MS, WARM_UP_MS + DURATION_MS, self.rate_per_s),
        )
        for begin_ms, end_ms, rate_per_s in rates:
            at_ms = begin_ms + self._random.expovariate(rate_per_s / 1_000)
            while at_ms < end_ms:
                self._at(at_ms, self._arrive, self._draw(at_ms))
                at_ms += self._random.expovariate(rate_per_s / 1_000)
        self._run_events()
        return dict(self.results)

    def _draw(self, at_ms: float) -> Operation:
        found = self._random.choices(CLASSES, [c.share for c in CLASSES])[0]
        is_transaction = self._random.random() < found.transactions
        statements = 1
        if is_transaction:
            # Between BEGIN and COMMIT; the latter uses a slot as well.
            statements = self._random.randint(2, MAX_STATEMENTS) + 1
        if at_ms >= WARM_UP_MS:
            self.results[found.name].operations += 1
        return Operation(
            service_class=found,
            at_ms=at_ms,
            statements=statements,
            is_transaction=is_transaction,
            lender=self._random.randrange(len(CONNECTIONS)),
        )

    # --- lender ---

    def _arrive(self, operation: Operation) -> None:
        operation.tries += 1
        operation.tried_ms = self._now_ms
        operation.done = 0
        operation.work_ms = 0
        queue = self._queues[operation.lender]
        request = _request(operation)
        if self._free[operation.lender] and queue.may_acquire(request):
            self._take(operation)
            return
        wait_ns = queue.expected_wait_ns(request, now_ns=self._now_ns)
        if queue.is_hopeless(
            wait_ns, deadline_ns=request.deadline_ns, now_ns=self._now_ns
        ):
            self._refuse(operation, wait_ns)
            return
        waiter = queue.push(request, operation, now_ns=self._now_ns)
        deadline_ms = request.deadline_ns / NS_PER_MS
        self._at(deadline_ms, self._time_out, waiter)

    def _time_out(self, waiter: Waiter[Operation]) -> None:
        queue = self._queues[waiter.item.lender]
        if waiter not in queue.waiters:
            return
        queue.remove(waiter, now_ns=self._now_ns)
        wait_ns = queue.expected_wait_ns(
            waiter.connection_request, now_ns=self._now_ns
        )
        self._refuse(waiter.item, wait_ns)

    def _refuse(self, operation: Operation, wait_ns: int) -> None:
        found = operation.service_class
        if operation.at_ms >= WARM_UP_MS:
            result = self.results[found.name]
            result.refusals += 1
            result.late_refusals += self._now_ms > operation.tried_ms + 100
        if operation.tries < CALLER_TRIES:
            again_ms = self._now_ms + retry_after(wait_ns)
            self._at(again_ms, self._arrive, operation)

    def _take(self, operation: Operation) -> None:
        self._queues[operation.lender].record_acquired(_request(operation))
        self._free[operation.lender] -= 1
        operation.taken_ms = self._now_ms
        self._send(operation)

    def _send(self, operation: Operation) -> None:
        operation.sent_ms = self._now_ms
        if operation.is_transaction and self.policy.counts_transactions:
            self._queues[operation.lender].record_statement(is_running=True)
        way_ms = ROUND_TRIPS_MS[operation.lender] / 2
        self._at(self._now_ms + way_ms, self._reach, operation)

    def _end(self, operation: Operation, *, was_busy: bool) -> None:
        queue = self._queues[operation.lender]
        operation.work_ms += self._now_ms - operation.sent_ms
        if operation.is_transaction and self.policy.counts_transactions:
            queue.record_statement(is_running=False)
        operation.done += not was_busy
        if was_busy:
            self._return(operation, was_busy=True)
            self._refuse(operation, 0)
        elif operation.done < operation.statements:
            pause_ms = self._random.expovariate(1 / PAUSE_MS)
            operation.pauses_ms += pause_ms
            self._at(self._now_ms + pause_ms, self._send, operation)
            self._serve_waiters(operation.lender)
        else:
            self._return(operation, was_busy=False)
            self._record_served(operation)

    def _return(self, operation: Operation, *, was_busy: bool) -> None:
        held_ms = self._now_ms - operation.taken_ms
        self._free[operation.lender] += 1
        self._queues[operation.lender].record_released(
            _request(operation),
            round(held_ms * NS_PER_MS),
            now_ns=self._now_ns,
            work_ns=round(operation.work_ms * NS_PER_MS),
            was_busy=was_busy,
        )
        self._serve_waiters(operation.lender)

    def _serve_waiters(self, lender: int) -> None:
        while self._free[lender]:
            waiter = self._queues[lender].pop(now_ns=self._now_ns)
            if waiter is None:
                return
            self._take(waiter.item)

    def _record_served(self, operation: Operation) -> None:
        if operation.at_ms < WARM_UP_MS:
            return
        result = self.results[operation.service_class.name]
        result.served += 1
        latency_ms = self._now_ms - operation.at_ms - operation.pauses_ms
        result.in_time += latency_ms <= operation.service_class.objective_ms

    # --- target ---

    def _reach(self, operation: Operation) -> None:
        if self._running < SLOTS:
            self._run(operation)
        elif len(self._at_target) < TARGET_QUEUE:
            self._at_target.append(operation)
        else:
            self._answer(operation, was_busy=True)

    def _run(self, operation: Operation) -> None:
        self._running += 1
        mean_ms = operation.service_class.work_ms
        work_ms = self._random.lognormvariate(
            math.log(mean_ms) - _SPREAD**2 / 2, _SPREAD
        )
        self.busy_ms += work_ms
        self._at(self._now_ms + work_ms, self._finish, operation)

    def _finish(self, operation: Operation) -> None:
        self._running -= 1
        self._answer(operation, was_busy=False)
        if self._at_target:
            self._run(self._at_target.popleft())

    def _answer(self, operation: Operation, *, was_busy: bool) -> None:
        way_ms = ROUND_TRIPS_MS[operation.lender] / 2
        end = functools.partial(self._end, was_busy=was_busy)
        self._at(self._now_ms + way_ms, end, operation)


def _request(operation: Operation) -> ConnectionRequest:
    found = operation.service_class
    deadline_ms = operation.tried_ms + found.timeout_ms / 2
    return ConnectionRequest(
        priority=found.priority,
        pinned=operation.is_transaction,
        deadline_ns=round(deadline_ms * NS_PER_MS),
        service_class=found.name,
    )


POLICIES: Final = {
    "as before": Policy(
        shortest_first=False,
        bounds_windows=False,
        counts_transactions=False,
    ),
    "all": Policy(),
    "without shortest first": Policy(shortest_first=False),
    "without bounded windows": Policy(bounds_windows=False),
    "without counted transactions": Policy(counts_transactions=False),
}
SEEDS: Final = (1, 2, 3)
RATES_PER_S: Final = (100, 150, 268)


def main() -> None:
    """Print what the callers of each class get under each policy."""
    for rate_per_s in RATES_PER_S:
        for name, policy in POLICIES.items():
            for seed in SEEDS:
                simulation = Simulation(
                    policy=policy, rate_per_s=rate_per_s, seed=seed
                )
                results = simulation.play()
                cells = " ".join(
                    f"{c.name} {_describe(results[c.name])}" for c in CLASSES
                )
                print(f"{rate_per_s}/s seed {seed} {name}: {cells}")


def _describe(result: Result) -> str:
    return (
        f"served={result.served_share:.2f}"
        f" in_time={result.in_time_share:.2f}"
        f" refusals={result.refusals}"
        f" late={result.late_refusals}"
    )


if __name__ == "__main__":
    main()
