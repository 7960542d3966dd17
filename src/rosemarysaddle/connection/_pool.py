"""Pool of the connections that one entry host opens to one target."""

from __future__ import annotations

import asyncio
import enum
from typing import TYPE_CHECKING, Final

import attrs

from rosemarysaddle._clock import NS_PER_S, clock_ns
from rosemarysaddle.connection._connection import (
    TargetConnection,
    open_connection,
)
from rosemarysaddle.decide import (
    INITIAL_SIZE,
    NS_PER_MS,
    ConcurrencyWindow,
    ConnectionQueue,
    ConnectionRequest,
    FaultCode,
    SessionVariables,
    Waiter,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from rosemarysaddle.connection._connection import TargetCodec
    from rosemarysaddle.link import Address

__all__ = ("ConnectionPool", "OpenFault")

# Covers twice the longest round trip, the handshake and the delay of
# the opening message.
CONNECT_TIMEOUT_MS: Final = 500
MAX_CONCURRENT_OPENS: Final = 1
_DEFAULT_REQUEST: Final = ConnectionRequest()


class _WakeReason(enum.Enum):
    """Why a waiter is woken without a connection."""

    RETRY = enum.auto()
    TIMED_OUT = enum.auto()


@attrs.frozen(kw_only=True)
class OpenFault:
    """Sentinel returned in place of a connection to a target.

    :param code: fault reported by the target or the network
    :param peer: name of the target
    :param refused: whether the target's host refused the connection at
        once
    :param connected: whether the target's host accepted the connection,
        so that the target is slow or full rather than unreachable
    """

    code: FaultCode
    peer: str
    refused: bool = False
    connected: bool = False


@attrs.define(kw_only=True, eq=False)
class ConnectionPool:
    """Open connections to one target.

    :param label: name of this host, for the target's log
    :param limit: greatest number of connections that this host may open
    :param slots: statements that the target runs at once; 0 if unknown
    :param on_open_fault: called when a connection could not be opened
    :param failed_opens: number of connections that could not be opened
    """

    target: str
    group: str
    address: Address
    label: str
    limit: int
    slots: int = 0
    new_codec: Callable[[], TargetCodec]
    on_open_fault: Callable[[OpenFault], None]
    is_closed: bool = attrs.field(default=False, init=False)
    failed_opens: int = attrs.field(default=0, init=False)
    _idle: list[TargetConnection] = attrs.field(factory=list, init=False)
    _open: set[TargetConnection] = attrs.field(factory=set, init=False)
    _opening: int = attrs.field(default=0, init=False)
    _queue: ConnectionQueue[asyncio.Future[TargetConnection | _WakeReason]] = (
        attrs.field(init=False)
    )
    _in_use: dict[TargetConnection, tuple[ConnectionRequest, int]] = (
        attrs.field(factory=dict, init=False)
    )

    def __attrs_post_init__(self) -> None:
        """Create the empty wait queue."""
        window = ConcurrencyWindow(size=max(INITIAL_SIZE, self.slots))
        self._queue = ConnectionQueue(limit=self.limit, window=window)

    async def acquire(
        self,
        variables: SessionVariables,
        *,
        deadline_ns: int,
        connection_request: ConnectionRequest = _DEFAULT_REQUEST,
    ) -> TargetConnection | OpenFault:
        """Take a connection from the pool, opening one if necessary.

        :param variables: variables of the session; an idle connection
            that has the same values is preferred
        :param deadline_ns: :func:`clock_ns` time until which to wait; a
            request that is expected to wait longer fails at once
        :param connection_request: priority of the request, and whether
            it is for a transaction
        :return: the connection, or why none was obtained
        """
        while True:
            # An opening that has no time left would look like a target
            # that takes no connection.
            if clock_ns() >= deadline_ns:
                return self._exhausted_fault()
            found = await self._take_or_open(
                variables, connection_request, deadline_ns
            )
            if isinstance(found, TargetConnection):
                self._mark_taken(found, connection_request)
                return found
            if found is not None:
                return found
            expected_wait_ns = self._queue.expected_wait_ns(connection_request)
            if clock_ns() + expected_wait_ns > deadline_ns:
                return self._exhausted_fault()
            result = await self._wait(connection_request, deadline_ns)
            if isinstance(result, TargetConnection):
                return result
            if result is _WakeReason.TIMED_OUT:
                return self._exhausted_fault()

    @property
    def has_idle(self) -> bool:
        """Return whether the pool has an idle connection."""
        return bool(self._idle)

    @property
    def opened(self) -> int:
        """Number of open connections."""
        return len(self._open)

    def release(self, connection: TargetConnection) -> None:
        """Return a connection to the pool.

        The connection is closed if it is not idle, if it exceeds the
        limit or if the pool is closed.
        """
        self._mark_returned(connection)
        is_excess = len(self._open) > self.limit
        if self.is_closed or is_excess or not connection.is_idle:
            connection.abort()
            return
        self._idle.append(connection)
        self._serve_waiters()

    async def warm(self, count: int) -> None:
        """Open up to ``count`` connections ahead of demand."""
        missing = min(count, self.limit) - len(self._open) - self._opening
        deadline_ns = clock_ns() + CONNECT_TIMEOUT_MS * NS_PER_MS
        for _ in range(missing):
            found = await self._open_one(deadline_ns)
            if isinstance(found, OpenFault):
                return
            self.release(found)

    async def check(self) -> bool:
        """Probe the target by opening one more connection.

        :return: whether the connection was opened, or was accepted by
            the target's host although the target refused to open it
        """
        deadline_ns = clock_ns() + CONNECT_TIMEOUT_MS * NS_PER_MS
        found = await self._open_one(deadline_ns)
        if isinstance(found, OpenFault):
            return found.connected
        self.release(found)
        return True

    def set_limit(self, limit: int) -> None:
        """Change the limit and close idle connections above it."""
        self.limit = limit
        self._queue.limit = limit
        excess = len(self._open) - limit
        for connection in self._idle[: max(0, excess)]:
            connection.abort()

    def close(self) -> None:
        """Close idle connections now, and the others when released."""
        self.is_closed = True
        self.close_idle()

    def close_idle(self) -> None:
        """Close the idle connections."""
        for connection in list(self._idle):
            connection.abort()

    async def _take_or_open(
        self,
        variables: SessionVariables,
        connection_request: ConnectionRequest,
        deadline_ns: int,
    ) -> TargetConnection | OpenFault | None:
        if not self._queue.may_acquire(connection_request):
            return None
        found = self._take_idle(variables)
        if found is not None:
            return found
        return await self._open_one(deadline_ns) if self._may_open() else None

    def _exhausted_fault(self) -> OpenFault:
        code = FaultCode.TOO_MANY_CONNECTIONS
        return OpenFault(code=code, peer=self.target)

    def _mark_taken(
        self,
        connection: TargetConnection,
        connection_request: ConnectionRequest,
    ) -> None:
        self._in_use[connection] = (connection_request, clock_ns())
        self._queue.record_acquired(connection_request)

    def _mark_returned(self, connection: TargetConnection) -> None:
        use = self._in_use.pop(connection, None)
        if use is not None:
            connection_request, acquired_ns = use
            self._queue.record_released(
                connection_request,
                clock_ns() - acquired_ns,
                was_busy=connection.was_busy,
            )
            connection.was_busy = False

    def _serve_waiters(self) -> None:
        """Hand idle connections to the waiters that may use them."""
        while self._idle:
            waiter = self._next_waiter()
            if waiter is None:
                return
            connection = self._idle.pop()
            self._mark_taken(connection, waiter.connection_request)
            waiter.item.set_result(connection)
        if self._may_open():
            self._wake_one()

    def _next_waiter(
        self,
    ) -> Waiter[asyncio.Future[TargetConnection | _WakeReason]] | None:
        while (waiter := self._queue.pop()) is not None:
            if not waiter.item.done():
                return waiter
        return None

    def _may_open(self) -> bool:
        # Opening a connection occupies a slot of the target for some
        # time, so few are opened at once.
        has_room = len(self._open) + self._opening < self.limit
        return has_room and self._opening < MAX_CONCURRENT_OPENS

    def _take_idle(
        self, variables: SessionVariables
    ) -> TargetConnection | None:
        if not self._idle:
            return None
        for index in range(len(self._idle) - 1, -1, -1):
            if self._idle[index].setup.values == variables.values:
                return self._idle.pop(index)
        return self._idle.pop()

    async def _open_one(
        self, deadline_ns: int
    ) -> TargetConnection | OpenFault:
        now_ns = clock_ns()
        connection = TargetConnection(
            target=self.target,
            codec=self.new_codec(),
            on_lost=self._on_connection_lost,
        )
        opening = connection.codec.encode_open(
            group=self.group, label=self.label, target=self.target
        )
        self._opening += 1
        latest_ns = min(deadline_ns, now_ns + CONNECT_TIMEOUT_MS * NS_PER_MS)
        try:
            answer = await open_connection(
                connection, self.address, opening, deadline_ns=latest_ns
            )
        finally:
            self._opening -= 1
        if answer.fault is not None:
            fault = OpenFault(
                code=answer.fault,
                peer=self.target,
                refused=answer.text == "ConnectionRefusedError",
                connected=connection.was_connected,
            )
            return self._report_open_fault(fault)
        self._open.add(connection)
        self._wake_one()
        return connection

    def _report_open_fault(self, fault: OpenFault) -> OpenFault:
        self.failed_opens += 1
        self.on_open_fault(fault)
        self._wake_one()
        return fault

    async def _wait(
        self, connection_request: ConnectionRequest, deadline_ns: int
    ) -> TargetConnection | _WakeReason:
        loop = asyncio.get_running_loop()
        left_s = (deadline_ns - clock_ns()) / NS_PER_S
        if left_s <= 0:
            return _WakeReason.TIMED_OUT
        wakeup: asyncio.Future[TargetConnection | _WakeReason] = (
            loop.create_future()
        )
        waiter = self._queue.push(connection_request, wakeup)
        # Cancelling the future on time-out could lose a connection that
        # was assigned to it at the same moment.
        timer = loop.call_later(
            left_s, _wake_waiter, wakeup, _WakeReason.TIMED_OUT
        )
        try:
            return await wakeup
        finally:
            timer.cancel()
            self._queue.remove(waiter)

    def _on_connection_lost(self, connection: TargetConnection) -> None:
        self._mark_returned(connection)
        self._open.discard(connection)
        if connection in self._idle:
            self._idle.remove(connection)
        self._wake_one()

    def _wake_one(self) -> None:
        waiter = self._next_waiter()
        if waiter is not None:
            _wake_waiter(waiter.item, _WakeReason.RETRY)


def _wake_waiter(
    wakeup: asyncio.Future[TargetConnection | _WakeReason], reason: _WakeReason
) -> None:
    if not wakeup.done():
        wakeup.set_result(reason)
