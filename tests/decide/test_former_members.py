"""Members that are gone and may hold acknowledged writes."""

from __future__ import annotations

import json
from typing import Any

import attrs
import pytest

from rosemarysaddle.decide import (
    CheckEnded,
    ClusterState,
    LogDecision,
    ProbeGroup,
    TargetReport,
)
from rosemarysaddle.decide.primaries._criteria import SuccessorCriteria
from rosemarysaddle.decide.primaries._former_members import (
    FormerMember,
    find_continued,
)
from rosemarysaddle.decide.primaries._registry import TargetRecord
from rosemarysaddle.decide.primaries._succession import (
    choose_successor,
)
from rosemarysaddle.decide.primaries._terms import GroupTerm
from tests.decide.announced_group import PLAN, Harness

MEMBER = FormerMember(
    target="b", incarnation_ms=1, address="127.0.0.2:1", was_leaving=True
)


def _record(target: str, address: str) -> TargetRecord:
    return TargetRecord(
        target=target,
        group="g",
        address=address,
        data_center="dc",
        slots=2,
        incarnation_ms=2,
        leaving=False,
    )


def _report(target: str, position: int, *, role: str = "replica") -> Any:
    return TargetReport(
        target=target, reachable=True, role=role, term=1, position=position
    )


def _choose(
    members: list[FormerMember],
    records: list[TargetRecord],
    reports: list[TargetReport],
    *,
    held_by: int = 1,
) -> str | None:
    criteria = SuccessorCriteria.of_group(
        GroupTerm(
            term=3,
            primary="a",
            is_open=False,
            target_term=1,
            served_by="a",
            served_in=3,
        ),
        records,
        allow_lagging=True,
        sync_replicas=1,
        held_by=held_by,
        former_members=members,
    )
    choice = choose_successor(reports, criteria)
    return None if choice is None else choice.target


C = _record("c", "127.0.0.3:1")
SUCCESSOR = _record("b2", MEMBER.address)


@pytest.mark.parametrize(
    ("members", "records", "reports", "chosen"),
    [
        pytest.param([], [C], [_report("c", 7)], "c", id="all-are-there"),
        pytest.param([MEMBER], [C], [_report("c", 7)], None, id="one-left"),
        pytest.param(
            [MEMBER],
            [C, SUCCESSOR],
            [_report("c", 7), _report("b2", 9)],
            "b2",
            id="its-successor-has-its-log",
        ),
        pytest.param(
            [attrs.evolve(MEMBER, was_leaving=False)],
            [C, SUCCESSOR],
            [_report("c", 7), _report("b2", 9)],
            None,
            id="it-crashed-and-another-took-its-address",
        ),
        pytest.param(
            [attrs.evolve(MEMBER, target="b2")],
            [C, SUCCESSOR],
            [_report("c", 7), _report("b2", 0)],
            None,
            id="it-started-again-with-nothing",
        ),
        pytest.param(
            [attrs.evolve(MEMBER, led_term=1)],
            [C],
            [_report("c", 7)],
            "c",
            id="the-primary-needs-a-replica-anyway",
        ),
    ],
)
def test_successor_is_chosen_among_all_that_may_hold_writes(
    members: list[FormerMember],
    records: list[TargetRecord],
    reports: list[TargetReport],
    chosen: str | None,
) -> None:
    """Guards against counting those only that are registered now."""
    assert _choose(members, records, reports) == chosen


def test_writes_of_a_plan_without_synchronous_replicas_need_all() -> None:
    """Guards against counting on replicas that were not waited for."""
    records = [C, _record("d", "127.0.0.4:1")]

    assert _choose([], records, [_report("c", 7)], held_by=0) is None
    reports = [_report("c", 7), _report("d", 6)]
    assert _choose([], records, reports, held_by=0) == "c"


def test_log_is_not_handed_on_past_one_that_crashed() -> None:
    """Guards against a log that was lost on the way."""
    crashed = attrs.evolve(MEMBER, target="b2", was_leaving=False)
    last = attrs.evolve(MEMBER, target="b3")
    record = _record("b4", MEMBER.address)

    assert find_continued(record, [MEMBER, crashed, last]) == [last]


def _open_group(sync_replicas: int = 1) -> Harness:
    harness = Harness.open()
    _set_sync_replicas(harness, sync_replicas, version=5)
    return harness


def _set_sync_replicas(harness: Harness, count: int, *, version: int) -> None:
    plan = json.loads(PLAN)
    plan["version"] = version
    plan["groups"] = [{"name": "g", "sync_replicas": count}]
    harness.plan(json.dumps(plan), version=version)


def _former(harness: Harness) -> list[str]:
    members = harness.leader.state.former_members.of_group("g")
    return [member.target for member in members]


def _answer(harness: Harness, **positions: int) -> None:
    reports = [
        attrs.evolve(
            _report(t, n, role="primary" if t == "t1" else "replica"),
            asked_ns=harness.now_ns,
        )
        for t, n in positions.items()
    ]
    harness.answer(*reports)


@pytest.mark.parametrize("sync_replicas", [0, 1])
def test_member_that_left_is_kept_where_replicas_are_waited_for(
    sync_replicas: int,
) -> None:
    """Guards against state without an end in other groups."""
    harness = _open_group(sync_replicas)

    harness.announce("t2", gone=True)

    assert _former(harness) == ["t2"] * sync_replicas


def test_member_counts_until_others_have_reached_the_primary() -> None:
    """Guards against members that are dropped too soon, or never."""
    harness = _open_group()
    harness.announce("t2", gone=True)
    harness.elapse(100)
    harness.end_members("t2")
    harness.elapse(100)

    _answer(harness, t1=9, t3=8)
    was_kept = _former(harness)
    harness.elapse(100)
    _answer(harness, t1=12, t3=9)

    assert was_kept == ["t2"]
    assert not _former(harness)
    assert any(
        e.event == "former-members-dropped" for e in harness.found(LogDecision)
    )


def test_member_that_goes_on_after_its_leave_call_counts() -> None:
    """Guards against an end that nothing has shown."""
    harness = _open_group()
    harness.announce("t2", gone=True)
    for _ in range(20):
        harness.elapse(500)
        harness.end_members()
        _answer(harness, t1=9, t3=9)
    was_kept = _former(harness)

    harness.elapse(60_000)
    harness.end_members("t2")
    harness.elapse(100)
    _answer(harness, t1=9, t3=9)

    assert was_kept == ["t2"]
    assert not _former(harness)


def test_address_without_an_answer_is_read_less_and_less_often() -> None:
    """Guards against connections without an end to a lost host."""
    harness = _open_group()
    harness.announce("t2", gone=True)
    harness.effects.clear()

    for _ in range(600):
        harness.elapse(500)
        if harness.found(CheckEnded):
            harness.end_members()

    assert _former(harness) == ["t2"]
    assert len(harness.found(CheckEnded)) < 20


def test_member_that_started_again_has_ended() -> None:
    """Guards against asking an address for a former incarnation."""
    harness = _open_group()
    harness.announce("t2", incarnation_ms=2)
    harness.elapse(100)

    _answer(harness, t1=9, t2=9, t3=9)

    assert not _former(harness)


def test_position_from_before_the_end_of_a_member_proves_nothing() -> None:
    """Guards against writes that it acknowledged on its way out."""
    harness = _open_group()
    harness.announce("t2", gone=True)
    harness.elapse(100)
    asked_ns = harness.now_ns - 1
    harness.end_members("t2")
    reports = [
        attrs.evolve(_report("t1", 9, role="primary"), asked_ns=asked_ns),
        attrs.evolve(_report("t3", 9), asked_ns=harness.now_ns),
    ]

    harness.answer(*reports)

    assert _former(harness) == ["t2"]


def test_lagging_replica_is_read_less_and_less_often() -> None:
    """Guards against status requests without an end."""
    harness = _open_group()
    harness.announce("t2", gone=True)
    harness.elapse(100)
    harness.end_members("t2")
    harness.effects.clear()

    for _ in range(20):
        harness.elapse(500)
        if harness.found(ProbeGroup):
            _answer(harness, t1=9, t3=1)

    assert _former(harness) == ["t2"]
    assert len(harness.found(ProbeGroup)) < 12


def test_former_members_outlive_a_snapshot() -> None:
    """Guards against a host that knows less after a restart."""
    harness = _open_group()
    harness.announce("t2", gone=True)
    state = harness.leader.state

    loaded = ClusterState.load(state.dump())

    assert loaded.former_members == state.former_members
    assert _former(harness) == ["t2"]


def test_raised_number_of_replicas_counts_once_it_is_confirmed() -> None:
    """Guards against counting on replicas that writes did not need."""
    harness = _open_group(0)
    _set_sync_replicas(harness, 1, version=6)
    members = harness.leader.state.former_members
    before = members.sync_replicas("g", 1)

    harness.elapse(100)
    _answer(harness, t1=9, t2=8, t3=9)
    harness.elapse(100)
    _answer(harness, t1=9, t2=9, t3=9)

    assert (before, members.sync_replicas("g", 1)) == (0, 1)
    _set_sync_replicas(harness, 0, version=7)
    assert not members.groups


def test_incarnation_that_goes_on_after_a_false_claim_is_a_member() -> None:
    """Guards against a member that counts twice."""
    harness = _open_group()
    harness.announce("t2", gone=True)
    for number in range(1, 5):
        harness.elapse(1_000)
        harness.announce("t2", sequence=number)

    assert "t2" in harness.leader.state.targets.records
    assert not _former(harness)
