"""Routing for the sessions of an entry host.

The router chooses targets for reads, issues tickets for writes, owns
the connection pools and tracks the state and log positions of targets.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Final

import attrs

from rosemarysaddle._clock import NS_PER_S, clock_ns
from rosemarysaddle._contacts import ContactLog
from rosemarysaddle._events import log_event
from rosemarysaddle._tasks import spawn
from rosemarysaddle.connection import (
    ConnectionPool,
    LoanClient,
    OpenFault,
    SharedPool,
    StopSchedule,
)
from rosemarysaddle.decide import (
    NS_PER_MS,
    FaultCode,
    LenderRanking,
    LimitSettings,
    LogPoint,
    ReadConstraints,
    Reason,
    Refusal,
    Step,
    TargetState,
    TeamScope,
    WorkEstimates,
    WriteTicket,
    compute_transfer_cost_ns,
    newer_point,
    share_connections,
)
from rosemarysaddle.link import Address
from rosemarysaddle.session._admission import AdmissionQueue
from rosemarysaddle.session._lagging_replicas import LaggingReplicas
from rosemarysaddle.session._leaving_targets import (
    LEAVING_WORK_MS,
    LeavingTargets,
)
from rosemarysaddle.session._positions import PositionTracker
from rosemarysaddle.session._rate_limits import RateLimits
from rosemarysaddle.session._stages import StageStats
from rosemarysaddle.session._statement_stats import StatementStats
from rosemarysaddle.session._target_outliers import TargetOutliers
from rosemarysaddle.session._target_terms import TargetTerms
from rosemarysaddle.session._unknown_keys import UnknownKeyCounter

if TYPE_CHECKING:
    from collections.abc import (
        Callable,
        Collection,
        Iterable,
        Mapping,
        Sequence,
    )

    from rosemarysaddle.connection import TargetCodec
    from rosemarysaddle.decide import (
        Answer,
        ConnectionShare,
        Effect,
        EntryNode,
    )
    from rosemarysaddle.decide.primaries._registry import TargetRecord
    from rosemarysaddle.schema import Route
    from rosemarysaddle.session._rate_limits import AdmissionToken

__all__ = ("MAX_PLAN_AGE_MS", "ReadTarget", "Router")

WARM_CONNECTIONS: Final = 1
MIN_CHECK_INTERVAL_MS: Final = 300
# Delay between probes of a target that accepted no connection.
RECHECK_INTERVAL_MS: Final = 250
MAX_WAITERS: Final = 400
# Operations that require a key run only while the plan in force is
# known to be younger: a removed key may run none 4 s after its removal.
MAX_PLAN_AGE_MS: Final = 4_000
RETRY_AFTER_MS: Final = 250
# Less than the 3 s after which a plan is in force on the users'
# platform, by the time that an answer takes.
MAX_DENIAL_AGE_MS: Final = 2_500
# A host whose ticks are later than this is overloaded, so its failed
# connections do not count as evidence against a target.
MAX_TICK_DELAY_MS: Final = 50
# Time for which a host counts as overloaded after a late tick.
OVERLOAD_HOLD_MS: Final = 1_000


@attrs.frozen(kw_only=True)
class ReadTarget:
    """Target chosen for a read.

    :param after: log position that the target must have reached, or
        None for the primary
    :param min_point: position that the log of the primary must have
        reached, which its answer shows; None for a replica
    """

    target: str
    after: LogPoint | None
    min_point: LogPoint | None = None


@attrs.define(kw_only=True, eq=False)
class Router:
    """Targets, log positions and write tickets of one entry host.

    :param label: name of this host, for the targets' logs
    :param send: executes the effects of decisions of the node
    :param regions: region of each data centre
    :param contacts: records lenders that are lost and regained
    :param max_plan_age_ms: age of the plan up to which keys can be
        checked, in milliseconds
    :param limit_settings: settings of the rate limits of teams
    :param leaving_work_ms: time after the acknowledgement of a target's
        stop for which new work may reach it, in milliseconds
    :param stop_schedule: until when this host starts work
    """

    node: EntryNode
    label: str
    new_codec: Callable[[], TargetCodec]
    send: Callable[[Sequence[Effect]], None]
    regions: Mapping[str, str] = attrs.field(factory=dict)
    contacts: ContactLog = attrs.field(factory=ContactLog)
    max_plan_age_ms: int = MAX_PLAN_AGE_MS
    limit_settings: LimitSettings = attrs.field(factory=LimitSettings)
    leaving_work_ms: int = LEAVING_WORK_MS
    stop_schedule: StopSchedule = attrs.field(factory=StopSchedule)
    rate_limits: RateLimits = attrs.field(init=False)
    targets: dict[str, TargetState] = attrs.field(factory=dict, init=False)
    outliers: TargetOutliers = attrs.field(init=False)
    pools: dict[str, SharedPool] = attrs.field(factory=dict, init=False)
    loan_client: LoanClient = attrs.field(init=False)
    positions: PositionTracker = attrs.field(init=False)
    lagging: LaggingReplicas = attrs.field(init=False)
    target_terms: TargetTerms = attrs.field(init=False)
    leaving: LeavingTargets = attrs.field(init=False)
    stage_stats: StageStats = attrs.field(factory=StageStats, init=False)
    statement_stats: StatementStats = attrs.field(
        factory=StatementStats, init=False
    )
    unknown_keys: UnknownKeyCounter = attrs.field(
        factory=UnknownKeyCounter, init=False
    )
    work: WorkEstimates = attrs.field(factory=WorkEstimates, init=False)
    admission_queues: dict[str, AdmissionQueue] = attrs.field(
        factory=dict, init=False
    )
    _by_group: dict[str, dict[str, TargetState]] = attrs.field(
        factory=dict, init=False
    )
    _lenders: tuple[object, ...] = attrs.field(
        factory=lambda: ((), {}), init=False
    )
    _overloaded_until_ns: int = attrs.field(default=0, init=False)
    _last_tick_ns: int = attrs.field(default=0, init=False)
    _next_check_ns: dict[str, int] = attrs.field(factory=dict, init=False)
    _waiters: set[asyncio.Future[None]] = attrs.field(factory=set, init=False)
    _tasks: set[asyncio.Task[None]] = attrs.field(factory=set, init=False)

    def __attrs_post_init__(self) -> None:
        """Create the parts that share the state of this host."""
        self.positions = PositionTracker(owner=self)
        self.lagging = LaggingReplicas(
            node=self.node,
            positions=self.positions,
            send=self.send,
        )
        self.target_terms = TargetTerms(node=self.node, send=self.send)
        self.leaving = LeavingTargets(leaving_work_ms=self.leaving_work_ms)
        self.outliers = TargetOutliers(targets=self.targets)
        self.rate_limits = RateLimits(
            node=self.node, settings=self.limit_settings, regions=self.regions
        )
        self.loan_client = LoanClient(
            ranking=LenderRanking(
                own=self.node.lending_address,
                data_center=self.node.data_center,
            ),
            new_codec=self.new_codec,
            contacts=self.contacts,
        )

    def route(self, database: str) -> Route | None:
        """Return the current route of a database, or None."""
        return self.node.state.routes.databases.get(database)

    def describe_group(self, group: str) -> str:
        """Describe this host's view of a group for the log."""
        now_ns = clock_ns()
        state = self.node.state
        term = state.terms.get(group)
        left_ms = (self.node.lease.deadline_ns - now_ns) // NS_PER_MS
        newest_ns = self.positions.newest_ns(group)
        age_ms = (now_ns - newest_ns) // NS_PER_MS if newest_ns else -1
        return (
            f"group={group} term={term.term if term is not None else 0}"
            f" primary={term.primary if term is not None else '-'}"
            f" target_term={term.target_term if term is not None else 0}"
            f" lease_left_ms={left_ms}"
            f" position={self.positions.newest(group) or '-'}"
            f" position_age_ms={age_ms}"
            f" index={state.index} version={state.routes.version}"
        )

    def is_plan_current(self) -> bool:
        """Tell whether the plan is young enough to check keys."""
        return self.node.is_view_current(clock_ns(), self.max_plan_age_ms)

    def may_deny(self) -> bool:
        """Tell whether the plan is young enough to deny a database.

        A newer plan that was acknowledged may have added it.
        """
        return self.node.is_view_current(clock_ns(), MAX_DENIAL_AGE_MS)

    async def admit_operation(self, team: str) -> AdmissionToken | Refusal:
        """Admit an operation of a team, or refuse it over its limit."""
        return await self.rate_limits.admit(team)

    # --- reads ---

    def choose_read_target(
        self,
        route: Route,
        session_point: LogPoint | None,
        excluded: Collection[str],
        *,
        may_probe: bool = False,
        needs_primary: bool = False,
    ) -> ReadTarget | None:
        """Choose the target of a read.

        :param session_point: log position of the session's newest write
        :param excluded: targets on which the read has already failed
        :param may_probe: whether the read may go to an outlier, to find
            out whether that has recovered
        :param needs_primary: whether only the primary is known to hold
            what the read has to see
        :return: the target, or None if none is suitable now
        """
        now_ns = clock_ns()
        group = route.group
        term = self.node.primary_of(group, now_ns)
        primary = term.primary if term is not None else ""
        point = self.positions.required_point(route, session_point, now_ns)
        if needs_primary:
            point = None
        constraints = ReadConstraints(
            point=point,
            primary=primary,
            excluded=excluded,
            now_ns=now_ns,
        )
        candidates = self._by_group.get(group, {}).values()
        for target_state in candidates:
            name = target_state.target
            target_state.queued = (
                self.admission_queues[name].waiting + self.pools[name].waiting
            )
        chosen = self.outliers.choose(
            candidates, constraints, may_probe=may_probe
        )
        if chosen is None:
            return None
        if chosen.target != primary:
            return ReadTarget(target=chosen.target, after=point)
        min_point = self.required_point_of_primary(group, session_point)
        return ReadTarget(
            target=chosen.target, after=None, min_point=min_point
        )

    def required_point_of_primary(
        self, group: str, session_point: LogPoint | None
    ) -> LogPoint | None:
        """Find the position that a group's primary must have reached.

        A primary that was promoted after the newest known position may
        lack it: what it lacks has been rolled back.

        :param session_point: log position of the session's newest write
        :return: the position, or None if none is known
        """
        known = newer_point(session_point, self.positions.newest(group))
        term = self.node.state.terms.get(group)
        served = term.target_term if term is not None else 0
        if known is None or served > known.term:
            return None
        # Without a recorded term, a promotion may have gone unseen.
        return known if served else LogPoint(term=known.term, position=0)

    def confirm_read(
        self,
        group: str,
        target: str,
        answer: Answer,
        min_point: LogPoint | None,
    ) -> bool:
        """Check that a read has run on a log that is recent enough.

        :param min_point: position that the log must have reached
        :return: False if its rows must not be given to the caller
        """
        return answer.fault is not None or self.target_terms.confirm(
            group, target, answer.point, clock_ns(), min_point=min_point
        )

    # --- writes ---

    def begin_write(self, group: str) -> WriteTicket | Refusal:
        """Acquire a ticket to use the primary of a group.

        Each ticket has to be returned with :meth:`end_write`.
        """
        now_ns = clock_ns()
        term = self.node.primary_of(group, now_ns)
        if term is None or not self.takes_new_work(term.primary):
            return Refusal(
                reason=Reason.NO_PRIMARY,
                step=Step.ROUTE,
                peer=group,
                retry_after_ms=RETRY_AFTER_MS,
            )
        return self.node.begin_write(
            group, now_ns, known_point=self.positions.newest(group)
        )

    def takes_new_work(self, target: str) -> bool:
        """Return whether new work may be sent to a target."""
        target_state = self.targets.get(target)
        return target_state is not None and target_state.takes_new_work(
            clock_ns()
        )

    def has_primary(self, group: str) -> bool:
        """Return whether the lease covers a primary of a group."""
        return self.node.primary_of(group, clock_ns()) is not None

    def needs_lease(self, route: Route) -> bool:
        """Return whether only the leased primary can serve a read.

        Without a position that is new enough, no replica can.
        """
        return self.positions.required_point(route, None, clock_ns()) is None

    def lease_refusal(self, group: str, until_ns: int) -> Refusal | None:
        """Return a refusal if no lease is expected before a time.

        :param until_ns: :func:`clock_ns` time until which a statement
            could wait for one
        """
        now_ns = clock_ns()
        retry_ms = self.node.outage_retry_ms(now_ns)
        if not retry_ms or now_ns + retry_ms * NS_PER_MS < until_ns:
            return None
        return Refusal(
            reason=Reason.NO_LEASE,
            step=Step.ROUTE,
            peer=group,
            retry_after_ms=retry_ms,
        )

    def end_write(
        self, ticket: WriteTicket, answer: Answer | None = None
    ) -> bool:
        """Return a ticket.

        :param answer: answer to its write, or to the commit of its
            writes; None if there is none
        :return: whether it was valid until now, so that the answer of
            the primary may be acknowledged
        """
        is_valid = self.node.end_write(
            ticket,
            clock_ns(),
            has_committed=answer is not None and answer.fault is None,
            point=None if answer is None else answer.point,
        )
        self.send(self.node.tick(clock_ns()))
        return is_valid

    def holds(self, ticket: WriteTicket) -> bool:
        """Return whether a ticket is still valid."""
        return self.node.holds(ticket, clock_ns())

    def confirm_write(
        self,
        ticket: WriteTicket,
        answer: Answer,
        session_point: LogPoint | None,
    ) -> bool:
        """Check that a write has run in no earlier term than is known.

        :param answer: answer to the write, or to the commit
        :param session_point: log position of the session's newest write
        :return: False if it must not be acknowledged
        """
        known = newer_point(session_point, self.positions.newest(ticket.group))
        known_term = known.term if known is not None else 0
        return answer.fault is not None or self.target_terms.confirm(
            ticket.group,
            ticket.primary,
            answer.point,
            clock_ns(),
            min_point=LogPoint(
                term=max(ticket.target_term, known_term), position=0
            ),
            has_written=True,
        )

    # --- answers ---

    def is_leased_primary(self, target: str) -> bool:
        """Return whether a target is a primary covered by the lease."""
        target_state = self.targets.get(target)
        if target_state is None:
            return False
        term = self.node.primary_of(target_state.group, clock_ns())
        return term is not None and term.primary == target

    def record_answer(
        self,
        target: str,
        answer: Answer,
        *,
        asked_ns: int,
        was_leased_primary: bool,
    ) -> None:
        """Update the state of a target from an answer.

        :param asked_ns: :func:`clock_ns` time at which the request was
            sent
        :param was_leased_primary: whether the target was the leased
            primary at that time
        """
        target_state = self.targets.get(target)
        if target_state is None:
            return
        now_ns = clock_ns()
        self.target_terms.record_answer(
            target_state,
            answer,
            now_ns,
            was_leased_primary=was_leased_primary,
        )
        target_state.record_point(answer.point)
        # The faults of an overloaded host are no evidence.
        if now_ns >= self._overloaded_until_ns:
            self.outliers.record_statement(
                target_state,
                answer.fault,
                now_ns,
            )
        if answer.fault is None:
            target_state.record_latency(now_ns - asked_ns)
            self.lagging.record_served(target_state, now_ns)
        elif answer.fault is FaultCode.BEHIND:
            self.lagging.record_behind(target_state, now_ns)
        elif answer.fault in {FaultCode.LOST, FaultCode.TIMEOUT}:
            self.check(target)
        if was_leased_primary and answer.point is not None:
            self.positions.record(target_state.group, asked_ns, answer.point)

    def record_refused_read(self, group: str) -> None:
        """Record that a read of a group was refused by this host."""
        now_ns = clock_ns()
        # An overloaded host refuses reads whatever the replicas do.
        if now_ns >= self._overloaded_until_ns:
            targets = self._by_group.get(group, {}).values()
            self.lagging.record_refused_read(group, targets, now_ns)

    def handle_open_fault(self, fault: OpenFault) -> None:
        """Mark a target down that could not be connected to.

        Unless the target's host accepted the connection or this host is
        overloaded, a suspicion is reported if the target is a primary,
        and the target is probed until it accepts a connection.
        """
        target_state = self.targets.get(fault.peer)
        if target_state is None:
            return
        now_ns = clock_ns()
        target_state.mark_down(now_ns)
        is_overloaded = now_ns < self._overloaded_until_ns
        log_event(
            "target-down",
            f"target={fault.peer} group={target_state.group}"
            f" code={fault.code}"
            f" connected={fault.connected} host_late={is_overloaded}",
        )
        if fault.connected or is_overloaded:
            return
        self._start_rechecking(target_state)
        effects = self.node.suspect(
            target_state.group,
            fault.peer,
            refused=fault.refused,
            now_ns=now_ns,
        )
        self.send(effects)

    def handle_refused_loan(self, fault: OpenFault) -> None:
        """Log that a lender refused to lend a connection.

        The target is marked down and probed if the lender could not
        connect to it.  One that accepted a connection and did not
        answer in time is slow or full.
        """
        target_state = self.targets.get(fault.peer)
        if target_state is None:
            return
        log_event(
            "loan-refused",
            f"target={fault.peer} group={target_state.group}"
            f" code={fault.code}",
        )
        if fault.code in {FaultCode.LOST, FaultCode.TIMEOUT}:
            target_state.mark_down(clock_ns())
            if not fault.connected:
                self._start_rechecking(target_state)

    def check(self, target: str) -> None:
        """Probe a target over a new connection unless just done."""
        now_ns = clock_ns()
        pool = self.pools.get(target)
        if pool is None or now_ns < self._next_check_ns.get(target, 0):
            return
        self._next_check_ns[target] = (
            now_ns + MIN_CHECK_INTERVAL_MS * NS_PER_MS
        )
        spawn(self._check(pool), self._tasks)

    async def _check(self, pool: SharedPool) -> None:
        await pool.check()

    def _start_rechecking(self, target_state: TargetState) -> None:
        if not target_state.is_unreachable:
            target_state.is_unreachable = True
            self.outliers.record_down(target_state, clock_ns())
            spawn(self._recheck_until_up(target_state), self._tasks)

    async def _recheck_until_up(self, target_state: TargetState) -> None:
        # Probe in the background, so that no request has to spend time
        # on finding out whether the target is back.
        while self.targets.get(target_state.target) is target_state:
            await asyncio.sleep(RECHECK_INTERVAL_MS / 1_000)
            pool = self.pools.get(target_state.target)
            if pool is not None and await self._check_reachable(pool):
                break
        target_state.is_unreachable = False
        target_state.down_until_ns = 0
        log_event(
            "target-up",
            f"target={target_state.target} group={target_state.group}",
        )
        self.notify_waiters()

    async def _check_reachable(self, pool: SharedPool) -> bool:
        # Each host probes a primary itself: a new one is chosen on the
        # reports of several hosts.
        term = self.node.state.terms.get(pool.own.group)
        if term is not None and term.primary == pool.own.target:
            if await pool.check():
                return True
            if not pool.is_passed_over:
                return False
        return await pool.check_through_lender()

    # --- view changes ---

    def apply_view(self) -> None:
        """Update targets, pools and neighbours from the node's view."""
        self.rate_limits.apply_view()
        ranking = self.loan_client.ranking
        lenders = (self.node.neighbours, self.node.remote_hosts)
        if lenders != self._lenders:
            self._lenders = lenders
            ranking.replace(self.node.neighbours, self.node.remote_hosts)
        records = self.node.state.targets.records
        ranking.set_targets(_names_by_center(records.values()))
        for name in [n for n in self.targets if n not in records]:
            self._remove_target(name)
        for name, record in records.items():
            target_state = self.targets.get(name)
            if target_state is None or _is_outdated(target_state, record):
                self._add_target(name)
                target_state = self.targets[name]
            self.leaving.update(
                target_state,
                record,
                index=self.node.state.index,
                earlier_view_ns=self.node.earlier_view_ns,
            )
            self.pools[name].apply_share(self._compute_share(record))
        self.notify_waiters()

    def _remove_target(self, name: str) -> None:
        target_state = self.targets.pop(name)
        self.outliers.remove_target(target_state)
        del self._by_group[target_state.group][name]
        self.pools.pop(name).close()
        del self.admission_queues[name]

    def _add_target(self, name: str) -> None:
        record = self.node.state.targets.records[name]
        if name in self.pools:
            self._remove_target(name)
        target_state = TargetState(
            target=name,
            group=record.group,
            address=record.address,
            transfer_cost_ns=compute_transfer_cost_ns(
                self.node.data_center, record.data_center, self.regions
            ),
            slots=record.slots,
        )
        self.targets[name] = target_state
        self.outliers.add_target(target_state)
        self._by_group.setdefault(record.group, {})[name] = target_state
        own = ConnectionPool(
            target=name,
            group=record.group,
            address=Address.parse(record.address),
            label=self.label,
            limit=0,
            slots=record.slots,
            new_codec=self.new_codec,
            on_open_fault=self.handle_open_fault,
            work=self.work,
        )
        pool = SharedPool(
            own=own,
            loan_client=self.loan_client,
            on_refused=self.handle_refused_loan,
        )
        pool.apply_share(self._compute_share(record))
        self.pools[name] = pool
        self.admission_queues[name] = AdmissionQueue(work=self.work)
        if record.data_center == self.node.data_center:
            spawn(pool.warm(WARM_CONNECTIONS), self._tasks)

    def _compute_share(self, record: TargetRecord) -> ConnectionShare:
        routes = self.node.state.routes
        policy = routes.groups.get(record.group)
        team_scope = None
        if routes.teams is not None:
            is_near = record.data_center == self.node.data_center
            ranking = self.loan_client.ranking
            team_scope = TeamScope(
                teams=len(routes.teams.by_name),
                target_center=record.data_center,
                own_center=self.node.data_center,
                remote=self.node.remote_hosts,
                is_first_lender=is_near
                and ranking.is_first(record.target, record.data_center),
                can_lend=bool(self.node.lending_address),
            )
        return share_connections(
            limit=policy.connection_limit if policy is not None else 0,
            hosts=self.node.state.entry_hosts,
            neighbours=len(self.loan_client.ranking.hosts),
            team_scope=team_scope,
        )

    def notify_waiters(self) -> None:
        """Wake all tasks that wait for a change of the view."""
        for waiter in self._waiters:
            if not waiter.done():
                waiter.set_result(None)
        self._waiters.clear()

    async def wait_change(self, until_ns: int) -> bool:
        """Wait for a change of the view.

        :param until_ns: :func:`clock_ns` time until which to wait
        :return: whether it waited at all; False if the time had already
            passed or too many tasks were waiting
        """
        left_s = (until_ns - clock_ns()) / NS_PER_S
        if left_s <= 0 or len(self._waiters) >= MAX_WAITERS:
            return False
        loop = asyncio.get_running_loop()
        waiter: asyncio.Future[None] = loop.create_future()
        self._waiters.add(waiter)
        timer = loop.call_later(left_s, _wake_waiter, waiter)
        try:
            await waiter
        finally:
            timer.cancel()
            self._waiters.discard(waiter)
        return True

    # --- loans, overload and refresh of log positions ---

    def tick_loans(self, now_ns: int) -> None:
        """Send keep-alives and trim the pools, if this is due."""
        self.rate_limits.tick(now_ns)
        if self.loan_client.tick(now_ns):
            for pool in self.pools.values():
                pool.trim()
                pool.own.log_load()

    def own_pool(self, target: str) -> ConnectionPool | None:
        """Return this host's own connections to a target, or None."""
        pool = self.pools.get(target)
        return pool.own if pool is not None else None

    def record_tick(self, now_ns: int, interval_s: float) -> None:
        """Detect from a late tick that this host is overloaded.

        :param interval_s: planned interval between ticks, in seconds
        """
        expected_ns = self._last_tick_ns + int(interval_s * NS_PER_S)
        if (
            self._last_tick_ns
            and now_ns > expected_ns + MAX_TICK_DELAY_MS * NS_PER_MS
        ):
            self._overloaded_until_ns = now_ns + OVERLOAD_HOLD_MS * NS_PER_MS
        self._last_tick_ns = now_ns


def _names_by_center(
    records: Iterable[TargetRecord],
) -> dict[str, list[str]]:
    names: dict[str, list[str]] = {}
    for record in records:
        names.setdefault(record.data_center, []).append(record.target)
    return names


def _is_outdated(target_state: TargetState, record: TargetRecord) -> bool:
    current = (target_state.address, target_state.group)
    return current != (record.address, record.group)


def _wake_waiter(waiter: asyncio.Future[None]) -> None:
    if not waiter.done():
        waiter.set_result(None)
