"""Connections of one entry host to one target, shared by sessions."""

from __future__ import annotations

import asyncio
import collections
from typing import TYPE_CHECKING, Final

import attrs

from rosemarysaddle._clock import clock_ns
from rosemarysaddle.decide import NS_PER_MS, FaultCode, SessionVariables
from rosemarysaddle.exchange._connection import Exchange, open_exchange

if TYPE_CHECKING:
    from collections.abc import Callable

    from rosemarysaddle.exchange._connection import TargetCodec
    from rosemarysaddle.link import Address

__all__ = ("ExchangePool", "OpenFault")

# Twice the farthest round trip, the handshake and a start's delay.
CONNECT_MS: Final = 500
MAX_OPENING: Final = 1
_NS_PER_S: Final = 1_000_000_000


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
class ExchangePool:
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
    failed: int = attrs.field(default=0, init=False)
    _idle: list[Exchange] = attrs.field(factory=list, init=False)
    _open: set[Exchange] = attrs.field(factory=set, init=False)
    _opening: int = attrs.field(default=0, init=False)
    _queue: collections.deque[asyncio.Future[Exchange | None]] = attrs.field(
        factory=collections.deque, init=False
    )

    async def acquire(
        self, variables: SessionVariables, *, deadline_ns: int
    ) -> Exchange | OpenFault:
        """Borrow a connection.

        :param variables: what the session has set; a connection that
            has the same is taken first
        """
        while True:
            found = self._take_idle(variables)
            if found is not None:
                return found
            if self._may_open():
                return await self._open_one(deadline_ns)
            given = await self._wait(deadline_ns)
            if isinstance(given, Exchange):
                return given
            if given is None:
                code = FaultCode.TOO_MANY_CONNECTIONS
                return OpenFault(code=code, peer=self.target)

    @property
    def has_idle(self) -> bool:
        """Tell whether a connection is free."""
        return bool(self._idle)

    @property
    def opened(self) -> int:
        """Count of open connections."""
        return len(self._open)

    def release(self, exchange: Exchange) -> None:
        """Give a connection back; one that is not idle is ended."""
        is_excess = len(self._open) > self.limit
        if self.is_closed or is_excess or not exchange.is_idle:
            exchange.abort()
            return
        while self._queue:
            waiting = self._queue.popleft()
            if not waiting.done():
                waiting.set_result(exchange)
                return
        self._idle.append(exchange)

    async def warm(self, count: int) -> None:
        """Open connections before they are needed."""
        missing = min(count, self.limit) - len(self._open) - self._opening
        deadline_ns = clock_ns() + CONNECT_MS * NS_PER_MS
        for _ in range(missing):
            found = await self._open_one(deadline_ns)
            if isinstance(found, OpenFault):
                return
            self.release(found)

    async def check(self) -> bool:
        """Open one more connection to find out whether that works.

        :return: whether the target took it, or refused it by itself
        """
        deadline_ns = clock_ns() + CONNECT_MS * NS_PER_MS
        found = await self._open_one(deadline_ns)
        if isinstance(found, OpenFault):
            return found.connected
        self.release(found)
        return True

    def set_limit(self, limit: int) -> None:
        """Change the limit; idle connections above it are ended."""
        self.limit = limit
        excess = len(self._open) - limit
        for exchange in self._idle[: max(0, excess)]:
            exchange.abort()

    def close(self) -> None:
        """End all connections that no session holds."""
        self.is_closed = True
        self.end_idle()

    def end_idle(self) -> None:
        """End the connections that nobody uses now."""
        for exchange in list(self._idle):
            exchange.abort()

    def _may_open(self) -> bool:
        # A new connection takes a slot of the target for some time.
        room = len(self._open) + self._opening < self.limit
        return room and self._opening < MAX_OPENING

    def _take_idle(self, variables: SessionVariables) -> Exchange | None:
        if not self._idle:
            return None
        for number in range(len(self._idle) - 1, -1, -1):
            if self._idle[number].setup.values == variables.values:
                return self._idle.pop(number)
        return self._idle.pop()

    async def _open_one(self, deadline_ns: int) -> Exchange | OpenFault:
        now_ns = clock_ns()
        exchange = Exchange(
            target=self.target,
            codec=self.new_codec(),
            on_lost=self._forget,
        )
        opening = exchange.codec.encode_open(
            group=self.group, label=self.label, target=self.target
        )
        self._opening += 1
        latest_ns = min(deadline_ns, now_ns + CONNECT_MS * NS_PER_MS)
        try:
            answer = await open_exchange(
                exchange, self.address, opening, deadline_ns=latest_ns
            )
        finally:
            self._opening -= 1
        if answer.fault is not None:
            fault = OpenFault(
                code=answer.fault,
                peer=self.target,
                refused=answer.text == "ConnectionRefusedError",
                connected=exchange.was_connected,
            )
            return self._fail(fault, deadline_ns >= latest_ns)
        self._open.add(exchange)
        self._wake_one()
        return exchange

    def _fail(self, fault: OpenFault, counts: bool) -> OpenFault:  # noqa: FBT001
        self.failed += 1
        if counts:
            self.on_open_fault(fault)
        self._wake_one()
        return fault

    async def _wait(self, deadline_ns: int) -> Exchange | bool | None:
        loop = asyncio.get_running_loop()
        left_s = (deadline_ns - clock_ns()) / _NS_PER_S
        if left_s <= 0:
            return None
        waiting: asyncio.Future[Exchange | None] = loop.create_future()
        self._queue.append(waiting)
        try:
            async with asyncio.timeout(left_s):
                given = await waiting
        except TimeoutError:
            return None
        return given if given is not None else True

    def _forget(self, exchange: Exchange) -> None:
        self._open.discard(exchange)
        if exchange in self._idle:
            self._idle.remove(exchange)
        self._wake_one()

    def _wake_one(self) -> None:
        while self._queue:
            waiting = self._queue.popleft()
            if not waiting.done():
                waiting.set_result(None)
                return
