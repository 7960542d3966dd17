"""Reads right after the start of a host, with stand-in targets."""

from __future__ import annotations

import asyncio

from tests.session.standin import StandInTarget, make_router, open_caller

PORTS = (19_341, 19_342, 19_343)


async def _read_at_start(
    readers: int, **faults: list[str]
) -> tuple[list[str], list[StandInTarget]]:
    targets = [
        StandInTarget(
            name=f"t{number}",
            port=port,
            role="replica" if number else "primary",
            faults=dict(faults) if not number else {},
        )
        for number, port in enumerate(PORTS)
    ]
    for target in targets:
        await target.start()
    router = make_router(targets)
    try:
        router.apply_view()
        callers = [await open_caller(router, "old") for _ in range(readers)]
        reads = [caller.query("READ 1") for caller in callers]
        return list(await asyncio.gather(*reads)), targets
    finally:
        for target in targets:
            target.stop()


def test_reads_after_a_start_are_spread_over_the_replicas() -> None:
    """Guards against primaries that get all reads when hosts return.

    Callers that have waited for the start come all at once.
    """
    answers, targets = asyncio.run(_read_at_start(24))

    assert set(answers) == {"OK I"}
    reads = [target.texts.count("READ 1") for target in targets]
    assert sum(reads) == 24
    assert reads[0] <= 12


def test_reads_after_a_start_do_not_wait_for_a_silent_primary() -> None:
    """Guards against reads that are held until their time-out."""
    answers, targets = asyncio.run(_read_at_start(4, RESET=["silent"] * 9))

    assert set(answers) == {"OK I"}
    assert targets[0].texts.count("READ 1") >= 1
