from __future__ import annotations

import asyncio
from typing import Any

import attrs
import pytest

from rosemarysaddle.soak import CallHistory
from rosemarysaddle.soak._check import Ack, ReadCall
from rosemarysaddle.soak._log_checks import (
    Freeze,
    WriteWatch,
    find_lost_at_promotion,
    find_old_primary_commits,
    find_rolled_back,
    find_stale_reads,
)
from rosemarysaddle.soak._targets import (
    Entry,
    Promotion,
    ReadRun,
    TargetGroup,
)


def _entry(request_id: str, term: int, position: int, at_s: float) -> Entry:
    return Entry(
        request_id=request_id,
        key="k",
        value=position,
        term=term,
        position=position,
        target=f"t{term}",
        at_s=at_s,
    )


# t2 was promoted at 10 s with the first two of the three commits of t1.
_ENTRIES = [
    _entry("a", 1, 1, 7.0),
    _entry("b", 1, 2, 8.0),
    _entry("c", 1, 3, 9.0),
    _entry("d", 2, 3, 11.0),
]
_PROMOTION = Promotion(
    at_s=10.0, target="t2", term=2, starts={1: 0, 2: 2}, length=2
)
_T1 = {1: 0}


def _group(*entries: Entry, sync_replicas: int = 0) -> TargetGroup:
    return TargetGroup(
        name="g",
        instances={},
        sync_replicas=sync_replicas,
        committed=[*_ENTRIES, *entries],
        promotions=[_PROMOTION],
    )


def _history(*request_ids: str) -> CallHistory:
    acks = [
        Ack(at_s=e.at_s + 0.1, request_id=e.request_id, session="s")
        for e in _ENTRIES
        if e.request_id in request_ids
    ]
    return CallHistory(acknowledged=dict.fromkeys(request_ids, 0), acks=acks)


@pytest.mark.parametrize(
    ("at_s", "is_found"),
    [(9.9, False), (10.25, False), (10.35, True)],
    ids=["before", "within the slack", "after"],
)
def test_commits_of_a_replaced_primary_are_found(
    at_s: float, *, is_found: bool
) -> None:
    """Guards against a check blind to commits of a replaced primary."""
    group = _group(_entry("x", 1, 4, at_s))

    found = find_old_primary_commits(_history("a", "d", "x"), group)

    assert bool(found) is is_found


@pytest.mark.parametrize(
    ("until_s", "is_found"), [(12.0, False), (11.5, True)]
)
def test_a_host_that_is_just_thawed_may_be_late(
    until_s: float, *, is_found: bool
) -> None:
    """Guards against an excuse for hosts that were thawed before."""
    entry = attrs.evolve(_entry("x", 1, 4, 12.2), sender="entry-1")
    freeze = Freeze(host="entry-1", from_s=9.5, until_s=until_s)

    found = find_old_primary_commits(_history("x"), _group(entry), [freeze])

    assert bool(found) is is_found


def test_commits_that_nobody_was_told_of_are_not_found() -> None:
    """Guards against a report of commits without acknowledgement."""
    group = _group(_entry("x", 1, 4, 12.0))

    assert find_old_primary_commits(_history("a"), group) == []


def test_only_commits_that_a_promotion_left_out_are_rolled_back() -> None:
    """Guards against an excuse for commits that were kept."""
    group = _group(_entry("late", 1, 4, 10.2), _entry("old", 1, 5, 12.0))

    assert find_rolled_back(group) == {"c"}
    assert find_rolled_back(group, 0.3) == {"c", "late"}


@pytest.mark.parametrize(("sync_replicas", "found"), [(0, 0), (1, 1)])
def test_acknowledged_commits_that_a_promoted_target_lacks_are_found(
    sync_replicas: int, found: int
) -> None:
    """Guards against a check blind to commits lost at a promotion."""
    group = _group(sync_replicas=sync_replicas)
    history = _history("a", "b", "c", "d")

    assert len(find_lost_at_promotion(history, group)) == found


def _read(**changes: Any) -> ReadCall:
    call = ReadCall(
        asked_s=11.5,
        request_id="r",
        freshness="read_your_writes",
        session="s",
        target="t",
        value=0,
    )
    return attrs.evolve(call, **changes)


def _run(**changes: Any) -> ReadRun:
    run = ReadRun(
        at_s=11.6,
        request_id="r",
        target="t",
        starts=_PROMOTION.starts,
        applied=3,
        value=0,
    )
    return attrs.evolve(run, **changes)


@pytest.mark.parametrize(
    ("call", "run", "is_stale"),
    [
        (_read(), _run(), False),
        (_read(), _run(applied=2), True),
        (_read(session="other"), _run(applied=2), False),
        (_read(), _run(starts=_T1, applied=3), True),
        (_read(session="other"), _run(starts=_T1, applied=3), False),
        (_read(freshness="primary", session="other"), _run(applied=2), True),
        (_read(asked_s=13.0, session="other"), _run(applied=2), True),
        (_read(asked_s=9.5), _run(at_s=9.6, starts=_T1, applied=2), True),
        (_read(asked_s=9.5), _run(at_s=10.1, applied=2), False),
        (_read(value=4), _run(), True),
    ],
    ids=[
        "newest log",
        "own commit not applied",
        "commit of another session",
        "log without the own commit's term",
        "log without the other session's term",
        "strict",
        "older than the bound",
        "left out later",
        "left out before",
        "other rows",
    ],
)
def test_reads_at_a_log_without_their_commits_are_found(
    call: ReadCall, run: ReadRun, *, is_stale: bool
) -> None:
    """Guards against a check blind to reads at another history."""
    group = _group()
    group.reads["r", "t"] = run
    history = _history("a", "b", "c", "d")
    history.reads.append(call)

    assert bool(find_stale_reads(history, group, 1.5)) is is_stale


@pytest.mark.parametrize(
    ("can_write", "is_found"), [(True, True), (False, False)]
)
def test_a_time_without_writes_counts_while_one_could_be_served(
    monkeypatch: pytest.MonkeyPatch, *, can_write: bool, is_found: bool
) -> None:
    """Guards against a watch that misses a group without writes."""
    monkeypatch.setattr("rosemarysaddle.soak._log_checks.MAX_WRITE_GAP_S", 0.2)
    watch = WriteWatch(
        count_acknowledged=lambda: 1, can_write=lambda: can_write
    )

    async def run() -> None:
        watching = asyncio.ensure_future(watch.run())
        await asyncio.sleep(0.5)
        watching.cancel()

    asyncio.run(run())
    assert bool(watch.find_violations()) is is_found
