from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import jsonschema
import pytest

from rosemarysaddle.decide import Outcome, Reason, Refusal, Step
from rosemarysaddle.serve._answers import (
    PROBLEM_PREFIX,
    Answer,
    ServedBy,
    http_status_of,
    render_answer,
    render_problem,
)
from rosemarysaddle.serve._requests import _REQUEST_SCHEMA
from rosemarysaddle.serve._wsgi import _PATHS

OPENAPI_FILE = Path(__file__).parents[2] / "docs" / "openapi.json"
OPENAPI_DOCUMENT: dict[str, Any] = json.loads(OPENAPI_FILE.read_text())
SCHEMAS: dict[str, Any] = OPENAPI_DOCUMENT["components"]["schemas"]


def test_openapi_lists_served_paths() -> None:
    assert set(OPENAPI_DOCUMENT["paths"]) == _PATHS


def test_openapi_request_equals_validated_schema() -> None:
    assert SCHEMAS["Request"] == _REQUEST_SCHEMA


def test_openapi_lists_every_problem_type() -> None:
    types = {PROBLEM_PREFIX + reason for reason in Reason}

    assert set(SCHEMAS["Problem"]["properties"]["type"]["enum"]) == types


@pytest.mark.parametrize("reason", list(Reason))
def test_openapi_describes_each_refusal(reason: Reason) -> None:
    refusal = Refusal(
        reason=reason,
        step=Step.ROUTE,
        peer="db-1",
        outcome=Outcome.UNKNOWN,
        retry_after_ms=500,
    )

    jsonschema.validate(
        json.loads(render_problem(refusal)), SCHEMAS["Problem"]
    )
    statuses = OPENAPI_DOCUMENT["paths"]["/v1/statements"]["post"]["responses"]
    assert str(http_status_of(refusal)) in statuses


def test_openapi_describes_answer() -> None:
    served_by = ServedBy(
        host="h1", target="db-1a", role="primary", term=1, position=2
    )
    answer = Answer(results=(), token="t", served_by=served_by)

    jsonschema.validate(json.loads(render_answer(answer)), SCHEMAS["Answer"])
