"""Sessions of callers that are bound to a connection."""

from __future__ import annotations

from rosemarysaddle.session._caller import CallerCodec, CallerSession
from rosemarysaddle.session._router import Placement, Router
from rosemarysaddle.session._run import Runner, Transaction

__all__ = (
    "CallerCodec",
    "CallerSession",
    "Placement",
    "Router",
    "Runner",
    "Transaction",
)
