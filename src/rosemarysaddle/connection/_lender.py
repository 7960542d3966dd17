"""Lends connections to other entry hosts."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import attrs

from rosemarysaddle._clock import clock_ns
from rosemarysaddle._events import log_event
from rosemarysaddle._tasks import spawn
from rosemarysaddle.connection._frames import (
    FramedProtocol,
    frame_bytes,
    frame_message,
)
from rosemarysaddle.connection._loans import KEEP_ALIVE_INTERVAL_MS
from rosemarysaddle.connection._pool import OpenFault
from rosemarysaddle.connection._setups import build_loan_grant, parse_setup
from rosemarysaddle.connection._stop_schedule import StopSchedule
from rosemarysaddle.connection._token_links import FrameBatch
from rosemarysaddle.decide import (
    NS_PER_MS,
    WEIGHT_SCALE,
    ConnectionRequest,
    FaultCode,
    SessionVariables,
)
from rosemarysaddle.schema import (
    LoanQueued,
    LoanRefusal,
    LoanRequest,
    LoanReturn,
    PointReply,
    PointRequest,
    RelayedMessage,
    TokenRequest,
)

if TYPE_CHECKING:
    import asyncio
    from collections.abc import Awaitable, Callable

    from rosemarysaddle.connection._connection import TargetConnection
    from rosemarysaddle.connection._pool import ConnectionPool
    from rosemarysaddle.connection._relay import RelayPeer
    from rosemarysaddle.schema import TokenGrant

__all__ = ("Lender",)

# A loan ends after three missed keep-alives, and with it whatever the
# borrower was running on the connection.
BORROWER_SILENCE_TIMEOUT_MS: Final = 3 * KEEP_ALIVE_INTERVAL_MS
MAX_WAITING_BORROWERS: Final = 512


@attrs.define(kw_only=True, eq=False)
class Lender:
    """Loans that this host has given.

    :param find_pool: finds this host's own connections to a target, or
        None
    :param find_point: finds the newest log position of a primary
    :param relay: passes control messages of borrowers on; None if this
        host does not relay
    :param on_token_request: handles a request for tokens of a team,
        with a function that sends the answer
    :param stop_schedule: once it takes no more work, a borrower that
        asks for a loan is disconnected, and so is one that continues a
        transaction
    """

    find_pool: Callable[[str], ConnectionPool | None]
    find_point: Callable[[str], Awaitable[PointReply]]
    relay: Callable[[RelayPeer, RelayedMessage], None] | None = None
    on_token_request: (
        Callable[[TokenRequest, Callable[[TokenGrant], None]], None] | None
    ) = None
    stop_schedule: StopSchedule = attrs.field(factory=StopSchedule)
    _loans: set[_Loan] = attrs.field(factory=set, init=False)

    def accept(self) -> asyncio.Protocol:
        """Create the protocol of one borrower's connection."""
        loan = _Loan(lender=self)
        self._loans.add(loan)
        return loan

    @property
    def lent_count(self) -> int:
        """Number of connections currently lent."""
        return sum(loan.connection is not None for loan in self._loans)

    @property
    def waiting(self) -> int:
        """Number of borrowers waiting for an answer."""
        return sum(loan.task is not None for loan in self._loans)

    def tick(self, now_ns: int) -> None:
        """End the loans of silent borrowers and, at a stop, others."""
        for loan in list(self._loans):
            if not loan.end_if_silent(now_ns):
                loan.end_between_statements(now_ns)

    def close(self) -> None:
        """End all loans and close the connections of all borrowers."""
        for loan in list(self._loans):
            loan.abort()

    def remove_loan(self, loan: _Loan) -> None:
        """Remove a borrower whose connection is closed."""
        self._loans.discard(loan)


@attrs.define(kw_only=True, eq=False)
class _Loan(FramedProtocol):
    """Connection of one borrower, with at most one loan at a time.

    :param connection: connection to a target that is lent, or None
    :param task: pending request of the borrower, or None
    """

    lender: Lender
    connection: TargetConnection | None = attrs.field(default=None, init=False)
    task: asyncio.Task[None] | None = attrs.field(default=None, init=False)
    _pool: ConnectionPool | None = attrs.field(default=None, init=False)
    _is_pinned: bool = attrs.field(default=False, init=False)
    _last_received_ns: int = attrs.field(factory=clock_ns, init=False)
    _batch: FrameBatch | None = attrs.field(default=None, init=False)

    def data_received(self, data: bytes) -> None:
        """Handle received bytes unless the loan has timed out."""
        # After a suspension of this host the borrower has already
        # abandoned the loan, so end it instead of handling the data.
        now_ns = clock_ns()
        if self.end_if_silent(now_ns):
            return
        self._last_received_ns = now_ns
        super().data_received(data)

    def connection_lost(self, exc: Exception | None) -> None:
        del exc
        self._transport = None
        connection, self.connection = self.connection, None
        if connection is not None:
            connection.borrower = None
            connection.abort()
        self.lender.remove_loan(self)

    def forward_to_borrower(self, data: bytes) -> None:
        """Send bytes received from the target to the borrower."""
        self.send(frame_bytes(data))

    def notify_closed(self) -> None:
        """Close the borrower's connection once the lent one is lost."""
        self.connection = None
        if self._transport is not None:
            self._transport.close()

    def abort(self) -> None:
        """Close the borrower's connection and end its loan."""
        if self._transport is not None:
            self._transport.abort()
            self.connection_lost(None)

    def end_if_silent(self, now_ns: int) -> bool:
        """End the loan if the borrower has been silent for too long.

        :return: whether the loan has ended
        """
        if self.connection is None:
            return False
        if (
            now_ns
            < self._last_received_ns + BORROWER_SILENCE_TIMEOUT_MS * NS_PER_MS
        ):
            return False
        log_event("loan-silent", f"target={self.connection.target}")
        self.abort()
        return True

    def end_between_statements(self, now_ns: int) -> bool:
        """End the loan of a transaction if this host has no time left.

        The target then rolls the transaction back.

        :return: whether the loan has ended
        """
        connection = self.connection
        if connection is None or not self._is_pinned or connection.is_active:
            return False
        if not self.lender.stop_schedule.takes_no_work(now_ns):
            return False
        log_event("loan-ended", f"target={connection.target} reason=stopping")
        self.abort()
        return True

    def handle_frame(self, frame: object) -> None:
        """Handle one frame of the borrower."""
        match frame:
            case bytes() if self.connection is not None:
                if frame and not self.end_between_statements(clock_ns()):
                    self.connection.forward_raw(frame)
            case bytes():
                # Sent before the borrower learned that the connection
                # to the target is closed.
                pass
            case LoanRequest() if (
                self.connection is None and self.task is None
            ):
                self.task = spawn(self._lend(frame))
            case PointRequest() if (
                self.connection is None and self.task is None
            ):
                self.task = spawn(self._send_point(frame))
            case RelayedMessage() if self.lender.relay is not None:
                self.lender.relay(self, frame)
            case TokenRequest() if self.lender.on_token_request is not None:
                self.lender.on_token_request(frame, self._send_grant)
            case LoanReturn() if self.connection is not None:
                self._accept_return(self.connection, frame)
            case _:
                self.abort()

    async def _lend(self, request: LoanRequest) -> None:
        try:
            pool = self.lender.find_pool(request.target)
            is_over = self.lender.stop_schedule.takes_no_work(clock_ns())
            if pool is None or is_over:
                self.abort()
                return
            if self.lender.waiting > MAX_WAITING_BORROWERS:
                fault = OpenFault(code=FaultCode.BUSY, peer=request.target)
                self._refuse(fault)
                return
            deadline_ns = clock_ns() + request.wait_ms * NS_PER_MS
            connection_request = _connection_request(request, deadline_ns)
            if not pool.serves_at_once(connection_request):
                self.send(frame_message(LoanQueued()))
            found = await pool.acquire(
                SessionVariables(
                    values={v.name: v.value for v in request.values}
                ),
                deadline_ns=deadline_ns,
                connection_request=connection_request,
            )
            if isinstance(found, OpenFault):
                self._refuse(found)
            elif self._transport is None:
                pool.release(found)
            else:
                self._is_pinned = request.pinned
                self._grant(pool, found)
        finally:
            self.task = None

    async def _send_point(self, request: PointRequest) -> None:
        try:
            # Keeps the borrower's time-out for the first answer from
            # closing the link.
            self.send(frame_message(LoanQueued()))
            reply = await self.lender.find_point(request.target)
            self.send(frame_message(reply))
        finally:
            self.task = None

    def _send_grant(self, grant: TokenGrant) -> None:
        if self._batch is None:
            self._batch = FrameBatch(write=self.send)
        self._batch.add(frame_message(grant))

    def _grant(
        self, pool: ConnectionPool, connection: TargetConnection
    ) -> None:
        self._last_received_ns = clock_ns()
        self._pool, self.connection = pool, connection
        connection.borrower = self
        self.send(frame_message(build_loan_grant(connection.setup)))

    def _accept_return(
        self, connection: TargetConnection, message: LoanReturn
    ) -> None:
        self.connection = None
        connection.borrower = None
        connection.setup = parse_setup(message)
        connection.was_busy = message.was_busy
        connection.ran_nothing = message.ran_nothing
        if self._pool is not None:
            self._pool.release(connection)

    def _refuse(self, fault: OpenFault) -> None:
        refusal = LoanRefusal(
            code=fault.code,
            connected=fault.connected,
            retry_after_ms=fault.retry_after_ms,
        )
        self.send(frame_message(refusal))


def _connection_request(
    request: LoanRequest, deadline_ns: int
) -> ConnectionRequest:
    objective_ns = 0
    if request.objective_ms:
        objective_ns = clock_ns() + request.objective_ms * NS_PER_MS
    weight = request.weight / WEIGHT_SCALE if request.weight else 1.0
    return ConnectionRequest(
        priority=request.priority,
        pinned=request.pinned,
        team=request.team,
        any_team=request.any_team,
        deadline_ns=deadline_ns,
        objective_ns=objective_ns,
        weight=weight,
        service_class=request.service_class,
    )
