from __future__ import annotations

import pytest

from rosemarysaddle.soak import CallHistory, find_violations
from rosemarysaddle.soak._targets import Entry


def _log(*request_ids: str) -> list[Entry]:
    return [
        Entry(request_id=request_id, key="k", value=number)
        for number, request_id in enumerate(request_ids)
    ]


@pytest.mark.parametrize(
    ("stored", "violations"),
    [
        (["a", "b"], []),
        (["a"], ["b: stored 0 times"]),
        (["a", "b", "b"], ["b: stored 2 times"]),
        (["a", "b", "p"], ["p: stored although it was rejected"]),
        (["a", "b", "unknown"], []),
    ],
    ids=["good", "lost", "doubled", "rejected", "unknown"],
)
def test_find_violations_reports_lost_doubled_and_rejected_writes(
    stored: list[str], violations: list[str]
) -> None:
    call_history = CallHistory(acknowledged={"a": 1, "b": 2}, rejected={"p"})

    assert find_violations(call_history, _log(*stored)) == violations


def test_find_violations_includes_stale_reads() -> None:
    call_history = CallHistory(stale=["k read 1, expected at least 2"])

    assert find_violations(call_history, []) == [
        "k read 1, expected at least 2"
    ]
