"""Decoding of the bodies of the administration API.

What is decoded can be sent to every host.  A body that holds anything
else is refused at once, because no host would answer it.
"""

from __future__ import annotations

import json
from typing import Any, Final

import attrs
import cattrs

from rosemarysaddle._formats import MAX_NUMBER, MAX_SLOTS, is_number
from rosemarysaddle.decide import (
    ValueFault,
    decode_json,
    is_well_formed,
    record_of,
)
from rosemarysaddle.schema import Announcement, ChangeProposal

__all__ = ("BodyFault", "read_announcement", "read_change")

MAX_ID_CHARS: Final = 64
MAX_IDENTITY_CHARS: Final = 255


@attrs.frozen(kw_only=True)
class BodyFault:
    """Returned in place of a body that cannot be served.

    :param reason: what is wrong with it
    """

    reason: str


def read_change(
    data: bytes, *, kind: str, author: str
) -> ChangeProposal | BodyFault:
    """Decode a change of a document.

    :param kind: kind of the document
    :param author: operator who sent it
    """
    body = _read_object(data)
    if isinstance(body, BodyFault):
        return body
    change_id = str(body.get("change_id", ""))
    if not _is_text(change_id, 1, MAX_ID_CHARS):
        reason = (
            f"change_id: expected 1 to {MAX_ID_CHARS} printable characters"
        )
        return BodyFault(reason=reason)
    base_version: Any = body.get("base_version")
    if not is_number(base_version, 0, MAX_NUMBER):
        return BodyFault(reason="base_version: expected a version number")
    return ChangeProposal(
        change_id=change_id,
        kind=kind,
        base_version=base_version,
        author=author,
        payload=json.dumps(body.get("document")),
    )


def read_announcement(data: bytes) -> Announcement | BodyFault:
    """Decode what a target announces of itself."""
    body = _read_object(data)
    if isinstance(body, BodyFault):
        return body
    try:
        announcement = cattrs.structure(body, Announcement)
    except (cattrs.BaseValidationError, TypeError, ValueError):
        return BodyFault(reason="a field is missing or of another type")
    is_valid = (
        is_well_formed(record_of(announcement))
        and announcement.slots <= MAX_SLOTS
        and is_number(announcement.term, 0, MAX_NUMBER)
        and is_number(announcement.position, 0, MAX_NUMBER)
        and is_number(announcement.sequence, 0, MAX_NUMBER)
        and announcement.role in {"primary", "replica"}
        and _is_text(announcement.identity, 0, MAX_IDENTITY_CHARS)
    )
    if not is_valid:
        return BodyFault(reason="a field has a value that hosts cannot use")
    return announcement


def _read_object(data: bytes) -> dict[str, Any] | BodyFault:
    try:
        value = decode_json(data.decode() or "{}")
    except UnicodeDecodeError as error:
        return BodyFault(reason=str(error))
    if isinstance(value, ValueFault):
        return BodyFault(reason=f"{value.path}: {value.reason}")
    if not isinstance(value, dict):
        return BodyFault(reason="the request body is not a JSON object")
    return value


def _is_text(text: str, least: int, most: int) -> bool:
    return least <= len(text) <= most and text.isprintable()
