"""Serves stand-in instances and announces them to entry hosts."""

from __future__ import annotations

import asyncio
import http.client
import itertools
import json
from pathlib import Path
from typing import TYPE_CHECKING, Final

import attrs
import cattrs
from absl import logging

from rosemarysaddle.link import Address, UnmodifiedNetwork
from rosemarysaddle.schema import Announcement, StandIn, load_file
from rosemarysaddle.standin._group import StandInGroup
from rosemarysaddle.standin._instance import InstanceFaults, StandInInstance
from rosemarysaddle.standin._server import StandInServer

if TYPE_CHECKING:
    from rosemarysaddle.schema import SchemaFault

__all__ = ("StandInDaemon", "announce", "announcement_of", "load_stand_in")

ANNOUNCE_INTERVAL_S: Final = 1.0
ANNOUNCE_TIMEOUT_S: Final = 2.0


def load_stand_in(path: str) -> StandIn | SchemaFault:
    """Read the settings of stand-in targets.

    :return: the settings, or the fault found in them
    """
    return load_file(StandIn, path)


def announcement_of(instance: StandInInstance) -> Announcement:
    """Build the announcement of an instance."""
    return Announcement(
        target=instance.name,
        group=instance.group,
        data_center=instance.data_center,
        address=f"{instance.ip}:{instance.port}",
        role=instance.role,
        term=instance.log_term,
        position=instance.position,
        leaving=instance.leaving,
        identity=instance.identity,
    )


def announce(instance: StandInInstance, address: Address) -> bool:
    """Announce an instance to an entry host.

    :param address: callers' address of the entry host
    :return: whether the host accepted it
    """
    connection = http.client.HTTPConnection(
        address.ip, address.port, timeout=ANNOUNCE_TIMEOUT_S
    )
    body = json.dumps(cattrs.unstructure(announcement_of(instance)))
    headers = {"Content-Type": "application/json"}
    try:
        connection.request("POST", "/announcements/", body, headers)
        return connection.getresponse().status == http.HTTPStatus.OK
    except (OSError, http.client.HTTPException):
        return False
    finally:
        connection.close()


@attrs.define(kw_only=True, eq=False)
class StandInDaemon:
    """Runs the stand-in instances of one process."""

    settings: StandIn
    _servers: list[StandInServer] = attrs.field(factory=list, init=False)
    _groups: list[StandInGroup] = attrs.field(factory=list, init=False)
    _announcer: asyncio.Task[None] | None = attrs.field(
        default=None, init=False
    )

    async def start(self) -> None:
        """Serve the instances and announce them."""
        logging.get_absl_logger().manager.getLogger("mysql_mimic").setLevel(
            "CRITICAL"
        )
        by_group: dict[str, list[StandInInstance]] = {}
        for instance in self._instances():
            by_group.setdefault(instance.group, []).append(instance)
            await self._serve(instance)
        for members in by_group.values():
            group = StandInGroup(
                instances=members, network_conditions=UnmodifiedNetwork()
            )
            group.start()
            self._groups.append(group)
        loop = asyncio.get_running_loop()
        self._announcer = loop.create_task(self._announce_forever())

    async def stop(self) -> None:
        """Stop announcing, replicating and serving."""
        if self._announcer is not None:
            self._announcer.cancel()
        for group in self._groups:
            await group.stop()
        for server in self._servers:
            await server.stop()

    def _instances(self) -> list[StandInInstance]:
        folder = Path(self.settings.data_folder)
        folder.mkdir(parents=True, exist_ok=True)
        instances = []
        for target in self.settings.instances:
            address = Address.parse(target.address)
            instance = StandInInstance(
                name=target.name,
                group=target.group,
                data_center=target.data_center,
                ip=address.ip,
                port=address.port,
                folder=folder,
                schema=self.settings.schema,
                connections=target.connections,
                slots=target.slots,
                faults=InstanceFaults(lag_ms=self.settings.lag_ms),
            )
            instances.append(instance)
        return instances

    async def _serve(self, instance: StandInInstance) -> None:
        server = StandInServer(
            instance=instance,
            network_conditions=UnmodifiedNetwork(),
            user=self.settings.user,
            password=self.settings.password,
            connect_ms=self.settings.connect_ms,
        )
        await server.start()
        self._servers.append(server)

    async def _announce_forever(self) -> None:
        hosts = [Address.parse(a) for a in self.settings.announce_to]
        for offset in itertools.count():
            for server in self._servers:
                await self._announce_one(server.instance, hosts, offset)
            await asyncio.sleep(ANNOUNCE_INTERVAL_S)

    async def _announce_one(
        self, instance: StandInInstance, hosts: list[Address], offset: int
    ) -> None:
        for number in range(len(hosts)):
            host = hosts[(offset + number) % len(hosts)]
            if await asyncio.to_thread(announce, instance, host):
                return
