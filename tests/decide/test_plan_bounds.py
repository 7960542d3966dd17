"""Plans that hosts could read in different ways, or not at all."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from rosemarysaddle.decide import (
    ClusterState,
    DocumentKind,
    Send,
    check_plan,
)
from rosemarysaddle.decide.configuration._json_bounds import MAX_DEPTH
from rosemarysaddle.decide.configuration._plan_patch import (
    is_same_json,
    make_patch,
)
from rosemarysaddle.decide.control_log._state import EntryKind
from rosemarysaddle.schema import (
    ChangeProposal,
    ChangeReply,
    LogEntry,
    RoutePlan,
    SchemaFault,
)
from tests.decide.announced_group import PLAN, Harness

if TYPE_CHECKING:
    from collections.abc import Callable

# Levels of a plan around the value of one of its own fields.
OUTER_LEVELS = 1
# Frames of a caller that leave little of the default limit.
DEEP_STACK = 600
# What tells of a list that is far too long for any reader.
ABSURD_DEPTHS = (968, 980, 3_000, 90_000)

SCALARS = (
    st.none()
    | st.booleans()
    | st.integers()
    | st.integers(min_value=10**300, max_value=10**320)
    | st.floats(allow_nan=False, allow_infinity=False)
    | st.text(st.characters(exclude_categories=["Cs"]), max_size=8)
)
VALUES = st.recursive(
    SCALARS,
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.text(max_size=3), inner, max_size=3)
    ),
    max_leaves=6,
)


def _plan(note: str, *, version: int = 5) -> str:
    """Return a plan with a field that no schema names, as JSON text."""
    plan = {**json.loads(PLAN), "version": version}
    return f'{json.dumps(plan)[:-1]}, "note": {note}}}'


def _nested(depth: int) -> str:
    return "[" * depth + "]" * depth


def _deep_in_stack(call: Callable[[], Any], frames: int = DEEP_STACK) -> Any:
    return _deep_in_stack(call, frames - 1) if frames else call()


def _applied(state: ClusterState, index: int, kind: str, text: str) -> None:
    change = {
        "change_id": str(index),
        "kind": kind,
        "base_version": index,
        "author": "op",
        "payload": text,
    }
    entry = LogEntry(
        index=index, term=1, kind=EntryKind.CHANGE, payload=json.dumps(change)
    )
    state.apply(entry)


@pytest.mark.parametrize(
    ("depth", "is_accepted"),
    [
        (16, True),
        (MAX_DEPTH - OUTER_LEVELS, True),
        (MAX_DEPTH - OUTER_LEVELS + 1, False),
        *((depth, False) for depth in ABSURD_DEPTHS),
    ],
)
def test_verdict_on_a_nested_plan_does_not_depend_on_the_stack(
    depth: int, *, is_accepted: bool
) -> None:
    """Guards against a plan that some hosts apply and others skip."""
    text = _plan(_nested(depth))

    verdicts = [
        check_plan(text, source="op"),
        _deep_in_stack(lambda: check_plan(text, source="op")),
    ]

    assert [isinstance(v, RoutePlan) for v in verdicts] == [is_accepted] * 2


@pytest.mark.parametrize(
    ("note", "path"),
    [
        ("1e999", "$.note"),
        ('{"a": [0, -1e999]}', "$.note.a[1]"),
        ("9" * 310, "$.note"),
        ("9" * 4_300, "$.note"),
        ("9" * 4_301, "$.note"),
        ("NaN", "$"),
    ],
)
def test_number_without_a_finite_value_is_refused(
    note: str, path: str
) -> None:
    """Guards against a plan that is told back as something else."""
    fault = check_plan(_plan(note), source="op")

    assert isinstance(fault, SchemaFault)
    assert fault.path == path


@given(before=VALUES, after=VALUES)
def test_accepted_plan_is_told_as_it_was_sent(before: Any, after: Any) -> None:
    """Guards against readers that differ, and against lost patches."""
    texts = [
        _plan(json.dumps(note), version=version)
        for version, note in ((5, before), (6, after))
    ]
    if any(
        isinstance(check_plan(text, source="op"), SchemaFault)
        for text in texts
    ):
        return
    whole, patched = ClusterState(), ClusterState()
    _applied(whole, 5, DocumentKind.ROUTES, texts[0])
    _applied(patched, 5, DocumentKind.ROUTES, texts[0])

    patch = make_patch(*texts)
    _applied(whole, 6, DocumentKind.ROUTES, texts[1])
    if patch is None:
        _applied(patched, 6, DocumentKind.ROUTES, texts[1])
    else:
        _deep_in_stack(
            lambda: _applied(patched, 6, DocumentKind.ROUTES_PATCH, patch)
        )

    for state in (whole, patched):
        told = json.loads(state.routes.source)
        assert is_same_json(told["note"], after)
        assert told["version"] == 6


def test_leader_refuses_a_plan_that_hosts_could_not_read() -> None:
    """Guards against one that a host of an earlier build passes on."""
    harness = Harness.open()
    before = harness.leader.state.routes.source
    change = ChangeProposal(
        change_id="deep",
        kind=DocumentKind.ROUTES,
        base_version=9,
        author="op",
        payload=_plan(_nested(980), version=9),
    )

    effects = harness.leader.receive("b", change, harness.now_ns)

    sent = [e.message for e in effects if isinstance(e, Send)]
    replies = [m for m in sent if isinstance(m, ChangeReply)]
    assert [reply.accepted for reply in replies] == [False]
    assert replies[0].path
    assert harness.leader.state.routes.source == before
