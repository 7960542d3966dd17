from __future__ import annotations

import pytest

from rosemarysaddle.decide.control_log._entries import EntryStore
from rosemarysaddle.schema import LogEntry


def _entry(index: int, term: int) -> LogEntry:
    return LogEntry(index=index, term=term, kind="noop", payload="{}")


def _store(*terms: int, base: int = 10) -> EntryStore:
    entries = [_entry(base + n, t) for n, t in enumerate(terms, 1)]
    return EntryStore(
        base_index=base, base_term=1, base_state="s", entries=entries
    )


@pytest.mark.parametrize(
    ("index", "term", "held"),
    [
        pytest.param(3, 9, True, id="covered-by-snapshot"),
        pytest.param(10, 1, True, id="at-snapshot"),
        pytest.param(11, 1, True, id="same-term"),
        pytest.param(12, 1, False, id="other-term"),
        pytest.param(13, 2, False, id="after-the-end"),
    ],
)
def test_holds_checks_index_and_term(
    index: int, term: int, held: bool
) -> None:
    assert _store(1, 2).holds(index, term) is held


@pytest.mark.parametrize(
    ("offered", "added", "last"),
    [
        pytest.param([(11, 1), (12, 2)], [], 12, id="known"),
        pytest.param([(12, 2), (13, 2)], [13], 13, id="one-new"),
        pytest.param([(11, 3)], [11], 11, id="conflict-cuts-the-rest"),
        pytest.param(
            [(9, 1), (10, 1), (11, 1)], [], 12, id="covered-by-snapshot"
        ),
    ],
)
def test_merge_adds_new_and_replaces_conflicting_entries(
    offered: list[tuple[int, int]], added: list[int], last: int
) -> None:
    store = _store(1, 2)

    found = store.merge([_entry(i, t) for i, t in offered])

    assert [e.index for e in found] == added
    assert store.last_index == last


@pytest.mark.parametrize(
    ("index", "term", "last"),
    [
        pytest.param(11, 1, 12, id="keeps-what-follows"),
        pytest.param(11, 5, 11, id="drops-another-history"),
        pytest.param(20, 5, 20, id="beyond-the-end"),
    ],
)
def test_load_keeps_only_matching_later_entries(
    index: int, term: int, last: int
) -> None:
    store = _store(1, 2)

    store.load(index, term, "new")

    assert (store.base_index, store.last_index) == (index, last)


def test_compact_keeps_later_entries() -> None:
    store = _store(1, 2, 2)

    store.compact(12, "new")

    assert (store.base_index, store.base_term, store.held) == (12, 2, 1)
    assert [e.index for e in store.between(13, 99)] == [13]
