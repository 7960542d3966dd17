"""Lending of connections to the other hosts of the data centre."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import attrs

from rosemarysaddle._clock import clock_ns
from rosemarysaddle._events import log_event
from rosemarysaddle._tasks import spawn
from rosemarysaddle.decide import (
    NS_PER_MS,
    ConnectionRequest,
    FaultCode,
    SessionVariables,
)
from rosemarysaddle.exchange._frames import (
    FramedProtocol,
    frame_bytes,
    frame_message,
)
from rosemarysaddle.exchange._loans import KEEP_ALIVE_MS
from rosemarysaddle.exchange._pool import OpenFault
from rosemarysaddle.exchange._setups import grant_of, read_setup
from rosemarysaddle.schema import (
    LoanQueued,
    LoanRefusal,
    LoanRequest,
    LoanReturn,
    PointReply,
    PointRequest,
)

if TYPE_CHECKING:
    import asyncio
    from collections.abc import Awaitable, Callable

    from rosemarysaddle.exchange._connection import Exchange
    from rosemarysaddle.exchange._pool import ExchangePool

__all__ = ("Lender",)

# Three keep-alives; what a borrower held then ends with the loan.
SILENT_MS: Final = 3 * KEEP_ALIVE_MS
MAX_WAITING: Final = 512


@attrs.define(kw_only=True, eq=False)
class Lender:
    """Loans that this host has given.

    :param find_pool: finds this host's own connections to a target
    :param find_point: finds the newest position of a primary
    """

    find_pool: Callable[[str], ExchangePool | None]
    find_point: Callable[[str], Awaitable[PointReply]]
    is_stopping: bool = attrs.field(default=False, init=False)
    _loans: set[_Loan] = attrs.field(factory=set, init=False)

    def accept(self) -> asyncio.Protocol:
        """Build the protocol of one borrower's connection."""
        loan = _Loan(lender=self)
        self._loans.add(loan)
        return loan

    @property
    def lent(self) -> int:
        """Count of connections lent now."""
        return sum(loan.exchange is not None for loan in self._loans)

    @property
    def waiting(self) -> int:
        """Count of borrowers that wait."""
        return sum(loan.task is not None for loan in self._loans)

    def tick(self, now_ns: int) -> None:
        """End the loans of borrowers that have gone silent."""
        for loan in list(self._loans):
            loan.end_if_silent(now_ns)

    def close(self) -> None:
        """End all loans."""
        for loan in list(self._loans):
            loan.abort()

    def forget(self, loan: _Loan) -> None:
        """Drop a connection that has ended."""
        self._loans.discard(loan)


@attrs.define(kw_only=True, eq=False)
class _Loan(FramedProtocol):
    """One borrower's connection; it has one loan at a time.

    :param exchange: connection that is lent, or None
    :param task: the wait for one, or None
    """

    lender: Lender
    exchange: Exchange | None = attrs.field(default=None, init=False)
    task: asyncio.Task[None] | None = attrs.field(default=None, init=False)
    _pool: ExchangePool | None = attrs.field(default=None, init=False)
    _heard_ns: int = attrs.field(factory=clock_ns, init=False)

    def data_received(self, data: bytes) -> None:
        """Take what the borrower sent."""
        # After a suspension of this host the borrower has given up.
        now_ns = clock_ns()
        if self.end_if_silent(now_ns):
            return
        self._heard_ns = now_ns
        super().data_received(data)

    def connection_lost(self, exc: Exception | None) -> None:
        del exc
        self._transport = None
        exchange, self.exchange = self.exchange, None
        if exchange is not None:
            exchange.borrower = None
            exchange.abort()
        self.lender.forget(self)

    def deliver(self, data: bytes) -> None:
        """Pass bytes of the target on to the borrower."""
        self.send(frame_bytes(data))

    def end(self) -> None:
        """Tell the borrower that the target's connection ended."""
        self.exchange = None
        if self._transport is not None:
            self._transport.close()

    def abort(self) -> None:
        """End the borrower's connection and its loan."""
        if self._transport is not None:
            self._transport.abort()
            self.connection_lost(None)

    def end_if_silent(self, now_ns: int) -> bool:
        """End a loan whose borrower has gone silent."""
        if self.exchange is None:
            return False
        if now_ns < self._heard_ns + SILENT_MS * NS_PER_MS:
            return False
        log_event("loan-silent", f"target={self.exchange.target}")
        self.abort()
        return True

    def take(self, frame: object) -> None:
        """Take one frame of the borrower."""
        match frame:
            case bytes() if self.exchange is not None:
                if frame:
                    self.exchange.pass_on(frame)
            case bytes():
                # It crossed the end of the target's connection.
                pass
            case LoanRequest() if self.exchange is None and self.task is None:
                self.task = spawn(self._lend(frame))
            case PointRequest() if self.exchange is None and self.task is None:
                self.task = spawn(self._tell_point(frame))
            case LoanReturn() if self.exchange is not None:
                self._take_back(self.exchange, frame)
            case _:
                self.abort()

    async def _lend(self, request: LoanRequest) -> None:
        try:
            pool = self.lender.find_pool(request.target)
            if pool is None or self.lender.is_stopping:
                self.abort()
                return
            if self.lender.waiting > MAX_WAITING:
                self._refuse(FaultCode.BUSY)
                return
            if not pool.has_idle:
                self.send(frame_message(LoanQueued()))
            found = await pool.acquire(
                SessionVariables(
                    values={v.name: v.value for v in request.values}
                ),
                deadline_ns=clock_ns() + request.wait_ms * NS_PER_MS,
                connection_request=ConnectionRequest(
                    priority=request.priority, pinned=request.pinned
                ),
            )
            if isinstance(found, OpenFault):
                self._refuse(found.code)
            elif self._transport is None:
                pool.release(found)
            else:
                self._grant(pool, found)
        finally:
            self.task = None

    async def _tell_point(self, request: PointRequest) -> None:
        try:
            self.send(frame_message(LoanQueued()))
            reply = await self.lender.find_point(request.target)
            self.send(frame_message(reply))
        finally:
            self.task = None

    def _grant(self, pool: ExchangePool, exchange: Exchange) -> None:
        self._heard_ns = clock_ns()
        self._pool, self.exchange = pool, exchange
        exchange.borrower = self
        self.send(frame_message(grant_of(exchange.setup)))

    def _take_back(self, exchange: Exchange, message: LoanReturn) -> None:
        self.exchange = None
        exchange.borrower = None
        exchange.setup = read_setup(message)
        if self._pool is not None:
            self._pool.release(exchange)

    def _refuse(self, code: FaultCode) -> None:
        self.send(frame_message(LoanRefusal(code=code)))
