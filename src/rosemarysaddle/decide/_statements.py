"""Statements of a session bound to a connection, and their answers.

A codec decodes a wire's messages into these types; sessions and targets
know nothing of the wire.
"""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from rosemarysaddle.decide._token import LogPoint

__all__ = (
    "NO_ANSWER",
    "Answer",
    "CloseSession",
    "FaultCode",
    "OpenSession",
    "SessionState",
    "Shape",
    "Statement",
    "StatementKind",
)


class StatementKind(enum.StrEnum):
    """What a statement asks for."""

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
        """Tell whether the statement names a prepared one."""
        return self is StatementKind.EXECUTE

    @property
    def always_writes(self) -> bool:
        """Tell whether the statement writes by its kind alone."""
        return self is StatementKind.WRITE


class SessionState(enum.StrEnum):
    """State of a session or of a connection to a target."""

    IDLE = "idle"
    TRANSACTION = "transaction"
    FAILED = "failed"


class FaultCode(enum.StrEnum):
    """What a target says instead of a result."""

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
        """Tell whether the statement surely did not run."""
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
class Shape:
    """What a prepared statement does.

    :param text: shape as the caller gave it
    """

    writes: bool
    text: str


@attrs.frozen(kw_only=True)
class Statement:
    """One statement of a caller.

    :param request_id: id that the caller gave it
    :param text: text as the caller sent it
    :param name: item, variable or prepared name
    :param argument: data or value that follows the name
    :param shape: what a statement to prepare does
    """

    request_id: str
    kind: StatementKind
    text: str = ""
    name: str = ""
    argument: str = ""
    shape: Shape | None = None


@attrs.frozen(kw_only=True)
class OpenSession:
    """Start of a session.

    :param label: who connects
    """

    database: str
    label: str = ""


@attrs.frozen(kw_only=True)
class CloseSession:
    """Planned end of a session."""


@attrs.frozen(kw_only=True)
class Answer:
    """Whole answer of a target to one statement.

    :param signature: proof of the target that it ran the statement
    :param fault: what the target said instead, or None
    :param text: text of the fault
    :param point: position of the target's log, where it told one
    """

    rows: tuple[str, ...] = ()
    signature: str = ""
    fault: FaultCode | None = None
    text: str = ""
    state: SessionState = SessionState.IDLE
    point: LogPoint | None = None


NO_ANSWER = Answer(fault=FaultCode.LOST, state=SessionState.FAILED)
