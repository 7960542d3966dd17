"""Entry hosts and control hosts that run on the users' platform.

The hosts find each other by seed addresses. What differs between
platforms is behind the :class:`Platform` protocol.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, Final

from rosemarysaddle._lazy import LazyNames

if TYPE_CHECKING:
    from rosemarysaddle.node._main import run_node
    from rosemarysaddle.node._platform import (
        OrderAnswer,
        Platform,
        Promoter,
        PromotionOrder,
        TargetStatus,
    )

__all__ = (
    "OrderAnswer",
    "Platform",
    "Promoter",
    "PromotionOrder",
    "TargetStatus",
    "run_node",
)

# Only control hosts use the classes of the platform's interface.
_NAMES: Final = LazyNames(
    package=__name__,
    modules={
        "_main": ("run_node",),
        "_platform": (
            "OrderAnswer",
            "Platform",
            "Promoter",
            "PromotionOrder",
            "TargetStatus",
        ),
    },
)


def __getattr__(name: str) -> Any:
    """Import a name when it is used for the first time."""
    return _NAMES.load(name, globals())
