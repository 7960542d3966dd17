"""Entry host that finds the control hosts by seeds.

Runs the entry node, the sessions of callers, the pools of connections
to targets, and the lending of connections between neighbouring entry
hosts.
"""

from __future__ import annotations

import asyncio
import secrets
from typing import TYPE_CHECKING, Final

import attrs

from rosemarysaddle import _log as logging
from rosemarysaddle._clock import NS_PER_S, clock_ns
from rosemarysaddle._contacts import ContactKind, ContactLog, LinkKind
from rosemarysaddle._events import log_event
from rosemarysaddle._process import (
    SOFTWARE_EXIT_STATUS,
    end_process,
    repeat,
    spawn_lasting,
)
from rosemarysaddle.connection import Lender, RelayClient, RelayServer
from rosemarysaddle.decide import (
    EntryNode,
    LimitSettings,
    Send,
    SendRelayed,
    TeamDirectory,
)
from rosemarysaddle.link import (
    Address,
    DecodeFault,
    PeerNetwork,
    UnmodifiedNetwork,
    unwrap_relayed,
    wrap_relayed,
)
from rosemarysaddle.node._identity import peer_address
from rosemarysaddle.node._lazy_http import LazyHttpServer
from rosemarysaddle.node._skipped_entries import log_skipped_entries
from rosemarysaddle.node._start_timeline import StartStep, StartTimeline
from rosemarysaddle.node._timing import ENTRY_TICK_S, RENEWAL_INTERVAL_MS
from rosemarysaddle.schema import RelayedMessage
from rosemarysaddle.session import MAX_PLAN_AGE_MS, CallerSession, Router

if TYPE_CHECKING:
    import socket
    from collections.abc import Callable, Iterable, Sequence

    from rosemarysaddle._prometheus import Metric
    from rosemarysaddle.decide import Effect
    from rosemarysaddle.node._platform import Platform
    from rosemarysaddle.schema import Message, Node
    from rosemarysaddle.web import HttpServer

__all__ = ("EntryHost",)

# The load balancer takes a host out of rotation after two failed
# readiness checks, which it sends once a second.
OUT_OF_ROTATION_S: Final = 2.3
POLL_INTERVAL_S: Final = 0.05
# Part of the grace period that is left for the last steps of a stop.
SHUTDOWN_RESERVE_S: Final = 0.4
# The end of the process would cut all its sessions off, so a tick that
# raises is repeated for two seconds.
MAX_TICK_FAULTS: Final = 20
LISTEN_BACKLOG: Final = 512
# A start brings a whole view.  A large one takes many seconds over the
# slowest links.
MAX_STALE_VIEW_MS: Final = 60_000
READINESS_THREADS: Final = 2
READINESS_MAX_BODY_BYTES: Final = 4_096
# Teams that one log line about removed keys names.
MAX_LOGGED_TEAMS: Final = 8


@attrs.define(kw_only=True, eq=False)
class EntryHost:
    """One entry host.

    :param settings: settings of the host
    :param platform: protocols and API calls of the platform
    :param started_ns: monotonic time since which this process runs, in
        nanoseconds
    """

    settings: Node
    platform: Platform
    started_ns: int = attrs.field(factory=clock_ns)
    node: EntryNode = attrs.field(init=False)
    router: Router = attrs.field(init=False)
    lender: Lender = attrs.field(init=False)
    relay_client: RelayClient = attrs.field(init=False)
    relay_server: RelayServer = attrs.field(init=False)
    network: PeerNetwork = attrs.field(init=False)
    contacts: ContactLog = attrs.field(factory=ContactLog, init=False)
    is_stopping: bool = attrs.field(default=False, init=False)
    _sessions: set[CallerSession] = attrs.field(factory=set, init=False)
    _server: asyncio.Server = attrs.field(init=False)
    _lending_server: asyncio.Server | None = attrs.field(
        default=None, init=False
    )
    _http_servers: list[LazyHttpServer] = attrs.field(factory=list, init=False)
    _jobs: set[asyncio.Task[None]] = attrs.field(factory=set, init=False)
    _was_ready: bool = attrs.field(default=False, init=False)
    _last_relay: str = attrs.field(default="", init=False)
    _plan_version: int = attrs.field(default=-1, init=False)
    _applied_view: tuple[object, ...] = attrs.field(default=(), init=False)
    _teams: TeamDirectory | None = attrs.field(default=None, init=False)
    _timeline: StartTimeline = attrs.field(
        default=attrs.Factory(
            lambda self: StartTimeline(started_ns=self.started_ns),
            takes_self=True,
        ),
        init=False,
    )

    def __attrs_post_init__(self) -> None:
        """Build the entry node and its parts."""
        settings = self.settings
        self.node = EntryNode(
            host=f"{settings.host}#{secrets.token_hex(4)}",
            data_center=settings.data_center,
            address=settings.sessions_address,
            control=self._seeds(),
            renewal_ms=RENEWAL_INTERVAL_MS,
            lending_address=settings.lending_address,
            started_ns=self.started_ns,
        )
        self.router = Router(
            node=self.node,
            label=settings.host,
            new_codec=self.platform.target_codec,
            send=self._execute_effects,
            regions={p.data_center: p.region for p in settings.places},
            contacts=self.contacts,
            max_plan_age_ms=min(
                MAX_PLAN_AGE_MS, settings.revoke_ms or MAX_PLAN_AGE_MS
            ),
            limit_settings=_limit_settings(settings),
            leaving_work_ms=settings.leaving_work_ms,
        )
        self.lender = Lender(
            stop_schedule=self.router.stop_schedule,
            find_pool=self.router.own_pool,
            find_point=self.router.positions.find,
            on_token_request=self.router.rate_limits.handle_request,
        )
        self.relay_client = RelayClient(
            on_message=self._receive_relayed, on_lost=self._on_relay_lost
        )
        self.network = PeerNetwork(
            host=self.node.host,
            listen=Address(ip=settings.ip, port=0),
            addresses={},
            receive=self._receive,
            network_conditions=UnmodifiedNetwork(),
            contacts=self.contacts,
        )
        self.relay_server = RelayServer(
            find_leader=self._find_direct_leader, send=self.network.send
        )
        self.lender.relay = self.relay_server.relay_to_leader
        self._timeline.record(StartStep.IMPORTED)
        self._applied_view = self._view_key()

    async def start(self) -> None:
        """Listen for sessions and loan requests, and start ticking."""
        loop = asyncio.get_running_loop()
        address = Address.parse(self.settings.sessions_address)
        self._server = await loop.create_server(
            self._accept,
            address.ip,
            address.port,
            backlog=LISTEN_BACKLOG,
            reuse_address=True,
        )
        await self._start_lending()
        spawn_lasting(
            repeat(
                self._tick,
                name="tick",
                interval_s=ENTRY_TICK_S,
                tolerated_faults=MAX_TICK_FAULTS,
            ),
            self._jobs,
            name="tick",
        )
        await self._start_http()
        self._timeline.record(StartStep.LISTENING)
        logging.info("event=started name=%s", self.node.host)

    async def _start_http(self) -> None:
        readiness = LazyHttpServer(
            address=Address.parse(self.settings.ready_address),
            start_server=self._start_readiness,
            plain_app=self.platform.readiness_app(self.is_ready),
        )
        self._http_servers.append(readiness)
        if self.settings.metrics_address:
            metrics = LazyHttpServer(
                address=Address.parse(self.settings.metrics_address),
                start_server=self._start_metrics,
            )
            self._http_servers.append(metrics)
        for server in self._http_servers:
            await server.start()

    def _start_readiness(self, listener: socket.socket) -> HttpServer:
        from rosemarysaddle.web import HttpServer  # noqa: PLC0415

        server = HttpServer(
            address=Address.parse(self.settings.ready_address),
            threads=READINESS_THREADS,
            max_body_bytes=READINESS_MAX_BODY_BYTES,
            stop_timeout_s=POLL_INTERVAL_S,
            listener=listener,
        )
        server.tree.graft(self.platform.readiness_app(self.is_ready), "")
        server.start()
        return server

    def _start_metrics(self, listener: socket.socket) -> HttpServer | None:
        from rosemarysaddle.node._host_metrics import (  # noqa: PLC0415
            start_metrics,
        )

        return start_metrics(self.settings, self._collect_metrics, listener)

    async def _start_lending(self) -> None:
        if not self.settings.lending_address:
            return
        address = Address.parse(self.settings.lending_address)
        loop = asyncio.get_running_loop()
        self._lending_server = await loop.create_server(
            self.lender.accept,
            address.ip,
            address.port,
            backlog=LISTEN_BACKLOG,
            reuse_address=True,
        )

    async def stop(self) -> None:
        """Drain this host and stop it within the grace period.

        Waits until the load balancer has taken the host out of
        rotation, then closes sessions as they become idle. From half of
        the grace period on it starts no work, and rolls back each open
        transaction once it runs no statement. A statement that still
        runs at the end is answered as such.
        """
        self.is_stopping = True
        loop = asyncio.get_running_loop()
        start_s = loop.time()
        grace_s = float(self.settings.grace_s)
        logging.info("event=stopping sessions=%d", len(self._sessions))
        await asyncio.sleep(min(OUT_OF_ROTATION_S, grace_s / 3))
        half_time_s = start_s + grace_s / 2
        self.router.stop_schedule.transactions_until_ns = clock_ns() + int(
            (half_time_s - loop.time()) * NS_PER_S
        )
        while loop.time() < half_time_s and self._sessions:
            self._close_idle()
            await asyncio.sleep(POLL_INTERVAL_S)
        self._server.close()
        if self._lending_server is not None:
            self._lending_server.close()
        end_s = start_s + grace_s - SHUTDOWN_RESERVE_S
        while loop.time() < end_s and (
            self._sessions or self.lender.lent_count
        ):
            for session in list(self._sessions):
                session.end_transaction()
            self._close_idle()
            await asyncio.sleep(POLL_INTERVAL_S)
        for session in list(self._sessions):
            session.stop()
        self.lender.close()
        self._execute_effects(self.node.stop())
        self.router.rate_limits.close()
        await asyncio.sleep(POLL_INTERVAL_S)
        await asyncio.gather(*(s.stop() for s in self._http_servers))
        self.relay_client.keep_only(())
        await self.network.stop()

    def is_ready(self) -> bool:
        """Return whether this host accepts new sessions."""
        is_lease_valid = clock_ns() < self.node.lease.deadline_ns
        is_behind = self.node.is_view_behind(clock_ns())
        is_usable = self.node.ready and is_lease_valid and not is_behind
        return is_usable and not self.is_stopping

    def reload(self, settings: Node) -> None:
        """Apply changed settings."""
        self.settings = settings
        self.node.control = self._seeds()
        logging.info("event=reloaded seeds=%s", ",".join(settings.seeds))

    def _collect_metrics(self) -> Iterable[Metric]:
        from rosemarysaddle.node._host_metrics import (  # noqa: PLC0415
            entry_metrics,
            timeline_metric,
        )

        yield from entry_metrics(
            self.node,
            self.router,
            self.lender,
            teams=[s.runner.team for s in list(self._sessions)],
            relayed_hosts=self.relay_server.host_count,
        )
        yield timeline_metric(self._timeline)

    def _seeds(self) -> list[str]:
        port = self.settings.peers_port
        return [peer_address(seed, port) for seed in self.settings.seeds]

    def _close_idle(self) -> None:
        for session in list(self._sessions):
            if not session.is_busy and not session.in_transaction:
                session.close()

    def _accept(self) -> CallerSession:
        session = CallerSession(
            codec=self.platform.caller_codec(),
            router=self.router,
            on_end=self._sessions.discard,
        )
        self._sessions.add(session)
        return session

    def _tick(self) -> None:
        now_ns = clock_ns()
        if self.node.is_view_behind(now_ns, MAX_STALE_VIEW_MS):
            # The leader answers, but its changes do not get through.
            logging.error(
                "event=process-ended status=%d cause=stale-view index=%d",
                SOFTWARE_EXIT_STATUS,
                self.node.state.index,
            )
            end_process(SOFTWARE_EXIT_STATUS)
        self.router.record_tick(now_ns, ENTRY_TICK_S)
        self._execute_effects(self.node.tick(now_ns))
        if self._applied_view != self._view_key():
            # An earlier attempt raised.
            self._apply_view()
        self.router.positions.refresh()
        self.router.tick_loans(now_ns)
        self.router.unknown_keys.tick(now_ns)
        self.router.stage_stats.tick(now_ns)
        self.lender.tick(now_ns)
        self.relay_server.tick(now_ns)
        self.relay_client.keep_only(self.node.relay.asked)
        self._record_contacts(now_ns)
        self._log_readiness_change()
        log_skipped_entries(self.node.state)
        self._record_start()

    def _record_contacts(self, now_ns: int) -> None:
        """Log that the lease or the leader was lost or regained."""
        node = self.node
        self.contacts.forget_unused(now_ns)
        if not node.last_leader or self.is_stopping:
            return
        relay = node.relay.current
        link = LinkKind.RELAYED if relay else LinkKind.DIRECT
        if relay != self._last_relay:
            self._last_relay = relay
            log_event(
                "leader-link",
                f"link={link} relay={relay or '-'} leader={node.last_leader}",
            )
        if now_ns < node.lease.deadline_ns:
            self.contacts.record_regained(
                ContactKind.LEASE, "", now_ns, link=link
            )
        else:
            self.contacts.record_lost(
                ContactKind.LEASE, "", node.lease.deadline_ns, link=link
            )
        if node.unanswered_since_ns:
            self.contacts.record_lost(
                ContactKind.LEADER,
                "",
                node.unanswered_since_ns,
                reason=f"unanswered-by:{node.last_leader}",
            )
        else:
            self.contacts.record_regained(
                ContactKind.LEADER, "", now_ns, link=link
            )

    def _log_readiness_change(self) -> None:
        ready = self.is_ready()
        if ready is not self._was_ready:
            self._was_ready = ready
            logging.info(
                "event=readiness ready=%s index=%d version=%d leader=%s",
                ready,
                self.node.state.index,
                self.node.state.routes.version,
                self.node.lease.leader,
            )

    def _find_direct_leader(self) -> str:
        if self.is_stopping:
            return ""
        return self.node.relay_leader(clock_ns())

    def _on_relay_lost(self, neighbour: str, reason: str) -> None:
        self.node.relay.record_failure(neighbour)
        self.contacts.record_lost(
            ContactKind.NEIGHBOUR, neighbour, clock_ns(), reason=reason
        )

    def _receive_relayed(
        self, neighbour: str, message: RelayedMessage
    ) -> None:
        if message.host != self.node.host:
            return
        if not message.body:
            # The neighbour does not reach the leader itself.
            self.node.relay.record_failure(neighbour)
            return
        envelope = unwrap_relayed(message)
        if isinstance(envelope, DecodeFault):
            log_event(
                "bad-relayed", f"peer={neighbour} reason={envelope.reason!r}"
            )
            return
        self.contacts.record_regained(
            ContactKind.NEIGHBOUR, neighbour, clock_ns()
        )
        self._apply(
            lambda: self.node.receive_relayed(
                neighbour, envelope.source, envelope.body, clock_ns()
            )
        )

    def _receive(self, source: str, message: Message) -> None:
        if isinstance(message, RelayedMessage):
            self.relay_server.relay_to_host(message)
            return
        self._apply(lambda: self.node.receive(source, message, clock_ns()))

    def _apply(self, receive: Callable[[], Sequence[Effect]]) -> None:
        node_was_ready = self.node.ready
        self._execute_effects(receive())
        if self._view_key() != self._applied_view:
            self._apply_view()
        else:
            self.router.notify_waiters()
        if not node_was_ready:
            self._record_start()

    def _apply_view(self) -> None:
        view = self._view_key()
        control = {*self._seeds(), *self.node.state.voters}
        self.node.control = sorted(control)
        self.router.apply_view()
        self._recheck_keys()
        self._applied_view = view

    def _record_start(self) -> None:
        node, record = self.node, self._timeline.record
        record(StartStep.LEASE, reached=node.lease.deadline_ns > 0)
        record(StartStep.VIEW, reached=node.state.index > 0)
        record(StartStep.NEIGHBOURS, reached=bool(node.neighbours))
        record(StartStep.READY, reached=node.ready)
        record(StartStep.FIRST_SESSION, reached=bool(self._sessions))
        results = self.router.statement_stats.results
        record(StartStep.FIRST_STATEMENT, reached=bool(results))

    def _recheck_keys(self) -> None:
        """Apply a new plan to the sessions that are open."""
        routes = self.node.state.routes
        if routes.version == self._plan_version:
            return
        self._plan_version = routes.version
        log_event(
            "plan-applied",
            f"version={routes.version} index={self.node.state.index}"
            f" view_age_ms={self.node.view_age_ms(clock_ns())}",
        )
        ended = sum([s.recheck_key() for s in list(self._sessions)])
        earlier, self._teams = self._teams, routes.teams
        teams = routes.teams or TeamDirectory()
        if earlier is None and routes.teams is None:
            return
        losers = sorted((earlier or teams).teams_with_removed_keys(teams))
        log_event(
            "teams",
            f"version={routes.version} teams={len(teams.by_name)}"
            f" keys={teams.key_count} ended_transactions={ended}"
            f" lost_keys={len(losers)}"
            f" losers={','.join(losers[:MAX_LOGGED_TEAMS]) or '-'}",
        )

    def _view_key(self) -> tuple[object, ...]:
        node = self.node
        return node.state.index, node.neighbours, node.remote_hosts

    def _execute_effects(self, effects: Sequence[Effect]) -> None:
        for effect in effects:
            if isinstance(effect, Send):
                self.network.send(
                    effect.peer, effect.message, is_retry=effect.is_retry
                )
            elif isinstance(effect, SendRelayed):
                wrapped = wrap_relayed(
                    self.node.host, self.node.host, effect.message
                )
                if wrapped is not None:
                    self.relay_client.send(effect.neighbour, wrapped)
            else:
                logging.error(
                    "event=unknown-effect kind=%s", type(effect).__name__
                )


def _limit_settings(settings: Node) -> LimitSettings:
    return LimitSettings(
        window_ns=int(settings.limit_window_s * NS_PER_S),
        overage=settings.limit_overage,
        slack=settings.limit_slack,
        data_center=settings.data_center,
        data_centers=tuple(sorted({p.data_center for p in settings.places})),
    )
