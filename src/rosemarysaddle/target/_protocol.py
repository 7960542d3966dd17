"""What a target must offer."""

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
    """How an exchange with a target failed."""

    REFUSED = "refused"
    FULL = "full"
    TIMEOUT = "timeout"
    LOST = "lost"
    READ_ONLY = "read-only"
    DUPLICATE = "duplicate"
    STATEMENT = "statement"


@attrs.frozen(kw_only=True)
class TargetFault:
    """Sentinel for an exchange with a target that failed.

    :param is_answer: whether the target answered, so that the
        connection can go on
    """

    kind: FaultKind
    peer: str
    step: str
    detail: str = ""

    @property
    def is_answer(self) -> bool:
        """Tell whether the target itself reported the fault."""
        return self.kind in {
            FaultKind.READ_ONLY,
            FaultKind.DUPLICATE,
            FaultKind.STATEMENT,
        }


@attrs.frozen(kw_only=True)
class StatementResult:
    """Answer of a target to one statement.

    :param rows: one sequence of column values for each row
    """

    columns: tuple[str, ...]
    rows: tuple[Sequence[Any], ...]
    affected_rows: int


@attrs.frozen(kw_only=True)
class InstanceStatus:
    """Role and log position of an instance.

    :param identity: name that the instance made when its disk was new
    """

    role: str
    point: LogPoint
    identity: str = ""


class TargetSession(Protocol):
    """One connection to a target, used by one task at a time."""

    def set_deadline(self, deadline_ns: int) -> None:
        """Bound the exchanges that follow.

        :param deadline_ns: monotonic time, in nanoseconds
        """

    def read(
        self, sql: str, args: Sequence[Any]
    ) -> StatementResult | TargetFault:
        """Run one statement outside a transaction."""

    def execute(
        self, sql: str, args: Sequence[Any]
    ) -> StatementResult | TargetFault:
        """Run one statement in the transaction, starting one."""

    def commit(self) -> TargetFault | None:
        """Commit the transaction."""

    def rollback(self) -> TargetFault | None:
        """Undo the transaction."""

    def status(
        self, *, after: int, wait_ms: int
    ) -> InstanceStatus | TargetFault:
        """Read role, term and position.

        :param after: position known; an answer may wait for a newer one
        :param wait_ms: greatest wait, in milliseconds
        """

    def promote(self, term: int, *, start: int) -> TargetFault | None:
        """Order the instance to become primary under a term.

        :param start: position that it must have reached
        """

    def follow(
        self, *, primary: str, term: int, start: int
    ) -> TargetFault | None:
        """Order the instance to replicate from a primary.

        :param start: position at which the term began
        """

    def interrupt(self) -> None:
        """End the exchange that runs, from another thread."""

    def close(self) -> None:
        """Close the connection."""


class TargetConnector(Protocol):
    """Opens connections to targets."""

    def connect(
        self, name: str, address: Address, *, deadline_ns: int
    ) -> TargetSession | TargetFault:
        """Open a connection.

        :param name: name of the instance
        :param deadline_ns: monotonic time, in nanoseconds
        """
