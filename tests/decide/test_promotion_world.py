"""Changes of primary against a model of targets and platform."""

from __future__ import annotations

import os
import random
from typing import TYPE_CHECKING, Any

import pytest

from tests.decide.promotion_model import Carried, OrderMode
from tests.decide.promotion_world import World

if TYPE_CHECKING:
    from collections.abc import Callable

# More seeds by hand: PROMOTION_SEEDS=0-1000 pytest -k random_faults
FIRST_SEED, LAST_SEED = (
    int(n) for n in os.environ.get("PROMOTION_SEEDS", "0-80").split("-")
)
SEEDS_PER_TEST = 20
STEPS = 30


def _assert_holds(world: World) -> None:
    faults = world.check_end()
    assert not faults, "\n".join([f"seed {world.seed}", *world.journal])


def _lose_primary(world: World, spent_ms: int = 4_000) -> None:
    """Crash the primary, and wait until the platform reads an order."""
    world.crash("t1", spent_ms)
    assert world.run_until(lambda: "reads" in world.journal[-1], 8_000)


def _ordered(world: World) -> str:
    """Return the target of the order that the platform read last."""
    return world.journal[-1].split()[3]


@pytest.mark.parametrize("sync_replicas", [0, 1])
@pytest.mark.parametrize("delay_ms", [1_200, 2_500, 10_000])
@pytest.mark.parametrize(
    "mode", [OrderMode.LATE, OrderMode.LATE_ANSWERED, OrderMode.UNANSWERED]
)
def test_order_that_takes_effect_late(
    mode: OrderMode, delay_ms: int, sync_replicas: int
) -> None:
    """Guards against writes elsewhere while an order is in doubt."""
    world = World(sync_replicas=sync_replicas)
    world.modes = [(mode, delay_ms)]

    world.crash("t1", 4_000)
    world.run(20_000)

    _assert_holds(world)


@pytest.mark.parametrize("calls", [1, 2, 8])
def test_order_that_is_lost(calls: int) -> None:
    """Guards against a group that waits for a call that was lost."""
    world = World()
    world.modes = [(OrderMode.LOST, 0)] * calls

    world.crash("t1", 4_000)
    world.run(20_000)

    _assert_holds(world)


def test_platform_that_is_down() -> None:
    """Guards against a group without writes after an outage."""
    world = World()
    world.platform_down_until_ns = world.now_ns + 10_000_000_000

    world.crash("t1", 30_000)
    world.run(10_000)

    assert not world.promotions
    _assert_holds(world)


@pytest.mark.parametrize("after_ms", [20, 300, 1_000, 2_000, 4_000])
@pytest.mark.parametrize("delay_ms", [0, 1_200, 2_500, 6_000])
def test_leader_elected_while_an_order_is_in_doubt(
    delay_ms: int, after_ms: int
) -> None:
    """Guards against a leader that knows nothing of earlier orders."""
    world = World()
    world.modes = [(OrderMode.LATE, delay_ms)]

    _lose_primary(world)
    world.run(after_ms)
    world.change_leader()
    world.run(12_000)

    _assert_holds(world)


@pytest.mark.parametrize("sync_replicas", [0, 1])
@pytest.mark.parametrize("after_ms", [20, 1_500])
def test_leader_elected_while_the_ordered_target_is_down(
    after_ms: int, sync_replicas: int
) -> None:
    """Guards against orders in doubt that a new leader forgets."""
    world = World(sync_replicas=sync_replicas)

    _lose_primary(world)
    world.crash(_ordered(world), 7_000)
    world.run(after_ms)
    world.change_leader()
    world.run(15_000)

    _assert_holds(world)


def test_repeated_order_that_takes_effect_after_the_next_change() -> None:
    """Guards against a call that is forgotten once another worked."""
    world = World(sync_replicas=1)
    world.modes = [
        (OrderMode.UNANSWERED, 1_200),
        (OrderMode.UNANSWERED, 2_500),
    ]

    _lose_primary(world, 1_200)
    assert world.run_until(lambda: bool(world.promotions), 4_000)
    first = world.newest
    world.run(100)
    world.switch_over("t3" if first == "t2" else "t2")
    world.run(500)
    world.disturb(first, 5_000, is_lagging=True)
    world.run(10_000)

    _assert_holds(world)


def test_refused_order_after_one_that_took_effect() -> None:
    """Guards against a refusal that settles the calls before it."""
    world = World()
    world.modes = [(OrderMode.UNANSWERED, 1_000)]
    world.disturb("t1", 6_000, is_dark=True)
    world.disturb("t3", 9_000, is_dark=True)

    assert world.run_until(lambda: bool(world.promotions), 8_000)
    world.crash("t2", 5_000)
    world.run(10_000)

    _assert_holds(world)


@pytest.mark.parametrize(
    "delays_ms", [(2_500, 4_500), (6_500, 300), (9_000, 8_000)]
)
def test_two_orders_that_take_effect_in_either_order(
    delays_ms: tuple[int, int],
) -> None:
    """Guards against a group that follows the earlier promotion."""
    world = World()
    for target, delay_ms in zip(("t2", "t3"), delays_ms, strict=True):
        world.carry_out(
            world.targets[target], delay_ms, world.now_ns, is_foreign=True
        )

    world.run(12_000)

    _assert_holds(world)


@pytest.mark.parametrize("carried", Carried)
@pytest.mark.parametrize("down_ms", [800, 3_000, 7_000, 12_000])
@pytest.mark.parametrize("sync_replicas", [0, 1])
def test_ordered_target_crashes(
    carried: Carried, down_ms: int, sync_replicas: int
) -> None:
    """Guards against a promotion that takes effect after the next."""
    world = World(carried=carried, sync_replicas=sync_replicas)

    _lose_primary(world)
    world.crash(_ordered(world), down_ms)
    world.run(15_000)

    _assert_holds(world)


@pytest.mark.parametrize("third_is", ["up", "slow", "down"])
@pytest.mark.parametrize("serves_ms", [20, 1_500])
def test_old_primary_wakes_while_the_promoted_one_is_down(
    serves_ms: int, third_is: str
) -> None:
    """Guards against writes at a primary of an earlier term."""
    world = World()

    world.disturb("t1", 6_000, is_dark=True)
    assert world.run_until(lambda: bool(world.promotions), 8_000)
    world.run(serves_ms)
    promoted = world.promotions[0].target
    third = next(t for t in ("t2", "t3") if t != promoted)
    if third_is == "down":
        world.crash(third, 5_000)
    if third_is == "slow":
        world.disturb(third, 5_000, answer_ms=900)
    world.crash(promoted, 5_000)
    world.run(12_000)

    _assert_holds(world)


def test_old_primary_that_cannot_reach_the_new_one() -> None:
    """Guards against two primaries where only hosts reach both."""
    world = World()
    world.disturb("t1", 3_000, is_dark=True)
    world.disturb("t1", 30_000, is_apart=True)

    assert world.run_until(lambda: bool(world.promotions), 8_000)
    world.run(10_000)

    assert world.targets["t1"].role == "replica"
    _assert_holds(world)


@pytest.mark.parametrize("down_ms", [0, 4_000])
def test_primary_that_loses_its_role_without_an_order(down_ms: int) -> None:
    """Guards against a group whose recorded primary takes no write."""
    world = World()

    world.carry_out(world.targets["t2"], 0, world.now_ns, is_foreign=True)
    world.run(100)
    if down_ms:
        world.crash("t2", down_ms)
    world.run(10_000)

    _assert_holds(world)


def test_primary_that_the_platform_still_names() -> None:
    """Guards against ordering one target for ever without effect."""
    world = World()

    world.demote("t1")
    world.run(10_000)

    _assert_holds(world)


class _Walk:
    """Random faults, one after the other."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(-1 - seed)  # noqa: S311
        self.world = World(
            seed=seed,
            size=self.rng.choice([3, 3, 5]),
            sync_replicas=self.rng.choice([0, 0, 1]),
            carried=self.rng.choice(list(Carried)),
        )

    def run(self) -> World:
        """Run all steps; the world then still has its faults."""
        steps = [
            self._crash,
            self._crash,
            self._darken,
            self._slow_down,
            self._disturb_orders,
            self._disturb_orders,
            self._switch_over,
            self._cut_off,
            self.world.change_leader,
        ]
        for _ in range(STEPS):
            self.rng.choice(steps)()
            self.world.run(self.rng.choice([50, 200, 800, 2_000]))
        return self.world

    def _pick(self) -> str:
        """Pick a target, the primary and the promoted one often."""
        world = self.world
        names = [*world.targets, world.newest]
        names.append(world.leader.state.terms["g"].primary)
        return self.rng.choice(names)

    def _duration_ms(self) -> int:
        return self.rng.choice([300, 1_500, 4_000, 7_000])

    def _crash(self) -> None:
        self.world.crash(self._pick(), self._duration_ms())

    def _darken(self) -> None:
        field = self.rng.choice(["is_dark", "is_dark", "is_apart"])
        self.world.disturb(self._pick(), self._duration_ms(), **{field: True})

    def _slow_down(self) -> None:
        faults: list[dict[str, Any]] = [
            {"answer_ms": 900},
            {"answer_ms": 60_000},
            {"is_lagging": True},
        ]
        fault = self.rng.choice(faults)
        self.world.disturb(self._pick(), self._duration_ms(), **fault)

    def _disturb_orders(self) -> None:
        mode = self.rng.choice(list(OrderMode))
        delay_ms = self.rng.choice([1_200, 2_500, 10_000])
        self.world.modes.append((mode, delay_ms))
        if self.rng.random() < 0.05:
            spent_ns = 10_000_000_000
            self.world.platform_down_until_ns = self.world.now_ns + spent_ns

    def _cut_off(self) -> None:
        host = self.rng.choice(["e1", "e2"])
        self.world.cut_off.add(host)
        self.world.note(f"{host} is cut off")
        self.world.later(
            self._duration_ms(), lambda: self.world.cut_off.discard(host)
        )

    def _switch_over(self) -> None:
        self.world.switch_over(self._pick())


@pytest.mark.parametrize("first", range(FIRST_SEED, LAST_SEED, SEEDS_PER_TEST))
def test_random_faults(
    first: int, record_property: Callable[[str, object], None]
) -> None:
    """Guards against two primaries, lost commits and silent groups."""
    exempt = 0
    for seed in range(first, min(first + SEEDS_PER_TEST, LAST_SEED)):
        world = _Walk(seed).run()
        _assert_holds(world)
        exempt += world.exempt
    # Commits that a promotion later than `MAX_DOUBT_MS` cost.
    record_property("exempt", exempt)


def test_random_faults_at_the_end_of_a_doubt() -> None:
    """Guards against an old primary opened while an order is settled.

    In this walk a choice is made between two ticks then.
    """
    _assert_holds(_Walk(654).run())
