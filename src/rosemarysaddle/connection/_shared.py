"""Connections to one target, this host's own or borrowed ones."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from rosemarysaddle._clock import clock_ns
from rosemarysaddle.connection._connection import TargetConnection

if TYPE_CHECKING:
    from collections.abc import Callable

    from rosemarysaddle.connection._loans import LoanClient
    from rosemarysaddle.connection._pool import ConnectionPool, OpenFault
    from rosemarysaddle.decide import (
        ConnectionRequest,
        ConnectionShare,
        SessionVariables,
    )

__all__ = ("SharedPool",)


@attrs.define(kw_only=True, eq=False)
class SharedPool:
    """Connections to one target.

    :param own: connections that this host opens
    :param desk: loans of this host, at all targets
    :param on_refused: called when a lender could not reach the target
    """

    own: ConnectionPool
    loan_client: LoanClient
    on_refused: Callable[[OpenFault], None]
    uses_lender: bool = attrs.field(default=False, init=False)

    @property
    def lender(self) -> str:
        """Address of the host that opens the connections."""
        ranking = self.loan_client.ranking
        if not self.uses_lender:
            return ranking.own
        return ranking.lender(self.own.target, clock_ns())

    @property
    def is_own(self) -> bool:
        """Tell whether this host opens connections of its own."""
        return self.lender == self.loan_client.ranking.own

    async def acquire(
        self,
        variables: SessionVariables,
        *,
        deadline_ns: int,
        connection_request: ConnectionRequest,
    ) -> TargetConnection | OpenFault:
        """Get a connection, opened here or borrowed.

        :param variables: what the session has set
        :param deadline_ns: time to wait until
        """
        target = self.own.target
        while clock_ns() < deadline_ns:
            lender = self.lender
            if lender == self.loan_client.ranking.own:
                break
            found = await self.loan_client.borrow(
                target,
                lender,
                variables.values,
                deadline_ns=deadline_ns,
                connection_request=connection_request,
            )
            if isinstance(found, TargetConnection):
                return found
            if found is not None:
                self.on_refused(found)
                return found
        return await self.own.acquire(
            variables,
            deadline_ns=deadline_ns,
            connection_request=connection_request,
        )

    def release(self, connection: TargetConnection) -> None:
        """Give a connection back; one that is not idle is ended."""
        if self.loan_client.is_borrowed(connection):
            self.loan_client.return_connection(connection)
        else:
            self.own.release(connection)

    async def check(self) -> bool:
        """Find out over a new connection whether the target answers."""
        found = await self.own.check()
        self.trim()
        return found

    async def warm(self, count: int) -> None:
        """Open own connections before they are needed."""
        if self.is_own:
            await self.own.warm(count)

    def share(self, share: ConnectionShare) -> None:
        """Change how many connections are opened, and by whom."""
        self.uses_lender = share.uses_lender
        self.own.set_limit(share.limit)
        self.trim()

    def trim(self) -> None:
        """End own idle connections where another host lends."""
        if not self.is_own:
            self.own.close_idle()

    def close(self) -> None:
        """End all own connections that no session holds."""
        self.own.close()
