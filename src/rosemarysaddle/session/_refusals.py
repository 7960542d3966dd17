"""Refusals of sessions: what is promised, and when to come back."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from rosemarysaddle.decide import FaultCode, Outcome, Reason, Refusal, Step

if TYPE_CHECKING:
    from rosemarysaddle.decide import Answer
    from rosemarysaddle.schema import Route
    from rosemarysaddle.session._runner import Transaction

__all__ = (
    "not_run_refusal",
    "read_refusal",
    "transaction_ended",
    "unknown_outcome",
    "write_refusal",
)

# A change of primary or a shed queue is mostly over by then.
RETRY_AFTER_MS: Final = 200
# Why the last try came to nothing; else no target was to be had.
_REASONS: Final[dict[FaultCode | None, Reason]] = {
    FaultCode.BUSY: Reason.TARGET_BUSY,
    FaultCode.TOO_MANY_CONNECTIONS: Reason.TARGET_BUSY,
    FaultCode.LOST: Reason.CONNECTION_LOST,
    FaultCode.TIMEOUT: Reason.CONNECTION_LOST,
}


def read_refusal(route: Route, last: Answer | None) -> Refusal:
    """Refuse a read for good.

    :param last: answer of the last try, or None
    """
    if last is not None and last.fault is FaultCode.FAILED:
        return Refusal(
            reason=Reason.STATEMENT_FAILED, step=Step.EXECUTE, peer=route.group
        )
    # A read keeps nothing, whether it ran or not.
    return not_run_refusal(route.group, last)


def not_run_refusal(group: str, last: Answer | None) -> Refusal:
    """Promise that nothing was run, with a time to come back."""
    fault = last.fault if last is not None else None
    return Refusal(
        reason=_REASONS.get(fault, Reason.NO_PRIMARY),
        step=Step.EXECUTE,
        peer=group,
        retry_after_ms=RETRY_AFTER_MS,
    )


def write_refusal(route: Route, answer: Answer) -> Refusal:
    """Tell the end of a write that may have run."""
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
    """Promise nothing."""
    return Refusal(
        reason=reason, step=step, peer=peer, outcome=Outcome.UNKNOWN
    )


def transaction_ended(transaction: Transaction) -> Refusal:
    """Promise that nothing of a transaction is kept."""
    return Refusal(
        reason=Reason.TRANSACTION_ENDED,
        step=Step.EXECUTE,
        peer=transaction.target or transaction.route.group,
        retry_after_ms=RETRY_AFTER_MS,
    )
