"""Tests of rate limits while hosts, links and limits fail or change.

Each test offers a team's operations to simulated hosts and counts what
is admitted in any window.
"""

from __future__ import annotations

import contextlib
from typing import TYPE_CHECKING

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from tests.session.limits_simulation import simulate

if TYPE_CHECKING:
    from tests.session.limits_simulation import Host, Simulation

RATE = 149
BURST = 149
OVERLOAD = 3 * RATE


def _served(simulation: Simulation) -> float:
    asked = len(simulation.admitted) + len(simulation.refused)
    return len(simulation.admitted) / asked


def test_limit_is_served_by_many_hosts_and_not_exceeded() -> None:
    # Guards against refusals below the limit because it is divided.
    for center in ("", "d0"):
        with simulate(hosts_per_center=13) as simulation:
            simulation.offer(0.9 * RATE, 6, center=center)
            assert simulation.refused == []
            simulation.offer(OVERLOAD, 6, center=center)
            simulation.check()
            assert simulation.most_in_window() >= RATE * 5


def test_small_team_over_many_hosts_is_served() -> None:
    # Guards against fractions of tokens that no host can use.
    for center in ("", "d0"):
        with simulate(
            hosts_per_center=13, rate_per_s=2, burst_size=2
        ) as simulation:
            simulation.offer(1.8, 60, center=center)
            simulation.check()
            ideal = simulation.count_ideal_refusals()
            assert len(simulation.refused) <= ideal
            assert max(simulation.waits_s) < 0.05


def test_over_the_limit_is_refused_at_once_with_the_time() -> None:
    # Guards against operations that queue for tokens.
    with simulate() as simulation:
        simulation.offer(8 * RATE, 4)
        simulation.check()
        assert max(simulation.waits_s) < 0.06
        assert all(0 < r.retry_after_ms <= 5_000 for r in simulation.refusals)


def test_counting_host_dies() -> None:
    # Guards against a second host that creates tokens of its own.
    with simulate() as simulation:
        dead = simulation.counting_host("d0")
        dead.is_alive = False
        simulation.offer(OVERLOAD, 7)
        simulation.check()
        assert simulation.counting_host("d0") is not dead
        simulation.settle(3)
        simulation.offer(0.5 * RATE, 3)
        assert _served(simulation) > 0.99


def test_operations_below_the_limit_are_served_while_a_host_is_dead() -> None:
    # Guards against refusals until the list of hosts changes.
    with simulate() as simulation:
        simulation.counting_host("d0").is_alive = False
        simulation.offer(0.5 * RATE, 3)
        simulation.check()
        assert _served(simulation) > 0.98
        assert max(simulation.waits_s) < 0.1


def test_counting_host_freezes_and_resumes() -> None:
    # Guards against a resumed host that grants what it accrued.
    for duration_s in (0.5, 3.0):
        with simulate() as simulation:
            frozen = simulation.counting_host("d0")
            frozen.is_frozen = True
            simulation.offer(OVERLOAD, duration_s)
            simulation.resume(frozen)
            simulation.offer(OVERLOAD, 4)
            simulation.check()


def test_counting_host_is_cut_off_from_half_of_each_data_centre() -> None:
    # Guards against two hosts that each count the whole share.
    with simulate(hosts_per_center=4) as simulation:
        for center in simulation.center_names:
            counting = simulation.counting_host(center)
            hosts = [
                h.address
                for h in simulation.hosts.values()
                if h.center == center and h is not counting
            ]
            simulation.cut({counting.address}, set(hosts[:2]))
        simulation.offer(OVERLOAD, 8)
        simulation.check()


def test_data_centre_is_cut_off_and_returns() -> None:
    # Guards against tokens of a data centre that others count too.
    with simulate() as simulation:
        inside = {a for a, h in simulation.hosts.items() if h.center == "d0"}
        simulation.cut(inside, set(simulation.hosts) - inside)
        for address in inside:
            simulation.hosts[address].has_leader = False
        simulation.offer(OVERLOAD, 4)
        simulation.cuts.clear()
        for address in inside:
            simulation.hosts[address].has_leader = True
        simulation.offer(OVERLOAD, 4)
        simulation.check()
        simulation.settle(2)
        simulation.offer(0.9 * RATE, 3)
        assert _served(simulation) > 0.99


def test_all_hosts_restart_at_once() -> None:
    # Guards against full buckets after a restart.
    with simulate() as simulation:
        simulation.offer(OVERLOAD, 3)
        for address, host in list(simulation.hosts.items()):
            host.is_alive = False
            simulation.start(address, host.center)
        simulation.offer(OVERLOAD, 6)
        simulation.check()
        simulation.settle(3)
        simulation.offer(0.9 * RATE, 3)
        assert _served(simulation) > 0.99


def test_hosts_with_a_large_burst_restart_at_once() -> None:
    # Guards against a second burst after a restart.
    with simulate(rate_per_s=60, burst_size=600, warm_up_s=14) as simulation:
        simulation.offer(900, 1)
        for address, host in list(simulation.hosts.items()):
            host.is_alive = False
            simulation.start(address, host.center)
        simulation.offer(900, 4)
        simulation.check()


def test_limit_is_lowered_far_below_what_a_team_sends() -> None:
    # Guards against tokens of the old limit, and a limit that stays.
    with simulate() as simulation:
        simulation.offer(0.9 * RATE, 3)
        simulation.set_limit(2, 2)
        simulation.offer(0.9 * RATE, 7)
        known_s = simulation.loop.time() - 6.5
        assert simulation.most_in_window(known_s) <= simulation.allowed(2, 2)
        simulation.set_limit(RATE, BURST)
        simulation.settle(2)
        simulation.offer(0.9 * RATE, 3)
        simulation.check()
        assert _served(simulation) > 0.99


def test_limit_is_changed_twice_in_a_second() -> None:
    # Guards against a bucket that is filled anew by each change.
    with simulate() as simulation:
        simulation.offer(OVERLOAD, 3)
        simulation.set_limit(RATE / 2, BURST / 2)
        simulation.offer(OVERLOAD, 0.4)
        simulation.set_limit(RATE, BURST)
        simulation.offer(OVERLOAD, 5)
        simulation.check()


def test_hosts_join() -> None:
    # Guards against two hosts that count while lists differ.
    with simulate() as simulation:
        for number in range(3, 9):
            simulation.start(f"d0-{number}", "d0")
            simulation.offer(OVERLOAD, 1.5)
        simulation.check()


class LimitMachine(RuleBasedStateMachine):
    """Hosts with faults, lost, late and repeated messages."""

    def __init__(self) -> None:
        super().__init__()
        self._stack = contextlib.ExitStack()
        self.simulation = self._stack.enter_context(
            simulate(centers=3, rate_per_s=40, burst_size=40)
        )

    def _host(self, number: int) -> Host:
        hosts = list(self.simulation.hosts.values())
        return hosts[number % len(hosts)]

    @rule(
        per_s=st.sampled_from([20, 100, 300]),
        center=st.sampled_from(["", "d0"]),
    )
    def offer(self, per_s: int, center: str) -> None:
        self.simulation.offer(per_s, 1, center=center)

    @rule(loss=st.sampled_from([0, 0.05, 0.3]), late=st.sampled_from([0, 0.2]))
    def disturb(self, loss: float, late: float) -> None:
        self.simulation.loss, self.simulation.late = loss, late

    @rule(number=st.integers(0, 8))
    def freeze_or_resume(self, number: int) -> None:
        host = self._host(number)
        if host.is_frozen:
            self.simulation.resume(host)
        else:
            host.is_frozen = True

    @rule(number=st.integers(0, 8))
    def restart(self, number: int) -> None:
        host = self._host(number)
        host.is_alive = False
        self.simulation.start(host.address, host.center)

    @rule(one=st.integers(0, 8), other=st.integers(0, 8))
    def cut(self, one: int, other: int) -> None:
        # In one direction only.
        pair = (self._host(one).address, self._host(other).address)
        self.simulation.cuts.add(pair)

    @rule(number=st.integers(0, 8))
    def lose_or_find_leader(self, number: int) -> None:
        host = self._host(number)
        host.has_leader = not host.has_leader

    @rule()
    def heal(self) -> None:
        """Without faults, nine tenths of the limit are served."""
        simulation = self.simulation
        simulation.loss = simulation.late = 0
        simulation.cuts.clear()
        for host in simulation.hosts.values():
            host.has_leader = True
            simulation.resume(host)
        simulation.loop.sleep(6)
        refused = len(simulation.refused)
        simulation.offer(0.9 * 40, 2)
        assert len(simulation.refused) == refused

    @invariant()
    def rule_is_kept(self) -> None:
        self.simulation.check()

    def teardown(self) -> None:
        self._stack.close()


TestLimits = LimitMachine.TestCase
TestLimits.settings = settings(
    max_examples=25, stateful_step_count=20, deadline=None, derandomize=True
)
