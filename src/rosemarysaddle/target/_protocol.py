"""Interface that the connections to targets implement."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING, Any, Protocol

import attrs

if TYPE_CHECKING:
    from collections.abc import Sequence

    from rosemarysaddle.decide import LogPoint
    from rosemarysaddle.link import Address

__all__ = (
    "FaultKind",
    "InstanceStatus",
    "StatementResult",
    "TargetConnector",
    "TargetFault",
    "TargetSession",
)


class FaultKind(enum.StrEnum):
    """Kind of failure of a request to a target.

    ``FULL`` means that the target has reached its connection limit,
    ``LOST`` that the connection was closed before the answer, and
    ``STATEMENT`` any error that has no kind of its own.
    """

    REFUSED = "refused"
    FULL = "full"
    TIMEOUT = "timeout"
    LOST = "lost"
    READ_ONLY = "read-only"
    DUPLICATE = "duplicate"
    STATEMENT = "statement"


@attrs.frozen(kw_only=True)
class TargetFault:
    """Sentinel returned in place of the result of a request.

    :param peer: name of the target
    :param step: step at which the request failed
    :param detail: error message
    """

    kind: FaultKind
    peer: str
    step: str
    detail: str = ""

    @property
    def is_answer(self) -> bool:
        """Return whether the target itself reported the fault.

        The connection can then still be used.
        """
        return self.kind in {
            FaultKind.READ_ONLY,
            FaultKind.DUPLICATE,
            FaultKind.STATEMENT,
        }


@attrs.frozen(kw_only=True)
class StatementResult:
    """Result of one statement.

    :param rows: one sequence of column values for each row
    """

    columns: tuple[str, ...]
    rows: tuple[Sequence[Any], ...]
    affected_rows: int


@attrs.frozen(kw_only=True)
class InstanceStatus:
    """Role and log position of an instance.

    :param point: term and position of the newest log record
    :param identity: name that the instance generated when it first used
        its disk
    """

    role: str
    point: LogPoint
    identity: str = ""


class TargetSession(Protocol):
    """One connection to a target, used by one thread at a time."""

    def set_deadline(self, deadline_ns: int) -> None:
        """Set the deadline of the following statements.

        :param deadline_ns: monotonic time, in nanoseconds
        """

    def read(
        self, sql: str, args: Sequence[Any]
    ) -> StatementResult | TargetFault:
        """Run one statement outside a transaction."""

    def execute(
        self, sql: str, args: Sequence[Any]
    ) -> StatementResult | TargetFault:
        """Run one statement in a transaction; begin one if needed."""

    def commit(self) -> TargetFault | None:
        """Commit the transaction."""

    def rollback(self) -> TargetFault | None:
        """Roll the transaction back."""

    def status(
        self, *, after: int, wait_ms: int
    ) -> InstanceStatus | TargetFault:
        """Query role, term and log position.

        :param after: known position; the instance may delay its answer
            until it has a newer one
        :param wait_ms: longest delay, in milliseconds
        """

    def promote(self, term: int, *, start: int) -> TargetFault | None:
        """Promote the instance to primary of a term.

        :param start: log position that the instance must have reached
        """

    def follow(
        self, *, primary: str, term: int, start: int
    ) -> TargetFault | None:
        """Make the instance replicate from a primary.

        :param primary: name of the primary
        :param start: log position at which the term began
        """

    def interrupt(self) -> None:
        """Interrupt the running statement; called by another thread."""

    def close(self) -> None:
        """Close the connection."""


class TargetConnector(Protocol):
    """Opens connections to targets."""

    def connect(
        self, name: str, address: Address, *, deadline_ns: int
    ) -> TargetSession | TargetFault:
        """Open a connection.

        :param name: name of the instance
        :param deadline_ns: monotonic time until which to try, in
            nanoseconds
        """
