"""Queue for the connections to a target.

Designed for peak load: more statements than a target can run, from many
hosts that do not know of each other, and callers that stay idle inside
transactions.  Requests are served by priority, transactions never hold
the last connections, and the expected wait allows a request that cannot
be served in time to be refused at once.  Statements outside of
transactions wait here instead of being refused by a target whose slots
are all in use: a window that narrows with each refusal limits them.
"""

from __future__ import annotations

import bisect
import itertools
from typing import TYPE_CHECKING, Final, Generic, TypeVar

import attrs

from rosemarysaddle.decide._times import NS_PER_MS
from rosemarysaddle.decide.load._window import ConcurrencyWindow

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

__all__ = ("WEIGHT_SCALE", "ConnectionQueue", "ConnectionRequest", "Waiter")

# Weights are sent in thousandths.
WEIGHT_SCALE: Final = 1_000
# Initial value of the average: one statement and its round trip.
INITIAL_HOLD_NS: Final = 30 * NS_PER_MS
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
    """

    priority: int = 0
    pinned: bool = False
    team: str = ""
    any_team: bool = False
    deadline_ns: int = 0
    objective_ns: int = 0
    weight: float = 1.0


@attrs.frozen(kw_only=True, eq=False)
class Waiter(Generic[_T]):
    """One waiting request of the queue.

    :param number: sequence number that keeps the order of arrival
    :param item: object that the owner of the queue attached
    """

    connection_request: ConnectionRequest
    number: int
    item: _T

    @property
    def rank(self) -> tuple[int, int]:
        """Sort key in the queue; the lowest is served first."""
        return (self.connection_request.priority, self.number)


@attrs.define(kw_only=True, eq=False)
class ConnectionQueue(Generic[_T]):
    """Queue for the connections to one target.

    :param limit: number of connections
    :param window: limit on the connections in use outside of
        transactions
    :param mean_hold_ns: moving average of the time for which a
        connection is held outside of transactions
    """

    limit: int
    window: ConcurrencyWindow = attrs.field(factory=ConcurrencyWindow)
    mean_hold_ns: int = INITIAL_HOLD_NS
    _pinned: int = attrs.field(default=0, init=False)
    _waiting: list[Waiter[_T]] = attrs.field(factory=list, init=False)
    _sequence: Iterator[int] = attrs.field(factory=itertools.count, init=False)

    def __len__(self) -> int:
        """Return the number of waiting requests."""
        return len(self._waiting)

    def may_acquire(self, connection_request: ConnectionRequest) -> bool:
        """Tell whether a request may use a free connection."""
        if not connection_request.pinned:
            return self.window.may_start()
        max_pinned = self.limit - self.limit // CONNECTIONS_PER_RESERVED
        return self._pinned < max_pinned

    def expected_wait_ns(self, connection_request: ConnectionRequest) -> int:
        """Estimate the time until a new request gets a connection."""
        index = bisect.bisect_right(
            self._waiting,
            connection_request.priority,
            key=lambda w: w.connection_request.priority,
        )
        at_once = max(1, min(self.limit, int(self.window.size)))
        return (index + 1) * self.mean_hold_ns // at_once

    def push(
        self, connection_request: ConnectionRequest, item: _T
    ) -> Waiter[_T]:
        """Add a request to the queue, behind others of its priority."""
        waiter = Waiter(
            connection_request=connection_request,
            number=next(self._sequence),
            item=item,
        )
        bisect.insort(self._waiting, waiter, key=lambda w: w.rank)
        return waiter

    def remove(self, waiter: Waiter[_T]) -> None:
        """Remove a waiter from the queue, if it is still there."""
        if waiter in self._waiting:
            self._waiting.remove(waiter)

    def pop(
        self,
        is_suitable: Callable[[ConnectionRequest], bool] = lambda _: True,
    ) -> Waiter[_T] | None:
        """Remove the first waiter that may use a free connection.

        :param is_suitable: whether there is a connection for a request
        :return: the waiter, or None if there is none
        """
        for index, waiter in enumerate(self._waiting):
            if self.may_acquire(waiter.connection_request) and is_suitable(
                waiter.connection_request
            ):
                return self._waiting.pop(index)
        return None

    def record_acquired(self, connection_request: ConnectionRequest) -> None:
        """Record that a request has acquired a connection."""
        if connection_request.pinned:
            self._pinned += 1
        else:
            self.window.running += 1

    def record_released(
        self,
        connection_request: ConnectionRequest,
        held_ns: int,
        *,
        now_ns: int,
        was_busy: bool = False,
        was_lost: bool = False,
    ) -> None:
        """Record that a request has released its connection.

        :param held_ns: time for which it was held, in nanoseconds
        :param was_busy: whether the target refused the statement
            because all its slots were in use
        :param was_lost: whether the connection was lost while in use
        """
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
