from __future__ import annotations

import copy
import json
from typing import Any

import attrs
import cattrs
import pytest
from hypothesis import given
from hypothesis import strategies as st

from rosemarysaddle.schema import (
    Inventory,
    LeaseGrant,
    LogEntry,
    Node,
    RoutePlan,
    SchemaFault,
    SessionLimits,
    Team,
    load_document,
    parse_document,
)
from rosemarysaddle.schema._full_check import find_fault
from rosemarysaddle.schema._readers import READERS, UncheckedError

NODE: dict[str, Any] = {
    "host": "h",
    "role": "entry",
    "data_center": "dc",
    "region": "r",
    "ip": "10.0.0.1",
    "peers_port": 7_440,
    "seeds": ["10.0.0.2:8782"],
    "places": [{"data_center": "dc", "region": "r"}],
    "limit_slack": 20,
}
PLAN: dict[str, Any] = {
    "version": 3,
    "comment": "kept out",
    "routes": [
        {
            "name": "n",
            "database": "d",
            "freshness": "primary",
            "timeout_ms": 800,
            "group": "g",
        }
    ],
    "groups": [{"name": "g", "sync_replicas": 1}],
    "limits": {"transaction_idle_ms": 5},
    "teams": [{"name": "t", "api_keys": ["k"], "rate_per_s": 5}],
}
INVENTORY: dict[str, Any] = {
    "groups": [
        {
            "name": "g",
            "instances": [
                {"name": "i", "data_center": "dc", "address": "10.0.0.1:1"}
            ],
        }
    ],
    "tenants": [{"name": "t", "credential_sha256": "0" * 64, "groups": ["g"]}],
}
VALID = [(Node, NODE), (RoutePlan, PLAN), (Inventory, INVENTORY)]
VALUES: st.SearchStrategy[Any] = st.sampled_from(
    [None, True, 0, 1, -1, 1.0, 1.5, 70_000, "", "x", "X Y", [], [1], {}]
)


def _places(value: Any) -> list[tuple[Any, Any]]:
    """List each container of a document with each of its keys."""
    keys = value.keys() if isinstance(value, dict) else range(len(value))
    found = [(value, key) for key in keys]
    for key in keys:
        if isinstance(value[key], dict | list):
            found.extend(_places(value[key]))
    return found


@pytest.mark.parametrize(("document_class", "value"), VALID)
def test_reader_builds_what_cattrs_builds(
    document_class: type, value: Any
) -> None:
    document = READERS[document_class](value)

    assert document == cattrs.structure(value, document_class)


@given(data=st.data())
def test_reader_accepts_only_what_the_schema_accepts(
    data: st.DataObject,
) -> None:
    """Guards against settings or plans that bypass their schema."""
    document_class, valid = data.draw(st.sampled_from(VALID))
    value = copy.deepcopy(valid)
    container, key = data.draw(st.sampled_from(_places(value)))
    if data.draw(st.booleans()):
        container[key] = data.draw(VALUES)
    elif isinstance(container, dict) and data.draw(st.booleans()):
        container["surplus"] = data.draw(VALUES)
    else:
        del container[key]
    fault = find_fault(document_class, value, source="test")
    try:
        document = READERS[document_class](value)
    except UncheckedError:
        assert parse_document(document_class, value, source="test") == (
            fault or cattrs.structure(value, document_class)
        )
    else:
        assert fault is None
        assert document == cattrs.structure(value, document_class)


def test_load_document_reads_json5_that_is_not_json() -> None:
    text = json.dumps(NODE).replace('"h"', "'h' /* name */")

    node = load_document(Node, text, source="test")

    assert isinstance(node, Node)
    assert node.host == "h"


def test_load_document_keeps_slashes_within_text() -> None:
    text = "  // one\n" + json.dumps({**NODE, "host": "a // b"})

    node = load_document(Node, text, source="test")

    assert not isinstance(node, SchemaFault)
    assert node.host == "a // b"


def test_generated_class_is_immutable_and_compared_by_value() -> None:
    entry = LogEntry(index=1, term=2, kind="noop", payload="")

    assert entry == LogEntry(index=1, term=2, kind="noop", payload="")
    assert entry != LogEntry(index=2, term=2, kind="noop", payload="")
    assert len({entry, copy.deepcopy(entry)}) == 1
    assert repr(entry) == "LogEntry(index=1, term=2, kind='noop', payload='')"
    with pytest.raises(attrs.exceptions.FrozenInstanceError):
        entry.term = 3  # type: ignore[misc]


def test_generated_class_supports_the_functions_of_attrs() -> None:
    limits = SessionLimits(transaction_idle_ms=5)

    assert attrs.evolve(limits, transaction_idle_ms=6) == SessionLimits(
        transaction_idle_ms=6
    )
    assert attrs.asdict(limits) == {"transaction_idle_ms": 5}
    assert attrs.fields(SessionLimits).transaction_idle_ms.default == 0
    assert attrs.has(LeaseGrant)


def test_text_of_a_generated_class_leaves_secrets_out() -> None:
    """Guards against keys in log lines."""
    team = Team(name="t", api_keys=("secret-key",))

    assert "secret-key" not in repr(team)
    assert "name='t'" in repr(team)
