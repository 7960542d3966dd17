"""One connection to a target whose answers come in order.

The connection is a task of the event loop's own: it owns its socket and
hands each answer to whoever sent the statement.  An answer that is cut
off or late ends the connection, so that it never reaches another.
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
        SetupPlan,
        Shape,
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

# A peer that acknowledges nothing for so long is gone or cut off.
USER_TIMEOUT_MS: Final = 2_000
KEEPALIVE_IDLE_S: Final = 2
KEEPALIVE_INTERVAL_S: Final = 1
KEEPALIVE_PROBES: Final = 2
_TIMED_OUT: Final = Answer(fault=FaultCode.TIMEOUT, state=SessionState.FAILED)


class TargetCodec(Protocol):
    """Wire of one connection to a target, without input or output."""

    def feed(self, data: bytes) -> list[Answer] | None:
        """Take bytes of the target.

        :return: the answers that are whole now, or None where the bytes
            make no sense
        """

    def resume(self) -> None:
        """Take over a connection whose start was answered."""

    def encode_open(self, *, group: str, label: str, target: str) -> bytes:
        """Render the start of the connection."""

    def encode_begin(
        self, *, is_read_only: bool, after: LogPoint | None
    ) -> bytes:
        """Render the start of a transaction."""

    def encode_statement(
        self, statement: Statement, *, shared: str, after: LogPoint | None
    ) -> bytes:
        """Render a caller's statement.

        :param shared: name under which it is prepared at the target
        :param after: position that the target has to hold
        """

    def encode_rollback(self) -> bytes:
        """Render the end of a transaction that keeps nothing."""

    def encode_reset(self) -> bytes:
        """Render the clearing of all that is set."""

    def encode_set(self, name: str, value: str) -> bytes:
        """Render the setting of a variable."""

    def encode_prepare(self, shape: Shape) -> bytes:
        """Render the preparing of a shape under its shared name."""

    def encode_status(self) -> bytes:
        """Render the question for the target's status."""


class Channel(Protocol):
    """Way to a target: a socket, or a loan of another host."""

    def write(self, data: bytes) -> None:
        """Send bytes to the target."""

    def abort(self) -> None:
        """End the connection to the target."""


class Borrower(Protocol):
    """Whoever has a connection on loan."""

    def forward_to_borrower(self, data: bytes) -> None:
        """Take bytes of the target."""

    def notify_closed(self) -> None:
        """Take note that the target's connection ended."""


@attrs.define(kw_only=True, eq=False)
class TargetConnection(asyncio.Protocol):
    """Open connection to one target.

    :param on_lost: called once when the connection ends
    :param borrower: host that has it on loan, or None
    """

    target: str
    codec: TargetCodec
    on_lost: Callable[[TargetConnection], None]
    setup: ConnectionSetup = attrs.field(factory=ConnectionSetup, init=False)
    state: SessionState = attrs.field(default=SessionState.IDLE, init=False)
    is_lost: bool = attrs.field(default=False, init=False)
    was_connected: bool = attrs.field(default=False, init=False)
    borrower: Borrower | None = attrs.field(default=None, init=False)
    _transport: Channel | None = attrs.field(default=None, init=False)
    _waiting: collections.deque[asyncio.Future[Answer]] = attrs.field(
        factory=collections.deque, init=False
    )

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take the open connection over."""
        assert isinstance(transport, asyncio.Transport)  # noqa: S101
        self._transport = transport
        self.was_connected = True
        set_socket_options(transport.get_extra_info("socket"))

    def attach(self, channel: Channel) -> None:
        """Go on over a connection that another host has opened."""
        self._transport = channel
        self.was_connected = True
        self.codec.resume()

    def detach(self) -> None:
        """Give the connection up without ending it."""
        self._transport = None
        self.is_lost = True

    def forward_raw(self, data: bytes) -> None:
        """Send what a borrower sends, unread."""
        if self._transport is not None and not self.is_lost:
            self._transport.write(data)

    def data_received(self, data: bytes) -> None:
        """Hand out the answers that are whole."""
        if self.borrower is not None:
            self.borrower.forward_to_borrower(data)
            return
        answers = self.codec.feed(data)
        if answers is None:
            self.abort()
            return
        for answer in answers:
            if not self._waiting:
                self.abort()
                return
            self.state = answer.state
            waiting = self._waiting.popleft()
            if not waiting.done():
                waiting.set_result(answer)

    def connection_lost(self, exc: Exception | None) -> None:
        """End what still waits for an answer."""
        del exc
        self._end()

    async def ask(self, data: bytes, *, deadline_ns: int) -> Answer:
        """Send one statement and wait for its answer.

        :param deadline_ns: time at which to give the connection up
        """
        if self.is_lost or self._transport is None:
            return NO_ANSWER
        loop = asyncio.get_running_loop()
        left_s = (deadline_ns - clock_ns()) / NS_PER_S
        if left_s <= 0:
            self.abort()
            return _TIMED_OUT
        waiting: asyncio.Future[Answer] = loop.create_future()
        self._waiting.append(waiting)
        self._transport.write(data)
        timer = loop.call_later(left_s, self._expire, waiting)
        try:
            return await waiting
        finally:
            timer.cancel()

    async def prepare(self, plan: SetupPlan, *, deadline_ns: int) -> bool:
        """Set what a session's statement needs.

        :return: whether all of it is set
        """
        codec = self.codec
        steps = [codec.encode_reset()] if plan.reset else []
        steps.extend(codec.encode_set(k, v) for k, v in plan.values)
        if plan.prepare is not None:
            steps.append(codec.encode_prepare(plan.prepare))
        asked = [self.ask(s, deadline_ns=deadline_ns) for s in steps]
        answers = await asyncio.gather(*asked)
        if any(a.fault is not None for a in answers):
            self.abort()
            return False
        self.setup.record_applied(plan)
        return True

    @property
    def is_idle(self) -> bool:
        """Tell whether the connection may serve another session."""
        return (
            not self.is_lost
            and not self._waiting
            and self.state is SessionState.IDLE
        )

    def abort(self) -> None:
        """End the connection at once."""
        if self._transport is not None:
            self._transport.abort()
        self._end()

    def _expire(self, waiting: asyncio.Future[Answer]) -> None:
        if not waiting.done():
            waiting.set_result(_TIMED_OUT)
            self.abort()

    def _end(self) -> None:
        if self.is_lost:
            return
        self.is_lost = True
        while self._waiting:
            waiting = self._waiting.popleft()
            if not waiting.done():
                waiting.set_result(NO_ANSWER)
        if self.borrower is not None:
            self.borrower.notify_closed()
        self.on_lost(self)


def set_socket_options(sock: socket.socket | None) -> None:
    """Let the system end a connection whose peer went silent."""
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
    """Connect and start the connection.

    :param opening: start of the connection as its codec renders it
    :return: the target's answer; a fault where there is no connection
    """
    loop = asyncio.get_running_loop()
    left_s = (deadline_ns - clock_ns()) / NS_PER_S
    try:
        async with asyncio.timeout(max(0.0, left_s)):
            await loop.create_connection(
                lambda: connection, address.ip, address.port
            )
    except TimeoutError:
        # It may have been connected at the last moment.
        connection.abort()
        return _TIMED_OUT
    except OSError as error:
        return Answer(
            fault=FaultCode.LOST,
            text=type(error).__name__,
            state=SessionState.FAILED,
        )
    answer = await connection.ask(opening, deadline_ns=deadline_ns)
    if answer.fault is not None:
        connection.abort()
    return answer
