from __future__ import annotations

import attrs
import pytest

from rosemarysaddle.decide import (
    NS_PER_MS,
    LogPoint,
    ReadConstraints,
    TargetState,
    choose_target,
    compute_transfer_cost_ns,
)
from rosemarysaddle.decide.load._load_balancing import (
    LAGGING_MS,
    WAIT_HALF_LIFE_MS,
)

REGIONS = {"a1": "a", "a2": "a", "b1": "b", "b2": "b"}
CENTERS = {"own": "a1", "near": "a2", "far": "b1"}


def _target(name: str, running: int = 0) -> TargetState:
    return TargetState(
        target=name,
        group="g",
        address="",
        transfer_cost_ns=compute_transfer_cost_ns(
            "a1", CENTERS[name], REGIONS
        ),
        slots=2,
        running=running,
    )


@pytest.mark.parametrize(
    ("running", "chosen"),
    [
        ({"own": 0, "near": 0, "far": 0}, "own"),
        ({"own": 1, "near": 0, "far": 0}, "own"),
        ({"own": 9, "near": 0, "far": 0}, "near"),
        ({"own": 9, "near": 1, "far": 0}, "near"),
        ({"own": 20, "near": 20, "far": 0}, "far"),
        ({"near": 0, "far": 0}, "near"),
        ({"far": 5}, "far"),
    ],
)
def test_choose_target_spills_over_to_own_region_first(
    running: dict[str, int], chosen: str
) -> None:
    targets = [_target(name, count) for name, count in running.items()]
    need = ReadConstraints(
        point=LogPoint(term=1, position=1),
        primary="",
        excluded=(),
        now_ns=0,
    )

    found = choose_target(targets, need)

    assert found is not None
    assert found.target == chosen


def test_transfer_cost_treats_unknown_region_as_another_region() -> None:
    assert compute_transfer_cost_ns("a1", "x", {}) == compute_transfer_cost_ns(
        "a1", "b1", REGIONS
    )


def test_target_that_is_down_is_chosen_if_no_other_may_serve() -> None:
    # A primary that was only full was left out, so that reads which it
    # alone could serve waited for nothing and were refused.
    full, other = _target("own"), _target("near")
    full.mark_down(0)
    need = ReadConstraints(point=None, primary="own", excluded=(), now_ns=0)

    assert choose_target([full, other], need) is full


def test_target_that_is_down_is_avoided_while_another_may_serve() -> None:
    down, other = _target("own"), _target("far")
    down.mark_down(0)
    need = ReadConstraints(
        point=LogPoint(term=1, position=1), primary="", excluded=(), now_ns=0
    )

    assert choose_target([down, other], need) is other


def test_unreachable_target_is_not_chosen() -> None:
    target = _target("own")
    target.is_unreachable = True
    need = ReadConstraints(point=None, primary="own", excluded=(), now_ns=0)

    assert choose_target([target], need) is None


def test_wait_at_the_lender_moves_reads_to_another_region() -> None:
    # A target whose queue is at its lender answers what it runs as fast
    # as an idle one.
    full, far = _target("own"), _target("far")
    need = ReadConstraints(
        point=LogPoint(term=1, position=1), primary="", excluded=(), now_ns=0
    )
    full.record_wait(200 * NS_PER_MS, 0)
    chosen = choose_target([full, far], need)
    later = attrs.evolve(need, now_ns=5 * WAIT_HALF_LIFE_MS * NS_PER_MS)

    assert chosen is far
    assert choose_target([full, far], later) is full


def test_replica_that_stays_behind_is_asked_less_often() -> None:
    # With hundreds of reads per second at 76 hosts, every read asked
    # both replicas before it went to the primary.
    target = _target("own")
    asked_ms = []
    for now_ms in range(1, 10_000):
        now_ns = now_ms * NS_PER_MS
        if now_ns >= target.lagging_until_ns:
            target.mark_lagging(now_ns)
            asked_ms.append(now_ms)

    assert asked_ms[:4] == [1, 151, 451, 1_051]
    assert len(asked_ms) <= 12


def test_replica_that_has_caught_up_is_asked_as_often_as_at_first() -> None:
    target = _target("own")
    for now_ms in (0, 200, 600):
        target.mark_lagging(now_ms * NS_PER_MS)
    target.behind_ns = 0
    target.mark_lagging(5_000 * NS_PER_MS)

    assert target.lagging_until_ns == (5_000 + LAGGING_MS) * NS_PER_MS
