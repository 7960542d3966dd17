"""Parsing and validation of callers' requests."""

from __future__ import annotations

import hashlib
import json
import time
from typing import TYPE_CHECKING, Any, Final

import attrs
import cattrs
import jsonschema

from rosemarysaddle.decide import NS_PER_MS, Reason, Refusal, Step

if TYPE_CHECKING:
    from collections.abc import Sequence

__all__ = (
    "MAX_BODY_BYTES",
    "IdempotencyKey",
    "Statement",
    "StatementRequest",
    "build_request",
    "parse_body",
)

MAX_BODY_BYTES: Final = 1024 * 1024
MAX_KEY_LIFETIME_MS: Final = 7 * 24 * 3_600 * 1_000
DEFAULT_DEADLINE_MS: Final = 5_000
_READ_KEYWORDS: Final = frozenset({"select", "show"})
_WRITE_KEYWORDS: Final = frozenset({"insert", "update", "delete", "replace"})

_STATEMENT_SCHEMA: Final = {
    "type": "object",
    "additionalProperties": False,
    "required": ["sql"],
    "properties": {
        "sql": {"type": "string", "minLength": 1, "maxLength": 100_000},
        "args": {
            "type": "array",
            "maxItems": 1_000,
            "items": {"type": ["string", "number", "boolean", "null"]},
        },
    },
}
_REQUEST_SCHEMA: Final[dict[str, Any]] = {
    "type": "object",
    "additionalProperties": False,
    "properties": {
        "group": {"type": "string", "maxLength": 64},
        "class": {"type": "string", "maxLength": 64},
        "write": {"type": "boolean"},
        "statements": {
            "type": "array",
            "minItems": 1,
            "maxItems": 64,
            "items": _STATEMENT_SCHEMA,
        },
        "stale_ms": {"type": "integer", "minimum": 0, "maximum": 86_400_000},
        "deadline_ms": {"type": "integer", "minimum": 1, "maximum": 60_000},
        "key": {"type": "string", "minLength": 8, "maxLength": 100},
        "key_expires_at_ms": {"type": "integer", "minimum": 1},
        "resend": {"type": "boolean"},
        "token": {"type": "string", "maxLength": 4_096},
        "transaction": {"type": "string", "maxLength": 200},
    },
    "dependentRequired": {"key": ["key_expires_at_ms"]},
}
_VALIDATOR: Final = jsonschema.Draft202012Validator(_REQUEST_SCHEMA)


@attrs.frozen(kw_only=True)
class Statement:
    """One SQL statement with its arguments."""

    sql: str
    args: tuple[Any, ...] = ()

    @property
    def keyword(self) -> str:
        """First keyword of the statement, in lower case."""
        words = self.sql.split(maxsplit=1)
        return words[0].lower() if words else ""


@attrs.frozen(kw_only=True)
class IdempotencyKey:
    """Idempotency key of a request that must run at most once.

    :param name: key of the caller, prefixed with the tenant
    :param digest: SHA-256 of the statements, to detect that the key is
        reused for others
    :param expires_at_ms: wall-clock time after which the key is
        refused, in milliseconds since the epoch
    :param resend: whether the caller has sent the request before
    """

    name: str
    digest: str
    expires_at_ms: int
    resend: bool


@attrs.frozen(kw_only=True)
class StatementRequest:
    """One request of a caller.

    :param stale_ms: maximum age of the data in milliseconds, or None
        for that of the request class
    :param deadline_ns: monotonic time, in nanoseconds
    :param token: session token, or empty
    :param transaction: handle of an open transaction, or empty
    """

    tenant: str
    credential: str
    group: str
    request_class: str
    write: bool
    statements: tuple[Statement, ...]
    stale_ms: int | None
    deadline_ns: int
    key: IdempotencyKey | None
    token: str
    transaction: str


def parse_body(data: bytes) -> dict[str, Any] | Refusal:
    """Decode a JSON body and validate it against the request schema."""
    try:
        value = json.loads(data or b"{}")
    except (ValueError, RecursionError) as error:
        return _bad_request(f"$: {error}")
    fault = jsonschema.exceptions.best_match(_VALIDATOR.iter_errors(value))
    if fault is not None:
        return _bad_request(f"{fault.json_path}: {fault.message[:200]}")
    checked_body: dict[str, Any] = value
    return checked_body


def build_request(
    body: dict[str, Any], *, tenant: str, credential: str, now_ns: int
) -> StatementRequest | Refusal:
    """Build a request from a validated body.

    :param now_ns: monotonic time of arrival, in nanoseconds
    """
    statements = cattrs.structure(
        body.get("statements", []), tuple[Statement, ...]
    )
    write = bool(body.get("write", False))
    fault = _check_keywords(statements, write=write)
    if fault:
        return _bad_request(fault)
    key = _parse_key(body, tenant, statements)
    if isinstance(key, Refusal):
        return key
    timeout_ms = int(body.get("deadline_ms", DEFAULT_DEADLINE_MS))
    return StatementRequest(
        tenant=tenant,
        credential=credential,
        group=str(body.get("group", "")),
        request_class=str(body.get("class", "")),
        write=write,
        statements=statements,
        stale_ms=body.get("stale_ms"),
        deadline_ns=now_ns + timeout_ms * NS_PER_MS,
        key=key,
        token=str(body.get("token", "")),
        transaction=str(body.get("transaction", "")),
    )


def _check_keywords(statements: Sequence[Statement], *, write: bool) -> str:
    allowed = _READ_KEYWORDS | _WRITE_KEYWORDS if write else _READ_KEYWORDS
    for number, statement in enumerate(statements):
        if statement.keyword not in allowed:
            kind = "write" if write else "read"
            return (
                f"$.statements[{number}].sql: {statement.keyword[:20]!r}"
                f" does not start a {kind} statement"
            )
    return ""


def _parse_key(
    body: dict[str, Any], tenant: str, statements: Sequence[Statement]
) -> IdempotencyKey | Refusal | None:
    if "key" not in body:
        return None
    expires_at_ms = int(body["key_expires_at_ms"])
    now_ms = time.time_ns() // NS_PER_MS
    if expires_at_ms <= now_ms:
        return Refusal(
            reason=Reason.KEY_EXPIRED,
            step=Step.DECODE,
            peer="caller",
            detail="the idempotency key has expired",
        )
    if expires_at_ms > now_ms + MAX_KEY_LIFETIME_MS:
        return _bad_request("$.key_expires_at_ms: more than 7 days ahead")
    text = json.dumps([[s.sql, s.args] for s in statements])
    return IdempotencyKey(
        name=f"{tenant}/{body['key']}",
        digest=hashlib.sha256(text.encode()).hexdigest(),
        expires_at_ms=expires_at_ms,
        resend=bool(body.get("resend", False)),
    )


def _bad_request(detail: str) -> Refusal:
    return Refusal(
        reason=Reason.BAD_REQUEST,
        step=Step.DECODE,
        peer="caller",
        detail=detail,
    )
