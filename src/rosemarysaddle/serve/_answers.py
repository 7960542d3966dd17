"""JSON bodies of the responses to callers: answers and problems."""

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
    """Host and target that served a request, and their log position.

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
    """Answer to a request that succeeded.

    :param results: JSON form of the result of each statement
    :param token: session token to send with the next request
    :param repeated: whether an earlier attempt had run the request
    :param transaction: handle of the open transaction, or empty
    """

    results: tuple[dict[str, Any], ...]
    token: str
    served_by: ServedBy
    repeated: bool = False
    transaction: str = ""


def result_to_json(result: StatementResult) -> dict[str, Any]:
    """Convert the result of a statement to its JSON form."""
    return {
        "columns": list(result.columns),
        "rows": [list(row) for row in result.rows],
        "affected_rows": result.affected_rows,
    }


def render_answer(answer: Answer) -> bytes:
    """Encode an answer as JSON."""
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
    """Encode a refusal as a problem document (RFC 9457)."""
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
    """Return the HTTP status of a refusal.

    A reason without an entry of its own means that the service cannot
    serve the request now: 503.
    """
    return _HTTP_STATUS.get(refusal.reason, 503)


def _to_json_value(value: Any) -> Any:
    if isinstance(value, decimal.Decimal):
        return str(value)
    if isinstance(value, dt.date | dt.time | dt.timedelta):
        return str(value)
    if isinstance(value, bytes):
        return value.hex()
    raise TypeError(type(value).__name__)
