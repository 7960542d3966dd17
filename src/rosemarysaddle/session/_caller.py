"""Session of one caller, bound to the caller's connection.

The session handles the messages of its caller in order and keeps the
state of the caller's transaction.
"""

from __future__ import annotations

import asyncio
import collections
from typing import TYPE_CHECKING, Final, Protocol

import attrs

from rosemarysaddle import _log as logging
from rosemarysaddle._clock import clock_ns
from rosemarysaddle._events import log_event
from rosemarysaddle._tasks import spawn
from rosemarysaddle.decide import (
    NS_PER_MS,
    Answer,
    CloseSession,
    OpenSession,
    Outcome,
    Reason,
    Refusal,
    SessionState,
    Statement,
    StatementKind,
    Step,
    digest_key,
    team_weight,
)
from rosemarysaddle.session._rate_limits import NO_TOKEN
from rosemarysaddle.session._refusals import (
    bad_request,
    defect,
    key_revoked,
    lost_transaction,
    no_configuration,
    stopping,
    transaction_ended,
    unknown_database,
    unknown_key,
    unknown_prepared,
    view_outdated,
)
from rosemarysaddle.session._runner import Runner, writes
from rosemarysaddle.session._stages import Stage, log_slow_statement
from rosemarysaddle.session._transaction import Transaction

if TYPE_CHECKING:
    from collections.abc import Callable

    from rosemarysaddle.decide import RouteTable
    from rosemarysaddle.schema import Route, Team
    from rosemarysaddle.session._rate_limits import AdmissionToken
    from rosemarysaddle.session._router import Router

__all__ = ("CallerCodec", "CallerSession")

# Callers close a session that does not open within 2 s, so it is
# refused before then.
OPEN_TIMEOUT_MS: Final = 1_500
# Wait for the confirmation of the plan, e.g. after this host was
# suspended: a few round trips to the leader.
PLAN_WAIT_MS: Final = 100
_BEGINNINGS: Final = {
    StatementKind.BEGIN,
    StatementKind.BEGIN_READ,
    StatementKind.READ,
    StatementKind.WRITE,
    StatementKind.EXECUTE,
}
_DONE: Final = Answer()
_REFUSAL_EVENTS: Final = {
    Reason.KEY_REVOKED: "refused-key",
    Reason.RATE_LIMITED: "refused-limit",
}


class CallerCodec(Protocol):
    """Codec of one caller's connection; does no I/O itself."""

    def feed(
        self, data: bytes
    ) -> list[OpenSession | CloseSession | Statement] | None:
        """Decode bytes received from the caller.

        :return: the messages that are complete now, or None if the
            bytes are malformed
        """

    def encode_ready(self, state: SessionState) -> bytes:
        """Encode that the session is ready for the next statement."""

    def encode_answer(self, answer: Answer, state: SessionState) -> bytes:
        """Encode the result of a statement."""

    def encode_refusal(
        self, refusal: Refusal, state: SessionState | None
    ) -> bytes:
        """Encode a refusal; a state of None ends the session."""


@attrs.define(kw_only=True, eq=False)
class CallerSession(asyncio.Protocol):
    """Session of one caller.

    :param on_end: called once when the connection is closed
    :param database: name of the database; empty until the session is
        open
    :param is_busy: whether received messages are being handled
    """

    codec: CallerCodec
    router: Router
    on_end: Callable[[CallerSession], None]
    runner: Runner = attrs.field(init=False)
    database: str = attrs.field(default="", init=False)
    state: SessionState = attrs.field(default=SessionState.IDLE, init=False)
    is_busy: bool = attrs.field(default=False, init=False)
    _key_digest: bytes = attrs.field(default=b"", init=False, repr=False)
    # Version of the plan against which the key was checked last.
    _checked_version: int = attrs.field(default=-1, init=False)
    _has_access: bool = attrs.field(default=False, init=False)
    # Whether the transaction was ended for its key, which the answer to
    # the next statement tells.
    _was_revoked: bool = attrs.field(default=False, init=False)
    _is_stopped: bool = attrs.field(default=False, init=False)
    _token: AdmissionToken = attrs.field(default=NO_TOKEN, init=False)
    _transaction: Transaction | None = attrs.field(default=None, init=False)
    _transport: asyncio.Transport | None = attrs.field(
        default=None, init=False
    )
    _inbox: collections.deque[OpenSession | CloseSession | Statement] = (
        attrs.field(factory=collections.deque, init=False)
    )
    _task: asyncio.Task[None] | None = attrs.field(default=None, init=False)
    _idle_timer: asyncio.TimerHandle | None = attrs.field(
        default=None, init=False
    )

    def __attrs_post_init__(self) -> None:
        """Create the runner of the session's statements."""
        self.runner = Runner(router=self.router)

    # --- connection ---

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport of the established connection."""
        assert isinstance(transport, asyncio.Transport)  # noqa: S101
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        """Queue received messages, which are handled in order."""
        messages = self.codec.feed(data)
        if messages is None:
            self.refuse_and_close(bad_request("decode"))
            return
        self._inbox.extend(messages)
        if self._inbox and not self.is_busy:
            self.is_busy = True
            self._task = spawn(self._process_inbox())

    def connection_lost(self, exc: Exception | None) -> None:
        """Abort the transaction of a caller that has disconnected."""
        del exc
        self._transport = None
        self._stop_idle_timer()
        if self._transaction is not None and not self.is_busy:
            self.runner.abandon(self._transaction)
            self._transaction = None
        self.on_end(self)

    @property
    def is_open(self) -> bool:
        """Return whether the caller is still connected."""
        return self._transport is not None

    @property
    def in_transaction(self) -> bool:
        """Return whether a transaction is open."""
        return self._transaction is not None

    def close(self) -> None:
        """Close the connection once all written data is sent."""
        if self._transport is not None:
            self._transport.close()

    def end_transaction(self) -> None:
        """Abort the open transaction, unless a statement is running.

        The caller learns this from the answer to its next statement.
        """
        if self._transaction is not None and not self.is_busy:
            self.runner.abandon(self._transaction)
            self._transaction = None
            self.state = SessionState.FAILED

    def stop(self) -> None:
        """Answer a statement that still runs, and close."""
        self._is_stopped = True
        if self._task is not None and self.is_busy:
            self._task.cancel()
        else:
            self.close()

    def refuse_and_close(self, refusal: Refusal) -> None:
        """Send a refusal and close the connection."""
        self._write(self.codec.encode_refusal(refusal, None))
        self.close()

    # --- statements ---

    async def _process_inbox(self) -> None:
        try:
            while self._inbox and self._transport is not None:
                message = self._inbox.popleft()
                try:
                    await self._handle_message(message)
                except Exception as error:  # noqa: BLE001  # of this one
                    self._on_defect(message, error)
                except asyncio.CancelledError:
                    if not self._is_stopped:
                        raise
                    self._on_stopped(message)
                    break
        finally:
            self.is_busy = False
            if self._transport is None and self._transaction is not None:
                self.runner.abandon(self._transaction)
                self._transaction = None
            # The plan may have changed, or the host have run out of
            # time for transactions, while the last statement ran.
            self.recheck_key()
            if self._takes_no_work():
                self.end_transaction()

    async def _handle_message(
        self, message: OpenSession | CloseSession | Statement
    ) -> None:
        match message:
            case OpenSession():
                await self._open_session(message)
            case CloseSession():
                self.close()
            case Statement():
                self._stop_idle_timer()
                await self._run_statement(message)
                self._start_idle_timer()

    def _takes_no_work(self) -> bool:
        return self.router.stop_schedule.takes_no_work(clock_ns())

    def _on_stopped(
        self, message: OpenSession | CloseSession | Statement
    ) -> None:
        """Answer a statement that this host has no time left for."""
        if isinstance(message, Statement):
            in_transaction = self._transaction is not None
            self._abandon_transaction(message)
            # Without its COMMIT a transaction has no effect, and a read
            # has none at all.
            is_not_run = message.kind is not StatementKind.COMMIT and (
                in_transaction or not writes(message, self.runner.variables)
            )
            outcome = Outcome.NOT_RUN if is_not_run else Outcome.UNKNOWN
            refusal = stopping(self.router.label, outcome)
            self._write(self.codec.encode_refusal(refusal, self.state))
        self.close()

    def _refuse_while_stopping(self, statement: Statement) -> Refusal | None:
        """Refuse a statement that this host has no time left for.

        :return: the refusal, or None if the statement needs no target
        """
        if not self._takes_no_work():
            return None
        if self._transaction is not None:
            if statement.kind is StatementKind.ROLLBACK:
                return None
            refusal = transaction_ended(self._transaction)
            self._abandon_transaction(statement)
            return refusal
        if self.state is SessionState.IDLE and statement.kind in _BEGINNINGS:
            return stopping(self.router.label, Outcome.NOT_RUN)
        return None

    def _abandon_transaction(self, statement: Statement) -> None:
        """Abort the open transaction, in answer to a statement."""
        self._fail_transaction(_DONE)
        if statement.kind in {StatementKind.COMMIT, StatementKind.ROLLBACK}:
            self.state = SessionState.IDLE

    def _on_defect(
        self,
        message: OpenSession | CloseSession | Statement,
        error: Exception,
    ) -> None:
        """Answer a message whose handling raised."""
        logging.error(
            "event=defect step=%s database=%s",
            type(message).__name__,
            self.database,
            exc_info=error,
        )
        if not isinstance(message, Statement):
            self.refuse_and_close(defect(Outcome.NOT_RUN))
            return
        self._abandon_transaction(message)
        self._settle_token()
        refusal = defect(Outcome.UNKNOWN)
        self._write(self.codec.encode_refusal(refusal, self.state))

    async def _open_session(self, message: OpenSession) -> None:
        if self.database:
            self.refuse_and_close(bad_request("open"))
            return
        deadline_ns = clock_ns() + OPEN_TIMEOUT_MS * NS_PER_MS
        while not self.router.node.ready:
            if not await self.router.wait_change(deadline_ns):
                self.refuse_and_close(no_configuration(OPEN_TIMEOUT_MS))
                return
        while not self._is_plan_recent_for(message.database):
            if not await self.router.wait_change(deadline_ns):
                name = self._name_for_log(message.database)
                refusal = view_outdated(name, step=Step.ROUTE)
                self._log_denial(name, refusal)
                self.refuse_and_close(refusal)
                return
        if self.router.route(message.database) is None:
            name = self._name_for_log(message.database)
            refusal = unknown_database(name)
            self._log_denial(name, refusal)
            self.refuse_and_close(refusal)
            return
        self._key_digest = digest_key(message.label)
        if not self._check_key(message.database):
            self._record_unknown_key(message.database)
            self.refuse_and_close(unknown_key(message.database))
            return
        self.database = message.database
        self._write(self.codec.encode_ready(SessionState.IDLE))

    # --- keys of teams ---

    def recheck_key(self) -> bool:
        """Apply a plan that was put in force since the last statement.

        Ends the transaction of an idle session whose key was removed or
        belongs to another team now.  A statement that is running is not
        sent to a target any more.

        :return: whether a transaction was ended
        """
        if not self.database:
            return False
        if self.is_busy:
            team, _, has_access = self._look_key_up(self.database)
            is_same = _team_name(team) == self.runner.team
            self.runner.is_revoked = not (has_access and is_same)
            return False
        if self._transaction is None:
            return False
        self._check_access()
        return self._was_revoked

    def _look_key_up(self, database: str) -> tuple[Team | None, bool, bool]:
        """Look the session's key up in the plan in force.

        :return: the team that holds the key, whether a key is required,
            and whether the key, or its absence, gives access
        """
        routes: RouteTable = self.router.node.state.routes
        team = routes.find_team(self._key_digest)
        route = routes.databases.get(database)
        if route is None and self._transaction is not None:
            route = self._transaction.route
        # Without a route the statement is refused as such.
        requires_key = route is not None and routes.requires_key(route)
        return team, requires_key, team is not None or not requires_key

    def _check_key(self, database: str) -> bool:
        """Check the session's key if the plan has changed.

        Sets the team for which the session's statements run.

        :return: whether the key, or its absence, gives access
        """
        version = self.router.node.state.routes.version
        if self._checked_version == version:
            return self._has_access
        team, requires_key, self._has_access = self._look_key_up(database)
        self._checked_version = version
        self.runner.team = _team_name(team)
        self.runner.weight = team_weight(team)
        self.runner.requires_key = requires_key
        self.runner.is_revoked = False
        return self._has_access

    def _check_access(self) -> Refusal | None:
        """Check the session's key before a statement.

        A transaction whose key was removed, or belongs to another team
        than at its beginning, is ended.

        :return: why the statement is refused, or None
        """
        has_access = self._check_key(self.database)
        transaction = self._transaction
        if transaction is None:
            if has_access or self.state is not SessionState.IDLE:
                return None
            return key_revoked(self.database, Step.AUTHORIZE)
        if not has_access or transaction.team != self.runner.team:
            log_event(
                "transaction-revoked",
                f"database={self.database} target={transaction.target or '-'}"
                f" team={transaction.team or '-'}"
                f" new_team={self.runner.team or '-'} access={has_access}"
                f" version={self._checked_version}",
            )
            self._fail_transaction(_DONE)
            self._was_revoked = True
        return None

    async def _wait_for_plan(self) -> bool:
        """Wait until the plan is known to be recent enough.

        :return: whether the key may be relied on
        """
        until_ns = clock_ns() + PLAN_WAIT_MS * NS_PER_MS
        while not self.runner.may_run():
            if self.runner.is_revoked:
                return False
            if not await self.router.wait_change(until_ns):
                return False
        return True

    def _record_unknown_key(self, database: str) -> None:
        peer = (
            self._transport.get_extra_info("peername")
            if self._transport is not None
            else None
        )
        self.router.unknown_keys.record(
            database, peer[0] if peer else "-", clock_ns()
        )

    async def _run_statement(self, statement: Statement) -> None:
        if not self.database:
            self.refuse_and_close(bad_request("open"))
            return
        began_ns = clock_ns()
        self.runner.clear()
        in_transaction = self._transaction is not None
        result = await self._dispatch(statement)
        spent_ns = clock_ns() - began_ns
        self._settle_token()
        self._record_statement(
            statement, result, spent_ns, in_transaction=in_transaction
        )
        if isinstance(result, Refusal):
            self._log_refusal(statement, result, spent_ns)
            self._write(self.codec.encode_refusal(result, self.state))
        else:
            self._write(self.codec.encode_answer(result, self.state))

    def _settle_token(self) -> None:
        """Give the operation's token back if nothing of it has run.

        A transaction that was begun for the caller only keeps it until
        its first statement.
        """
        if self._token is NO_TOKEN:
            return
        if not self.runner.has_run:
            if self._transaction is not None:
                return
            self.router.rate_limits.give_back(self._token)
        self._token = NO_TOKEN

    def _record_statement(
        self,
        statement: Statement,
        result: Answer | Refusal,
        spent_ns: int,
        *,
        in_transaction: bool,
    ) -> None:
        label = result.reason if isinstance(result, Refusal) else "done"
        self.router.statement_stats.record(self.database, label, spent_ns)
        route = self.router.route(self.database)
        if route is None:
            return
        times = self.runner.stages
        self.router.stage_stats.record(
            route, times, in_transaction=in_transaction
        )
        log_slow_statement(statement.request_id, route, times, spent_ns)

    def _log_refusal(
        self, statement: Statement, refusal: Refusal, spent_ns: int
    ) -> None:
        route = self.router.route(self.database)
        group_description = (
            f" {self.router.describe_group(route.group)}"
            f" {self.runner.describe_points(route.group)}"
            if route is not None
            else ""
        )
        # A caller that goes on with a removed key, or over its limit,
        # must not use up the lines of other refusals.
        log_event(
            _REFUSAL_EVENTS.get(refusal.reason, "refused"),
            f"id={statement.request_id} database={self.database}"
            f" kind={statement.kind} reason={refusal.reason}"
            f" step={refusal.step} peer={refusal.peer}"
            f" outcome={refusal.outcome} spent_ms={spent_ns // NS_PER_MS}"
            f" retry_after_ms={refusal.retry_after_ms}"
            f"{group_description}{self._describe_team()}",
        )

    def _refuse_revoked(self, statement: Statement) -> Refusal | None:
        """Refuse a statement if the session's key gives no access.

        The first statement after a transaction was ended for its key is
        answered like one within the transaction.
        """
        refusal = self._check_access()
        if not self._was_revoked:
            return refusal
        self._was_revoked = False
        if statement.kind is StatementKind.ROLLBACK:
            return None
        if statement.kind is StatementKind.COMMIT:
            self.state = SessionState.IDLE
            return key_revoked(self.database, Step.COMMIT)
        return key_revoked(self.database, Step.EXECUTE)

    def _describe_team(self) -> str:
        return f" team={self.runner.team}" if self.runner.team else ""

    async def _dispatch(self, statement: Statement) -> Answer | Refusal:
        refusal = self._refuse_revoked(statement)
        if refusal is None:
            refusal = self._refuse_while_stopping(statement)
        if refusal is not None:
            return refusal
        was_open = self._transaction is not None
        result = await self._execute(statement)
        if not isinstance(result, Refusal) or not self.runner.is_revoked:
            return result
        # A retry, which other refusals suggest, would not succeed.
        if result.outcome is not Outcome.NOT_RUN or not result.retry_after_ms:
            return result
        step = result.step if was_open else Step.AUTHORIZE
        return key_revoked(self.database, step)

    async def _execute(self, statement: Statement) -> Answer | Refusal:
        match statement.kind:
            case StatementKind.ROLLBACK:
                return await self._roll_back()
            case StatementKind.COMMIT:
                return await self._commit(statement)
            case _ if self.state is SessionState.FAILED:
                return bad_request("transaction-failed")
            case StatementKind.BEGIN | StatementKind.BEGIN_READ:
                return await self._begin(statement)
            case StatementKind.READ | StatementKind.WRITE:
                return await self._read_or_write(statement)
            case StatementKind.EXECUTE:
                if statement.name not in self.runner.variables.shapes:
                    return self._fail_transaction(
                        unknown_prepared(statement.name)
                    )
                return await self._read_or_write(statement)
            case _:
                return self._update_variables(statement)

    def _update_variables(self, statement: Statement) -> Answer | Refusal:
        variables = self.runner.variables
        match statement.kind:
            case StatementKind.SET:
                variables.values[statement.name] = statement.argument
            case StatementKind.PREPARE if statement.shape is not None:
                variables.shapes[statement.name] = statement.shape
            case StatementKind.FORGET:
                if variables.shapes.pop(statement.name, None) is None:
                    return self._fail_transaction(
                        unknown_prepared(statement.name)
                    )
            case _:
                return self._fail_transaction(bad_request("statement"))
        return _DONE

    async def _begin(self, statement: Statement) -> Answer | Refusal:
        if self._transaction is not None:
            return self._fail_transaction(bad_request("nested"))
        route = self._route()
        if isinstance(route, Refusal):
            return route
        refusal = await self._admit_operation()
        if refusal is not None:
            return refusal
        self._transaction = Transaction(
            is_read_only=statement.kind is StatementKind.BEGIN_READ,
            route=route,
            team=self.runner.team,
        )
        self.state = SessionState.TRANSACTION
        return _DONE

    async def _read_or_write(self, statement: Statement) -> Answer | Refusal:
        if self._transaction is not None:
            result = (
                await self.runner.run_in_transaction(
                    self._transaction, statement
                )
                if await self._wait_for_plan()
                else transaction_ended(self._transaction)
            )
            return (
                self._fail_transaction(result)
                if _is_refusal(result)
                else result
            )
        route = self._route()
        if isinstance(route, Refusal):
            return route
        refusal = await self._admit_operation()
        if refusal is not None:
            return refusal
        if writes(statement, self.runner.variables):
            return await self.runner.write(route, statement)
        return await self.runner.read(route, statement)

    async def _admit_operation(self) -> Refusal | None:
        while True:
            # Each wait may have put a new plan in force.
            if not await self._wait_for_plan() and not self.runner.is_revoked:
                return view_outdated(self.database)
            refusal = self._check_access()
            if refusal is not None:
                return refusal
            team = self.runner.team
            asked_ns = clock_ns()
            token = await self.router.admit_operation(team)
            self.runner.stages.add(Stage.LIMIT, asked_ns)
            if isinstance(token, Refusal):
                return token
            self._token, self.runner.has_run = token, False
            refusal = self._check_access()
            if refusal is not None:
                return refusal
            if self.runner.team == team:
                may_run = self.runner.may_run()
                return None if may_run else view_outdated(self.database)

    async def _commit(self, statement: Statement) -> Answer | Refusal:
        transaction = self._transaction
        if transaction is None:
            failed = self.state is SessionState.FAILED
            self.state = SessionState.IDLE
            return (
                lost_transaction() if failed else bad_request("no-transaction")
            )
        if await self._wait_for_plan():
            result = await self.runner.commit(transaction, statement)
        else:
            self.runner.abandon(transaction)
            result = transaction_ended(transaction)
        self._transaction = None
        self.state = SessionState.IDLE
        return result

    async def _roll_back(self) -> Answer | Refusal:
        transaction = self._transaction
        if transaction is None and self.state is not SessionState.FAILED:
            return bad_request("no-transaction")
        self._transaction = None
        self.state = SessionState.IDLE
        if transaction is not None:
            await self.runner.roll_back(transaction)
        return _DONE

    def _fail_transaction(self, result: Answer | Refusal) -> Answer | Refusal:
        if self._transaction is not None:
            self.runner.abandon(self._transaction)
            self._transaction = None
            self.state = SessionState.FAILED
        return result

    def _route(self) -> Route | Refusal:
        """Find the route of a new operation, or refuse it."""
        if not self._is_plan_recent_for(self.database):
            return view_outdated(self.database, step=Step.ROUTE)
        return self.router.route(self.database) or unknown_database(
            self.database
        )

    def _is_plan_recent_for(self, database: str) -> bool:
        """Tell whether the plan in force decides about a database.

        No newer plan that may be in force elsewhere would add it, or
        have dropped it.
        """
        if self.router.node.is_view_behind(clock_ns()):
            return False
        has_route = self.router.route(database) is not None
        return has_route or self.router.may_deny()

    def _name_for_log(self, word: str) -> str:
        # The first word may be a key by mistake.
        routes = self.router.node.state.routes
        return "" if routes.authenticate(word) is not None else word

    def _log_denial(self, database: str, refusal: Refusal) -> None:
        node = self.router.node
        log_event(
            "session-refused",
            f"database={database or '-'} reason={refusal.reason}"
            f" index={node.state.index} version={node.state.routes.version}"
            f" view_age_ms={node.view_age_ms(clock_ns())}",
        )

    # --- idle transactions ---

    def _start_idle_timer(self) -> None:
        idle_ms = self.router.node.state.routes.limits.transaction_idle_ms
        if self._transaction is None or not idle_ms:
            return
        loop = asyncio.get_running_loop()
        self._idle_timer = loop.call_later(
            idle_ms / 1_000, self.end_transaction
        )

    def _stop_idle_timer(self) -> None:
        if self._idle_timer is not None:
            self._idle_timer.cancel()
            self._idle_timer = None

    def _write(self, data: bytes) -> None:
        if self._transport is not None:
            self._transport.write(data)


def _is_refusal(result: Answer | Refusal) -> bool:
    return isinstance(result, Refusal)


def _team_name(team: Team | None) -> str:
    return team.name if team is not None else ""
