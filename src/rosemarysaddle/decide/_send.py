"""The one effect that entry hosts share with control hosts."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from rosemarysaddle.schema import Message

__all__ = ("Send",)


@attrs.frozen(kw_only=True)
class Send:
    """Send one message to a peer; delivery is not guaranteed."""

    peer: str
    message: Message
