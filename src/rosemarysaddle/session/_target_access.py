"""Access of a session to targets: connections, tickets and waits.

Every step adds its time to the stages of the present statement.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import attrs

from rosemarysaddle._clock import clock_ns
from rosemarysaddle.connection import OpenFault, TargetConnection
from rosemarysaddle.decide import (
    NS_PER_MS,
    Answer,
    ConnectionRequest,
    FaultCode,
    LogPoint,
    Refusal,
    SessionState,
    SessionVariables,
    Statement,
    WriteTicket,
    shared_name,
)
from rosemarysaddle.session import _deadlines
from rosemarysaddle.session._leaving_targets import WorkRole
from rosemarysaddle.session._stages import Stage, StageTimes, service_class

if TYPE_CHECKING:
    from rosemarysaddle.schema import Route
    from rosemarysaddle.session._router import Router

__all__ = ("MAX_TRIES", "TargetAccess")

# Delay before a statement that was not run is tried again; doubles with
# each try.
INITIAL_BACKOFF_MS: Final = 20
MAX_BACKOFF_MS: Final = 200
MAX_TRIES: Final = 8


@attrs.define(kw_only=True, eq=False)
class TargetAccess:
    """Access of one session to the targets.

    :param variables: variables and prepared statements of the session
    :param team: team for which the statements run, or empty
    :param weight: share of the team relative to other teams
    :param requires_key: whether the session's route requires a key
    :param is_revoked: whether a plan that was put in force during the
        present statement has removed the key, or given it to another
        team
    :param has_run: whether a target may have run a statement of the
        present operation
    :param stages: where the present statement has spent its time
    """

    router: Router
    variables: SessionVariables = attrs.field(factory=SessionVariables)
    team: str = attrs.field(default="", init=False)
    weight: float = attrs.field(default=1.0, init=False)
    requires_key: bool = attrs.field(default=False, init=False)
    is_revoked: bool = attrs.field(default=False, init=False)
    has_run: bool = attrs.field(default=False, init=False)
    stages: StageTimes = attrs.field(factory=StageTimes, init=False)

    def may_run(self) -> bool:
        """Tell whether the key allows to send a statement now."""
        if self.is_revoked:
            return False
        return not self.requires_key or self.router.is_plan_current()

    async def _wait_for_position(self, route: Route) -> None:
        since_ns = clock_ns()
        if await self.router.positions.wait_for_first(route):
            self.stages.add(Stage.TARGET, since_ns)

    async def _acquire_ticket(
        self, group: str, deadline_ns: int
    ) -> WriteTicket | Refusal:
        while True:
            found = self.router.begin_write(group)
            if isinstance(found, WriteTicket):
                return found
            refusal = self.router.lease_refusal(group, deadline_ns)
            if refusal is not None:
                return refusal
            if not await self._wait_change(Stage.TARGET, deadline_ns):
                return found

    async def _connect(
        self, route: Route, target: str, deadline_ns: int, *, pinned: bool
    ) -> TargetConnection | OpenFault:
        pool = self.router.pools.get(target)
        if pool is None:
            return OpenFault(code=FaultCode.WRONG_TARGET, peer=target)
        connection_request = self._connection_request(
            route, deadline_ns, pinned=pinned
        )
        asked_ns = clock_ns()
        connection = await pool.acquire(
            self.variables,
            deadline_ns=connection_request.deadline_ns,
            connection_request=connection_request,
        )
        self.stages.add(Stage.CONNECTION, asked_ns)
        self._record_wait(target, connection, asked_ns)
        if isinstance(connection, OpenFault):
            return connection
        # The target may have announced its stop during the wait.
        if self.may_run() and self.router.takes_new_work(target):
            self._record_new_work(target)
            return connection
        self._release(connection)
        return OpenFault(code=FaultCode.BUSY, peer=target)

    def _record_new_work(self, target: str) -> None:
        target_state = self.router.targets.get(target)
        if target_state is None:
            return
        term = self.router.node.state.terms.get(target_state.group)
        is_primary = term is not None and term.primary == target
        self.router.leaving.record_new_work(
            target_state,
            WorkRole.PRIMARY if is_primary else WorkRole.REPLICA,
            clock_ns(),
        )

    def _record_wait(
        self,
        target: str,
        connection: TargetConnection | OpenFault,
        asked_ns: int,
    ) -> None:
        """Record what the wait for a connection was, or would be."""
        target_state = self.router.targets.get(target)
        if target_state is None:
            return
        now_ns = clock_ns()
        wait_ns = now_ns - asked_ns
        if isinstance(connection, OpenFault):
            wait_ns = max(wait_ns, connection.retry_after_ms * NS_PER_MS)
        target_state.record_wait(wait_ns, now_ns)

    def _connection_request(
        self, route: Route, deadline_ns: int, *, pinned: bool = False
    ) -> ConnectionRequest:
        # Only where teams compete is the order by objective in force.
        uses_teams = self.router.node.state.routes.uses_teams
        objective_ns = (
            _deadlines.objective_ns(route, deadline_ns) if uses_teams else 0
        )
        return ConnectionRequest(
            priority=route.priority,
            pinned=pinned,
            team=self.team,
            deadline_ns=_deadlines.start_deadline_ns(route, deadline_ns),
            objective_ns=objective_ns,
            weight=self.weight,
            service_class=service_class(route),
        )

    async def _ask(
        self,
        connection: TargetConnection,
        statement: Statement,
        *,
        after: LogPoint | None = None,
        deadline_ns: int,
    ) -> Answer:
        shape = self.variables.shapes.get(statement.name)
        if not statement.kind.uses_prepared:
            shape = None
        plan = connection.setup.plan(self.variables, shape)
        if not plan.is_empty and not await connection.prepare(
            plan, deadline_ns=deadline_ns
        ):
            return Answer(fault=FaultCode.BUSY, state=SessionState.FAILED)
        data = connection.codec.encode_statement(
            statement, shared=shared_name(shape) if shape else "", after=after
        )
        try:
            return await self._send_and_record(connection, data, deadline_ns)
        except BaseException:
            # Whether the target runs the statement is unknown.
            connection.abort()
            raise

    async def _send_and_record(
        self, connection: TargetConnection, data: bytes, deadline_ns: int
    ) -> Answer:
        target = connection.target
        target_state = self.router.targets.get(target)
        asked_ns = clock_ns()
        was_leased_primary = self.router.is_leased_primary(target)
        if target_state is not None:
            target_state.running += 1
        try:
            answer = await connection.ask(data, deadline_ns=deadline_ns)
        finally:
            if target_state is not None:
                target_state.running -= 1
        self.stages.add(Stage.EXECUTION, asked_ns)
        if answer.fault is None or not answer.fault.is_not_run:
            self.has_run = True
        queue = self.router.admission_queues.get(target)
        if queue is not None and answer.fault is FaultCode.BUSY:
            queue.window.record_shed(sent_ns=asked_ns, now_ns=clock_ns())
        elif queue is not None and answer.fault is None:
            queue.window.record_served()
        self.router.record_answer(
            target,
            answer,
            asked_ns=asked_ns,
            was_leased_primary=was_leased_primary,
        )
        return answer

    def _release(self, connection: TargetConnection) -> None:
        pool = self.router.pools.get(connection.target)
        if pool is None:
            connection.abort()
        else:
            pool.release(connection)

    async def _ask_pinned(
        self,
        connection: TargetConnection,
        statement: Statement,
        deadline_ns: int,
    ) -> Answer:
        # A target that answers "busy" has not run the statement and
        # keeps the transaction open.
        answer = await self._ask_admitted(connection, statement, deadline_ns)
        for number in range(MAX_TRIES):
            if answer.fault is not FaultCode.BUSY:
                break
            if answer.state is not SessionState.TRANSACTION:
                break
            if not await self._back_off(number, deadline_ns):
                break
            if not self.may_run():
                break
            answer = await self._ask_admitted(
                connection, statement, deadline_ns
            )
        return answer

    async def _ask_admitted(
        self,
        connection: TargetConnection,
        statement: Statement,
        deadline_ns: int,
    ) -> Answer:
        queue = self.router.admission_queues.get(connection.target)
        if queue is None:
            return await self._ask(
                connection, statement, deadline_ns=deadline_ns
            )
        queue.enter_now()
        try:
            return await self._ask(
                connection, statement, deadline_ns=deadline_ns
            )
        finally:
            queue.leave()

    async def _back_off(
        self, number: int, deadline_ns: int, retry_after_ms: int = 0
    ) -> bool:
        """Wait before another try.

        :param retry_after_ms: time before which none can succeed, in
            milliseconds; 0 if unknown
        :return: whether there is time for another try
        """
        pause_ms = min(MAX_BACKOFF_MS, INITIAL_BACKOFF_MS << number)
        pause_ms = max(pause_ms, retry_after_ms)
        until_ns = clock_ns() + pause_ms * NS_PER_MS
        if until_ns >= deadline_ns:
            return False
        return await self._wait_change(Stage.PAUSE, until_ns)

    async def _wait_change(self, stage: Stage, until_ns: int) -> bool:
        since_ns = clock_ns()
        has_changed = await self.router.wait_change(until_ns)
        self.stages.add(stage, since_ns)
        return has_changed
