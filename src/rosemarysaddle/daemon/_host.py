"""One host process: event loop, state machines and their I/O.

Passes messages, ticks and status reports to the entry node and the
control node, and executes the effects that they return.
"""

from __future__ import annotations

import asyncio
from pathlib import Path
from typing import TYPE_CHECKING, Any, Final

import attrs
from absl import logging

from rosemarysaddle._clock import clock_ns
from rosemarysaddle._events import log_event
from rosemarysaddle._jitter import election_jitter
from rosemarysaddle._process import (
    IO_EXIT_STATUS,
    end_process,
    spawn_lasting,
)
from rosemarysaddle._tasks import spawn
from rosemarysaddle.daemon._orders import TargetOrders
from rosemarysaddle.daemon._shared_node import SharedEntryNode
from rosemarysaddle.daemon._target_manager import TargetManager
from rosemarysaddle.decide import (
    NS_PER_MS,
    ClusterState,
    ControlNode,
    EntryNode,
    FollowPrimary,
    LogDecision,
    LogNode,
    ProbeGroup,
    PromoteTarget,
    PromotionResult,
    SaveEntries,
    SaveSnapshot,
    SaveVote,
    Send,
)
from rosemarysaddle.link import (
    Address,
    NetworkConditions,
    PeerNetwork,
    UnmodifiedNetwork,
)
from rosemarysaddle.schema import (
    Announcement,
    ChangeProposal,
    ChangeReply,
    CloseGroup,
    LeaseGrant,
    LeaseRefusal,
    Switchover,
    ViewDelta,
    ViewSnapshot,
)
from rosemarysaddle.store import Journal
from rosemarysaddle.target import MySqlConnector

if TYPE_CHECKING:
    from collections.abc import Sequence

    from rosemarysaddle.decide import Effect
    from rosemarysaddle.schema import Message, Settings
    from rosemarysaddle.target import InstanceStatus, TargetConnector

__all__ = ("HostDaemon",)

TICK_S: Final = 0.04
RESEND_INTERVAL_S: Final = 0.25
# An unchanged announcement is forwarded again only after this time.
REPEAT_ANNOUNCEMENT_MS: Final = 3_000
_ENTRY_MESSAGES: Final = (
    LeaseGrant,
    LeaseRefusal,
    ViewDelta,
    ViewSnapshot,
    CloseGroup,
)


@attrs.frozen(kw_only=True)
class _ForwardedAnnouncement:
    content: Announcement
    repeat_at_ns: int


@attrs.define(kw_only=True, eq=False)
class HostDaemon:
    """Entry host that is also a control host if the settings say so.

    :param network_conditions: delays and partitions between this host
        and the others
    :param seed: seed of the election jitter and of the random choice
        among replicas
    """

    settings: Settings
    network_conditions: NetworkConditions = attrs.field(
        factory=UnmodifiedNetwork
    )
    seed: int = 0
    shared_node: SharedEntryNode = attrs.field(init=False)
    control: ControlNode | None = attrs.field(default=None, init=False)
    network: PeerNetwork = attrs.field(init=False)
    connector: TargetConnector = attrs.field(init=False)
    _journal: Journal | None = attrs.field(default=None, init=False)
    _loop: asyncio.AbstractEventLoop = attrs.field(init=False)
    _target_manager: TargetManager = attrs.field(init=False)
    _forwarded: dict[str, _ForwardedAnnouncement] = attrs.field(
        factory=dict, init=False
    )
    _orders: TargetOrders = attrs.field(init=False)
    _ticker: asyncio.Task[None] | None = attrs.field(default=None, init=False)
    _pending_replies: dict[str, asyncio.Future[ChangeReply]] = attrs.field(
        factory=dict, init=False
    )
    _jobs: set[asyncio.Task[None]] = attrs.field(factory=set, init=False)

    def __attrs_post_init__(self) -> None:
        """Build the entry node, the peer network and target access."""
        settings = self.settings
        control = {c.host: Address.parse(c.address) for c in settings.control}
        listen = Address.parse(settings.peers_address)
        self.connector = MySqlConnector(
            user=settings.target_user,
            password=settings.target_password,
            source_ip=settings.bind_address,
        )
        node = EntryNode(
            host=settings.host,
            data_center=settings.data_center,
            address=settings.callers_address,
            control=[c.host for c in settings.control],
        )
        self.shared_node = SharedEntryNode(
            node=node,
            held_per_group=settings.held_per_group,
            seed=self.seed,
        )
        self.network = PeerNetwork(
            host=settings.host,
            listen=listen,
            addresses=control,
            receive=self._receive,
            network_conditions=self.network_conditions,
        )
        self._orders = TargetOrders(connector=self.connector)
        self._target_manager = TargetManager(
            shared_node=self.shared_node,
            connector=self.connector,
            events=self,
            connections=settings.connections_per_target,
        )

    async def start(self) -> None:
        """Load the journal, listen for peers and start ticking."""
        self._loop = asyncio.get_running_loop()
        names = [c.host for c in self.settings.control]
        if self.settings.host in names:
            self.control = self._open_control(tuple(names))
        await self.network.start()
        self._ticker = spawn_lasting(
            self._tick_forever(), self._jobs, name="tick"
        )
        logging.info(
            "event=started name=%s control=%s",
            self.settings.host,
            self.control is not None,
        )

    async def stop(self) -> None:
        """Return the lease, step down as control leader and stop."""
        self.shared_node.stopping = True
        self._execute_effects(self.shared_node.run(lambda node: node.stop()))
        if self.control is not None:
            self._execute_effects(self.control.step_down(clock_ns()))
        await asyncio.sleep(TICK_S)
        await self.kill()

    async def kill(self) -> None:
        """Stop at once, without notice to the other hosts."""
        if self._ticker is not None:
            self._ticker.cancel()
        for task in list(self._jobs):
            task.cancel()
        await self.network.stop()
        await self._target_manager.stop()
        self._orders.close()
        if self._journal is not None:
            self._journal.close()

    async def propose(
        self, change: ChangeProposal, *, deadline_ns: int
    ) -> ChangeReply | None:
        """Send a change to the control leader until it answers.

        :param deadline_ns: monotonic time, in nanoseconds
        :return: the reply, or None if the deadline passed; the change
            may have been committed all the same
        """
        while clock_ns() < deadline_ns:
            reply = await self._propose_once(change)
            if reply is not None and reply.reason != "not-leader":
                return reply
            await asyncio.sleep(TICK_S)
        return None

    def propose_from_thread(
        self, change: ChangeProposal, *, deadline_ns: int
    ) -> ChangeReply | None:
        """Call :meth:`propose` from a worker thread."""
        work = self.propose(change, deadline_ns=deadline_ns)
        return asyncio.run_coroutine_threadsafe(work, self._loop).result()

    def switch_over(self, group: str, target: str) -> str:
        """Ask the control leader for a planned change of primary.

        Called from a worker thread. The message is sent once and may
        be lost.

        :return: control host that was asked, or empty if no leader is
            known
        """
        leader = self.shared_node.node.lease.leader
        if leader:
            order = Switchover(group=group, target=target)
            self._loop.call_soon_threadsafe(self.network.send, leader, order)
        return leader

    def announce(self, announcement: Announcement) -> None:
        """Send a target's announcement to the control hosts.

        May be called from any thread.
        """
        self._loop.call_soon_threadsafe(
            self._forward_announcement, announcement
        )

    def report(self) -> dict[str, Any]:
        """Build the status report for operators.

        Called from a worker thread.
        """
        description = self._report_entry()
        if self.control is not None:
            work = self._report_control(self.control)
            future = asyncio.run_coroutine_threadsafe(work, self._loop)
            description["control"] = future.result()
        return description

    def _report_entry(self) -> dict[str, Any]:
        now_ns = clock_ns()
        with self.shared_node.changed:
            node = self.shared_node.node
            return {
                "host": self.settings.host,
                "data_center": self.settings.data_center,
                "applied_index": node.state.index,
                "inventory_version": node.state.inventory_version,
                "rules_version": node.state.rules_version,
                "ready": node.ready,
                "has_lease": now_ns < node.lease.deadline_ns,
                "groups": {
                    name: attrs.asdict(term, filter=_exclude_starts)
                    for name, term in node.state.terms.items()
                },
                "announced": sorted(node.announced),
            }

    async def _report_control(self, control: ControlNode) -> dict[str, Any]:
        return control.report(clock_ns())

    # --- target events, called from the threads of the watches ---

    def on_status(
        self, name: str, status: InstanceStatus, asked_ns: int
    ) -> None:
        """Apply a status that a target reported.

        :param asked_ns: monotonic time at which the status was
            requested, in nanoseconds
        """
        self.shared_node.observe(name, status, asked_ns)

    def on_unreachable(self, name: str, *, refused: bool) -> None:
        """Handle a failed connection attempt to a target.

        Interrupts the running statements and, if the target is the
        primary of its group, reports a suspicion to the control leader.

        :param refused: whether the connection was refused at once
        """
        group = self.shared_node.node.state.inventory.group_of(name)
        now_ns = clock_ns()
        self.shared_node.mark_unreachable(name)
        pool = self.shared_node.pools.get(name)
        if pool is not None:
            pool.interrupt(now_ns)
        effects = self.shared_node.run(
            lambda node: node.suspect(
                group, name, refused=refused, now_ns=now_ns
            )
        )
        if effects:
            self._loop.call_soon_threadsafe(self._execute_effects, effects)

    def wait_for_status_demand(self, name: str, limit_s: float) -> None:
        """Wait until a request needs a newer status of a target.

        :param limit_s: maximum wait, in seconds
        """
        self.shared_node.wait_for_status_demand(name, limit_s)

    def on_silent(self, name: str, since_ns: int) -> None:
        """Handle a time-out of a status request.

        Closes the idle connections to the target and interrupts the
        statements on connections taken before the request.

        :param since_ns: monotonic time of the status request that was
            not answered, in nanoseconds
        """
        logging.info(
            "event=silent name=%s step=execute peer=%s",
            self.settings.host,
            name,
        )
        pool = self.shared_node.pools.get(name)
        if pool is not None:
            pool.close_idle()
            pool.interrupt(since_ns)

    # --- event loop ---

    def _open_control(self, voters: tuple[str, ...]) -> ControlNode:
        self._journal = Journal(folder=Path(self.settings.data_folder))
        stored = self._journal.open()
        log = LogNode(
            host=self.settings.host,
            voters=voters,
            stored=stored,
            jitter_ms=election_jitter(f"{self.seed}:{self.settings.host}"),
            started_ns=clock_ns(),
        )
        return ControlNode(
            log=log,
            state=ClusterState.from_stored(stored),
            data_center=self.settings.data_center,
        )

    async def _tick_forever(self) -> None:
        while True:
            self._tick(clock_ns())
            await asyncio.sleep(TICK_S)

    def _tick(self, now_ns: int) -> None:
        self._execute_effects(
            self.shared_node.run(lambda node: node.tick(now_ns))
        )
        if self.control is not None:
            self._execute_effects(self.control.tick(now_ns))
        self._target_manager.apply_inventory()

    def _receive(self, source: str, message: Message) -> None:
        now_ns = clock_ns()
        if isinstance(message, ChangeReply):
            self._on_reply(message)
            return
        if isinstance(message, _ENTRY_MESSAGES):
            entry_effects = self.shared_node.run(
                lambda node: node.receive(source, message, now_ns)
            )
            self._execute_effects(entry_effects)
            self._target_manager.apply_inventory()
            return
        if isinstance(message, Announcement):
            self._apply_announcement(source, message, now_ns)
        if self.control is not None:
            effects = self.control.receive(source, message, now_ns)
            self._execute_effects(effects)

    def _execute_effects(self, effects: Sequence[Effect]) -> None:
        for effect in effects:
            match effect:
                case Send():
                    self.network.send(effect.peer, effect.message)
                case SaveVote() | SaveEntries() | SaveSnapshot():
                    self._save(effect)
                case ProbeGroup():
                    spawn(self._probe(effect), self._jobs)
                case PromoteTarget():
                    spawn(self._promote(effect), self._jobs)
                case LogDecision():
                    log_event(effect.event, effect.text)
                case FollowPrimary():
                    spawn(self._order_follow(effect), self._jobs)
                case _:
                    logging.error(
                        "event=unknown-effect kind=%s", type(effect).__name__
                    )

    def _save(self, effect: SaveVote | SaveEntries | SaveSnapshot) -> None:
        if self._journal is None:
            return
        try:
            self._journal.save(effect)
        except OSError as error:
            # The log in memory is ahead of the disk.
            logging.error("event=disk-failed reason=%r", error)
            end_process(IO_EXIT_STATUS)

    # --- commands to targets ---

    async def _probe(self, probe: ProbeGroup) -> None:
        if self.control is None:
            return
        group = self.control.state.group(probe.group)
        instances = group.instances if group else ()
        reports = await self._orders.probe(probe, instances)
        now_ns = clock_ns()
        effects = self.control.on_probe(
            probe.group, probe.attempt, reports, now_ns
        )
        self._execute_effects(effects)

    async def _promote(self, order: PromoteTarget) -> None:
        if self.control is None:
            return
        instance = self.control.state.instance(order.target)
        done = await self._orders.promote(order, instance)
        logging.info(
            "event=promoted group=%s target=%s term=%d done=%s",
            order.group,
            order.target,
            order.term,
            done,
        )
        effects = self.control.on_promoted(
            order.group,
            order.term,
            PromotionResult(done=done),
            clock_ns(),
        )
        self._execute_effects(effects)

    async def _order_follow(self, order: FollowPrimary) -> None:
        if self.control is None:
            return
        instance = self.control.state.instance(order.target)
        await self._orders.follow(order, instance)

    # --- document changes ---

    async def _propose_once(
        self, change: ChangeProposal
    ) -> ChangeReply | None:
        future: asyncio.Future[ChangeReply] = self._loop.create_future()
        self._pending_replies[change.change_id] = future
        leader = self.shared_node.node.lease.leader
        peers = [leader] if leader else [c.host for c in self.settings.control]
        for peer in peers:
            self.network.send(peer, change)
        try:
            return await asyncio.wait_for(future, RESEND_INTERVAL_S)
        except TimeoutError:
            return None
        finally:
            self._pending_replies.pop(change.change_id, None)

    def _on_reply(self, reply: ChangeReply) -> None:
        future = self._pending_replies.get(reply.change_id)
        refused = reply.reason == "not-leader"
        if future is not None and not future.done() and not refused:
            future.set_result(reply)

    # --- announcements ---

    def _forward_announcement(self, announcement: Announcement) -> None:
        now_ns = clock_ns()
        if self._needs_forwarding(announcement, now_ns):
            for host in self.settings.control:
                self.network.send(host.host, announcement)
        self._apply_announcement(self.settings.host, announcement, now_ns)

    def _apply_announcement(
        self, source: str, announcement: Announcement, now_ns: int
    ) -> None:
        if announcement.leaving:
            self.shared_node.mark_leaving(announcement.target)
        self.shared_node.run(lambda n: n.receive(source, announcement, now_ns))

    def _needs_forwarding(
        self, announcement: Announcement, now_ns: int
    ) -> bool:
        # The position changes with every write, so it is not compared.
        content = attrs.evolve(announcement, position=0)
        last = self._forwarded.get(announcement.target)
        is_unchanged = last is not None and last.content == content
        if last is not None and is_unchanged and now_ns < last.repeat_at_ns:
            return False
        self._forwarded[announcement.target] = _ForwardedAnnouncement(
            content=content,
            repeat_at_ns=now_ns + REPEAT_ANNOUNCEMENT_MS * NS_PER_MS,
        )
        return True


def _exclude_starts(attribute: attrs.Attribute[Any], value: Any) -> bool:
    del value
    return attribute.name != "starts"
