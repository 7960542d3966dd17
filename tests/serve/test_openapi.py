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
    problem,
    render,
    status_of,
)
from rosemarysaddle.serve._requests import _REQUEST
from rosemarysaddle.serve._wsgi import _PATHS

FILE = Path(__file__).parents[2] / "docs" / "openapi.json"
DOCUMENT: dict[str, Any] = json.loads(FILE.read_text())
SCHEMAS: dict[str, Any] = DOCUMENT["components"]["schemas"]


def test_openapi_lists_the_paths_served() -> None:
    assert set(DOCUMENT["paths"]) == _PATHS


def test_openapi_request_is_the_schema_checked() -> None:
    assert SCHEMAS["Request"] == _REQUEST


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

    jsonschema.validate(json.loads(problem(refusal)), SCHEMAS["Problem"])
    statuses = DOCUMENT["paths"]["/v1/statements"]["post"]["responses"]
    assert str(status_of(refusal)) in statuses


def test_openapi_describes_the_answer() -> None:
    served_by = ServedBy(
        host="h1", target="db-1a", role="primary", term=1, position=2
    )
    answer = Answer(results=(), token="t", served_by=served_by)

    jsonschema.validate(json.loads(render(answer)), SCHEMAS["Answer"])
