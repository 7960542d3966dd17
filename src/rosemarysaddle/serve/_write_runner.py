"""Runs writes: one transaction on the primary, confirmed by replicas.

Until COMMIT is sent, the target rolls the transaction back if the
connection is lost, so any fault before that has the outcome "not-run".
A fault of COMMIT or later has the outcome "unknown", unless the target
itself reported it.
"""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any, Final

import attrs

from rosemarysaddle.decide import (
    LogPoint,
    Outcome,
    Reason,
    Refusal,
    Step,
    WriteTicket,
)
from rosemarysaddle.serve._answers import Answer, ServedBy, result_to_json
from rosemarysaddle.target import FaultKind, TargetFault

if TYPE_CHECKING:
    from collections.abc import Sequence

    from rosemarysaddle.daemon import SharedEntryNode
    from rosemarysaddle.decide import SessionToken, TokenCodec
    from rosemarysaddle.serve._requests import (
        IdempotencyKey,
        Statement,
        StatementRequest,
    )
    from rosemarysaddle.target import TargetSession

__all__ = ("WriteRunner",)

INSERT_KEY: Final = (
    "INSERT INTO rosemarysaddle_keys"
    " (request_key, digest, expires_at_ms) VALUES (%s, %s, %s)"
)
STORE_RESULT: Final = (
    "UPDATE rosemarysaddle_keys SET result = %s WHERE request_key = %s"
)
FIND_KEY: Final = (
    "SELECT digest, result FROM rosemarysaddle_keys WHERE request_key = %s"
)


@attrs.frozen(kw_only=True)
class _ExecutionResult:
    results: tuple[dict[str, Any], ...]
    repeated: bool = False


@attrs.frozen(kw_only=True)
class WriteRunner:
    """Runs the writes of one entry host."""

    shared_node: SharedEntryNode
    tokens: TokenCodec

    def run(
        self, request: StatementRequest, token: SessionToken
    ) -> Answer | Refusal:
        """Run a write in one transaction.

        An attempt that certainly did not run is repeated until the
        deadline of the request.

        :param token: positions of the session's own writes
        """
        while True:
            result = self._run_attempt(request, token)
            if isinstance(result, Answer) or not _is_retryable(result):
                return result
            deadline_ns = request.deadline_ns
            if not self.shared_node.wait_before_retry(
                request.group, deadline_ns=deadline_ns
            ):
                return result

    def begin(
        self, group: str, *, deadline_ns: int
    ) -> tuple[WriteTicket, TargetSession] | Refusal:
        """Acquire a write ticket and a connection to the primary.

        :param deadline_ns: monotonic time, in nanoseconds
        """
        ticket = self.shared_node.begin_write(group, deadline_ns=deadline_ns)
        if isinstance(ticket, Refusal):
            return ticket
        pool = self.shared_node.pools.get(ticket.primary)
        session: TargetSession | Refusal = _refuse(
            Reason.NO_PRIMARY, Step.ROUTE, group
        )
        if pool is not None:
            session = pool.acquire(deadline_ns=deadline_ns)
        if isinstance(session, Refusal):
            self.shared_node.end_write(ticket)
            return session
        session.set_deadline(deadline_ns)
        return ticket, session

    def release(
        self, ticket: WriteTicket, session: TargetSession, *, usable: bool
    ) -> None:
        """Return a connection to the pool of the primary.

        :param usable: whether the connection can be used again
        """
        pool = self.shared_node.pools.get(ticket.primary)
        if pool is None:
            session.close()
            return
        pool.release(session, usable=usable)

    def commit_and_confirm(
        self,
        ticket: WriteTicket,
        session: TargetSession,
        *,
        deadline_ns: int,
    ) -> LogPoint | Refusal:
        """Commit and wait until enough instances have stored the write.

        Ends the ticket and returns the connection.

        :param deadline_ns: monotonic time, in nanoseconds
        :return: position of the write, or why it is not acknowledged
        """
        if not self.shared_node.holds(ticket):
            self.roll_back(ticket, session)
            return _refuse(Reason.LEASE_ENDED, Step.COMMIT, ticket.primary)
        point = _commit(session, ticket.term)
        usable = isinstance(point, LogPoint)
        self.release(ticket, session, usable=usable)
        if isinstance(point, Refusal):
            self.shared_node.end_write(ticket)
            return point
        confirmed = self.shared_node.wait_confirmed(
            ticket, point, deadline_ns=deadline_ns
        )
        if not self.shared_node.end_write(ticket):
            return _unknown_outcome(
                Reason.LEASE_ENDED, Step.CONFIRM, ticket.primary
            )
        if not confirmed:
            return _unknown_outcome(
                Reason.UNCONFIRMED, Step.CONFIRM, ticket.primary
            )
        return point

    def roll_back(self, ticket: WriteTicket, session: TargetSession) -> None:
        """Roll back an uncommitted transaction and end its ticket."""
        usable = session.rollback() is None
        self.release(ticket, session, usable=usable)
        self.shared_node.end_write(ticket)

    def answer(
        self,
        results: tuple[dict[str, Any], ...],
        ticket: WriteTicket,
        point: LogPoint,
        token: SessionToken,
        *,
        repeated: bool = False,
    ) -> Answer:
        """Build the answer to an acknowledged write."""
        advanced = token.advance(ticket.group, point)
        return Answer(
            results=results,
            token=self.tokens.encode(advanced),
            served_by=ServedBy(
                host=self.shared_node.node.host,
                target=ticket.primary,
                role="primary",
                term=point.term,
                position=point.position,
            ),
            repeated=repeated,
        )

    def _run_attempt(
        self, request: StatementRequest, token: SessionToken
    ) -> Answer | Refusal:
        started = self.begin(request.group, deadline_ns=request.deadline_ns)
        if isinstance(started, Refusal):
            return started
        ticket, session = started
        executed: _ExecutionResult | Refusal | None = None
        try:
            executed = _execute(session, request)
        finally:
            if not isinstance(executed, _ExecutionResult):
                self.roll_back(ticket, session)
        if isinstance(executed, Refusal):
            return executed
        point = self.commit_and_confirm(
            ticket, session, deadline_ns=request.deadline_ns
        )
        if isinstance(point, Refusal):
            return point
        return self.answer(
            executed.results,
            ticket,
            point,
            token,
            repeated=executed.repeated,
        )


def run_statements(
    session: TargetSession, statements: Sequence[Statement]
) -> tuple[dict[str, Any], ...] | TargetFault:
    """Run statements in the open transaction, up to the first fault."""
    results = []
    for statement in statements:
        result = session.execute(statement.sql, statement.args)
        if isinstance(result, TargetFault):
            return result
        results.append(result_to_json(result))
    return tuple(results)


def to_refusal(fault: TargetFault) -> Refusal:
    """Convert a fault after which the transaction is not committed."""
    reason = Reason.CONNECTION_LOST
    if fault.kind in {FaultKind.STATEMENT, FaultKind.DUPLICATE}:
        reason = Reason.STATEMENT_FAILED
    if fault.kind is FaultKind.READ_ONLY:
        reason = Reason.NO_PRIMARY
    return _refuse(reason, Step.EXECUTE, fault.peer, detail=fault.detail)


def _execute(
    session: TargetSession, request: StatementRequest
) -> _ExecutionResult | Refusal:
    """Run the statements of a request in one transaction.

    The key of the request and the result are stored in the same
    transaction.  A duplicate key means that an earlier attempt was
    committed, so its result is returned.
    """
    if request.key is not None:
        args = (
            request.key.name,
            request.key.digest,
            request.key.expires_at_ms,
        )
        fault = session.execute(INSERT_KEY, args)
        if isinstance(fault, TargetFault):
            if fault.kind is FaultKind.DUPLICATE:
                return _load_stored_result(session, request.key)
            return to_refusal(fault)
    results = run_statements(session, request.statements)
    if isinstance(results, TargetFault):
        return to_refusal(results)
    if request.key is not None:
        stored = session.execute(
            STORE_RESULT, (json.dumps(results, default=str), request.key.name)
        )
        if isinstance(stored, TargetFault):
            return to_refusal(stored)
    return _ExecutionResult(results=results)


def _load_stored_result(
    session: TargetSession, key: IdempotencyKey
) -> _ExecutionResult | Refusal:
    stored = session.execute(FIND_KEY, (key.name,))
    if isinstance(stored, TargetFault):
        return to_refusal(stored)
    if not stored.rows:
        return _refuse(Reason.CONNECTION_LOST, Step.EXECUTE, "target")
    digest, result = stored.rows[0]
    if digest != key.digest:
        return _refuse(Reason.KEY_REUSED, Step.EXECUTE, "target")
    results = tuple(json.loads(result))
    return _ExecutionResult(results=results, repeated=True)


def _commit(session: TargetSession, term: int) -> LogPoint | Refusal:
    """Commit, then read the log position of the write.

    The outcome is unknown if the instance is no longer the primary of
    the ticket's term when its status is read.
    """
    fault = session.commit()
    if fault is not None:
        if fault.is_answer:
            return to_refusal(fault)
        return _unknown_outcome(
            Reason.CONNECTION_LOST, Step.COMMIT, fault.peer, fault.detail
        )
    status = session.status(after=0, wait_ms=0)
    if isinstance(status, TargetFault):
        return _unknown_outcome(
            Reason.CONNECTION_LOST, Step.COMMIT, status.peer, status.detail
        )
    if status.role != "primary" or status.point.term != term:
        return _unknown_outcome(Reason.LEASE_ENDED, Step.COMMIT, "target")
    return status.point


def _is_retryable(refusal: Refusal) -> bool:
    if refusal.outcome is not Outcome.NOT_RUN:
        return False
    return refusal.reason in {
        Reason.CONNECTION_LOST,
        Reason.NO_CONNECTION,
        Reason.NO_PRIMARY,
        Reason.LEASE_ENDED,
    }


def _refuse(
    reason: Reason, step: Step, peer: str, *, detail: str = ""
) -> Refusal:
    return Refusal(reason=reason, step=step, peer=peer, detail=detail)


def _unknown_outcome(
    reason: Reason, step: Step, peer: str, detail: str = ""
) -> Refusal:
    return Refusal(
        reason=reason,
        step=step,
        peer=peer,
        outcome=Outcome.UNKNOWN,
        detail=detail,
    )
