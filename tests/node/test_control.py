from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import pytest

from rosemarysaddle._clock import NS_PER_S, clock_ns
from rosemarysaddle.decide import ControlNode
from rosemarysaddle.node import _control
from rosemarysaddle.node._control import MAX_DEFECTS, ControlHost
from rosemarysaddle.platform import UsersPlatform
from rosemarysaddle.schema import (
    Announcement,
    AppendRequest,
    ChangeProposal,
    Node,
)
from tests.helpers import TEST_NETWORK

if TYPE_CHECKING:
    from pathlib import Path

    from rosemarysaddle.decide import Effect, Role
    from rosemarysaddle.schema import Message

IP = f"{TEST_NETWORK}.1.1"
PLAN = (
    '{"version": 3, "groups": [{"name": "g"}], "routes": [{"name": "r",'
    ' "database": "d", "freshness": "primary", "timeout_ms": 800,'
    ' "group": "g"}]}'
)


def _settings(folder: Path, *, first_start: bool) -> Node:
    return Node(
        host="core-1",
        role="control",
        data_center="dc-1",
        region="r-1",
        ip=IP,
        peers_port=17440,
        seeds=(f"{IP}:18782",),
        first_start=first_start,
        data_folder=str(folder),
        control_address=f"{IP}:18782",
        promotion_address=f"{IP}:18783",
    )


async def _start_and_wait_for_leader(host: ControlHost) -> Role:
    await host.start()
    for _ in range(100):
        if host.control.log.leader == host.host:
            break
        await asyncio.sleep(0.05)
    return host.control.log.role


def _host(folder: Path, *, first_start: bool) -> ControlHost:
    settings = _settings(folder, first_start=first_start)
    return ControlHost(settings=settings, platform=UsersPlatform())


def test_control_host_keeps_voters_and_plan_after_restart(
    tmp_path: Path,
) -> None:
    async def scenario() -> tuple[str, str | None]:
        first = _host(tmp_path, first_start=True)
        await _start_and_wait_for_leader(first)
        await asyncio.to_thread(first.replace_plan_from_thread, PLAN)
        await first.stop()
        second = _host(tmp_path, first_start=False)
        role = await _start_and_wait_for_leader(second)
        plan = await asyncio.to_thread(second.read_plan_from_thread)
        await second.stop()
        return role, plan

    assert asyncio.run(scenario()) == ("leader", PLAN)


@pytest.mark.parametrize("same_disk", [True, False])
def test_control_host_changes_name_only_with_new_disk(
    tmp_path: Path, *, same_disk: bool
) -> None:
    async def scenario() -> tuple[str, str]:
        first = _host(tmp_path / "a", first_start=True)
        await _start_and_wait_for_leader(first)
        await first.stop()
        folder = tmp_path / ("a" if same_disk else "b")
        second = _host(folder, first_start=False)
        await second.start()
        await second.stop()
        return first.host, second.host

    before, after = asyncio.run(scenario())

    assert (before == after) is same_disk


def test_control_host_asks_to_join_despite_messages_from_a_leader(
    tmp_path: Path,
) -> None:
    heartbeat = AppendRequest(
        term=2,
        leader=f"{IP}:1",
        prev_index=7,
        prev_term=2,
        commit_index=7,
        sent_ns=1,
        entries=(),
    )

    async def scenario() -> tuple[str, bool]:
        host = _host(tmp_path, first_start=False)
        await host.start()
        host._receive(f"{IP}:1", heartbeat)
        result = (host.control.log.leader, host.control.log.needs_to_join)
        await host.stop()
        return result

    assert asyncio.run(scenario()) == (f"{IP}:1", True)


def _announcement(group: str) -> Announcement:
    return Announcement(
        target="i-1",
        group=group,
        data_center="dc-1",
        address="10.0.0.9:8080",
        role="replica",
        term=0,
        position=0,
        leaving=False,
        identity="i-1",
    )


@pytest.mark.parametrize(("group", "known"), [("g", True), ("other", False)])
def test_leader_tells_whether_a_group_is_known(
    tmp_path: Path, group: str, *, known: bool
) -> None:
    async def scenario() -> bool | None:
        host = _host(tmp_path, first_start=True)
        await _start_and_wait_for_leader(host)
        await asyncio.to_thread(host.replace_plan_from_thread, PLAN)
        found = await asyncio.to_thread(
            host.confirm_group_from_thread, _announcement(group)
        )
        await host.stop()
        return found

    assert asyncio.run(scenario()) is known


def test_host_without_a_leader_denies_no_group(tmp_path: Path) -> None:
    async def scenario() -> bool | None:
        host = _host(tmp_path, first_start=False)
        await host.start()
        found = await asyncio.to_thread(
            host.confirm_group_from_thread, _announcement("g")
        )
        await host.stop()
        return found

    assert asyncio.run(scenario()) is None


def test_host_catches_up_before_it_denies_a_group(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def scenario() -> bool | None:
        host = _host(tmp_path, first_start=True)
        await _start_and_wait_for_leader(host)

        changes: list[asyncio.Future[object]] = []

        async def lag(self: ControlHost, deadline_ns: int) -> int:
            del deadline_ns
            # The leader is one entry ahead, which then arrives.
            index = self.control.state.index + 1
            change = asyncio.to_thread(self.replace_plan_from_thread, PLAN)
            changes.append(asyncio.ensure_future(change))
            return index

        monkeypatch.setattr(ControlHost, "_read_latest_index", lag)
        found = await asyncio.to_thread(
            host.confirm_group_from_thread, _announcement("g")
        )
        await changes[0]
        await host.stop()
        return found

    assert asyncio.run(scenario()) is True


def test_message_that_raises_each_time_does_not_end_the_process(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against one order that ends every leader in turn."""
    ends: list[int] = []
    monkeypatch.setattr(_control, "end_process", ends.append)
    receive = ControlNode.receive

    def fail(
        self: ControlNode, source: str, message: Message, now_ns: int
    ) -> list[Effect]:
        if isinstance(message, ChangeProposal):
            raise RecursionError
        return receive(self, source, message, now_ns)

    monkeypatch.setattr(ControlNode, "receive", fail)

    async def scenario() -> tuple[int, bool]:
        host = _host(tmp_path, first_start=True)
        await _start_and_wait_for_leader(host)
        for number in range(2 * MAX_DEFECTS):
            change = ChangeProposal(
                change_id=str(number),
                kind="routes",
                base_version=3,
                author="operator",
                payload=PLAN,
            )
            host._receive(host.host, change)
            host._try_to_recover(clock_ns() + NS_PER_S)
        has_failed = host._disk.has_failed
        await host.stop()
        return host._defects, has_failed

    assert asyncio.run(scenario()) == (1, False)
    assert not ends
