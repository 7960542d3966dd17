"""Encoding of messages that pass over a relaying entry host."""

from __future__ import annotations

import zlib
from typing import Final

from rosemarysaddle.link._codec import (
    MAX_MESSAGE_BYTES,
    DecodeFault,
    decode,
    encode,
)
from rosemarysaddle.schema import Envelope, Message, RelayedMessage

__all__ = ("unwrap_relayed", "wrap_relayed")

# A snapshot of 32,000 databases has 13 MB, and a relay has to hold it
# until it is sent on.
MAX_BODY_BYTES: Final = 2 * 1024 * 1024


def wrap_relayed(
    host: str, source: str, message: Message
) -> RelayedMessage | None:
    """Wrap a message for its way over a relay.

    :param host: entry host that the message is from or for
    :param source: name of the sender
    :return: the wrapped message, or None if it is too long
    """
    envelope = Envelope(source=source, request_id=0, body=message)
    body = zlib.compress(encode(envelope), 1)
    if len(body) > MAX_BODY_BYTES:
        return None
    return RelayedMessage(host=host, body=body)


def unwrap_relayed(message: RelayedMessage) -> Envelope | DecodeFault:
    """Decode the message that a relay has passed on."""
    decompressor = zlib.decompressobj()
    try:
        data = decompressor.decompress(message.body, MAX_MESSAGE_BYTES)
    except zlib.error as error:
        return DecodeFault(reason=str(error))
    return decode(data)
