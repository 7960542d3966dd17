"""Runs reads: choice of the target, retries and check of freshness."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import attrs

from rosemarysaddle._clock import clock_ns
from rosemarysaddle.decide import (
    NS_PER_MS,
    LogPoint,
    ReadChoice,
    ReadRequirements,
    Reason,
    Refusal,
    Step,
)
from rosemarysaddle.serve._answers import Answer, ServedBy, result_to_json
from rosemarysaddle.target import FaultKind, TargetFault

if TYPE_CHECKING:
    from typing import Any

    from rosemarysaddle.daemon import SharedEntryNode
    from rosemarysaddle.daemon._shared_node import PrimaryChoice
    from rosemarysaddle.decide import SessionToken, TokenCodec
    from rosemarysaddle.serve._requests import StatementRequest
    from rosemarysaddle.target import TargetSession

__all__ = ("ReadRunner",)

# Leaves time before the deadline of most requests for another attempt.
READ_ATTEMPT_TIMEOUT_MS: Final = 1_000


@attrs.frozen(kw_only=True)
class ReadRunner:
    """Runs the reads of one entry host."""

    shared_node: SharedEntryNode
    tokens: TokenCodec

    def run(
        self, request: StatementRequest, token: SessionToken, stale_ms: int
    ) -> Answer | Refusal:
        """Run a read on a replica or on the primary.

        A failed attempt that may succeed elsewhere or later is repeated
        until the deadline of the request.

        :param token: positions of the session's own writes
        :param stale_ms: maximum age of the data, in milliseconds
        """
        requirements = ReadRequirements(
            point=token.point(request.group),
            stale_ms=stale_ms,
            has_token=bool(request.token),
        )
        while True:
            result = self._run_attempt(request, requirements, token)
            if isinstance(result, Answer) or not _is_retryable(result):
                return result
            deadline_ns = request.deadline_ns
            if not self.shared_node.wait_before_retry(
                request.group, deadline_ns=deadline_ns
            ):
                return result

    def _run_attempt(
        self,
        request: StatementRequest,
        requirements: ReadRequirements,
        token: SessionToken,
    ) -> Answer | Refusal:
        deadline_ns = request.deadline_ns
        choice = self.shared_node.choose_read(
            request.group, requirements, deadline_ns=deadline_ns
        )
        if isinstance(choice, Refusal):
            return choice
        pool = self.shared_node.pools[choice.target]
        session = pool.acquire(deadline_ns=deadline_ns)
        if isinstance(session, Refusal):
            return session
        self.shared_node.track_statement(choice.target, 1)
        started_ns = clock_ns()
        results = _run_all(session, request, started_ns)
        spent_ns = clock_ns() - started_ns
        self.shared_node.track_statement(choice.target, -1, spent_ns)
        usable = not isinstance(results, TargetFault) or results.is_answer
        pool.release(session, usable=usable)
        if isinstance(results, TargetFault):
            if not usable:
                pool.close_idle()
            return _to_refusal(results)
        return self._answer(request, choice, results, token)

    def _answer(
        self,
        request: StatementRequest,
        choice: ReadChoice | PrimaryChoice,
        results: tuple[dict[str, Any], ...],
        token: SessionToken,
    ) -> Answer | Refusal:
        if isinstance(choice, ReadChoice):
            point, role = choice.point, "replica"
            age_ms = -(-choice.age_ns // NS_PER_MS)
        elif self.shared_node.covers(request.group, choice.term):
            point, role = LogPoint(term=choice.term, position=0), "primary"
            age_ms = 0
        else:
            return Refusal(
                reason=Reason.LEASE_ENDED,
                step=Step.CONFIRM,
                peer=choice.target,
            )
        return Answer(
            results=results,
            token=self.tokens.encode(token),
            served_by=ServedBy(
                host=self.shared_node.node.host,
                target=choice.target,
                role=role,
                term=point.term,
                position=point.position,
                age_ms=age_ms,
            ),
        )


def _run_all(
    session: TargetSession, request: StatementRequest, now_ns: int
) -> tuple[dict[str, Any], ...] | TargetFault:
    attempt_deadline_ns = now_ns + READ_ATTEMPT_TIMEOUT_MS * NS_PER_MS
    session.set_deadline(min(request.deadline_ns, attempt_deadline_ns))
    results = []
    for statement in request.statements:
        result = session.read(statement.sql, statement.args)
        if isinstance(result, TargetFault):
            return result
        results.append(result_to_json(result))
    return tuple(results)


def _is_retryable(refusal: Refusal) -> bool:
    return refusal.reason in {
        Reason.CONNECTION_LOST,
        Reason.LEASE_ENDED,
        Reason.NO_CONNECTION,
    }


def _to_refusal(fault: TargetFault) -> Refusal:
    reason = Reason.CONNECTION_LOST
    if fault.kind is FaultKind.STATEMENT:
        reason = Reason.STATEMENT_FAILED
    return Refusal(
        reason=reason,
        step=Step.EXECUTE,
        peer=fault.peer,
        detail=fault.detail,
    )
