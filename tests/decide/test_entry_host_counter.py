from __future__ import annotations

from rosemarysaddle.decide._times import NS_PER_MS
from rosemarysaddle.decide.leases._entry_host_counter import (
    GROW_INTERVAL_MS,
    SHRINK_WINDOW_MS,
    EntryHostCounter,
)


def _entry_host_counter() -> EntryHostCounter:
    counter = EntryHostCounter()
    counter.on_elected(0)
    return counter


def test_count_is_kept_over_a_restart_of_all_hosts() -> None:
    counter = _entry_host_counter()

    counts = [
        counter.count(recorded=7, present=n, now_ns=n * NS_PER_MS)
        for n in range(8)
    ]

    assert counts == [7] * 8


def test_count_grows_at_most_once_per_interval() -> None:
    counter = _entry_host_counter()

    first = counter.count(recorded=0, present=1, now_ns=0)
    soon = counter.count(recorded=1, present=4, now_ns=NS_PER_MS)
    later = counter.count(
        recorded=1, present=7, now_ns=GROW_INTERVAL_MS * NS_PER_MS
    )

    assert (first, soon, later) == (1, 1, 7)


def test_count_shrinks_to_the_peak_of_a_whole_window() -> None:
    counter = _entry_host_counter()
    counter.count(recorded=7, present=5, now_ns=NS_PER_MS)

    before = counter.count(recorded=7, present=5, now_ns=2 * NS_PER_MS)
    after = counter.count(
        recorded=7, present=4, now_ns=SHRINK_WINDOW_MS * NS_PER_MS
    )

    assert (before, after) == (7, 5)
