"""Tests of rate limits while hosts, links and limits fail or change.

Each test offers operations of a team to hosts on a fake network and
counts what is admitted in any window.
"""

from __future__ import annotations

import contextlib
from typing import TYPE_CHECKING

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from tests.session.limit_hosts import fake_network

if TYPE_CHECKING:
    from tests.session.limit_hosts import FakeNetwork, Host

RATE = 149
BURST = 149
OVERLOAD = 3 * RATE


def _served(network: FakeNetwork) -> float:
    asked = len(network.admitted) + len(network.refused)
    return len(network.admitted) / asked


def test_limit_is_served_by_many_hosts_and_not_exceeded() -> None:
    # Guards against refusals below the limit because it is divided.
    for center in ("", "d0"):
        with fake_network(hosts_per_center=13) as network:
            network.offer(0.9 * RATE, 6, center=center)
            assert network.refused == []
            network.offer(OVERLOAD, 6, center=center)
            network.check()
            assert network.most_in_window() >= RATE * 5


def test_small_team_over_many_hosts_is_served() -> None:
    # Guards against fractions of tokens that no host can use.
    for center in ("", "d0"):
        with fake_network(
            hosts_per_center=13, rate_per_s=2, burst_size=2
        ) as network:
            network.offer(1.8, 60, center=center)
            network.check()
            ideal = network.count_ideal_refusals()
            assert len(network.refused) <= ideal
            assert max(network.waits_s) < 0.05


def test_over_the_limit_is_refused_at_once_with_the_time() -> None:
    # Guards against operations that queue for tokens.
    with fake_network() as network:
        network.offer(8 * RATE, 4)
        network.check()
        assert max(network.waits_s) < 0.06
        assert all(0 < r.retry_after_ms <= 5_000 for r in network.refusals)


def test_counting_host_dies() -> None:
    # Guards against a second host that creates tokens of its own.
    with fake_network() as network:
        dead = network.counting_host("d0")
        dead.is_alive = False
        network.offer(OVERLOAD, 7)
        network.check()
        assert network.counting_host("d0") is not dead
        network.settle(3)
        network.offer(0.5 * RATE, 3)
        assert _served(network) > 0.99


def test_operations_below_the_limit_are_served_while_a_host_is_dead() -> None:
    # Guards against refusals until the list of hosts changes.
    with fake_network() as network:
        network.counting_host("d0").is_alive = False
        network.offer(0.5 * RATE, 3)
        network.check()
        assert _served(network) > 0.98
        assert max(network.waits_s) < 0.1


def test_counting_host_freezes_and_resumes() -> None:
    # Guards against a resumed host that grants what it accrued.
    for duration_s in (0.5, 3.0):
        with fake_network() as network:
            frozen = network.counting_host("d0")
            frozen.is_frozen = True
            network.offer(OVERLOAD, duration_s)
            network.resume(frozen)
            network.offer(OVERLOAD, 4)
            network.check()


def test_counting_host_is_cut_off_from_half_of_each_data_centre() -> None:
    # Guards against two hosts that each count the whole share.
    with fake_network(hosts_per_center=4) as network:
        for center in network.center_names:
            counting = network.counting_host(center)
            hosts = [
                h.address
                for h in network.hosts.values()
                if h.center == center and h is not counting
            ]
            network.cut({counting.address}, set(hosts[:2]))
        network.offer(OVERLOAD, 8)
        network.check()


def test_data_centre_is_cut_off_and_returns() -> None:
    # Guards against tokens of a data centre that others count too.
    with fake_network() as network:
        inside = {a for a, h in network.hosts.items() if h.center == "d0"}
        network.cut(inside, set(network.hosts) - inside)
        for address in inside:
            network.hosts[address].has_leader = False
        network.offer(OVERLOAD, 4)
        network.cuts.clear()
        for address in inside:
            network.hosts[address].has_leader = True
        network.offer(OVERLOAD, 4)
        network.check()
        network.settle(2)
        network.offer(0.9 * RATE, 3)
        assert _served(network) > 0.99


def test_all_hosts_restart_at_once() -> None:
    # Guards against full buckets after a restart.
    with fake_network() as network:
        network.offer(OVERLOAD, 3)
        for address, host in list(network.hosts.items()):
            host.is_alive = False
            network.start(address, host.center)
        network.offer(OVERLOAD, 6)
        network.check()
        network.settle(3)
        network.offer(0.9 * RATE, 3)
        assert _served(network) > 0.99


def test_hosts_with_a_large_burst_restart_at_once() -> None:
    # Guards against a second burst after a restart.
    with fake_network(rate_per_s=60, burst_size=600, warm_up_s=14) as network:
        network.offer(900, 1)
        for address, host in list(network.hosts.items()):
            host.is_alive = False
            network.start(address, host.center)
        network.offer(900, 4)
        network.check()


def test_teams_within_their_limit_are_served_after_a_loss_of_power() -> None:
    """Guards against teams that are refused because buckets are empty.

    Callers repeat what failed while the power was off.
    """
    with fake_network(hosts_per_center=13) as network:
        network.offer(0.6 * RATE, 6)
        network.restart_all(uncounted=True)
        network.settle(0.6)

        network.offer(1.2 * RATE, 1)
        network.offer(0.6 * RATE, 4)

        assert len(network.refused) <= 0.02 * len(network.started)


def test_operations_that_do_not_run_use_up_no_limit() -> None:
    """Guards against limits that callers reach by repeating refusals.

    Two of three operations find no target, and only the others count.
    """
    with fake_network(hosts_per_center=13) as network:
        network.offer(0.6 * RATE, 6)
        network.idle_share = 0.65
        network.settle(0)

        network.offer(1.5 * RATE, 6)

        assert len(network.refused) <= 0.05 * len(network.started)


@pytest.mark.parametrize("rate_per_s", [18, RATE])
def test_callers_that_come_back_when_told_are_served(rate_per_s: int) -> None:
    """Guards against callers that are all told the time of one token.

    They use up their three tries for it.  For a while, half as much
    again as the limit allows is offered.
    """
    with fake_network(
        hosts_per_center=13, rate_per_s=rate_per_s, burst_size=rate_per_s
    ) as network:
        network.settle(0)
        network.tries = 3
        network.operations = 0
        network.offer(1.5 * rate_per_s, 8)
        network.loop.sleep(6)

        network.check()
        assert len(network.admitted) >= 0.85 * network.operations


def test_limit_holds_while_tokens_are_given_back() -> None:
    """Guards against tokens that are used later than they may be."""
    with fake_network() as network:
        network.idle_share = 0.5
        network.offer(5 * RATE, 8)
        network.idle_share = 0.0
        network.offer(5 * RATE, 6)

        network.check()


@pytest.mark.parametrize("outage_s", [0.0, 0.6, 2.0])
@pytest.mark.parametrize("rate_per_s", [2, RATE])
def test_limit_holds_over_a_loss_of_power(
    outage_s: float, rate_per_s: int
) -> None:
    """Guards against tokens that accrue twice for the same time."""
    with fake_network(rate_per_s=rate_per_s, burst_size=rate_per_s) as network:
        network.offer(3 * rate_per_s, 6)
        network.loop.sleep(outage_s)
        network.restart_all(uncounted=True)
        network.offer(3 * rate_per_s, 8)

        network.check()


def test_limit_is_lowered_far_below_what_a_team_sends() -> None:
    # Guards against tokens of the old limit, and a limit that stays.
    with fake_network() as network:
        network.offer(0.9 * RATE, 3)
        network.set_limit(2, 2)
        network.offer(0.9 * RATE, 7)
        known_s = network.loop.time() - 6.5
        assert network.most_in_window(known_s) <= network.allowed(2, 2)
        network.set_limit(RATE, BURST)
        network.settle(2)
        network.offer(0.9 * RATE, 3)
        network.check()
        assert _served(network) > 0.99


def test_limit_is_changed_twice_in_a_second() -> None:
    # Guards against a bucket that is filled anew by each change.
    with fake_network() as network:
        network.offer(OVERLOAD, 3)
        network.set_limit(RATE / 2, BURST / 2)
        network.offer(OVERLOAD, 0.4)
        network.set_limit(RATE, BURST)
        network.offer(OVERLOAD, 5)
        network.check()


def test_hosts_join() -> None:
    # Guards against two hosts that count while lists differ.
    with fake_network() as network:
        for number in range(3, 9):
            network.start(f"d0-{number}", "d0")
            network.offer(OVERLOAD, 1.5)
        network.check()


class LimitMachine(RuleBasedStateMachine):
    """Hosts with faults, lost, late and repeated messages."""

    def __init__(self) -> None:
        super().__init__()
        self._stack = contextlib.ExitStack()
        self.network = self._stack.enter_context(
            fake_network(centers=3, rate_per_s=40, burst_size=40)
        )

    def _host(self, number: int) -> Host:
        hosts = list(self.network.hosts.values())
        return hosts[number % len(hosts)]

    @rule(
        per_s=st.sampled_from([20, 100, 300]),
        center=st.sampled_from(["", "d0"]),
    )
    def offer(self, per_s: int, center: str) -> None:
        self.network.offer(per_s, 1, center=center)

    @rule(loss=st.sampled_from([0, 0.05, 0.3]), late=st.sampled_from([0, 0.2]))
    def disturb(self, loss: float, late: float) -> None:
        self.network.loss, self.network.late = loss, late

    @rule(number=st.integers(0, 8))
    def freeze_or_resume(self, number: int) -> None:
        host = self._host(number)
        if host.is_frozen:
            self.network.resume(host)
        else:
            host.is_frozen = True

    @rule(number=st.integers(0, 8))
    def restart(self, number: int) -> None:
        host = self._host(number)
        host.is_alive = False
        self.network.start(host.address, host.center)

    @rule(one=st.integers(0, 8), other=st.integers(0, 8))
    def cut(self, one: int, other: int) -> None:
        # In one direction only.
        pair = (self._host(one).address, self._host(other).address)
        self.network.cuts.add(pair)

    @rule(number=st.integers(0, 8))
    def lose_or_find_leader(self, number: int) -> None:
        host = self._host(number)
        host.has_leader = not host.has_leader

    @rule()
    def heal(self) -> None:
        """Without faults, nine tenths of the limit are served."""
        network = self.network
        network.loss = network.late = 0
        network.cuts.clear()
        for host in network.hosts.values():
            host.has_leader = True
            network.resume(host)
        network.loop.sleep(6)
        refused = len(network.refused)
        network.offer(0.9 * 40, 2)
        assert len(network.refused) == refused

    @invariant()
    def rule_is_kept(self) -> None:
        self.network.check()

    def teardown(self) -> None:
        self._stack.close()


TestLimits = LimitMachine.TestCase
TestLimits.settings = settings(
    max_examples=25, stateful_step_count=20, deadline=None, derandomize=True
)
