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
    ("stored", "found"),
    [
        (["a", "b"], []),
        (["a"], ["b: stored 0 times"]),
        (["a", "b", "b"], ["b: stored 2 times"]),
        (["a", "b", "p"], ["p: stored in spite of a promise"]),
        (["a", "b", "unknown"], []),
    ],
    ids=["good", "lost", "doubled", "kept", "unknown"],
)
def test_find_violations(stored: list[str], found: list[str]) -> None:
    call_history = CallHistory(acknowledged={"a": 1, "b": 2}, rejected={"p"})

    assert find_violations(call_history, _log(*stored)) == found


def test_find_violations_passes_stale_reads_on() -> None:
    call_history = CallHistory(stale=["k read 1, had to see 2"])

    assert find_violations(call_history, []) == ["k read 1, had to see 2"]
