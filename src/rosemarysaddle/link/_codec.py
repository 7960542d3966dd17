"""Coding of envelopes as packed Cap'n Proto messages."""

from __future__ import annotations

import re
from pathlib import Path
from typing import Any, Final

import attrs
import capnp

import rosemarysaddle.schema
from rosemarysaddle.schema import Envelope
from rosemarysaddle.schema._messages import BODIES

__all__ = ("MAX_MESSAGE_BYTES", "DecodeFault", "decode", "encode")

MAX_MESSAGE_BYTES: Final = 64 * 1024 * 1024
_SCHEMA_FOLDER: Final = Path(rosemarysaddle.schema.__file__).parent
_CAPNP_SCHEMA: Final = capnp.load(str(_SCHEMA_FOLDER / "messages.capnp"))
_WIRE_NAMES: Final = {kind: wire for wire, kind in BODIES.items()}


@attrs.frozen(kw_only=True)
class DecodeFault:
    """Sentinel for bytes that are no envelope."""

    reason: str


def encode(envelope: Envelope) -> bytes:
    """Render an envelope.

    :return: packed message without the length prefix
    """
    message = _CAPNP_SCHEMA.Envelope.new_message()
    message.source = envelope.source
    message.requestId = envelope.request_id
    wire = _WIRE_NAMES[type(envelope.body)]
    _write_fields(message.body.init(wire), envelope.body)
    packed: bytes = message.to_bytes_packed()
    return packed


def decode(data: bytes) -> Envelope | DecodeFault:
    """Read an envelope.

    :param data: packed message without the length prefix
    :return: the envelope, or what is wrong with the bytes
    """
    if len(data) > MAX_MESSAGE_BYTES:
        return DecodeFault(reason="too large")
    try:
        message = _CAPNP_SCHEMA.Envelope.from_bytes_packed(
            data, traversal_limit_in_words=MAX_MESSAGE_BYTES
        )
        wire = message.body.which()
        kind = BODIES[str(wire)]
        reader = getattr(message.body, str(wire))
        return Envelope(
            source=message.source,
            request_id=message.requestId,
            body=kind(**_read_fields(kind, reader)),
        )
    except (capnp.KjException, ValueError, KeyError, TypeError) as error:
        return DecodeFault(reason=str(error).splitlines()[0])


def _write_fields(builder: Any, message: Any) -> None:
    for name, wire in _FIELDS[type(message)]:
        value = getattr(message, name)
        if isinstance(value, tuple):
            items = builder.init(wire, len(value))
            for number, item in enumerate(value):
                _write_fields(items[number], item)
        else:
            setattr(builder, wire, value)


def _read_fields(kind: type, reader: Any) -> dict[str, Any]:
    nested = _NESTED.get(kind, {})
    found: dict[str, Any] = {}
    for name, wire in _FIELDS[kind]:
        value = getattr(reader, wire)
        item = nested.get(name)
        if item is not None:
            value = tuple(item(**_read_fields(item, v)) for v in value)
        found[name] = value
    return found


def _to_camel_case(name: str) -> str:
    head, *tail = name.split("_")
    return head + "".join(part.title() for part in tail)


def _field_names(kind: type) -> tuple[tuple[str, str], ...]:
    return tuple((f.name, _to_camel_case(f.name)) for f in attrs.fields(kind))


def _nested_types(kind: type) -> dict[str, type]:
    found: dict[str, type] = {}
    for field in attrs.fields(kind):
        match = re.fullmatch(r"tuple\[(\w+), \.\.\.\]", str(field.type))
        if match:
            found[field.name] = getattr(rosemarysaddle.schema, match[1])
    return found


_NESTED: Final = {kind: _nested_types(kind) for kind in BODIES.values()}
_ITEMS: Final = {item for found in _NESTED.values() for item in found.values()}
_FIELDS: Final = {
    kind: _field_names(kind) for kind in {*BODIES.values(), *_ITEMS}
}
