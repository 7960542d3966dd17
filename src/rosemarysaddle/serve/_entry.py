"""Entry host: the daemon with its HTTP server."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any, Final

import attrs

from rosemarysaddle._clock import clock_ns
from rosemarysaddle._process import spawn_lasting
from rosemarysaddle.decide import NS_PER_MS, TokenCodec
from rosemarysaddle.link import Address
from rosemarysaddle.observe import Metrics
from rosemarysaddle.serve._admin import AdminApp, AnnouncementApp
from rosemarysaddle.serve._requests import MAX_BODY_BYTES
from rosemarysaddle.serve._service import StatementService
from rosemarysaddle.serve._wsgi import CallerApp
from rosemarysaddle.web import HttpServer

if TYPE_CHECKING:
    from rosemarysaddle.daemon import HostDaemon

__all__ = ("EntryServer",)

EXPIRY_INTERVAL_S: Final = 0.5
DRAIN_TIMEOUT_MS: Final = 10_000
DRAIN_POLL_INTERVAL_S: Final = 0.02
_CONFIG: Final[dict[str, dict[str, Any]]] = {
    "/": {"request.show_tracebacks": False, "tools.encode.on": False}
}


@attrs.define(kw_only=True, eq=False)
class EntryServer:
    """Daemon of one host and, if it serves callers, the HTTP server."""

    daemon: HostDaemon
    metrics: Metrics = attrs.field(init=False)
    service: StatementService = attrs.field(init=False)
    _http: HttpServer | None = attrs.field(default=None, init=False)
    _expiry_task: asyncio.Task[None] | None = attrs.field(
        default=None, init=False
    )

    def __attrs_post_init__(self) -> None:
        """Create the metrics and the statement service."""
        settings = self.daemon.settings
        self.metrics = Metrics(statsd_address=settings.statsd_address)
        self.service = StatementService(
            shared_node=self.daemon.shared_node,
            tokens=TokenCodec.from_hex(settings.token_keys),
            metrics=self.metrics,
        )

    async def start(self) -> None:
        """Start the daemon, then the HTTP server if there is one."""
        await self.daemon.start()
        settings = self.daemon.settings
        if not settings.callers_address:
            return
        self._http = HttpServer(
            max_body_bytes=MAX_BODY_BYTES,
            address=Address.parse(settings.callers_address),
            threads=settings.worker_threads,
        )
        self._mount(self._http.tree)
        self._http.start()
        self._expiry_task = spawn_lasting(
            self._expire_forever(), set(), name="expire-transactions"
        )

    async def stop(self) -> None:
        """Wait for open transactions up to a deadline, then stop."""
        shared_node = self.daemon.shared_node
        shared_node.stopping = True
        deadline_ns = clock_ns() + DRAIN_TIMEOUT_MS * NS_PER_MS
        while self.service.transactions.count():
            if clock_ns() >= deadline_ns:
                break
            await asyncio.sleep(DRAIN_POLL_INTERVAL_S)
        await self._stop_http()
        await self.daemon.stop()

    async def kill(self) -> None:
        """Stop without draining transactions or returning leases."""
        self.daemon.shared_node.stopping = True
        await self.daemon.kill()
        await self._stop_http()

    def _mount(self, tree: Any) -> None:
        tree.graft(CallerApp(service=self.service), "/v1")
        admin = AdminApp(daemon=self.daemon, metrics=self.metrics)
        announcements = AnnouncementApp(daemon=self.daemon)
        for path, app in (
            ("/admin", admin),
            ("/announcements", announcements),
        ):
            mounted = tree.mount(app, path, _CONFIG)
            mounted.log.access_log.disabled = True

    async def _stop_http(self) -> None:
        if self._expiry_task is not None:
            self._expiry_task.cancel()
        if self._http is not None:
            await asyncio.to_thread(self._http.stop)

    async def _expire_forever(self) -> None:
        while True:
            await asyncio.sleep(EXPIRY_INTERVAL_S)
            await asyncio.to_thread(self.service.transactions.expire)
