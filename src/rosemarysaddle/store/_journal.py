"""Journal of votes, log entries and snapshots in one file.

A record consists of a magic number, the length, a checksum and a JSON
body.  Every write is synced to disk before it returns.  An incomplete
record at the end is truncated when the journal is opened; a damaged
record before a valid one stops the host.
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
        flags = os.O_RDWR | os.O_CREAT
        self._descriptor = os.open(path, flags, 0o600)
        os.ftruncate(self._descriptor, valid_bytes)
        os.lseek(self._descriptor, valid_bytes, os.SEEK_SET)
        os.fsync(self._descriptor)
        _sync_folder(self.folder)
        return self._state.to_stored_log()

    @staticmethod
    def write_file(path: Path, text: str) -> None:
        """Replace a small file atomically and sync it to disk."""
        new_path = path.with_suffix(".new")
        flags = os.O_RDWR | os.O_CREAT | os.O_TRUNC
        descriptor = os.open(new_path, flags, 0o600)
        _write_all(descriptor, text.encode())
        os.fsync(descriptor)
        os.close(descriptor)
        new_path.replace(path)
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
        self._state.set_snapshot(index, term, state, voters)
        self._rewrite()

    def close(self) -> None:
        """Close the file."""
        os.close(self._descriptor)

    def _append(self, record: dict[str, Any]) -> None:
        self._state.replay(record)
        _write_all(self._descriptor, _encode(record))
        os.fdatasync(self._descriptor)

    def _rewrite(self) -> None:
        path = self.folder / JOURNAL_FILE_NAME
        new_path = path.with_suffix(".new")
        log = self._state
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
        flags = os.O_RDWR | os.O_CREAT | os.O_TRUNC
        descriptor = os.open(new_path, flags, 0o600)
        _write_all(descriptor, data)
        os.fsync(descriptor)
        new_path.replace(path)
        _sync_folder(self.folder)
        os.close(self._descriptor)
        self._descriptor = descriptor


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


def _sync_folder(folder: Path) -> None:
    descriptor = os.open(folder, os.O_RDONLY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)
