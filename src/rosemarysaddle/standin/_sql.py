"""Classifies and parses the statements that a stand-in receives."""

from __future__ import annotations

import enum
import re
from typing import Final

import attrs

__all__ = (
    "ProcedureCall",
    "StatementKind",
    "classify_statement",
    "parse_call",
)

_CALL: Final = re.compile(r"CALL\s+(\w+)\s*\((.*)\)\s*;?\s*", re.IGNORECASE)
_SET_AUTOCOMMIT: Final = re.compile(
    r"SET\s+autocommit\s*=\s*([01])", re.IGNORECASE
)


class StatementKind(enum.StrEnum):
    """Kind of a statement."""

    READ = "read"
    WRITE = "write"
    AUTOCOMMIT_ON = "autocommit-on"
    AUTOCOMMIT_OFF = "autocommit-off"
    SET = "set"
    BEGIN = "begin"
    COMMIT = "commit"
    ROLLBACK = "rollback"
    CALL = "call"
    OTHER = "other"


_KIND_BY_KEYWORD: Final = {
    "select": StatementKind.READ,
    "insert": StatementKind.WRITE,
    "replace": StatementKind.WRITE,
    "update": StatementKind.WRITE,
    "delete": StatementKind.WRITE,
    "begin": StatementKind.BEGIN,
    "start": StatementKind.BEGIN,
    "commit": StatementKind.COMMIT,
    "rollback": StatementKind.ROLLBACK,
    "call": StatementKind.CALL,
    "set": StatementKind.SET,
}


@attrs.frozen(kw_only=True)
class ProcedureCall:
    """Call of a stored procedure, with its arguments as text."""

    name: str
    args: tuple[str, ...]


def classify_statement(sql: str) -> StatementKind:
    """Classify a statement by its first keyword."""
    match = _SET_AUTOCOMMIT.match(sql)
    if match:
        if match[1] == "1":
            return StatementKind.AUTOCOMMIT_ON
        return StatementKind.AUTOCOMMIT_OFF
    words = sql.split(maxsplit=1)
    keyword = words[0].rstrip(";").lower() if words else ""
    return _KIND_BY_KEYWORD.get(keyword, StatementKind.OTHER)


def parse_call(sql: str) -> ProcedureCall | None:
    """Parse the call of a procedure.

    :return: the call, or None if the statement is not one
    """
    match = _CALL.fullmatch(sql)
    if match is None:
        return None
    args = tuple(a.strip().strip("'") for a in match[2].split(","))
    return ProcedureCall(name=match[1].lower(), args=args)
