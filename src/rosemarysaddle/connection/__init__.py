"""Connections to targets on the event loop, shared by sessions."""

from __future__ import annotations

from rosemarysaddle.connection._connection import (
    TargetCodec,
    TargetConnection,
    open_connection,
    set_socket_options,
)
from rosemarysaddle.connection._lender import Lender
from rosemarysaddle.connection._loans import LoanClient
from rosemarysaddle.connection._pool import ConnectionPool, OpenFault
from rosemarysaddle.connection._relay import RelayClient, RelayServer
from rosemarysaddle.connection._shared import SharedPool
from rosemarysaddle.connection._stop_schedule import StopSchedule
from rosemarysaddle.connection._token_links import TokenLinks

__all__ = (
    "ConnectionPool",
    "Lender",
    "LoanClient",
    "OpenFault",
    "RelayClient",
    "RelayServer",
    "SharedPool",
    "StopSchedule",
    "TargetCodec",
    "TargetConnection",
    "TokenLinks",
    "open_connection",
    "set_socket_options",
)
