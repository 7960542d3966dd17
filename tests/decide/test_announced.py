"""Groups of the route plan on the control leader."""

from __future__ import annotations

from typing import Any

import pytest

from rosemarysaddle.decide import (
    LogDecision,
    ProbeGroup,
    PromoteTarget,
    TargetReport,
)
from tests.decide.announced_group import PLAN, TARGETS, Harness
from tests.helpers import NS_PER_MS


def test_group_opens_with_its_current_primary() -> None:
    term = Harness.open().leader.state.terms["g"]

    assert (term.primary, term.is_open, term.is_serving) == ("t1", True, True)


def test_group_serves_only_after_its_promotion_is_confirmed() -> None:
    harness = Harness()
    harness.plan(PLAN, version=4)
    harness.announce("t1")
    harness.elapse(50)
    harness.probe(primary="t1")

    term = harness.leader.state.terms["g"]

    assert (term.is_open, term.is_serving) == (True, False)


def test_leaving_primary_is_replaced() -> None:
    harness = Harness.open()
    harness.announce("t1", leaving=True)

    promoted = harness.run(250)

    assert len(promoted) == 1
    assert promoted[0] in {"t2", "t3"}


def test_planned_change_waits_for_leases_of_an_earlier_leader() -> None:
    harness = Harness.open()
    harness.leader._context.leases.unlisted_until_ns = (
        harness.now_ns + 900 * NS_PER_MS
    )
    harness.leader.state.lease_holders.add("unheard")
    harness.announce("t1", leaving=True)

    early = harness.run(850)
    later = harness.run(300)

    assert early == []
    assert len(later) == 1


def test_planned_change_proceeds_once_all_holders_have_renewed() -> None:
    harness = Harness.open()
    harness.leader._context.leases.unlisted_until_ns = (
        harness.now_ns + 9_000 * NS_PER_MS
    )
    harness.leader.state.lease_holders.add("e")
    harness.announce("t1", leaving=True)
    harness.run(200)
    was_open = harness.leader.state.terms["g"].is_open

    harness.renew("e")
    harness.run(100)

    assert was_open
    assert not harness.leader.state.terms["g"].is_open


@pytest.mark.parametrize(
    ("changes", "recorded"),
    [
        ({"leaving": True}, ("t1", 100, True)),
        ({"incarnation_ms": 200}, ("t1", 200, False)),
        ({"incarnation_ms": 50, "leaving": True}, ("t1", 100, False)),
        ({"group": "unknown", "incarnation_ms": 50}, ("t1", 100, False)),
    ],
    ids=["leaves", "restarted", "late", "unknown-group"],
)
def test_announcement_is_recorded_unless_incarnation_is_earlier(
    changes: dict[str, Any], recorded: tuple[str, int, bool]
) -> None:
    harness = Harness.open()
    harness.announce("t1", **changes)

    record = harness.leader.state.targets.records["t1"]

    assert (
        record.target,
        record.incarnation_ms,
        record.leaving,
    ) == recorded


def test_late_announcement_does_not_bring_back_a_leaving_target() -> None:
    harness = Harness.open()
    harness.announce("t2", leaving=True)
    harness.announce("t2")
    leaving = harness.leader.state.targets.records["t2"].leaving
    harness.announce("t2", gone=True)
    harness.announce("t2")

    assert leaving
    assert "t2" not in harness.leader.state.targets.records


def test_address_passes_to_the_newer_target() -> None:
    harness = Harness.open()
    harness.announce("t3", address="127.0.0.2:1", incarnation_ms=300)
    harness.announce("t2")

    assert set(harness.leader.state.targets.records) == {"t1", "t3"}


def test_older_plan_is_accepted_without_effect() -> None:
    harness = Harness.open()
    older = PLAN.replace('"version": 4', '"version": 3')
    harness.plan(older, version=3)

    assert harness.leader.state.routes.source == PLAN


def test_finished_promotion_is_not_ordered_again() -> None:
    harness = Harness()
    harness.plan(PLAN, version=4)
    for target in TARGETS:
        harness.announce(target)
    harness.elapse(50)
    harness.probe(primary="t1")
    # The entry that ends the change has not been committed yet.
    harness.leader._context.propose = lambda *_: []

    harness.promoted()
    harness.elapse(200)

    assert len(harness.found(PromoteTarget)) == 1


def test_steps_of_a_change_are_logged() -> None:
    """Guards against a change that nobody can explain afterwards."""
    harness = Harness.open()
    harness.announce("t1", leaving=True)
    harness.elapse(50)
    harness.probe(primary="t1")
    harness.elapse(50)
    harness.probe(primary="t1")
    harness.promoted()

    lines = {e.event: e.text for e in harness.found(LogDecision)}
    assert "primary=t1" in lines["change-started"]
    assert "reason=planned" in lines["change-started"]
    assert "former=t1" in lines["primary-chosen"]
    assert "role=replica" in lines["primary-chosen"]
    assert "reason=planned" in lines["primary-serves"]


def test_all_targets_are_asked_once_the_first_answers_did_not_suffice() -> (
    None
):
    """Guards against a slow target that no probe ever waits for."""
    harness = Harness.open()
    harness.replace_primary()
    harness.elapse(50)
    first = harness.found(ProbeGroup)[-1]
    harness.answer(TargetReport(target="t2", reachable=False))
    harness.elapse(700)

    again = harness.found(ProbeGroup)[-1]

    assert (first.needed, first.quorum) == (("t2", "t3"), 3)
    assert (again.needed, again.quorum) == ((), 3)
