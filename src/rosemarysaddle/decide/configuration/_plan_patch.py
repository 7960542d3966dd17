"""Patches between two texts of a route plan.

With a patch, a change of some routes costs space in the log and traffic
to every host for these routes only, however long the plan is.
"""

from __future__ import annotations

import json
from typing import Any, Final

__all__ = ("apply_patch", "make_patch")

_ROUTES: Final = "routes"


def make_patch(old: str, new: str) -> str | None:
    """Make the patch that turns one plan into another.

    :param old: text of the old plan; empty if there is none
    :param new: text of the new plan
    :return: text of the patch, or None if the whole plan is shorter or
        a patch would not reproduce the content of the new plan
    """
    if not old:
        return None
    before, after = json.loads(old), json.loads(new)
    known = _index_by_name(before[_ROUTES])
    wanted = _index_by_name(after[_ROUTES])
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
    """Apply a patch that :func:`make_patch` returned.

    :param old: text of the old plan
    :param patch: text of the patch
    :return: text of the new plan
    """
    plan, steps = json.loads(old), json.loads(patch)
    routes = _index_by_name(plan[_ROUTES]) or {}
    for name in steps["remove"]:
        routes.pop(name, None)
    for route in steps["put"]:
        routes[route["name"]] = route
    plan.update(steps["rest"])
    plan[_ROUTES] = list(routes.values())
    return json.dumps(plan, separators=(",", ":"))


def _index_by_name(routes: list[dict[str, Any]]) -> dict[str, Any] | None:
    found = {route["name"]: route for route in routes}
    return found if len(found) == len(routes) else None
