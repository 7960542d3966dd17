from __future__ import annotations

from rosemarysaddle.decide import Departure, DepartureStatus
from rosemarysaddle.node._departure_log import DepartureLog
from tests.helpers import NS_PER_MS


def _departure(status: DepartureStatus) -> Departure:
    return Departure(group="g", primary="t1", status=status)


def test_each_step_of_a_departure_is_logged_once_with_its_age() -> None:
    lines: list[str] = []
    log = DepartureLog(write=lambda kind, text: lines.append(f"{kind} {text}"))
    steps: tuple[list[Departure], ...] = (
        [_departure(DepartureStatus.WAITS_FOR_LEASES)],
        [_departure(DepartureStatus.WAITS_FOR_LEASES)],
        [_departure(DepartureStatus.CHANGING)],
        [],
        [],
    )
    for number, departures in enumerate(steps):
        log.update(departures, number * 100 * NS_PER_MS)

    assert [line.split(" ", 3)[3] for line in lines] == [
        "status=waits-for-leases known_for_ms=0",
        "status=changing known_for_ms=200",
        "status=over known_for_ms=300",
    ]
