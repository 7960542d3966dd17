"""Control host that finds the other control hosts by seeds.

Runs the control node: the replicated log, the host's part in
elections, and the HTTP API for operators and targets.
"""

from __future__ import annotations

import asyncio
import contextlib
import importlib
import uuid
from pathlib import Path
from typing import TYPE_CHECKING, Any, Final

import attrs

from rosemarysaddle import _log as logging
from rosemarysaddle._clock import clock_ns
from rosemarysaddle._events import log_event
from rosemarysaddle._jitter import election_jitter
from rosemarysaddle._process import (
    SOFTWARE_EXIT_STATUS,
    end_process,
    repeat,
    spawn_lasting,
)
from rosemarysaddle._tasks import spawn
from rosemarysaddle.decide import (
    NS_PER_MS,
    CheckEnded,
    ClusterState,
    ControlNode,
    DemoteTarget,
    DocumentKind,
    FollowPrimary,
    LogDecision,
    LogNode,
    ProbeGroup,
    PromoteTarget,
    RelayRoutes,
    SaveEntries,
    SaveSnapshot,
    SaveVote,
    Send,
    check_plan,
    is_empty,
    is_outdated,
    is_relayable,
    is_update,
    join_voters,
)
from rosemarysaddle.link import (
    Address,
    DecodeFault,
    PeerNetwork,
    UnmodifiedNetwork,
    unwrap_relayed,
    wrap_relayed,
)
from rosemarysaddle.node._departure_log import DepartureLog
from rosemarysaddle.node._follower_log import FollowerLog
from rosemarysaddle.node._identity import (
    load_or_create_host_name,
    peer_address,
)
from rosemarysaddle.node._lazy_http import LazyHttpServer
from rosemarysaddle.node._log_disk import LogDisk
from rosemarysaddle.node._orders import AnnouncedTargetOrders
from rosemarysaddle.node._rejected_messages import RejectedMessages
from rosemarysaddle.node._skipped_entries import log_skipped_entries
from rosemarysaddle.node._start_timeline import StartStep, StartTimeline
from rosemarysaddle.node._timing import (
    CONTROL_TICK_S,
    LEASE_MS,
    PROMOTE_TIMEOUT_MS,
)
from rosemarysaddle.schema import (
    Announcement,
    ChangeProposal,
    ChangeReply,
    IndexReply,
    IndexRequest,
    JoinRequest,
    RelayedMessage,
    SchemaFault,
    StepOut,
)
from rosemarysaddle.store import Journal

if TYPE_CHECKING:
    import socket
    from collections.abc import Callable, Iterable, Sequence

    from rosemarysaddle._prometheus import Metric
    from rosemarysaddle.decide import Departure, Effect, StoredLog
    from rosemarysaddle.node._platform import Platform
    from rosemarysaddle.schema import Message, Node
    from rosemarysaddle.web import HttpServer

__all__ = ("ControlHost",)

JOIN_INTERVAL_S: Final = 0.3
RESEND_INTERVAL_S: Final = 0.2
# Less than the 1 s after which a caller tries another control host.
ANSWER_TIMEOUT_MS: Final = 900
CHANGE_TIMEOUT_MS: Final = 4_000
# A target that is held for ended has to repeat itself in any case.
CONTEST_TIMEOUT_MS: Final = 300
HTTP_THREADS: Final = 6
MAX_BODY_BYTES: Final = 16 * 1024 * 1024
STOP_GRACE_S: Final = 0.3
# Nothing can be committed before the election, but a host must answer
# operators and targets even if there is no leader.
ELECTION_WAIT_S: Final = 1.5
# Callers of entry hosts without a lease wait, while operators and
# targets try another control host within a second.
LEASES_WAIT_S: Final = 1.0
# Steps that may raise before the process ends as a whole.
MAX_DEFECTS: Final = 8


@attrs.define(kw_only=True, eq=False)
class ControlHost:
    """One control host.

    :param settings: settings of the host
    :param platform: protocols and API calls of the platform
    :param started_ns: monotonic time since which this process runs, in
        nanoseconds; an earlier process of this host has ended by then
    :param host: name among its peers; a new disk gets a new name
    """

    settings: Node
    platform: Platform
    started_ns: int = attrs.field(factory=clock_ns)
    host: str = attrs.field(default="", init=False)
    control: ControlNode = attrs.field(init=False)
    network: PeerNetwork = attrs.field(init=False)
    is_stopping: bool = attrs.field(default=False, init=False)
    _disk: LogDisk = attrs.field(init=False)
    _defects: int = attrs.field(default=0, init=False)
    _rejected: RejectedMessages = attrs.field(
        factory=RejectedMessages, init=False
    )
    _orders: AnnouncedTargetOrders = attrs.field(init=False)
    _loop: asyncio.AbstractEventLoop = attrs.field(init=False)
    _http: HttpServer = attrs.field(init=False)
    _metrics: LazyHttpServer | None = attrs.field(default=None, init=False)
    _pending_replies: dict[str, asyncio.Future[ChangeReply]] = attrs.field(
        factory=dict, init=False
    )
    _pending_indexes: dict[int, asyncio.Future[IndexReply]] = attrs.field(
        factory=dict, init=False
    )
    _relay_routes: RelayRoutes = attrs.field(factory=RelayRoutes, init=False)
    _jobs: set[asyncio.Task[None]] = attrs.field(factory=set, init=False)
    _logged_state: tuple[object, ...] = attrs.field(default=(), init=False)
    _follower_log: FollowerLog = attrs.field(factory=FollowerLog, init=False)
    _departure_log: DepartureLog = attrs.field(
        factory=DepartureLog, init=False
    )
    _leader_known: asyncio.Event = attrs.field(
        factory=asyncio.Event, init=False
    )
    _all_leases_granted: asyncio.Event = attrs.field(
        factory=asyncio.Event, init=False
    )
    _timeline: StartTimeline = attrs.field(
        default=attrs.Factory(
            lambda self: StartTimeline(started_ns=self.started_ns),
            takes_self=True,
        ),
        init=False,
    )
    _changed: asyncio.Condition = attrs.field(
        factory=asyncio.Condition, init=False
    )

    # --- start and stop ---

    async def start(self) -> None:
        """Load the journal, listen, and start to tick and join."""
        self._loop = asyncio.get_running_loop()
        self._timeline.record(StartStep.IMPORTED)
        folder = Path(self.settings.data_folder)
        self.host = load_or_create_host_name(folder, self.settings)
        self._disk = LogDisk(journal=Journal(folder=folder))
        self._open_log()
        self._timeline.record(StartStep.LOG_READ)
        self._orders = AnnouncedTargetOrders(
            host=self.settings.host,
            platform=self.platform,
            promoter=self.platform.promoter(self.settings.promotion_address),
            fencing_token=lambda: self.control.log.term,
            leads=self._may_order,
            group_of=self._group_of,
            on_answered=self._on_order_answered,
        )
        self.network = PeerNetwork(
            host=self.host,
            listen=Address(ip=self.settings.ip, port=self.settings.peers_port),
            addresses={},
            receive=self._receive,
            network_conditions=UnmodifiedNetwork(),
        )
        await self.network.start()
        self._timeline.record(StartStep.LISTENING)
        self._repeat(self._tick, CONTROL_TICK_S)
        self._repeat(self._join, JOIN_INTERVAL_S)
        await self._start_http()
        self._timeline.record(StartStep.API)
        logging.info(
            "event=started name=%s voters=%s index=%d",
            self.host,
            ",".join(self.control.log.voters),
            self.control.state.index,
        )

    async def stop(self) -> None:
        """Ask to leave the voters, step down as leader, and stop."""
        self.is_stopping = True
        logging.info("event=stopping name=%s", self.host)
        self._send_to_leader(StepOut(host=self.host))
        self._run("stop", lambda: self.control.step_down(clock_ns()))
        await asyncio.sleep(STOP_GRACE_S)
        await asyncio.to_thread(self._http.stop)
        if self._metrics is not None:
            await self._metrics.stop()
        for task in list(self._jobs):
            task.cancel()
        await self.network.stop()
        self._disk.journal.close()

    def reload(self, settings: Node) -> None:
        """Apply changed settings."""
        self.settings = settings
        logging.info("event=reloaded seeds=%s", ",".join(settings.seeds))

    def _open_log(self) -> None:
        settings = self.settings
        stored = self._disk.journal.open()
        port = settings.peers_port
        seeds = sorted(peer_address(seed, port) for seed in settings.seeds)
        # Only on the first start do the seeds become the voters of a
        # new log. A host that is started later asks to join.
        if settings.first_start and self.host in seeds and is_empty(stored):
            initial_voters = join_voters(seeds)
            self._disk.journal.save_snapshot(0, 0, "", initial_voters)
            stored = attrs.evolve(stored, snapshot_voters=initial_voters)
        self._load_log(stored, self.started_ns)

    def _load_log(self, stored: StoredLog, started_ns: int) -> None:
        log = LogNode(
            host=self.host,
            voters=(),
            stored=stored,
            jitter_ms=election_jitter(self.host),
            started_ns=started_ns,
        )
        self.control = ControlNode(
            log=log,
            state=ClusterState.from_stored(stored),
            data_center=self.settings.data_center,
            lease_ms=LEASE_MS,
            wanted_voters=2 * self.settings.tolerated_hosts + 1,
        )
        self.control.primaries.promote_timeout_ms = PROMOTE_TIMEOUT_MS

    async def _start_http(self) -> None:
        await self._wait_for_leases()
        web = await asyncio.to_thread(
            importlib.import_module, "rosemarysaddle.web"
        )
        self._http = web.HttpServer(
            address=Address.parse(self.settings.control_address),
            threads=HTTP_THREADS,
            max_body_bytes=MAX_BODY_BYTES,
            stop_timeout_s=STOP_GRACE_S,
        )
        self._http.tree.graft(self.platform.control_app(self), "")
        self._http.start()
        if self.settings.metrics_address:
            self._metrics = LazyHttpServer(
                address=Address.parse(self.settings.metrics_address),
                start_server=self._start_metrics,
            )
            await self._metrics.start()

    async def _wait_for_leases(self) -> None:
        """Wait for the election and, as leader, for its leases.

        The import of the HTTP server takes as long as both together,
        and even in a thread of its own it delays votes and grants.
        """
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(self._leader_known.wait(), ELECTION_WAIT_S)
        if self.control.log.leader == self.host:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(
                    self._all_leases_granted.wait(), LEASES_WAIT_S
                )

    def _start_metrics(self, listener: socket.socket) -> HttpServer | None:
        from rosemarysaddle.node._host_metrics import (  # noqa: PLC0415
            start_metrics,
        )

        return start_metrics(self.settings, self._collect_metrics, listener)

    def _collect_metrics(self) -> Iterable[Metric]:
        from rosemarysaddle.node._host_metrics import (  # noqa: PLC0415
            control_metrics,
            disk_metric,
            timeline_metric,
        )

        yield from control_metrics(self.control)
        yield disk_metric(self._disk)
        yield timeline_metric(self._timeline)

    # --- called from the threads of the HTTP server ---

    @property
    def is_available(self) -> bool:
        """Whether this host takes part in the log.

        It does not while its disk fails: callers should try another
        host at once.
        """
        return not self._disk.has_failed

    def announce_from_thread(self, announcement: Announcement) -> bool:
        """Commit the announcement of a target to the control log.

        :return: whether it was committed and applied within
            ANSWER_TIMEOUT_MS
        """
        work = self._announce(announcement)
        return asyncio.run_coroutine_threadsafe(work, self._loop).result()

    def confirm_group_from_thread(
        self, announcement: Announcement
    ) -> bool | None:
        """Find out whether the group of a target is known.

        That is the case if the target is registered or the route plan
        in force names the group.  A host that does not know the group
        first catches up with the leader, as its plan may be outdated.

        :return: whether the group is known, or None if this host cannot
            confirm that it has the latest plan
        """
        if self._knows_group(announcement):
            return True
        work = self._catch_up(clock_ns() + ANSWER_TIMEOUT_MS * NS_PER_MS)
        is_latest = asyncio.run_coroutine_threadsafe(work, self._loop).result()
        if self._knows_group(announcement):
            return True
        log_event(
            "unknown-group",
            f"target={announcement.target} group={announcement.group}"
            f" index={self.control.state.index}"
            f" version={self.control.state.routes.version}"
            f" latest={is_latest}",
        )
        return False if is_latest else None

    def _knows_group(self, announcement: Announcement) -> bool:
        state = self.control.state
        is_registered = announcement.target in state.targets.records
        return is_registered or announcement.group in state.routes.groups

    def replace_plan_from_thread(
        self, text: str
    ) -> ChangeReply | SchemaFault | None:
        """Replace the route plan.

        :param text: the plan as JSON
        :return: the reply of the leader, the fault in the plan, or None
            if no reply came within CHANGE_TIMEOUT_MS or before the host
            stopped: the plan may still take effect
        """
        plan = check_plan(text, source="operator")
        if isinstance(plan, SchemaFault):
            return plan
        change = ChangeProposal(
            change_id=str(uuid.uuid4()),
            kind=DocumentKind.ROUTES,
            base_version=plan.version,
            author="operator",
            payload=text,
        )
        work = self._propose_change(change)
        return asyncio.run_coroutine_threadsafe(work, self._loop).result()

    def read_plan_from_thread(self) -> str | None:
        """Read the latest committed route plan.

        :return: its text as sent, or None if there is no plan or this
            host cannot confirm that it has the latest one
        """
        work = self._read_latest_plan()
        return asyncio.run_coroutine_threadsafe(work, self._loop).result()

    async def _announce(self, announcement: Announcement) -> bool:
        is_new = is_update(announcement, self.control.state.targets)
        was_outdated = self._is_outdated(announcement)
        if not was_outdated and self.control.contradicts_state(announcement):
            # The record of the target has no role, so that a change of
            # it is no update.
            self._send_to_leader(announcement)
        limit_ms = CONTEST_TIMEOUT_MS if was_outdated else ANSWER_TIMEOUT_MS
        is_committed = await self._commit(
            announcement, clock_ns() + limit_ms * NS_PER_MS
        )
        if was_outdated:
            log_event(
                "outdated-target",
                f"target={announcement.target} group={announcement.group}"
                f" address={announcement.address}"
                f" incarnation_ms={announcement.incarnation_ms}"
                f" leaving={announcement.leaving} accepted={is_committed}"
                f" index={self.control.state.index}",
            )
        if is_committed and announcement.leaving:
            log_event(
                "stop-acknowledged",
                f"target={announcement.target} group={announcement.group}"
                f" gone={announcement.gone} first={is_new}"
                f" index={self.control.state.index}",
            )
        return is_committed

    async def _commit(
        self, announcement: Announcement, deadline_ns: int
    ) -> bool:
        """Send an announcement to the leader until it is committed.

        :return: whether the registry holds it
        """
        while self._is_outdated(announcement) or is_update(
            announcement, self.control.state.targets
        ):
            if not self._may_wait(deadline_ns):
                return False
            self._send_to_leader(announcement)
            await self._wait_change(RESEND_INTERVAL_S)
        return True

    def _is_outdated(self, announcement: Announcement) -> bool:
        """Tell whether the registry holds for ended who announces."""
        targets = self.control.state.targets
        return not announcement.gone and is_outdated(announcement, targets)

    async def _propose_change(
        self, change: ChangeProposal
    ) -> ChangeReply | None:
        deadline_ns = clock_ns() + CHANGE_TIMEOUT_MS * NS_PER_MS
        future: asyncio.Future[ChangeReply] = self._loop.create_future()
        self._pending_replies[change.change_id] = future
        try:
            while self._may_wait(deadline_ns):
                self._send_to_leader(change)
                done, _ = await asyncio.wait(
                    [future], timeout=RESEND_INTERVAL_S
                )
                if done:
                    return future.result()
        finally:
            del self._pending_replies[change.change_id]
        return None

    async def _read_latest_plan(self) -> str | None:
        deadline_ns = clock_ns() + ANSWER_TIMEOUT_MS * NS_PER_MS
        if not await self._catch_up(deadline_ns):
            return None
        state = self.control.state
        return None if state.lacks_plan else state.routes.source or None

    async def _catch_up(self, deadline_ns: int) -> bool:
        """Apply all that is committed now.

        :return: whether that was done before the deadline
        """
        index = await self._read_latest_index(deadline_ns)
        if index is None:
            return False
        while self.control.state.index < index:
            if not self._may_wait(deadline_ns):
                return False
            await self._wait_change(RESEND_INTERVAL_S)
        return True

    async def _read_latest_index(self, deadline_ns: int) -> int | None:
        if self.control.leads(clock_ns()):
            return self.control.state.index
        asked_ns = clock_ns()
        future: asyncio.Future[IndexReply] = self._loop.create_future()
        self._pending_indexes[asked_ns] = future
        try:
            while self._may_wait(deadline_ns):
                self._send_to_leader(IndexRequest(asked_ns=asked_ns))
                done, _ = await asyncio.wait(
                    [future], timeout=RESEND_INTERVAL_S
                )
                if done:
                    return future.result().index
        finally:
            del self._pending_indexes[asked_ns]
        return None

    def _may_wait(self, deadline_ns: int) -> bool:
        """Tell whether a caller may still get an answer by waiting."""
        is_ending = self.is_stopping or self._disk.has_failed
        return clock_ns() < deadline_ns and not is_ending

    # --- event loop ---

    def _repeat(self, step: Callable[[], None], interval_s: float) -> None:
        name = step.__name__.strip("_")
        work = repeat(step, name=name, interval_s=interval_s)
        spawn_lasting(work, self._jobs, name=name)

    def _tick(self) -> None:
        now_ns = clock_ns()
        if self._disk.has_failed:
            self._try_to_recover(now_ns)
            return
        self._run("tick", lambda: self.control.tick(now_ns))
        log_skipped_entries(self.control.state)
        self._follower_log.update(self.control.log, now_ns)
        self._departure_log.update(self._departures(now_ns), now_ns)
        self._record_start(now_ns)

    def _run(self, name: str, step: Callable[[], Sequence[Effect]]) -> bool:
        """Run a step of the control node and execute its effects.

        A step that raises may leave state in memory that the disk
        lacks, so the log is loaded again.  One that always raises ends
        the process.

        :param name: name of the step in the log
        :return: False if the step raised
        """
        if self._disk.has_failed:
            return True
        try:
            self._execute_effects(step())
        except Exception as error:  # noqa: BLE001  # of any part of the node
            self._defects += 1
            logging.error(
                "event=defect step=%s count=%d",
                name,
                self._defects,
                exc_info=error,
            )
            if self._defects > MAX_DEFECTS:
                end_process(SOFTWARE_EXIT_STATUS)
            self._disk.fail(clock_ns())
            self._leave_log()
            return False
        return True

    def _leave_log(self) -> None:
        """Hand the leadership over; vote and answer no more for now."""
        led = self.control.leads(clock_ns())
        logging.info(
            "event=log-left led=%s term=%d", led, self.control.log.term
        )
        for effect in self.control.step_down(clock_ns()):
            if isinstance(effect, Send):
                self.network.send(effect.peer, effect.message)

    def _try_to_recover(self, now_ns: int) -> None:
        stored = self._disk.try_to_recover(now_ns)
        if stored is not None:
            # As after a restart, what was heard and promised before is
            # unknown.
            self._load_log(stored, now_ns)

    def _departures(self, now_ns: int) -> list[Departure]:
        if not self.control.leads(now_ns):
            return []
        return self.control.departures.list_departures(now_ns)

    def _record_start(self, now_ns: int) -> None:
        record, leads = self._timeline.record, self.control.leads(now_ns)
        record(StartStep.LEADER_KNOWN, reached=bool(self.control.log.leader))
        record(StartStep.ELECTED, reached=leads)
        if not leads or StartStep.ALL_LEASES in self._timeline.steps_s:
            return
        leases = len(self.control.lease_holders(now_ns))
        entry_hosts = self.control.state.entry_hosts
        record(StartStep.LEASE_GRANTED, reached=leases > 0)
        if 0 < entry_hosts <= leases:
            record(StartStep.ALL_LEASES)
            self._all_leases_granted.set()

    def _join(self) -> None:
        # Messages from a leader do not prove membership: those that it
        # sends to the name that belonged to an earlier disk of this
        # host arrive at this address too.
        if self.control.log.needs_to_join and not self._disk.has_failed:
            self._ask_to_join()

    def _ask_to_join(self) -> None:
        log = self.control.log
        port = self.settings.peers_port
        peers = {peer_address(seed, port) for seed in self.settings.seeds}
        peers.update(log.voters)
        if log.leader:
            peers = {log.leader}
        for peer in sorted(peers - {self.host}):
            self.network.send(peer, JoinRequest(host=self.host))

    def _receive(self, source: str, message: Message) -> None:
        if isinstance(message, ChangeReply):
            self._on_change_reply(message)
            return
        if isinstance(message, IndexReply):
            self._on_index_reply(message)
            return
        if isinstance(message, RelayedMessage):
            self._receive_relayed(source, message)
            return
        kind = type(message).__name__
        if self._rejected.has(message, clock_ns()):
            log_event("message-rejected", f"peer={source} kind={kind}")
            return
        index = self.control.state.index
        has_run = self._run(
            kind,
            lambda: self.control.receive(source, message, clock_ns()),
        )
        if not has_run:
            self._rejected.add(message, clock_ns())
        if self.control.state.index != index:
            spawn(self._notify(), self._jobs)

    def _receive_relayed(self, relay: str, message: RelayedMessage) -> None:
        envelope = unwrap_relayed(message)
        if isinstance(envelope, DecodeFault):
            log_event(
                "bad-relayed", f"peer={relay} reason={envelope.reason!r}"
            )
            return
        if is_relayable(message.host, envelope.body):
            self._relay_routes.record(message.host, relay, clock_ns())
            self._receive(message.host, envelope.body)

    def _send_relayed(self, host: str, message: Message) -> None:
        """Send a message over the host's relay if it has one."""
        relay = self._relay_routes.find(host, clock_ns())
        if not relay:
            return
        wrapped = wrap_relayed(host, self.host, message)
        if wrapped is None:
            log_event("relayed-too-long", f"host={host} kind={type(message)}")
            return
        self.network.send(relay, wrapped)

    def _on_change_reply(self, reply: ChangeReply) -> None:
        future = self._pending_replies.get(reply.change_id)
        refused = reply.reason == "not-leader"
        if future is not None and not future.done() and not refused:
            future.set_result(reply)

    def _on_index_reply(self, reply: IndexReply) -> None:
        future = self._pending_indexes.get(reply.asked_ns)
        if future is not None and not future.done() and reply.current:
            future.set_result(reply)

    def _log_state_change(self) -> None:
        log = self.control.log
        log_state = (log.role, log.term, log.leader, log.voters, log.learners)
        if log_state == self._logged_state:
            return
        self._logged_state = log_state
        if log.leader:
            self._leader_known.set()
        logging.info(
            "event=control role=%s term=%d leader=%s voters=%s learners=%s"
            " index=%d",
            log.role,
            log.term,
            log.leader,
            ",".join(log.voters),
            ",".join(log.learners),
            self.control.state.index,
        )

    def _execute_effects(self, effects: Sequence[Effect]) -> None:
        self._log_state_change()
        for effect in effects:
            match effect:
                case Send():
                    self.network.send(effect.peer, effect.message)
                    self._send_relayed(effect.peer, effect.message)
                case SaveVote() | SaveEntries() | SaveSnapshot():
                    if not self._disk.save(effect, clock_ns()):
                        # What follows relies on what is not stored.
                        self._leave_log()
                        return
                case (
                    ProbeGroup()
                    | CheckEnded()
                    | PromoteTarget()
                    | DemoteTarget()
                ):
                    spawn(self._reach_targets(effect), self._jobs)
                case LogDecision():
                    log_event(effect.event, effect.text)
                case FollowPrimary():
                    pass  # the replicas of the platform do this by themselves
                case _:
                    logging.error(
                        "event=unknown-effect kind=%s", type(effect).__name__
                    )

    async def _reach_targets(
        self, effect: ProbeGroup | CheckEnded | PromoteTarget | DemoteTarget
    ) -> None:
        match effect:
            case ProbeGroup():
                await self._probe(effect)
            case CheckEnded():
                await self._check_ended(effect)
            case PromoteTarget():
                await self._promote(effect)
            case DemoteTarget():
                await self._demote(effect)

    async def _probe(self, probe: ProbeGroup) -> None:
        group = self.control.state.group(probe.group)
        instances = group.instances if group else ()
        reports = await self._orders.probe(probe, instances)
        logging.info(
            "event=probed group=%s attempt=%d reports=%s",
            probe.group,
            probe.attempt,
            " ".join(_describe(r) for r in reports),
        )
        self._run(
            "probe",
            lambda: self.control.on_probe(
                probe.group, probe.attempt, reports, clock_ns()
            ),
        )

    async def _check_ended(self, check: CheckEnded) -> None:
        ended = await self._orders.find_ended(check)
        self._run(
            "end-checked",
            lambda: self.control.on_end_checked(
                check.group, ended, clock_ns()
            ),
        )

    async def _promote(self, order: PromoteTarget) -> None:
        instance = self.control.state.instance(order.target)
        result = await self._orders.promote(order, instance)
        logging.info(
            "event=promoted group=%s target=%s term=%d target_term=%d"
            " done=%s settled=%s",
            order.group,
            order.target,
            order.term,
            result.target_term,
            result.done,
            result.is_settled,
        )
        self._run(
            "promoted",
            lambda: self.control.on_promoted(
                order.group, order.term, result, clock_ns()
            ),
        )

    def _may_order(self) -> bool:
        """Tell whether this host gives orders, in any thread."""
        return not self.is_stopping and self.control.leads(clock_ns())

    def _on_order_answered(self, group: str, target: str) -> None:
        self._run(
            "order-answered",
            lambda: self.control.on_order_answered(group, target, clock_ns()),
        )

    async def _demote(self, order: DemoteTarget) -> None:
        instance = self.control.state.instance(order.target)
        status = await self._orders.demote(order, instance)
        log_event(
            "demoted",
            f"group={order.group} target={order.target} term={order.term}"
            f" role={'-' if status is None else status.role}",
        )

    # --- helpers ---

    def _group_of(self, target: str) -> str:
        record = self.control.state.targets.records.get(target)
        return "" if record is None else record.group

    def _send_to_leader(self, message: Message) -> None:
        leader = self.control.log.leader
        if leader:
            self.network.send(leader, message)

    async def _wait_change(self, limit_s: float) -> None:
        try:
            async with asyncio.timeout(limit_s), self._changed:
                await self._changed.wait()
        except TimeoutError:
            return

    async def _notify(self) -> None:
        async with self._changed:
            self._changed.notify_all()


def _describe(report: Any) -> str:
    if not report.reachable:
        return f"{report.target}:unreachable"
    return f"{report.target}:{report.role}:{report.term}.{report.position}"
