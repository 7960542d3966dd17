"""Pool that combines own and borrowed connections to one target."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Final

import attrs

from rosemarysaddle._clock import NS_PER_S, clock_ns
from rosemarysaddle._events import log_event
from rosemarysaddle.connection._connection import TargetConnection
from rosemarysaddle.connection._pool import OpenFault
from rosemarysaddle.decide import (
    NS_PER_MS,
    ConnectionRequest,
    FaultCode,
    SessionVariables,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from rosemarysaddle.connection._loans import LoanClient
    from rosemarysaddle.connection._pool import ConnectionPool
    from rosemarysaddle.decide import ConnectionShare

__all__ = ("SharedPool",)

# Covers the way to the lender and an opening there.
CHECK_TIMEOUT_MS: Final = 500
# Idle connections of teams are kept this long at a host that is not the
# lender, as others may ask it in place of a lender that they cannot
# reach.
STAND_IN_IDLE_MS: Final = 5_000


@attrs.define(kw_only=True, eq=False)
class SharedPool:
    """Connections to one target, opened by this host or borrowed.

    :param own: connections that this host opens
    :param loan_client: client for loans, shared by the pools of all
        targets
    :param on_refused: called with the fault when a lender has no
        connection to lend
    :param uses_lender: whether one host lends the connections to the
        others instead of each opening its own
    :param lending_center: data centre whose hosts lend to all others,
        or empty
    :param waiting: number of requests of this host that wait for a
        connection
    """

    own: ConnectionPool
    loan_client: LoanClient
    on_refused: Callable[[OpenFault], None]
    uses_lender: bool = attrs.field(default=False, init=False)
    lending_center: str = attrs.field(default="", init=False)
    waiting: int = attrs.field(default=0, init=False)
    _has_share: asyncio.Event = attrs.field(factory=asyncio.Event, init=False)

    @property
    def lender(self) -> str:
        """Address of the host that opens connections to the target."""
        ranking = self.loan_client.ranking
        if not self.uses_lender:
            return ranking.own
        return ranking.lender(
            self.own.target, clock_ns(), data_center=self.lending_center
        )

    @property
    def is_passed_over(self) -> bool:
        """Return whether another host lends in place of this one.

        This host could not connect to the target.
        """
        ranking = self.loan_client.ranking
        return not self.opens_own_connections and ranking.is_unable(
            ranking.own, self.own.target, clock_ns()
        )

    @property
    def opens_own_connections(self) -> bool:
        """Return whether this host opens its own connections."""
        return self.lender == self.loan_client.ranking.own

    async def acquire(
        self,
        variables: SessionVariables,
        *,
        deadline_ns: int,
        connection_request: ConnectionRequest,
    ) -> TargetConnection | OpenFault:
        """Get a connection, opened here or borrowed.

        If the lender cannot connect to the target, the next one in the
        ranking is asked once.

        :param variables: variables of the session
        :param deadline_ns: :func:`clock_ns` time until which to wait
        :param connection_request: team and priority of the request, and
            whether it is for a transaction
        :return: the connection, or why none was obtained
        """
        self.waiting += 1
        try:
            return await self._acquire(
                variables, deadline_ns, connection_request
            )
        finally:
            self.waiting -= 1

    async def _acquire(
        self,
        variables: SessionVariables,
        deadline_ns: int,
        connection_request: ConnectionRequest,
    ) -> TargetConnection | OpenFault:
        target = self.own.target
        if not await self._wait_for_share(deadline_ns):
            code = FaultCode.TOO_MANY_CONNECTIONS
            return OpenFault(code=code, peer=target, connected=True)
        ranking = self.loan_client.ranking
        asked: set[str] = set()
        while True:
            lender = self._lender_to_ask()
            is_own = lender == ranking.own or clock_ns() >= deadline_ns
            if is_own:
                lender = ranking.own
                found = await self.own.acquire(
                    variables,
                    deadline_ns=deadline_ns,
                    connection_request=connection_request,
                )
            else:
                borrowed = await self.loan_client.borrow(
                    target,
                    lender,
                    variables.values,
                    deadline_ns=deadline_ns,
                    connection_request=connection_request,
                )
                if borrowed is None:
                    continue
                found = borrowed
            if isinstance(found, TargetConnection):
                ranking.mark_able(lender, target)
                return found
            is_unable = self.uses_lender and _is_unable(found)
            if is_unable:
                ranking.mark_unable(lender, target, clock_ns())
                asked.add(lender)
                following = self.lender
                if following not in asked and clock_ns() < deadline_ns:
                    log_event(
                        "lender-unable",
                        f"target={target} lender={lender} code={found.code}"
                        f" next={following}",
                    )
                    continue
            if not is_own:
                self.on_refused(found)
            return found

    def _lender_to_ask(self) -> str:
        if self.uses_lender and self.lending_center:
            trial = self.loan_client.ranking.trial_lender(
                self.own.target, clock_ns(), data_center=self.lending_center
            )
            if trial:
                return trial
        return self.lender

    def release(self, connection: TargetConnection) -> None:
        """Return a connection; it is closed if it is not idle."""
        if self.loan_client.is_borrowed(connection):
            self.loan_client.return_connection(connection)
        else:
            self.own.release(connection)

    async def check(self) -> bool:
        """Probe the target over a new connection of this host.

        :return: whether the target's host accepted the connection
        """
        found = await self.own.check()
        self.trim()
        return found

    async def check_through_lender(self) -> bool:
        """Probe the target over a lender's connection, if any lends.

        Otherwise all hosts would open a connection each to a target
        that comes back, at the same time.

        :return: whether the target takes connections
        """
        if self.opens_own_connections and self.has_share:
            return await self.check()
        deadline_ns = clock_ns() + CHECK_TIMEOUT_MS * NS_PER_MS
        found = await self.acquire(
            SessionVariables(),
            deadline_ns=deadline_ns,
            connection_request=ConnectionRequest(any_team=True),
        )
        if isinstance(found, OpenFault):
            return found.code is FaultCode.TOO_MANY_CONNECTIONS
        self.release(found)
        return True

    @property
    def has_share(self) -> bool:
        """Return whether it is known who opens the connections."""
        return self._has_share.is_set()

    async def _wait_for_share(self, deadline_ns: int) -> bool:
        if self.has_share:
            return True
        left_s = max(0, deadline_ns - clock_ns()) / NS_PER_S
        try:
            async with asyncio.timeout(left_s):
                await self._has_share.wait()
        except TimeoutError:
            return False
        return True

    async def warm(self, count: int) -> None:
        """Open connections ahead of demand if no other host lends."""
        if self.opens_own_connections:
            await self.own.warm(count)

    def apply_share(self, share: ConnectionShare) -> None:
        """Apply the share of connections that this host may open."""
        if share.lending_center != self.lending_center:
            log_event(
                "lending-scope",
                f"target={self.own.target}"
                f" data_center={share.lending_center or '-'}"
                f" limit={share.limit}",
            )
        self.uses_lender = share.uses_lender
        self.lending_center = share.lending_center
        self.own.set_limit(
            share.limit,
            uses_teams=share.uses_teams,
            min_window=share.min_window(self.own.slots),
            max_window=share.max_window(self.own.slots),
        )
        if share.is_pending:
            self._has_share.clear()
        else:
            self._has_share.set()
        self.trim()

    def trim(self) -> None:
        """Close own idle connections if another host lends."""
        if not self.opens_own_connections:
            is_stand_in = self.own.uses_teams
            self.own.close_idle(idle_ms=STAND_IN_IDLE_MS * is_stand_in)

    def close(self) -> None:
        """Close own idle connections now, others when released."""
        self.own.close()


def _is_unable(fault: OpenFault) -> bool:
    """Tell whether the target could not be connected to."""
    codes = {FaultCode.LOST, FaultCode.TIMEOUT}
    return fault.code in codes and not fault.connected
