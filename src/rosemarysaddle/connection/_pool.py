"""Pool of the connections that one entry host opens to one target."""

from __future__ import annotations

import asyncio
import enum
from typing import TYPE_CHECKING, Final

import attrs

from rosemarysaddle._clock import NS_PER_S, clock_ns
from rosemarysaddle._events import log_event
from rosemarysaddle.connection._connection import (
    TargetConnection,
    open_connection,
)
from rosemarysaddle.decide import (
    FULL_BACKOFF_MS,
    INITIAL_SIZE,
    MAX_SIZE,
    MIN_SIZE,
    NS_PER_MS,
    ConcurrencyWindow,
    ConnectionQueue,
    ConnectionRequest,
    FaultCode,
    QueueStats,
    SessionVariables,
    TeamConnections,
    Waiter,
    WorkEstimates,
    max_concurrent_opens,
    retry_after,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from rosemarysaddle.connection._connection import TargetCodec
    from rosemarysaddle.link import Address

__all__ = ("ConnectionPool", "OpenFault")

# Covers twice the longest round trip, the handshake and the delay of
# the opening message.
CONNECT_TIMEOUT_MS: Final = 500
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
    :param retry_after_ms: time after which a retry may find a
        connection, in milliseconds; 0 if unknown
    """

    code: FaultCode
    peer: str
    refused: bool = False
    connected: bool = False
    retry_after_ms: int = 0


_Outcome = TargetConnection | OpenFault | _WakeReason


@attrs.define(kw_only=True)
class _Place:
    """Place of a request in the order of arrival.

    :param number: sequence number in the queue; None until it waits
    """

    number: int | None = None


@attrs.define(kw_only=True, eq=False)
class ConnectionPool:
    """Open connections to one target.

    :param label: name of this host, under which connections without a
        team are opened
    :param limit: greatest number of connections that this host may open
    :param slots: statements that the target runs at once; 0 if unknown
    :param on_open_fault: called when a connection could not be opened
    :param work: work of the operations of each kind, shared by all
        pools
    :param failed_opens: number of connections that could not be opened
    :param opens: number of connections that were opened
    :param replaced: number of connections closed for another team
    :param takes: number of requests that obtained a connection
    :param reuses: how many of them found an open one of their team
    :param stats: waits and refusals of its queue
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
    opens: int = attrs.field(default=0, init=False)
    replaced: int = attrs.field(default=0, init=False)
    takes: int = attrs.field(default=0, init=False)
    reuses: int = attrs.field(default=0, init=False)
    work: WorkEstimates = attrs.field(factory=WorkEstimates)
    stats: QueueStats = attrs.field(factory=QueueStats, init=False)
    _connections: TeamConnections[TargetConnection] = attrs.field(init=False)
    _queue: ConnectionQueue[asyncio.Future[_Outcome]] = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Create the empty wait queue."""
        window = ConcurrencyWindow(size=max(INITIAL_SIZE, self.slots))
        self._queue = ConnectionQueue(
            limit=self.limit, window=window, work=self.work
        )
        self._connections = TeamConnections(limit=self.limit)

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
        :param connection_request: team and priority of the request, and
            whether it is for a transaction
        :return: the connection, or why none was obtained
        """
        began_ns = clock_ns()
        place = _Place()
        try:
            return await self._acquire(
                variables, deadline_ns, connection_request, place
            )
        finally:
            if place.number is not None:
                self.stats.record_wait(
                    connection_request.priority, clock_ns() - began_ns
                )

    async def _acquire(
        self,
        variables: SessionVariables,
        deadline_ns: int,
        connection_request: ConnectionRequest,
        place: _Place,
    ) -> TargetConnection | OpenFault:
        was_full = False
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
                # More attempts could close all idle connections.
                if was_full or not self._waits_for_full(found):
                    return found
                was_full = True
                continue
            now_ns = clock_ns()
            wait_ns = self._queue.expected_wait_ns(
                connection_request, now_ns=now_ns
            )
            if place.number is None and self._queue.is_hopeless(
                wait_ns, deadline_ns=deadline_ns, now_ns=now_ns
            ):
                return self._refuse(connection_request, "wait", wait_ns)
            result = await self._wait(connection_request, deadline_ns, place)
            if not isinstance(result, _WakeReason):
                return result
            if result is _WakeReason.TIMED_OUT:
                wait_ns = self._queue.expected_wait_ns(
                    connection_request, now_ns=clock_ns()
                )
                return self._refuse(connection_request, "deadline", wait_ns)

    @property
    def has_idle(self) -> bool:
        """Return whether the pool has an idle connection."""
        return bool(self._connections.idle)

    def serves_at_once(self, connection_request: ConnectionRequest) -> bool:
        """Return whether a request gets a connection without a wait."""
        return self._connections.has_idle_for(
            connection_request
        ) and self._queue.may_acquire(connection_request)

    @property
    def waiting(self) -> dict[int, int]:
        """Number of waiting requests by priority."""
        return self._queue.waiting_by_priority()

    @property
    def opened(self) -> int:
        """Number of open connections."""
        return self._connections.opened

    @property
    def running(self) -> int:
        """Number of running statements, also of transactions."""
        return self._queue.window.running

    @property
    def pinned(self) -> int:
        """Number of connections that transactions keep."""
        return self._queue.pinned

    def log_load(self) -> None:
        """Log the use of the target if requests wait for it."""
        if not len(self._queue):
            return
        waiting = ",".join(
            f"{priority}:{count}" for priority, count in self.waiting.items()
        )
        log_event(
            "target-load",
            f"target={self.target} group={self.group}"
            f" open={self.opened} opening={self._connections.opening}"
            f" limit={self.limit} pinned={self.pinned}"
            f" running={self.running}"
            f" window={self._queue.window.size:.1f} waiting={waiting}"
            f" taken={self.takes} opened={self.opens}"
            f" failed_opens={self.failed_opens}",
        )

    def release(self, connection: TargetConnection) -> None:
        """Return a connection to the pool.

        The connection is closed if it is not idle, if it exceeds the
        limit or if the pool is closed.
        """
        self._mark_returned(connection)
        is_excess = self._connections.opened > self.limit
        if self.is_closed or is_excess or not connection.is_idle:
            connection.abort()
            return
        self._connections.record_idle(connection, clock_ns())
        self._serve_waiters()

    async def warm(self, count: int) -> None:
        """Open up to ``count`` connections ahead of demand.

        It is not known which team will ask first, so none is opened
        where connections serve teams.
        """
        if self._connections.uses_teams:
            return
        open_or_opening = self._connections.opened + self._connections.opening
        missing = min(count, self.limit) - open_or_opening
        deadline_ns = clock_ns() + CONNECT_TIMEOUT_MS * NS_PER_MS
        for _ in range(missing):
            found = await self._open_one(deadline_ns)
            if isinstance(found, OpenFault):
                return
            self.release(found)

    async def check(self) -> bool:
        """Probe the target by opening one more connection.

        The connection is closed again where connections serve teams, as
        it would serve none of them.

        :return: whether the connection was opened, or was accepted by
            the target's host although the target refused to open it
        """
        deadline_ns = clock_ns() + CONNECT_TIMEOUT_MS * NS_PER_MS
        found = await self._open_one(deadline_ns)
        if isinstance(found, OpenFault):
            return found.connected
        if self._connections.uses_teams:
            found.abort()
        else:
            self.release(found)
        return True

    def set_limit(
        self,
        limit: int,
        *,
        uses_teams: bool = False,
        min_window: float = MIN_SIZE,
        max_window: float = MAX_SIZE,
    ) -> None:
        """Change the limit and close idle connections above it.

        :param uses_teams: whether the plan in force has teams
        :param min_window: number of statements outside of transactions
            that may run at once however busy the target is
        :param max_window: greatest number of statements that may run at
            once, besides those of transactions
        """
        self._queue.window.set_bounds(min_window, max_window)
        has_grown = limit > self.limit
        self.limit = limit
        self._queue.limit = limit
        self._connections.limit = limit
        self._connections.uses_teams = uses_teams
        self._connections.max_openings = max_concurrent_opens(
            slots=self.slots, uses_teams=uses_teams
        )
        excess = self._connections.opened - limit
        for connection in self._connections.idle[: max(0, excess)]:
            connection.abort()
        if has_grown:
            self._wake_one()

    def close(self) -> None:
        """Close idle connections now, and the others when released."""
        self.is_closed = True
        self.close_idle()

    def close_idle(self, *, idle_ms: int = 0) -> None:
        """Close the idle connections.

        :param idle_ms: time for which a connection has to be idle, in
            milliseconds
        """
        before_ns = clock_ns() - idle_ms * NS_PER_MS
        for connection in self._connections.idle_since(before_ns):
            connection.abort()

    @property
    def uses_teams(self) -> bool:
        """Return whether each connection serves one team."""
        return self._connections.uses_teams

    async def _take_or_open(
        self,
        variables: SessionVariables,
        connection_request: ConnectionRequest,
        deadline_ns: int,
    ) -> TargetConnection | OpenFault | None:
        if not self._queue.may_acquire(connection_request):
            return None
        assignment = self._connections.choose(
            connection_request,
            clock_ns(),
            lambda c: c.setup.values == variables.values,
        )
        if assignment is None:
            return None
        if assignment.connection is not None:
            self.reuses += 1
            return assignment.connection
        return await self._open_one(
            deadline_ns,
            team=connection_request.team,
            replaced=assignment.replaced,
        )

    def _exhausted_fault(self) -> OpenFault:
        code = FaultCode.TOO_MANY_CONNECTIONS
        return OpenFault(code=code, peer=self.target)

    def _refuse(
        self,
        connection_request: ConnectionRequest,
        reason: str,
        expected_wait_ns: int,
    ) -> OpenFault:
        """Build the fault of a request that would wait too long.

        :param reason: ``wait`` if it is refused at once, ``deadline``
            if it has waited in vain
        """
        priority = connection_request.priority
        self.stats.record_refused(priority, reason)
        retry_after_ms = retry_after(expected_wait_ns)
        log_event(
            "queue-refused",
            f"target={self.target} group={self.group}"
            f" team={connection_request.team or '-'}"
            f" priority={priority} pinned={connection_request.pinned}"
            f" reason={reason} waiting={len(self._queue)}"
            f" expected_wait_ms={expected_wait_ns // NS_PER_MS}"
            f" window={self._queue.window.size:.1f}"
            f" retry_after_ms={retry_after_ms}",
        )
        return OpenFault(
            code=FaultCode.TOO_MANY_CONNECTIONS,
            peer=self.target,
            retry_after_ms=retry_after_ms,
        )

    def _mark_taken(
        self,
        connection: TargetConnection,
        connection_request: ConnectionRequest,
    ) -> None:
        self.takes += 1
        self._connections.record_taken(
            connection, connection_request, clock_ns()
        )
        connection.active_ns = 0
        self._queue.record_acquired(connection_request)

    def _on_activity(self, connection: TargetConnection) -> None:
        """Count the running statements of transactions."""
        use = self._connections.use_of(connection)
        if use is None or not use.pinned:
            return
        self._queue.record_statement(is_running=connection.is_active)
        if not connection.is_active:
            self._serve_waiters()

    def _mark_returned(self, connection: TargetConnection) -> None:
        now_ns = clock_ns()
        use = self._connections.record_returned(connection, now_ns)
        if use is not None:
            connection_request, held_ns = use
            if connection_request.pinned and connection.is_active:
                self._queue.record_statement(is_running=False)
            connection.is_active = False
            self._queue.record_released(
                connection_request,
                held_ns,
                now_ns=now_ns,
                work_ns=connection.active_ns,
                was_busy=connection.was_busy,
                was_lost=connection.is_lost,
                ran_nothing=connection.ran_nothing,
            )
            connection.was_busy = False
            connection.ran_nothing = False

    def _serve_waiters(self) -> None:
        """Hand idle connections to the waiters that may use them.

        The first waiter that needs an opening is woken as well.
        """
        while True:
            waiter = self._next_waiter(self._may_get)
            if waiter is None:
                return
            assignment = self._connections.choose(
                waiter.connection_request, clock_ns(), lambda _: False
            )
            if assignment is None or assignment.connection is None:
                _wake_waiter(waiter.item, _WakeReason.RETRY)
                break
            self._hand_over(assignment.connection, waiter)
        while True:
            waiter = self._next_waiter(self._may_use_idle)
            if waiter is None:
                return
            assignment = self._connections.choose(
                waiter.connection_request, clock_ns(), lambda _: False
            )
            assert assignment is not None  # noqa: S101
            assert assignment.connection is not None  # noqa: S101
            self._hand_over(assignment.connection, waiter)

    def _may_get(self, connection_request: ConnectionRequest) -> bool:
        return self._connections.may_get(connection_request, clock_ns())

    def _may_use_idle(self, connection_request: ConnectionRequest) -> bool:
        return self._connections.has_idle_for(
            connection_request
        ) and self._connections.may_take(connection_request)

    def _hand_over(
        self,
        connection: TargetConnection,
        waiter: Waiter[asyncio.Future[_Outcome]],
    ) -> None:
        self.reuses += 1
        self._mark_taken(connection, waiter.connection_request)
        waiter.item.set_result(connection)

    def _next_waiter(
        self, is_suitable: Callable[[ConnectionRequest], bool]
    ) -> Waiter[asyncio.Future[_Outcome]] | None:
        while True:
            waiter = self._queue.pop(is_suitable, now_ns=clock_ns())
            if waiter is None:
                return None
            if not waiter.item.done():
                return waiter

    async def _open_one(
        self,
        deadline_ns: int,
        *,
        team: str = "",
        replaced: TargetConnection | None = None,
    ) -> TargetConnection | OpenFault:
        """Open a connection.

        :param team: team that the connection serves, or empty
        :param replaced: idle connection to close first, or None
        """
        now_ns = clock_ns()
        connection = TargetConnection(
            target=self.target,
            codec=self.new_codec(),
            on_lost=self._on_connection_lost,
            on_activity=self._on_activity,
        )
        opening = connection.codec.encode_open(
            group=self.group, label=team or self.label, target=self.target
        )
        # Counted before the other connection is closed, so that no
        # waiter uses its place.
        self._connections.opening += 1
        if replaced is not None:
            self.replaced += 1
            log_event(
                "connection-replaced",
                f"target={self.target} team={team or '-'}"
                f" closed={self._connections.team_of(replaced) or '-'}"
                f" open={self._connections.opened} limit={self.limit}",
            )
            replaced.abort()
        if self._connections.uses_teams:
            self._wake_one()
        latest_ns = min(deadline_ns, now_ns + CONNECT_TIMEOUT_MS * NS_PER_MS)
        try:
            answer = await open_connection(
                connection, self.address, opening, deadline_ns=latest_ns
            )
        finally:
            self._connections.opening -= 1
        if answer.fault is not None:
            fault = OpenFault(
                code=answer.fault,
                peer=self.target,
                refused=answer.text == "ConnectionRefusedError",
                connected=connection.was_connected,
            )
            return self._report_open_fault(fault)
        self.opens += 1
        self._connections.record_opened(connection, team)
        self._wake_one()
        return connection

    def _report_open_fault(self, fault: OpenFault) -> OpenFault:
        self.failed_opens += 1
        is_full = fault.code is FaultCode.TOO_MANY_CONNECTIONS
        if is_full and self._connections.record_full(clock_ns()):
            log_event(
                "target-full",
                f"target={self.target} open={self._connections.opened}"
                f" limit={self.limit}",
            )
            loop = asyncio.get_running_loop()
            loop.call_later(FULL_BACKOFF_MS / 1_000, self._wake_one)
        else:
            self.on_open_fault(fault)
        if not fault.connected and not self._connections.opened:
            self._fail_waiters(fault)
        self._wake_one()
        return fault

    def _fail_waiters(self, fault: OpenFault) -> None:
        """Refuse all that wait for a target that cannot be reached.

        They would wait for their deadline while one opening after the
        other times out, and then have no time left for another target.
        """
        for waiter in self._queue.waiters:
            if not waiter.item.done():
                waiter.item.set_result(fault)

    def _waits_for_full(self, fault: OpenFault) -> bool:
        """Return whether a request may wait although an opening failed.

        The target has no connection left, but this pool has some.
        """
        is_full = fault.code is FaultCode.TOO_MANY_CONNECTIONS
        opened = self._connections.opened + self._connections.opening
        return is_full and self._connections.uses_teams and opened > 0

    async def _wait(
        self,
        connection_request: ConnectionRequest,
        deadline_ns: int,
        place: _Place,
    ) -> _Outcome:
        loop = asyncio.get_running_loop()
        now_ns = clock_ns()
        left_s = max(0, deadline_ns - now_ns) / NS_PER_S
        wakeup: asyncio.Future[_Outcome] = loop.create_future()
        waiter = self._queue.push(
            connection_request, wakeup, now_ns=now_ns, number=place.number
        )
        place.number = waiter.number
        # Cancelling the future on time-out could lose a connection that
        # was assigned to it at the same moment.
        timer = loop.call_later(
            left_s, _wake_waiter, wakeup, _WakeReason.TIMED_OUT
        )
        try:
            return await wakeup
        finally:
            timer.cancel()
            self._queue.remove(waiter, now_ns=clock_ns())

    def _on_connection_lost(self, connection: TargetConnection) -> None:
        self._mark_returned(connection)
        self._connections.record_closed(connection)
        self._wake_one()

    def _wake_one(self) -> None:
        waiter = self._next_waiter(self._may_get)
        if waiter is not None:
            _wake_waiter(waiter.item, _WakeReason.RETRY)


def _wake_waiter(
    wakeup: asyncio.Future[_Outcome], reason: _WakeReason
) -> None:
    if not wakeup.done():
        wakeup.set_result(reason)
