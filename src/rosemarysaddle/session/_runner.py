"""Running of a session's statements at targets.

docs/design/promises.md defines the answer to the caller in each case,
outside and inside transactions.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import attrs

from rosemarysaddle._clock import clock_ns
from rosemarysaddle._events import log_event
from rosemarysaddle.connection import OpenFault, TargetConnection
from rosemarysaddle.decide import (
    Answer,
    FaultCode,
    Freshness,
    LogPoint,
    PreparedStatement,
    Reason,
    Refusal,
    SessionState,
    SessionVariables,
    Statement,
    Step,
    WriteTicket,
    newer_point,
)
from rosemarysaddle.session import _deadlines
from rosemarysaddle.session._refusals import (
    not_run_refusal,
    read_refusal,
    transaction_ended,
    unknown_outcome,
    write_refusal,
)
from rosemarysaddle.session._router import ReadTarget
from rosemarysaddle.session._stages import Stage
from rosemarysaddle.session._target_access import MAX_TRIES, TargetAccess

if TYPE_CHECKING:
    from rosemarysaddle.schema import Route
    from rosemarysaddle.session._admission import AdmissionQueue
    from rosemarysaddle.session._transaction import Transaction

__all__ = ("Runner", "writes")

# No target may be used, rather than one that did not serve.
_NO_TARGET_FAULTS: Final = {FaultCode.READ_ONLY, FaultCode.BEHIND}


@attrs.define(kw_only=True, eq=False)
class Runner(TargetAccess):
    """Runs the statements of one session.

    :param points: log position of the session's newest write, by group
    :param unplaced_ns: :func:`clock_ns` time at which the newest write
        was acknowledged, by group, where the primary did not tell its
        position
    :param asked_point: position that the last read of the present
        statement asked of a replica, or None
    """

    points: dict[str, LogPoint] = attrs.field(factory=dict, init=False)
    unplaced_ns: dict[str, int] = attrs.field(factory=dict, init=False)
    asked_point: LogPoint | None = attrs.field(default=None, init=False)

    def clear(self) -> None:
        """Forget what was recorded of the last statement."""
        self.stages.clear()
        self.asked_point = None

    def describe_points(self, group: str) -> str:
        """Describe the positions that a read needed, for the log."""
        own = self.points.get(group)
        return f"after={self.asked_point or '-'} own={own or '-'}"

    # --- outside transactions ---

    async def read(
        self, route: Route, statement: Statement
    ) -> Answer | Refusal:
        """Run one read outside a transaction."""
        deadline_ns = _deadlines.deadline_ns(route)
        start_deadline_ns = _deadlines.start_deadline_ns(route, deadline_ns)
        failed: set[str] = set()
        attempts = 0
        last: Answer | None = None
        for number in range(MAX_TRIES):
            await self._wait_for_position(route)
            read_target = self._choose_read_target(
                route, failed, may_probe=not failed
            )
            if read_target is None:
                refusal = await self._wait_for_target(route, deadline_ns, last)
                if refusal is not None:
                    return refusal
                continue
            answer = await self._read_at(
                route, read_target, statement, deadline_ns
            )
            if answer.fault is None:
                return answer
            last = answer
            if not self.may_run():
                break
            failed.add(read_target.target)
            if not answer.fault.is_not_run:
                attempts += 1
            if attempts >= max(2, route.max_attempts):
                break
            if not self._choose_read_target(route, failed):
                failed.clear()
                if not await self._back_off(
                    number, start_deadline_ns, answer.retry_after_ms
                ):
                    break
        return self._refuse_read(route, last)

    async def write(
        self, route: Route, statement: Statement
    ) -> Answer | Refusal:
        """Run one write outside a transaction, at most once."""
        deadline_ns = _deadlines.deadline_ns(route)
        start_deadline_ns = _deadlines.start_deadline_ns(route, deadline_ns)
        last: Answer | None = None
        for number in range(MAX_TRIES):
            ticket = await self._acquire_ticket(
                route.group, _deadlines.target_deadline_ns(route, deadline_ns)
            )
            if isinstance(ticket, Refusal):
                return ticket
            result = await self._write_with_ticket(
                route, ticket, statement, deadline_ns
            )
            if isinstance(result, Refusal) or result.fault is None:
                return result
            last = result
            if not result.fault.is_not_run:
                return write_refusal(route, result)
            if not self.may_run():
                break
            if not await self._back_off(
                number, start_deadline_ns, result.retry_after_ms
            ):
                break
        return not_run_refusal(
            route.group, last, has_primary=self.router.has_primary(route.group)
        )

    def _refuse_read(self, route: Route, last: Answer | None) -> Refusal:
        self.router.record_refused_read(route.group)
        has_primary = self.router.has_primary(route.group)
        return read_refusal(route, last, has_primary=has_primary)

    def _choose_read_target(
        self, route: Route, failed: set[str], *, may_probe: bool = False
    ) -> ReadTarget | None:
        self._place_writes(route.group)
        found = self.router.choose_read_target(
            route,
            self.points.get(route.group),
            failed,
            may_probe=may_probe,
            # No replica is known to hold the session's own write.
            needs_primary=route.freshness == Freshness.SESSION
            and route.group in self.unplaced_ns,
        )
        if found is not None:
            self.asked_point = found.after
        return found

    def _record_write(self, group: str, answer: Answer) -> None:
        """Record the position of an acknowledged write, if told."""
        if answer.point is None:
            self.unplaced_ns[group] = clock_ns()
            return
        self.points[group] = answer.point
        self.unplaced_ns.pop(group, None)

    def _place_writes(self, group: str) -> None:
        """Use a position that was told after the newest write."""
        since_ns = self.unplaced_ns.get(group)
        positions = self.router.positions
        if since_ns is None or positions.newest_ns(group) < since_ns:
            return
        point = newer_point(self.points.get(group), positions.newest(group))
        if point is not None:
            self.points[group] = point
            del self.unplaced_ns[group]

    async def _read_at(
        self,
        route: Route,
        read_target: ReadTarget,
        statement: Statement,
        deadline_ns: int,
    ) -> Answer:
        queue = await self._enter_queue(route, read_target.target, deadline_ns)
        if isinstance(queue, Answer):
            return queue
        try:
            connection = await self._connect(
                route, read_target.target, deadline_ns, pinned=False
            )
            if isinstance(connection, OpenFault):
                return _busy(connection)
            answer = await self._ask(
                connection,
                statement,
                after=read_target.after,
                deadline_ns=deadline_ns,
            )
            self._release(connection)
        finally:
            if queue is not None:
                queue.leave()
        if self.router.confirm_read(
            route.group, read_target.target, answer, read_target.min_point
        ):
            return answer
        return Answer(fault=FaultCode.BEHIND, text="replaced primary")

    async def _enter_queue(
        self, route: Route, target: str, deadline_ns: int
    ) -> AdmissionQueue | Answer | None:
        """Wait in this host's queue for a target, if there is one.

        Where another host lends the connections, statements wait only
        there: a statement that waits at its own host for another one to
        return from the lender's queue could not overtake it.

        :return: the queue to leave afterwards, None if there is none,
            or a fault if the statement is not admitted in time
        """
        pool = self.router.pools.get(target)
        if pool is not None and not pool.opens_own_connections:
            return None
        queue = self.router.admission_queues[target]
        if await queue.enter(
            self._connection_request(route, deadline_ns),
            deadline_ns=_deadlines.start_deadline_ns(route, deadline_ns),
        ):
            return queue
        return Answer(fault=FaultCode.BUSY, text="not admitted in time")

    async def _write_with_ticket(
        self,
        route: Route,
        ticket: WriteTicket,
        statement: Statement,
        deadline_ns: int,
    ) -> Answer | Refusal:
        """Run a write under a ticket, which ends with it."""
        answer: Answer | None = None
        try:
            answer = await self._write_admitted(
                route, ticket, statement, deadline_ns
            )
        finally:
            lease_held = self.router.end_write(ticket, answer)
        own = self.points.get(ticket.group)
        if not self.router.confirm_write(ticket, answer, own):
            return unknown_outcome(
                Reason.PRIMARY_REPLACED, Step.EXECUTE, ticket.primary
            )
        if answer.fault is None and not lease_held:
            return unknown_outcome(
                Reason.LEASE_ENDED, Step.EXECUTE, ticket.primary
            )
        if answer.fault is None:
            self._record_write(ticket.group, answer)
        return answer

    async def _write_admitted(
        self,
        route: Route,
        ticket: WriteTicket,
        statement: Statement,
        deadline_ns: int,
    ) -> Answer:
        queue = await self._enter_queue(route, ticket.primary, deadline_ns)
        if isinstance(queue, Answer):
            return queue
        try:
            return await self._write_once(
                route, ticket, statement, deadline_ns
            )
        finally:
            if queue is not None:
                queue.leave()

    async def _write_once(
        self,
        route: Route,
        ticket: WriteTicket,
        statement: Statement,
        deadline_ns: int,
    ) -> Answer:
        connection = await self._connect(
            route, ticket.primary, deadline_ns, pinned=False
        )
        if isinstance(connection, OpenFault):
            return _busy(connection)
        if not self.router.holds(ticket):
            self._release(connection)
            return Answer(fault=FaultCode.READ_ONLY)
        answer = await self._ask(
            connection, statement, deadline_ns=deadline_ns
        )
        self._release(connection)
        return answer

    # --- transactions ---

    async def run_in_transaction(
        self, transaction: Transaction, statement: Statement
    ) -> Answer | Refusal:
        """Run a read or write of a transaction.

        A refusal ends the transaction, which then has no effect.
        """
        deadline_ns = _deadlines.deadline_ns(transaction.route)
        connection = await self._pinned_connection(transaction, deadline_ns)
        if isinstance(connection, Refusal):
            return connection
        answer = await self._ask_pinned(connection, statement, deadline_ns)
        if self._writes(statement):
            transaction.has_written = True
        is_current = self.router.confirm_read(
            transaction.route.group,
            transaction.target,
            answer,
            transaction.min_point,
        )
        is_open = answer.state is SessionState.TRANSACTION
        if answer.fault is None and is_open and is_current:
            return answer
        log_event(
            "transaction-ended",
            f"id={statement.request_id} target={transaction.target}"
            f" fault={answer.fault} state={answer.state}"
            f" position={answer.point or '-'}",
        )
        self.abandon(transaction)
        return transaction_ended(transaction)

    async def commit(
        self, transaction: Transaction, statement: Statement
    ) -> Answer | Refusal:
        """Commit a transaction, at most once."""
        deadline_ns = _deadlines.deadline_ns(transaction.route)
        connection = await self._pinned_connection(transaction, deadline_ns)
        if isinstance(connection, Refusal):
            return connection
        answer = await self._ask_pinned(connection, statement, deadline_ns)
        return self._finish_commit(transaction, connection, answer)

    def _finish_commit(
        self,
        transaction: Transaction,
        connection: TargetConnection,
        answer: Answer,
    ) -> Answer | Refusal:
        ticket = transaction.ticket
        committed = answer if transaction.has_written else None
        lease_held = self._end_ticket(transaction, committed)
        transaction.connection = None
        self._release(connection)
        if not transaction.has_written:
            return (
                answer
                if answer.fault is None
                else transaction_ended(transaction)
            )
        if answer.fault is not None:
            if answer.fault.is_not_run:
                return transaction_ended(transaction)
            return unknown_outcome(
                Reason.CONNECTION_LOST, Step.COMMIT, transaction.target
            )
        own = self.points.get(transaction.route.group)
        if ticket is not None and not self.router.confirm_write(
            ticket, answer, own
        ):
            return unknown_outcome(
                Reason.PRIMARY_REPLACED, Step.COMMIT, transaction.target
            )
        if not lease_held:
            return unknown_outcome(
                Reason.LEASE_ENDED, Step.COMMIT, transaction.target
            )
        self._record_write(transaction.route.group, answer)
        return answer

    async def roll_back(self, transaction: Transaction) -> None:
        """Roll a transaction back."""
        connection = transaction.connection
        if connection is None:
            return
        transaction.connection = None
        await connection.ask(
            connection.codec.encode_rollback(),
            deadline_ns=_deadlines.deadline_ns(transaction.route),
        )
        self._release(connection)
        self._end_ticket(transaction)

    def abandon(self, transaction: Transaction) -> None:
        """Abort a transaction by closing its connection."""
        if transaction.connection is not None:
            transaction.connection.abort()
            transaction.connection = None
        self._end_ticket(transaction)

    def _end_ticket(
        self, transaction: Transaction, committed: Answer | None = None
    ) -> bool:
        """Return the ticket of a transaction, if it has one.

        :param committed: answer to the commit of its writes, if there
            was one
        :return: whether the answer of the primary may be acknowledged
        """
        ticket, transaction.ticket = transaction.ticket, None
        return ticket is None or self.router.end_write(ticket, committed)

    async def _pinned_connection(
        self, transaction: Transaction, deadline_ns: int
    ) -> TargetConnection | Refusal:
        """Return the connection on which a transaction may continue.

        Begins the transaction at a target if that has not been done.
        """
        refusal = await self._pin(transaction, deadline_ns)
        if refusal is not None:
            return refusal
        connection = transaction.connection
        if (
            connection is None
            or connection.is_lost
            or not self._may_continue(transaction)
        ):
            self.abandon(transaction)
            return transaction_ended(transaction)
        return connection

    async def _pin(
        self, transaction: Transaction, deadline_ns: int
    ) -> Refusal | None:
        """Begin a transaction at a target, unless that has been done.

        :return: a refusal if no target was available, or None
        """
        if transaction.connection is not None or transaction.target:
            return None
        failed: set[str] = set()
        start_deadline_ns = _deadlines.start_deadline_ns(
            transaction.route, deadline_ns
        )
        for number in range(MAX_TRIES):
            if transaction.is_read_only:
                fault = await self._pin_read(transaction, failed, deadline_ns)
            else:
                fault = await self._pin_write(transaction, deadline_ns)
            if fault is None:
                return None
            refusal = self.router.lease_refusal(
                transaction.route.group, start_deadline_ns
            )
            if (
                refusal is not None
                and fault in _NO_TARGET_FAULTS
                and self._needs_lease(transaction)
            ):
                return attrs.evolve(
                    transaction_ended(transaction),
                    retry_after_ms=refusal.retry_after_ms,
                )
            if not self.may_run():
                break
            if not await self._back_off(
                number, start_deadline_ns, transaction.retry_after_ms
            ):
                break
        return transaction_ended(transaction)

    async def _pin_read(
        self, transaction: Transaction, failed: set[str], deadline_ns: int
    ) -> FaultCode | None:
        await self._wait_for_position(transaction.route)
        read_target = self._choose_read_target(transaction.route, failed)
        if read_target is None:
            failed.clear()
            return FaultCode.BEHIND
        fault = await self._begin(transaction, read_target, deadline_ns)
        if fault is not None:
            failed.add(read_target.target)
        return fault

    async def _pin_write(
        self, transaction: Transaction, deadline_ns: int
    ) -> FaultCode | None:
        route = transaction.route
        ticket = await self._acquire_ticket(
            route.group, _deadlines.target_deadline_ns(route, deadline_ns)
        )
        if isinstance(ticket, Refusal):
            return FaultCode.READ_ONLY
        transaction.ticket = ticket
        min_point = self.router.required_point_of_primary(
            route.group, self.points.get(route.group)
        )
        primary = ReadTarget(
            target=ticket.primary, after=None, min_point=min_point
        )
        fault: FaultCode | None = FaultCode.OTHER
        try:
            fault = await self._begin(transaction, primary, deadline_ns)
        finally:
            if fault is not None:
                self._end_ticket(transaction)
        return fault

    async def _begin(
        self,
        transaction: Transaction,
        read_target: ReadTarget,
        deadline_ns: int,
    ) -> FaultCode | None:
        target = read_target.target
        connection = await self._connect(
            transaction.route, target, deadline_ns, pinned=True
        )
        if isinstance(connection, OpenFault):
            transaction.retry_after_ms = connection.retry_after_ms
            return FaultCode.BUSY
        transaction.retry_after_ms = 0
        asked_ns = clock_ns()
        was_leased_primary = self.router.is_leased_primary(target)
        data = connection.codec.encode_begin(
            is_read_only=transaction.is_read_only, after=read_target.after
        )
        answer = await connection.ask(data, deadline_ns=deadline_ns)
        self.stages.add(Stage.EXECUTION, asked_ns)
        self.router.record_answer(
            target,
            answer,
            asked_ns=asked_ns,
            was_leased_primary=was_leased_primary,
        )
        if answer.fault is not None:
            self._release(connection)
            return answer.fault
        if not self.router.confirm_read(
            transaction.route.group, target, answer, read_target.min_point
        ):
            # Closes the connection, as it is in a transaction.
            self._release(connection)
            return FaultCode.BEHIND
        self.has_run = True
        transaction.min_point = read_target.min_point
        transaction.connection = connection
        transaction.target = target
        return None

    def _needs_lease(self, transaction: Transaction) -> bool:
        if not transaction.is_read_only:
            return True
        return self.router.needs_lease(transaction.route)

    def _may_continue(self, transaction: Transaction) -> bool:
        ticket = transaction.ticket
        return ticket is None or self.router.holds(ticket)

    # --- waits ---

    async def _wait_for_target(
        self, route: Route, deadline_ns: int, last: Answer | None
    ) -> Refusal | None:
        """Wait until another target may be suitable for a read.

        :param last: answer to the last attempt, or None
        :return: None after the wait, or a refusal if waiting any longer
            is of no use
        """
        until_ns = _deadlines.target_deadline_ns(route, deadline_ns)
        if self.router.needs_lease(route):
            refusal = self.router.lease_refusal(route.group, until_ns)
            if refusal is not None:
                return refusal
        if await self._wait_change(Stage.TARGET, until_ns):
            return None
        return self._refuse_read(route, last)

    def _writes(self, statement: Statement) -> bool:
        return writes(statement, self.variables)


def writes(statement: Statement, variables: SessionVariables) -> bool:
    """Return whether a statement writes.

    :param variables: variables of the session; they contain the shapes
        of its prepared statements
    """
    if statement.kind.uses_prepared:
        shape: PreparedStatement | None = variables.shapes.get(statement.name)
        return shape is not None and shape.writes
    return statement.kind.always_writes


def _busy(fault: OpenFault) -> Answer:
    """Build the answer to a statement that got no connection."""
    return Answer(
        fault=FaultCode.BUSY,
        text=str(fault.code),
        retry_after_ms=fault.retry_after_ms,
    )
