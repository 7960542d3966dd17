"""Effects that entry hosts share with control hosts, or have alone."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from rosemarysaddle.schema import Message

__all__ = ("Send", "SendRelayed")


@attrs.frozen(kw_only=True)
class Send:
    """Send one message to a peer; delivery is not guaranteed.

    :param is_retry: whether an earlier message to the peer may not have
        been answered; a new connection is then opened beside one
        without any sign of life
    """

    peer: str
    message: Message
    is_retry: bool = False


@attrs.frozen(kw_only=True)
class SendRelayed:
    """Send a message to the control leader over another entry host.

    :param neighbour: lending address of the host that relays it
    """

    neighbour: str
    message: Message
