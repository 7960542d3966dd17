from __future__ import annotations

import json
from typing import Any

import pytest

from rosemarysaddle.decide import RouteTable, check_plan, team_weight
from rosemarysaddle.schema import RoutePlan, SchemaFault, Team

KEY = "k-secret-1"
OTHER_KEY = "k-secret-2"
_ROUTE = {"group": "g", "freshness": "primary", "timeout_ms": 800}


def _plan(teams: Any = None, **fields: Any) -> str:
    body: dict[str, Any] = {
        "version": 1,
        "groups": [{"name": "g"}],
        "routes": [
            {**_ROUTE, "name": "a", "database": "closed"},
            {**_ROUTE, "name": "b", "database": "open", "public": True},
        ],
        **fields,
    }
    if teams is not None:
        body["teams"] = teams
    return json.dumps(body)


def _team(name: str, *keys: str, **fields: Any) -> dict[str, Any]:
    return {"name": name, "api_keys": list(keys), **fields}


def _requires_key(table: RouteTable) -> list[bool]:
    return [table.requires_key(r) for r in table.databases.values()]


def test_removed_and_moved_keys_name_the_teams_that_lost_them() -> None:
    teams = [_team("x", "k1", "k2"), _team("y", "k3"), _team("z", "k4")]
    older = RouteTable.of(_plan(teams)).teams
    teams = [_team("x", "k1"), _team("y", "k3", "k4"), _team("z")]
    newer = RouteTable.of(_plan(teams)).teams

    assert older is not None
    assert newer is not None
    assert older.teams_with_removed_keys(newer) == {"x", "z"}


def test_plan_without_teams_requires_no_key() -> None:
    table = RouteTable.of(_plan())

    assert _requires_key(table) == [False, False]
    assert table.authenticate(KEY) is None


def test_plan_with_empty_list_of_teams_accepts_no_key() -> None:
    table = RouteTable.of(_plan([]))

    assert _requires_key(table) == [True, False]
    assert table.authenticate(KEY) is None


def test_key_identifies_its_team_only() -> None:
    teams = [_team("x", KEY, "k3"), _team("y", OTHER_KEY), _team("z")]
    table = RouteTable.of(_plan(teams))

    found = [table.authenticate(k) for k in (KEY, "k3", OTHER_KEY, "", "x")]

    assert [t.name if t else None for t in found] == [
        "x",
        "x",
        "y",
        None,
        None,
    ]


def test_table_and_its_teams_show_no_key() -> None:
    table = RouteTable.of(_plan([_team("x", KEY)]))

    assert KEY not in f"{table!r} {table.teams!r} {table.authenticate(KEY)!r}"


@pytest.mark.parametrize(
    ("teams", "path"),
    [
        ([_team("x", KEY), _team("y", "k2", KEY)], "$.teams[1].api_keys[1]"),
        ([_team("x", KEY), _team("x", "k2")], "$.teams[1].name"),
        ([_team("x", "k2"), _team(KEY, KEY)], "$.teams[1].name"),
        ([_team(f"{KEY}\n", "k2")], "$.teams[0].name"),
        ([_team("\ud800", KEY)], "$.teams[0].name"),
        ([_team("x", KEY, rate_per_s=1e999)], "$.teams[0].rate_per_s"),
        ([_team("x", KEY, rate_per_s=KEY)], "$.teams[0].rate_per_s"),
        ([{"name": "x", "api_keys": KEY}], "$.teams[0].api_keys"),
        ([{"name": "x", "api_keys": [[KEY]]}], "$.teams[0].api_keys[0]"),
        ([{"api_keys": [KEY]}], "$.teams[0]"),
        ([f"{KEY} a"], "$.teams[0]"),
        ({"x": KEY}, "$.teams"),
    ],
)
def test_plan_with_faulty_teams_is_refused_without_showing_a_key(
    teams: Any, path: str
) -> None:
    text = _plan(teams).replace("Infinity", "1e999")

    fault = check_plan(text, source="operator")

    assert isinstance(fault, SchemaFault)
    assert fault.path == path
    assert KEY not in str(fault)


def test_checked_plan_shows_no_key() -> None:
    plan = check_plan(_plan([_team("x", KEY)]), source="operator")

    assert isinstance(plan, RoutePlan)
    assert KEY not in repr(plan)


def test_misplaced_teams_are_refused_without_showing_a_key() -> None:
    text = _plan(routes={"teams": [_team("x", KEY)]})

    fault = check_plan(text, source="operator")

    assert isinstance(fault, SchemaFault)
    assert KEY not in str(fault)


def test_one_team_may_list_a_key_twice() -> None:
    plan = check_plan(_plan([_team("x", KEY, KEY)]), source="operator")

    assert isinstance(plan, RoutePlan)


def test_fault_of_a_plan_without_teams_shows_the_value() -> None:
    fault = check_plan(_plan(version="one"), source="operator")

    assert isinstance(fault, SchemaFault)
    assert "'one'" in fault.reason


@pytest.mark.parametrize(
    ("rate_per_s", "weight"), [(None, 1.0), (0, 0.001), (40, 40.0)]
)
def test_weight_of_a_team_is_positive(
    rate_per_s: float | None, weight: float
) -> None:
    team = Team(name="x", api_keys=(), rate_per_s=rate_per_s)

    assert team_weight(team) == weight
