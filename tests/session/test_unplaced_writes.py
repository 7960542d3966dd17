"""Writes whose position the primary does not tell."""

from __future__ import annotations

import asyncio

import pytest

from rosemarysaddle._clock import clock_ns
from rosemarysaddle.decide import LogPoint
from tests.session.standin import (
    GROUP,
    StandInTarget,
    open_caller,
    run_router,
)

PORT = 17_940
PRIMARY, REPLICA = "t0", "t1"
READS = 20
WRITES = {
    "write": ["WRITE 1 x"],
    "transaction": ["BEGIN", "WRITE 1 x", "COMMIT"],
}


async def _read_after_write(
    texts: list[str], database: str, *, told_later: bool
) -> tuple[list[str], list[str]]:
    """Write without a position, and read in the same session.

    :param told_later: whether an answer names a position after that
    :return: answers to the reads, and what the replica got of them
    """
    targets = [
        StandInTarget(name=name, port=PORT + number)
        for number, name in enumerate((PRIMARY, REPLICA))
    ]
    targets[1].role = "replica"
    async with run_router(targets) as router:
        caller = await open_caller(router, database)
        earlier = LogPoint(term=1, position=5)
        router.positions.record(GROUP, clock_ns(), earlier)
        targets[0].tells_position = False
        for text in texts:
            await caller.query(text)
        if told_later:
            later = LogPoint(term=1, position=targets[0].position)
            router.positions.record(GROUP, clock_ns() + 10**8, later)
        answers = [await caller.query("READ 1") for _ in range(READS)]
        return answers, targets[1].texts


@pytest.mark.parametrize("texts", WRITES.values(), ids=WRITES)
def test_session_reads_its_write_at_the_primary(texts: list[str]) -> None:
    """Guards against a replica that lacks the session's own write."""
    answers, at_replica = asyncio.run(
        _read_after_write(texts, "mine", told_later=False)
    )

    assert answers == ["OK I"] * READS
    assert not at_replica


@pytest.mark.parametrize("texts", WRITES.values(), ids=WRITES)
def test_session_reads_at_replicas_once_a_position_is_told(
    texts: list[str],
) -> None:
    """Guards against reads that stay at the primary for good."""
    answers, at_replica = asyncio.run(
        _read_after_write(texts, "mine", told_later=True)
    )

    assert answers == ["OK I"] * READS
    assert at_replica


def test_other_sessions_may_read_an_earlier_state() -> None:
    """Guards against a bound that nobody asked for."""
    _, at_replica = asyncio.run(
        _read_after_write(WRITES["write"], "old", told_later=False)
    )

    assert at_replica
