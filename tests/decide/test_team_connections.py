from __future__ import annotations

import math

import pytest

from benchmarks import remote_lender
from benchmarks import team_connections as benchmark
from rosemarysaddle.decide import (
    NS_PER_MS,
    ConnectionRequest,
    TeamConnections,
    max_concurrent_opens,
)
from rosemarysaddle.decide.load._team_connections import USE_HALF_LIFE_MS


def _open(
    connections: TeamConnections[int], number: int, request: ConnectionRequest
) -> None:
    connections.record_opened(number, request.team)
    connections.record_taken(number, request, 0)


def _count_pins(
    connections: TeamConnections[int], team: str, start: int = 0
) -> int:
    """Let a team begin transactions until it has to wait."""
    request = ConnectionRequest(team=team, pinned=True)
    for number in range(100):
        if connections.choose(request, 0, lambda _: True) is None:
            return number
        _open(connections, start + number, request)
    raise AssertionError


def test_idle_transactions_of_one_team_leave_connections_to_others() -> None:
    # 120 callers of one team that stay idle inside transactions would
    # keep all others from beginning one.
    connections: TeamConnections[int] = TeamConnections(
        limit=40, uses_teams=True
    )

    first = _count_pins(connections, "a")
    second = _count_pins(connections, "b", 100)

    assert (first, second) == (15, 10)
    rare = ConnectionRequest(team="c", pinned=True)
    assert connections.choose(rare, 0, lambda _: True) is not None


def test_pins_are_not_limited_by_team_without_teams() -> None:
    connections: TeamConnections[int] = TeamConnections(limit=8)

    assert _count_pins(connections, "") == 8


def test_connection_of_the_team_that_loses_least_is_replaced() -> None:
    connections: TeamConnections[int] = TeamConnections(
        limit=3, uses_teams=True
    )
    # Two requests in turn, then one; the second connection of "a" was
    # needed only once.
    for number, team in ((1, "a"), (2, "a"), (3, "b")):
        _open(connections, number, ConnectionRequest(team=team))
    for number in (3, 1, 2):
        connections.record_returned(number, 20 * NS_PER_MS)
        connections.record_idle(number, 20 * NS_PER_MS)

    found = connections.choose(
        ConnectionRequest(team="c"), 30 * NS_PER_MS, lambda _: True
    )

    assert found is not None
    assert found.replaced == 1
    alone = connections.expected_loss("b", 30 * NS_PER_MS)
    assert connections.expected_loss("a", 30 * NS_PER_MS) < alone


def test_use_of_a_team_is_forgotten_with_time() -> None:
    connections: TeamConnections[int] = TeamConnections(
        limit=3, uses_teams=True
    )
    _open(connections, 1, ConnectionRequest(team="a"))
    now = connections.expected_loss("a", 0)

    later = connections.expected_loss("a", USE_HALF_LIFE_MS * NS_PER_MS)

    assert math.isclose(later, now / 2)


def test_counted_teams_are_bounded() -> None:
    # 10,000 teams at each of many targets would take too much memory.
    connections: TeamConnections[int] = TeamConnections(
        limit=8, uses_teams=True
    )
    for number in range(2_000):
        _open(connections, number, ConnectionRequest(team=f"t{number}"))
        connections.record_returned(number, number)
        connections.record_closed(number)

    assert len(connections._uses) <= 64


@pytest.mark.parametrize(
    ("slots", "uses_teams", "openings"),
    [(4, True, 2), (5, True, 2), (1, True, 1), (0, True, 1), (8, False, 1)],
)
def test_openings_at_once_follow_the_slots(
    slots: int, uses_teams: bool, openings: int
) -> None:
    found = max_concurrent_opens(slots=slots, uses_teams=uses_teams)

    assert found == openings


def test_openings_use_little_slot_time_with_83_teams(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # A lender in each data centre opens for four requests in ten.
    monkeypatch.setattr(benchmark, "MEASURED_S", 200)
    fleet = benchmark.FLEETS[1]

    _, limit, opened, slot_time, _ = benchmark.measure(
        fleet, 83, is_shared=True
    )

    assert limit == 40
    assert opened < 0.15
    assert slot_time < 0.03


def test_lender_of_far_borrowers_keeps_the_target_busy() -> None:
    # With a window that narrows to one, statements waited for seconds
    # at 54 % of the target's capacity.
    _, _, narrow_ms = remote_lender.measure(120, lenders=1, min_size=1)

    _, _, late_ms = remote_lender.measure(120, lenders=1, min_size=8)

    assert narrow_ms > 2_000
    assert late_ms < 500
