"""Formats of values that come from outside.

What passes can be sent, stored, logged and connected to.
"""

from __future__ import annotations

import re
from typing import Final

__all__ = (
    "MAX_NUMBER",
    "MAX_SLOTS",
    "is_address",
    "is_name",
    "is_number",
    "parse_number",
)

MAX_NAME_BYTES: Final = 255
MAX_PORT: Final = 65_535
# Largest integer that every field of a message and of a document holds.
MAX_NUMBER: Final = (1 << 63) - 1
# Most statements that a target may claim to run at once.
MAX_SLOTS: Final = 65_535
_ADDRESS: Final = re.compile(
    r"(?:(?:0|[1-9]\d{0,2})\.){3}(?:0|[1-9]\d{0,2}):[1-9]\d{0,4}", re.ASCII
)
_DIGITS: Final = re.compile(r"\d{1,19}", re.ASCII)


def is_name(value: object) -> bool:
    """Tell whether a value can be the name of a target or a group.

    A name is one field of a line: it has no blanks, no control
    characters and no lone surrogates.
    """
    if not isinstance(value, str) or not value or " " in value:
        return False
    return value.isprintable() and len(value.encode()) <= MAX_NAME_BYTES


def is_address(value: object) -> bool:
    """Tell whether a value is an IPv4 address and port, ``ip:port``."""
    if not isinstance(value, str) or _ADDRESS.fullmatch(value) is None:
        return False
    ip, _, port = value.partition(":")
    is_ip = all(int(part) <= 255 for part in ip.split("."))  # noqa: PLR2004
    return is_ip and int(port) <= MAX_PORT


def is_number(value: object, least: int, most: int) -> bool:
    """Tell whether a value is an integer from ``least`` to ``most``."""
    return type(value) is int and least <= value <= most


def parse_number(text: str) -> int | None:
    """Parse a decimal number that a message can hold.

    :return: the number, or None if the text is anything else
    """
    if _DIGITS.fullmatch(text) is None:
        return None
    number = int(text)
    return number if number <= MAX_NUMBER else None
