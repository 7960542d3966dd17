"""Difference between two texts of a plan of routes.

A change of some routes costs what it names, in the log and on the way
to every host, however long the plan is.
"""

from __future__ import annotations

import json
from typing import Any, Final

__all__ = ("apply_patch", "make_patch")

_ROUTES: Final = "routes"


def make_patch(old: str, new: str) -> str | None:
    """Find the patch that leads from one plan to another.

    :return: the patch, or None where the whole plan is shorter or the
        patch would not lead to the same content
    """
    if not old:
        return None
    before, after = json.loads(old), json.loads(new)
    known = _by_name(before[_ROUTES])
    wanted = _by_name(after[_ROUTES])
    if known is None or wanted is None:
        return None
    rest = {k: v for k, v in after.items() if before.get(k) != v}
    rest.pop(_ROUTES, None)
    patch = {
        "remove": [name for name in known if name not in wanted],
        "put": [r for n, r in wanted.items() if known.get(n) != r],
        "rest": rest,
    }
    text = json.dumps(patch, separators=(",", ":"))
    if len(text) >= len(new) or set(before) - set(after):
        return None
    return text if json.loads(apply_patch(old, text)) == after else None


def apply_patch(old: str, patch: str) -> str:
    """Apply a patch.

    :return: text of the new plan
    """
    plan, steps = json.loads(old), json.loads(patch)
    routes = _by_name(plan[_ROUTES]) or {}
    for name in steps["remove"]:
        routes.pop(name, None)
    for route in steps["put"]:
        routes[route["name"]] = route
    plan.update(steps["rest"])
    plan[_ROUTES] = list(routes.values())
    return json.dumps(plan, separators=(",", ":"))


def _by_name(routes: list[dict[str, Any]]) -> dict[str, Any] | None:
    found = {route["name"]: route for route in routes}
    return found if len(found) == len(routes) else None
