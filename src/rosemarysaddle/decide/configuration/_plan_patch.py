"""Patches between two texts of a route plan.

With a patch, a change of some routes or teams costs space in the log
and traffic to every host for these only, however long the plan is.
"""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any, Final

if TYPE_CHECKING:
    from collections.abc import Iterable

__all__ = ("apply_patch", "apply_patches", "is_same_json", "make_patch")

_ROUTES: Final = "routes"
# Also the field of a patch with its steps for the teams.  Patches of
# earlier versions lack it and hold changed teams in ``rest``.
_TEAMS: Final = "teams"


def make_patch(old: str, new: str, *, decoded: Any = None) -> str | None:
    """Make the patch that turns one plan into another.

    :param old: text of the old plan; empty if there is none
    :param new: text of the new plan
    :param decoded: decoded text of the new plan, if at hand
    :return: text of the patch, or None if the whole plan is shorter or
        a patch would not reproduce the content of the new plan
    """
    if not old:
        return None
    before = json.loads(old)
    after = json.loads(new) if decoded is None else decoded
    routes = _make_steps(before[_ROUTES], after[_ROUTES])
    if routes is None:
        return None
    rest = {k: v for k, v in after.items() if not _has(before, k, v)}
    rest.pop(_ROUTES, None)
    patch = {**routes, "base": before.get("version"), "rest": rest}
    if _TEAMS in rest and _TEAMS in before:
        teams = _make_steps(before[_TEAMS], after[_TEAMS])
        if teams is not None:
            patch[_TEAMS] = teams
            del rest[_TEAMS]
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
    return apply_patches(old, [patch])


def apply_patches(old: str, patches: Iterable[str]) -> str:
    """Apply several patches, each to the result of the one before."""
    plan = json.loads(old)
    for patch in patches:
        steps = json.loads(patch)
        plan.update(steps["rest"])
        plan[_ROUTES] = _apply_steps(plan[_ROUTES], steps)
        if _TEAMS in steps:
            plan[_TEAMS] = _apply_steps(plan[_TEAMS], steps[_TEAMS])
    return json.dumps(plan, separators=(",", ":"))


def _make_steps(
    before: list[dict[str, Any]], after: list[dict[str, Any]]
) -> dict[str, Any] | None:
    """Make the steps that turn one list of named items into another.

    :return: the steps, or None if they would not reproduce the list:
        its order differs, or a name occurs twice
    """
    known, wanted = _index_by_name(before), _index_by_name(after)
    if known is None or wanted is None:
        return None
    steps = {
        "remove": [name for name in known if name not in wanted],
        "put": [i for name, i in wanted.items() if not _has(known, name, i)],
    }
    return steps if _apply_steps(before, steps) == after else None


def _has(items: dict[str, Any], name: str, value: Any) -> bool:
    return name in items and is_same_json(items[name], value)


def _apply_steps(
    items: list[dict[str, Any]], steps: dict[str, Any]
) -> list[dict[str, Any]]:
    by_name = _index_by_name(items) or {}
    for name in steps["remove"]:
        by_name.pop(name, None)
    for item in steps["put"]:
        by_name[item["name"]] = item
    return list(by_name.values())


def _index_by_name(items: list[dict[str, Any]]) -> dict[str, Any] | None:
    found = {item["name"]: item for item in items}
    return found if len(found) == len(items) else None


def is_same_json(first: Any, second: Any) -> bool:
    """Tell whether two decoded values are the same JSON.

    Unlike an equality of Python, ``1``, ``1.0`` and ``true`` differ.
    The order of the fields of an object does not matter.
    """
    if type(first) is not type(second):
        return False
    # Faster than the comparison below, and seldom not enough.
    if repr(first) == repr(second):
        return True
    if isinstance(first, dict):
        return first.keys() == second.keys() and all(
            is_same_json(value, second[name]) for name, value in first.items()
        )
    if isinstance(first, list):
        return len(first) == len(second) and all(
            map(is_same_json, first, second)
        )
    # Those whose text differs: also zeros of different sign.
    return False
