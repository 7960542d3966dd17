"""Outliers among targets: what callers get, and when levels change."""

from __future__ import annotations

import asyncio

import pytest

from rosemarysaddle._clock import clock_ns
from rosemarysaddle.decide import (
    NS_PER_MS,
    Answer,
    FaultCode,
    OutlierDetector,
    OutlierLevel,
    StatementSample,
)
from tests.session.outlier_targets import Behaviour, FakeGroup
from tests.session.standin import StandInTarget, make_router

NS_PER_S = 1_000 * NS_PER_MS
LATENCY_OBJECTIVE_MS = 1_000


def _slow(target: str, now_ms: float) -> float:
    return 8.0 if target == "t0" and now_ms > 3_000 else 1.0


def _all_slow(_target: str, now_ms: float) -> float:
    return 3.0 if now_ms > 3_000 else 1.0


def _flapping(target: str, now_ms: float) -> bool:
    return target == "t0" and now_ms > 3_000 and now_ms // 1_500 % 2 == 1


# Load in all cases: 117 reads/s of 24 ms; three targets serve 625/s.
UNAFFECTED = {
    "healthy": Behaviour(),
    "all-slow": Behaviour(factor=_all_slow),
    # Load balancing leaves a slow target because of its cost.
    "one-slow-8-times": Behaviour(factor=_slow),
    "lagging": Behaviour(failing={"t0": 1.0}, fault=FaultCode.BEHIND),
    "no-room": Behaviour(failing={"t0": 0.4}, fault=FaultCode.BUSY),
    "all-failing": Behaviour(failing=dict.fromkeys(("t0", "t1", "t2"), 0.2)),
}


@pytest.mark.parametrize("name", UNAFFECTED)
def test_reads_are_routed_as_before_where_no_target_stands_out(
    name: str,
) -> None:
    """Guards against a change of routing for healthy groups."""
    before = FakeGroup(behaviour=UNAFFECTED[name], detects=False).run()
    after = FakeGroup(behaviour=UNAFFECTED[name]).run()

    assert after.level_changes() == 0
    assert after.sent == before.sent
    assert after.latencies_ms == before.latencies_ms


@pytest.mark.parametrize(
    ("behaviour", "max_sent_share"),
    [
        (Behaviour(failing={"t0": 0.4}), 0.25),
        (Behaviour(failing={"t0": 0.4}, fault=FaultCode.LOST), 0.25),
        (Behaviour(is_down=_flapping), 0.25),
    ],
    ids=["fails-40-percent", "loses-40-percent", "down-and-up-every-1.5-s"],
)
def test_reads_leave_a_target_that_stands_out(
    behaviour: Behaviour, max_sent_share: float
) -> None:
    """Guards against reads that go on failing at one target."""
    before = FakeGroup(behaviour=behaviour, detects=False).run()
    after = FakeGroup(behaviour=behaviour).run()

    assert 0 < after.sent["t0"] < max_sent_share * before.sent["t0"]
    assert after.served_share() >= before.served_share()
    assert after.p99_ms() <= before.p99_ms() < LATENCY_OBJECTIVE_MS
    # Four hosts are near t0 and change levels a few times each: they do
    # not follow each of its nine outages.
    assert after.level_changes() <= 16


def _detector(targets: int = 3) -> OutlierDetector:
    detector = OutlierDetector()
    for number in range(targets):
        detector.add_target(f"t{number}", transfer_cost_ns=0)
    return detector


def _run(
    detector: OutlierDetector,
    failing: set[str],
    *,
    start_s: int,
    seconds: int,
) -> None:
    """Send each target 10 statements/s; ``failing`` fail half."""
    for tick in range(start_s * 10, (start_s + seconds) * 10):
        for target in ("t0", "t1", "t2"):
            is_failure = target in failing and tick % 2 == 0
            sample = StatementSample(
                target=target, fault=FaultCode.FAILED if is_failure else None
            )
            detector.record(sample, tick * NS_PER_S // 10)


def test_few_samples_eject_no_target() -> None:
    """Guards against a decision on two failures in a row."""
    detector = _detector()
    for target, fault in [
        ("t1", None),
        ("t1", None),
        ("t1", None),
        ("t0", FaultCode.FAILED),
        ("t0", FaultCode.FAILED),
    ]:
        detector.record(StatementSample(target=target, fault=fault), NS_PER_S)

    assert detector.level("t0") is OutlierLevel.NORMAL


@pytest.mark.parametrize(
    ("targets", "failing", "avoided"),
    [(3, {"t0"}, 1), (3, {"t0", "t1"}, 1), (2, {"t0"}, 0)],
)
def test_at_most_a_third_of_the_targets_is_avoided(
    targets: int, failing: set[str], avoided: int
) -> None:
    """Guards against moving all reads to what remains of a group."""
    detector = _detector(targets)
    _run(detector, failing, start_s=1, seconds=10)

    assert len(detector.penalties_ns()) <= avoided
    levels = [detector.level(f"t{number}") for number in range(targets)]
    assert sum(level is not OutlierLevel.NORMAL for level in levels) <= avoided


def test_reinstates_in_steps_and_later_after_a_relapse() -> None:
    """Guards against oscillation of a target that fails again."""
    detector = _detector()
    _run(detector, {"t0"}, start_s=1, seconds=5)
    assert detector.level("t0") is OutlierLevel.EJECTED
    _run(detector, set(), start_s=6, seconds=5)
    assert detector.level("t0") is OutlierLevel.REDUCED
    _run(detector, set(), start_s=11, seconds=4)
    assert detector.level("t0") is OutlierLevel.NORMAL

    _run(detector, {"t0"}, start_s=15, seconds=5)
    _run(detector, set(), start_s=20, seconds=8)
    assert detector.level("t0") is OutlierLevel.EJECTED
    _run(detector, set(), start_s=28, seconds=4)
    assert detector.level("t0") is OutlierLevel.REDUCED


def test_probes_are_a_bounded_share_of_the_reads() -> None:
    """Guards against callers who bear the cost of finding out."""
    detector = _detector()
    _run(detector, {"t0"}, start_s=1, seconds=5)
    probes = 0
    for number in range(480):
        now_ns = 6 * NS_PER_S + number * 100 * NS_PER_MS
        if detector.probe_candidate(now_ns):
            detector.take_probe(now_ns)
            probes += 1

    assert 5 <= probes <= 11


def _avoided_after(target: str, fault: FaultCode) -> set[str]:
    """Let a router record faults of one of three targets.

    :return: the targets that reads avoid after that
    """

    async def run() -> set[str]:
        targets = [
            StandInTarget(name=f"t{number}", port=17_981 + number)
            for number in range(3)
        ]
        router = make_router(targets)
        router.apply_view()
        for _ in range(20):
            for name in router.targets:
                answer = Answer(fault=fault if name == target else None)
                router.record_answer(
                    name,
                    answer,
                    asked_ns=clock_ns(),
                    was_leased_primary=False,
                )
        for pool in router.pools.values():
            pool.close()
        return set(router.outliers.avoided)

    return asyncio.run(run())


@pytest.mark.parametrize(
    ("fault", "avoided"),
    [(FaultCode.FAILED, {"t1"}), (FaultCode.BUSY, set())],
)
def test_router_judges_targets_by_their_answers(
    fault: FaultCode, avoided: set[str]
) -> None:
    """Guards against answers that do not reach the detection."""
    assert _avoided_after("t1", fault) == avoided
