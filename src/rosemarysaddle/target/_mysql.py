"""Targets that speak the MySQL protocol."""

from __future__ import annotations

import contextlib
import socket
from typing import TYPE_CHECKING, Any, Final

import attrs
import pymysql
from pymysql.connections import Connection
from pymysql.constants import CR, ER

from rosemarysaddle._clock import NS_PER_S, clock_ns
from rosemarysaddle.decide import LogPoint
from rosemarysaddle.target._protocol import (
    FaultKind,
    InstanceStatus,
    StatementResult,
    TargetFault,
    TargetSession,
)

if TYPE_CHECKING:
    from collections.abc import Sequence

    from rosemarysaddle.link import Address

__all__ = ("MySqlConnector", "MySqlSession")

# pymysql rejects time-outs that are not positive.
MIN_TIMEOUT_S: Final = 0.001
_KIND_BY_ERROR_CODE: Final = {
    ER.OPTION_PREVENTS_STATEMENT: FaultKind.READ_ONLY,
    ER.DUP_ENTRY: FaultKind.DUPLICATE,
    ER.CON_COUNT_ERROR: FaultKind.FULL,
}
_CONNECTION_LOST_CODES: Final = {
    CR.CR_SERVER_GONE_ERROR,
    CR.CR_SERVER_LOST,
    CR.CR_CONN_HOST_ERROR,
    CR.CR_COMMANDS_OUT_OF_SYNC,
    # pymysql raises InterfaceError(0) if the connection is closed.
    0,
}


class _Connection(Connection):
    """Connection whose time-outs can change between statements."""

    if TYPE_CHECKING:
        _sock: socket.socket | None

        def _force_close(self) -> None: ...

    def set_timeout(self, timeout_s: float) -> None:
        """Set the time-out of each following read and write.

        :param timeout_s: time-out in seconds
        """
        self._read_timeout = timeout_s
        self._write_timeout = timeout_s

    def interrupt(self) -> None:
        """Shut the socket down to wake a thread that waits on it."""
        sock = self._sock
        if sock is not None:
            with contextlib.suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)

    def abort(self) -> None:
        """Close the socket without sending a quit command."""
        self._force_close()


@attrs.frozen(kw_only=True)
class MySqlConnector:
    """Opens connections over the MySQL protocol.

    :param source_ip: local address of the connections, or empty
    """

    user: str
    password: str
    source_ip: str = ""

    def connect(
        self, name: str, address: Address, *, deadline_ns: int
    ) -> TargetSession | TargetFault:
        """Open a connection.

        :param name: name of the instance
        :param deadline_ns: monotonic time until which to try, in
            nanoseconds
        """
        timeout_s = _remaining_s(deadline_ns)
        try:
            connection = _Connection(
                host=address.ip,
                port=address.port,
                user=self.user,
                password=self.password,
                bind_address=self.source_ip or None,
                connect_timeout=timeout_s,
                read_timeout=timeout_s,
                write_timeout=timeout_s,
                autocommit=None,
                ssl_disabled=True,
            )
        except (pymysql.MySQLError, OSError) as error:
            return _connect_fault(error, name)
        return MySqlSession(name=name, connection=connection)


@attrs.define(kw_only=True)
class MySqlSession:
    """One connection over the MySQL protocol."""

    name: str
    connection: _Connection
    _autocommit: bool = attrs.field(default=True, init=False)

    def set_deadline(self, deadline_ns: int) -> None:
        """Set the deadline of the following statements.

        :param deadline_ns: monotonic time, in nanoseconds
        """
        self.connection.set_timeout(_remaining_s(deadline_ns))

    def read(
        self, sql: str, args: Sequence[Any]
    ) -> StatementResult | TargetFault:
        """Run one statement outside a transaction."""
        return self._run(sql, args, autocommit=True)

    def execute(
        self, sql: str, args: Sequence[Any]
    ) -> StatementResult | TargetFault:
        """Run one statement in a transaction; begin one if needed."""
        return self._run(sql, args, autocommit=False)

    def commit(self) -> TargetFault | None:
        """Commit the transaction."""
        return self._run_command("COMMIT")

    def rollback(self) -> TargetFault | None:
        """Roll the transaction back."""
        return self._run_command("ROLLBACK")

    def status(
        self, *, after: int, wait_ms: int
    ) -> InstanceStatus | TargetFault:
        """Query role, term and log position.

        :param after: known position; the instance may delay its answer
            until it has a newer one
        :param wait_ms: longest delay, in milliseconds
        """
        result = self._query("CALL instance_status(%s, %s)", (after, wait_ms))
        if isinstance(result, TargetFault):
            return result
        role, term, position, identity = result.rows[0]
        point = LogPoint(term=int(term), position=int(position))
        return InstanceStatus(
            role=str(role), point=point, identity=str(identity)
        )

    def promote(self, term: int, *, start: int) -> TargetFault | None:
        """Promote the instance to primary of a term.

        :param start: log position that the instance must have reached
        """
        return self._run_command(
            "CALL instance_promote(%s, %s)", (term, start)
        )

    def follow(
        self, *, primary: str, term: int, start: int
    ) -> TargetFault | None:
        """Make the instance replicate from a primary.

        :param primary: name of the primary
        :param start: log position at which the term began
        """
        sql = "CALL instance_follow(%s, %s, %s)"
        return self._run_command(sql, (primary, term, start))

    def interrupt(self) -> None:
        """Interrupt the running statement; called by another thread."""
        self.connection.interrupt()

    def close(self) -> None:
        """Close the connection without waiting for the target."""
        self.connection.abort()

    def _run(
        self, sql: str, args: Sequence[Any], *, autocommit: bool
    ) -> StatementResult | TargetFault:
        if self._autocommit is not autocommit:
            fault = self._run_command(f"SET autocommit = {int(autocommit)}")
            if fault is not None:
                return fault
            self._autocommit = autocommit
        return self._query(sql, args)

    def _run_command(
        self, sql: str, args: Sequence[Any] = ()
    ) -> TargetFault | None:
        result = self._query(sql, args)
        return result if isinstance(result, TargetFault) else None

    def _query(
        self, sql: str, args: Sequence[Any]
    ) -> StatementResult | TargetFault:
        try:
            cursor = self.connection.cursor()
            cursor.execute(sql, tuple(args) or None)
            columns = tuple(d[0] for d in cursor.description or ())
            return StatementResult(
                columns=columns,
                rows=tuple(cursor.fetchall()),
                affected_rows=0 if columns else max(0, cursor.rowcount),
            )
        except (pymysql.MySQLError, OSError) as error:
            return _fault(error, self.name, sql)
        except (TypeError, ValueError) as error:
            return TargetFault(
                kind=FaultKind.STATEMENT,
                peer=self.name,
                step="format",
                detail=str(error),
            )


def _fault(error: Exception, name: str, sql: str) -> TargetFault:
    code = error.args[0] if error.args else 0
    kind = _KIND_BY_ERROR_CODE.get(code, FaultKind.STATEMENT)
    if isinstance(error, OSError) or code in _CONNECTION_LOST_CODES:
        kind = FaultKind.TIMEOUT if _timed_out(error) else FaultKind.LOST
    step = sql.split(maxsplit=1)[0].lower()
    return TargetFault(kind=kind, peer=name, step=step, detail=str(error))


def _connect_fault(error: Exception, name: str) -> TargetFault:
    kind = FaultKind.TIMEOUT
    code = error.args[0] if error.args else 0
    cause = getattr(error, "original_exception", None)
    if isinstance(cause, ConnectionError):
        kind = FaultKind.REFUSED
    elif code in _KIND_BY_ERROR_CODE:
        kind = _KIND_BY_ERROR_CODE[code]
    elif code == CR.CR_SERVER_LOST and not _timed_out(error):
        kind = FaultKind.REFUSED
    return TargetFault(kind=kind, peer=name, step="connect", detail=str(error))


def _timed_out(error: Exception) -> bool:
    return "timed out" in str(error)


def _remaining_s(deadline_ns: int) -> float:
    left_s = (deadline_ns - clock_ns()) / NS_PER_S
    return max(MIN_TIMEOUT_S, left_s)
