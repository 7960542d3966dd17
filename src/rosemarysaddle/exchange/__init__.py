"""Connections to targets on the event loop, shared by sessions."""

from __future__ import annotations

from rosemarysaddle.exchange._connection import (
    Exchange,
    TargetCodec,
    guard_socket,
    open_exchange,
)
from rosemarysaddle.exchange._lender import Lender
from rosemarysaddle.exchange._loans import LoanDesk
from rosemarysaddle.exchange._pool import ExchangePool, OpenFault
from rosemarysaddle.exchange._shared import SharedPool

__all__ = (
    "Exchange",
    "ExchangePool",
    "Lender",
    "LoanDesk",
    "OpenFault",
    "SharedPool",
    "TargetCodec",
    "guard_socket",
    "open_exchange",
)
