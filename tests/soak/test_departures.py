from __future__ import annotations

import asyncio
from typing import Any

from rosemarysaddle.soak._departures import Departure, Work, find_late_work
from rosemarysaddle.soak._targets import (
    TargetGroup,
    TargetInstance,
    _Connection,
)


def _work(at_s: float, target: str = "t1") -> Work:
    return Work(at_s=at_s, target=target, request_id=f"r{at_s}")


def test_work_after_the_bound_is_found_until_the_target_ends() -> None:
    departures = [
        Departure(target="t1", acknowledged_s=10, ended_s=20),
        Departure(target="t2"),
    ]
    work = [_work(17.0), _work(17.5), _work(17.5, "t2"), _work(20.5)]

    assert find_late_work(departures, work) == [
        "r17.5 reached t1 7.5 s after the acknowledgement of its stop"
    ]


def test_only_the_first_statement_of_a_transaction_is_new_work() -> None:
    """Guards against a check that is blind after a transaction."""
    instance = TargetInstance(
        name="t1", ip="", port=0, data_center="dc", role="primary"
    )
    group = TargetGroup(name="g", instances={"t1": instance})
    connection = _Connection(group=group, instance=instance)

    async def run() -> list[Any]:
        for line in (
            "QUERY 1 READ k",
            "QUERY - BEGIN",
            "QUERY 2 WRITE k 1",
            "QUERY 3 WRITE k 2",
            "QUERY 4 COMMIT",
            "QUERY 5 READ k",
            "QUERY 6 READ k",
        ):
            connection.data_received(f"{line}\r\n".encode())
        return [work.request_id for work in group.work]

    assert asyncio.run(run()) == ["1", "2", "5", "6"]
