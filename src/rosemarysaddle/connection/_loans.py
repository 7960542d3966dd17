"""Borrows connections from other entry hosts."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Final

import attrs

from rosemarysaddle._clock import NS_PER_S, clock_ns
from rosemarysaddle._contacts import ContactKind, ContactLog
from rosemarysaddle._events import log_event
from rosemarysaddle.connection._connection import TargetConnection
from rosemarysaddle.connection._frames import (
    FramedProtocol,
    frame_bytes,
    frame_message,
)
from rosemarysaddle.connection._pool import OpenFault
from rosemarysaddle.connection._setups import (
    build_loan_return,
    build_variables,
    parse_setup,
)
from rosemarysaddle.decide import (
    NS_PER_MS,
    WEIGHT_SCALE,
    ConnectionRequest,
    FaultCode,
    LenderRanking,
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

    from rosemarysaddle.connection._connection import TargetCodec

__all__ = ("KEEP_ALIVE_INTERVAL_MS", "LoanClient")

# Hosts of one data centre answer each other within a few milliseconds;
# a lender that exceeds the connect or first-answer time-out counts as
# lost.
CONNECT_TIMEOUT_MS: Final = 300
FIRST_ANSWER_TIMEOUT_MS: Final = 500
# Largest priority that a loan request holds.
MAX_PRIORITY: Final = (1 << 32) - 1
# A round trip to another data centre takes up to 25 ms.  Two lenders
# there that take no connection, or one that does not answer, leave time
# for another lender within a statement's 800 ms.
REMOTE_CONNECT_TIMEOUT_MS: Final = 200
REMOTE_FIRST_ANSWER_TIMEOUT_MS: Final = 400
# A remote lender stops waiting earlier than the borrower by this, so
# that a connection is not granted to a borrower that has given up.
REMOTE_ROUND_TRIP_MS: Final = 25
# Every host borrows from up to 32 hosts of each other data centre, and
# each of these has a limit of descriptors.
REMOTE_IDLE_LINK_TIMEOUT_MS: Final = 30_000
KEEP_ALIVE_INTERVAL_MS: Final = 1_000
MAX_IDLE_LINKS_PER_LENDER: Final = 4


_Reply = LoanGrant | LoanRefusal | PointReply


@attrs.define(kw_only=True, eq=False)
class _Link(FramedProtocol):
    """Connection to a lender; it carries one loan at a time."""

    lender: str
    first_answer_timeout_ms: int
    on_lost: Callable[[_Link], None]
    idle_since_ns: int = attrs.field(default=0, init=False)
    connection: TargetConnection | None = attrs.field(default=None, init=False)
    is_lost: bool = attrs.field(default=False, init=False)
    _answer: asyncio.Future[_Reply | None] | None = attrs.field(
        default=None, init=False
    )
    _is_queued: bool = attrs.field(default=False, init=False)

    def connection_lost(self, exc: Exception | None) -> None:
        del exc
        self._mark_lost()

    async def ask(
        self, request: LoanRequest | PointRequest, *, deadline_ns: int
    ) -> _Reply | None:
        """Send a request and wait for the reply.

        :param deadline_ns: :func:`clock_ns` time at which the link is
            closed if there is no reply
        :return: the reply, or None if the link is closed first
        """
        loop = asyncio.get_running_loop()
        self._answer = loop.create_future()
        self._is_queued = False
        self.send(frame_message(request))
        first_answer_timer = loop.call_later(
            self.first_answer_timeout_ms / 1_000, self._check_first_answer
        )
        left_s = (deadline_ns - clock_ns()) / NS_PER_S
        deadline_timer = loop.call_later(max(0.0, left_s), self.abort)
        try:
            return await self._answer
        finally:
            first_answer_timer.cancel()
            deadline_timer.cancel()
            self._answer = None

    def write(self, data: bytes) -> None:
        """Send bytes to the target through the lender."""
        self.send(frame_bytes(data))

    def abort(self) -> None:
        """Close the link at once, which also ends its loan."""
        if self._transport is not None:
            self._transport.abort()
        self._mark_lost()

    def _check_first_answer(self) -> None:
        if not self._is_queued and self._answer is not None:
            self.abort()

    def handle_frame(self, frame: object) -> None:
        """Handle one frame of the lender."""
        match frame:
            case bytes() if self.connection is not None:
                self.connection.data_received(frame)
            case LoanQueued():
                self._is_queued = True
            case LoanGrant() | LoanRefusal() | PointReply() if (
                self._answer is not None
            ):
                if not self._answer.done():
                    self._answer.set_result(frame)
            case _:
                self.abort()

    def _mark_lost(self) -> None:
        if self.is_lost:
            return
        self.is_lost = True
        self._transport = None
        if self._answer is not None and not self._answer.done():
            self._answer.set_result(None)
        connection, self.connection = self.connection, None
        if connection is not None:
            connection.connection_lost(None)
        self.on_lost(self)


@attrs.define(kw_only=True, eq=False)
class LoanClient:
    """Connections that this host has borrowed.

    :param ranking: determines which host lends connections to a target
    :param contacts: records lenders that are lost and regained
    """

    ranking: LenderRanking
    new_codec: Callable[[], TargetCodec]
    contacts: ContactLog = attrs.field(factory=ContactLog)
    _idle: dict[str, list[_Link]] = attrs.field(factory=dict, init=False)
    _borrowed: dict[TargetConnection, _Link] = attrs.field(
        factory=dict, init=False
    )
    _next_keep_alive_ns: int = attrs.field(default=0, init=False)

    @property
    def borrowed_count(self) -> int:
        """Number of connections currently borrowed."""
        return len(self._borrowed)

    def is_borrowed(self, connection: TargetConnection) -> bool:
        """Return whether a connection is borrowed."""
        return connection in self._borrowed

    async def borrow(
        self,
        target: str,
        lender: str,
        values: Mapping[str, str],
        *,
        deadline_ns: int,
        connection_request: ConnectionRequest,
    ) -> TargetConnection | OpenFault | None:
        """Borrow a connection to a target.

        :param lender: address of the host to ask
        :param values: variables of the session; the lender prefers an
            idle connection that has the same ones
        :param deadline_ns: :func:`clock_ns` time until which to wait
        :param connection_request: team and priority of the request, and
            whether it is for a transaction
        :return: the connection, a fault if the lender has none before
            the deadline, or None if the lender does not answer
        """
        link = await self._acquire_link(lender)
        if link is None:
            self._report_lender_lost(target, lender, "dial")
            return None
        wait_ms = max(0, deadline_ns - clock_ns()) // NS_PER_MS
        if self.ranking.is_remote(lender):
            wait_ms = max(0, wait_ms - REMOTE_ROUND_TRIP_MS)
        request = LoanRequest(
            target=target,
            wait_ms=wait_ms,
            values=build_variables(values),
            priority=max(0, min(connection_request.priority, MAX_PRIORITY)),
            pinned=connection_request.pinned,
            team=connection_request.team,
            any_team=connection_request.any_team,
            objective_ms=_remaining_ms(connection_request.objective_ns),
            weight=round(connection_request.weight * WEIGHT_SCALE),
            service_class=connection_request.service_class,
        )
        answer = await link.ask(request, deadline_ns=deadline_ns)
        if answer is None:
            if clock_ns() >= deadline_ns:
                code = FaultCode.TOO_MANY_CONNECTIONS
                return OpenFault(code=code, peer=target, connected=True)
            self._report_lender_lost(target, lender, "ask")
            return None
        self._record_answer(lender)
        if isinstance(answer, LoanGrant):
            return self._start_loan(link, target, answer)
        self._keep_idle(link)
        if isinstance(answer, LoanRefusal):
            return OpenFault(
                code=FaultCode(answer.code),
                peer=target,
                connected=answer.connected,
                retry_after_ms=answer.retry_after_ms,
            )
        return OpenFault(code=FaultCode.BUSY, peer=target)

    async def ask_point(
        self, target: str, lender: str, *, deadline_ns: int
    ) -> PointReply | None:
        """Ask a lender for the newest log position of a primary.

        :param target: name of the primary
        :param lender: address of the host to ask
        :return: the position, or None if the lender does not answer or
            does not know one
        """
        link = await self._acquire_link(lender)
        if link is None:
            self._report_lender_lost(target, lender, "dial")
            return None
        answer = await link.ask(
            PointRequest(target=target), deadline_ns=deadline_ns
        )
        if not isinstance(answer, PointReply):
            return None
        self._record_answer(lender)
        self._keep_idle(link)
        return answer if answer.known else None

    def return_connection(self, connection: TargetConnection) -> None:
        """Return a connection to its lender; close it if not idle."""
        link = self._borrowed.pop(connection, None)
        if link is None or not connection.is_idle:
            connection.abort()
            return
        link.connection = None
        connection.detach()
        link.send(
            frame_message(
                build_loan_return(
                    connection.setup,
                    was_busy=connection.was_busy,
                    ran_nothing=connection.ran_nothing,
                )
            )
        )
        self._keep_idle(link)

    def tick(self, now_ns: int) -> bool:
        """Send a keep-alive for each loan when the next one is due.

        :return: whether it was due
        """
        if now_ns < self._next_keep_alive_ns:
            return False
        self._next_keep_alive_ns = now_ns + KEEP_ALIVE_INTERVAL_MS * NS_PER_MS
        for link in self._borrowed.values():
            link.write(b"")
        self._close_unused_links(now_ns)
        return True

    def close(self) -> None:
        """Close the links that carry no loan."""
        for links in list(self._idle.values()):
            for link in list(links):
                link.abort()

    def _close_unused_links(self, now_ns: int) -> None:
        before_ns = now_ns - REMOTE_IDLE_LINK_TIMEOUT_MS * NS_PER_MS
        for lender, links in self._idle.items():
            if self.ranking.is_remote(lender):
                for link in list(links):
                    if link.idle_since_ns < before_ns:
                        link.abort()

    def _start_loan(
        self, link: _Link, target: str, grant: LoanGrant
    ) -> TargetConnection:
        connection = TargetConnection(
            target=target,
            codec=self.new_codec(),
            on_lost=self._on_connection_lost,
        )
        connection.setup = parse_setup(grant)
        connection.attach(link)
        link.connection = connection
        self._borrowed[connection] = link
        return connection

    async def _acquire_link(self, lender: str) -> _Link | None:
        idle = self._idle.get(lender)
        if idle:
            return idle.pop()
        connect_ms, first_answer_ms = (
            CONNECT_TIMEOUT_MS,
            FIRST_ANSWER_TIMEOUT_MS,
        )
        if self.ranking.is_remote(lender):
            connect_ms = REMOTE_CONNECT_TIMEOUT_MS
            first_answer_ms = REMOTE_FIRST_ANSWER_TIMEOUT_MS
        link = _Link(
            lender=lender,
            first_answer_timeout_ms=first_answer_ms,
            on_lost=self._on_link_lost,
        )
        address = Address.parse(lender)
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(connect_ms / 1_000):
                await loop.create_connection(
                    lambda: link, address.ip, address.port
                )
        except (TimeoutError, OSError):
            link.abort()
            return None
        return link

    def _report_lender_lost(self, target: str, lender: str, step: str) -> None:
        log_event(
            "lender-lost", f"target={target} lender={lender} step={step}"
        )
        now_ns = clock_ns()
        self.contacts.record_lost(
            ContactKind.LENDER, lender, now_ns, reason=step
        )
        center = self.ranking.mark_down(lender, now_ns)
        if center:
            log_event(
                "lending-center",
                f"data_center={center} reachable=False lender={lender}"
                f" step={step}",
            )

    def _record_answer(self, lender: str) -> None:
        self.contacts.record_regained(ContactKind.LENDER, lender, clock_ns())
        center = self.ranking.mark_up(lender)
        if center:
            log_event(
                "lending-center",
                f"data_center={center} reachable=True lender={lender}",
            )

    def _keep_idle(self, link: _Link) -> None:
        idle = self._idle.setdefault(link.lender, [])
        if link.is_lost:
            return
        if len(idle) >= MAX_IDLE_LINKS_PER_LENDER:
            link.abort()
        else:
            link.idle_since_ns = clock_ns()
            idle.append(link)

    def _on_connection_lost(self, connection: TargetConnection) -> None:
        self._borrowed.pop(connection, None)

    def _on_link_lost(self, link: _Link) -> None:
        idle = self._idle.get(link.lender, [])
        if link in idle:
            idle.remove(link)


def _remaining_ms(until_ns: int) -> int:
    """Return the time left until a point in time; 0 if it is unknown.

    A time that has passed is sent as 1 ms, as 0 means that there is
    none.
    """
    if not until_ns:
        return 0
    return max(1, (until_ns - clock_ns()) // NS_PER_MS)
