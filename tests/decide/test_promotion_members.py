"""Changes of primary after members of the group have left or restarted.

The group has synchronous replicas; a write is acknowledged by those
that it has at that time.
"""

from __future__ import annotations

import pytest

from tests.decide.promotion_world import World
from tests.helpers import NS_PER_MS

SERVES_MS = 3_000
LAGS_MS = 6_000
LAGS_BEFORE_MS = 2_000
FOR_GOOD_MS = 600_000
# Time from a crash to the promotion where a replica holds all writes.
PROMPT_MS = 2_000


def _assert_holds(world: World) -> None:
    faults = world.check_end()
    assert not faults, "\n".join([f"seed {world.seed}", *world.journal])


def _let_replica_leave(
    world: World,
    *,
    leaving: str = "t2",
    lagging: str = "t3",
    successor_ms: int = 1_000,
) -> None:
    """Let a replica leave while the other one receives nothing.

    Ends 200 ms after the replica has ended.
    """
    world.leave(leaving, SERVES_MS, successor_ms)
    world.run(SERVES_MS - LAGS_BEFORE_MS)
    if lagging:
        world.disturb(lagging, LAGS_MS, is_lagging=True)
    world.run(LAGS_BEFORE_MS + 200)


@pytest.mark.parametrize("sync_replicas", [1, 2])
@pytest.mark.parametrize("size", [3, 4, 5])
@pytest.mark.parametrize("down_ms", [7_000, FOR_GOOD_MS])
def test_replica_that_acknowledged_writes_has_left(
    down_ms: int, size: int, sync_replicas: int
) -> None:
    """Guards against a successor that lacks what a former one had."""
    world = World(sync_replicas=sync_replicas, size=size)

    _let_replica_leave(world)
    world.crash("t1", down_ms)
    world.run(12_000)

    assert world.promotions or down_ms != FOR_GOOD_MS
    _assert_holds(world)


def test_replica_has_left_and_another_was_replaced_before() -> None:
    """Guards against counting a replaced member for ever, or not."""
    world = World(sync_replicas=1)
    world.leave("t3", 1_000, 500)
    world.run(5_000)

    _let_replica_leave(world, lagging="t3n")
    world.crash("t1", FOR_GOOD_MS)
    world.run(12_000)

    assert [p.target for p in world.promotions] == ["t2n"]
    _assert_holds(world)


@pytest.mark.parametrize("successor_ms", [1_000, 5_000])
def test_replica_has_left_before_a_change_of_leader(successor_ms: int) -> None:
    """Guards against a new leader that forgets former members."""
    world = World(sync_replicas=1)

    _let_replica_leave(world, successor_ms=successor_ms)
    world.change_leader()
    world.crash("t1", FOR_GOOD_MS)
    world.run(15_000)

    assert [p.target for p in world.promotions] == ["t2n"]
    _assert_holds(world)


@pytest.mark.parametrize("lagging", ["t3", ""])
@pytest.mark.parametrize("down_ms", [7_000, FOR_GOOD_MS])
def test_replica_started_again_with_nothing(
    down_ms: int, lagging: str
) -> None:
    """Guards against an empty replica that counts as one with a log."""
    world = World(sync_replicas=1)
    if lagging:
        world.disturb(lagging, LAGS_MS, is_lagging=True)
    world.run(2_000)

    world.wipe("t2", 1_000)
    world.disturb("t2", 3_000, is_lagging=True)
    world.run(2_500)
    world.crash("t1", down_ms)
    world.run(10_000)

    _assert_holds(world)


@pytest.mark.parametrize("is_planned", [True, False])
def test_primary_is_lost_while_another_replica_holds_all(
    *, is_planned: bool
) -> None:
    """Guards against waiting for members whose writes others hold."""
    world = World(sync_replicas=1)

    if is_planned:
        _let_replica_leave(world, lagging="", successor_ms=FOR_GOOD_MS)
    else:
        world.wipe("t2", 500)
        world.run(3_000)
    world.crash("t1", FOR_GOOD_MS)
    crashed_ns = world.now_ns
    world.run(PROMPT_MS)

    assert world.promotions
    spent_ns = world.promotions[0].effect_ns - crashed_ns
    assert spent_ns <= PROMPT_MS * NS_PER_MS
    _assert_holds(world)


def test_operator_gives_up_the_writes_of_lost_members() -> None:
    """Guards against a group that nobody can open again."""
    world = World(sync_replicas=1)

    _let_replica_leave(world, successor_ms=FOR_GOOD_MS)
    world.crash("t1", FOR_GOOD_MS)
    world.run(10_000)
    waited = not world.promotions
    world.change_sync_replicas(0)
    world.run(6_000)

    assert waited
    assert [p.target for p in world.promotions] == ["t3"]
