"""Relief of a primary whose replicas have fallen behind."""

from __future__ import annotations

import pytest

from rosemarysaddle.decide import (
    LogPoint,
    ProbeGroup,
    PromoteTarget,
    TargetReport,
)
from rosemarysaddle.decide.primaries._announced_choice import (
    CATCH_UP_TIMEOUT_MS,
)
from rosemarysaddle.decide.primaries._relief import (
    COOL_DOWN_MS,
    MIN_DURATION_MS,
    RELIEF_ATTEMPT,
    RETRY_MS,
    choose_relief,
)
from rosemarysaddle.decide.primaries._succession import (
    MAX_MISSING_WRITES,
)
from rosemarysaddle.schema import GroupClosed, ReplicasBehind
from tests.decide.announced_group import TARGETS, Harness

POSITION = 1_000
POINT = LogPoint(term=1, position=POSITION)
HOSTS = {"e1": "dc1", "e2": "dc2", "e3": "dc2"}


def _report(target: str, position: int = POSITION) -> TargetReport:
    return TargetReport(
        target=target,
        reachable=True,
        role="primary" if target == "t1" else "replica",
        term=1,
        position=position,
    )


def _complain(
    harness: Harness, duration_ms: int, hosts: dict[str, str] = HOSTS
) -> None:
    """Let hosts report once a second that replicas are behind."""
    for _ in range(0, duration_ms + 1, 1_000):
        term = harness.leader.state.terms["g"].term
        harness.renew("quiet", "dc1")
        for host, center in hosts.items():
            harness.renew(host, center)
            report = ReplicasBehind(
                host=host,
                group="g",
                term=term,
                point_term=1,
                point_position=POSITION,
            )
            harness.effects.extend(
                harness.leader.receive(host, report, harness.now_ns)
            )
        harness.elapse(1_000)


def _read_status(harness: Harness, *reports: TargetReport) -> None:
    attempt = harness.found(ProbeGroup)[-1].attempt
    harness.effects.extend(
        harness.leader.on_probe("g", attempt, reports, harness.now_ns)
    )


def _close(harness: Harness) -> None:
    for host in (*HOSTS, "quiet"):
        closed = GroupClosed(host=host, group="g", term=1)
        harness.effects.extend(
            harness.leader.receive(host, closed, harness.now_ns)
        )


def _was_probed(harness: Harness) -> bool:
    probes = harness.found(ProbeGroup)
    return any(p.attempt == RELIEF_ATTEMPT for p in probes)


def test_replica_that_received_all_writes_relieves_the_primary() -> None:
    # The primary served all reads of its group for as long as the
    # replicas were behind, up to 45 s, and refused half of them.
    harness = Harness.open()
    _complain(harness, MIN_DURATION_MS)
    _read_status(harness, _report("t2", POSITION - 1), _report("t3", 9))
    assert not harness.leader.state.terms["g"].is_open
    _close(harness)
    _read_status(harness, _report("t1"), _report("t2"), _report("t3", 9))

    assert harness.found(PromoteTarget)[-1].target == "t2"


def test_former_primary_stays_if_no_replica_received_its_last_write() -> None:
    # Guards against the loss of acknowledged writes for the sake of
    # reads.
    harness = Harness.open()
    _complain(harness, MIN_DURATION_MS)
    behind = [_report(t, POSITION - 1) for t in TARGETS[1:]]
    _read_status(harness, _report("t1"), *behind)
    _close(harness)
    for _ in range(0, CATCH_UP_TIMEOUT_MS + 1_000, 100):
        if harness.found(PromoteTarget):
            break
        _read_status(harness, _report("t1"), *behind)
        harness.elapse(100)

    assert harness.found(PromoteTarget)[-1].target == "t1"


@pytest.mark.parametrize(
    ("duration_ms", "hosts"),
    [
        (MIN_DURATION_MS - 2_000, HOSTS),
        (3 * MIN_DURATION_MS, {"e1": "dc1", "e2": "dc2"}),
        (3 * MIN_DURATION_MS, {"e1": "dc2", "e2": "dc2", "e3": "dc2"}),
    ],
    ids=["short", "few-hosts", "one-data-centre"],
)
def test_no_change_without_reports_of_many_hosts_for_long(
    duration_ms: int, hosts: dict[str, str]
) -> None:
    # Guards against a change for a host that is confused, or for
    # replicas that would have caught up before it ends.
    harness = Harness.open()
    _complain(harness, duration_ms, hosts)

    assert not _was_probed(harness)


def test_group_is_not_changed_again_soon() -> None:
    # Guards against changes one after the other while replicas stay
    # behind.
    harness = Harness.open()
    _complain(harness, MIN_DURATION_MS)
    _read_status(harness, _report("t2"))
    _close(harness)
    _read_status(harness, _report("t1"), _report("t2"))
    harness.promoted()
    harness.effects.clear()
    _complain(harness, COOL_DOWN_MS // 2)

    assert not _was_probed(harness)
    _complain(harness, COOL_DOWN_MS)
    assert _was_probed(harness)


def test_relief_is_tried_again_if_no_replica_could_be_chosen() -> None:
    # Replicas that have received nothing now may have later.
    harness = Harness.open()
    _complain(harness, MIN_DURATION_MS)
    _read_status(harness, _report("t2", 9), _report("t3", 9))
    harness.effects.clear()
    _complain(harness, RETRY_MS)

    assert harness.leader.state.terms["g"].is_open
    assert _was_probed(harness)


@pytest.mark.parametrize(
    ("reports", "chosen"),
    [
        ([_report("t1"), _report("t2"), _report("t3", 999)], "t2"),
        ([_report("t1"), _report("t2", 1), _report("t3", 998)], "t3"),
        ([_report("t2", POSITION - MAX_MISSING_WRITES)], "t2"),
        ([_report("t1"), _report("t2", 994), _report("t3", 994)], ""),
        ([_report("t1")], ""),
    ],
)
def test_replica_that_received_nearly_all_is_chosen(
    reports: list[TargetReport], chosen: str
) -> None:
    # A full primary does not answer; its position comes from the hosts.
    found = choose_relief(reports, leaving=(), point=POINT)

    assert found == chosen


def test_replica_that_leaves_or_has_another_term_is_not_chosen() -> None:
    reports = [_report(t) for t in TARGETS]

    leaving = choose_relief(reports, leaving={"t3"}, point=POINT)
    later = LogPoint(term=2, position=0)
    other_term = choose_relief(reports, leaving=(), point=later)

    assert (leaving, other_term) == ("t2", "")


def test_replica_whose_status_was_not_read_is_asked_again() -> None:
    # The former primary was opened again at once, and nothing was
    # gained by the change.
    harness = Harness.open()
    _complain(harness, MIN_DURATION_MS)
    _read_status(harness, _report("t2"))
    _close(harness)
    silent = TargetReport(target="t2", reachable=True)
    _read_status(harness, _report("t1"), silent)
    assert not harness.found(PromoteTarget)

    harness.elapse(100)
    _read_status(harness, _report("t1"), _report("t2"))

    assert harness.found(PromoteTarget)[-1].target == "t2"


@pytest.mark.parametrize(
    "former",
    [
        TargetReport(target="t1", reachable=False),
        TargetReport(target="t1", reachable=True),
    ],
    ids=["unreachable", "no-status"],
)
def test_replica_is_not_promoted_while_the_full_primary_is_not_read(
    former: TargetReport,
) -> None:
    # A full primary took no connection, and a replica without its last
    # writes was promoted in its place.
    harness = Harness.open()
    _complain(harness, MIN_DURATION_MS)
    _read_status(harness, _report("t2"))
    _close(harness)
    for _ in range(0, CATCH_UP_TIMEOUT_MS + 500, 100):
        _read_status(harness, former, _report("t2", POSITION - 1))
        harness.elapse(100)
    assert not harness.found(PromoteTarget)

    _read_status(harness, _report("t1"), _report("t2", POSITION - 1))

    assert harness.found(PromoteTarget)[-1].target == "t1"
