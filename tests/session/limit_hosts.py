"""Rate limits of many hosts over a fake network with a fake clock."""

from __future__ import annotations

import asyncio
import collections
import contextlib
import random
import selectors
from typing import TYPE_CHECKING, Any
from unittest import mock

import attrs

from rosemarysaddle._clock import NS_PER_S
from rosemarysaddle.decide import (
    LEASE_MS,
    EntryNode,
    LimitSettings,
    Refusal,
    RouteTable,
    TeamDirectory,
)
from rosemarysaddle.schema import Team, TokenGrant, TokenRequest
from rosemarysaddle.session import _rate_limits, _token_service
from rosemarysaddle.session._rate_limits import RateLimits

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

TEAM = "t"
WINDOW_S = 5.0
OVERAGE = 0.1
SLACK = 20
LEASE_S = LEASE_MS / 1_000
RENEWAL_S = 0.4
LIST_S = 0.5
TICK_S = 0.05
BACKOFF_S = 0.3
LOCAL_DELAY_S = 0.0005
REMOTE_DELAY_S = 0.012


class _VirtualSelector(selectors.SelectSelector):
    now_s = 1_000.0

    def select(self, timeout: float | None = None) -> list[Any]:
        assert timeout is not None, "the network waits forever"
        self.now_s += timeout
        return []


class VirtualLoop(asyncio.SelectorEventLoop):
    """Event loop whose time passes without waiting."""

    def __init__(self) -> None:
        self._virtual = _VirtualSelector()
        self.faults: list[dict[str, Any]] = []
        super().__init__(self._virtual)
        self.set_exception_handler(lambda _, fault: self.faults.append(fault))

    def time(self) -> float:
        return self._virtual.now_s

    def now_ns(self) -> int:
        return int(self._virtual.now_s * NS_PER_S)

    def sleep(self, duration_s: float) -> None:
        """Let a fake clock pass."""
        self.run_until_complete(asyncio.sleep(duration_s))


@attrs.define(kw_only=True, eq=False)
class Host:
    """Host on the fake network."""

    address: str
    center: str
    limits: RateLimits
    is_alive: bool = True
    is_frozen: bool = False
    has_leader: bool = True
    inbox: list[Callable[[], None]] = attrs.field(factory=list)

    @property
    def is_running(self) -> bool:
        return self.is_alive and not self.is_frozen

    def run(self, action: Callable[[], None]) -> None:
        """Run now, or when the host is resumed."""
        if self.is_frozen:
            self.inbox.append(action)
        elif self.is_alive:
            action()


@attrs.define(kw_only=True, eq=False)
class _Links:
    """Links of one host over the fake network."""

    network: FakeNetwork
    address: str
    requests: int = 0
    open_count: int = 0
    _down_until_s: dict[str, float] = attrs.field(factory=dict)

    @property
    def lost_hosts(self) -> int:
        return len(self._down_until_s)

    def is_down(self, host: str, now_ns: int) -> bool:
        return now_ns / NS_PER_S < self._down_until_s.get(host, 0)

    def request(
        self,
        host: str,
        *,
        team: str,
        count: int,
        transfer: bool,
        on_answer: Callable[[TokenGrant | None], None],
    ) -> None:
        self.requests += 1
        request = TokenRequest(
            request_id=self.requests, team=team, count=count, transfer=transfer
        )
        answered = False

        def answer(grant: TokenGrant) -> None:
            nonlocal answered
            if not answered:
                answered = True
                on_answer(grant)

        self.network.send(self.address, host, request, answer)

    def record_silence(self, host: str) -> None:
        now_s = self.network.loop.time()
        self._down_until_s[host] = now_s + BACKOFF_S

    def retain(self, hosts: set[str]) -> None:
        del hosts

    def tick(self, now_ns: int) -> None:
        del now_ns

    def close(self) -> None:
        pass


@attrs.define(kw_only=True, eq=False)
class FakeNetwork:
    """Hosts, their leader, and the network between them.

    :param idle_share: part of the admitted operations that find no
        target, do not run and give their token back
    :param tries: how often a caller tries; it comes back at another
        host at the time that it is told
    :param operations: number of operations, however often they tried
    :param admitted: times of the admitted operations, in seconds
    :param refused: times of the refused operations, in seconds
    """

    centers: int
    hosts_per_center: int
    rate_per_s: float
    burst_size: float
    seed: int = 1
    has_transfers: bool = True
    loss: float = 0.0
    late: float = 0.0
    idle_share: float = 0.0
    tries: int = 1
    operations: int = 0
    loop: VirtualLoop = attrs.field(factory=VirtualLoop)
    hosts: dict[str, Host] = attrs.field(factory=dict)
    cuts: set[tuple[str, str]] = attrs.field(factory=set)
    started: list[float] = attrs.field(factory=list)
    admitted: list[float] = attrs.field(factory=list)
    refused: list[float] = attrs.field(factory=list)
    refusals: list[Refusal] = attrs.field(factory=list)
    waits_s: list[float] = attrs.field(factory=list)
    messages: collections.Counter[bool] = attrs.field(
        factory=collections.Counter
    )
    random: random.Random = attrs.field(init=False)
    _renewed_s: dict[str, float] = attrs.field(factory=dict)
    _lists: dict[str, tuple[float, tuple[str, ...]]] = attrs.field(
        factory=dict
    )
    _tasks: set[asyncio.Task[None]] = attrs.field(factory=set)
    _gathering: set[str] = attrs.field(factory=set)

    def __attrs_post_init__(self) -> None:
        self.random = random.Random(self.seed)  # noqa: S311
        for center in self.center_names:
            for number in range(self.hosts_per_center):
                self.start(f"{center}-{number}", center)

    @property
    def center_names(self) -> tuple[str, ...]:
        return tuple(f"d{n}" for n in range(self.centers))

    def start(self, address: str, center: str) -> Host:
        """Start a host, or start it again without its state."""
        node = EntryNode(
            host=address,
            data_center=center,
            address="",
            control=["c"],
            lending_address=address,
        )
        limits = RateLimits(
            node=node,
            settings=LimitSettings(
                window_ns=int(WINDOW_S * NS_PER_S),
                overage=OVERAGE,
                slack=SLACK,
                data_center=center,
                data_centers=self.center_names,
            ),
            regions={},
            links=_Links(network=self, address=address),
        )
        host = Host(address=address, center=center, limits=limits)
        self.hosts[address] = host
        self._apply_limit(host)
        phase_s = self.random.random() * RENEWAL_S
        self.loop.call_later(phase_s, self._renew, host)
        self.loop.call_later(0, self._tick, host)
        return host

    def restart_all(self, *, uncounted: bool) -> None:
        """Start all hosts again, as after a loss of power.

        The leader sends the lists once all hosts have renewed.

        :param uncounted: whether it knows that all hosts have restarted
        """
        self._renewed_s.clear()
        self._lists.clear()
        self._gathering = set(self.hosts)
        now_ns = self.loop.now_ns()
        for host in list(self.hosts.values()):
            host.is_alive = False
            started = self.start(host.address, host.center)
            if uncounted:
                started.limits.node.uncounted_since_ns = now_ns

    def set_limit(self, rate_per_s: float, burst_size: float) -> None:
        """Change the limit; hosts learn of it when they renew."""
        self.rate_per_s, self.burst_size = rate_per_s, burst_size

    def send(
        self,
        source: str,
        destination: str,
        request: TokenRequest,
        answer: Callable[[TokenGrant], None],
    ) -> None:
        """Send a request, which may be lost, late or answered twice."""
        self.messages[request.transfer] += 1

        def deliver_answer(grant: TokenGrant) -> None:
            origin = self.hosts[source]
            for _ in range(2 if self.random.random() < self.late else 1):
                self._deliver(
                    destination,
                    source,
                    lambda: origin.run(lambda: answer(grant)),
                )

        def handle() -> None:
            host = self.hosts[destination]
            host.run(
                lambda: host.limits.handle_request(request, deliver_answer)
            )

        self._deliver(source, destination, handle)

    def _deliver(
        self, source: str, destination: str, action: Callable[[], None]
    ) -> None:
        if (source, destination) in self.cuts:
            return
        if self.random.random() < self.loss:
            return
        is_local = self.hosts[source].center == self.hosts[destination].center
        delay_s = LOCAL_DELAY_S if is_local else REMOTE_DELAY_S
        if self.random.random() < self.late:
            delay_s += self.random.random()
        self.loop.call_later(delay_s, action)

    def _tick(self, host: Host) -> None:
        if self.hosts.get(host.address) is not host:
            return
        if host.is_running:
            host.limits.tick(self.loop.now_ns())
        if host.is_alive:
            self.loop.call_later(TICK_S, self._tick, host)

    def _renew(self, host: Host) -> None:
        if self.hosts.get(host.address) is not host or not host.is_alive:
            return
        self.loop.call_later(RENEWAL_S, self._renew, host)
        if not host.has_leader or host.is_frozen:
            return
        now_s = self.loop.time()
        self._renewed_s[host.address] = now_s
        node = host.limits.node
        node.lease.deadline_ns = int((now_s + LEASE_S) * NS_PER_S)
        if self._gathering:
            self._gathering.discard(host.address)
            if not self._gathering:
                for other in list(self.hosts.values()):
                    self._apply_lists(other)
            return
        self._apply_lists(host)

    def _apply_lists(self, host: Host) -> None:
        node = host.limits.node
        node.neighbours = self._list(host.center)
        if self.has_transfers:
            node.remote_hosts = {c: self._list(c) for c in self.center_names}
        self._apply_limit(host)
        host.limits.apply_view()

    def _apply_limit(self, host: Host) -> None:
        state = host.limits.node.state
        team = Team(
            name=TEAM,
            api_keys=(),
            rate_per_s=self.rate_per_s,
            burst_size=self.burst_size,
        )
        if state.routes.team(TEAM) != team:
            state.routes = RouteTable(teams=TeamDirectory.of([team]))

    def _list(self, center: str) -> tuple[str, ...]:
        now_s = self.loop.time()
        made_s, addresses = self._lists.get(center, (0.0, ()))
        if now_s >= made_s + LIST_S:
            addresses = tuple(
                address
                for address, host in self.hosts.items()
                if host.center == center
                and now_s < self._renewed_s.get(address, 0) + LEASE_S
            )
            self._lists[center] = (now_s, addresses)
        return addresses

    # --- faults ---

    def counting_host(self, center: str) -> Host:
        """Return the host that counts in a data centre."""
        some = next(
            h
            for h in self.hosts.values()
            if h.center == center and h.is_running
        )
        return self.hosts[some.limits.counter.hosts.ranking(TEAM)[0]]

    def cut(self, some: set[str], others: set[str]) -> None:
        """Cut two sets of hosts off from each other."""
        for one in some:
            for other in others - {one}:
                self.cuts.update({(one, other), (other, one)})

    def resume(self, host: Host) -> None:
        """Resume a frozen host, which then handles what it received."""
        host.is_frozen = False
        inbox, host.inbox = host.inbox, []
        for action in inbox:
            self.loop.call_soon(action)

    # --- load ---

    def operate(self, host: Host) -> None:
        """Start one operation at a host."""
        self.operations += 1
        task = self.loop.create_task(self._operate(host, self.tries))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _operate(self, host: Host, tries: int) -> None:
        if not host.is_running:
            return
        start_s = self.loop.time()
        self.started.append(start_s)
        result = await host.limits.admit(TEAM)
        self.waits_s.append(self.loop.time() - start_s)
        if isinstance(result, Refusal):
            self.refused.append(self.loop.time())
            self.refusals.append(result)
            if tries > 1:
                await asyncio.sleep(result.retry_after_ms / 1_000)
                other = self.random.choice(list(self.hosts.values()))
                await self._operate(other, tries - 1)
        elif self.random.random() < self.idle_share:
            host.limits.give_back(result)
        else:
            self.admitted.append(self.loop.time())

    def offer(
        self, per_s: float, duration_s: float, *, center: str = ""
    ) -> None:
        """Offer operations with Poisson arrivals at random hosts."""
        end_s = self.loop.time() + duration_s
        hosts = [
            a
            for a, h in self.hosts.items()
            if not center or h.center == center
        ]
        while (gap_s := self.random.expovariate(per_s)) is not None:
            if self.loop.time() + gap_s >= end_s:
                break
            self.loop.sleep(gap_s)
            self.operate(self.hosts[self.random.choice(hosts)])
        self.loop.sleep(max(0.0, end_s - self.loop.time()))

    # --- checks ---

    def settle(self, duration_s: float) -> None:
        """Let time pass, and forget the operations before."""
        self.loop.sleep(duration_s)
        for results in (
            self.started,
            self.admitted,
            self.refused,
            self.waits_s,
        ):
            results.clear()
        self.refusals.clear()

    def most_in_window(self, since_s: float = 0) -> int:
        """Count the operations in the window that has most of them."""
        times = sorted(t for t in self.admitted if t >= since_s)
        start = most = 0
        for end, time_s in enumerate(times):
            while times[start] < time_s - WINDOW_S:
                start += 1
            most = max(most, end - start + 1)
        return most

    def count_ideal_refusals(self) -> int:
        """Count what one token bucket for all hosts would refuse."""
        level, last_s, refused = self.burst_size, 0.0, 0
        for time_s in sorted(self.started):
            accrued = (time_s - last_s) * self.rate_per_s
            level = min(self.burst_size, level + accrued)
            last_s = time_s
            if level >= 1:
                level -= 1
            else:
                refused += 1
        return refused

    def allowed(self, rate_per_s: float, burst_size: float) -> float:
        """Return how many operations the rule allows in a window."""
        most = rate_per_s * WINDOW_S + burst_size
        return most * (1 + OVERAGE) + SLACK

    def check(self) -> None:
        """Check that the rule held, and that nothing failed."""
        assert not self.loop.faults, self.loop.faults
        allowed = self.allowed(self.rate_per_s, self.burst_size)
        assert self.most_in_window() <= allowed


@contextlib.contextmanager
def fake_network(
    *,
    centers: int = 6,
    hosts_per_center: int = 3,
    rate_per_s: float = 149,
    burst_size: float = 149,
    seed: int = 1,
    has_transfers: bool = True,
    warm_up_s: float = 4.0,
) -> Iterator[FakeNetwork]:
    """Run hosts in a fake clock; no task may fail."""
    network = FakeNetwork(
        centers=centers,
        hosts_per_center=hosts_per_center,
        rate_per_s=rate_per_s,
        burst_size=burst_size,
        seed=seed,
        has_transfers=has_transfers,
    )
    loop = network.loop
    with (
        mock.patch.object(_rate_limits, "clock_ns", loop.now_ns),
        mock.patch.object(_token_service, "clock_ns", loop.now_ns),
        mock.patch("rosemarysaddle._tasks.logging.error") as on_defect,
    ):
        try:
            loop.sleep(warm_up_s)
            yield network
            assert not loop.faults, loop.faults
            assert not on_defect.called
        finally:
            for host in network.hosts.values():
                host.is_alive = False
            loop.sleep(2.0)
            loop.close()
