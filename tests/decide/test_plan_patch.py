from __future__ import annotations

import json

import pytest
from hypothesis import given
from hypothesis import strategies as st

from rosemarysaddle.decide.configuration._plan_patch import (
    apply_patch,
    make_patch,
)

ROUTES = st.dictionaries(
    st.sampled_from("abcdefgh"), st.integers(0, 3), max_size=8
)


MANY = {str(n): 1 for n in range(500)}


def _plan(version: int, routes: dict[str, int]) -> str:
    rows = [{"name": n, "timeout_ms": t} for n, t in routes.items()]
    groups = [{"name": "g" * 40}]
    return json.dumps({"version": version, "routes": rows, "groups": groups})


def _drop_field(plan: str, name: str) -> str:
    body = json.loads(plan)
    del body[name]
    return json.dumps(body)


def _double_route(plan: str) -> str:
    body = json.loads(plan)
    body["routes"].append(body["routes"][0])
    return json.dumps(body)


@given(ROUTES, ROUTES)
def test_patch_reproduces_content_of_new_plan(
    before: dict[str, int], after: dict[str, int]
) -> None:
    old, new = _plan(1, before), _plan(2, after)

    patch = make_patch(old, new)

    if patch is not None:
        assert json.loads(apply_patch(old, patch)) == json.loads(new)


@given(ROUTES)
def test_patch_of_a_long_plan_reproduces_its_content(
    changed: dict[str, int],
) -> None:
    old = _plan(1, MANY)
    new = _plan(2, {**MANY, "7": 9, **changed})

    patch = make_patch(old, new)

    assert patch is not None
    assert json.loads(apply_patch(old, patch)) == json.loads(new)


def test_patch_contains_only_changed_routes() -> None:
    patch = make_patch(_plan(1, MANY), _plan(2, {**MANY, "7": 2}))

    assert patch is not None
    assert len(patch) < 120


def _teams_plan(version: int, teams: dict[str, int] | None) -> str:
    body = json.loads(_plan(version, MANY))
    if teams is not None:
        body["teams"] = [
            {"name": n, "api_keys": [f"key-of-{n}"], "rate_per_s": r}
            for n, r in teams.items()
        ]
    return json.dumps(body)


@given(st.none() | ROUTES, ROUTES)
def test_patch_reproduces_teams(
    before: dict[str, int] | None, after: dict[str, int]
) -> None:
    old, new = _teams_plan(1, before), _teams_plan(2, after)

    patch = make_patch(old, new)

    assert patch is not None
    assert json.loads(apply_patch(old, patch)) == json.loads(new)


def test_patch_contains_only_changed_teams() -> None:
    """Guards against 10,000 teams in each patch that changes one."""
    teams = {f"t{n}": 1 for n in range(10_000)}
    after = {**teams, "t7": 2, "new": 1}
    del after["t8"]

    patch = make_patch(_teams_plan(1, teams), _teams_plan(2, after))

    assert patch is not None
    assert len(patch) < 250


def test_patch_of_an_earlier_version_with_teams_in_rest_is_applied() -> None:
    old, new = _teams_plan(1, {"a": 1}), _teams_plan(2, {"b": 1})
    rest = {"version": 2, "teams": json.loads(new)["teams"]}
    patch = json.dumps({"remove": [], "put": [], "rest": rest})

    assert json.loads(apply_patch(old, patch)) == json.loads(new)


@pytest.mark.parametrize(
    ("old", "new"),
    [
        ("", _plan(1, MANY)),
        (_plan(1, MANY), _plan(2, {})),
        (_plan(1, MANY), _plan(2, dict(reversed(MANY.items())))),
        (_plan(1, MANY), _drop_field(_plan(2, MANY), "groups")),
        (_plan(1, MANY), _double_route(_plan(2, MANY))),
        (_double_route(_plan(1, MANY)), _plan(2, MANY)),
    ],
    ids=[
        "first",
        "shorter-whole",
        "other-order",
        "field-dropped",
        "name-twice",
        "name-twice-before",
    ],
)
def test_make_patch_returns_none_where_whole_plan_is_needed(
    old: str, new: str
) -> None:
    assert make_patch(old, new) is None


@pytest.mark.parametrize(
    ("before", "after"),
    [("1", "true"), ("1", "1.0"), ("0", "false"), ("0.0", "-0.0")],
)
def test_patch_tells_values_apart_that_compare_equal(
    before: str, after: str
) -> None:
    """Guards against a changed note that is lost in the patch."""
    plans = [_plan(version, {"a": 1}) for version in (1, 2)]
    old, new = (
        f'{plan[:-1]}, "note": {note}}}'
        for plan, note in zip(plans, (before, after), strict=True)
    )

    patch = make_patch(old, new)

    assert patch is not None
    assert json.dumps(json.loads(patch)["rest"]["note"]) == after
