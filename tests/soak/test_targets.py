from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from rosemarysaddle.soak import _targets
from rosemarysaddle.soak._targets import (
    Entry,
    TargetGroup,
    TargetInstance,
    _Connection,
)

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


def test_an_old_primary_keeps_its_role_while_the_newest_is_down(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a stand-in that demotes what nobody can tell."""

    async def scenario(group: TargetGroup) -> None:
        monkeypatch.setattr(_targets, "DEMOTION_DELAY_S", 0.1)
        first, second = group.instances["t1"], group.instances["t2"]
        following = asyncio.ensure_future(group.run())
        first.is_dark = True
        assert await group.promote("t2")
        group.commit(second, [_entry(1)])
        second.crash()
        first.is_dark = False
        await asyncio.sleep(0.3)
        assert (first.role, first.term, first.log) == ("primary", 1, [])
        second.is_up = True
        await asyncio.sleep(0.05)
        assert first.role == "primary"
        await asyncio.sleep(0.2)
        assert (first.role, first.term) == ("replica", 2)
        assert first.log == second.log
        following.cancel()

    _run_scenario(scenario, monkeypatch)


def test_a_restarted_primary_keeps_its_role_unless_it_was_replaced(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against two primaries after a crash of the first one."""

    async def scenario(group: TargetGroup) -> None:
        first = group.instances["t1"]
        first.ip = "127.0.0.1"
        first.crash()
        await group.restart(first)
        assert first.role == "primary"
        first.crash()
        assert await group.promote("t2")
        await group.restart(first)
        assert first.role == "replica"
        first.crash()

    _run_scenario(scenario, monkeypatch)


def test_a_commit_waits_for_as_many_replicas_as_the_group_says(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against acknowledged commits that no replica holds."""

    async def scenario(group: TargetGroup) -> None:
        group.sync_replicas = 1
        first, second = group.instances["t1"], group.instances["t2"]
        second.is_dark = group.instances["t3"].is_dark = True
        received = group.commit(first, [_entry(1)])
        assert received is not None
        assert not received.done()
        second.is_dark = False
        following = asyncio.ensure_future(group.run())
        assert await asyncio.wait_for(received, 1)
        assert second.log == [_entry(1)]
        following.cancel()

    _run_scenario(scenario, monkeypatch)


def test_a_position_of_a_discarded_history_is_behind(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against reads that take one history for another."""

    async def scenario(group: TargetGroup) -> None:
        first, second = group.instances["t1"], group.instances["t2"]
        group.commit(first, [_entry(1)])
        first.is_dark = True
        group.commit(first, [_entry(2)])
        assert await group.promote("t2")
        group.commit(second, [_entry(3)])
        assert second.has_applied(1, 1)
        assert not second.has_applied(1, 2)
        assert second.has_applied(2, 2)
        assert first.has_applied(1, 2)
        assert not first.has_applied(2, 2)

    _run_scenario(scenario, monkeypatch)


def test_status_tells_the_terms_of_the_target_and_of_its_log(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a log that seems to be of the newest term."""

    async def scenario(group: TargetGroup) -> None:
        first, second = group.instances["t1"], group.instances["t2"]
        group.commit(first, [_entry(1)])
        assert await group.promote("t2")
        connection = _Connection(group=group, instance=second)
        assert connection._format_status() == "primary 2 1.1 0 0 0 0"
        group.commit(second, [_entry(2)])
        assert connection._format_status() == "primary 2 2.2 0 0 0 0"

    _run_scenario(scenario, monkeypatch)


def test_demote_and_hold_obey_terms(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a target that obeys an order of an old term."""

    async def scenario(group: TargetGroup) -> None:
        first, second = group.instances["t1"], group.instances["t2"]
        for instance, order, status in (
            (first, "DEMOTE 1", "primary 1 1.0 0 0 0 0"),
            (second, "HOLD 1", "replica 1 1.0 0 0 0 0"),
            (second, "HOLD 2", "replica 1 1.0 2 0 0 0"),
            (first, "HOLD 2", "primary 1 1.0 0 0 0 0"),
        ):
            connection = _Connection(group=group, instance=instance)
            connection.data_received(f"QUERY - {order}\r\n".encode())
            assert connection._format_status() == status
        group.commit(first, [_entry(1)])
        assert second.log == []
        connection = _Connection(group=group, instance=second)
        connection.data_received(b"QUERY - RESUME\r\n")
        group.commit(first, [_entry(2)])
        assert second.log == [_entry(1), _entry(2)]
        connection = _Connection(group=group, instance=first)
        connection.data_received(b"QUERY - DEMOTE 2\r\n")
        assert first.role == "replica"

    _run_scenario(scenario, monkeypatch)
