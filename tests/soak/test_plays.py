"""Scripted faults around a change of primary, on the real programs."""

from __future__ import annotations

from rosemarysaddle.soak import run_play
from tests.helpers import TEST_NETWORK

# Loopback network apart from those of soaks started by hand and of
# test runs side by side.
SLOT = 30 + int(TEST_NETWORK.removeprefix("127."))
SEED = 1


def _find_violations(play: str) -> tuple[str, ...]:
    report = run_play(play, seed=SEED, slot=SLOT)

    assert report.told["DONE"]
    return report.violations


def test_old_primary_that_wakes_alone_takes_no_writes() -> None:
    """Guards against opening a primary of a term that was replaced."""
    assert _find_violations("dark-then-crash") == ()


def test_old_primary_that_wakes_beside_a_late_replica_takes_no_writes() -> (
    None
):
    """Guards against a choice among what answers first."""
    assert _find_violations("dark-then-late") == ()


def test_order_that_takes_effect_after_a_crash_replaces_no_primary() -> None:
    """Guards against writes at a primary that a kept order replaced."""
    assert _find_violations("crash-in-promotion") == ()


def test_order_that_is_carried_out_late_replaces_no_primary() -> None:
    """Guards against writes at a primary that a late order replaced."""
    assert _find_violations("late-order") == ()


def test_crash_right_after_a_promotion_is_survived() -> None:
    """Guards against a group that waits for a primary that crashed."""
    assert _find_violations("crash-after-promotion") == ()
