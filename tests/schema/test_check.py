from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from rosemarysaddle.schema import (
    Rules,
    SchemaFault,
    load_document,
    load_file,
)

if TYPE_CHECKING:
    from pathlib import Path


def test_load_document_accepts_comments() -> None:
    text = '{"classes": [{"name": "booking"}] // no staleness\n}'

    rules = load_document(Rules, text, source="test")

    assert isinstance(rules, Rules)
    assert rules.classes[0].stale_ms == 0


@pytest.mark.parametrize(
    ("text", "path"),
    [
        pytest.param("{", "$", id="no-json"),
        pytest.param("{}", "$", id="missing-key"),
        pytest.param('{"classes": 3}', "$.classes", id="wrong-type"),
        pytest.param(
            '{"classes": [{"name": "A B"}]}', "$.classes[0].name", id="name"
        ),
        pytest.param("[" * 100, "$", id="too-deep"),
    ],
)
def test_load_document_reports_path_of_fault(text: str, path: str) -> None:
    fault = load_document(Rules, text, source="test")

    assert isinstance(fault, SchemaFault)
    assert fault.path == path
    assert fault.reason


def test_load_file_reports_missing_file(tmp_path: Path) -> None:
    fault = load_file(Rules, str(tmp_path / "absent.json"))

    assert isinstance(fault, SchemaFault)
    assert "absent.json" in fault.source
