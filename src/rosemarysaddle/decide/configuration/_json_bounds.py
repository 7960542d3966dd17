"""Bounds for JSON that callers send and that every host reads again.

A text that is accepted is read by hosts of several builds, at different
depths of their stacks, and told as it was sent.  What is accepted
therefore depends on the text alone.
"""

from __future__ import annotations

import json
import math
from typing import TYPE_CHECKING, Any, Final, NoReturn

import attrs

if TYPE_CHECKING:
    from collections.abc import Iterator

__all__ = ("MAX_DEPTH", "ValueFault", "decode_json")

# Readers add a few levels of their own, and each of them has room for
# hundreds in any thread.
MAX_DEPTH: Final = 64
# Shorter integers have a finite value as a 64-bit float.
MIN_INFINITE_DIGITS: Final = 309
_TOO_DEEP: Final = f"nested more than {MAX_DEPTH} deep"


@attrs.frozen(kw_only=True)
class ValueFault:
    """Returned for a text that is not JSON or exceeds a bound.

    :param path: JSON path of the value
    :param reason: what is wrong with it
    """

    path: str
    reason: str


def decode_json(text: str) -> Any | ValueFault:
    """Decode JSON within the bounds.

    Objects and lists may be nested :data:`MAX_DEPTH` deep.  A number
    needs a finite value as a 64-bit floating-point number.

    :return: the value, or the first fault
    """
    numbers = _NumberReader()
    try:
        value = json.loads(
            text,
            parse_constant=_refuse_constant,
            parse_int=numbers.read_int,
            parse_float=numbers.read_float,
        )
    except RecursionError:
        # Only a text that is far deeper gets here.
        return ValueFault(path="$", reason=_TOO_DEEP)
    except ValueError as error:
        return ValueFault(path="$", reason=str(error))
    if _is_deep(value):
        return ValueFault(path=_find_deep_path(value), reason=_TOO_DEEP)
    fault = _find_infinite(value, "$") if numbers.has_infinite else None
    return fault or value


def _refuse_constant(name: str) -> NoReturn:
    message = f"{name} is not a JSON number"
    raise ValueError(message)


@attrs.define(kw_only=True)
class _NumberReader:
    """Reads numbers; one without a finite value becomes an infinite."""

    has_infinite: bool = False

    def read_int(self, digits: str) -> int | float:
        # The interpreter has a limit of its own, which can be set.
        if len(digits) >= MIN_INFINITE_DIGITS and math.isinf(float(digits)):
            return self.read_float(digits)
        return int(digits)

    def read_float(self, digits: str) -> float:
        value = float(digits)
        self.has_infinite = self.has_infinite or math.isinf(value)
        return value


def _is_deep(value: Any) -> bool:
    """Tell whether an object or list is nested too deep."""
    level = [value]
    for _ in range(MAX_DEPTH):
        level = [
            child
            for item in level
            if isinstance(item, dict | list)
            for child in (item.values() if isinstance(item, dict) else item)
            if type(child) is dict or type(child) is list
        ]
        if not level:
            return False
    return True


def _find_deep_path(value: Any) -> str:
    """Return the path of the first value that is nested too deep."""
    waiting: list[tuple[Any, str, int]] = [(value, "$", 1)]
    while waiting:
        item, path, depth = waiting.pop()
        if depth > MAX_DEPTH:
            return path
        waiting.extend(
            (child, f"{path}{step}", depth + 1)
            for step, child in _children(item)
            if isinstance(child, dict | list)
        )
    return "$"


def _find_infinite(value: Any, path: str) -> ValueFault | None:
    """Find a number that has no finite value."""
    if isinstance(value, dict | list):
        faults = (_find_infinite(c, f"{path}{s}") for s, c in _children(value))
        return next((fault for fault in faults if fault is not None), None)
    if isinstance(value, float) and math.isinf(value):
        reason = "number without a finite value"
        return ValueFault(path=path, reason=reason)
    return None


def _children(value: Any) -> Iterator[tuple[str, Any]]:
    if isinstance(value, dict):
        return ((f".{name}", child) for name, child in value.items())
    return ((f"[{n}]", child) for n, child in enumerate(value))
