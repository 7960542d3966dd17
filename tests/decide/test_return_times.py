"""Tests of the times that refused callers are told."""

from __future__ import annotations

from rosemarysaddle.decide import NS_PER_MS, DemandRate, ReturnTimes
from rosemarysaddle.decide.load._return_times import MAX_RETURN_MS

NOW_NS = 10_000 * NS_PER_MS


def _times(tokens: int) -> ReturnTimes:
    granted = DemandRate(updated_ns=NOW_NS)
    if tokens:
        granted.record(tokens, NOW_NS)
    return ReturnTimes(granted=granted)


def test_callers_are_told_successive_times() -> None:
    """Guards against callers that all come back for one token."""
    times = _times(10)

    told_ms = [times.next_ms(NOW_NS + 50 * NS_PER_MS, NOW_NS) for _ in "abc"]

    assert told_ms == [50, 150, 250]


def test_caller_is_told_the_next_token_without_others() -> None:
    """Guards against times that count callers that have returned."""
    times = _times(10)
    times.next_ms(NOW_NS, NOW_NS)
    later_ns = NOW_NS + 1_000 * NS_PER_MS

    assert times.next_ms(later_ns + 20 * NS_PER_MS, later_ns) == 20


def test_time_is_bounded() -> None:
    """Guards against callers that never come back."""
    times = _times(1)

    told_ms = [times.next_ms(NOW_NS, NOW_NS) for _ in range(9)]

    assert max(told_ms) == MAX_RETURN_MS


def test_host_without_tokens_tells_when_one_is_expected() -> None:
    """Guards against a division by a rate that is not known."""
    times = _times(0)

    assert times.next_ms(NOW_NS + 70 * NS_PER_MS, NOW_NS) == 70
