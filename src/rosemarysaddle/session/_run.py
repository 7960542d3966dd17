"""Statements outside and inside transactions, run at targets.

What a caller is told in each case stands in docs/design/promises.md.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import attrs

from rosemarysaddle._clock import clock_ns
from rosemarysaddle._events import log_event
from rosemarysaddle.decide import (
    NS_PER_MS,
    Answer,
    ConnectionRequest,
    FaultCode,
    LogPoint,
    Reason,
    Refusal,
    SessionState,
    SessionVariables,
    Shape,
    Statement,
    Step,
    WriteTicket,
    shared_name,
)
from rosemarysaddle.exchange import Exchange, OpenFault
from rosemarysaddle.session._refusals import (
    ended,
    not_run,
    read_refusal,
    unknown,
    write_refusal,
)

if TYPE_CHECKING:
    from rosemarysaddle.schema import Route
    from rosemarysaddle.session._router import Placement, Router

__all__ = ("Runner", "Transaction")

# Pause before a target that did not run a statement is asked again; it
# doubles with each try.
PAUSE_MS: Final = 20
MAX_PAUSE_MS: Final = 200
MAX_TRIES: Final = 8


@attrs.define(kw_only=True, eq=False)
class Transaction:
    """Transaction of one session, pinned to one connection.

    :param exchange: connection on which it runs, once it has one
    :param ticket: right to use the primary, where it runs there
    """

    reads: bool
    route: Route
    exchange: Exchange | None = None
    target: str = ""
    ticket: WriteTicket | None = None
    wrote: bool = False


@attrs.define(kw_only=True, eq=False)
class Runner:
    """Runs the statements of one session.

    :param variables: what the session has set
    :param point: newest write of the session
    """

    router: Router
    variables: SessionVariables = attrs.field(factory=SessionVariables)
    points: dict[str, LogPoint] = attrs.field(factory=dict, init=False)

    # --- outside transactions ---

    async def read(
        self, route: Route, statement: Statement
    ) -> Answer | Refusal:
        """Run one read outside a transaction."""
        deadline_ns = _deadline_ns(route)
        failed: set[str] = set()
        attempts = 0
        last: Answer | None = None
        for number in range(MAX_TRIES):
            place = self._place(route, failed)
            if place is None:
                if not await self.router.wait_change(deadline_ns):
                    break
                continue
            answer = await self._read_at(route, place, statement, deadline_ns)
            if answer.fault is None:
                return answer
            last = answer
            failed.add(place.target)
            if not answer.fault.is_not_run:
                attempts += 1
            if attempts >= max(2, route.max_attempts):
                break
            if not self._place(route, failed):
                failed.clear()
                if not await self._pause(
                    number, _start_ns(route, deadline_ns)
                ):
                    break
        return read_refusal(route, last)

    async def write(
        self, route: Route, statement: Statement
    ) -> Answer | Refusal:
        """Run one write outside a transaction, at most once."""
        deadline_ns = _deadline_ns(route)
        last: Answer | None = None
        for number in range(MAX_TRIES):
            ticket = await self._ticket(route.group, deadline_ns)
            if isinstance(ticket, Refusal):
                return ticket
            result = await self._write_in_turn(
                route, ticket, statement, deadline_ns
            )
            if isinstance(result, Refusal) or result.fault is None:
                return result
            last = result
            if not result.fault.is_not_run:
                return write_refusal(route, result)
            if not await self._pause(number, _start_ns(route, deadline_ns)):
                break
        return not_run(route.group, last)

    def _place(self, route: Route, failed: set[str]) -> Placement | None:
        point = self.points.get(route.group)
        return self.router.place_read(route, point, failed)

    async def _read_at(
        self,
        route: Route,
        place: Placement,
        statement: Statement,
        deadline_ns: int,
    ) -> Answer:
        turns = self.router.turns[place.target]
        if not await turns.enter(
            priority=route.priority,
            deadline_ns=_start_ns(route, deadline_ns),
        ):
            return Answer(fault=FaultCode.BUSY, text="no turn in time")
        try:
            exchange = await self._connect(
                route, place.target, deadline_ns, pinned=False
            )
            if isinstance(exchange, OpenFault):
                return Answer(fault=FaultCode.BUSY, text=str(exchange.code))
            answer = await self._ask(
                exchange, statement, after=place.after, deadline_ns=deadline_ns
            )
            self._give_back(exchange)
        finally:
            turns.leave()
        return answer

    async def _write_in_turn(
        self,
        route: Route,
        ticket: WriteTicket,
        statement: Statement,
        deadline_ns: int,
    ) -> Answer | Refusal:
        turns = self.router.turns[ticket.primary]
        if not await turns.enter(
            priority=route.priority,
            deadline_ns=_start_ns(route, deadline_ns),
        ):
            self.router.end_write(ticket)
            return Answer(fault=FaultCode.BUSY, text="no turn in time")
        try:
            return await self._write_once(
                route, ticket, statement, deadline_ns
            )
        finally:
            turns.leave()

    async def _write_once(
        self,
        route: Route,
        ticket: WriteTicket,
        statement: Statement,
        deadline_ns: int,
    ) -> Answer | Refusal:
        exchange = await self._connect(
            route, ticket.primary, deadline_ns, pinned=False
        )
        if isinstance(exchange, OpenFault):
            self.router.end_write(ticket)
            return Answer(fault=FaultCode.BUSY, text=str(exchange.code))
        if not self.router.holds(ticket):
            self._give_back(exchange)
            self.router.end_write(ticket)
            return Answer(fault=FaultCode.READ_ONLY)
        answer = await self._ask(exchange, statement, deadline_ns=deadline_ns)
        self._give_back(exchange)
        held = self.router.end_write(ticket)
        if answer.fault is None and not held:
            return unknown(Reason.LEASE_ENDED, Step.EXECUTE, ticket.primary)
        if answer.fault is None and answer.point is not None:
            self.points[ticket.group] = answer.point
        return answer

    # --- transactions ---

    async def run_in(
        self, transaction: Transaction, statement: Statement
    ) -> Answer | Refusal:
        """Run a read or write of a transaction.

        A refusal ends the transaction; nothing of it is kept.
        """
        deadline_ns = _deadline_ns(transaction.route)
        exchange = await self._pinned(transaction, deadline_ns)
        if isinstance(exchange, Refusal):
            return exchange
        answer = await self._ask_pinned(exchange, statement, deadline_ns)
        if self._writes(statement):
            transaction.wrote = True
        if answer.fault is None and answer.state is SessionState.TRANSACTION:
            return answer
        log_event(
            "transaction-ended",
            f"id={statement.request_id} target={transaction.target}"
            f" fault={answer.fault} state={answer.state}",
        )
        self.abandon(transaction)
        return ended(transaction)

    async def commit(
        self, transaction: Transaction, statement: Statement
    ) -> Answer | Refusal:
        """Commit a transaction, at most once."""
        deadline_ns = _deadline_ns(transaction.route)
        exchange = await self._pinned(transaction, deadline_ns)
        if isinstance(exchange, Refusal):
            return exchange
        answer = await self._ask_pinned(exchange, statement, deadline_ns)
        return self._committed(transaction, exchange, answer)

    def _committed(
        self, transaction: Transaction, exchange: Exchange, answer: Answer
    ) -> Answer | Refusal:
        held = self._end_ticket(transaction)
        transaction.exchange = None
        self._give_back(exchange)
        if not transaction.wrote:
            return answer if answer.fault is None else ended(transaction)
        if answer.fault is not None:
            if answer.fault.is_not_run:
                return ended(transaction)
            return unknown(
                Reason.CONNECTION_LOST, Step.COMMIT, transaction.target
            )
        if not held:
            return unknown(Reason.LEASE_ENDED, Step.COMMIT, transaction.target)
        if answer.point is not None:
            self.points[transaction.route.group] = answer.point
        return answer

    async def roll_back(self, transaction: Transaction) -> None:
        """End a transaction of which nothing is kept."""
        exchange = transaction.exchange
        if exchange is None:
            return
        transaction.exchange = None
        await exchange.ask(
            exchange.codec.encode_rollback(),
            deadline_ns=_deadline_ns(transaction.route),
        )
        self._give_back(exchange)
        self._end_ticket(transaction)

    def abandon(self, transaction: Transaction) -> None:
        """End a transaction by the end of its connection."""
        if transaction.exchange is not None:
            transaction.exchange.abort()
            transaction.exchange = None
        self._end_ticket(transaction)

    def _end_ticket(self, transaction: Transaction) -> bool:
        """End the right to the primary, and tell whether it held."""
        ticket, transaction.ticket = transaction.ticket, None
        return ticket is None or self.router.end_write(ticket)

    async def _pinned(
        self, transaction: Transaction, deadline_ns: int
    ) -> Exchange | Refusal:
        """Give the connection on which a transaction may go on."""
        refusal = await self._pin(transaction, deadline_ns)
        if refusal is not None:
            return refusal
        exchange = transaction.exchange
        if (
            exchange is None
            or exchange.is_lost
            or not self._may_go_on(transaction)
        ):
            self.abandon(transaction)
            return ended(transaction)
        return exchange

    async def _pin(
        self, transaction: Transaction, deadline_ns: int
    ) -> Refusal | None:
        """Begin at a target, where that has not happened yet."""
        if transaction.exchange is not None or transaction.target:
            return None
        failed: set[str] = set()
        for number in range(MAX_TRIES):
            if transaction.reads:
                fault = await self._pin_read(transaction, failed, deadline_ns)
            else:
                fault = await self._pin_write(transaction, deadline_ns)
            if fault is None:
                return None
            if not await self._pause(number, deadline_ns):
                break
        return ended(transaction)

    async def _pin_read(
        self, transaction: Transaction, failed: set[str], deadline_ns: int
    ) -> FaultCode | None:
        place = self._place(transaction.route, failed)
        if place is None:
            failed.clear()
            return FaultCode.BEHIND
        fault = await self._begin(
            transaction, place.target, place.after, deadline_ns
        )
        if fault is not None:
            failed.add(place.target)
        return fault

    async def _pin_write(
        self, transaction: Transaction, deadline_ns: int
    ) -> FaultCode | None:
        ticket = await self._ticket(transaction.route.group, deadline_ns)
        if isinstance(ticket, Refusal):
            return FaultCode.READ_ONLY
        fault = await self._begin(
            transaction, ticket.primary, None, deadline_ns
        )
        if fault is None:
            transaction.ticket = ticket
        else:
            self.router.end_write(ticket)
        return fault

    async def _begin(
        self,
        transaction: Transaction,
        target: str,
        after: LogPoint | None,
        deadline_ns: int,
    ) -> FaultCode | None:
        exchange = await self._connect(
            transaction.route, target, deadline_ns, pinned=True
        )
        if isinstance(exchange, OpenFault):
            return FaultCode.BUSY
        asked_ns = clock_ns()
        covered = self.router.covers(target)
        data = exchange.codec.encode_begin(
            reads=transaction.reads, after=after
        )
        answer = await exchange.ask(data, deadline_ns=deadline_ns)
        self.router.note_answer(
            target, answer, asked_ns=asked_ns, covered=covered
        )
        if answer.fault is not None:
            self._give_back(exchange)
            return answer.fault
        transaction.exchange = exchange
        transaction.target = target
        return None

    def _may_go_on(self, transaction: Transaction) -> bool:
        ticket = transaction.ticket
        return ticket is None or self.router.holds(ticket)

    # --- common steps ---

    async def _ticket(
        self, group: str, deadline_ns: int
    ) -> WriteTicket | Refusal:
        while True:
            found = self.router.begin_write(group)
            if isinstance(found, WriteTicket):
                return found
            if not await self.router.wait_change(deadline_ns):
                return found

    async def _connect(
        self, route: Route, target: str, deadline_ns: int, *, pinned: bool
    ) -> Exchange | OpenFault:
        pool = self.router.pools.get(target)
        if pool is None:
            return OpenFault(code=FaultCode.WRONG_TARGET, peer=target)
        connection_request = ConnectionRequest(
            priority=route.priority, pinned=pinned
        )
        return await pool.acquire(
            self.variables,
            deadline_ns=_start_ns(route, deadline_ns),
            connection_request=connection_request,
        )

    async def _ask(
        self,
        exchange: Exchange,
        statement: Statement,
        *,
        after: LogPoint | None = None,
        deadline_ns: int,
    ) -> Answer:
        shape = self.variables.shapes.get(statement.name)
        if not statement.kind.uses_prepared:
            shape = None
        plan = exchange.setup.plan(self.variables, shape)
        if not plan.is_empty and not await exchange.prepare(
            plan, deadline_ns=deadline_ns
        ):
            return Answer(fault=FaultCode.BUSY, state=SessionState.FAILED)
        data = exchange.codec.encode_statement(
            statement, shared=shared_name(shape) if shape else "", after=after
        )
        return await self._exchange(exchange, data, deadline_ns)

    async def _exchange(
        self, exchange: Exchange, data: bytes, deadline_ns: int
    ) -> Answer:
        target = exchange.target
        placed = self.router.targets.get(target)
        asked_ns = clock_ns()
        covered = self.router.covers(target)
        if placed is not None:
            placed.running += 1
        answer = await exchange.ask(data, deadline_ns=deadline_ns)
        if placed is not None:
            placed.running -= 1
        turns = self.router.turns.get(target)
        if turns is not None and answer.fault is FaultCode.BUSY:
            turns.window.record_shed()
        elif turns is not None and answer.fault is None:
            turns.window.record_served()
        self.router.note_answer(
            target, answer, asked_ns=asked_ns, covered=covered
        )
        return answer

    def _give_back(self, exchange: Exchange) -> None:
        pool = self.router.pools.get(exchange.target)
        if pool is None:
            exchange.abort()
        else:
            pool.release(exchange)

    async def _ask_pinned(
        self, exchange: Exchange, statement: Statement, deadline_ns: int
    ) -> Answer:
        # A full target has not run it and keeps the transaction.
        answer = await self._ask_in_turn(exchange, statement, deadline_ns)
        for number in range(MAX_TRIES):
            if answer.fault is not FaultCode.BUSY:
                break
            if answer.state is not SessionState.TRANSACTION:
                break
            if not await self._pause(number, deadline_ns):
                break
            answer = await self._ask_in_turn(exchange, statement, deadline_ns)
        return answer

    async def _ask_in_turn(
        self, exchange: Exchange, statement: Statement, deadline_ns: int
    ) -> Answer:
        turns = self.router.turns.get(exchange.target)
        if turns is None:
            return await self._ask(
                exchange, statement, deadline_ns=deadline_ns
            )
        turns.join()
        try:
            return await self._ask(
                exchange, statement, deadline_ns=deadline_ns
            )
        finally:
            turns.leave()

    async def _pause(self, number: int, deadline_ns: int) -> bool:
        pause_ms = min(MAX_PAUSE_MS, PAUSE_MS << number)
        until_ns = clock_ns() + pause_ms * NS_PER_MS
        if until_ns >= deadline_ns:
            return False
        return await self.router.wait_change(until_ns)

    def _writes(self, statement: Statement) -> bool:
        return writes(statement, self.variables)


def writes(statement: Statement, variables: SessionVariables) -> bool:
    """Tell whether a statement writes."""
    if statement.kind.uses_prepared:
        shape: Shape | None = variables.shapes.get(statement.name)
        return shape is not None and shape.writes
    return statement.kind.always_writes


def _deadline_ns(route: Route) -> int:
    return clock_ns() + route.timeout_ms * NS_PER_MS


def _start_ns(route: Route, deadline_ns: int) -> int:
    """Time until which a statement waits for a turn and a connection.

    A statement that waits longer than half of its time mostly does not
    end in the rest; its caller comes back sooner if it is told.
    """
    return deadline_ns - route.timeout_ms * NS_PER_MS // 2
