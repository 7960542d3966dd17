"""MySQL server of one stand-in instance."""

from __future__ import annotations

import asyncio
import contextlib
import functools
import sqlite3
import time
from typing import TYPE_CHECKING, Any, Final

import attrs
from mysql_mimic import MysqlServer
from mysql_mimic.auth import (
    IdentityProvider,
    NativePasswordAuthPlugin,
    User,
)
from mysql_mimic.control import LocalControl, TooManyConnections
from mysql_mimic.errors import MysqlError
from mysql_mimic.session import BaseSession
from mysql_mimic.types import ServerStatus
from mysql_mimic.variables import GlobalVariables, SessionVariables
from pymysql.constants import ER

from rosemarysaddle.standin._instance import PRIMARY
from rosemarysaddle.standin._sql import (
    StatementKind,
    classify_statement,
    parse_call,
)

if TYPE_CHECKING:
    from collections.abc import Sequence

    from mysql_mimic.auth import AuthPlugin
    from mysql_mimic.connection import Connection

    from rosemarysaddle.link import NetworkConditions
    from rosemarysaddle.standin._instance import StandInInstance

__all__ = ("StandInServer",)

CUT_POLL_INTERVAL_S: Final = 0.02
LOCK_WAIT_TIMEOUT_S: Final = 5.0
# A target drops a connection whose remote end is unreachable by then.
SILENT_TIMEOUT_S: Final = 3.0
_READ_ONLY: Final = ER.OPTION_PREVENTS_STATEMENT

Rows = tuple[list[tuple[Any, ...]], list[str]]


@attrs.define(kw_only=True, eq=False)
class StandInServer:
    """Serves one instance over the MySQL protocol.

    :param connect_ms: time that a new connection takes, in milliseconds
    """

    instance: StandInInstance
    network_conditions: NetworkConditions
    user: str
    password: str
    connect_ms: float = 0.0
    sessions: set[_Session] = attrs.field(factory=set, init=False)
    _server: MysqlServer | None = attrs.field(default=None, init=False)
    _loop: asyncio.AbstractEventLoop | None = attrs.field(
        default=None, init=False
    )

    async def start(self) -> None:
        """Start listening."""
        self._loop = asyncio.get_running_loop()
        self._server = _Listener(
            server=self,
            session_factory=self._create_session,
            control=_ConnectionLimiter(self.instance),
            identity_provider=_SingleUserProvider(self.user, self.password),
        )
        await self._server.start_server(
            host=self.instance.ip, port=self.instance.port, backlog=256
        )

    async def stop(self) -> None:
        """Stop listening and abort every connection."""
        if self._server is None:
            return
        self._server.close()
        for session in list(self.sessions):
            session.abort()
        self._server = None

    async def crash(self) -> None:
        """Stop at once, as in a crash."""
        self.instance.faults.crashed = True
        await self.stop()

    async def restart(self) -> None:
        """Start again after a crash, with the data kept."""
        self.instance.faults.crashed = False
        await self.start()

    def freeze_connections(self) -> None:
        """Stop answering on all open connections; new ones work.

        The target drops them after ``SILENT_TIMEOUT_S``, which their
        clients do not learn.
        """
        frozen = list(self.sessions)
        for session in frozen:
            session.frozen = True
        loop = self._loop
        if loop is not None:
            loop.call_soon_threadsafe(
                loop.call_later, SILENT_TIMEOUT_S, _drop, frozen
            )

    async def simulate_connect(self, peer_ip: str) -> None:
        """Wait as long as a new connection takes.

        During a partition the wait lasts until the partition ends.

        :param peer_ip: IP address of the client
        """
        delay_s = self.network_conditions.delay_s(peer_ip, self.instance.ip)
        await asyncio.sleep(self.connect_ms / 1_000 + 2 * delay_s)
        while self.network_conditions.is_partitioned(  # noqa: ASYNC110
            peer_ip, self.instance.ip
        ):
            await asyncio.sleep(CUT_POLL_INTERVAL_S)

    async def _create_session(self) -> _Session:
        session = _Session(self)
        self.sessions.add(session)
        return session


def _drop(sessions: Sequence[_Session]) -> None:
    for session in sessions:
        session.drop()


class _Listener(MysqlServer):
    def __init__(self, *, server: StandInServer, **kwargs: Any) -> None:
        super().__init__(**kwargs)
        self._stand_in = server

    async def _client_connected_cb(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            await self._stand_in.simulate_connect(
                writer.get_extra_info("peername")[0]
            )
            await super()._client_connected_cb(reader, writer)
        except (asyncio.CancelledError, OSError):
            writer.close()


class _SingleUserProvider(IdentityProvider):
    def __init__(self, user: str, password: str) -> None:
        self._user = user
        self._auth = NativePasswordAuthPlugin.create_auth_string(password)

    def get_plugins(self) -> Sequence[AuthPlugin]:
        return [NativePasswordAuthPlugin()]

    async def get_user(self, username: str) -> User | None:
        if username != self._user:
            return None
        return User(
            name=username,
            auth_string=self._auth,
            auth_plugin=NativePasswordAuthPlugin.name,
        )


class _ConnectionLimiter(LocalControl):
    def __init__(self, instance: StandInInstance) -> None:
        super().__init__(server_id=1)
        self._instance = instance

    async def add(self, connection: Connection) -> int:
        held = [c for c in self._connections.values() if _is_held(c)]
        if len(held) >= self._instance.connections:
            raise TooManyConnections
        connection_id: int = await super().add(connection)
        return connection_id


def _is_held(connection: Connection) -> bool:
    session = connection.session
    return not (isinstance(session, _Session) and session.is_dropped)


class _Session(BaseSession):
    """One connection to a stand-in."""

    def __init__(self, server: StandInServer) -> None:
        self.variables = SessionVariables(GlobalVariables())
        self.username = None
        self.database = None
        self.frozen = False
        self.is_dropped = False
        self._server = server
        self._instance = server.instance
        self._epoch = server.instance.epoch
        self._autocommit = True
        self._statements: list[str] = []
        self._holds_lock = False
        self._connection: Connection | None = None
        self._peer_ip = ""

    async def init(self, connection: Connection) -> None:
        """Initialize the session of an authenticated client."""
        self._connection = connection
        writer = connection.stream.writer
        self._peer_ip = writer.get_extra_info("peername")[0]
        # Tells the client that a backslash is an ordinary character, as
        # it is in SQLite.
        connection.status_flags |= (
            ServerStatus.SERVER_STATUS_NO_BACKSLASH_ESCAPES
        )

    async def close(self) -> None:
        """Roll back an open transaction when the client disconnects."""
        self._server.sessions.discard(self)
        self._rollback()

    def abort(self) -> None:
        """Abort the connection without a closing handshake."""
        if self._connection is not None:
            self._connection.stream.writer.transport.abort()

    def drop(self) -> None:
        """Roll back; the client is not told."""
        self.is_dropped = True
        self._rollback()

    async def handle_query(self, sql: str, attrs: dict[str, str]) -> Any:
        """Run one statement with the simulated delays and faults."""
        del attrs
        await self._simulate_transit(self._peer_ip, self._instance.ip)
        result = await self._run_statement(sql)
        if self._instance.faults.late_ms:
            await asyncio.sleep(self._instance.faults.late_ms / 1_000)
        await self._simulate_transit(self._instance.ip, self._peer_ip)
        return result

    async def _simulate_transit(self, source_ip: str, target_ip: str) -> None:
        network_conditions = self._server.network_conditions
        delay_s = network_conditions.delay_s(source_ip, target_ip)
        if delay_s:
            await asyncio.sleep(delay_s)
        while self._is_unreachable(source_ip, target_ip):  # noqa: ASYNC110
            await asyncio.sleep(CUT_POLL_INTERVAL_S)

    def _is_unreachable(self, source_ip: str, target_ip: str) -> bool:
        return self.frozen or self._server.network_conditions.is_partitioned(
            source_ip, target_ip
        )

    async def _run_statement(self, sql: str) -> Any:
        kind = classify_statement(sql)
        match kind:
            case StatementKind.READ | StatementKind.WRITE:
                return await self._run_in_slot(sql, kind)
            case StatementKind.AUTOCOMMIT_ON | StatementKind.AUTOCOMMIT_OFF:
                self._commit()
                self._autocommit = kind is StatementKind.AUTOCOMMIT_ON
            case StatementKind.COMMIT:
                self._commit()
            case StatementKind.ROLLBACK:
                self._rollback()
            case StatementKind.CALL:
                return await self._call_procedure(sql)
            case StatementKind.SET | StatementKind.BEGIN:
                pass
            case StatementKind.OTHER:
                raise MysqlError("unsupported statement", ER.PARSE_ERROR)
        return None

    async def _run_in_slot(self, sql: str, kind: StatementKind) -> Any:
        async with self._instance.slot_pool:
            if self._instance.faults.slow_ms:
                await asyncio.sleep(self._instance.faults.slow_ms / 1_000)
            if kind is StatementKind.READ:
                return self._read(sql)
        return await self._write(sql)

    def _read(self, sql: str) -> Rows:
        cursor = self._execute(sql)
        names = [d[0] for d in cursor.description or ()]
        return cursor.fetchall(), names

    async def _write(self, sql: str) -> None:
        self._require_primary()
        await self._acquire_lock()
        self._require_primary()
        cursor = self._execute(sql)
        self._statements.append(sql)
        self._set_affected_rows(max(0, cursor.rowcount))
        if self._autocommit:
            self._commit()

    async def _acquire_lock(self) -> None:
        if self._holds_lock:
            return
        try:
            await asyncio.wait_for(
                self._instance.write_lock.acquire(), LOCK_WAIT_TIMEOUT_S
            )
        except TimeoutError as error:
            raise MysqlError(
                "lock wait timeout exceeded", ER.LOCK_WAIT_TIMEOUT
            ) from error
        if self.is_dropped or self._instance.role != PRIMARY:
            self._instance.write_lock.release()
            raise MysqlError("instance is no longer the primary", _READ_ONLY)
        self._holds_lock = True
        self._epoch = self._instance.epoch
        self._instance.writer.execute("BEGIN IMMEDIATE")

    def _execute(self, sql: str) -> sqlite3.Cursor:
        if self._holds_lock and self._is_stale():
            raise MysqlError("instance is no longer the primary", _READ_ONLY)
        instance = self._instance
        database = instance.writer if self._holds_lock else instance.reader
        try:
            return database.execute(sql)
        except sqlite3.IntegrityError as error:
            raise MysqlError(str(error), ER.DUP_ENTRY) from error
        except sqlite3.Error as error:
            raise MysqlError(str(error), ER.PARSE_ERROR) from error

    def _commit(self) -> None:
        if not self._holds_lock:
            return
        if self._is_stale():
            self._rollback()
            raise MysqlError("instance is no longer the primary", _READ_ONLY)
        self._instance.writer.execute("COMMIT")
        self._instance.append(self._statements, time.monotonic())
        self._release_lock()

    def _rollback(self) -> None:
        if not self._holds_lock:
            return
        same = self._epoch == self._instance.epoch
        if same and self._instance.writer.in_transaction:
            self._instance.writer.execute("ROLLBACK")
        self._release_lock()

    def _release_lock(self) -> None:
        self._statements = []
        self._holds_lock = False
        self._instance.write_lock.release()

    def _is_stale(self) -> bool:
        stale = self._epoch != self._instance.epoch
        return stale or self._instance.role != PRIMARY

    def _require_primary(self) -> None:
        if self._instance.role != PRIMARY:
            raise MysqlError("running with --read-only", _READ_ONLY)

    def _set_affected_rows(self, affected_rows: int) -> None:
        connection = self._connection
        if connection is None:
            return
        # The count goes into the next OK packet only.
        original_ok = type(connection).ok

        def ok(**kwargs: Any) -> bytes:
            connection.ok = functools.partial(original_ok, connection)
            packet: bytes = original_ok(
                connection, affected_rows=affected_rows, **kwargs
            )
            return packet

        connection.ok = ok

    async def _call_procedure(self, sql: str) -> Any:
        call = parse_call(sql)
        if call is None:
            raise MysqlError("no such procedure", ER.PARSE_ERROR)
        if call.name == "instance_status":
            return await self._read_status(*map(int, call.args))
        if call.name == "instance_promote":
            term, start = map(int, call.args)
            now_s = time.monotonic()
            done = self._instance.promote(term, now_s, start=start)
        elif call.name == "instance_follow":
            done = self._instance.follow(call.args[0], int(call.args[1]))
        else:
            raise MysqlError("no such procedure", ER.PARSE_ERROR)
        self._instance.notify_changed()
        if not done:
            raise MysqlError(
                "order conflicts with the term or position", _READ_ONLY
            )
        return None

    async def _read_status(self, after: int, wait_ms: int) -> Rows:
        instance = self._instance
        if wait_ms and instance.position == after:
            changed = instance.changed
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(changed.wait(), wait_ms / 1_000)
        row = (
            instance.role,
            instance.log_term,
            instance.position,
            instance.identity,
        )
        return [row], ["role", "term", "position", "identity"]
