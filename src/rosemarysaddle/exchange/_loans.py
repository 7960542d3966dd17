"""Connections to targets borrowed from hosts of the data centre."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Final

import attrs

from rosemarysaddle._clock import NS_PER_S, clock_ns
from rosemarysaddle._events import log_event
from rosemarysaddle.decide import (
    NS_PER_MS,
    ConnectionRequest,
    FaultCode,
    LenderRanking,
)
from rosemarysaddle.exchange._connection import Exchange
from rosemarysaddle.exchange._frames import (
    FramedProtocol,
    frame_bytes,
    frame_message,
)
from rosemarysaddle.exchange._pool import OpenFault
from rosemarysaddle.exchange._setups import (
    read_setup,
    return_of,
    variables_of,
)
from rosemarysaddle.link import Address
from rosemarysaddle.schema import (
    LoanGrant,
    LoanQueued,
    LoanRefusal,
    LoanRequest,
    PointReply,
    PointRequest,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from rosemarysaddle.exchange._connection import TargetCodec

__all__ = ("KEEP_ALIVE_MS", "LoanDesk")

# A host of the data centre answers within a few milliseconds.
DIAL_MS: Final = 300
FIRST_ANSWER_MS: Final = 500
KEEP_ALIVE_MS: Final = 1_000
MAX_IDLE_LINKS: Final = 4


_Reply = LoanGrant | LoanRefusal | PointReply


@attrs.define(kw_only=True, eq=False)
class _Link(FramedProtocol):
    """Connection to a lender; it carries one loan at a time."""

    lender: str
    on_lost: Callable[[_Link], None]
    exchange: Exchange | None = attrs.field(default=None, init=False)
    is_lost: bool = attrs.field(default=False, init=False)
    _answer: asyncio.Future[_Reply | None] | None = attrs.field(
        default=None, init=False
    )
    _is_queued: bool = attrs.field(default=False, init=False)

    def connection_lost(self, exc: Exception | None) -> None:
        del exc
        self._end()

    async def ask(
        self, request: LoanRequest | PointRequest, *, deadline_ns: int
    ) -> _Reply | None:
        """Ask for a loan; None where the lender does not answer."""
        loop = asyncio.get_running_loop()
        self._answer = loop.create_future()
        self._is_queued = False
        self.send(frame_message(request))
        first = loop.call_later(FIRST_ANSWER_MS / 1_000, self._expect_word)
        left_s = (deadline_ns - clock_ns()) / NS_PER_S
        last = loop.call_later(max(0.0, left_s), self.abort)
        try:
            return await self._answer
        finally:
            first.cancel()
            last.cancel()
            self._answer = None

    def write(self, data: bytes) -> None:
        """Send bytes to the target."""
        self.send(frame_bytes(data))

    def abort(self) -> None:
        """End the link, and with it the target's connection."""
        if self._transport is not None:
            self._transport.abort()
        self._end()

    def _expect_word(self) -> None:
        if not self._is_queued and self._answer is not None:
            self.abort()

    def take(self, frame: object) -> None:
        """Take what the lender sent."""
        match frame:
            case bytes() if self.exchange is not None:
                self.exchange.data_received(frame)
            case LoanQueued():
                self._is_queued = True
            case LoanGrant() | LoanRefusal() | PointReply() if (
                self._answer is not None
            ):
                if not self._answer.done():
                    self._answer.set_result(frame)
            case _:
                self.abort()

    def _end(self) -> None:
        if self.is_lost:
            return
        self.is_lost = True
        self._transport = None
        if self._answer is not None and not self._answer.done():
            self._answer.set_result(None)
        exchange, self.exchange = self.exchange, None
        if exchange is not None:
            exchange.connection_lost(None)
        self.on_lost(self)


@attrs.define(kw_only=True, eq=False)
class LoanDesk:
    """Loans that this host has taken.

    :param ranking: which host lends which target
    """

    ranking: LenderRanking
    new_codec: Callable[[], TargetCodec]
    _idle: dict[str, list[_Link]] = attrs.field(factory=dict, init=False)
    _held: dict[Exchange, _Link] = attrs.field(factory=dict, init=False)
    _keep_alive_ns: int = attrs.field(default=0, init=False)

    @property
    def held(self) -> int:
        """Count of connections on loan now."""
        return len(self._held)

    def has(self, exchange: Exchange) -> bool:
        """Tell whether a connection is on loan."""
        return exchange in self._held

    async def borrow(
        self,
        target: str,
        lender: str,
        values: Mapping[str, str],
        *,
        deadline_ns: int,
        connection_request: ConnectionRequest,
    ) -> Exchange | OpenFault | None:
        """Borrow a connection to a target.

        :param lender: address of the host to ask
        :param values: variables of the session; a connection that has
            the same is taken first
        :return: the connection, or why the lender has none, or None
            where the lender does not answer
        """
        link = await self._link(lender)
        if link is None:
            self._note_lost(target, lender, "dial")
            return None
        wait_ms = max(0, deadline_ns - clock_ns()) // NS_PER_MS
        request = LoanRequest(
            target=target,
            wait_ms=wait_ms,
            values=variables_of(values),
            priority=connection_request.priority,
            pinned=connection_request.pinned,
        )
        answer = await link.ask(request, deadline_ns=deadline_ns)
        if answer is None:
            if clock_ns() >= deadline_ns:
                code = FaultCode.TOO_MANY_CONNECTIONS
                return OpenFault(code=code, peer=target, connected=True)
            self._note_lost(target, lender, "ask")
            return None
        if isinstance(answer, LoanGrant):
            return self._start(link, target, answer)
        self._put_by(link)
        code = FaultCode.BUSY
        if isinstance(answer, LoanRefusal):
            code = FaultCode(answer.code)
        return OpenFault(code=code, peer=target)

    async def ask_point(
        self, target: str, lender: str, *, deadline_ns: int
    ) -> PointReply | None:
        """Ask a lender for the newest position of its primary."""
        link = await self._link(lender)
        if link is None:
            self._note_lost(target, lender, "dial")
            return None
        answer = await link.ask(
            PointRequest(target=target), deadline_ns=deadline_ns
        )
        if not isinstance(answer, PointReply):
            return None
        self._put_by(link)
        return answer if answer.known else None

    def give_back(self, exchange: Exchange) -> None:
        """Give a connection back; one that is not idle is ended."""
        link = self._held.pop(exchange, None)
        if link is None or not exchange.is_idle:
            exchange.abort()
            return
        link.exchange = None
        exchange.detach()
        link.send(frame_message(return_of(exchange.setup)))
        self._put_by(link)

    def tick(self, now_ns: int) -> bool:
        """Keep the loans alive at their lenders.

        :return: whether that was due
        """
        if now_ns < self._keep_alive_ns:
            return False
        self._keep_alive_ns = now_ns + KEEP_ALIVE_MS * NS_PER_MS
        for link in self._held.values():
            link.write(b"")
        return True

    def close(self) -> None:
        """End the links that carry no loan."""
        for links in list(self._idle.values()):
            for link in list(links):
                link.abort()

    def _start(self, link: _Link, target: str, grant: LoanGrant) -> Exchange:
        exchange = Exchange(
            target=target, codec=self.new_codec(), on_lost=self._lose
        )
        exchange.setup = read_setup(grant)
        exchange.attach(link)
        link.exchange = exchange
        self._held[exchange] = link
        return exchange

    async def _link(self, lender: str) -> _Link | None:
        idle = self._idle.get(lender)
        if idle:
            return idle.pop()
        link = _Link(lender=lender, on_lost=self._forget)
        address = Address.parse(lender)
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(DIAL_MS / 1_000):
                await loop.create_connection(
                    lambda: link, address.ip, address.port
                )
        except (TimeoutError, OSError):
            link.abort()
            return None
        return link

    def _note_lost(self, target: str, lender: str, step: str) -> None:
        log_event(
            "lender-lost", f"target={target} lender={lender} step={step}"
        )
        self.ranking.mark_down(lender, clock_ns())

    def _put_by(self, link: _Link) -> None:
        idle = self._idle.setdefault(link.lender, [])
        if link.is_lost:
            return
        if len(idle) >= MAX_IDLE_LINKS:
            link.abort()
        else:
            idle.append(link)

    def _lose(self, exchange: Exchange) -> None:
        self._held.pop(exchange, None)

    def _forget(self, link: _Link) -> None:
        idle = self._idle.get(link.lender, [])
        if link in idle:
            idle.remove(link)
