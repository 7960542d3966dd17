from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from rosemarysaddle.decide import (
    MAX_SIZE,
    NS_PER_MS,
    ConnectionShare,
    LenderRanking,
    TeamScope,
    share_connections,
)
from rosemarysaddle.decide.load._lending import (
    DOWN_BACKOFF_MS,
    MAX_REMOTE_LENDERS,
    UNABLE_BACKOFF_MS,
    lending_hosts,
)


def _lent(limit: int, fraction: float) -> ConnectionShare:
    return ConnectionShare(limit=limit, uses_lender=True, fraction=fraction)


@pytest.mark.parametrize(
    ("limit", "hosts", "neighbours", "share"),
    [
        (30, 7, 3, ConnectionShare(limit=3, uses_lender=False)),
        (49, 66, 11, _lent(limit=7, fraction=11 / 66)),
        (166, 78, 13, _lent(limit=24, fraction=13 / 78)),
        (500, 2_600, 200, _lent(limit=34, fraction=200 / 2_600)),
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


def _share_of(
    center: int, sizes: list[int], *, limit: int, teams: int, is_first: bool
) -> ConnectionShare:
    remote = {f"dc{n}": (f"h{n}:1",) for n in range(len(sizes)) if n != center}
    scope = TeamScope(
        teams=teams,
        target_center="dc0",
        own_center=f"dc{center}",
        remote=remote,
        is_first_lender=is_first,
    )
    return share_connections(
        limit=limit,
        hosts=sum(sizes),
        neighbours=sizes[center],
        team_scope=scope,
    )


@given(
    limit=st.integers(8, 1_000),
    sizes=st.lists(st.integers(1, 200), min_size=2, max_size=13),
    teams=st.integers(0, 10_000),
)
def test_hosts_agree_on_the_scope_and_stay_within_the_limit(
    limit: int, sizes: list[int], teams: int
) -> None:
    shares = [
        _share_of(n, sizes, limit=limit, teams=teams, is_first=n == 0)
        for n in range(len(sizes))
    ]
    stand_in = _share_of(0, sizes, limit=limit, teams=teams, is_first=False)

    assert len({share.lending_center for share in shares}) == 1
    if shares[0].lending_center:
        total = sum(share.limit for share in shares) + stand_in.limit
        assert total <= limit


@pytest.mark.parametrize(
    ("limit", "sizes", "teams", "expected"),
    [
        (56, [14, 14, 14, 13, 13, 13], 1, 8),
        (56, [14, 14, 14, 13, 13, 13], 83, 40),
        (500, [200] * 13, 10_000, 366),
        (56, [7], 83, 50),
    ],
)
def test_lender_has_all_connections_where_teams_are_many(
    limit: int, sizes: list[int], teams: int, expected: int
) -> None:
    share = _share_of(0, sizes, limit=limit, teams=teams, is_first=True)

    assert share.limit == expected


def test_connections_of_a_lost_data_center_stay_free() -> None:
    # Its hosts may be alive and only cut off from the leader.
    scope = TeamScope(
        teams=83,
        target_center="dc0",
        own_center="dc1",
        remote={"dc0": (), "dc2": ("h2:1",)},
    )

    share = share_connections(
        limit=56, hosts=42, neighbours=14, team_scope=scope
    )

    assert (share.limit, share.lending_center) == (5, "")


def _remote_rankings() -> list[LenderRanking]:
    hosts = {c: [f"{c}h{n}" for n in range(60)] for c in ("dc0", "dc1")}
    rankings = []
    for center, own in hosts.items():
        ranking = LenderRanking(own=own[0], data_center=center)
        remote = {c: lending_hosts(h) for c, h in hosts.items() if c != center}
        ranking.replace(own, remote)
        rankings.append(ranking)
    return rankings


def test_hosts_of_all_data_centers_select_the_same_lender() -> None:
    near, far = _remote_rankings()
    targets = [f"t{n}" for n in range(200)]

    lenders = [far.lender(t, 0, data_center="dc0") for t in targets]

    assert lenders == [near.lender(t, 0, data_center="dc0") for t in targets]
    assert all(lender.startswith("dc0") for lender in lenders)
    assert MAX_REMOTE_LENDERS // 2 < len(set(lenders)) <= MAX_REMOTE_LENDERS


def test_one_request_tries_an_unreachable_data_center_again() -> None:
    # All requests at once would each wait for the time-out.
    _, far = _remote_rankings()
    lost = [far.lender("t", 0, data_center="dc0")]
    assert far.mark_down(lost[0], 0) == ""
    lost.append(far.lender("t", 0, data_center="dc0"))
    assert far.mark_down(lost[1], 0) == "dc0"
    later_ns = DOWN_BACKOFF_MS * NS_PER_MS

    assert far.lender("t", 0, data_center="dc0").startswith("dc1")
    assert far.trial_lender("t", 0, data_center="dc0") == ""
    tried = far.trial_lender("t", later_ns, data_center="dc0")
    assert tried.startswith("dc0")
    assert far.trial_lender("t", later_ns, data_center="dc0") == ""
    assert far.mark_up(tried) == "dc0"
    assert far.lender("t", later_ns, data_center="dc0") == tried


def test_unable_lender_is_skipped_for_one_target_only() -> None:
    ranking = _ranking("h1", 11)
    first = ranking.lender("t", 0)
    other = next(
        t for t in map(str, range(999)) if ranking.lender(t, 0) == first
    )

    ranking.mark_unable(first, "t", 0)
    second = ranking.lender("t", 0)

    assert second != first
    assert ranking.lender(other, 0) == first
    assert ranking.lender("t", UNABLE_BACKOFF_MS * NS_PER_MS) == first
    ranking.mark_unable(second, "t", 0)
    assert ranking.lender("t", 0) == first


@given(
    steps=st.lists(
        st.tuples(
            st.sampled_from(["down", "unable", "up", "able", "trial"]),
            st.integers(0, 3_000),
        ),
        max_size=40,
    )
)
def test_lost_lenders_never_leave_a_target_without_one(
    steps: list[tuple[str, int]],
) -> None:
    _, far = _remote_rankings()
    now_ns = 0
    for name, spent_ms in steps:
        now_ns += spent_ms * NS_PER_MS
        lender = far.lender("t", now_ns, data_center="dc0")
        assert lender.startswith("dc0") or lender in far.hosts
        if name == "down":
            far.mark_down(lender, now_ns)
        elif name == "unable":
            far.mark_unable(lender, "t", now_ns)
        elif name == "able":
            far.mark_able(lender, "t")
        elif name == "up":
            far.mark_up(lender)
        else:
            tried = far.trial_lender("t", now_ns, data_center="dc0")
            assert not tried or tried.startswith("dc0")

    # A trial that succeeds brings the data centre back.
    later_ns = now_ns + DOWN_BACKOFF_MS * NS_PER_MS
    tried = far.trial_lender("t", later_ns, data_center="dc0")
    far.mark_up(tried)
    assert far.lender("t", later_ns, data_center="dc0").startswith("dc0")


@pytest.mark.parametrize(
    ("slots", "fraction", "size"),
    [(6, 1 / 6, 3), (6, 1 / 2, 9), (6, 1, 12), (6, 1 / 13, 2), (2, 1 / 6, 2)],
)
def test_lenders_together_keep_the_queue_of_a_target_short(
    slots: int, fraction: float, size: float
) -> None:
    # With a window of nine each, six lenders had 42 statements at a
    # target with six slots, which served them in order of arrival.
    assert _lent(limit=8, fraction=fraction).max_window(slots) == size


def test_host_without_lender_has_no_bound_by_slots() -> None:
    # Its connections are fewer than that already.
    share = ConnectionShare(limit=3, uses_lender=False)

    assert share.max_window(5) == MAX_SIZE
