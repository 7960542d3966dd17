"""Log positions that reads have to carry."""

from __future__ import annotations

from rosemarysaddle.decide import LogPoint, PositionHistory
from tests.helpers import NS_PER_MS

NEWEST = LogPoint(term=2, position=84)
EARLIER_TERM = LogPoint(term=1, position=95)


def _history() -> PositionHistory:
    history = PositionHistory()
    history.add_sample(1_000 * NS_PER_MS, NEWEST)
    return history


def test_position_of_an_earlier_term_is_refused() -> None:
    """Guards against bounds that the log of an old primary sets."""
    history = _history()

    for recorded_term in (0, 2):
        assert not history.add_sample(
            2_000 * NS_PER_MS, EARLIER_TERM, recorded_term=recorded_term
        )

    assert history.newest() == NEWEST
    assert history.newest_ns() == 1_000 * NS_PER_MS


def test_position_of_a_later_promotion_replaces_what_was_rolled_back() -> None:
    """Guards against a group whose reads wait for its next write."""
    history = _history()

    assert history.add_sample(1_001 * NS_PER_MS, EARLIER_TERM, recorded_term=3)

    assert history.newest() == EARLIER_TERM
