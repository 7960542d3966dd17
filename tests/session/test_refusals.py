from __future__ import annotations

import pytest

from rosemarysaddle.decide import Answer, FaultCode, Outcome, Reason
from rosemarysaddle.session._refusals import not_run_refusal


@pytest.mark.parametrize(
    ("fault", "has_primary", "reason"),
    [
        (FaultCode.BUSY, True, Reason.TARGET_BUSY),
        (FaultCode.TOO_MANY_CONNECTIONS, True, Reason.TARGET_BUSY),
        (FaultCode.BEHIND, True, Reason.REPLICAS_BEHIND),
        (FaultCode.READ_ONLY, True, Reason.NO_PRIMARY),
        (FaultCode.LOST, True, Reason.CONNECTION_LOST),
        (FaultCode.WRONG_TARGET, True, Reason.NO_CONNECTION),
        (None, True, Reason.NO_CONNECTION),
        (None, False, Reason.NO_PRIMARY),
    ],
)
def test_refusal_names_what_kept_the_statement_from_running(
    fault: FaultCode | None, has_primary: bool, reason: Reason
) -> None:
    # Refusals of reads whose replicas were behind named a missing
    # primary, although it was known and leased.
    last = Answer(fault=fault) if fault is not None else None

    refusal = not_run_refusal("g", last, has_primary=has_primary)

    assert refusal.reason is reason
    assert refusal.outcome is Outcome.NOT_RUN
    assert refusal.retry_after_ms > 0
