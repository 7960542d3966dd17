"""Stand-in for the platform: heartbeats, promotions and plans."""

from __future__ import annotations

import asyncio
import http
import http.client
import itertools
import json
import time
from typing import TYPE_CHECKING, Any, Final

import attrs

from rosemarysaddle.link import Address
from rosemarysaddle.soak._nodes import CONTROL_PORT, PROMOTION_PORT
from rosemarysaddle.soak._orders import PromotionOrders
from rosemarysaddle.soak._other_writer import make_entries
from rosemarysaddle.web import HttpServer

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Iterable, Sequence

    from rosemarysaddle.soak._nodes import Node, Nodes
    from rosemarysaddle.soak._proxy import FaultProxy
    from rosemarysaddle.soak._targets import TargetGroup, TargetInstance

__all__ = (
    "DATABASES",
    "GROUP",
    "KEPT_MARKERS",
    "MAX_STALENESS_MS",
    "StandInPlatform",
    "marker",
)

GROUP: Final = "g"
# Freshness of the reads of each database.
DATABASES: Final = {
    "strict": "primary",
    "own": "read_your_writes",
    "old": "bounded_staleness",
}
MAX_STALENESS_MS: Final = 1_500
HEARTBEAT_INTERVAL_S: Final = 0.4
ROLE_CHECK_INTERVAL_S: Final = 0.05
HTTP_TIMEOUT_S: Final = 1.0
# Orders that are late or lost occupy a thread.
ORDER_THREADS: Final = 24
# Plans whose markers a plan has; older ones are dropped.
KEPT_MARKERS: Final = 40
_REPLACE_PATH: Final = "/rosemarysaddle/configuration/replace"


@attrs.define(kw_only=True, eq=False)
class StandInPlatform:
    """Stand-in for the platform around the nodes.

    :param proxies: proxy of each target by name
    :param teams: returns the teams of the next plan, or None for a plan
        without teams
    :param version: version of the last plan that was sent
    :param acknowledged: highest version that was acknowledged
    """

    nodes: Nodes
    group: TargetGroup
    proxies: dict[str, FaultProxy]
    teams: Callable[[], list[dict[str, Any]]] | None = None
    version: int = 0
    acknowledged: int = 0
    orders: PromotionOrders = attrs.field(init=False)
    _heartbeat_tasks: list[asyncio.Task[None]] = attrs.field(
        factory=list, init=False
    )
    _last_order: str = attrs.field(default="", init=False)
    _sequence: itertools.count[int] = attrs.field(
        factory=itertools.count, init=False
    )
    _loop: asyncio.AbstractEventLoop = attrs.field(init=False)
    _server: HttpServer | None = attrs.field(default=None, init=False)

    def __attrs_post_init__(self) -> None:
        """Create what handles orders."""
        self.orders = PromotionOrders(group=self.group)

    def start(self) -> None:
        """Start the promotion server and the targets' heartbeats."""
        self._loop = asyncio.get_running_loop()
        ip = f"{self.nodes.network}.4.1"
        self._server = HttpServer(
            address=Address(ip=ip, port=PROMOTION_PORT),
            threads=ORDER_THREADS,
            max_body_bytes=65_536,
            stop_timeout_s=0.1,
        )
        self._server.tree.graft(self._promote_app, "/promote")
        self._server.start()
        self._heartbeat_tasks = [
            asyncio.ensure_future(self._send_heartbeats(instance))
            for instance in self.group.instances.values()
        ]

    def announce(self, instance: TargetInstance) -> None:
        """Start the heartbeats of a new instance."""
        task = asyncio.ensure_future(self._send_heartbeats(instance))
        self._heartbeat_tasks.append(task)

    async def stop(self) -> None:
        """Stop the heartbeats and the promotion server."""
        for task in self._heartbeat_tasks:
            task.cancel()
        if self._server is not None:
            await asyncio.to_thread(self._server.stop)

    async def change(self, nodes: Sequence[Node] = ()) -> bool:
        """Send the next plan to the control hosts.

        :param nodes: the control hosts to send it to, all if empty
        :return: whether a control host acknowledged it
        """
        self.version += 1
        version = self.version
        plan = _plan(version, self.group.sync_replicas)
        if self.teams is not None:
            plan["teams"] = self.teams()
        self._last_order = body = json.dumps(plan)
        is_done = await self._post_to_control(_REPLACE_PATH, body, nodes)
        if is_done:
            self.acknowledged = max(self.acknowledged, version)
        return is_done

    async def resend(self) -> int:
        """Send the last order again, to one control host.

        :return: status of the answer, 0 without one
        """
        return await self._send_order(self._last_order)

    async def send_other_content(self) -> None:
        """Send other content under a version that is in force."""
        plan = _plan(self.acknowledged, self.group.sync_replicas)
        plan["routes"].append(_route(marker(self.acknowledged, "other")))
        await self._send_order(json.dumps(plan))

    async def send_invalid(self) -> bool:
        """Send an invalid plan of a later version.

        :return: whether a control host acknowledged it
        """
        plan = _plan(self.version + 1_000_000, self.group.sync_replicas)
        plan["routes"].append({**_route(marker(0, "bad")), "group": "none"})
        return await self._send_order(json.dumps(plan)) == http.client.OK

    async def _send_order(self, body: str) -> int:
        number = next(self._sequence) % len(self.nodes.control)
        ip = self.nodes.control[number].ip
        status, _ = await asyncio.to_thread(
            _call, "POST", ip, _REPLACE_PATH, body
        )
        return status

    async def read_versions(self) -> list[int]:
        """Read the version of the plan at each control host."""
        path = "/rosemarysaddle/configuration/get"
        answers = [
            await asyncio.to_thread(_call, "GET", node.ip, path)
            for node in self.nodes.control
        ]
        return [
            int(json.loads(body)["version"])
            for status, body in answers
            if status == http.client.OK
        ]

    async def _send_heartbeats(self, instance: TargetInstance) -> None:
        while True:
            role = instance.role
            departure = instance.departure
            has_left = departure is not None and departure.has_left
            if instance.is_up and not (instance.is_dark or has_left):
                await self._send_heartbeat(instance)
            await self._wait_for_heartbeat(instance, role)

    async def _wait_for_heartbeat(
        self, instance: TargetInstance, role: str
    ) -> None:
        """Wait until the next heartbeat is due.

        A change of role is reported at once.
        """
        due_s = time.monotonic() + HEARTBEAT_INTERVAL_S
        while time.monotonic() < due_s:
            if instance.role != role:
                return
            await asyncio.sleep(ROLE_CHECK_INTERVAL_S)

    async def _send_heartbeat(self, instance: TargetInstance) -> None:
        departure = instance.departure
        path = f"/rosemarysaddle/instances/{instance.name}/heartbeat"
        body = json.dumps(self._heartbeat_body(instance))
        is_done = await self._post_to_control(path, body)
        if is_done and departure is not None:
            now_s = time.monotonic()
            departure.acknowledged_s = min(departure.acknowledged_s, now_s)

    async def send_leave(self, instance: TargetInstance) -> bool:
        """Tell that a target ends now.

        :return: whether a control host acknowledged it
        """
        path = f"/rosemarysaddle/instances/{instance.name}/leave"
        body = json.dumps({"born": instance.incarnation_ms})
        return await self._post_to_control(path, body)

    async def send_odd_entries(
        self, instance: TargetInstance, rng: random.Random
    ) -> list[str]:
        """Send what another writer might, to every control host.

        :return: bodies that a control host has acknowledged
        """
        entries = make_entries(self._heartbeat_body(instance), rng)
        return [
            body[:200]
            for name, body in entries
            for node in self.nodes.control
            if await self._post_to_control(
                f"/rosemarysaddle/instances/{name or instance.name}/heartbeat",
                body,
                [node],
            )
        ]

    def _heartbeat_body(self, instance: TargetInstance) -> dict[str, Any]:
        proxy = self.proxies[instance.name]
        return {
            "group": GROUP,
            "address": f"{proxy.ip}:{proxy.port}",
            "data_center": instance.data_center,
            "version": "v1",
            "slots": 4,
            "coldRemainingMs": 0,
            "seq": next(self._sequence),
            "state": "ready" if instance.departure is None else "draining",
            "replication_role": instance.role,
            "born": instance.incarnation_ms,
        }

    async def _post_to_control(
        self, path: str, body: str, nodes: Sequence[Node] = ()
    ) -> bool:
        for node in nodes or self.nodes.control:
            status, _ = await asyncio.to_thread(
                _call, "POST", node.ip, path, body
            )
            if status == http.client.OK:
                return True
        return False

    def _promote_app(
        self, environ: Any, start_response: Any
    ) -> Iterable[bytes]:
        body = json.loads(environ["wsgi.input"].read())
        work = self.orders.handle(body["identifier"])
        status = asyncio.run_coroutine_threadsafe(work, self._loop).result()
        if status is None:
            # The caller has closed the connection.
            status = http.HTTPStatus.GATEWAY_TIMEOUT
        start_response(
            f"{status.value} {status.phrase}", [("Content-Length", "0")]
        )
        return [b""]


def _call(
    method: str, ip: str, path: str, body: str = ""
) -> tuple[int, bytes]:
    """Call a control host.

    :return: status, 0 if there is no answer, and body of the answer
    """
    connection = http.client.HTTPConnection(
        ip, CONTROL_PORT, timeout=HTTP_TIMEOUT_S
    )
    try:
        headers = {"Content-Type": "application/json"}
        connection.request(method, path, body or None, headers)
        response = connection.getresponse()
        return response.status, response.read()
    except (OSError, http.client.HTTPException):
        return 0, b""
    finally:
        connection.close()


def marker(version: int, content: str = "plan") -> str:
    """Return the database that one plan adds.

    :param content: word for the content that was sent under the version
    """
    return f"{content}-{version}"


def _route(name: str, freshness: str = "primary") -> dict[str, Any]:
    return {
        "name": name,
        "database": name,
        "group": GROUP,
        "freshness": freshness,
        "timeout_ms": 1_500,
        "max_attempts": 2,
        "max_staleness_ms": MAX_STALENESS_MS,
        "public": True,
    }


def _plan(version: int, sync_replicas: int) -> dict[str, Any]:
    routes = [
        {**_route(name, freshness), "public": False}
        for name, freshness in DATABASES.items()
    ]
    kept = range(max(1, version - KEPT_MARKERS + 1), version + 1)
    routes.extend(_route(marker(each)) for each in kept)
    return {
        "version": version,
        "groups": [
            {
                "name": GROUP,
                "connection_limit": 30,
                "sync_replicas": sync_replicas,
            }
        ],
        "routes": routes,
        "limits": {"transaction_idle_ms": 3_000},
    }
