"""Sessions of callers that are bound to a connection."""

from __future__ import annotations

from rosemarysaddle.session._caller import CallerCodec, CallerSession
from rosemarysaddle.session._router import Placement, Router
from rosemarysaddle.session._run import Runner, Transaction
from rosemarysaddle.session._tally import BOUNDS_MS, Tally

__all__ = (
    "BOUNDS_MS",
    "CallerCodec",
    "CallerSession",
    "Placement",
    "Router",
    "Runner",
    "Tally",
    "Transaction",
)
