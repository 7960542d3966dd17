"""Stand-in targets of one group: a log, a primary and its replicas.

The newest term is that of the last promotion that took effect.  An old
primary keeps its role until it is told to give it up, or until it has
reached the newest primary for DEMOTION_DELAY_S.  Replicas receive
commits from a primary that they reach, and apply them later.
"""

from __future__ import annotations

import asyncio
import collections
import time
from typing import TYPE_CHECKING, Final

import attrs

from rosemarysaddle.soak._departures import Departure, Work

if TYPE_CHECKING:
    from collections.abc import Mapping

__all__ = (
    "PROMOTION_DELAY_S",
    "Entry",
    "Promotion",
    "ReadRun",
    "TargetGroup",
    "TargetInstance",
    "holds_position",
)

APPLY_DELAY_S: Final = 0.1
PROMOTION_DELAY_S: Final = 0.3
# An old primary keeps its role for 1 s once it can reach the new one.
DEMOTION_DELAY_S: Final = 1.0
FOLLOW_INTERVAL_S: Final = 0.02


@attrs.frozen(kw_only=True)
class Entry:
    """One committed write.

    :param term: term of the primary that committed it
    :param position: number of the entry in the log of that term
    :param target: name of that primary
    :param sender: name of the host that sent it
    :param at_s: monotonic time of the commit
    """

    request_id: str
    key: str
    value: int
    term: int = attrs.field(default=0, eq=False)
    position: int = attrs.field(default=0, eq=False)
    target: str = attrs.field(default="", eq=False)
    sender: str = attrs.field(default="", eq=False)
    at_s: float = attrs.field(default=0.0, eq=False)


@attrs.frozen(kw_only=True)
class Promotion:
    """A promotion that took effect.

    :param at_s: monotonic time
    :param starts: length of the new primary's log at the start of each
        term, this one included
    :param length: length of its log
    """

    at_s: float
    target: str
    term: int
    starts: Mapping[int, int]
    length: int


@attrs.frozen(kw_only=True)
class ReadRun:
    """A read that ran at a target.

    :param at_s: monotonic time
    :param starts: length of the target's log at the start of each term
    :param applied: number of log entries that the read saw
    :param value: value that was returned
    """

    at_s: float
    request_id: str
    target: str
    starts: Mapping[int, int]
    applied: int
    value: int


def holds_position(
    starts: Mapping[int, int], length: int, term: int, position: int
) -> bool:
    """Return whether a log holds a position.

    :param starts: length of the log at the start of each term
    """
    if not position:
        return True
    if term not in starts:
        return False
    ends = [start for other, start in starts.items() if other > term]
    return starts[term] <= position <= min([*ends, length])


@attrs.define(kw_only=True, eq=False)
class TargetInstance:
    """One stand-in target.

    :param role: how it sees itself
    :param term: newest term that it knows
    :param log: entries received, in order
    :param starts: length of the log at the start of each term
    :param applied: number of log entries that reads see
    :param hold: term until which it receives nothing, or 0
    :param is_dark: whether no other instance can reach it
    :param is_deaf: whether it receives no commits
    :param receive_delay_s: time until it has received a commit
    :param answer_delay_s: time until it handles a statement
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
    starts: dict[int, int] = attrs.field(factory=lambda: {1: 0})
    applied: int = 0
    hold: int = 0
    is_up: bool = True
    is_dark: bool = False
    is_deaf: bool = False
    receive_delay_s: float = 0.0
    answer_delay_s: float = 0.0
    incarnation_ms: int = 1
    departure: Departure | None = None
    _transports: set[asyncio.Transport] = attrs.field(factory=set, init=False)
    _server: asyncio.Server | None = attrs.field(default=None, init=False)
    # Number of this primary's entries that each replica has received,
    # and commits that wait for replicas.
    _received: dict[str, int] = attrs.field(factory=dict, init=False)
    _unconfirmed: list[tuple[int, asyncio.Future[bool]]] = attrs.field(
        factory=list, init=False
    )
    # Primary that is in reach, its term, and since when.
    _reached: tuple[tuple[str, int], float] = attrs.field(
        default=(("", 0), 0.0), init=False
    )

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
        self._drop_unconfirmed()
        if self._server is not None:
            self._server.close()
        for transport in list(self._transports):
            transport.abort()

    def lose_log(self) -> None:
        """Forget all that was received, as if the disk were new."""
        self.log, self.starts, self.term = [], {1: 0}, 1
        self.applied = 0

    def demote(self) -> None:
        """Become a replica; what waits for replicas is not answered."""
        self.role = "replica"
        self._drop_unconfirmed()

    def lead(self, term: int) -> None:
        """Become the primary of a term, with the log as it is."""
        self.role, self.term, self.hold = "primary", term, 0
        self.applied = len(self.log)
        self.starts = {**self.starts, term: len(self.log)}
        self._received.clear()

    def reaches(self, other: TargetInstance) -> bool:
        """Return whether the two can exchange messages."""
        return not (self.is_dark or other.is_dark) and (
            self.is_up and other.is_up
        )

    def has_reached(self, newest: TargetInstance, now_s: float) -> bool:
        """Return whether it has reached a primary for the delay."""
        key = (newest.name, newest.term)
        if not self.reaches(newest) or self._reached[0] != key:
            self._reached = (key, now_s)
        return now_s >= self._reached[1] + DEMOTION_DELAY_S

    def confirm_commit(
        self, count: int, replicas: int
    ) -> asyncio.Future[bool]:
        """Wait until replicas have received the log up to a count.

        :return: a future that tells whether they have
        """
        future: asyncio.Future[bool] = (
            asyncio.get_running_loop().create_future()
        )
        self._unconfirmed.append((count, future))
        self._resolve(replicas)
        return future

    def record_received(self, name: str, count: int, replicas: int) -> None:
        """Record how much of this primary's log a replica holds."""
        self._received[name] = count
        self._resolve(replicas)

    def _resolve(self, replicas: int) -> None:
        waiting = self._unconfirmed
        self._unconfirmed = []
        for count, future in waiting:
            held = sum(each >= count for each in self._received.values())
            if held < replicas:
                self._unconfirmed.append((count, future))
            elif not future.done():
                future.set_result(True)

    def _drop_unconfirmed(self) -> None:
        for _, future in self._unconfirmed:
            if not future.done():
                future.set_result(False)
        self._unconfirmed.clear()

    def add_transport(self, transport: asyncio.Transport) -> None:
        """Register an open connection."""
        self._transports.add(transport)

    def remove_transport(self, transport: asyncio.Transport) -> None:
        """Remove a connection that was closed."""
        self._transports.discard(transport)

    @property
    def connections(self) -> int:
        """Number of open connections."""
        return len(self._transports)

    def term_at(self, count: int) -> int:
        """Return the term of an entry of the log."""
        return self.log[count - 1].term if count else min(self.starts)

    def has_applied(self, term: int, position: int) -> bool:
        """Return whether reads see a position of a term."""
        return holds_position(self.starts, self.applied, term, position)

    def follows(self, source: TargetInstance) -> bool:
        """Return whether it holds what another does."""
        return (
            self.term == source.term
            and len(self.log) == len(source.log)
            and (not self.log or self.log[-1] is source.log[-1])
        )

    def copy_log(self, source: TargetInstance, count: int) -> None:
        """Take over the first entries of a primary's log."""
        common = min(len(self.log), len(source.log))
        # An entry follows the same entries in each log that has it.
        while common and self.log[common - 1] is not source.log[common - 1]:
            common -= 1
        self.applied = min(self.applied, common)
        self.log[common:] = source.log[common : max(common, count)]
        self.term, self.starts = source.term, source.starts

    def read(self, key: str) -> int:
        """Return the newest applied value of a key, or 0 for none."""
        seen = self.log[: self.applied]
        return next((e.value for e in reversed(seen) if e.key == key), 0)


@attrs.define(kw_only=True, eq=False)
class TargetGroup:
    """The instances of one group.

    :param sync_replicas: number of replicas that have received a commit
        when it is acknowledged
    :param promotion_delay_s: time from an order to its effect, or None
        for the usual one
    :param keeps_orders: whether an order whose target crashes takes
        effect when the target is back
    :param statements: monotonic time and request id of each statement
        of a caller that reached an instance
    :param reads: newest run of each read, by request id and instance
    :param committed: all entries that an instance has committed
    :param promotions: promotions that took effect
    :param work: new work that reached an instance
    :param departures: planned stops of instances
    """

    name: str
    instances: dict[str, TargetInstance]
    sync_replicas: int = 0
    promotion_delay_s: float | None = None
    keeps_orders: bool = False
    statements: list[tuple[float, str]] = attrs.field(factory=list)
    reads: dict[tuple[str, str], ReadRun] = attrs.field(factory=dict)
    committed: list[Entry] = attrs.field(factory=list)
    promotions: list[Promotion] = attrs.field(factory=list)
    work: list[Work] = attrs.field(factory=list)
    departures: list[Departure] = attrs.field(factory=list)
    _newest: TargetInstance | None = attrs.field(default=None, init=False)
    _kept_orders: set[str] = attrs.field(factory=set, init=False)

    async def restart(self, instance: TargetInstance) -> None:
        """Start a stopped instance again, with its log."""
        instance.is_up = True
        instance.incarnation_ms += 1
        instance.departure = None
        instance.hold = 0
        if instance is not self.current_primary:
            instance.demote()
        await instance.listen(self)
        if instance.name in self._kept_orders:
            self._kept_orders.discard(instance.name)
            if not self._leads(instance):
                self._give_lead(instance)

    def succeed(self, ended: TargetInstance) -> TargetInstance:
        """Put a new instance with its log in place of an ended one.

        :return: the new one, which is not started yet
        """
        name, _, generation = ended.name.partition("-")
        successor = TargetInstance(
            name=f"{name}-{int(generation or 0) + 1}",
            ip=ended.ip,
            port=ended.port,
            data_center=ended.data_center,
            term=ended.term,
            log=list(ended.log),
            starts=ended.starts,
            applied=ended.applied,
            is_up=False,
            receive_delay_s=ended.receive_delay_s,
            incarnation_ms=ended.incarnation_ms,
        )
        del self.instances[ended.name]
        self.instances[successor.name] = successor
        return successor

    async def run(self) -> None:
        """Let instances follow the newest primary."""
        while True:
            self._follow_newest(time.monotonic())
            await asyncio.sleep(FOLLOW_INTERVAL_S)

    @property
    def current_primary(self) -> TargetInstance:
        """Primary of the newest term."""
        if self._newest is None:
            self._newest = max(self.instances.values(), key=_is_primary)
        return self._newest

    def commit(
        self, instance: TargetInstance, entries: list[Entry]
    ) -> asyncio.Future[bool] | None:
        """Append writes to a primary's log and replicate them.

        :return: a future that tells whether enough replicas have
            received them, or None if none has to
        """
        now_s, length = time.monotonic(), len(instance.log)
        stored = [
            attrs.evolve(
                entry,
                term=instance.term,
                position=position,
                target=instance.name,
                at_s=now_s,
            )
            for position, entry in enumerate(entries, start=length + 1)
        ]
        instance.log.extend(stored)
        self.committed.extend(stored)
        instance.applied = len(instance.log)
        self._replicate(instance)
        if not self.sync_replicas:
            return None
        return instance.confirm_commit(len(instance.log), self.sync_replicas)

    def takes_order(self, name: str) -> bool:
        """Return whether an order for an instance is accepted."""
        return name in self.instances and self.instances[name].is_up

    async def promote(self, name: str) -> bool:
        """Make an instance the primary of the next term.

        :return: whether the instance is now the primary
        """
        return self.takes_order(name) and await self.carry_out(name)

    async def carry_out(self, name: str) -> bool:
        """Carry out an accepted order to promote an instance.

        :return: whether the instance is now the primary
        """
        chosen = self.instances[name]
        if not self._leads(chosen):
            delay_s = self.promotion_delay_s
            await asyncio.sleep(
                PROMOTION_DELAY_S if delay_s is None else delay_s
            )
        if self._leads(chosen):
            return True
        if chosen.is_up:
            self._give_lead(chosen)
        elif self.keeps_orders:
            self._kept_orders.add(name)
        return chosen.is_up

    def demote_others(self) -> None:
        """Demote all instances that reach the newest primary."""
        newest = self.current_primary
        for other in self.instances.values():
            if other is not newest and other.reaches(newest):
                other.demote()
                self._receive(other, newest, newest.term, len(newest.log))

    def _leads(self, instance: TargetInstance) -> bool:
        return instance is self.current_primary and _is_primary(instance)

    def _give_lead(self, chosen: TargetInstance) -> None:
        term = max(each.term for each in self.instances.values()) + 1
        chosen.lead(term)
        self._newest = chosen
        self.promotions.append(
            Promotion(
                at_s=time.monotonic(),
                target=chosen.name,
                term=term,
                starts=chosen.starts,
                length=len(chosen.log),
            )
        )
        for other in self.instances.values():
            other.hold = 0
        self._replicate(chosen)

    def _follow_newest(self, now_s: float) -> None:
        newest = self.current_primary
        if not _is_primary(newest):
            return
        for other in self.instances.values():
            if other is newest:
                continue
            has_reached = other.has_reached(newest, now_s)
            if _is_primary(other):
                if has_reached:
                    other.demote()
            elif not other.follows(newest):
                self._send_log(newest, other)

    def _replicate(self, source: TargetInstance) -> None:
        for other in self.instances.values():
            if other is not source and not _is_primary(other):
                self._send_log(source, other)

    def _send_log(self, source: TargetInstance, other: TargetInstance) -> None:
        if not source.reaches(other):
            return
        arguments = (other, source, source.term, len(source.log))
        if not other.receive_delay_s:
            self._receive(*arguments)
            return
        loop = asyncio.get_running_loop()
        loop.call_later(other.receive_delay_s, self._receive, *arguments)

    def _receive(
        self,
        other: TargetInstance,
        source: TargetInstance,
        term: int,
        count: int,
    ) -> None:
        is_source = _is_primary(source) and source.term == term
        is_replica = not _is_primary(other) and not (
            other.hold or other.is_deaf
        )
        if not (is_source and is_replica and source.reaches(other)):
            return
        if other.term > term:
            return
        other.copy_log(source, count)
        source.record_received(other.name, len(other.log), self.sync_replicas)
        loop = asyncio.get_running_loop()
        loop.call_later(APPLY_DELAY_S, _apply, other, term, len(other.log))


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
    _sender: str = ""
    _transaction_state: str = "I"
    _is_read_only: bool = False
    _term: int = 0
    _writes: list[Entry] = attrs.field(factory=list)
    # Whether a statement of the open transaction has arrived.
    _has_statement: bool = False
    # A commit that replicas have yet to receive.
    _unconfirmed: asyncio.Future[bool] | None = None
    # Lines that arrived while an earlier one is not answered.
    _lines: collections.deque[bytes] = attrs.field(factory=collections.deque)
    _is_busy: bool = False

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
        self._lines.extend(lines)
        self._handle_lines()

    def _handle_lines(self) -> None:
        delay_s = self.instance.answer_delay_s
        while self._lines and not self._is_busy:
            line = self._lines.popleft().decode()
            if delay_s:
                self._is_busy = True
                loop = asyncio.get_running_loop()
                loop.call_later(delay_s, self._handle_late, line)
            else:
                self._handle_line(line)

    def _handle_late(self, line: str) -> None:
        self._is_busy = False
        if self.instance.is_up:
            self._handle_line(line)
            self._handle_lines()

    def _handle_line(self, line: str) -> None:
        verb, _, rest = line.partition(" ")
        if verb == "START":
            self._sender = rest.split(" ")[1]
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
        answer = self._run(request_id, text)
        if self._unconfirmed is None:
            self._send(answer)
            return
        self._is_busy = True
        self._unconfirmed.add_done_callback(
            lambda confirmed: self._finish(
                answer, is_confirmed=confirmed.result()
            )
        )

    def _finish(self, answer: str, *, is_confirmed: bool) -> None:
        self._unconfirmed, self._is_busy = None, False
        if is_confirmed:
            self._send(answer)
            self._handle_lines()
        elif self._transport is not None:
            self._transport.abort()

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
            case "HOLD" | "DEMOTE" | "RESUME":
                self._apply_order(verb, arguments)
                return f"ROW {self._format_status()}\r\nDONE -\r\n"
            case "BEGIN":
                return self._begin(is_read_only=bool(arguments))
            case "ROLLBACK":
                self._transaction_state, self._writes = "I", []
                return self._format_done(request_id)
            case "COMMIT":
                return self._commit(request_id)
            case "READ":
                return self._read(request_id, arguments[0])
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

    def _apply_order(self, verb: str, arguments: list[str]) -> None:
        target = self.instance
        term = int(arguments[0]) if arguments else 0
        if verb == "DEMOTE" and _is_primary(target) and term > target.term:
            target.demote()
        elif verb == "HOLD" and not _is_primary(target):
            target.hold = term if term > target.term else target.hold
        elif verb == "RESUME":
            target.hold = 0

    def _read(self, request_id: str, key: str) -> str:
        target = self.instance
        value = target.read(key)
        self.group.reads[request_id, target.name] = ReadRun(
            at_s=time.monotonic(),
            request_id=request_id,
            target=target.name,
            starts=target.starts,
            applied=target.applied,
            value=value,
        )
        return f"ROW {value}\r\n{self._format_done(request_id)}"

    def _write(self, request_id: str, arguments: list[str]) -> str:
        entry = Entry(
            request_id=request_id,
            key=arguments[0],
            value=int(arguments[1]),
            sender=self._sender,
        )
        if self._transaction_state == "T":
            if self._is_demoted():
                return self._refuse()
            self._writes.append(entry)
            return self._format_done(request_id)
        if not _is_primary(self.instance):
            return self._refuse()
        self._unconfirmed = self.group.commit(self.instance, [entry])
        return self._format_done(request_id)

    def _commit(self, request_id: str) -> str:
        writes, self._writes = self._writes, []
        self._transaction_state = "I"
        if writes and self._is_demoted():
            return f"ERROR READONLY {self.instance.name}\r\n"
        if writes:
            self._unconfirmed = self.group.commit(self.instance, writes)
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
        count = len(target.log)
        return (
            f"{target.role} {target.term} {target.term_at(count)}.{count}"
            f" {target.hold} 0 0 {target.connections}"
        )

    def _send(self, text: str) -> None:
        target = self.instance
        ready = (
            f"READY {self._transaction_state}"
            f" {target.term_at(target.applied)}.{target.applied}\r\n"
        )
        if self._transport is not None and not target.is_dark:
            self._transport.write((text + ready).encode())
