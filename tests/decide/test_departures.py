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
