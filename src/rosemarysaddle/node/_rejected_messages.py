"""Messages that are rejected as they have made a step raise."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import attrs

from rosemarysaddle.decide import NS_PER_MS
from rosemarysaddle.schema import Announcement, ChangeProposal

if TYPE_CHECKING:
    from rosemarysaddle.schema import Message

__all__ = ("RejectedMessages",)

# Longer than an operator or a target goes on with one message, as far
# as is known; the error may have had another cause.
REJECT_MS: Final = 60_000
MAX_KEPT: Final = 64


@attrs.define(kw_only=True)
class RejectedMessages:
    """Messages with the content of strangers that have raised.

    A process that has raised loads its log again, and ends if that goes
    on.  A message that is sent again and again must not cause that more
    than once.  Messages of the log itself are never rejected.
    """

    _until_ns: dict[Message, int] = attrs.field(factory=dict)

    def add(self, message: Message, now_ns: int) -> None:
        """Reject a message for some time, if strangers wrote it."""
        key = _content_of(message)
        if key is None:
            return
        self._until_ns[key] = now_ns + REJECT_MS * NS_PER_MS
        if len(self._until_ns) > MAX_KEPT:
            del self._until_ns[next(iter(self._until_ns))]

    def has(self, message: Message, now_ns: int) -> bool:
        """Tell whether a message is to be rejected."""
        if not self._until_ns:
            return False
        key = _content_of(message)
        return key is not None and now_ns < self._until_ns.get(key, 0)


def _content_of(message: Message) -> Message | None:
    """Return a message without what changes when it is sent again."""
    match message:
        case ChangeProposal():
            return attrs.evolve(message, change_id="")
        case Announcement():
            return attrs.evolve(message, sequence=0)
        case _:
            return None
