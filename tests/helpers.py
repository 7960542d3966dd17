"""Fakes and builders that several tests share."""

from __future__ import annotations

import itertools
import socket
from typing import TYPE_CHECKING, Any

import attrs

from rosemarysaddle.decide import (
    ClusterState,
    ControlNode,
    LogNode,
    LogPoint,
    SaveEntries,
    SaveSnapshot,
    SaveVote,
    StoredLog,
)
from rosemarysaddle.target import (
    FaultKind,
    InstanceStatus,
    StatementResult,
    TargetFault,
)

if TYPE_CHECKING:
    from collections.abc import Sequence

    from rosemarysaddle.decide import Effect
    from rosemarysaddle.link import Address
    from rosemarysaddle.schema import LogEntry

LOCK_PORT = 17_000


def _lock_network() -> tuple[str, socket.socket]:
    """Find a loopback network that no other test run uses.

    :return: network, and the socket that reserves it for this process
    """
    for number in range(16, 56):
        lock = socket.socket()
        try:
            lock.bind((f"127.{number}.0.1", LOCK_PORT))
        except OSError:
            lock.close()
        else:
            return f"127.{number}", lock
    message = "all loopback networks from 127.16 to 127.55 are in use"
    raise RuntimeError(message)


TEST_NETWORK, _NETWORK_LOCK = _lock_network()
NS_PER_MS = 1_000_000
VOTERS = ("a", "b", "c")


@attrs.define(kw_only=True)
class FakeDisk:
    """In-memory storage of a control host."""

    stored: StoredLog = attrs.field(factory=StoredLog)

    def save(self, effects: Sequence[Effect]) -> None:
        """Store the effects that must be durable."""
        for effect in effects:
            match effect:
                case SaveVote():
                    self.stored = attrs.evolve(
                        self.stored,
                        term=effect.term,
                        voted_for=effect.voted_for,
                    )
                case SaveEntries():
                    self._save_entries(effect.entries)
                case SaveSnapshot():
                    self._save_snapshot(effect)
                case _:
                    pass

    def _save_entries(self, entries: Sequence[LogEntry]) -> None:
        base = self.stored.snapshot_index
        kept = self.stored.entries[: entries[0].index - base - 1]
        self.stored = attrs.evolve(self.stored, entries=(*kept, *entries))

    def _save_snapshot(self, snapshot: SaveSnapshot) -> None:
        covered = snapshot.index - self.stored.snapshot_index
        entries = self.stored.entries
        # As on a real disk, a tail is kept only behind the entry that
        # the snapshot ends with.
        is_held = (
            0 < covered <= len(entries)
            and entries[covered - 1].term == snapshot.term
        )
        later = entries[covered:] if is_held else ()
        self.stored = attrs.evolve(
            self.stored,
            snapshot_index=snapshot.index,
            snapshot_term=snapshot.term,
            snapshot_state=snapshot.state,
            snapshot_voters=snapshot.voters,
            entries=later,
        )


def make_log(
    host: str,
    *,
    voters: tuple[str, ...] = VOTERS,
    stored: StoredLog | None = None,
    now_ns: int = 0,
) -> LogNode:
    """Build a voter whose election jitter differs from the others'."""
    return LogNode(
        host=host,
        voters=voters,
        stored=stored or StoredLog(),
        jitter_ms=itertools.cycle([40 * (1 + sorted(voters).index(host)), 0]),
        started_ns=now_ns,
    )


def make_leader(now_ns: int = 0) -> ControlNode:
    """Build a control host that is the only voter, and elect it."""
    node = ControlNode(
        log=make_log("a", voters=("a",), now_ns=now_ns),
        state=ClusterState(),
        data_center="dc-1",
    )
    node.tick(now_ns + 2_000 * NS_PER_MS)
    return node


@attrs.define(kw_only=True)
class FakeTarget:
    """In-memory target that can be made to fail at a step.

    :param faults: kind of fault by step: connect, read, execute,
        commit, status
    :param keys: digest and result of each stored idempotency key
    :param stored: statements that were committed, in order
    :param opened: number of connections opened
    :param closed: number of connections closed
    """

    name: str
    role: str = "primary"
    term: int = 1
    position: int = 5
    faults: dict[str, FaultKind] = attrs.field(factory=dict)
    keys: dict[str, tuple[str, str | None]] = attrs.field(factory=dict)
    stored: list[str] = attrs.field(factory=list)
    opened: int = 0
    closed: int = 0

    def connect(
        self, name: str, address: Address, *, deadline_ns: int
    ) -> FakeSession | TargetFault:
        """Open a connection."""
        del name, address, deadline_ns
        fault = self.fault("connect")
        if fault is not None:
            return fault
        self.opened += 1
        return FakeSession(target=self)

    def fault(self, step: str) -> TargetFault | None:
        """Return the fault configured for a step, if any."""
        kind = self.faults.get(step)
        if kind is None:
            return None
        return TargetFault(kind=kind, peer=self.name, step=step)


@attrs.define(kw_only=True, eq=False)
class FakeSession:
    """Connection to a fake target."""

    target: FakeTarget
    pending: list[str] = attrs.field(factory=list)
    new_keys: dict[str, tuple[str, str | None]] = attrs.field(factory=dict)

    def set_deadline(self, deadline_ns: int) -> None:
        """Set the deadline of the calls that follow."""

    def read(
        self, sql: str, args: Sequence[Any]
    ) -> StatementResult | TargetFault:
        """Run one statement outside a transaction."""
        del args
        fault = self.target.fault("read")
        if fault is not None:
            return fault
        return _rows([sql])

    def execute(
        self, sql: str, args: Sequence[Any]
    ) -> StatementResult | TargetFault:
        """Run one statement in the transaction."""
        fault = self.target.fault("execute")
        if fault is not None:
            return fault
        if "rosemarysaddle_keys" in sql:
            return self._use_key(sql, args)
        self.pending.append(sql)
        return StatementResult(columns=(), rows=(), affected_rows=1)

    def commit(self) -> TargetFault | None:
        """Commit the transaction."""
        fault = self.target.fault("commit")
        if (
            fault is None
            or self.target.faults["commit"] in COMMITTED_DESPITE_FAULT
        ):
            self.target.stored.extend(self.pending)
            self.target.keys.update(self.new_keys)
            self.target.position += 1
        self._discard_pending()
        return fault

    def rollback(self) -> TargetFault | None:
        """Roll back the transaction."""
        self._discard_pending()
        return None

    def status(
        self, *, after: int, wait_ms: int
    ) -> InstanceStatus | TargetFault:
        """Read role, term and position."""
        del after, wait_ms
        fault = self.target.fault("status")
        if fault is not None:
            return fault
        point = LogPoint(term=self.target.term, position=self.target.position)
        return InstanceStatus(role=self.target.role, point=point)

    def promote(self, term: int, *, start: int) -> TargetFault | None:
        """Order the instance to become primary."""
        del start
        self.target.role = "primary"
        self.target.term = term
        return None

    def follow(
        self, *, primary: str, term: int, start: int
    ) -> TargetFault | None:
        """Order the instance to replicate."""
        del primary, term, start
        self.target.role = "replica"
        return None

    def interrupt(self) -> None:
        """Interrupt the running call."""

    def close(self) -> None:
        """Close the connection."""
        self._discard_pending()
        self.target.closed += 1

    def _discard_pending(self) -> None:
        self.pending.clear()
        self.new_keys.clear()

    def _use_key(
        self, sql: str, args: Sequence[Any]
    ) -> StatementResult | TargetFault:
        if sql.startswith("INSERT"):
            if args[0] in self.target.keys:
                return TargetFault(
                    kind=FaultKind.DUPLICATE, peer="t", step="execute"
                )
            self.new_keys[args[0]] = (args[1], None)
        if sql.startswith("UPDATE"):
            digest, _ = self.new_keys[args[1]]
            self.new_keys[args[1]] = (digest, args[0])
        if sql.startswith("SELECT"):
            return _rows(list(self.target.keys[args[0]]))
        return StatementResult(columns=(), rows=(), affected_rows=1)


COMMITTED_DESPITE_FAULT = (FaultKind.LOST, FaultKind.TIMEOUT)


def _rows(row: list[Any]) -> StatementResult:
    return StatementResult(columns=("a",), rows=(row,), affected_rows=0)
