"""Order of the waiting requests of one priority.

Teams share a priority by start-time fair queueing: each team has a
virtual start time that advances by the inverse of its weight with each
connection that it gets, and the team with the lowest one is served
first.  A team that floods the queue therefore waits behind its own
requests.  Within a team, requests that are expected to need less work
go first, then in order of arrival; after ``MAX_PASSES`` requests that
went before an older one, the oldest goes next.

Requests that can still meet their latency objective go before those
that cannot; of every ``MAX_ON_TIME_RUN + 1`` requests that are taken
from the queue while late ones wait, at least one is late.
"""

from __future__ import annotations

import bisect
from typing import TYPE_CHECKING, Final, Generic, Protocol, TypeVar

import attrs

from rosemarysaddle.decide.load._drain_rate import DrainRate
from rosemarysaddle.decide.load._work_estimates import WorkEstimates, WorkKind

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from rosemarysaddle.decide.load._queueing import ConnectionRequest

__all__ = ("FairOrder",)

# A late answer is worth less than one in time, but the caller still
# waits for it.
MAX_ON_TIME_RUN: Final = 4
# Under overload the short operations alone can use all slots.  The long
# ones get a ninth of the services then, and more while fewer short ones
# wait.
MAX_PASSES: Final = 8
# Rates of kinds without waiting requests are kept up to this many.
MAX_KIND_RATES: Final = 32
MIN_WEIGHT: Final = 0.001
# Virtual times are kept for this many teams without waiting requests;
# one that is forgotten is served at most one request too early.
MAX_IDLE_TEAMS: Final = 256


class Waiting(Protocol):
    """Waiting request."""

    @property
    def connection_request(self) -> ConnectionRequest:
        """Request for a connection."""

    @property
    def number(self) -> int:
        """Sequence number of its arrival."""


_W = TypeVar("_W", bound=Waiting)


@attrs.define(kw_only=True)
class _TeamQueue(Generic[_W]):
    """Waiting requests of one team.

    :param start: virtual start time of its next request
    :param rate: measure of its services
    :param rates: measure of its services of each kind
    :param waiting: waiting requests in order of arrival
    :param passes: number of requests that went before an older one
        since the oldest was served
    """

    start: float = 0.0
    rate: DrainRate = attrs.field(factory=DrainRate, init=False)
    rates: dict[WorkKind, DrainRate] = attrs.field(factory=dict, init=False)
    waiting: list[_W] = attrs.field(factory=list, init=False)
    passes: int = attrs.field(default=0, init=False)

    def in_order(self, work: WorkEstimates) -> list[_W]:
        """Return the waiting requests in the order of service."""
        if self.passes >= MAX_PASSES:
            return self.waiting
        ranks = {kind: work.rank(kind) for kind in self.kinds}
        if len(set(ranks.values())) <= 1:
            return self.waiting
        return sorted(
            self.waiting, key=lambda w: ranks[w.connection_request.work_kind]
        )

    @property
    def kinds(self) -> set[WorkKind]:
        """Kinds of the waiting requests."""
        return {w.connection_request.work_kind for w in self.waiting}

    def observe(self, now_ns: int) -> None:
        """Record which kinds have waiting requests from now on."""
        self.rate.observe(now_ns, has_backlog=bool(self.waiting))
        waiting = self.kinds
        if len(self.rates) > MAX_KIND_RATES:
            self.rates = {k: r for k, r in self.rates.items() if k in waiting}
        for kind in waiting - self.rates.keys():
            self.rates[kind] = DrainRate()
        for kind, rate in self.rates.items():
            rate.observe(now_ns, has_backlog=kind in waiting)

    def record_taken(self, waiter: _W) -> None:
        """Record that a request is served, before it is removed."""
        is_oldest = waiter is self.waiting[0]
        self.passes = 0 if is_oldest else self.passes + 1


@attrs.define(kw_only=True)
class FairOrder(Generic[_W]):
    """Waiting requests of one priority in the order of service.

    :param work: work of the operations of each kind
    """

    work: WorkEstimates = attrs.field(factory=WorkEstimates)
    _teams: dict[str, _TeamQueue[_W]] = attrs.field(factory=dict, init=False)
    _virtual: float = attrs.field(default=0.0, init=False)
    _on_time_run: int = attrs.field(default=0, init=False)
    _waiting: int = attrs.field(default=0, init=False)
    _transactions: int = attrs.field(default=0, init=False)

    def __len__(self) -> int:
        """Return the number of waiting requests."""
        return self._waiting

    def __iter__(self) -> Iterator[_W]:
        """Iterate over the waiting requests by team."""
        for queue in self._teams.values():
            yield from queue.waiting

    def count(self, *, pinned: bool) -> int:
        """Count the requests for transactions, or for statements."""
        transactions = self._transactions
        return transactions if pinned else self._waiting - transactions

    def add(self, waiter: _W) -> None:
        """Add a request, in the order of its number."""
        queue = self._team(waiter.connection_request.team)
        bisect.insort(queue.waiting, waiter, key=lambda w: w.number)
        self._waiting += 1
        self._transactions += waiter.connection_request.pinned

    def remove(self, waiter: _W) -> None:
        """Remove a request, if it still waits."""
        queue = self._teams.get(waiter.connection_request.team)
        if queue is not None and waiter in queue.waiting:
            queue.waiting.remove(waiter)
            self._waiting -= 1
            self._transactions -= waiter.connection_request.pinned

    def take(
        self,
        is_suitable: Callable[[ConnectionRequest], bool],
        served_ns: int,
    ) -> _W | None:
        """Remove and return the request that is served next.

        :param is_suitable: whether a request may be served now
        :param served_ns: time at which a request that is taken now is
            expected to be answered
        """
        on_time: _W | None = None
        late: _W | None = None
        virtual = self._virtual
        # The numbers differ, so that the queues are never compared.
        ordered = sorted(
            (max(virtual, t.start), t.waiting[0].number, t)
            for t in self._teams.values()
            if t.waiting
        )
        for _, _, queue in ordered:
            for waiter in queue.in_order(self.work):
                is_late = _is_late(waiter.connection_request, served_ns)
                if (late if is_late else on_time) is not None:
                    continue
                if not is_suitable(waiter.connection_request):
                    continue
                if is_late:
                    late = waiter
                else:
                    on_time = waiter
                    break
            if on_time is not None and late is not None:
                break
        prefers_late = self._on_time_run >= MAX_ON_TIME_RUN
        if late is None or (on_time is not None and not prefers_late):
            chosen = on_time
            if on_time is not None:
                # The lowest start time of all that may go now.  A late
                # request is served out of this order, so it does not
                # advance the virtual time of the others.
                team = on_time.connection_request.team
                self._virtual = self._start(self._teams[team])
            self._on_time_run += on_time is not None and late is not None
        else:
            chosen = late
            self._on_time_run = 0
        if chosen is not None:
            team = chosen.connection_request.team
            self._teams[team].record_taken(chosen)
            self.remove(chosen)
        return chosen

    def record_served(self, request: ConnectionRequest) -> None:
        """Advance the virtual time of a team that got a connection."""
        queue = self._team(request.team)
        start = self._start(queue)
        if not self.count(pinned=request.pinned):
            self._virtual = start
        queue.start = start + 1 / max(MIN_WEIGHT, request.weight)
        self._forget_idle_teams()

    def observe(self, request: ConnectionRequest, now_ns: int) -> None:
        """Record whether requests of a team wait from now on."""
        queue = self._teams.get(request.team)
        if queue is not None:
            queue.observe(now_ns)

    def record_released(self, request: ConnectionRequest, now_ns: int) -> None:
        """Record the end of a service of a team."""
        queue = self._teams.get(request.team)
        if queue is None:
            return
        queue.rate.record_served(0, now_ns)
        rate = queue.rates.get(request.work_kind)
        if rate is not None:
            rate.record_served(0, now_ns)

    def team_wait_ns(
        self, request: ConnectionRequest, now_ns: int, *, assumed_ns: float
    ) -> int:
        """Estimate the wait from the services of the team alone.

        It exceeds the estimate for the whole queue where requests of
        other teams that arrive later are served earlier, and likewise
        where shorter requests of the team are.

        :return: the wait, or 0 if no request of the team waits
        """
        queue = self._teams.get(request.team)
        if queue is None or not queue.waiting:
            return 0
        waiting = sum(
            w.connection_request.pinned == request.pinned
            for w in queue.waiting
        )
        wait_ns = queue.rate.expected_wait_ns(
            self._ahead_in_team(queue, waiting, request),
            0,
            now_ns,
            assumed_ns=assumed_ns,
        )
        kind = request.work_kind
        same_kind = sum(
            w.connection_request.work_kind == kind for w in queue.waiting
        )
        rate = queue.rates.get(kind)
        if rate is None or not same_kind:
            return wait_ns
        kind_wait_ns = rate.expected_wait_ns(
            same_kind, 0, now_ns, assumed_ns=assumed_ns
        )
        return max(wait_ns, kind_wait_ns)

    def _ahead_in_team(
        self, queue: _TeamQueue[_W], waiting: int, request: ConnectionRequest
    ) -> int:
        """Count the requests of a team ahead of a new one.

        :param waiting: number of its requests that wait
        :param request: the new request
        """
        rank = self.work.rank(request.work_kind)
        longer_kinds = {
            kind
            for kind in queue.kinds
            if kind.is_transaction == request.pinned
            and self.work.rank(kind) > rank
        }
        longer = sum(
            w.connection_request.work_kind in longer_kinds
            for w in queue.waiting
        )
        longer = min(waiting, longer)
        shorter = waiting - longer
        return shorter + min(longer, shorter // MAX_PASSES)

    def count_ahead(self, request: ConnectionRequest, served_ns: int) -> int:
        """Count the requests that are served before a new one.

        Only those that wait for the same kind of use count: for a
        statement or for a transaction.
        """
        own = self._teams.get(request.team)
        start = self._virtual
        if own is not None:
            on_time = self._count(own, request, served_ns)[0]
            start = self._start(own)
            start += on_time / max(MIN_WEIGHT, request.weight)
        ahead = late = 0
        for queue in self._teams.values():
            if not queue.waiting:
                continue
            on_time_here, late_here = self._count(queue, request, served_ns)
            late += late_here
            if queue is own:
                on_time_here = self._ahead_in_team(
                    queue, on_time_here, request
                )
            if queue is not own and on_time_here > 1:
                weight = queue.waiting[0].connection_request.weight
                before = max(0.0, start - self._start(queue)) * weight
                on_time_here = min(on_time_here, int(before) + 1)
            ahead += on_time_here
        if _is_late(request, served_ns):
            return ahead + late
        return ahead + min(late, ahead // MAX_ON_TIME_RUN)

    def _count(
        self,
        queue: _TeamQueue[_W],
        request: ConnectionRequest,
        served_ns: int,
    ) -> tuple[int, int]:
        # Called for each waiting team, so it makes no further calls.
        pinned = request.pinned
        on_time = late = 0
        for waiter in queue.waiting:
            other = waiter.connection_request
            if other.pinned == pinned:
                if 0 < other.objective_ns < served_ns:
                    late += 1
                else:
                    on_time += 1
        return on_time, late

    def _team(self, team: str) -> _TeamQueue[_W]:
        queue = self._teams.get(team)
        if queue is None:
            queue = self._teams[team] = _TeamQueue()
        return queue

    def _start(self, queue: _TeamQueue[_W]) -> float:
        """Return the virtual start time of a team's next request.

        A team gains no credit while it sends nothing or while its
        requests are passed over as late.
        """
        return max(queue.start, self._virtual)

    def _forget_idle_teams(self) -> None:
        if len(self._teams) <= MAX_IDLE_TEAMS:
            return
        idle = [t for t, q in self._teams.items() if not q.waiting]
        idle.sort(key=lambda t: self._teams[t].start)
        for team in idle[: len(idle) // 2]:
            del self._teams[team]


def _is_late(request: ConnectionRequest, served_ns: int) -> bool:
    return 0 < request.objective_ns < served_ns
