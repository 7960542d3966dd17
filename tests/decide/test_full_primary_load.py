"""Load of a primary that serves all statements of its group.

Plays what callers get with the rules in force and with those before:
order of arrival, windows that the slots do not bound, and transactions
that are not counted.
"""

from __future__ import annotations

import functools

import pytest

from benchmarks.full_primary import POLICIES, Result, Simulation
from rosemarysaddle.decide.load._fair_order import MAX_PASSES

OVERLOADS_PER_S = (150, 268)
USUAL_RATE_PER_S = 100
# Earlier deployments may be served worse by this much at most.
TOLERANCE = 0.03


@functools.cache
def _played(policy: str, rate_per_s: float) -> dict[str, Result]:
    simulation = Simulation(policy=POLICIES[policy], rate_per_s=rate_per_s)
    return simulation.play()


@pytest.mark.parametrize("rate_per_s", OVERLOADS_PER_S)
def test_more_callers_are_served_under_overload(rate_per_s: float) -> None:
    # Operations that may wait for long displaced the many short ones.
    before = _played("as before", rate_per_s)
    after = _played("all", rate_per_s)

    def total(results: dict[str, Result]) -> tuple[int, int]:
        return (
            sum(r.served for r in results.values()),
            sum(r.in_time for r in results.values()),
        )

    served_before, in_time_before = total(before)
    served, in_time = total(after)
    assert served > served_before
    assert in_time > in_time_before


def test_no_class_is_starved_under_overload() -> None:
    # The oldest operation goes next after MAX_PASSES shorter ones.
    results = _played("all", max(OVERLOADS_PER_S))

    served = sum(r.served for r in results.values())
    assert min(r.served for r in results.values()) >= served / (MAX_PASSES + 1)


@pytest.mark.parametrize("rate_per_s", OVERLOADS_PER_S)
def test_most_refusals_come_at_once(rate_per_s: float) -> None:
    # Guards against callers that are held for the sake of a connection
    # that they do not get.
    results = _played("all", rate_per_s).values()

    late = sum(r.late_refusals for r in results)
    assert late < 0.5 * sum(r.refusals for r in results)


def test_usual_load_is_served_as_before() -> None:
    before = _played("as before", USUAL_RATE_PER_S)
    after = _played("all", USUAL_RATE_PER_S)

    for name, result in after.items():
        assert result.served_share >= before[name].served_share - TOLERANCE
        assert result.in_time_share >= before[name].in_time_share - TOLERANCE
