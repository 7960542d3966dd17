"""Stand-in targets of one group: a log, a primary and its replicas.

A commit is acknowledged once every running replica has received it;
replicas apply it later.  A promoted replica starts from the log it has
received.  An old primary keeps its role for DEMOTION_DELAY_S, as the
platform's documentation says.
"""

from __future__ import annotations

import asyncio
import time
from typing import Final

import attrs

from rosemarysaddle.soak._departures import Departure, Work

__all__ = ("Entry", "TargetGroup", "TargetInstance")

APPLY_DELAY_S: Final = 0.1
PROMOTION_DELAY_S: Final = 0.3
# An old primary keeps its role for 1 s once it can reach the new one.
DEMOTION_DELAY_S: Final = 1.0


@attrs.frozen(kw_only=True)
class Entry:
    """One committed write."""

    request_id: str
    key: str
    value: int


@attrs.define(kw_only=True, eq=False)
class TargetInstance:
    """One stand-in target.

    :param log: entries received, in order
    :param applied: number of log entries that reads see
    :param incarnation_ms: increases with each restart
    :param departure: planned stop that it has announced, or None
    """

    name: str
    ip: str
    port: int
    data_center: str
    role: str = "replica"
    term: int = 1
    log: list[Entry] = attrs.field(factory=list)
    applied: int = 0
    is_up: bool = True
    incarnation_ms: int = 1
    departure: Departure | None = None
    _transports: set[asyncio.Transport] = attrs.field(factory=set, init=False)
    _server: asyncio.Server | None = attrs.field(default=None, init=False)

    async def listen(self, group: TargetGroup) -> None:
        """Start accepting connections."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: _Connection(group=group, instance=self),
            self.ip,
            self.port,
            reuse_address=True,
        )

    def crash(self) -> None:
        """Stop at once and abort all connections; the log is kept."""
        self.is_up = False
        if self._server is not None:
            self._server.close()
        for transport in list(self._transports):
            transport.abort()

    def add_transport(self, transport: asyncio.Transport) -> None:
        """Register an open connection."""
        self._transports.add(transport)

    def remove_transport(self, transport: asyncio.Transport) -> None:
        """Remove a connection that was closed."""
        self._transports.discard(transport)

    def has_applied(self, term: int, position: int) -> bool:
        """Return whether reads see a position of a term."""
        if self.term > term:
            # Entries of the older term beyond this log were discarded.
            return self.applied >= min(position, len(self.log))
        return self.term == term and self.applied >= position

    def read(self, key: str) -> int:
        """Return the newest applied value of a key, or 0 for none."""
        seen = self.log[: self.applied]
        return next((e.value for e in reversed(seen) if e.key == key), 0)


@attrs.define(kw_only=True, eq=False)
class TargetGroup:
    """The instances of one group.

    :param statements: monotonic time and request id of each statement
        of a caller that reached an instance
    :param work: new work that reached an instance
    :param departures: planned stops of instances
    """

    name: str
    instances: dict[str, TargetInstance]
    statements: list[tuple[float, str]] = attrs.field(factory=list)
    work: list[Work] = attrs.field(factory=list)
    departures: list[Departure] = attrs.field(factory=list)
    _promoting: bool = attrs.field(default=False, init=False)

    async def restart(self, instance: TargetInstance) -> None:
        """Start a stopped instance again, with its log."""
        instance.is_up = True
        instance.incarnation_ms += 1
        instance.departure = None
        await instance.listen(self)
        self.demote_others()

    @property
    def current_primary(self) -> TargetInstance:
        """Primary of the newest term."""
        primaries = [i for i in self.instances.values() if _is_primary(i)]
        return max(primaries, key=lambda i: i.term)

    def commit(self, instance: TargetInstance, entries: list[Entry]) -> None:
        """Append writes to a primary's log and replicate them.

        Writes of an old primary are not replicated.
        """
        instance.log.extend(entries)
        instance.applied = len(instance.log)
        if instance is self.current_primary:
            self._replicate()

    async def promote(self, name: str) -> bool:
        """Make an instance the primary of the next term.

        :return: whether the instance is now the primary
        """
        chosen = self.instances.get(name)
        if chosen is None or not chosen.is_up or self._promoting:
            return False
        if chosen is self.current_primary:
            return True
        self._promoting = True
        try:
            await asyncio.sleep(PROMOTION_DELAY_S)
        finally:
            self._promoting = False
        if not chosen.is_up:
            return False
        chosen.term = self.current_primary.term + 1
        chosen.role = "primary"
        chosen.applied = len(chosen.log)
        self._replicate()
        loop = asyncio.get_running_loop()
        loop.call_later(DEMOTION_DELAY_S, self.demote_others)
        return True

    def demote_others(self) -> None:
        """Make all other running instances replicas of the primary."""
        current_primary = self.current_primary
        for other in self.instances.values():
            if other is not current_primary and other.is_up:
                other.role = "replica"
                self._follow(other, current_primary)

    def _replicate(self) -> None:
        current_primary = self.current_primary
        for other in self.instances.values():
            if other.is_up and other.role == "replica":
                self._follow(other, current_primary)

    def _follow(
        self, other: TargetInstance, current_primary: TargetInstance
    ) -> None:
        other.term = current_primary.term
        other.log[:] = current_primary.log
        other.applied = min(other.applied, len(other.log))
        count = len(other.log)
        loop = asyncio.get_running_loop()
        loop.call_later(
            APPLY_DELAY_S, _apply, other, current_primary.term, count
        )


def _is_primary(instance: TargetInstance) -> bool:
    return instance.role == "primary"


def _apply(instance: TargetInstance, term: int, count: int) -> None:
    if instance.term == term and len(instance.log) >= count:
        instance.applied = max(instance.applied, count)


@attrs.define(kw_only=True, eq=False)
class _Connection(asyncio.Protocol):
    group: TargetGroup
    instance: TargetInstance
    _transport: asyncio.Transport | None = None
    _buffer: bytes = b""
    _transaction_state: str = "I"
    _is_read_only: bool = False
    _term: int = 0
    _writes: list[Entry] = attrs.field(factory=list)
    # Whether a statement of the open transaction has arrived.
    _has_statement: bool = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)  # noqa: S101
        self._transport = transport
        self.instance.add_transport(transport)

    def connection_lost(self, exc: Exception | None) -> None:
        del exc
        if self._transport is not None:
            self.instance.remove_transport(self._transport)

    def data_received(self, data: bytes) -> None:
        *lines, self._buffer = (self._buffer + data).split(b"\r\n")
        for line in lines:
            self._handle_line(line.decode())

    def _handle_line(self, line: str) -> None:
        verb, _, rest = line.partition(" ")
        if verb == "START":
            self._send("")
            return
        request_id, _, text = rest.partition(" ")
        if request_id != "-":
            self._record_statement(request_id)
        if text.startswith("AFTER "):
            _, point, text = text.split(" ", 2)
            term, _, position = point.partition(".")
            if not self.instance.has_applied(int(term), int(position)):
                self._send(f"ERROR BEHIND {self.instance.name}\r\n")
                return
        self._send(self._run(request_id, text))

    def _record_statement(self, request_id: str) -> None:
        now_s = time.monotonic()
        self.group.statements.append((now_s, request_id))
        in_transaction = self._transaction_state == "T"
        if not (in_transaction and self._has_statement):
            work = Work(
                at_s=now_s, target=self.instance.name, request_id=request_id
            )
            self.group.work.append(work)
        self._has_statement = in_transaction

    def _run(self, request_id: str, text: str) -> str:
        verb, *arguments = text.split(" ")
        match verb:
            case "STATUS":
                return f"ROW {self._format_status()}\r\nDONE -\r\n"
            case "BEGIN":
                return self._begin(is_read_only=bool(arguments))
            case "ROLLBACK":
                self._transaction_state, self._writes = "I", []
                return self._format_done(request_id)
            case "COMMIT":
                return self._commit(request_id)
            case "READ":
                value = self.instance.read(arguments[0])
                return f"ROW {value}\r\n{self._format_done(request_id)}"
            case "WRITE":
                return self._write(request_id, arguments)
            case _:
                return self._format_done(request_id)

    def _begin(self, *, is_read_only: bool) -> str:
        if not is_read_only and not _is_primary(self.instance):
            return self._refuse()
        self._transaction_state, self._is_read_only = "T", is_read_only
        self._has_statement = False
        self._term = self.instance.term
        return self._format_done("-")

    def _write(self, request_id: str, arguments: list[str]) -> str:
        entry = Entry(
            request_id=request_id, key=arguments[0], value=int(arguments[1])
        )
        if self._transaction_state == "T":
            if self._is_demoted():
                return self._refuse()
            self._writes.append(entry)
            return self._format_done(request_id)
        if not _is_primary(self.instance):
            return self._refuse()
        self.group.commit(self.instance, [entry])
        return self._format_done(request_id)

    def _commit(self, request_id: str) -> str:
        writes, self._writes = self._writes, []
        self._transaction_state = "I"
        if writes and self._is_demoted():
            return f"ERROR READONLY {self.instance.name}\r\n"
        if writes:
            self.group.commit(self.instance, writes)
        return self._format_done(request_id)

    def _is_demoted(self) -> bool:
        demoted = not _is_primary(self.instance)
        return not self._is_read_only and (
            demoted or self.instance.term != self._term
        )

    def _refuse(self) -> str:
        self._transaction_state = (
            "E" if self._transaction_state == "T" else self._transaction_state
        )
        return f"ERROR READONLY {self.instance.name}\r\n"

    def _format_done(self, request_id: str) -> str:
        return f"DONE {self.instance.name}.{request_id}\r\n"

    def _format_status(self) -> str:
        target = self.instance
        received = f"{target.term}.{len(target.log)}"
        return f"{target.role} {target.term} {received} {target.term} 0 0 1"

    def _send(self, text: str) -> None:
        target = self.instance
        ready = (
            f"READY {self._transaction_state}"
            f" {target.term}.{target.applied}\r\n"
        )
        if self._transport is not None:
            self._transport.write((text + ready).encode())
