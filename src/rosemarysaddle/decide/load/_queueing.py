"""Queue for the connections to a target.

Designed for peak load: more statements than a target can run, from many
hosts that do not know of each other, and callers that stay idle inside
transactions.  Requests are served by priority and then fairly by team
(see :mod:`rosemarysaddle.decide.load._fair_order`), transactions never
hold the last connections, and the expected wait allows a request that
cannot be served in time to be refused at once.  Statements outside of
transactions wait here instead of being refused by a target whose slots
are all in use: a window that narrows with each refusal limits them.
"""

from __future__ import annotations

import itertools
from typing import TYPE_CHECKING, Final, Generic, TypeVar

import attrs

from rosemarysaddle.decide._times import NS_PER_MS
from rosemarysaddle.decide.load._drain_rate import DrainRate
from rosemarysaddle.decide.load._fair_order import FairOrder
from rosemarysaddle.decide.load._window import ConcurrencyWindow
from rosemarysaddle.decide.load._work_estimates import WorkEstimates, WorkKind

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

__all__ = ("WEIGHT_SCALE", "ConnectionQueue", "ConnectionRequest", "Waiter")

# Weights are sent in thousandths.
WEIGHT_SCALE: Final = 1_000
# Initial value of the average: one statement and its round trip.
INITIAL_HOLD_NS: Final = 30 * NS_PER_MS
# Assumed time of a transaction until transactions were seen to end.
INITIAL_TRANSACTION_NS: Final = 100 * NS_PER_MS
# A request is late if it is not expected to be answered in time should
# it start now.  Half of the services take longer than the mean.
ON_TIME_HOLDS: Final = 2
# The expected wait is taken to be too low by one part in this many, as
# a request that waits in vain costs its caller more than one that is
# refused at once.
WAIT_MARGIN_DIVISOR: Final = 8
# One connection in this many is reserved for requests outside of
# transactions.
CONNECTIONS_PER_RESERVED: Final = 4
_HOLD_EWMA_DIVISOR: Final = 16
_T = TypeVar("_T")


@attrs.frozen(kw_only=True)
class ConnectionRequest:
    """Request for a connection.

    :param priority: priority of the statement; 0 is the highest
    :param pinned: whether a transaction keeps the connection
    :param team: team that the connection has to serve, or empty
    :param any_team: whether the request is the proxy's own, so that a
        connection of any team serves it
    :param deadline_ns: time until which the request may wait; 0 if
        unknown
    :param objective_ns: time by which the statement has to be answered
        to meet its latency objective; 0 if unknown
    :param weight: share of the team relative to other teams
    :param service_class: class of the route, whose earlier operations
        tell how much work to expect; empty if unknown
    :param work_kind: kind of the operation for the estimate of its work
    """

    priority: int = 0
    pinned: bool = False
    team: str = ""
    any_team: bool = False
    deadline_ns: int = 0
    objective_ns: int = 0
    weight: float = 1.0
    service_class: str = ""
    work_kind: WorkKind = attrs.field(init=False, eq=False, repr=False)

    @work_kind.default
    def _find_work_kind(self) -> WorkKind:
        return WorkKind(
            service_class=self.service_class, is_transaction=self.pinned
        )


@attrs.frozen(kw_only=True, eq=False)
class Waiter(Generic[_T]):
    """One waiting request of the queue.

    :param number: sequence number that keeps the order of arrival
    :param item: object that the owner of the queue attached
    """

    connection_request: ConnectionRequest
    number: int
    item: _T


@attrs.define(kw_only=True, eq=False)
class ConnectionQueue(Generic[_T]):
    """Queue for the connections to one target.

    :param limit: number of connections
    :param window: limit on the connections in use outside of
        transactions
    :param mean_hold_ns: moving average of the time for which a
        connection is held outside of transactions
    :param work: work of the operations of each kind
    """

    limit: int
    window: ConcurrencyWindow = attrs.field(factory=ConcurrencyWindow)
    mean_hold_ns: int = INITIAL_HOLD_NS
    work: WorkEstimates = attrs.field(factory=WorkEstimates)
    _pinned: int = attrs.field(default=0, init=False)
    _orders: dict[int, FairOrder[Waiter[_T]]] = attrs.field(
        factory=dict, init=False
    )
    _sequence: Iterator[int] = attrs.field(factory=itertools.count, init=False)
    _statement_rate: DrainRate = attrs.field(factory=DrainRate, init=False)
    _transaction_rate: DrainRate = attrs.field(factory=DrainRate, init=False)

    def __len__(self) -> int:
        """Return the number of waiting requests."""
        return sum(len(order) for order in self._orders.values())

    @property
    def pinned(self) -> int:
        """Number of connections that transactions keep."""
        return self._pinned

    @property
    def waiters(self) -> list[Waiter[_T]]:
        """Waiting requests, by priority."""
        return [w for _, order in sorted(self._orders.items()) for w in order]

    def waiting_by_priority(self) -> dict[int, int]:
        """Return the number of waiting requests of each priority."""
        return {p: len(order) for p, order in sorted(self._orders.items())}

    def may_acquire(self, connection_request: ConnectionRequest) -> bool:
        """Tell whether a request may use a free connection."""
        if not self.window.may_start():
            return False
        return not connection_request.pinned or self._pinned < self._max_pinned

    def expected_wait_ns(
        self, connection_request: ConnectionRequest, *, now_ns: int
    ) -> int:
        """Estimate the time until a new request gets a connection.

        It follows from the requests ahead and the rate at which such
        requests were served lately.
        """
        priority = connection_request.priority
        served_ns = now_ns + ON_TIME_HOLDS * self.mean_hold_ns
        ahead = sum(
            order.count_ahead(connection_request, served_ns)
            if p == priority
            else order.count(pinned=connection_request.pinned)
            for p, order in self._orders.items()
            if p <= priority
        )
        at_once = max(1, min(self.limit, int(self.window.size)))
        assumed_ns = self.mean_hold_ns / at_once
        if connection_request.pinned:
            assumed_ns = INITIAL_TRANSACTION_NS / max(1, self._max_pinned)
        rate = self._rate(connection_request)
        wait_ns = rate.expected_wait_ns(
            ahead, priority, now_ns, assumed_ns=assumed_ns
        )
        if connection_request.pinned:
            return wait_ns
        team_wait_ns = self._order(priority).team_wait_ns(
            connection_request, now_ns, assumed_ns=assumed_ns
        )
        return max(wait_ns, team_wait_ns)

    def is_hopeless(
        self, wait_ns: int, *, deadline_ns: int, now_ns: int
    ) -> bool:
        """Tell whether a request is refused instead of queued.

        :param wait_ns: expected wait
        :param deadline_ns: time until which the request may wait
        """
        margin_ns = wait_ns // WAIT_MARGIN_DIVISOR
        return now_ns + wait_ns + margin_ns > deadline_ns

    def push(
        self,
        connection_request: ConnectionRequest,
        item: _T,
        *,
        now_ns: int,
        number: int | None = None,
    ) -> Waiter[_T]:
        """Add a request to the queue.

        :param number: sequence number that the request had before, so
            that one that was woken in vain keeps its place
        """
        waiter = Waiter(
            connection_request=connection_request,
            number=next(self._sequence) if number is None else number,
            item=item,
        )
        self._order(connection_request.priority).add(waiter)
        self._observe(connection_request, now_ns)
        return waiter

    def remove(self, waiter: Waiter[_T], *, now_ns: int) -> None:
        """Remove a waiter from the queue, if it is still there."""
        request = waiter.connection_request
        self._order(request.priority).remove(waiter)
        self._observe(request, now_ns)

    def pop(
        self,
        is_suitable: Callable[[ConnectionRequest], bool] = lambda _: True,
        *,
        now_ns: int,
    ) -> Waiter[_T] | None:
        """Remove the first waiter that may use a free connection.

        :param is_suitable: whether there is a connection for a request
        :return: the waiter, or None if there is none
        """
        served_ns = now_ns + ON_TIME_HOLDS * self.mean_hold_ns

        def may_take(request: ConnectionRequest) -> bool:
            return self.may_acquire(request) and is_suitable(request)

        for _, order in sorted(self._orders.items()):
            waiter = order.take(may_take, served_ns)
            if waiter is not None:
                self._observe(waiter.connection_request, now_ns)
                return waiter
        return None

    def record_acquired(self, connection_request: ConnectionRequest) -> None:
        """Record that a request has acquired a connection."""
        self._order(connection_request.priority).record_served(
            connection_request
        )
        if connection_request.pinned:
            self._pinned += 1
        else:
            self.window.running += 1

    def record_statement(self, *, is_running: bool) -> None:
        """Record that a statement of a transaction starts or ends.

        It does not wait, but new work has to leave it a slot.
        """
        self.window.running += 1 if is_running else -1

    def record_released(
        self,
        connection_request: ConnectionRequest,
        held_ns: int,
        *,
        now_ns: int,
        work_ns: int | None = None,
        was_busy: bool = False,
        was_lost: bool = False,
        ran_nothing: bool = False,
    ) -> None:
        """Record that a request has released its connection.

        :param held_ns: time for which it was held, in nanoseconds
        :param work_ns: time for which its statements ran, in
            nanoseconds; None if it was held for one statement
        :param was_busy: whether the target refused the statement
            because all its slots were in use
        :param was_lost: whether the connection was lost while in use
        :param ran_nothing: whether the target refused the statement
            without running it, so that its work is not known
        """
        if not was_busy:
            priority = connection_request.priority
            self._rate(connection_request).record_served(priority, now_ns)
            if not connection_request.pinned:
                order = self._order(priority)
                order.record_released(connection_request, now_ns)
            if not (was_lost or ran_nothing):
                self.work.record(
                    connection_request.work_kind,
                    held_ns if work_ns is None else work_ns,
                    now_ns,
                )
        if connection_request.pinned:
            self._pinned -= 1
            return
        if was_busy:
            self.window.record_shed(sent_ns=now_ns - held_ns, now_ns=now_ns)
        elif not was_lost:
            self.window.record_served()
        self.window.running -= 1
        # A refusal ran nothing, and a loss shows only that the
        # statement would have taken at least this long.
        if was_busy or (was_lost and held_ns < self.mean_hold_ns):
            return
        self.mean_hold_ns += (
            held_ns - self.mean_hold_ns
        ) // _HOLD_EWMA_DIVISOR

    @property
    def _max_pinned(self) -> int:
        return self.limit - self.limit // CONNECTIONS_PER_RESERVED

    def _order(self, priority: int) -> FairOrder[Waiter[_T]]:
        order = self._orders.get(priority)
        if order is None:
            order = self._orders[priority] = FairOrder(work=self.work)
        return order

    def _rate(self, connection_request: ConnectionRequest) -> DrainRate:
        if connection_request.pinned:
            return self._transaction_rate
        return self._statement_rate

    def _observe(
        self, connection_request: ConnectionRequest, now_ns: int
    ) -> None:
        self._order(connection_request.priority).observe(
            connection_request, now_ns
        )
        pinned = connection_request.pinned
        has_backlog = any(
            order.count(pinned=pinned) for order in self._orders.values()
        )
        self._rate(connection_request).observe(now_ns, has_backlog=has_backlog)
