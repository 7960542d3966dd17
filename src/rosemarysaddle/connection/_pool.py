"""Connections of one entry host to one target, shared by sessions."""

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
    NS_PER_MS,
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

# Twice the farthest round trip, the handshake and a start's delay.
CONNECT_TIMEOUT_MS: Final = 500
MAX_CONCURRENT_OPENS: Final = 1
_DEFAULT_REQUEST: Final = ConnectionRequest()


class _WakeReason(enum.Enum):
    """What a waiter is told in place of a connection."""

    RETRY = enum.auto()
    TIMED_OUT = enum.auto()


@attrs.frozen(kw_only=True)
class OpenFault:
    """Sentinel: no connection to a target could be had.

    :param code: what the target or the network said
    :param refused: whether the refusal came at once
    :param connected: whether the target's host took the connection, so
        that the target is slow or full rather than gone
    """

    code: FaultCode
    peer: str
    refused: bool = False
    connected: bool = False


@attrs.define(kw_only=True, eq=False)
class ConnectionPool:
    """Open connections to one target.

    :param label: who connects, for the target's log
    :param limit: count of connections that this host may open
    :param on_open_fault: called when no connection could be opened
    :param failed: count of connections that could not be opened
    """

    target: str
    group: str
    address: Address
    label: str
    limit: int
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
    _held: dict[TargetConnection, tuple[ConnectionRequest, int]] = attrs.field(
        factory=dict, init=False
    )

    def __attrs_post_init__(self) -> None:
        """Start with nobody waiting."""
        self._queue = ConnectionQueue(limit=self.limit)

    async def acquire(
        self,
        variables: SessionVariables,
        *,
        deadline_ns: int,
        connection_request: ConnectionRequest = _DEFAULT_REQUEST,
    ) -> TargetConnection | OpenFault:
        """Borrow a connection.

        :param variables: what the session has set; a connection that
            has the same is taken first
        :param deadline_ns: time to wait until; whoever would wait
            longer is refused at once
        """
        while True:
            found = await self._find(
                variables, connection_request, deadline_ns
            )
            if isinstance(found, TargetConnection):
                self._mark_taken(found, connection_request)
                return found
            if found is not None:
                return found
            waits_ns = self._queue.expected_wait_ns(connection_request)
            if clock_ns() + waits_ns > deadline_ns:
                return self._exhausted_fault()
            given = await self._wait(connection_request, deadline_ns)
            if isinstance(given, TargetConnection):
                return given
            if given is _WakeReason.TIMED_OUT:
                return self._exhausted_fault()

    @property
    def has_idle(self) -> bool:
        """Tell whether a connection is free."""
        return bool(self._idle)

    @property
    def opened(self) -> int:
        """Count of open connections."""
        return len(self._open)

    def release(self, connection: TargetConnection) -> None:
        """Give a connection back; one that is not idle is ended."""
        self._mark_returned(connection)
        is_excess = len(self._open) > self.limit
        if self.is_closed or is_excess or not connection.is_idle:
            connection.abort()
            return
        waiter = self._next_waiter()
        if waiter is None:
            self._idle.append(connection)
            return
        self._mark_taken(connection, waiter.connection_request)
        waiter.item.set_result(connection)

    async def warm(self, count: int) -> None:
        """Open connections before they are needed."""
        missing = min(count, self.limit) - len(self._open) - self._opening
        deadline_ns = clock_ns() + CONNECT_TIMEOUT_MS * NS_PER_MS
        for _ in range(missing):
            found = await self._open_one(deadline_ns)
            if isinstance(found, OpenFault):
                return
            self.release(found)

    async def check(self) -> bool:
        """Open one more connection to find out whether that works.

        :return: whether the target took it, or refused it by itself
        """
        deadline_ns = clock_ns() + CONNECT_TIMEOUT_MS * NS_PER_MS
        found = await self._open_one(deadline_ns)
        if isinstance(found, OpenFault):
            return found.connected
        self.release(found)
        return True

    def set_limit(self, limit: int) -> None:
        """Change the limit; idle connections above it are ended."""
        self.limit = limit
        self._queue.limit = limit
        excess = len(self._open) - limit
        for connection in self._idle[: max(0, excess)]:
            connection.abort()

    def close(self) -> None:
        """End all connections that no session holds."""
        self.is_closed = True
        self.close_idle()

    def close_idle(self) -> None:
        """End the connections that nobody uses now."""
        for connection in list(self._idle):
            connection.abort()

    async def _find(
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
        self._held[connection] = (connection_request, clock_ns())
        self._queue.record_acquired(connection_request)

    def _mark_returned(self, connection: TargetConnection) -> None:
        held = self._held.pop(connection, None)
        if held is not None:
            connection_request, since_ns = held
            self._queue.record_released(
                connection_request, clock_ns() - since_ns
            )

    def _next_waiter(
        self,
    ) -> Waiter[asyncio.Future[TargetConnection | _WakeReason]] | None:
        while (waiter := self._queue.pop()) is not None:
            if not waiter.item.done():
                return waiter
        return None

    def _may_open(self) -> bool:
        # A new connection takes a slot of the target for some time.
        room = len(self._open) + self._opening < self.limit
        return room and self._opening < MAX_CONCURRENT_OPENS

    def _take_idle(
        self, variables: SessionVariables
    ) -> TargetConnection | None:
        if not self._idle:
            return None
        for number in range(len(self._idle) - 1, -1, -1):
            if self._idle[number].setup.values == variables.values:
                return self._idle.pop(number)
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
        waiting: asyncio.Future[TargetConnection | _WakeReason] = (
            loop.create_future()
        )
        waiter = self._queue.push(connection_request, waiting)
        # A time-out that cancels would lose a connection just given.
        timer = loop.call_later(
            left_s, _wake_waiter, waiting, _WakeReason.TIMED_OUT
        )
        try:
            return await waiting
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
    waiting: asyncio.Future[TargetConnection | _WakeReason], word: _WakeReason
) -> None:
    if not waiting.done():
        waiting.set_result(word)
