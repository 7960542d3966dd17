from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from rosemarysaddle.soak import _targets
from rosemarysaddle.soak._targets import Entry, TargetGroup, TargetInstance

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine

    import pytest


def _entry(number: int) -> Entry:
    return Entry(request_id=f"r{number}", key="k", value=number)


def _run_scenario(
    scenario: Callable[[TargetGroup], Coroutine[None, None, None]],
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(_targets, "PROMOTION_DELAY_S", 0)
    monkeypatch.setattr(_targets, "APPLY_DELAY_S", 0)
    instances = {
        name: TargetInstance(
            name=name,
            ip="",
            port=0,
            data_center="dc",
            role="primary" if name == "t1" else "replica",
        )
        for name in ("t1", "t2", "t3")
    }
    asyncio.run(scenario(TargetGroup(name="g", instances=instances)))


def test_promote_keeps_acknowledged_writes(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario(group: TargetGroup) -> None:
        first, second = group.instances["t1"], group.instances["t2"]
        group.commit(first, [_entry(1)])
        first.crash()
        assert await group.promote("t2")
        assert group.current_primary is second
        assert second.log == [_entry(1)]
        assert second.term == 2

    _run_scenario(scenario, monkeypatch)


def test_demote_others_discards_writes_of_old_primary_only(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario(group: TargetGroup) -> None:
        first, second = group.instances["t1"], group.instances["t2"]
        await group.promote("t2")
        group.commit(first, [_entry(1)])
        group.commit(second, [_entry(2)])
        group.demote_others()
        assert first.log == second.log == [_entry(2)]
        assert first.role == "replica"

    _run_scenario(scenario, monkeypatch)


def test_has_applied_is_false_until_replica_applies(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario(group: TargetGroup) -> None:
        replica = group.instances["t2"]
        group.commit(group.current_primary, [_entry(1)])
        assert not replica.has_applied(1, 1)
        assert replica.read("k") == 0
        await asyncio.sleep(0.01)
        assert replica.has_applied(1, 1)
        assert replica.read("k") == 1

    _run_scenario(scenario, monkeypatch)
