"""Targets whose role differs from the recorded one."""

from __future__ import annotations

import attrs
import pytest

from rosemarysaddle.decide import (
    DemoteTarget,
    ProbeGroup,
    PromoteTarget,
    TargetReport,
)
from tests.decide.announced_group import Harness


def _report(target: str, role: str, term: int) -> TargetReport:
    return TargetReport(
        target=target,
        reachable=True,
        role=role,
        term=term,
        log_term=1,
        position=7,
    )


def _is_open(harness: Harness) -> bool:
    return harness.leader.state.terms["g"].is_open


def test_target_that_was_promoted_by_somebody_else_is_followed() -> None:
    """Guards against writes at a primary that was replaced."""
    harness = Harness.open()

    harness.announce("t2", role="primary")
    harness.answer(_report("t2", "primary", 2))
    was_open = _is_open(harness)
    harness.elapse(50)
    harness.answer(_report("t1", "primary", 1), _report("t2", "primary", 2))
    order = harness.found(PromoteTarget)[-1]
    harness.promoted(target_term=2)

    term = harness.leader.state.terms["g"]
    assert not was_open
    assert (order.target, order.may_order) == ("t2", False)
    assert (term.primary, term.is_serving, term.target_term) == ("t2", True, 2)


def test_status_from_before_the_promotion_changes_nothing() -> None:
    """Guards against a change on what was read for the one before."""
    harness = Harness.open()
    before = attrs.evolve(
        _report("t1", "replica", 1), asked_ns=harness.now_ns - 1
    )
    harness.elapse(50)
    after = attrs.evolve(before, asked_ns=harness.now_ns)

    harness.leader.on_probe("g", -1, [before], harness.now_ns)
    was_open = _is_open(harness)
    harness.leader.on_probe("g", -1, [after], harness.now_ns)

    assert was_open
    assert not _is_open(harness)


def test_late_word_of_a_role_changes_nothing() -> None:
    """Guards against changes on a heartbeat that was held up."""
    harness = Harness.open()

    harness.announce("t2", role="primary")
    harness.answer(_report("t2", "replica", 1))

    assert _is_open(harness)


def test_old_primary_is_told_of_the_present_term() -> None:
    """Guards against two targets that both go on as primary."""
    harness = Harness.open(target_term=3)
    harness.elapse(2_000)

    harness.announce("t2", role="primary")
    harness.answer(_report("t2", "primary", 2))

    assert _is_open(harness)
    assert harness.found(DemoteTarget) == [
        DemoteTarget(group="g", target="t2", term=3)
    ]


@pytest.mark.parametrize("by_report", [False, True])
def test_primary_that_lost_its_role_is_replaced(*, by_report: bool) -> None:
    """Guards against a group that takes no write any more."""
    harness = Harness.open()

    if by_report:
        harness.report_term("t1", read_only=True)
    else:
        harness.announce("t1", role="replica")
    harness.answer(_report("t1", "replica", 1))
    was_open = _is_open(harness)
    harness.elapse(50)
    harness.answer(*(_report(t, "replica", 1) for t in ("t1", "t2", "t3")))

    order = harness.found(PromoteTarget)[-1]
    assert not was_open
    assert order.may_order
    assert order.above_term == 1


def test_refused_write_alone_replaces_no_primary() -> None:
    """Guards against changes on a report that is out of date."""
    harness = Harness.open()

    harness.report_term("t1", read_only=True)
    harness.answer(_report("t1", "primary", 1))

    assert _is_open(harness)


@pytest.mark.parametrize("by_report", [False, True])
def test_later_term_is_known_until_the_change_has_ended(
    *, by_report: bool
) -> None:
    """Guards against an old primary that is left alone to answer."""
    harness = Harness.open(target_term=4)
    if by_report:
        harness.report_term("t3", observed_term=5)
    else:
        harness.announce("t3", role="primary")
        harness.answer(_report("t3", "primary", 5))
    harness.elapse(50)

    harness.answer_change(_report("t1", "primary", 4))

    order = harness.found(PromoteTarget)[-1]
    assert (order.target, order.may_order) == ("t1", True)
    assert order.above_term == 5
    assert harness.leader.state.terms["g"].known_term == 5


def test_later_term_of_an_earlier_probe_is_known() -> None:
    """Guards against what a target told before it was lost."""
    harness = Harness.open(target_term=4)
    harness.replace_primary()
    harness.elapse(50)
    former = TargetReport(
        target="t1", reachable=True, role="primary", term=4, position=900
    )
    harness.answer_change(former, _report("t3", "replica", 5))
    harness.elapse(150)

    harness.answer_change(former)

    order = harness.found(PromoteTarget)[-1]
    assert (order.may_order, order.above_term) == (True, 5)


def test_later_term_in_any_status_closes_the_present_one() -> None:
    """Guards against evidence that was read for another purpose."""
    harness = Harness.open()
    harness.announce("t1", leaving=True)
    harness.elapse(50)

    harness.answer(_report("t1", "primary", 1), _report("t3", "replica", 2))

    assert harness.leader.state.terms["g"].known_term == 2


def test_primary_of_an_earlier_term_than_recorded_is_replaced() -> None:
    """Guards against a group that takes no write any more."""
    harness = Harness.open(target_term=5)

    harness.report_term("t1", observed_term=1)
    harness.answer(_report("t1", "primary", 1))

    assert not _is_open(harness)


def test_groups_without_a_known_term_are_read_in_turn() -> None:
    """Guards against groups that wait for others that never answer."""
    harness = Harness.open(target_term=0)
    term = harness.leader.state.terms["g"]
    routes = harness.leader.state.routes
    for number in range(8):
        harness.leader.state.terms[f"a{number}"] = term
        routes.groups[f"a{number}"] = routes.groups["g"]
    harness.elect()

    harness.elapse(1_000)

    assert "g" in {probe.group for probe in harness.found(ProbeGroup)}


def test_answer_of_a_later_term_closes_the_present_one() -> None:
    """Guards against writes after a promotion that a replica saw."""
    harness = Harness.open()

    harness.report_term("t3", observed_term=2)

    assert not _is_open(harness)


def test_answer_of_the_present_term_changes_nothing() -> None:
    """Guards against changes on a report that is out of date."""
    harness = Harness.open()

    harness.report_term("t3", observed_term=1)

    assert _is_open(harness)


def test_term_of_a_primary_that_served_before_an_upgrade_is_read() -> None:
    """Guards against a group whose term stays unknown for good."""
    harness = Harness.open(target_term=0)
    harness.elect()

    harness.elapse(50)
    harness.answer(_report("t1", "primary", 4))

    assert harness.found(ProbeGroup)
    assert harness.leader.state.terms["g"].target_term == 4
    assert _is_open(harness)
