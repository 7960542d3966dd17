from __future__ import annotations

import json

import pytest
from hypothesis import given
from hypothesis import strategies as st

from rosemarysaddle.decide._plan_patch import apply_patch, make_patch

ROUTES = st.dictionaries(
    st.sampled_from("abcdefgh"), st.integers(0, 3), max_size=8
)


def _plan(version: int, routes: dict[str, int]) -> str:
    rows = [{"name": n, "timeout_ms": t} for n, t in routes.items()]
    groups = [{"name": "g" * 40}]
    return json.dumps({"version": version, "routes": rows, "groups": groups})


@given(ROUTES, ROUTES)
def test_patch_reproduces_content_of_new_plan(
    before: dict[str, int], after: dict[str, int]
) -> None:
    old, new = _plan(1, before), _plan(2, after)

    patch = make_patch(old, new)

    if patch is not None:
        assert json.loads(apply_patch(old, patch)) == json.loads(new)


def test_patch_contains_only_changed_routes() -> None:
    before = {str(n): 1 for n in range(500)}
    patch = make_patch(_plan(1, before), _plan(2, {**before, "7": 2}))

    assert patch is not None
    assert len(patch) < 120


@pytest.mark.parametrize(
    ("old", "new"),
    [
        ("", _plan(1, {"a": 1})),
        (_plan(1, {"a": 1}), _plan(2, {})),
        (_plan(1, {"a": 1, "b": 2}), _plan(2, {"b": 2, "a": 1})),
        (
            '{"version": 1, "routes": [], "limits": {}}',
            '{"version": 2, "routes": []}',
        ),
    ],
    ids=["first", "shorter-whole", "other-order", "field-dropped"],
)
def test_make_patch_returns_none_or_patch_that_reproduces_plan(
    old: str, new: str
) -> None:
    patch = make_patch(old, new)

    assert patch is None or json.loads(apply_patch(old, patch)) == json.loads(
        new
    )
