"""Sessions of callers, each bound to its caller's connection."""

from __future__ import annotations

from rosemarysaddle.session._caller import CallerCodec, CallerSession
from rosemarysaddle.session._leaving_targets import WORK_AGE_BOUNDS_MS
from rosemarysaddle.session._rate_limits import RateLimits
from rosemarysaddle.session._router import (
    MAX_PLAN_AGE_MS,
    ReadTarget,
    Router,
)
from rosemarysaddle.session._runner import Runner
from rosemarysaddle.session._stages import (
    STAGE_BOUNDS_MS,
    Stage,
    StageStats,
)
from rosemarysaddle.session._statement_stats import (
    LATENCY_BOUNDS_MS,
    StatementStats,
)
from rosemarysaddle.session._token_service import WAIT_BOUNDS_MS
from rosemarysaddle.session._transaction import Transaction

__all__ = (
    "LATENCY_BOUNDS_MS",
    "MAX_PLAN_AGE_MS",
    "STAGE_BOUNDS_MS",
    "WAIT_BOUNDS_MS",
    "WORK_AGE_BOUNDS_MS",
    "CallerCodec",
    "CallerSession",
    "RateLimits",
    "ReadTarget",
    "Router",
    "Runner",
    "Stage",
    "StageStats",
    "StatementStats",
    "Transaction",
)
