"""Relaying of renewals between entry hosts on the loopback network."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

import attrs

from rosemarysaddle._clock import clock_ns
from rosemarysaddle.connection import RelayServer
from rosemarysaddle.node._control import ControlHost
from rosemarysaddle.node._entry import EntryHost
from rosemarysaddle.platform import UsersPlatform
from rosemarysaddle.schema import Node, RelayedMessage
from tests.helpers import TEST_NETWORK

if TYPE_CHECKING:
    from collections.abc import Callable
    from pathlib import Path

CONTROL_IP = f"{TEST_NETWORK}.1.30"
SEED = f"{CONTROL_IP}:18782"


@attrs.frozen(kw_only=True)
class _CutOff:
    """Network of a host that reaches no control host."""

    is_cut: bool = True

    def delay_s(self, source_ip: str, target_ip: str) -> float:
        del source_ip, target_ip
        return 0.0

    def is_partitioned(self, source_ip: str, target_ip: str) -> bool:
        return self.is_cut and CONTROL_IP in {source_ip, target_ip}


def _settings(ip: str, role: str, **more: Any) -> Node:
    return Node(
        host=f"{role}-{ip}",
        role=role,
        data_center="dc-1",
        region="r-1",
        ip=ip,
        peers_port=17_440,
        seeds=(SEED,),
        **more,
    )


def _control(folder: Path) -> ControlHost:
    settings = _settings(
        CONTROL_IP,
        "control",
        first_start=True,
        data_folder=str(folder),
        control_address=SEED,
        promotion_address=f"{CONTROL_IP}:18783",
    )
    return ControlHost(settings=settings, platform=UsersPlatform())


def _entry(number: int) -> EntryHost:
    ip = f"{TEST_NETWORK}.1.{30 + number}"
    settings = _settings(
        ip,
        "entry",
        sessions_address=f"{ip}:18784",
        ready_address=f"{ip}:18785",
        lending_address=f"{ip}:18786",
        grace_s=1,
    )
    return EntryHost(settings=settings, platform=UsersPlatform())


async def _wait(condition: Callable[[], bool], limit_s: float) -> bool:
    loop = asyncio.get_running_loop()
    end_s = loop.time() + limit_s
    while loop.time() < end_s:
        if condition():
            return True
        await asyncio.sleep(0.05)
    return False


def test_cut_off_host_keeps_its_lease_over_a_neighbour(
    tmp_path: Path,
) -> None:
    # 20 hosts of a deployment had no lease for 5 to 7 s, while others
    # of their data centre renewed theirs.
    async def scenario() -> None:
        control = _control(tmp_path)
        hosts = [_entry(n) for n in (1, 2, 3)]
        await control.start()
        for host in hosts:
            await host.start()
        cut_off = hosts[0]
        assert await _wait(lambda: len(cut_off.node.neighbours) == 3, 8)
        sent_bytes = control.network.sent_bytes
        cut_off.network.network_conditions = _CutOff()

        assert await _wait(lambda: bool(cut_off.node.relay.current), 4)
        await asyncio.sleep(4.5)
        assert clock_ns() < cut_off.node.lease.deadline_ns
        assert sum(h.relay_server.host_count for h in hosts[1:]) <= 2
        assert control.network.sent_bytes - sent_bytes < 20_000

        cut_off.network.network_conditions = _CutOff(is_cut=False)
        assert await _wait(lambda: not cut_off.node.relay.is_active, 3)
        for host in hosts:
            await host.stop()
        await control.stop()

    asyncio.run(scenario())


@attrs.define(kw_only=True)
class _Peer:
    sent: list[bytes] = attrs.field(factory=list)
    buffered_bytes: int = 0
    is_aborted: bool = False

    def send(self, frame: bytes) -> None:
        self.sent.append(frame)

    def abort(self) -> None:
        self.is_aborted = True


def test_host_without_direct_contact_refuses_to_relay() -> None:
    # Relays in a chain would hide that no host reaches the leader.
    sent: list[object] = []
    server = RelayServer(
        find_leader=lambda: "", send=lambda *args: sent.append(args)
    )
    peer = _Peer()

    server.relay_to_leader(peer, RelayedMessage(host="h", body=b"x"))

    assert len(peer.sent) == 1
    assert not sent
    assert server.host_count == 0


def test_relay_ends_for_a_host_that_does_not_read() -> None:
    # What waits for a frozen host would take up the relay's memory.
    server = RelayServer(find_leader=lambda: "c", send=lambda _, __: None)
    peer = _Peer(buffered_bytes=64 * 1024 * 1024)
    server.relay_to_leader(peer, RelayedMessage(host="h", body=b"x"))

    server.relay_to_host(RelayedMessage(host="h", body=b"y"))

    assert peer.is_aborted
    assert not peer.sent
