"""Decoding of what targets say of themselves.

Other writers use the same calls.  An entry with a missing or odd field
names no target; what is decoded holds only values that can be sent,
stored and connected to.
"""

from __future__ import annotations

import json
from typing import Any, Final

from rosemarysaddle._formats import (
    MAX_NUMBER,
    MAX_SLOTS,
    is_address,
    is_name,
    is_number,
)
from rosemarysaddle.schema import Announcement

__all__ = ("read_announcement", "read_incarnation_ms", "read_json_object")

_ROLES: Final = ("primary", "replica")
_STATES: Final = ("ready", "draining")
MAX_VERSION_CHARS: Final = 255
# The times of day of two hosts may differ, or jump, by seconds.
MAX_CLOCK_LEAD_MS: Final = 60_000


def read_json_object(body: bytes) -> dict[str, Any] | None:
    """Decode a JSON object; return None if the body is none."""
    try:
        value = json.loads(body)
    except (ValueError, RecursionError):
        return None
    return value if isinstance(value, dict) else None


def read_announcement(
    target: str, body: bytes, *, now_ms: int
) -> Announcement | None:
    """Decode a heartbeat.

    :param target: name of the target in the path of the call
    :param now_ms: time of day, in milliseconds
    :return: the announcement, or None if a field is missing or invalid
    """
    value = read_json_object(body)
    if value is None:
        return None
    incarnation_ms = read_incarnation_ms(value, now_ms=now_ms)
    slots, seq = value.get("slots"), value.get("seq")
    group, data_center = value.get("group"), value.get("data_center")
    is_valid = (
        incarnation_ms is not None
        and is_name(target)
        and is_name(group)
        and is_name(data_center)
        and is_address(value.get("address"))
        and is_number(slots, 1, MAX_SLOTS)
        and is_number(seq, 0, MAX_NUMBER)
        and is_number(value.get("coldRemainingMs"), 0, MAX_NUMBER)
        and _is_version(value.get("version"))
        and _is_one_of(value.get("state"), _STATES)
        and _is_one_of(value.get("replication_role"), _ROLES)
    )
    if not is_valid:
        return None
    return Announcement(
        target=target,
        group=value["group"],
        data_center=value["data_center"],
        address=value["address"],
        role=value["replication_role"],
        term=0,
        position=0,
        leaving=value["state"] == "draining",
        identity="",
        slots=value["slots"],
        incarnation_ms=value["born"],
        sequence=value["seq"],
    )


def read_incarnation_ms(value: dict[str, Any], *, now_ms: int) -> int | None:
    """Decode the time of day at which a target has started.

    :param now_ms: time of day, in milliseconds
    :return: the time in milliseconds, or None if it is missing, no
        number or in the future
    """
    found = value.get("born")
    latest_ms = now_ms + MAX_CLOCK_LEAD_MS
    if not is_number(found, 0, latest_ms):
        return None
    return int(value["born"])


def _is_version(value: object) -> bool:
    return isinstance(value, str) and len(value) <= MAX_VERSION_CHARS


def _is_one_of(value: object, words: tuple[str, ...]) -> bool:
    return isinstance(value, str) and value in words
