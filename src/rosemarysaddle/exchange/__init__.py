"""Connections to targets on the event loop, shared by sessions."""

from __future__ import annotations

from rosemarysaddle.exchange._connection import (
    Exchange,
    TargetCodec,
    guard_socket,
    open_exchange,
)
from rosemarysaddle.exchange._pool import ExchangePool, OpenFault

__all__ = (
    "Exchange",
    "ExchangePool",
    "OpenFault",
    "TargetCodec",
    "guard_socket",
    "open_exchange",
)
