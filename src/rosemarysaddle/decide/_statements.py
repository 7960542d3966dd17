"""Statements of connection-bound sessions, and the answers to them.

A codec translates the messages of a wire protocol from and to these
types, so sessions and targets do not depend on the protocol.
"""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from rosemarysaddle.decide.reads._token import LogPoint

__all__ = (
    "NO_ANSWER",
    "Answer",
    "CloseSession",
    "FaultCode",
    "OpenSession",
    "PreparedStatement",
    "SessionState",
    "Statement",
    "StatementKind",
)


class StatementKind(enum.StrEnum):
    """Kind of a statement."""

    BEGIN = "begin"
    BEGIN_READ = "begin-read"
    COMMIT = "commit"
    ROLLBACK = "rollback"
    READ = "read"
    WRITE = "write"
    SET = "set"
    PREPARE = "prepare"
    EXECUTE = "execute"
    FORGET = "forget"
    UNKNOWN = "unknown"

    @property
    def uses_prepared(self) -> bool:
        """Tell whether the statement runs a prepared statement."""
        return self is StatementKind.EXECUTE

    @property
    def always_writes(self) -> bool:
        """Tell whether every statement of this kind writes."""
        return self is StatementKind.WRITE


class SessionState(enum.StrEnum):
    """State of a session or of a connection to a target."""

    IDLE = "idle"
    TRANSACTION = "transaction"
    FAILED = "failed"


class FaultCode(enum.StrEnum):
    """Code of a fault that a statement returns instead of a result.

    ``BEHIND`` means that the target lacks a log position that the read
    requires, ``UNNAMED`` that no prepared statement has the given name.
    """

    BUSY = "busy"
    BEHIND = "behind"
    READ_ONLY = "read-only"
    UNNAMED = "unnamed"
    WRONG_TARGET = "wrong-target"
    TOO_MANY_CONNECTIONS = "too-many-connections"
    FAILED = "failed"
    TIMEOUT = "timeout"
    LOST = "lost"
    OTHER = "other"

    @property
    def is_not_run(self) -> bool:
        """Tell whether the statement certainly did not run."""
        return self in _NOT_RUN


_NOT_RUN = frozenset(
    {
        FaultCode.BUSY,
        FaultCode.BEHIND,
        FaultCode.READ_ONLY,
        FaultCode.UNNAMED,
        FaultCode.WRONG_TARGET,
        FaultCode.TOO_MANY_CONNECTIONS,
    }
)


@attrs.frozen(kw_only=True)
class PreparedStatement:
    """Content of a prepared statement.

    :param writes: whether the statement writes
    :param text: text of the statement as the caller sent it
    """

    writes: bool
    text: str


@attrs.frozen(kw_only=True)
class Statement:
    """One statement of a caller.

    :param request_id: identifier that the caller chose
    :param kind: kind of the statement
    :param text: text as the caller sent it
    :param name: name of an item, a variable or a prepared statement
    :param argument: data or value that follows the name
    :param shape: content of a statement to prepare, or None
    """

    request_id: str
    kind: StatementKind
    text: str = ""
    name: str = ""
    argument: str = ""
    shape: PreparedStatement | None = None


@attrs.frozen(kw_only=True)
class OpenSession:
    """Start of a session.

    :param database: database that the session uses
    :param label: name under which the caller connects; the key of its
        team where the route plan has teams, so it is in no dump
    """

    database: str
    label: str = attrs.field(default="", repr=False)


@attrs.frozen(kw_only=True)
class CloseSession:
    """Orderly end of a session."""


@attrs.frozen(kw_only=True)
class Answer:
    """Complete answer of a target to one statement.

    :param rows: rows of the result
    :param signature: proof from the target that it ran the statement
    :param fault: code of the fault, or None if there is a result
    :param text: text of the fault
    :param state: state of the session after the statement
    :param point: log position that the target reported, or None
    :param retry_after_ms: time after which a statement that found no
        connection may find one, in milliseconds; 0 if unknown
    """

    rows: tuple[str, ...] = ()
    signature: str = ""
    fault: FaultCode | None = None
    text: str = ""
    state: SessionState = SessionState.IDLE
    point: LogPoint | None = None
    retry_after_ms: int = 0


NO_ANSWER = Answer(fault=FaultCode.LOST, state=SessionState.FAILED)
