"""Encoding of envelopes as packed Cap'n Proto messages.

The fields of the attrs classes are mapped to those of the schema by
name: ``request_id`` is ``requestId`` on the wire.
"""

from __future__ import annotations

import functools
import os.path
from typing import Any, Final

import attrs
import capnp

from rosemarysaddle.schema import Envelope, _messages
from rosemarysaddle.schema._messages import BODIES

__all__ = ("MAX_MESSAGE_BYTES", "DecodeFault", "decode", "encode")

MAX_MESSAGE_BYTES: Final = 64 * 1024 * 1024
# Two bytes of a packed message stand for up to 256 words of zeros.  The
# same limit counts what is read, some of it more than once.
MAX_WORDS_PER_BYTE: Final = 4 * 128
MIN_TRAVERSED_WORDS: Final = 64 * 1024
# pathlib imports urllib.parse and ipaddress, which a start can do
# without.
_SCHEMA_PATH: Final = os.path.join(  # noqa: PTH118
    os.path.dirname(_messages.__file__),  # noqa: PTH120
    "messages.capnp",
)
_CAPNP_SCHEMA: Final = capnp.load(_SCHEMA_PATH)
_WIRE_NAMES: Final = {
    message_class: wire_name for wire_name, message_class in BODIES.items()
}


@attrs.frozen(kw_only=True)
class DecodeFault:
    """Returned in place of an envelope if data cannot be decoded.

    :param reason: what is wrong with the data
    """

    reason: str


def encode(envelope: Envelope) -> bytes:
    """Encode an envelope.

    :return: packed message without the length prefix
    """
    message = _CAPNP_SCHEMA.Envelope.new_message()
    message.source = envelope.source
    message.requestId = envelope.request_id
    wire_name = _WIRE_NAMES[type(envelope.body)]
    _write_fields(message.body.init(wire_name), envelope.body)
    packed: bytes = message.to_bytes_packed()
    return packed


def decode(data: bytes) -> Envelope | DecodeFault:
    """Decode an envelope.

    :param data: packed message without the length prefix
    :return: the envelope, or why the data cannot be decoded
    """
    if len(data) > MAX_MESSAGE_BYTES:
        return DecodeFault(reason="message larger than 64 MiB")
    try:
        message = _CAPNP_SCHEMA.Envelope.from_bytes_packed(
            data, traversal_limit_in_words=_max_words(data)
        )
        wire_name = message.body.which()
        message_class = BODIES[str(wire_name)]
        reader = getattr(message.body, str(wire_name))
        return Envelope(
            source=message.source,
            request_id=message.requestId,
            body=message_class(**_read_fields(message_class, reader)),
        )
    except (capnp.KjException, ValueError, KeyError, TypeError) as error:
        return DecodeFault(reason=str(error).splitlines()[0])


def _max_words(data: bytes) -> int:
    """Return the size that a message may claim to have, in words.

    The decoder allocates what the first bytes claim before it reads
    the others.
    """
    words = MIN_TRAVERSED_WORDS + MAX_WORDS_PER_BYTE * len(data)
    return min(words, MAX_MESSAGE_BYTES)


def _write_fields(builder: Any, message: Any) -> None:
    for name, wire_name, _ in _fields(message.__class__):
        value = getattr(message, name)
        if isinstance(value, tuple):
            items = builder.init(wire_name, len(value))
            for position, item in enumerate(value):
                _write_fields(items[position], item)
        else:
            setattr(builder, wire_name, value)


def _read_fields(message_class: type, reader: Any) -> dict[str, Any]:
    result: dict[str, Any] = {}
    for name, wire_name, item in _fields(message_class):
        value = getattr(reader, wire_name)
        if item is not None:
            value = tuple(item(**_read_fields(item, v)) for v in value)
        result[name] = value
    return result


def _to_camel_case(name: str) -> str:
    head, *tail = name.split("_")
    return head + "".join(part.title() for part in tail)


@functools.cache
def _fields(message_class: type) -> tuple[tuple[str, str, type | None], ...]:
    """List the fields of a message: name, name on the wire, item class.

    The item class is that of a list of structs, None for other fields.
    """
    return tuple(
        (name, _to_camel_case(name), _item_class(kind))
        for name, kind in message_class.__annotations__.items()
    )


def _item_class(kind: str) -> type | None:
    name = kind.removeprefix("tuple[").removesuffix(", ...]")
    item: type | None = getattr(_messages, name, None)
    return item if name != kind else None
