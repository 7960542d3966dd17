"""Who gets the next free connection to a target, and who need not wait.

Answers the load of the heaviest days: more statements than a target's
connections can carry, and callers that rest inside transactions.  The
urgent go first, transactions never hold the last connections, and
whoever cannot be served in time is told at once.
"""

from __future__ import annotations

import bisect
import itertools
from typing import TYPE_CHECKING, Final, Generic, TypeVar

import attrs

from rosemarysaddle.decide._times import NS_PER_MS

if TYPE_CHECKING:
    from collections.abc import Iterator

__all__ = ("ConnectionQueue", "ConnectionRequest", "Waiter")

# A statement and the way there and back, until more is known.
INITIAL_HOLD_NS: Final = 30 * NS_PER_MS
# One connection in so many is kept from transactions.
CONNECTIONS_PER_RESERVED: Final = 4
_HOLD_EWMA_DIVISOR: Final = 16
_T = TypeVar("_T")


@attrs.frozen(kw_only=True)
class ConnectionRequest:
    """What somebody wants a connection for.

    :param priority: priority of the statement; 0 is the highest
    :param pinned: whether a transaction keeps the connection
    """

    priority: int = 0
    pinned: bool = False


@attrs.frozen(kw_only=True, eq=False)
class Waiter(Generic[_T]):
    """One place in the queue."""

    connection_request: ConnectionRequest
    number: int
    item: _T

    @property
    def rank(self) -> tuple[int, int]:
        """Place among the others; the lowest is served first."""
        return (self.connection_request.priority, self.number)


@attrs.define(kw_only=True, eq=False)
class ConnectionQueue(Generic[_T]):
    """Queue for the connections to one target.

    :param limit: count of connections
    :param hold_ns: time for which one is held, learnt
    """

    limit: int
    mean_hold_ns: int = INITIAL_HOLD_NS
    _pinned: int = attrs.field(default=0, init=False)
    _waiting: list[Waiter[_T]] = attrs.field(factory=list, init=False)
    _numbers: Iterator[int] = attrs.field(factory=itertools.count, init=False)

    def __len__(self) -> int:
        """Count those that wait."""
        return len(self._waiting)

    def may_acquire(self, connection_request: ConnectionRequest) -> bool:
        """Tell whether a free connection may be used for a wish."""
        most = self.limit - self.limit // CONNECTIONS_PER_RESERVED
        return not connection_request.pinned or self._pinned < most

    def expected_wait_ns(self, connection_request: ConnectionRequest) -> int:
        """Estimate the time until a wish is granted."""
        place = bisect.bisect_right(
            self._waiting,
            connection_request.priority,
            key=lambda w: w.connection_request.priority,
        )
        return (place + 1) * self.mean_hold_ns // max(1, self.limit)

    def push(
        self, connection_request: ConnectionRequest, item: _T
    ) -> Waiter[_T]:
        """Queue up."""
        waiter = Waiter(
            connection_request=connection_request,
            number=next(self._numbers),
            item=item,
        )
        bisect.insort(self._waiting, waiter, key=lambda w: w.rank)
        return waiter

    def remove(self, waiter: Waiter[_T]) -> None:
        """Leave the queue."""
        if waiter in self._waiting:
            self._waiting.remove(waiter)

    def pop(self) -> Waiter[_T] | None:
        """Take the first whose wish a free connection may serve."""
        for place, waiter in enumerate(self._waiting):
            if self.may_acquire(waiter.connection_request):
                return self._waiting.pop(place)
        return None

    def record_acquired(self, connection_request: ConnectionRequest) -> None:
        """Take note that a connection was handed out."""
        self._pinned += connection_request.pinned

    def record_released(
        self, connection_request: ConnectionRequest, held_ns: int
    ) -> None:
        """Take note that a connection is not held any more."""
        self._pinned -= connection_request.pinned
        self.mean_hold_ns += (
            held_ns - self.mean_hold_ns
        ) // _HOLD_EWMA_DIVISOR
