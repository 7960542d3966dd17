"""Refusals of statements.

A refusal states what is known about the outcome of a statement and when
the caller may retry it.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from rosemarysaddle.decide import FaultCode, Outcome, Reason, Refusal, Step

if TYPE_CHECKING:
    from rosemarysaddle.decide import Answer
    from rosemarysaddle.schema import Route
    from rosemarysaddle.session._transaction import Transaction

__all__ = (
    "bad_request",
    "defect",
    "key_revoked",
    "lost_transaction",
    "no_configuration",
    "not_run_refusal",
    "read_refusal",
    "stopping",
    "transaction_ended",
    "unknown_database",
    "unknown_key",
    "unknown_outcome",
    "unknown_prepared",
    "view_outdated",
    "write_refusal",
)

# By then a change of primary is usually complete.  A refusal by the
# queue of a target brings the time that it has measured.
RETRY_AFTER_MS: Final = 200
# The retry reaches another host.
RETRY_ELSEWHERE_MS: Final = 50
# Reason of the refusal by the fault of the last attempt.  After any
# other fault, or without an attempt, no target took the statement.
_REASON_BY_FAULT: Final[dict[FaultCode | None, Reason]] = {
    FaultCode.BUSY: Reason.TARGET_BUSY,
    FaultCode.TOO_MANY_CONNECTIONS: Reason.TARGET_BUSY,
    FaultCode.LOST: Reason.CONNECTION_LOST,
    FaultCode.TIMEOUT: Reason.CONNECTION_LOST,
    FaultCode.BEHIND: Reason.REPLICAS_BEHIND,
    FaultCode.READ_ONLY: Reason.NO_PRIMARY,
}


def read_refusal(
    route: Route, last: Answer | None, *, has_primary: bool
) -> Refusal:
    """Build the refusal of a read that is not attempted again.

    :param last: answer to the last attempt, or None
    :param has_primary: whether the primary of the group is known
    """
    if last is not None and last.fault is FaultCode.FAILED:
        return Refusal(
            reason=Reason.STATEMENT_FAILED, step=Step.EXECUTE, peer=route.group
        )
    # A read has no effect, whether it was run or not.
    return not_run_refusal(route.group, last, has_primary=has_primary)


def not_run_refusal(
    group: str, last: Answer | None, *, has_primary: bool
) -> Refusal:
    """Build a refusal that guarantees that nothing was run.

    :param last: answer to the last attempt, or None
    :param has_primary: whether the primary of the group is known
    """
    no_target = Reason.NO_CONNECTION if has_primary else Reason.NO_PRIMARY
    fault = last.fault if last is not None else None
    measured_ms = last.retry_after_ms if last is not None else 0
    return Refusal(
        reason=_REASON_BY_FAULT.get(fault, no_target),
        step=Step.EXECUTE,
        peer=group,
        retry_after_ms=measured_ms or RETRY_AFTER_MS,
    )


def write_refusal(route: Route, answer: Answer) -> Refusal:
    """Build the refusal of a write that may have been run."""
    if answer.fault is FaultCode.TIMEOUT:
        return unknown_outcome(
            Reason.DEADLINE_PASSED, Step.EXECUTE, route.group
        )
    if answer.fault is FaultCode.FAILED:
        return Refusal(
            reason=Reason.STATEMENT_FAILED, step=Step.EXECUTE, peer=route.group
        )
    return unknown_outcome(Reason.CONNECTION_LOST, Step.EXECUTE, route.group)


def unknown_outcome(reason: Reason, step: Step, peer: str) -> Refusal:
    """Build the refusal of a statement that may have taken effect."""
    return Refusal(
        reason=reason, step=step, peer=peer, outcome=Outcome.UNKNOWN
    )


def unknown_key(database: str) -> Refusal:
    """Build the refusal of a session whose key no team holds."""
    return Refusal(
        reason=Reason.UNKNOWN_KEY, step=Step.AUTHORIZE, peer=database
    )


def key_revoked(database: str, step: Step) -> Refusal:
    """Build the refusal of a statement whose key was removed.

    :param step: AUTHORIZE outside of a transaction; EXECUTE or COMMIT
        in one, which was rolled back
    """
    return Refusal(reason=Reason.KEY_REVOKED, step=step, peer=database)


def view_outdated(database: str, *, step: Step = Step.AUTHORIZE) -> Refusal:
    """Build the refusal of an operation for want of a recent plan.

    :param step: whether its key or its route cannot be checked
    """
    return Refusal(
        reason=Reason.NO_LEASE,
        step=step,
        peer=database,
        retry_after_ms=RETRY_AFTER_MS,
    )


def transaction_ended(transaction: Transaction) -> Refusal:
    """Build a refusal that guarantees a transaction has no effect."""
    return Refusal(
        reason=Reason.TRANSACTION_ENDED,
        step=Step.EXECUTE,
        peer=transaction.target or transaction.route.group,
        retry_after_ms=transaction.retry_after_ms or RETRY_AFTER_MS,
    )


def lost_transaction() -> Refusal:
    """Build the refusal to commit a transaction that ended before."""
    return Refusal(reason=Reason.TRANSACTION_ENDED, step=Step.COMMIT, peer="-")


def bad_request(peer: str) -> Refusal:
    """Build the refusal of a message that is malformed or out of order.

    :param peer: what is wrong, as there is no peer to name
    """
    return Refusal(reason=Reason.BAD_REQUEST, step=Step.DECODE, peer=peer)


def unknown_prepared(name: str) -> Refusal:
    """Build the refusal of a name that the session has not prepared."""
    return Refusal(reason=Reason.UNKNOWN_PREPARED, step=Step.ROUTE, peer=name)


def unknown_database(database: str) -> Refusal:
    """Build the refusal of a database that the plan lacks."""
    return Refusal(
        reason=Reason.UNKNOWN_DATABASE, step=Step.ROUTE, peer=database
    )


def no_configuration(retry_after_ms: int) -> Refusal:
    """Build the refusal of a session before this host has a plan.

    :param retry_after_ms: time after which a retry may succeed
    """
    return Refusal(
        reason=Reason.NO_CONFIGURATION,
        step=Step.ROUTE,
        peer="control",
        retry_after_ms=retry_after_ms,
    )


def stopping(host: str, outcome: Outcome) -> Refusal:
    """Build the refusal of a host that stops; another one serves."""
    is_not_run = outcome is Outcome.NOT_RUN
    return Refusal(
        reason=Reason.STOPPING,
        step=Step.ADMIT,
        peer=host,
        outcome=outcome,
        retry_after_ms=RETRY_ELSEWHERE_MS if is_not_run else 0,
    )


def defect(outcome: Outcome) -> Refusal:
    """Build the answer to a statement whose handling raised."""
    return Refusal(
        reason=Reason.DEFECT, step=Step.EXECUTE, peer="-", outcome=outcome
    )
