"""Answers to callers: results and problem documents."""

from __future__ import annotations

import datetime as dt
import decimal
import json
from typing import TYPE_CHECKING, Any, Final

import attrs

from rosemarysaddle.decide import Outcome, Reason, Refusal

if TYPE_CHECKING:
    from rosemarysaddle.target import StatementResult

__all__ = (
    "Answer",
    "ServedBy",
    "http_status_of",
    "render_answer",
    "render_problem",
)

PROBLEM_PREFIX: Final = "urn:rosemarysaddle:problem:"
_HTTP_STATUS: Final = {
    Reason.BAD_REQUEST: 400,
    Reason.BAD_TOKEN: 400,
    Reason.UNKNOWN_CLASS: 400,
    Reason.BAD_CREDENTIAL: 401,
    Reason.UNKNOWN_TENANT: 401,
    Reason.FORBIDDEN_GROUP: 403,
    Reason.UNKNOWN_GROUP: 404,
    Reason.UNKNOWN_TRANSACTION: 404,
    Reason.KEY_REUSED: 409,
    Reason.KEY_EXPIRED: 409,
    Reason.VERSION_CONFLICT: 409,
    Reason.STATEMENT_FAILED: 422,
    Reason.OVERLOADED: 429,
    Reason.DEADLINE_PASSED: 504,
}


@attrs.frozen(kw_only=True)
class ServedBy:
    """Who served a request, and at which position.

    :param age_ms: upper bound of the age of the data, in milliseconds
    """

    host: str
    target: str
    role: str
    term: int
    position: int
    age_ms: int = 0


@attrs.frozen(kw_only=True)
class Answer:
    """Answer to a request that was done."""

    results: tuple[dict[str, Any], ...]
    token: str
    served_by: ServedBy
    repeated: bool = False
    transaction: str = ""


def result_to_json(result: StatementResult) -> dict[str, Any]:
    """Turn the result of a statement into its JSON form."""
    return {
        "columns": list(result.columns),
        "rows": [list(row) for row in result.rows],
        "affected_rows": result.affected_rows,
    }


def render_answer(answer: Answer) -> bytes:
    """Render an answer as JSON."""
    body: dict[str, Any] = {
        "outcome": str(Outcome.DONE),
        "results": answer.results,
        "token": answer.token,
        "served_by": {
            "host": answer.served_by.host,
            "target": answer.served_by.target,
            "role": answer.served_by.role,
            "term": answer.served_by.term,
            "position": answer.served_by.position,
            "age_ms": answer.served_by.age_ms,
        },
    }
    if answer.repeated:
        body["repeated"] = True
    if answer.transaction:
        body["transaction"] = answer.transaction
    return json.dumps(body, default=_to_json_value).encode()


def render_problem(refusal: Refusal) -> bytes:
    """Render a refusal as a problem document."""
    body = {
        "type": PROBLEM_PREFIX + refusal.reason,
        "title": str(refusal.reason).replace("-", " "),
        "status": http_status_of(refusal),
        "detail": refusal.detail,
        "outcome": str(refusal.outcome),
        "step": str(refusal.step),
        "peer": refusal.peer,
    }
    if refusal.retry_after_ms:
        body["retry_after_ms"] = refusal.retry_after_ms
    return json.dumps(body).encode()


def http_status_of(refusal: Refusal) -> int:
    """HTTP status of a refusal."""
    return _HTTP_STATUS.get(refusal.reason, 503)


def _to_json_value(value: Any) -> Any:
    if isinstance(value, decimal.Decimal):
        return str(value)
    if isinstance(value, dt.date | dt.time | dt.timedelta):
        return str(value)
    if isinstance(value, bytes):
        return value.hex()
    raise TypeError(type(value).__name__)
