from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from rosemarysaddle.schema import LogEntry
from rosemarysaddle.store import CorruptJournal, Journal

if TYPE_CHECKING:
    from pathlib import Path

    from rosemarysaddle.decide import StoredLog


def _entry(index: int, term: int = 1) -> LogEntry:
    return LogEntry(index=index, term=term, kind="noop", payload="{}")


def _write_sample_journal(folder: Path) -> Path:
    journal = Journal(folder=folder)
    journal.open()
    journal.save_vote(1, "a")
    journal.save_entries([_entry(1), _entry(2)])
    journal.save_entries([_entry(3)])
    journal.close()
    return folder / "control.journal"


def _reopen(folder: Path) -> StoredLog:
    journal = Journal(folder=folder)
    stored = journal.open()
    journal.close()
    return stored


def test_open_returns_saved_content(tmp_path: Path) -> None:
    _write_sample_journal(tmp_path)

    stored = _reopen(tmp_path)

    assert (stored.term, stored.voted_for) == (1, "a")
    assert [e.index for e in stored.entries] == [1, 2, 3]


def test_save_entries_truncates_conflicting_tail(tmp_path: Path) -> None:
    _write_sample_journal(tmp_path)
    journal = Journal(folder=tmp_path)
    journal.open()
    journal.save_entries([_entry(2, term=2)])
    journal.close()

    stored = _reopen(tmp_path)

    assert [(e.index, e.term) for e in stored.entries] == [(1, 1), (2, 2)]


def test_save_snapshot_keeps_later_entries(tmp_path: Path) -> None:
    _write_sample_journal(tmp_path)
    journal = Journal(folder=tmp_path)
    journal.open()
    journal.save_snapshot(2, 1, "state")
    journal.save_entries([_entry(4)])
    journal.close()

    stored = _reopen(tmp_path)

    assert (stored.snapshot_index, stored.snapshot_state) == (2, "state")
    assert [e.index for e in stored.entries] == [3, 4]
    assert (stored.term, stored.voted_for) == (1, "a")


@pytest.mark.parametrize("cut_bytes", [1, 5, 12, 30])
def test_open_truncates_torn_tail(tmp_path: Path, cut_bytes: int) -> None:
    path = _write_sample_journal(tmp_path)
    data = path.read_bytes()
    path.write_bytes(data[:-cut_bytes])

    stored = _reopen(tmp_path)

    assert [e.index for e in stored.entries] == [1, 2]
    assert path.stat().st_size < len(data) - cut_bytes


@pytest.mark.parametrize("offset", [0, 5, 9, 20])
def test_open_raises_on_damage_before_valid_record(
    tmp_path: Path, offset: int
) -> None:
    path = _write_sample_journal(tmp_path)
    data = bytearray(path.read_bytes())
    data[offset] ^= 0xFF
    path.write_bytes(bytes(data))

    with pytest.raises(CorruptJournal, match="damaged record at byte 0"):
        _reopen(tmp_path)
