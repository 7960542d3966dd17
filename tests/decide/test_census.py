from __future__ import annotations

from rosemarysaddle.decide._census import GROW_MS, SHRINK_MS, Census
from rosemarysaddle.decide._times import NS_PER_MS


def _census() -> Census:
    census = Census()
    census.take_office(0)
    return census


def test_census_keeps_the_count_over_a_restart_of_all() -> None:
    census = _census()

    counts = [
        census.count(recorded=7, present=n, now_ns=n * NS_PER_MS)
        for n in range(8)
    ]

    assert counts == [7] * 8


def test_census_records_growth_in_steps() -> None:
    census = _census()

    first = census.count(recorded=0, present=1, now_ns=0)
    soon = census.count(recorded=1, present=4, now_ns=NS_PER_MS)
    later = census.count(recorded=1, present=7, now_ns=GROW_MS * NS_PER_MS)

    assert (first, soon, later) == (1, 1, 7)


def test_census_shrinks_after_a_long_span() -> None:
    census = _census()
    census.count(recorded=7, present=5, now_ns=NS_PER_MS)

    before = census.count(recorded=7, present=5, now_ns=2 * NS_PER_MS)
    after = census.count(recorded=7, present=4, now_ns=SHRINK_MS * NS_PER_MS)

    assert (before, after) == (7, 5)
