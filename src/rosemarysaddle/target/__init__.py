"""Targets: their interface, connections and status polling."""

from __future__ import annotations

from rosemarysaddle.target._mysql import MySqlConnector
from rosemarysaddle.target._pool import TargetPool
from rosemarysaddle.target._protocol import (
    FaultKind,
    InstanceStatus,
    StatementResult,
    TargetConnector,
    TargetFault,
    TargetSession,
)
from rosemarysaddle.target._watch import TargetWatch, WatchEvents

__all__ = (
    "FaultKind",
    "InstanceStatus",
    "MySqlConnector",
    "StatementResult",
    "TargetConnector",
    "TargetFault",
    "TargetPool",
    "TargetSession",
    "TargetWatch",
    "WatchEvents",
)
