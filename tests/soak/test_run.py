"""Short runs of the real programs under faults."""

from __future__ import annotations

import pytest

from rosemarysaddle.soak import run_soak
from tests.helpers import TEST_NETWORK

# Loopback network apart from those of soaks started by hand and of
# test runs side by side.
SLOT = 30 + int(TEST_NETWORK.removeprefix("127."))
# Callers of this seed have teams, whose keys are removed meanwhile.
TEAMS_SEED = 4


@pytest.mark.parametrize(
    ("seed", "faults"),
    [
        (1, ("kill-entry", "harm-primary", "freeze-control")),
        (2, ("crash-primary", "change")),
        (3, ("lose-quorum-disk",)),
        (4, ("freeze-entry", "restart-control", "freeze-entry")),
        (5, ("leave-cut-off", "kill-control")),
        (6, ("odd-entries", "fill-disk", "crash-primary", "odd-entries")),
    ],
)
def test_run_soak_finds_no_violations(
    seed: int, faults: tuple[str, ...]
) -> None:
    teams = seed == TEAMS_SEED
    # Each acknowledged write has to be stored then.
    report = run_soak(
        seed=seed, faults=faults, slot=SLOT, teams=teams, sync_replicas=1
    )

    assert report.violations == ()
    assert report.told["DONE"]
    assert report.plans_checked
    assert teams is ("NOACCESS" in report.told)


@pytest.mark.parametrize("sync_replicas", [0, 1])
def test_changes_of_primary_under_faults_keep_what_was_acknowledged(
    sync_replicas: int,
) -> None:
    """Guards against faults around a change of primary that add up."""
    report = run_soak(
        seed=7,
        faults=("late-orders", "wake-old-primary", "crash-promoted"),
        slot=SLOT,
        sync_replicas=sync_replicas,
    )

    assert report.violations == ()
    assert report.told["DONE"]


@pytest.mark.parametrize("fault", ["leave-then-crash", "empty-then-crash"])
def test_acknowledged_writes_outlive_the_members_that_had_them(
    fault: str,
) -> None:
    """Guards against a successor that lacks what a former one had."""
    report = run_soak(seed=11, faults=(fault,), slot=SLOT, sync_replicas=1)

    assert report.violations == ()
    assert report.told["DONE"]
