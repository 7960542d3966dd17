"""Transaction of one session, as the entry host keeps it."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from rosemarysaddle.connection import TargetConnection
    from rosemarysaddle.decide import LogPoint, WriteTicket
    from rosemarysaddle.schema import Route

__all__ = ("Transaction",)


@attrs.define(kw_only=True, eq=False)
class Transaction:
    """Transaction of one session, pinned to one connection.

    :param connection: connection to which it is pinned, or None before
        its first statement and after its end
    :param target: target at which it has begun, or empty
    :param ticket: ticket for the primary if it may write, once begun
    :param min_point: position that the log of the primary must have
        reached when it was begun, or None at a replica
    :param has_written: whether it has run a write
    :param team: team for which it was begun, or empty
    :param retry_after_ms: time after which a connection may be free for
        it, in milliseconds; 0 if unknown
    """

    is_read_only: bool
    route: Route
    connection: TargetConnection | None = None
    target: str = ""
    ticket: WriteTicket | None = None
    min_point: LogPoint | None = None
    has_written: bool = False
    team: str = ""
    retry_after_ms: int = 0
