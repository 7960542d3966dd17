"""Entry hosts and control hosts that run on the users' platform.

The hosts find each other by seed addresses. What differs between
platforms is behind the :class:`Platform` protocol.
"""

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
