"""Hosts of a deployment that runs on a platform."""

from __future__ import annotations

from rosemarysaddle.node._main import run_node
from rosemarysaddle.node._platform import (
    Platform,
    Promoter,
    PromotionOrder,
    TargetStatus,
)

__all__ = (
    "Platform",
    "Promoter",
    "PromotionOrder",
    "TargetStatus",
    "run_node",
)
