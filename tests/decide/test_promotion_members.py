"""Changes of primary after members of the group have left or restarted.

The group has synchronous replicas; a write is acknowledged by those
that it has at that time.
"""

from __future__ import annotations

import os
import random

import pytest

from tests.decide.promotion_world import World
from tests.helpers import NS_PER_MS

# More seeds by hand: MEMBER_SEEDS=0-1000 pytest -k random_members
FIRST_SEED, LAST_SEED = (
    int(n) for n in os.environ.get("MEMBER_SEEDS", "0-60").split("-")
)
SEEDS_PER_TEST = 20
STEPS = 24

SERVES_MS = 3_000
LAGS_MS = 6_000
LAGS_BEFORE_MS = 2_000
FOR_GOOD_MS = 600_000
# Time from a crash to the promotion where a replica holds all writes.
PROMPT_MS = 2_000


def _assert_holds(world: World) -> None:
    faults = world.check_end()
    assert not faults, "\n".join([f"seed {world.seed}", *world.journal])


def _assert_prompt_change(world: World) -> None:
    """Lose the primary for good, and wait for the change."""
    world.crash("t1", FOR_GOOD_MS)
    crashed_ns = world.now_ns
    world.run(PROMPT_MS)

    assert world.promotions
    spent_ns = world.promotions[0].effect_ns - crashed_ns
    assert spent_ns <= PROMPT_MS * NS_PER_MS
    _assert_holds(world)


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


@pytest.mark.parametrize("goes_on_ms", [500, 1_500, 3_500, 20_000])
@pytest.mark.parametrize("earlier_ms", range(0, 750, 150))
def test_replica_goes_on_after_its_leave_call(
    earlier_ms: int, goes_on_ms: int
) -> None:
    """Guards against a member that counts as ended while it runs.

    It got no answer to its leave call; the other replica receives
    nothing, so that it alone acknowledges what is written.
    """
    world = World(sync_replicas=1, write_pause_ms=1_500)
    world.run(earlier_ms)
    world.leave("t2", SERVES_MS, FOR_GOOD_MS, goes_on_ms)
    world.run(SERVES_MS + goes_on_ms // 4)
    world.disturb("t3", goes_on_ms, is_lagging=True)
    world.run(goes_on_ms - goes_on_ms // 4 - 20)

    world.crash("t1", 7_000)
    world.run(12_000)

    _assert_holds(world)


@pytest.mark.parametrize("goes_on_ms", [500, 3_500])
def test_primary_is_lost_while_a_former_replica_goes_on(
    goes_on_ms: int,
) -> None:
    """Guards against waiting for a member whose writes others have."""
    world = World(sync_replicas=1, write_pause_ms=600)
    world.leave("t2", SERVES_MS, FOR_GOOD_MS, goes_on_ms)
    world.run(SERVES_MS + goes_on_ms // 2)

    _assert_prompt_change(world)


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
    _assert_prompt_change(world)


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


class _Walk:
    """Random faults of members, one after the other."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(f"members:{seed}")  # noqa: S311
        self.world = World(
            seed=seed,
            size=self.rng.choice([2, 3, 3, 4, 5]),
            sync_replicas=1,
        )

    def run(self) -> World:
        """Run all steps; the world then still has its faults."""
        steps = [
            self._crash,
            self._lag,
            self._lag,
            self._wipe,
            self._leave,
            self._leave,
            self._switch_over,
            self.world.change_leader,
        ]
        for _ in range(STEPS):
            self.rng.choice(steps)()
            self.world.run(self.rng.choice([50, 200, 800, 2_000]))
        return self.world

    def _pick(self) -> str:
        names = [n for n, t in self.world.targets.items() if not t.has_left]
        return self.rng.choice(names)

    def _duration_ms(self) -> int:
        return self.rng.choice([300, 1_500, 4_000, 7_000])

    def _crash(self) -> None:
        self.world.crash(self.world.newest, self._duration_ms())

    def _lag(self) -> None:
        self.world.disturb(self._pick(), self._duration_ms(), is_lagging=True)

    def _wipe(self) -> None:
        # No order protects a target that loses its log once it has been
        # ordered to lead.
        if not self.world.pending and not self.world.leader.primaries.changes:
            self.world.wipe(self._pick(), self._duration_ms())

    def _leave(self) -> None:
        # Members are replaced one after the other.
        present = [t for t in self.world.targets.values() if not t.has_left]
        if len(present) < self.world.size or any(
            t.is_leaving for t in present
        ):
            return
        successor_ms = self.rng.choice([50, 1_000, 5_000])
        self.world.leave(
            self._pick(),
            self._duration_ms(),
            successor_ms,
            goes_on_ms=self.rng.choice([0, 0, 300, 4_000]),
        )

    def _switch_over(self) -> None:
        self.world.switch_over(self._pick())


@pytest.mark.parametrize("first", range(FIRST_SEED, LAST_SEED, SEEDS_PER_TEST))
def test_random_members(first: int) -> None:
    """Guards against lost commits where members come and go."""
    for seed in range(first, min(first + SEEDS_PER_TEST, LAST_SEED)):
        _assert_holds(_Walk(seed).run())
