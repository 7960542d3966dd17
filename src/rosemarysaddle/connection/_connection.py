"""One pipelined connection to a target, driven by the event loop.

A target answers requests in the order in which it receives them, so
each answer belongs to the oldest pending request.  A connection whose
answer is late or truncated is closed, so that the answer cannot be
matched to another request.
"""

from __future__ import annotations

import asyncio
import collections
import socket
from typing import TYPE_CHECKING, Final, Protocol

import attrs

from rosemarysaddle._clock import NS_PER_S, clock_ns
from rosemarysaddle.decide import (
    NO_ANSWER,
    Answer,
    ConnectionSetup,
    FaultCode,
    SessionState,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from rosemarysaddle.decide import (
        LogPoint,
        PreparedStatement,
        SetupPlan,
        Statement,
    )
    from rosemarysaddle.link import Address

__all__ = (
    "Borrower",
    "Channel",
    "TargetCodec",
    "TargetConnection",
    "open_connection",
    "set_socket_options",
)

# A peer that acknowledges no data for this long is down or partitioned.
USER_TIMEOUT_MS: Final = 2_000
KEEPALIVE_IDLE_S: Final = 2
KEEPALIVE_INTERVAL_S: Final = 1
KEEPALIVE_PROBES: Final = 2
_TIMED_OUT: Final = Answer(fault=FaultCode.TIMEOUT, state=SessionState.FAILED)


class TargetCodec(Protocol):
    """Codec of one connection to a target; does no I/O itself."""

    def feed(self, data: bytes) -> list[Answer] | None:
        """Decode bytes received from the target.

        :return: the answers that are complete now, or None if the bytes
            are malformed
        """

    def resume(self) -> None:
        """Use a connection whose opening message has been answered."""

    def encode_open(self, *, group: str, label: str, target: str) -> bytes:
        """Encode the opening message of the connection.

        :param group: group that the target belongs to
        :param label: name of this host, for the target's log
        """

    def encode_begin(
        self, *, is_read_only: bool, after: LogPoint | None
    ) -> bytes:
        """Encode the start of a transaction.

        :param after: log position that the target must have reached
        """

    def encode_statement(
        self, statement: Statement, *, shared: str, after: LogPoint | None
    ) -> bytes:
        """Encode a statement of a caller.

        :param shared: name under which the statement is prepared at the
            target, or empty
        :param after: log position that the target must have reached
        """

    def encode_rollback(self) -> bytes:
        """Encode a rollback."""

    def encode_reset(self) -> bytes:
        """Encode the reset of all variables and prepared statements."""

    def encode_set(self, name: str, value: str) -> bytes:
        """Encode the assignment of a variable."""

    def encode_prepare(self, shape: PreparedStatement) -> bytes:
        """Encode the preparation of a shape under its shared name."""

    def encode_status(self) -> bytes:
        """Encode a request for the status of the target."""

    def encode_demote(self, term: int) -> bytes:
        """Encode the order to leave the role of primary.

        :param term: term of the present primary; an earlier one ends.
            The target answers with its status.
        """


class Channel(Protocol):
    """Transport to a target: a socket, or a link to a lender."""

    def write(self, data: bytes) -> None:
        """Send bytes to the target."""

    def abort(self) -> None:
        """Close the connection to the target at once."""


class Borrower(Protocol):
    """Receiver of what the target sends on a lent connection."""

    def forward_to_borrower(self, data: bytes) -> None:
        """Send bytes received from the target to the borrower."""

    def notify_closed(self) -> None:
        """Report that the connection to the target is closed."""


@attrs.define(kw_only=True, eq=False)
class TargetConnection(asyncio.Protocol):
    """Open connection to one target.

    :param on_lost: called once when the connection is closed
    :param was_busy: whether the target refused the last statement, as
        all its slots were in use
    :param ran_nothing: whether the target refused the last statement
        without running it, for whatever reason
    :param borrower: receiver of the target's data while the connection
        is lent to another host, or None
    :param on_activity: called when a statement starts or ends on the
        connection
    :param is_active: whether a statement runs, i.e. bytes were sent and
        nothing was received since
    :param active_ns: time for which statements ran, since the
        connection was taken from its pool
    """

    target: str
    codec: TargetCodec
    on_lost: Callable[[TargetConnection], None]
    setup: ConnectionSetup = attrs.field(factory=ConnectionSetup, init=False)
    state: SessionState = attrs.field(default=SessionState.IDLE, init=False)
    is_lost: bool = attrs.field(default=False, init=False)
    was_connected: bool = attrs.field(default=False, init=False)
    was_busy: bool = attrs.field(default=False, init=False)
    ran_nothing: bool = attrs.field(default=False, init=False)
    borrower: Borrower | None = attrs.field(default=None, init=False)
    on_activity: Callable[[TargetConnection], None] | None = None
    is_active: bool = attrs.field(default=False, init=False)
    active_ns: int = attrs.field(default=0, init=False)
    _active_since_ns: int = attrs.field(default=0, init=False)
    _transport: Channel | None = attrs.field(default=None, init=False)
    _pending: collections.deque[asyncio.Future[Answer]] = attrs.field(
        factory=collections.deque, init=False
    )

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Set up the socket of a newly established connection."""
        assert isinstance(transport, asyncio.Transport)  # noqa: S101
        self._transport = transport
        self.was_connected = True
        set_socket_options(transport.get_extra_info("socket"))

    def attach(self, channel: Channel) -> None:
        """Use a connection that a lender has opened."""
        self._transport = channel
        self.was_connected = True
        self.codec.resume()

    def detach(self) -> None:
        """Stop using a borrowed connection without closing it."""
        self._transport = None
        self.is_lost = True

    def forward_raw(self, data: bytes) -> None:
        """Forward bytes of the borrower to the target, not decoded."""
        if self._transport is not None and not self.is_lost:
            self.set_active(is_active=True)
            self._transport.write(data)

    def set_active(self, *, is_active: bool) -> None:
        """Record that a statement was sent, or that it is answered."""
        # Only the pool that opened the connection counts.
        if self.on_activity is None or self.is_active == is_active:
            return
        self.is_active = is_active
        now_ns = clock_ns()
        if is_active:
            self._active_since_ns = now_ns
        else:
            self.active_ns += now_ns - self._active_since_ns
        self.on_activity(self)

    def data_received(self, data: bytes) -> None:
        """Match complete answers to the pending requests, in order.

        Closes the connection if the data is malformed or contains an
        answer without a request.
        """
        if self.borrower is not None:
            self.borrower.forward_to_borrower(data)
            self.set_active(is_active=False)
            return
        answers = self.codec.feed(data)
        if answers is None:
            self.abort()
            return
        for answer in answers:
            if not self._pending:
                self.abort()
                return
            self.state = answer.state
            pending = self._pending.popleft()
            if not pending.done():
                pending.set_result(answer)
        self.set_active(is_active=bool(self._pending))

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the requests that still wait for an answer."""
        del exc
        self._mark_lost()

    async def ask(self, data: bytes, *, deadline_ns: int) -> Answer:
        """Send one request and wait for its answer.

        :param data: encoded request
        :param deadline_ns: :func:`clock_ns` time at which the
            connection is closed if there is no answer
        :return: the answer, or a fault if the connection is closed
            before it arrives
        """
        if self.is_lost or self._transport is None:
            return NO_ANSWER
        loop = asyncio.get_running_loop()
        left_s = (deadline_ns - clock_ns()) / NS_PER_S
        if left_s <= 0:
            self.abort()
            return _TIMED_OUT
        pending: asyncio.Future[Answer] = loop.create_future()
        self._pending.append(pending)
        self.set_active(is_active=True)
        self._transport.write(data)
        timer = loop.call_later(left_s, self._on_timeout, pending)
        try:
            answer = await pending
        finally:
            timer.cancel()
        self.was_busy = answer.fault is FaultCode.BUSY
        self.ran_nothing = answer.fault is not None and answer.fault.is_not_run
        return answer

    async def prepare(self, plan: SetupPlan, *, deadline_ns: int) -> bool:
        """Set the variables and prepare the statement of a plan.

        :return: whether all commands succeeded; otherwise the
            connection is closed
        """
        codec = self.codec
        commands = [codec.encode_reset()] if plan.reset else []
        commands.extend(codec.encode_set(k, v) for k, v in plan.values)
        if plan.prepare is not None:
            commands.append(codec.encode_prepare(plan.prepare))
        requests = [self.ask(c, deadline_ns=deadline_ns) for c in commands]
        answers = await asyncio.gather(*requests)
        if any(a.fault is not None for a in answers):
            self.abort()
            return False
        self.setup.record_applied(plan)
        return True

    @property
    def is_idle(self) -> bool:
        """Return whether another session may use the connection."""
        return (
            not self.is_lost
            and not self._pending
            and self.state is SessionState.IDLE
        )

    def abort(self) -> None:
        """Close the connection at once."""
        if self._transport is not None:
            self._transport.abort()
        self._mark_lost()

    def _on_timeout(self, pending: asyncio.Future[Answer]) -> None:
        if not pending.done():
            pending.set_result(_TIMED_OUT)
            self.abort()

    def _mark_lost(self) -> None:
        if self.is_lost:
            return
        self.is_lost = True
        while self._pending:
            pending = self._pending.popleft()
            if not pending.done():
                pending.set_result(NO_ANSWER)
        if self.borrower is not None:
            self.borrower.notify_closed()
        self.on_lost(self)


def set_socket_options(sock: socket.socket | None) -> None:
    """Disable Nagle's algorithm and enable keep-alive.

    The operating system then closes a connection whose peer has stopped
    responding.
    """
    if sock is None:
        return
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for option, value in (
        (socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S),
        (socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S),
        (socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
        (socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS),
    ):
        sock.setsockopt(socket.IPPROTO_TCP, option, value)


async def open_connection(
    connection: TargetConnection,
    address: Address,
    opening: bytes,
    *,
    deadline_ns: int,
) -> Answer:
    """Connect to a target and send the opening message.

    :param opening: opening message as encoded by the codec
    :param deadline_ns: :func:`clock_ns` time at which to stop trying
    :return: the answer of the target, or a fault if no connection was
        established
    """
    loop = asyncio.get_running_loop()
    left_s = (deadline_ns - clock_ns()) / NS_PER_S
    try:
        async with asyncio.timeout(max(0.0, left_s)):
            await loop.create_connection(
                lambda: connection, address.ip, address.port
            )
    except TimeoutError:
        # The connect may have succeeded just before the time-out.
        connection.abort()
        return _TIMED_OUT
    except (OSError, OverflowError, ValueError) as error:
        # The latter are raised for an address that no target can have.
        return Answer(
            fault=FaultCode.LOST,
            text=type(error).__name__,
            state=SessionState.FAILED,
        )
    answer = await connection.ask(opening, deadline_ns=deadline_ns)
    if answer.fault is not None:
        connection.abort()
    return answer
