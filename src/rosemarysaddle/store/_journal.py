"""Journal of votes, log entries and snapshots in one file.

A record consists of a magic number, the length, a checksum and a JSON
body.  Every write is synced to disk before it returns.  An incomplete
record at the end is truncated when the journal is opened; a damaged
record before a valid one stops the host.

The content in memory changes only once a write is synced.  After a
failed write the journal must be recovered before it is used again:
what that write left in the file is dropped first.
"""

from __future__ import annotations

import json
import os
import struct
import zlib
from typing import TYPE_CHECKING, Any, Final

import attrs

from rosemarysaddle.decide import (
    SaveEntries,
    SaveSnapshot,
    SaveVote,
    StoredLog,
)
from rosemarysaddle.schema import LogEntry

if TYPE_CHECKING:
    from collections.abc import Sequence
    from pathlib import Path

__all__ = ("CorruptJournal", "Journal")

JOURNAL_FILE_NAME: Final = "control.journal"
_MAGIC: Final = b"RSJ1"
_HEADER: Final = struct.Struct(">4sII")
_MAX_RECORD_BYTES: Final = 256 * 1024 * 1024
# A disk with room for less would take a vote, but not the entries that
# a leader sends.
RECOVERY_ROOM_BYTES: Final = 256 * 1024


class CorruptJournal(Exception):  # noqa: N818 - states the condition
    """A synced record is damaged, so the host must not vote."""


@attrs.define(kw_only=True)
class _JournalState:
    """Content of the journal, updated with each record."""

    term: int = 0
    voted_for: str = ""
    snapshot_index: int = 0
    snapshot_term: int = 0
    snapshot_state: str = ""
    snapshot_voters: str = ""
    entries: list[LogEntry] = attrs.field(factory=list)

    def replay(self, record: dict[str, Any]) -> None:
        """Apply one record."""
        if "vote" in record:
            self.term, self.voted_for = record["vote"]
        elif "snapshot" in record:
            self.set_snapshot(*record["snapshot"])
        else:
            self._replace_entries(record["entries"])

    def set_snapshot(
        self, index: int, term: int, state: str, voters: str = ""
    ) -> None:
        """Replace the snapshot and drop the entries it covers.

        Later entries are kept only if the log contains the last entry
        that the snapshot covers.
        """
        covered = index - self.snapshot_index
        has_covered_entry = (
            0 < covered <= len(self.entries)
            and self.entries[covered - 1].term == term
        )
        self.entries = self.entries[covered:] if has_covered_entry else []
        self.snapshot_index = index
        self.snapshot_term = term
        self.snapshot_state = state
        self.snapshot_voters = voters

    def to_stored_log(self) -> StoredLog:
        """Copy the content for the consensus log."""
        return StoredLog(
            term=self.term,
            voted_for=self.voted_for,
            snapshot_index=self.snapshot_index,
            snapshot_term=self.snapshot_term,
            snapshot_state=self.snapshot_state,
            snapshot_voters=self.snapshot_voters,
            entries=tuple(self.entries),
        )

    def _replace_entries(self, rows: list[list[Any]]) -> None:
        first = rows[0][0] - self.snapshot_index - 1
        del self.entries[first:]
        self.entries.extend(
            LogEntry(index=i, term=t, kind=k, payload=p) for i, t, k, p in rows
        )


@attrs.define(kw_only=True)
class Journal:
    """The journal file of one control host.

    :param folder: data folder of the host
    """

    folder: Path
    _descriptor: int = attrs.field(default=-1, init=False)
    _synced_bytes: int = attrs.field(default=0, init=False)
    _state: _JournalState = attrs.field(factory=_JournalState, init=False)

    def open(self) -> StoredLog:
        """Read the journal, truncate a torn tail and open for writing.

        :return: content of the journal
        :raises CorruptJournal: if a synced record is damaged
        """
        self.folder.mkdir(parents=True, exist_ok=True)
        path = self.folder / JOURNAL_FILE_NAME
        data = path.read_bytes() if path.exists() else b""
        records, valid_bytes = _read_records(data, str(path))
        for record in records:
            self._state.replay(record)
        # A rewrite that was cut short leaves a file that takes space.
        path.with_suffix(".new").unlink(missing_ok=True)
        flags = os.O_RDWR | os.O_CREAT
        self._descriptor = os.open(path, flags, 0o600)
        self._synced_bytes = valid_bytes
        self._drop_unsynced()
        _sync_folder(self.folder)
        return self._state.to_stored_log()

    def recover(self) -> StoredLog:
        """Drop what a failed write left, and check that writes succeed.

        :return: content of the journal, all of which is synced
        :raises OSError: if the disk still fails; the call may be
            repeated
        """
        self._drop_unsynced()
        _write_all(self._descriptor, bytes(RECOVERY_ROOM_BYTES))
        os.fdatasync(self._descriptor)
        self._drop_unsynced()
        # A rewrite may have failed after it had replaced the file.
        _sync_folder(self.folder)
        return self._state.to_stored_log()

    def _drop_unsynced(self) -> None:
        os.ftruncate(self._descriptor, self._synced_bytes)
        os.lseek(self._descriptor, self._synced_bytes, os.SEEK_SET)
        os.fsync(self._descriptor)

    @staticmethod
    def write_file(path: Path, text: str) -> None:
        """Replace a small file atomically and sync it to disk."""
        os.close(_replace_file(path, text.encode()))
        _sync_folder(path.parent)

    def save(self, effect: SaveVote | SaveEntries | SaveSnapshot) -> None:
        """Store the vote, entries or snapshot of an effect."""
        match effect:
            case SaveVote():
                self.save_vote(effect.term, effect.voted_for)
            case SaveEntries():
                self.save_entries(effect.entries)
            case SaveSnapshot():
                self.save_snapshot(
                    effect.index, effect.term, effect.state, effect.voters
                )

    def save_vote(self, term: int, voted_for: str) -> None:
        """Store the current term and the vote cast in it."""
        self._append({"vote": [term, voted_for]})

    def save_entries(self, entries: Sequence[LogEntry]) -> None:
        """Store entries in place of those from their first index on."""
        rows = [[e.index, e.term, e.kind, e.payload] for e in entries]
        self._append({"entries": rows})

    def save_snapshot(
        self, index: int, term: int, state: str, voters: str = ""
    ) -> None:
        """Store a snapshot and drop the entries it covers.

        :param index: last index that the snapshot covers
        :param term: term of that entry
        :param voters: names of the voters at that index
        """
        new_state = attrs.evolve(self._state, entries=self._state.entries)
        new_state.set_snapshot(index, term, state, voters)
        self._rewrite(new_state)

    def close(self) -> None:
        """Close the file."""
        os.close(self._descriptor)

    def _append(self, record: dict[str, Any]) -> None:
        data = _encode(record)
        _write_all(self._descriptor, data)
        os.fdatasync(self._descriptor)
        self._synced_bytes += len(data)
        self._state.replay(record)

    def _rewrite(self, new_state: _JournalState) -> None:
        log = new_state
        rows = [[e.index, e.term, e.kind, e.payload] for e in log.entries]
        snapshot = [
            log.snapshot_index,
            log.snapshot_term,
            log.snapshot_state,
            log.snapshot_voters,
        ]
        data = _encode({"snapshot": snapshot})
        data += _encode({"vote": [log.term, log.voted_for]})
        data += _encode({"entries": rows}) if rows else b""
        descriptor = _replace_file(self.folder / JOURNAL_FILE_NAME, data)
        os.close(self._descriptor)
        self._descriptor = descriptor
        self._synced_bytes = len(data)
        self._state = new_state
        _sync_folder(self.folder)


def _encode(record: dict[str, Any]) -> bytes:
    body = json.dumps(record, separators=(",", ":")).encode()
    return _HEADER.pack(_MAGIC, len(body), zlib.crc32(body)) + body


def _read_records(
    data: bytes, source: str
) -> tuple[list[dict[str, Any]], int]:
    records: list[dict[str, Any]] = []
    offset = 0
    while offset < len(data):
        body = _body_at(data, offset)
        if body is None:
            _require_torn_tail(data, offset, source)
            break
        records.append(json.loads(body))
        offset += _HEADER.size + len(body)
    return records, offset


def _body_at(data: bytes, offset: int) -> bytes | None:
    if offset + _HEADER.size > len(data):
        return None
    magic, length, checksum = _HEADER.unpack_from(data, offset)
    start = offset + _HEADER.size
    if magic != _MAGIC or length > _MAX_RECORD_BYTES:
        return None
    body = data[start : start + length]
    if len(body) < length or zlib.crc32(body) != checksum:
        return None
    return body


def _require_torn_tail(data: bytes, offset: int, source: str) -> None:
    """Raise CorruptJournal if a valid record follows the damage."""
    position = data.find(_MAGIC, offset + 1)
    while position >= 0:
        if _body_at(data, position) is not None:
            message = f"{source}: damaged record at byte {offset}"
            raise CorruptJournal(message)
        position = data.find(_MAGIC, position + 1)


def _write_all(descriptor: int, data: bytes) -> None:
    view = memoryview(data)
    while view:
        written = os.write(descriptor, view)
        view = view[written:]


def _replace_file(path: Path, data: bytes) -> int:
    """Write a synced file and let it take the place of another one.

    The folder is not synced.  If the write fails, the former file stays
    and nothing of the new one is left on the disk.

    :return: descriptor of the new file, at its end
    """
    new_path = path.with_suffix(".new")
    flags = os.O_RDWR | os.O_CREAT | os.O_TRUNC
    descriptor = os.open(new_path, flags, 0o600)
    try:
        _write_all(descriptor, data)
        os.fsync(descriptor)
        new_path.replace(path)
    except OSError:
        os.close(descriptor)
        new_path.unlink(missing_ok=True)
        raise
    return descriptor


def _sync_folder(folder: Path) -> None:
    descriptor = os.open(folder, os.O_RDONLY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)
