"""What the sessions of an entry host ask before they use a target."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Final

import attrs

from rosemarysaddle._clock import NS_PER_S, clock_ns
from rosemarysaddle._events import log_event
from rosemarysaddle._tasks import spawn
from rosemarysaddle.connection import (
    ConnectionPool,
    LoanClient,
    OpenFault,
    SharedPool,
)
from rosemarysaddle.decide import (
    NS_PER_MS,
    FaultCode,
    Freshness,
    LenderRanking,
    LogPoint,
    PositionHistory,
    ReadConstraints,
    Reason,
    Refusal,
    SessionVariables,
    Step,
    TargetState,
    WriteTicket,
    choose_target,
    compute_transfer_cost_ns,
    newer_point,
    share_connections,
)
from rosemarysaddle.link import Address
from rosemarysaddle.schema import PointReply
from rosemarysaddle.session._admission import AdmissionQueue
from rosemarysaddle.session._statement_stats import StatementStats

if TYPE_CHECKING:
    from collections.abc import Callable, Collection, Mapping, Sequence

    from rosemarysaddle.connection import TargetCodec
    from rosemarysaddle.decide import (
        Answer,
        ConnectionShare,
        Effect,
        EntryNode,
    )
    from rosemarysaddle.decide._registry import TargetRecord
    from rosemarysaddle.schema import Route

__all__ = ("ReadTarget", "Router")

WARM_CONNECTIONS: Final = 1
# Position of a group whose reads accept some age, where it is silent.
POINT_REFRESH_MS: Final = 400
# Younger positions are told to neighbours without asking again.
MAX_SHARED_POINT_AGE_MS: Final = 200
# A busy primary is not asked again, and not given up, before this.
POINT_TIMEOUT_MS: Final = 1_000
POINT_INTEREST_MS: Final = 5_000
MIN_CHECK_INTERVAL_MS: Final = 300
# Pause between the checks of a target that took no connection.
RECHECK_INTERVAL_MS: Final = 250
MAX_WAITERS: Final = 400
RETRY_AFTER_MS: Final = 250
# A host whose ticks come later than this is too busy to judge others.
MAX_TICK_DELAY_MS: Final = 50
OVERLOAD_HOLD_MS: Final = 1_000
_UNKNOWN_POINT: Final = PointReply(known=False, age_ns=0, term=0, position=0)


@attrs.frozen(kw_only=True)
class ReadTarget:
    """Target chosen for a read.

    :param after: position that it has to hold, or None at the primary
    """

    target: str
    after: LogPoint | None


@attrs.define(kw_only=True, eq=False)
class Router:
    """Targets, positions and rights of one entry host.

    :param label: name of this host for the targets
    :param send: carries out effects of the decisions
    :param regions: region of each data centre
    """

    node: EntryNode
    label: str
    new_codec: Callable[[], TargetCodec]
    send: Callable[[Sequence[Effect]], None]
    regions: Mapping[str, str] = attrs.field(factory=dict)
    targets: dict[str, TargetState] = attrs.field(factory=dict, init=False)
    pools: dict[str, SharedPool] = attrs.field(factory=dict, init=False)
    loan_client: LoanClient = attrs.field(init=False)
    statement_stats: StatementStats = attrs.field(
        factory=StatementStats, init=False
    )
    admission_queues: dict[str, AdmissionQueue] = attrs.field(
        factory=dict, init=False
    )
    _by_group: dict[str, dict[str, TargetState]] = attrs.field(
        factory=dict, init=False
    )
    _neighbours: tuple[str, ...] = attrs.field(default=(), init=False)
    _overloaded_until_ns: int = attrs.field(default=0, init=False)
    _last_tick_ns: int = attrs.field(default=0, init=False)
    _positions: dict[str, PositionHistory] = attrs.field(
        factory=dict, init=False
    )
    _wanted_ns: dict[str, int] = attrs.field(factory=dict, init=False)
    _check_at_ns: dict[str, int] = attrs.field(factory=dict, init=False)
    _point_requests: dict[str, asyncio.Task[None]] = attrs.field(
        factory=dict, init=False
    )
    _waiting: set[asyncio.Future[None]] = attrs.field(factory=set, init=False)
    _jobs: set[asyncio.Task[None]] = attrs.field(factory=set, init=False)

    def __attrs_post_init__(self) -> None:
        """Start without loans."""
        self.loan_client = LoanClient(
            ranking=LenderRanking(own=self.node.lending_address),
            new_codec=self.new_codec,
        )

    def route(self, database: str) -> Route | None:
        """Find the route in force of a database."""
        return self.node.state.routes.databases.get(database)

    def describe_group(self, group: str) -> str:
        """Tell what this host believes of a group, for the log."""
        now_ns = clock_ns()
        state = self.node.state
        term = state.terms.get(group)
        left_ms = (self.node.lease.deadline_ns - now_ns) // NS_PER_MS
        positions = self._positions.get(group)
        newest_ns = positions.newest_ns() if positions is not None else 0
        age_ms = (now_ns - newest_ns) // NS_PER_MS if newest_ns else -1
        return (
            f"group={group} term={term.term if term is not None else 0}"
            f" primary={term.primary if term is not None else '-'}"
            f" lease_left_ms={left_ms} position_age_ms={age_ms}"
            f" index={state.index} version={state.routes.version}"
        )

    # --- reads ---

    def choose_read_target(
        self,
        route: Route,
        session_point: LogPoint | None,
        excluded: Collection[str],
    ) -> ReadTarget | None:
        """Choose the target of a read.

        :param session_point: newest write of the session
        :param excluded: targets that have failed the read
        :return: the choice, or None where no target will do now
        """
        now_ns = clock_ns()
        group = route.group
        term = self.node.primary_of(group, now_ns)
        primary = term.primary if term is not None else ""
        point = self._required_point(route, session_point, now_ns)
        need = ReadConstraints(
            point=point,
            primary=primary,
            excluded=excluded,
            now_ns=now_ns,
        )
        known = self._by_group.get(group, {}).values()
        for placed in known:
            placed.queued = self.admission_queues[placed.target].waiting
        chosen = choose_target(known, need)
        if chosen is None:
            return None
        after = None if chosen.target == primary else point
        return ReadTarget(target=chosen.target, after=after)

    def _required_point(
        self, route: Route, session_point: LogPoint | None, now_ns: int
    ) -> LogPoint | None:
        if route.freshness == Freshness.PRIMARY:
            return None
        self._wanted_ns[route.group] = now_ns
        positions = self._positions.setdefault(route.group, PositionHistory())
        point = positions.required_point(
            now_ns=now_ns, staleness_ms=route.max_staleness_ms
        )
        if point is None or route.freshness != Freshness.SESSION:
            return point
        return newer_point(point, session_point)

    # --- writes ---

    def begin_write(self, group: str) -> WriteTicket | Refusal:
        """Ask for the right to use a group's primary.

        The caller ends it with :meth:`end_write`.
        """
        now_ns = clock_ns()
        term = self.node.primary_of(group, now_ns)
        if term is None or term.primary not in self.pools:
            return Refusal(
                reason=Reason.NO_PRIMARY,
                step=Step.ROUTE,
                peer=group,
                retry_after_ms=RETRY_AFTER_MS,
            )
        return self.node.begin_write(group, now_ns)

    def end_write(self, ticket: WriteTicket) -> bool:
        """End the use of a primary.

        :return: whether what it answered may be acknowledged
        """
        held = self.node.end_write(ticket, clock_ns())
        self.send(self.node.tick(clock_ns()))
        return held

    def holds(self, ticket: WriteTicket) -> bool:
        """Tell whether the right to use a primary still stands."""
        return self.node.holds(ticket, clock_ns())

    # --- answers ---

    def is_leased_primary(self, target: str) -> bool:
        """Tell whether a target is a primary to rely on now."""
        placed = self.targets.get(target)
        if placed is None:
            return False
        term = self.node.primary_of(placed.group, clock_ns())
        return term is not None and term.primary == target

    def record_answer(
        self,
        target: str,
        answer: Answer,
        *,
        asked_ns: int,
        was_leased_primary: bool,
    ) -> None:
        """Learn from an answer.

        :param asked_ns: time at which the statement was sent
        :param covered: whether the target was relied on as a primary
            at that time
        """
        placed = self.targets.get(target)
        if placed is None:
            return
        placed.record_point(answer.point)
        if answer.fault is None:
            placed.record_latency(clock_ns() - asked_ns)
        elif answer.fault is FaultCode.BEHIND:
            placed.mark_lagging(clock_ns())
        elif answer.fault in {FaultCode.LOST, FaultCode.TIMEOUT}:
            self.check(target)
        if was_leased_primary and answer.point is not None:
            positions = self._positions.setdefault(
                placed.group, PositionHistory()
            )
            positions.add_sample(asked_ns, answer.point)

    def handle_open_fault(self, fault: OpenFault) -> None:
        """Take note that a target took no connection."""
        placed = self.targets.get(fault.peer)
        if placed is None:
            return
        now_ns = clock_ns()
        placed.mark_down(now_ns)
        is_late = now_ns < self._overloaded_until_ns
        log_event(
            "target-down",
            f"target={fault.peer} group={placed.group} code={fault.code}"
            f" connected={fault.connected} host_late={is_late}",
        )
        if fault.connected or is_late:
            return
        self._start_rechecking(placed)
        effects = self.node.suspect(
            placed.group, fault.peer, refused=fault.refused, now_ns=now_ns
        )
        self.send(effects)

    def handle_refused_loan(self, fault: OpenFault) -> None:
        """Take note that another host got no connection to a target."""
        placed = self.targets.get(fault.peer)
        if placed is None:
            return
        log_event(
            "loan-refused",
            f"target={fault.peer} group={placed.group} code={fault.code}",
        )
        if fault.code in {FaultCode.LOST, FaultCode.TIMEOUT}:
            placed.mark_down(clock_ns())
            self._start_rechecking(placed)

    def check(self, target: str) -> None:
        """Find out over a new connection whether a target answers."""
        now_ns = clock_ns()
        pool = self.pools.get(target)
        if pool is None or now_ns < self._check_at_ns.get(target, 0):
            return
        self._check_at_ns[target] = now_ns + MIN_CHECK_INTERVAL_MS * NS_PER_MS
        spawn(self._check(pool), self._jobs)

    async def _check(self, pool: SharedPool) -> None:
        await pool.check()

    def _start_rechecking(self, placed: TargetState) -> None:
        if not placed.is_unreachable:
            placed.is_unreachable = True
            spawn(self._recheck_until_up(placed), self._jobs)

    async def _recheck_until_up(self, placed: TargetState) -> None:
        # Requests do not pay for finding out that a target is back.
        while self.targets.get(placed.target) is placed:
            await asyncio.sleep(RECHECK_INTERVAL_MS / 1_000)
            pool = self.pools.get(placed.target)
            if pool is not None and await pool.check():
                break
        placed.is_unreachable = False
        placed.down_until_ns = 0
        log_event("target-up", f"target={placed.target} group={placed.group}")
        self.notify_waiters()

    # --- changes of the view ---

    def apply_view(self) -> None:
        """Bring targets and pools in line with the view."""
        ranking = self.loan_client.ranking
        if self.node.neighbours != self._neighbours:
            self._neighbours = self.node.neighbours
            ranking.replace(self._neighbours)
        records = self.node.state.targets.records
        for name in [n for n in self.targets if n not in records]:
            self._remove(name)
        for name, record in records.items():
            placed = self.targets.get(name)
            if placed is None or _is_outdated(placed, record):
                self._add(name)
                placed = self.targets[name]
            placed.leaving = record.leaving
            self.pools[name].share(self._share(record.group))
        self.notify_waiters()

    def _remove(self, name: str) -> None:
        placed = self.targets.pop(name)
        del self._by_group[placed.group][name]
        self.pools.pop(name).close()
        del self.admission_queues[name]

    def _add(self, name: str) -> None:
        record = self.node.state.targets.records[name]
        if name in self.pools:
            self._remove(name)
        placed = TargetState(
            target=name,
            group=record.group,
            address=record.address,
            transfer_cost_ns=compute_transfer_cost_ns(
                self.node.data_center, record.data_center, self.regions
            ),
            slots=record.slots,
        )
        self.targets[name] = placed
        self._by_group.setdefault(record.group, {})[name] = placed
        own = ConnectionPool(
            target=name,
            group=record.group,
            address=Address.parse(record.address),
            label=self.label,
            limit=0,
            new_codec=self.new_codec,
            on_open_fault=self.handle_open_fault,
        )
        pool = SharedPool(
            own=own,
            loan_client=self.loan_client,
            on_refused=self.handle_refused_loan,
        )
        pool.share(self._share(record.group))
        self.pools[name] = pool
        self.admission_queues[name] = AdmissionQueue()
        if record.data_center == self.node.data_center:
            spawn(pool.warm(WARM_CONNECTIONS), self._jobs)

    def _share(self, group: str) -> ConnectionShare:
        policy = self.node.state.routes.groups.get(group)
        return share_connections(
            limit=policy.connection_limit if policy is not None else 0,
            hosts=self.node.state.entry_hosts,
            neighbours=len(self.loan_client.ranking.hosts),
        )

    def notify_waiters(self) -> None:
        """Let whoever waits for a change look again."""
        for waiting in self._waiting:
            if not waiting.done():
                waiting.set_result(None)
        self._waiting.clear()

    async def wait_change(self, until_ns: int) -> bool:
        """Wait for a change of the view.

        :param until_ns: time to wait until, in nanoseconds
        :return: whether there was time left to wait
        """
        left_s = (until_ns - clock_ns()) / NS_PER_S
        if left_s <= 0 or len(self._waiting) >= MAX_WAITERS:
            return False
        loop = asyncio.get_running_loop()
        waiting: asyncio.Future[None] = loop.create_future()
        self._waiting.add(waiting)
        timer = loop.call_later(left_s, _wake_waiter, waiting)
        try:
            await waiting
        finally:
            timer.cancel()
            self._waiting.discard(waiting)
        return True

    # --- positions of silent groups ---

    def tick_loans(self, now_ns: int) -> None:
        """Keep loans alive and end connections that others lend."""
        if self.loan_client.tick(now_ns):
            for pool in self.pools.values():
                pool.trim()

    def own_pool(self, target: str) -> ConnectionPool | None:
        """Find this host's own connections to a target."""
        pool = self.pools.get(target)
        return pool.own if pool is not None else None

    def record_tick(self, now_ns: int, interval_s: float) -> None:
        """Learn from two ticks whether this host is late.

        :param interval_s: time that was to lie between them, in seconds
        """
        planned_ns = self._last_tick_ns + int(interval_s * NS_PER_S)
        if (
            self._last_tick_ns
            and now_ns > planned_ns + MAX_TICK_DELAY_MS * NS_PER_MS
        ):
            self._overloaded_until_ns = now_ns + OVERLOAD_HOLD_MS * NS_PER_MS
        self._last_tick_ns = now_ns

    def refresh(self) -> None:
        """Ask the primaries of silent groups for their positions."""
        now_ns = clock_ns()
        for group, wanted_ns in list(self._wanted_ns.items()):
            if now_ns > wanted_ns + POINT_INTEREST_MS * NS_PER_MS:
                del self._wanted_ns[group]
                continue
            newest_ns = self._positions[group].newest_ns()
            if now_ns < newest_ns + POINT_REFRESH_MS * NS_PER_MS:
                continue
            term = self.node.primary_of(group, now_ns)
            if term is not None and term.primary in self.pools:
                self._start_point_request(group, term.primary)

    async def find_point(self, target: str) -> PointReply:
        """Find the newest position of a primary for a neighbour."""
        placed = self.targets.get(target)
        if placed is None:
            return _UNKNOWN_POINT
        group = placed.group
        positions = self._positions.setdefault(group, PositionHistory())
        if (
            clock_ns()
            > positions.newest_ns() + MAX_SHARED_POINT_AGE_MS * NS_PER_MS
        ):
            await self._start_point_request(group, target)
        point = positions.newest()
        if point is None:
            return _UNKNOWN_POINT
        return PointReply(
            known=True,
            age_ns=clock_ns() - positions.newest_ns(),
            term=point.term,
            position=point.position,
        )

    def _start_point_request(
        self, group: str, target: str
    ) -> asyncio.Task[None]:
        # One question at a time: a primary that answers late is busy.
        asking = self._point_requests.get(group)
        if asking is None or asking.done():
            asking = spawn(self._request_point(group, target), self._jobs)
            self._point_requests[group] = asking
        return asking

    async def _request_point(self, group: str, target: str) -> None:
        deadline_ns = clock_ns() + POINT_TIMEOUT_MS * NS_PER_MS
        pool = self.pools[target]
        lender = pool.lender
        if lender != self.loan_client.ranking.own:
            asked_ns = clock_ns()
            reply = await self.loan_client.ask_point(
                target, lender, deadline_ns=deadline_ns
            )
            if reply is not None:
                point = LogPoint(term=reply.term, position=reply.position)
                self._positions[group].add_sample(
                    asked_ns - reply.age_ns, point
                )
            return
        found = await pool.own.acquire(
            SessionVariables(), deadline_ns=deadline_ns
        )
        if isinstance(found, OpenFault):
            return
        asked_ns = clock_ns()
        was_leased_primary = self.is_leased_primary(target)
        answer = await found.ask(
            found.codec.encode_reset(), deadline_ns=deadline_ns
        )
        found.setup.clear()
        pool.own.release(found)
        self.record_answer(
            target,
            answer,
            asked_ns=asked_ns,
            was_leased_primary=was_leased_primary,
        )


def _is_outdated(placed: TargetState, record: TargetRecord) -> bool:
    known = (placed.address, placed.group)
    return known != (record.address, record.group)


def _wake_waiter(waiting: asyncio.Future[None]) -> None:
    if not waiting.done():
        waiting.set_result(None)
