"""One stand-in instance: its log, its database and its role."""

from __future__ import annotations

import asyncio
import sqlite3
import uuid
from typing import TYPE_CHECKING, Final

import attrs

if TYPE_CHECKING:
    from collections.abc import Sequence
    from pathlib import Path

__all__ = ("InstanceFaults", "LogRecord", "StandInInstance")

PRIMARY: Final = "primary"
REPLICA: Final = "replica"
KEYS_TABLE: Final = (
    "CREATE TABLE IF NOT EXISTS rosemarysaddle_keys ("
    "request_key VARCHAR(200) PRIMARY KEY, digest VARCHAR(64) NOT NULL,"
    " result TEXT, expires_at_ms BIGINT NOT NULL)"
)


@attrs.frozen(kw_only=True)
class LogRecord:
    """One committed transaction.

    :param position: 1 for the first record, without gaps
    :param committed_at_s: time of the commit at the primary, seconds of
        the monotonic clock
    """

    term: int
    position: int
    statements: tuple[str, ...]
    committed_at_s: float


@attrs.define(kw_only=True)
class InstanceFaults:
    """Faults injected into an instance.

    :param lag_ms: delay of replication
    :param slow_ms: additional running time of each statement
    :param late_ms: delay of each answer
    """

    lag_ms: float = 0.0
    slow_ms: float = 0.0
    late_ms: float = 0.0
    crashed: bool = False


@attrs.define(kw_only=True, eq=False)
class StandInInstance:
    """Database of one instance with its log.

    :param folder: folder of the database file
    :param schema: statements that create the tables
    :param connections: maximum number of open connections
    :param slots: number of statements that run at once
    :param following: name of the primary to replicate from, or empty
    :param discarded: records that were truncated from the log
    :param generation: number of the database file; a rebuild starts a
        new one
    :param epoch: increases when open transactions become invalid
    :param changed: event that is set at the next change of the log or
        of the role
    """

    name: str
    group: str
    data_center: str
    ip: str
    port: int
    folder: Path
    schema: Sequence[str]
    connections: int = 30
    slots: int = 5
    faults: InstanceFaults = attrs.field(factory=InstanceFaults)
    role: str = REPLICA
    term: int = 0
    following: str = ""
    log: list[LogRecord] = attrs.field(factory=list)
    discarded: list[LogRecord] = attrs.field(factory=list)
    leaving: bool = False
    identity: str = attrs.field(factory=lambda: str(uuid.uuid4()))
    generation: int = 0
    epoch: int = 0
    write_lock: asyncio.Lock = attrs.field(factory=asyncio.Lock)
    changed: asyncio.Event = attrs.field(factory=asyncio.Event)
    slot_pool: asyncio.Semaphore = attrs.field(init=False)
    reader: sqlite3.Connection = attrs.field(init=False)
    writer: sqlite3.Connection = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Create the database."""
        self.slot_pool = asyncio.Semaphore(self.slots)
        self._create_database()

    @property
    def position(self) -> int:
        """Position of the last record."""
        return len(self.log)

    @property
    def log_term(self) -> int:
        """Term of the last record."""
        return self.log[-1].term if self.log else 0

    def append(self, statements: Sequence[str], now_s: float) -> LogRecord:
        """Add a committed transaction to the log.

        :param now_s: time of the commit, in monotonic seconds
        """
        record = LogRecord(
            term=self.term,
            position=self.position + 1,
            statements=tuple(statements),
            committed_at_s=now_s,
        )
        self._append_record(record)
        return record

    def apply(self, record: LogRecord) -> None:
        """Apply a record that was received from the primary."""
        self.writer.execute("BEGIN IMMEDIATE")
        for statement in record.statements:
            self.writer.execute(statement)
        self.writer.execute("COMMIT")
        self.term = max(self.term, record.term)
        self._append_record(record)

    def promote(self, term: int, now_s: float, *, start: int) -> bool:
        """Become the primary of a term.

        :param now_s: current time, in monotonic seconds
        :param start: position that the log must have reached
        :return: whether the instance is the primary of the term
        """
        if self.position < start:
            return False
        if term < self.term or (term == self.term and self.role != PRIMARY):
            return False
        if term == self.term:
            return True
        self.role = PRIMARY
        self.term = term
        self.following = ""
        self.append((), now_s)
        return True

    def follow(self, primary: str, term: int) -> bool:
        """Replicate from a primary.

        :return: whether the order was accepted; an outdated one is not
        """
        if term < self.term and self.role == REPLICA:
            return False
        if term == self.term and self.role == PRIMARY:
            return False
        if self.role == PRIMARY:
            self._demote()
        self.following = primary
        return True

    def truncate_log(self, position: int) -> None:
        """Drop the records after a position; rebuild the database."""
        kept = self.log[:position]
        self.discarded.extend(self.log[position:])
        self.log = []
        self.close()
        self.generation += 1
        self.epoch += 1
        self._create_database()
        for record in kept:
            self.apply(record)

    def notify_changed(self) -> None:
        """Wake all tasks that wait for a change."""
        self.changed.set()
        self.changed = asyncio.Event()

    def _append_record(self, record: LogRecord) -> None:
        self.log.append(record)
        self.notify_changed()

    def _demote(self) -> None:
        """Become a replica.

        An open transaction can no longer commit and is rolled back.
        """
        self.role = REPLICA
        self.epoch += 1
        if self.writer.in_transaction:
            self.writer.execute("ROLLBACK")

    def lose_disk(self) -> None:
        """Reset to an empty replica with a new identity."""
        self.truncate_log(0)
        self.discarded.clear()
        self.identity = str(uuid.uuid4())
        self.role = REPLICA
        self.term = 0
        self.following = ""

    def close(self) -> None:
        """Close the database."""
        self.reader.close()
        self.writer.close()

    def _create_database(self) -> None:
        self.writer = self._connect()
        self.writer.execute("PRAGMA journal_mode=WAL")
        for statement in (*self.schema, KEYS_TABLE):
            self.writer.execute(statement)
        self.reader = self._connect()

    def _connect(self) -> sqlite3.Connection:
        path = self.folder / f"{self.name}-{self.generation}.sqlite"
        connection = sqlite3.connect(
            path, isolation_level=None, check_same_thread=False
        )
        connection.execute("PRAGMA synchronous=OFF")
        return connection
