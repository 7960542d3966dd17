"""What entry hosts tell of the writes that they acknowledged."""

from __future__ import annotations

import json
from typing import Any

import attrs
import pytest

from rosemarysaddle.decide import LogPoint, TargetReport
from rosemarysaddle.decide.control_log._state import EntryKind
from rosemarysaddle.decide.primaries._criteria import SuccessorCriteria
from rosemarysaddle.decide.primaries._succession import (
    choose_successor,
)
from rosemarysaddle.decide.reads._acknowledged import AcknowledgedWrites
from rosemarysaddle.schema import GroupClosed
from tests.decide.announced_group import Harness


def _point(term: int, position: int) -> LogPoint:
    return LogPoint(term=term, position=position)


@pytest.mark.parametrize(
    ("told", "known", "least"),
    [
        pytest.param(_point(2, 9), _point(2, 5), _point(2, 6), id="follows"),
        pytest.param(_point(2, 9), _point(1, 8), _point(2, 0), id="new-term"),
        pytest.param(_point(2, 9), None, _point(2, 0), id="first-answer"),
    ],
)
def test_write_is_bounded_by_what_was_known_before_and_told_after(
    told: LogPoint, known: LogPoint | None, least: LogPoint
) -> None:
    """Guards against a bound that holds commits of other callers."""
    writes = AcknowledgedWrites()

    writes.record("g", told, known)

    bounds = writes.of_group("g")
    assert (bounds.least, bounds.newest) == (least, told)
    assert bounds.is_bounded


def test_write_without_a_position_leaves_no_bound() -> None:
    """Guards against a bound that is below an acknowledged write."""
    writes = AcknowledgedWrites()

    writes.record("g", _point(2, 9), None)
    writes.record("g", None, None)
    writes.record("g", _point(2, 7), _point(2, 6))

    bounds = writes.of_group("g")
    assert not bounds.is_bounded
    assert (bounds.least, bounds.newest) == (_point(2, 7), _point(2, 9))


def _replica(target: str, position: int, *, term: int = 2) -> TargetReport:
    return TargetReport(
        target=target,
        reachable=True,
        role="replica",
        term=term,
        position=position,
    )


@pytest.mark.parametrize(
    ("answered", "bounds", "chosen"),
    [
        pytest.param([_replica("b", 7)], {}, None, id="nothing-told"),
        pytest.param(
            [_replica("b", 7)],
            {"newest_acknowledged": (2, 7)},
            "b",
            id="one-has-reached-all",
        ),
        pytest.param(
            [_replica("b", 6)],
            {"newest_acknowledged": (2, 7)},
            None,
            id="one-has-not",
        ),
        pytest.param(
            [_replica("b", 7, term=3)],
            {"newest_acknowledged": (2, 7)},
            None,
            id="log-of-another-promotion",
        ),
        pytest.param(
            [_replica("b", 6), _replica("c", 6)],
            {"least_acknowledged": (2, 7)},
            None,
            id="both-lack-one-for-sure",
        ),
        pytest.param(
            [_replica("b", 6), _replica("c", 7)],
            {"least_acknowledged": (2, 7)},
            "c",
            id="one-may-hold-all",
        ),
    ],
)
def test_choice_by_what_was_acknowledged(
    answered: list[TargetReport], bounds: dict[str, Any], chosen: str | None
) -> None:
    """Guards against waiting, or not waiting, on a count of answers."""
    criteria = SuccessorCriteria(
        former="a",
        leaving=(),
        others_stay=True,
        allow_lagging=True,
        target_term=2,
        sync_replicas=1,
        replicas=2,
        **bounds,
    )

    choice = choose_successor(answered, criteria)

    assert (choice and choice.target) == chosen


def test_replica_that_lacks_nothing_need_not_have_followed() -> None:
    """Guards against five seconds after a crash without any write."""
    criteria = SuccessorCriteria(
        former="a", leaving=(), target_term=3, newest_acknowledged=(2, 7)
    )

    choice = choose_successor([_replica("b", 7)], criteria)

    assert choice is not None
    assert choose_successor([_replica("b", 6)], criteria) is None, (
        "it lacks a write"
    )


CLOSED = GroupClosed(
    host="e#1",
    group="g",
    term=1,
    least_term=1,
    least_position=8,
    newest_term=1,
    newest_position=9,
    is_bounded=True,
)


def _close(harness: Harness, *reports: GroupClosed) -> None:
    harness.replace_primary()
    for report in reports:
        harness.leader.receive(report.host, report, harness.now_ns)


def _set_holders(
    harness: Harness, *, enter: Any = (), leave: Any = ()
) -> None:
    payload = json.dumps({"in": list(enter), "out": list(leave)})
    harness.leader._context.propose(EntryKind.HOLDERS, payload, harness.now_ns)


def _bounds(harness: Harness) -> tuple[Any, Any]:
    reports = harness.leader.primaries._acknowledged
    return reports.least("g"), reports.newest("g")


def test_newest_write_is_known_once_all_hosts_have_told() -> None:
    """Guards against relying on some of the hosts."""
    harness = Harness.open()
    _set_holders(harness, enter=["e#1", "e#2"])
    other = attrs.evolve(
        CLOSED, host="e#2", least_position=0, newest_position=11
    )

    _close(harness, CLOSED)
    first = _bounds(harness)
    harness.leader.receive("e#2", other, harness.now_ns)

    assert first == ((1, 8), None)
    assert _bounds(harness) == ((1, 8), (1, 11))


def test_newest_write_is_at_least_where_the_term_began() -> None:
    """Guards against a term without writes that forgets earlier."""
    harness = Harness.open()
    _set_holders(harness, enter=["e#1"])
    nothing = GroupClosed(host="e#1", group="g", term=1, is_bounded=True)

    _close(harness, nothing)

    assert _bounds(harness) == ((0, 0), (1, 7))


@pytest.mark.parametrize(
    "closed",
    [
        pytest.param(attrs.evolve(CLOSED, is_bounded=False), id="no-bound"),
        pytest.param(
            GroupClosed(host="e#1", group="g", term=1), id="earlier-build"
        ),
    ],
)
def test_host_that_cannot_tell_leaves_the_newest_write_unknown(
    closed: GroupClosed,
) -> None:
    """Guards against taking no answer for no write."""
    harness = Harness.open()
    _set_holders(harness, enter=["e#1"])

    _close(harness, closed)

    assert _bounds(harness)[1] is None


def test_host_that_left_in_the_term_leaves_the_newest_write_unknown() -> None:
    """Guards against writes of a process that has ended."""
    harness = Harness.open()
    _set_holders(harness, enter=["e#0", "e#1"])
    _set_holders(harness, leave=["e#0"])

    _close(harness, CLOSED)

    assert _bounds(harness) == ((1, 8), None)
