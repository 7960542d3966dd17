"""Primaries that announce their planned stop."""

from __future__ import annotations

from tests.decide.announced_group import Harness


def test_departure_stays_due_after_a_change_that_kept_the_primary() -> None:
    """Guards against a leaving primary that is never replaced."""
    harness = Harness.open()
    harness.announce("t1", leaving=True)
    harness.run(8_000, answering=["t1"])

    harness.run(2_000)

    term = harness.leader.state.terms["g"]
    assert term.is_serving
    assert term.primary != "t1"


def test_leaving_primary_is_not_opened_again_while_another_stays() -> None:
    """Guards against new work at a target that left long ago."""
    harness = Harness.open()
    harness.announce("t1", leaving=True)

    promoted = harness.run(15_000, answering=["t1"])

    assert promoted == []
    assert not harness.leader.state.terms["g"].is_open


def test_replica_that_answers_late_may_catch_up_with_a_leaving_primary() -> (
    None
):
    """Guards against the loss of writes that only the primary holds."""
    harness = Harness.open()
    harness.announce("t1", leaving=True)
    harness.run(8_000, answering=["t1"])

    early = harness.run(1_000, positions={"t1": 9})
    later = harness.run(1_000, positions={"t1": 9, "t3": 9})

    assert early == []
    assert later == ["t3"]


def test_lagging_replica_is_promoted_if_it_does_not_catch_up() -> None:
    """Guards against a group without primary after a departure."""
    harness = Harness.open()
    harness.announce("t1", leaving=True)
    harness.run(8_000, answering=["t1"])

    promoted = harness.run(7_000, positions={"t1": 9, "t3": 8})

    assert promoted == ["t3"]


def test_leaving_primary_stays_while_no_other_target_does() -> None:
    """Guards against a group that is closed for nothing."""
    harness = Harness.open()
    for target in ("t1", "t2", "t3"):
        harness.announce(target, leaving=True)

    harness.run(8_000)

    term = harness.leader.state.terms["g"]
    assert (term.primary, term.is_open) == ("t1", True)


def test_relief_does_not_end_with_a_primary_that_announced_its_stop() -> None:
    """Guards against a second change, which stops the writes again."""
    harness = Harness.open()
    harness.leader.primaries.start_planned_change(
        "g", "t2", harness.now_ns, keeps_former=True
    )
    harness.announce("t1", leaving=True)

    early = harness.run(1_500, positions={"t1": 9})
    later = harness.run(500, positions={"t1": 9, "t3": 9})

    assert early == []
    assert later == ["t3"]


def test_primary_that_moves_to_another_group_is_replaced() -> None:
    """Guards against a group whose primary belongs to another one."""
    harness = Harness.open()
    harness.elapse(100)
    harness.announce("t1", group="h", incarnation_ms=200)

    promoted = harness.run(1_000, answering=["t2", "t3"])

    assert promoted
    assert promoted[0] in {"t2", "t3"}
