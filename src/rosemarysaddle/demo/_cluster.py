"""Runs the hosts and targets of a deployment in one process."""

from __future__ import annotations

import asyncio
import concurrent.futures
import hashlib
import http.client
import json
import socket
import threading
from typing import TYPE_CHECKING, Any, Final

import attrs
import cattrs
from absl import logging

from rosemarysaddle.daemon import HostDaemon
from rosemarysaddle.demo._clients import EntryEndpoint, LoadBalancer
from rosemarysaddle.demo._simulated_network import Place, SimulatedNetwork
from rosemarysaddle.link import Address
from rosemarysaddle.schema import (
    ControlHost,
    Group,
    Instance,
    Inventory,
    RequestClass,
    Rules,
    Settings,
    Tenant,
)
from rosemarysaddle.serve import EntryServer
from rosemarysaddle.standin import (
    InstanceFaults,
    StandInGroup,
    StandInInstance,
    StandInServer,
    announce,
)

if TYPE_CHECKING:
    from collections.abc import Coroutine
    from pathlib import Path

    from rosemarysaddle.demo._deployments import Deployment

__all__ = ("Cluster", "EventLoopThread")

CALLERS_PORT: Final = 8_100
PEERS_PORT: Final = 8_200
TARGETS_PORT: Final = 3_306
NETWORK_LOCK_PORT: Final = 8_099
FIRST_NETWORK_OCTET: Final = 64
END_NETWORK_OCTET: Final = 250
CREDENTIAL: Final = "caller-credential"
ADMIN_CREDENTIAL: Final = "operator-credential"
TARGET_USER: Final = "rosemarysaddle"
TARGET_PASSWORD: Final = "target-password"  # noqa: S105 - demonstration
EXECUTOR_THREADS: Final = 64
ANNOUNCE_INTERVAL_S: Final = 1.0
SCHEMA: Final = (
    """CREATE TABLE IF NOT EXISTS marks (
    mark VARCHAR(100) PRIMARY KEY, session VARCHAR(100) NOT NULL)""",
    "CREATE INDEX IF NOT EXISTS marks_session ON marks (session)",
)


@attrs.define(kw_only=True, eq=False)
class EventLoopThread:
    """Event loop that runs in its own thread."""

    name: str
    loop: asyncio.AbstractEventLoop = attrs.field(
        factory=asyncio.new_event_loop, init=False
    )
    _thread: threading.Thread = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Start the thread."""
        executor = concurrent.futures.ThreadPoolExecutor(EXECUTOR_THREADS)
        self.loop.set_default_executor(executor)
        self._thread = threading.Thread(
            target=self.loop.run_forever, name=self.name, daemon=True
        )
        self._thread.start()

    def run(self, work: Coroutine[Any, Any, Any]) -> Any:
        """Run a coroutine in the loop and wait for its result."""
        return asyncio.run_coroutine_threadsafe(work, self.loop).result()

    def stop(self) -> None:
        """Stop the loop and wait for its thread."""
        self.loop.call_soon_threadsafe(self.loop.stop)
        self._thread.join()


@attrs.define(kw_only=True, eq=False)
class Cluster:
    """Entry hosts, control hosts and stand-in targets of a deployment.

    :param folder: folder for the state of hosts and targets
    :param servers: entry hosts by name
    :param host_loop: event loop of the entry hosts
    :param target_loop: event loop of the stand-in targets
    """

    deployment: Deployment
    folder: Path
    seed: int
    network_conditions: SimulatedNetwork = attrs.field(init=False)
    servers: dict[str, EntryServer] = attrs.field(factory=dict, init=False)
    instances: dict[str, StandInInstance] = attrs.field(
        factory=dict, init=False
    )
    targets: dict[str, StandInServer] = attrs.field(factory=dict, init=False)
    balancer: LoadBalancer = attrs.field(init=False)
    host_loop: EventLoopThread = attrs.field(init=False)
    target_loop: EventLoopThread = attrs.field(init=False)
    _settings: dict[str, Settings] = attrs.field(factory=dict, init=False)
    _groups: list[StandInGroup] = attrs.field(factory=list, init=False)
    _network_octet: int = attrs.field(init=False)
    _network_lock: socket.socket = attrs.field(init=False)
    _stop_event: threading.Event = attrs.field(
        factory=threading.Event, init=False
    )
    _announcer: threading.Thread | None = attrs.field(default=None, init=False)

    def __attrs_post_init__(self) -> None:
        """Reserve a network and assign the hosts' addresses."""
        self._network_lock = _lock_loopback_network()
        self._network_octet = int(
            self._network_lock.getsockname()[0].split(".")[1]
        )
        self.network_conditions = SimulatedNetwork(
            center_delay_ms=self.deployment.center_delay_ms,
            region_delay_ms=self.deployment.region_delay_ms,
        )
        self._build_settings()
        endpoints = [
            EntryEndpoint(
                name=s.host,
                data_center=s.data_center,
                address=Address.parse(s.callers_address),
            )
            for s in self._settings.values()
        ]
        self.balancer = LoadBalancer(
            hosts=endpoints, network_conditions=self.network_conditions
        )

    def start(self) -> None:
        """Start the targets, the hosts and the announcements."""
        _silence_loggers()
        self.target_loop = EventLoopThread(name="stand-ins")
        self.host_loop = EventLoopThread(name="hosts")
        self.target_loop.run(self._start_targets())
        for name, settings in self._settings.items():
            self.servers[name] = self._build_server(settings)
            self.host_loop.run(self.servers[name].start())
        self._announcer = threading.Thread(
            target=self._announce_forever, name="announcer", daemon=True
        )
        self._announcer.start()

    def stop(self) -> None:
        """Stop everything that was started; hosts are killed."""
        self._stop_event.set()
        if self._announcer is not None:
            self._announcer.join()
        for server in self.servers.values():
            self.host_loop.run(server.kill())
        self.target_loop.run(self._stop_targets())
        self.host_loop.stop()
        self.target_loop.stop()
        self._network_lock.close()

    def restart_host(self, name: str) -> None:
        """Start a stopped or killed host again."""
        self.servers[name] = self._build_server(self._settings[name])
        self.host_loop.run(self.servers[name].start())

    def request(
        self, method: str, path: str, body: Any = None, *, host: str = ""
    ) -> tuple[int, Any]:
        """Call the administration API of a host.

        :param host: name of the host; the first one if empty
        :return: status and decoded body
        """
        settings = self._settings[host or next(iter(self._settings))]
        address = Address.parse(settings.callers_address)
        connection = http.client.HTTPConnection(
            address.ip, address.port, timeout=10
        )
        headers = {
            "Authorization": f"Bearer {ADMIN_CREDENTIAL}",
            "X-Operator": "demo",
            "Content-Type": "application/json",
        }
        try:
            data = None if body is None else json.dumps(body)
            connection.request(method, path, body=data, headers=headers)
            answer = connection.getresponse()
            return answer.status, json.loads(answer.read() or b"null")
        finally:
            connection.close()

    def request_any(self, method: str, path: str, body: Any = None) -> Any:
        """Call the administration API of any host in service.

        :return: decoded body, or None if no host answered
        """
        for host in self.balancer.hosts:
            if host.name in self.balancer.out_of_service:
                continue
            try:
                return self.request(method, path, body, host=host.name)[1]
            except (OSError, http.client.HTTPException, ValueError):
                continue
        return None

    def control_hosts(self) -> list[str]:
        """Return the names of the control hosts."""
        settings = next(iter(self._settings.values()))
        return [c.host for c in settings.control]

    def ip_of(self, host: str) -> str:
        """Return the IP address of a host."""
        return self._settings[host].bind_address

    def inventory(self) -> dict[str, Any]:
        """Build the inventory of the deployment."""
        groups = tuple(
            Group(
                name=group,
                instances=tuple(
                    Instance(
                        name=i.name,
                        data_center=i.data_center,
                        address=f"{i.ip}:{i.port}",
                        connections=i.connections,
                        slots=i.slots,
                    )
                    for i in self.instances.values()
                    if i.group == group
                ),
            )
            for group in self.deployment.groups
        )
        tenant = Tenant(
            name=self.deployment.tenant,
            credential_sha256=_digest(CREDENTIAL),
            groups=self.deployment.groups,
        )
        unstructured: dict[str, Any] = cattrs.unstructure(
            Inventory(groups=groups, tenants=(tenant,))
        )
        return unstructured

    def rules(self) -> dict[str, Any]:
        """Build the rules of the deployment."""
        classes = tuple(
            RequestClass(name=c.name, stale_ms=c.stale_ms, priority=c.priority)
            for c in self.deployment.classes
        )
        unstructured: dict[str, Any] = cattrs.unstructure(
            Rules(classes=classes)
        )
        return unstructured

    def primary_of(self, group: str) -> StandInInstance | None:
        """Find the primary instance of the newest term."""
        primaries = [
            i
            for i in self.instances.values()
            if i.group == group and i.role == "primary"
        ]
        return max(primaries, key=lambda i: i.term, default=None)

    def leader(self) -> str:
        """Return the name of the control leader, or an empty string."""
        for name, server in self.servers.items():
            control = server.daemon.control
            if control is not None and control.log.role == "leader":
                return name
        return ""

    def _build_settings(self) -> None:
        control: list[ControlHost] = []
        placements: list[tuple[str, str, str, str]] = []
        for number, site in enumerate(self.deployment.sites, 1):
            place = Place(data_center=site.data_center, region=site.region)
            for host in range(1, site.entry_hosts + 1):
                ip = f"127.{self._network_octet}.{number}.{host}"
                name = f"entry-{site.data_center}-{host}"
                self.network_conditions.places[ip] = place
                placements.append((name, site.data_center, site.region, ip))
                if host == 1:
                    peers = f"{ip}:{PEERS_PORT}"
                    control.append(ControlHost(host=name, address=peers))
        for name, center, region, ip in placements:
            self._settings[name] = Settings(
                host=name,
                data_center=center,
                region=region,
                callers_address=f"{ip}:{CALLERS_PORT}",
                peers_address=f"{ip}:{PEERS_PORT}",
                bind_address=ip,
                data_folder=str(self.folder / name),
                control=tuple(control),
                token_keys=("5a" * 32,),
                admin_credential_sha256=_digest(ADMIN_CREDENTIAL),
                target_user=TARGET_USER,
                target_password=TARGET_PASSWORD,
            )

    def _build_server(self, settings: Settings) -> EntryServer:
        daemon = HostDaemon(
            settings=settings,
            network_conditions=self.network_conditions,
            seed=self.seed,
        )
        return EntryServer(daemon=daemon)

    async def _start_targets(self) -> None:
        for group_number, group in enumerate(self.deployment.groups, 1):
            members = []
            for number, site in enumerate(self.deployment.sites, 1):
                ip = f"127.{self._network_octet}.{number}.{100 + group_number}"
                instance = self._build_instance(
                    group, f"{group}-{'abc'[number - 1]}", site.data_center, ip
                )
                self.network_conditions.places[ip] = Place(
                    data_center=site.data_center, region=site.region
                )
                members.append(instance)
                await self._serve(instance)
            replication = StandInGroup(
                instances=members, network_conditions=self.network_conditions
            )
            replication.start()
            self._groups.append(replication)

    def _build_instance(
        self, group: str, name: str, center: str, ip: str
    ) -> StandInInstance:
        folder = self.folder / "targets"
        folder.mkdir(parents=True, exist_ok=True)
        instance = StandInInstance(
            name=name,
            group=group,
            data_center=center,
            ip=ip,
            port=TARGETS_PORT,
            folder=folder,
            schema=SCHEMA,
            connections=self.deployment.connections,
            slots=self.deployment.slots,
            faults=InstanceFaults(lag_ms=self.deployment.lag_ms),
        )
        self.instances[name] = instance
        return instance

    async def _serve(self, instance: StandInInstance) -> None:
        server = StandInServer(
            instance=instance,
            network_conditions=self.network_conditions,
            user=TARGET_USER,
            password=TARGET_PASSWORD,
            connect_ms=self.deployment.connect_ms,
        )
        await server.start()
        self.targets[instance.name] = server

    async def _stop_targets(self) -> None:
        for group in self._groups:
            await group.stop()
        for server in self.targets.values():
            await server.stop()

    def _announce_forever(self) -> None:
        while not self._stop_event.is_set():
            for instance in self.instances.values():
                if not instance.faults.crashed:
                    self._announce(instance)
            self._stop_event.wait(ANNOUNCE_INTERVAL_S)

    def _announce(self, instance: StandInInstance) -> None:
        for host in self.balancer.hosts:
            if host.data_center != instance.data_center:
                continue
            if host.name in self.balancer.out_of_service:
                continue
            if announce(instance, host.address):
                return


def _lock_loopback_network() -> socket.socket:
    """Reserve a loopback network that no other run uses.

    The bound socket serves as a lock on the network.

    :return: socket; the second octet of its address is the network's
    :raises RuntimeError: if every network is in use
    """
    for number in range(FIRST_NETWORK_OCTET, END_NETWORK_OCTET):
        lock = socket.socket()
        try:
            lock.bind((f"127.{number}.0.1", NETWORK_LOCK_PORT))
        except OSError:
            lock.close()
        else:
            return lock
    message = "all loopback networks from 127.64 to 127.249 are in use"
    raise RuntimeError(message)


def _digest(credential: str) -> str:
    return hashlib.sha256(credential.encode()).hexdigest()


def _silence_loggers() -> None:
    logging.set_verbosity(logging.WARNING)
    manager = logging.get_absl_logger().manager
    manager.getLogger("mysql_mimic").setLevel("CRITICAL")
    manager.getLogger("asyncio").setLevel("CRITICAL")
