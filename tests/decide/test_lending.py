from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from rosemarysaddle.decide import (
    NS_PER_MS,
    ConnectionShare,
    LenderRanking,
    share_connections,
)
from rosemarysaddle.decide.load._lending import DOWN_BACKOFF_MS


@pytest.mark.parametrize(
    ("limit", "hosts", "neighbours", "share"),
    [
        (30, 7, 3, ConnectionShare(limit=3, uses_lender=False)),
        (49, 66, 11, ConnectionShare(limit=7, uses_lender=True)),
        (166, 78, 13, ConnectionShare(limit=24, uses_lender=True)),
        (500, 2_600, 200, ConnectionShare(limit=34, uses_lender=True)),
        (49, 66, 0, ConnectionShare(limit=0, uses_lender=True)),
        (0, 66, 11, ConnectionShare(limit=2, uses_lender=False)),
        (49, 0, 0, ConnectionShare(limit=2, uses_lender=False)),
    ],
)
def test_share_connections_uses_lender_if_hosts_would_have_too_few(
    limit: int, hosts: int, neighbours: int, share: ConnectionShare
) -> None:
    found = share_connections(limit=limit, hosts=hosts, neighbours=neighbours)

    assert found == share


@given(
    limit=st.integers(40, 1_000),
    centers=st.lists(st.integers(2, 200), min_size=2, max_size=13),
)
def test_share_connections_stays_within_limit_of_target(
    limit: int, centers: list[int]
) -> None:
    hosts = sum(centers)
    total = 0
    for count in centers:
        share = share_connections(limit=limit, hosts=hosts, neighbours=count)
        total += share.limit * (1 if share.uses_lender else count)

    assert total <= limit


@pytest.mark.parametrize(
    ("limit", "hosts"), [(49, 66), (117, 200), (500, 2_600)]
)
def test_hosts_that_start_together_stay_within_limit_of_target(
    limit: int, hosts: int
) -> None:
    # None of them knows its neighbours yet.
    share = share_connections(limit=limit, hosts=hosts, neighbours=0)

    assert share.is_pending
    assert share.limit * hosts <= limit


def _ranking(own: str, count: int) -> LenderRanking:
    ranking = LenderRanking(own=own)
    ranking.replace([f"h{n}" for n in range(count)])
    return ranking


def test_lender_ranking_is_same_at_all_hosts_and_spreads_targets() -> None:
    first, second = _ranking("h1", 11), _ranking("h2", 11)
    targets = [f"t{n}" for n in range(200)]

    lenders = [first.lender(t, 0) for t in targets]

    assert lenders == [second.lender(t, 0) for t in targets]
    assert max(lenders.count(h) for h in set(lenders)) < 40


def test_lender_ranking_moves_only_targets_of_host_that_left() -> None:
    ranking = _ranking("h1", 11)
    targets = [f"t{n}" for n in range(200)]
    before = {t: ranking.lender(t, 0) for t in targets}

    ranking.replace([f"h{n}" for n in range(10)])

    moved = {t for t in targets if ranking.lender(t, 0) != before[t]}
    assert moved == {t for t in targets if before[t] == "h10"}


def test_lender_ranking_skips_lender_until_down_backoff_ends() -> None:
    ranking = _ranking("h1", 3)
    target = next(
        t for t in map(str, range(99)) if ranking.lender(t, 0) == "h0"
    )

    ranking.mark_down("h0", 0)

    assert ranking.lender(target, 0) != "h0"
    assert ranking.lender(target, DOWN_BACKOFF_MS * NS_PER_MS) == "h0"


def test_lender_ranking_never_skips_own_host() -> None:
    ranking = _ranking("h1", 1)
    for host in ("h0", "h1"):
        ranking.mark_down(host, 0)

    assert ranking.lender("t", 0) == "h1"
