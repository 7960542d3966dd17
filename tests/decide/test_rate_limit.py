"""Tests of the decisions about tokens of rate limits."""

from __future__ import annotations

import attrs
import pytest

from rosemarysaddle.decide import (
    LEASE_MS,
    NS_PER_MS,
    CountingHosts,
    DemandRate,
    LimitSettings,
    LimitShare,
    TokenCounter,
    TokenStock,
)
from rosemarysaddle.schema import Team

S = 1_000_000_000
WINDOW_NS = 5 * S
TEAM = "t"
OWN = "own"
SHARE = LimitShare(
    rate_per_s=10, capacity=50, takeover_tokens=3, reserve_tokens=3
)


def _settings(centers: int = 1) -> LimitSettings:
    names = tuple(f"d{n}" for n in range(centers))
    return LimitSettings(
        window_ns=WINDOW_NS,
        overage=0.1,
        slack=20,
        data_center="d0",
        data_centers=names,
    )


def _counter(*others: str, now_ns: int = S) -> TokenCounter:
    counter = TokenCounter(settings=_settings(), hosts=CountingHosts(own=OWN))
    counter.replace_hosts((OWN, *others), now_ns)
    counter.observe_lease(1_000 * S, now_ns)
    return counter


def _other(*, is_before: bool) -> str:
    """Find the name of a host that ranks before or after this one."""
    hosts = CountingHosts(own=OWN)
    for number in range(100):
        hosts.replace((OWN, f"h{number}"), S)
        if (hosts.ranking(TEAM)[0] == OWN) is not is_before:
            return f"h{number}"
    raise AssertionError


@pytest.mark.parametrize("centers", [1, 6, 13])
@pytest.mark.parametrize(("rate", "burst"), [(149, 149), (2, 2), (2_000, 0)])
def test_parts_of_a_limit_stay_within_the_rule(
    centers: int, rate: float, burst: float
) -> None:
    # Guards against parts that together exceed the rule.
    settings = _settings(centers)
    team = Team(name=TEAM, api_keys=(), rate_per_s=rate, burst_size=burst)
    age_s = (settings.token_age_ns + settings.transfer_age_ns) / S
    used = rate * (5 + age_s)
    for center in settings.data_centers:
        share = attrs.evolve(settings, data_center=center).share(team)
        assert share is not None
        assert share.capacity >= 1
        used += share.capacity + share.takeover_tokens
        # Hosts with an older list may use the reserve again.
        used += 2 * share.reserve_tokens
    assert used <= (rate * 5 + burst) * 1.1 + 20


def test_bucket_starts_empty_and_counts_from_the_list() -> None:
    # Guards against a full bucket after a restart, and against an empty
    # one at the first operation of a team.
    counter = _counter()
    assert counter.grant(TEAM, SHARE, 100, S) == 0
    assert counter.grant(TEAM, SHARE, 100, 3 * S) == 20
    assert counter.grant("late", SHARE, 100, 4 * S) == 30


def test_joining_host_accrues_half_while_another_may_count() -> None:
    # Guards against two hosts that accrue the whole share.
    counter = _counter(_other(is_before=False))
    hold_ns = LEASE_MS * NS_PER_MS
    granted = counter.grant(TEAM, SHARE, 100, S + hold_ns)
    assert granted == int(10 * hold_ns / S / 2)


def test_host_whose_lease_ended_grants_nothing_and_starts_empty() -> None:
    # Guards against a resumed host that grants what it accrued.
    counter = _counter()
    counter.observe_lease(2 * S, S)
    assert counter.grant(TEAM, SHARE, 1, 2 * S) == 0
    assert counter.give(TEAM, SHARE, 1, 2 * S) == 0
    counter.observe_lease(9 * S, 8 * S)
    assert counter.grant(TEAM, SHARE, 1, 8 * S) == 0
    assert counter.grant(TEAM, SHARE, 100, 8 * S + S // 2) == 5


def test_second_host_grants_its_allowance_once_in_a_window() -> None:
    # Guards against a host that counts beside the one that seems down.
    counter = _counter(_other(is_before=True))
    assert counter.grant(TEAM, SHARE, 9, 2 * S) == 0
    late_ns = S + WINDOW_NS
    assert counter.grant(TEAM, SHARE, 9, late_ns) == 3
    assert counter.grant(TEAM, SHARE, 9, late_ns + WINDOW_NS) == 0
    assert counter.grant(TEAM, SHARE, 9, late_ns + WINDOW_NS + 1) == 3
    assert counter.give(TEAM, SHARE, 9, late_ns + 3 * WINDOW_NS) == 0


def test_host_that_becomes_the_first_starts_empty() -> None:
    # Guards against tokens of a time in which another host counted.
    first = _other(is_before=True)
    counter = _counter(first)
    counter.replace_hosts((OWN,), 9 * S)
    assert counter.grant(TEAM, SHARE, 100, 10 * S) == 10
    counter.replace_hosts((OWN, first), 11 * S)
    counter.replace_hosts((OWN,), 12 * S)
    assert counter.grant(TEAM, SHARE, 100, 13 * S) == 10


def test_changed_limit_takes_effect_at_once() -> None:
    # Guards against a bucket of the old limit, or one filled anew.
    counter = _counter()
    small = LimitShare(
        rate_per_s=1, capacity=2, takeover_tokens=0, reserve_tokens=0
    )
    counter.apply_share(TEAM, SHARE, 4 * S)
    counter.apply_share(TEAM, small, 4 * S)
    counter.apply_share(TEAM, SHARE, 4 * S)
    assert counter.grant(TEAM, SHARE, 100, 4 * S) == 2


def test_giver_keeps_what_its_own_demand_needs() -> None:
    # Guards against data centres that take tokens from one another.
    counter = _counter()
    assert counter.grant(TEAM, SHARE, 20, 6 * S) == 20
    assert counter.give(TEAM, SHARE, 100, 6 * S) == 24
    assert counter.give_wait_ms(TEAM, SHARE, 6 * S) > 0


def test_transferred_tokens_that_arrive_late_are_lost() -> None:
    # Guards against tokens that are used long after they accrued.
    counter = _counter()
    late_ns = 2 * S + counter.settings.transfer_age_ns + 1
    assert (
        counter.accept(
            TEAM, SHARE, 5, waiting=5, sent_ns=2 * S, now_ns=late_ns
        )
        == 0
    )


def test_tokens_of_a_stock_expire() -> None:
    # Guards against tokens that are saved up, and late answers.
    stock = TokenStock(token_age_ns=S // 5, demand=DemandRate(updated_ns=0))
    stock.add(2, sent_ns=S, now_ns=S)
    assert stock.take(S + S // 10)
    assert not stock.take(S + S // 5)
    stock.add(1, sent_ns=S, now_ns=2 * S)
    assert not stock.take(2 * S)
    assert stock.expired == 2


def test_refusal_names_the_time_of_the_next_token() -> None:
    # Guards against a time that does not count down.
    stock = TokenStock(token_age_ns=S, demand=DemandRate(updated_ns=0))
    stock.record_refusal(400, S, is_unreachable=False)
    assert stock.is_refused(S + 99 * NS_PER_MS)
    assert not stock.is_refused(S + 100 * NS_PER_MS)
    assert stock.expected_ns - (S + 50 * NS_PER_MS) == 350 * NS_PER_MS
