"""Loads of one target's queue, played without a network.

The thresholds are the objectives of docs/teams-and-load.md: an answer
within the latency objective, and no refusal that was held for longer
than a quarter of it.
"""

from __future__ import annotations

import functools

import pytest

from benchmarks.admission import (
    CAPACITY_PER_S,
    READ_OBJECTIVE_MS,
    WRITE_OBJECTIVE_MS,
    Result,
    Simulation,
    merge,
    play,
    team_rates,
)

USUAL_LOAD = 0.6
SERVED = 0.99


@functools.cache
def _played(load: str, order: str = "decided") -> Simulation:
    return play(load, order)


def _is_served(result: Result, objective_ms: int) -> bool:
    return (
        result.served_share >= SERVED
        and result.percentile(0.99) <= objective_ms
    )


def _median(values: list[float]) -> float:
    return sorted(values)[len(values) // 2]


def test_hot_team_at_eight_times_its_load_delays_itself_only() -> None:
    # One team's flood delayed and displaced all others.
    before = _played("hot_team", "arrival").results
    after = _played("hot_team").results

    others = [t for t in after if t != "t03"]
    assert all(_is_served(after[t], WRITE_OBJECTIVE_MS) for t in others)
    assert not any(_is_served(before[t], WRITE_OBJECTIVE_MS) for t in others)
    # The hot team gets at least an equal share of the 20 s.
    equal_share = 20 * CAPACITY_PER_S / len(after)
    assert len(after["t03"].latencies_ms) >= equal_share


def test_hot_team_is_refused_at_once() -> None:
    result = _played("hot_team").results["t03"]

    assert result.refusals
    assert _median(result.refusals) <= WRITE_OBJECTIVE_MS / 4


def test_120_idle_transactions_leave_statements_served() -> None:
    results = _played("idle_transactions").results

    assert _is_served(results["others"], WRITE_OBJECTIVE_MS)
    # All but the first to wait were held until their deadline.
    assert _median(results["idle"].refusals) <= WRITE_OBJECTIVE_MS / 4


def test_lost_slots_of_a_target_delay_the_lower_priority() -> None:
    results = _played("lost_slots").results

    assert _is_served(results["writes"], WRITE_OBJECTIVE_MS)
    assert _median(results["reads"].refusals) <= READ_OBJECTIVE_MS / 4


def test_second_window_after_all_callers_return_is_at_the_usual_level() -> (
    None
):
    ends_ms = _played("all_return").ends_ms

    served = sum(2_000 <= end_ms < 4_000 for end_ms in ends_ms)
    assert served >= 0.9 * 2 * USUAL_LOAD * CAPACITY_PER_S


def test_small_ones_of_83_teams_are_served_at_1_5_times_the_capacity() -> None:
    # The overload is that of the teams above an equal share.
    rates = team_rates(83, 1.5)
    equal_share = CAPACITY_PER_S / len(rates)
    small = [t for t, rate in rates.items() if rate <= equal_share]
    assert len(small) > len(rates) / 2
    before = _played("many_teams", "arrival").results
    after = _played("many_teams").results

    # Each of them has too few operations for a percentile of its own.
    assert _is_served(merge(after[t] for t in small), WRITE_OBJECTIVE_MS)
    assert min(after[t].served_share for t in small) >= 0.9
    total = sum(r.in_time for r in after.values())
    assert total > sum(r.in_time for r in before.values())


@pytest.mark.parametrize("load", ["hot_team", "many_teams", "lost_slots"])
def test_fewer_refusals_are_late_than_with_an_assumed_rate(load: str) -> None:
    def late(order: str) -> int:
        results = _played(load, order).results
        return sum(r.late_refusals for r in results.values())

    assert late("decided") < late("arrival")
