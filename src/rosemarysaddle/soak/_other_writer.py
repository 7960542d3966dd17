"""Entries of another writer among the heartbeats of the targets."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any, Final

if TYPE_CHECKING:
    import random

__all__ = ("make_entries",)

_ODD_VALUES: Final[tuple[Any, ...]] = (
    None,
    [],
    {},
    -1,
    1 << 70,
    "",
    "a b",
    "\ud800",
    "x" * 10_000,
)
_ODD_ADDRESS: Final = "127.0.0.1:80800"
# Any text is a version.
_FIELDS_NOT_CHANGED: Final = {"version"}
NESTING: Final = 50_000
ENTRIES: Final = 12


def make_entries(
    heartbeat: dict[str, Any], rng: random.Random
) -> list[tuple[str, str]]:
    """Make entries that name no target.

    :param heartbeat: complete heartbeat of a target
    :return: name in the path and body of each entry
    """
    entries = [("other", "[" * NESTING), ("other", '{"seq":' + "9" * 5_000)]
    for number in range(ENTRIES):
        field = rng.choice(sorted(set(heartbeat) - _FIELDS_NOT_CHANGED))
        body = {**heartbeat, "born": heartbeat["born"] + 1_000}
        if rng.random() < 1 / 4:
            del body[field]
        else:
            odd_values = (*_ODD_VALUES, _ODD_ADDRESS)
            is_address = field == "address"
            body[field] = rng.choice(odd_values if is_address else _ODD_VALUES)
        # Some claim to be the target itself.
        name = rng.choice(("", f"other{number}"))
        entries.append((name, json.dumps(body)))
    return entries
