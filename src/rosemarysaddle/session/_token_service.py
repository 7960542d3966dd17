"""Answers requests for tokens, as a counting host.

A counting host grants tokens of its buckets to the hosts of its data
centre, and requests some from the counting hosts of other data centres
when it runs short.
"""

from __future__ import annotations

import asyncio
import collections
import math
from typing import TYPE_CHECKING, Final, Protocol

import attrs

from rosemarysaddle._clock import NS_PER_S, clock_ns
from rosemarysaddle._durations import DurationHistogram
from rosemarysaddle._events import log_event
from rosemarysaddle.decide import (
    NS_PER_MS,
    CountingHosts,
    TokenCounter,
    rank_hosts,
)
from rosemarysaddle.schema import TokenGrant

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from rosemarysaddle.decide import (
        EntryNode,
        LimitSettings,
        LimitShare,
        RouteTable,
    )
    from rosemarysaddle.schema import Team, TokenRequest

__all__ = (
    "WAIT_BOUNDS_MS",
    "RateLimitStats",
    "TokenRequester",
    "TokenService",
)

# Time that a counting host holds a request for a transfer; one between
# regions takes 24 ms.
HOLD_TIMEOUT_MS: Final = 35
# While all hosts admit what has waited for their start.
SETTLING_HOLD_TIMEOUT_MS: Final = 120
MAX_TRANSFER_BACKOFF_MS: Final = 1_000
MIN_GIVERS: Final = 2
# A host that gave less than was asked for accrues more in the meantime.
SHORT_TRANSFER_BACKOFF_MS: Final = 50
UNKNOWN_TEAM_WAIT_MS: Final = 250
MAX_HELD_REQUESTS: Final = 256
IDLE_MS: Final = 60_000
WAIT_BOUNDS_MS: Final = (1, 2, 5, 10, 20, 50, 90)


class TokenRequester(Protocol):
    """Sends requests for tokens to other hosts."""

    @property
    def open_count(self) -> int:
        """Number of open links."""

    @property
    def lost_hosts(self) -> int:
        """Number of hosts that did not answer the last request."""

    @property
    def requests(self) -> int:
        """Number of requests sent."""

    def is_down(self, host: str, now_ns: int) -> bool:
        """Return whether a host is skipped because it seems down."""

    def request(
        self,
        host: str,
        *,
        team: str,
        count: int,
        transfer: bool,
        on_answer: Callable[[TokenGrant | None], None],
    ) -> None:
        """Send a request; the answer is None if the link is lost."""

    def record_silence(self, host: str) -> None:
        """Record that a host did not answer in time."""

    def retain(self, hosts: set[str]) -> None:
        """Forget the state of hosts that are no longer listed."""

    def tick(self, now_ns: int) -> None:
        """Close idle links."""

    def close(self) -> None:
        """Close all links."""


@attrs.define(kw_only=True)
class RateLimitStats:
    """Counts of the rate limits of this host, for all teams together.

    :param granted: operations that were admitted
    :param refused: operations that were refused, by cause
    :param given_back: tokens of operations that did not run
    :param transferred: tokens received from and given to other data
        centres, by direction
    :param answered: requests of other hosts that were answered
    :param waits: waits of the operations that were admitted
    """

    granted: int = 0
    given_back: int = 0
    refused: collections.Counter[str] = attrs.field(
        factory=collections.Counter
    )
    transferred: collections.Counter[str] = attrs.field(
        factory=collections.Counter
    )
    answered: int = 0
    waits: DurationHistogram = attrs.field(
        factory=lambda: DurationHistogram(bounds_ms=WAIT_BOUNDS_MS)
    )


@attrs.define(kw_only=True, eq=False)
class _Held:
    """Request that waits for tokens of another data centre."""

    count: int
    on_answer: Callable[[int, int], None]
    is_done: bool = False


@attrs.define(kw_only=True, eq=False)
class _Transfers:
    """Transfers of one team to this host.

    :param in_flight: tokens requested from each host
    :param backoff_ns: time until which a host is not asked again
    """

    in_flight: dict[str, int] = attrs.field(factory=dict)
    backoff_ns: dict[str, int] = attrs.field(factory=dict)
    asked_ns: dict[str, int] = attrs.field(factory=dict)
    held: collections.deque[_Held] = attrs.field(factory=collections.deque)

    def is_idle(self, now_ns: int) -> bool:
        """Return whether nothing was requested for a minute."""
        idle_ns = now_ns - max(self.asked_ns.values(), default=0)
        return not self.held and idle_ns > IDLE_MS * NS_PER_MS

    @property
    def waiting(self) -> int:
        """Number of tokens that the held requests lack."""
        return sum(held.count for held in self.held if not held.is_done)


@attrs.define(kw_only=True, eq=False)
class TokenService:
    """Tokens of all teams that this host counts.

    :param regions: region of each data centre
    :param links: links to the other hosts
    :param settled_ns: time until which hosts that started together are
        slow to answer
    """

    node: EntryNode
    settings: LimitSettings
    regions: Mapping[str, str]
    links: TokenRequester
    settled_ns: int = attrs.field(default=0, init=False)
    counter: TokenCounter = attrs.field(init=False)
    stats: RateLimitStats = attrs.field(factory=RateLimitStats, init=False)
    _shares: dict[str, tuple[Team, LimitShare | None]] = attrs.field(
        factory=dict, init=False
    )
    _transfers: dict[str, _Transfers] = attrs.field(factory=dict, init=False)
    _givers: dict[str, tuple[tuple[str, bool], ...]] = attrs.field(
        factory=dict, init=False
    )
    _remote: dict[str, tuple[str, ...]] = attrs.field(factory=dict, init=False)
    _routes: RouteTable | None = attrs.field(default=None, init=False)
    _takeover_teams: set[str] = attrs.field(factory=set, init=False)

    def __attrs_post_init__(self) -> None:
        """Create the counter of this host."""
        self.counter = TokenCounter(
            settings=self.settings,
            hosts=CountingHosts(own=self.node.lending_address),
        )

    @property
    def is_enabled(self) -> bool:
        """Return whether the settings enable limits."""
        return self.settings.window_ns > 0

    def apply_view(self) -> bool:
        """Apply a changed list of hosts or a changed plan.

        :return: whether the hosts of the data centre are known
        """
        now_ns = clock_ns()
        hosts = self.node.neighbours
        if not self.node.lending_address:
            # Without lending, this host serves its data centre alone.
            hosts = (self.node.lending_address,)
        if hosts:
            self.observe_lease(now_ns)
            self.counter.replace_hosts(
                hosts, now_ns, uncounted_since_ns=self.node.uncounted_since_ns
            )
        if self.node.remote_hosts != self._remote:
            self._remote = dict(self.node.remote_hosts)
            self._givers.clear()
        self.links.retain({*hosts}.union(*self._remote.values()))
        routes = self.node.state.routes
        if routes is not self._routes:
            self._routes = routes
            self._apply_limits(now_ns)
        return bool(hosts)

    def _apply_limits(self, now_ns: int) -> None:
        for team in self.counter.teams:
            share = self.share(team)
            if share is not None:
                self.counter.apply_share(team, share, now_ns)

    def clean(self, now_ns: int) -> None:
        """Close idle links and forget idle teams."""
        self.links.tick(now_ns)
        self.counter.forget_idle(now_ns)
        directory = self.node.state.routes.teams
        teams = directory.by_name if directory is not None else {}
        if len(self._shares) > len(teams):
            kept = self._shares.items()
            self._shares = {n: s for n, s in kept if n in teams}
        self._takeover_teams.intersection_update(self._shares)
        for team, transfers in list(self._transfers.items()):
            if transfers.is_idle(now_ns):
                del self._transfers[team]

    def counting_host(self, team: str) -> str:
        """Return the address of the host that counts for a team."""
        ranking = self.counter.hosts.ranking(team)
        return ranking[0] if ranking else "-"

    def is_own(self, team: str) -> bool:
        """Return whether this host counts for a team."""
        ranking = self.counter.hosts.ranking(team)
        return bool(ranking) and ranking[0] == self.counter.hosts.own

    def handle_request(
        self, request: TokenRequest, reply: Callable[[TokenGrant], None]
    ) -> None:
        """Answer a request of another host, now or after a transfer."""
        self.stats.answered += 1

        def answer(count: int, wait_ms: int) -> None:
            grant = TokenGrant(
                request_id=request.request_id,
                team=request.team,
                count=count,
                wait_ms=wait_ms,
            )
            reply(grant)

        team = self.node.state.routes.team(request.team)
        if team is None:
            # The plan that has the team arrives here later.
            answer(0, UNKNOWN_TEAM_WAIT_MS)
            return
        share = self.share(request.team)
        if share is None:
            answer(request.count, 0)
            return
        now_ns = clock_ns()
        self.observe_lease(now_ns)
        if not request.transfer:
            self._count(request.team, share, request.count, answer)
            return
        given = self.counter.give(request.team, share, request.count, now_ns)
        self.stats.transferred["given"] += given
        wait_ms = 0
        if not given and self.counter.is_counting(now_ns):
            wait_ms = self.counter.give_wait_ms(request.team, share, now_ns)
        answer(given, wait_ms)

    def _wait_ms(
        self, team: str, share: LimitShare, granted: int, *, now_ns: int
    ) -> int:
        if granted or not self.counter.is_counting(now_ns):
            return 0
        return self.counter.wait_ms(team, share, now_ns)

    def count_own(
        self,
        team: str,
        count: int,
        on_answer: Callable[[TokenGrant | None], None],
    ) -> None:
        """Request tokens of a team from this host itself."""
        share = self.share(team)

        def answer(granted: int, wait_ms: int) -> None:
            grant = TokenGrant(
                request_id=0, team=team, count=granted, wait_ms=wait_ms
            )
            on_answer(grant)

        if share is None:
            answer(count, 0)
            return
        self.observe_lease(clock_ns())
        self._count(team, share, count, answer)

    def _count(
        self,
        team: str,
        share: LimitShare,
        count: int,
        on_answer: Callable[[int, int], None],
    ) -> None:
        now_ns = clock_ns()
        if self.counter.is_counting(now_ns):
            self._log_takeover(team)
        granted = self.counter.grant(team, share, count, now_ns)
        self.start_transfers(
            team, share, now_ns, lacking=0 if granted else count
        )
        transfers = self._transfers.get(team)
        if (
            granted
            or transfers is None
            or not transfers.in_flight
            or len(transfers.held) >= MAX_HELD_REQUESTS
        ):
            on_answer(
                granted, self._wait_ms(team, share, granted, now_ns=now_ns)
            )
            return
        held = _Held(count=count, on_answer=on_answer)
        transfers.held.append(held)
        timeout_ms = HOLD_TIMEOUT_MS
        if now_ns < self.settled_ns:
            timeout_ms = SETTLING_HOLD_TIMEOUT_MS
        asyncio.get_running_loop().call_later(
            timeout_ms / 1_000, self._end_hold, team, share, held
        )

    def _end_hold(self, team: str, share: LimitShare, held: _Held) -> None:
        if held.is_done:
            return
        held.is_done = True
        transfers = self._transfers.get(team)
        if transfers is not None and held in transfers.held:
            transfers.held.remove(held)
        held.on_answer(0, self._wait_ms(team, share, 0, now_ns=clock_ns()))

    def _log_takeover(self, team: str) -> None:
        if self.is_own(team):
            self._takeover_teams.discard(team)
        elif team not in self._takeover_teams:
            self._takeover_teams.add(team)
            log_event(
                "limit-takeover",
                f"team={team} first={self.counting_host(team)}",
            )

    # --- transfers from other data centres ---

    def start_transfers(
        self, team: str, share: LimitShare, now_ns: int, *, lacking: int = 0
    ) -> None:
        """Request tokens of other data centres if some are lacking."""
        if not self._remote and self.is_own(team):
            return
        transfers = self._transfers.get(team)
        waiting = lacking
        in_flight = 0
        if transfers is not None:
            waiting += transfers.waiting
            in_flight = sum(transfers.in_flight.values())
        need = self.counter.shortage(
            team, share, waiting=waiting, now_ns=now_ns
        )
        need -= in_flight
        if need <= 0:
            return
        if transfers is None:
            transfers = self._transfers[team] = _Transfers()
        givers = self._eligible_givers(team, transfers, now_ns)
        if waiting:
            # The first one may have nothing to give, and there is no
            # time to ask the next one after it.
            need = max(need, MIN_GIVERS)
        chunk = math.ceil(need / max(1, min(need, len(givers))))
        for host in givers[:need]:
            self._request_transfer(team, transfers, host, chunk)

    def _eligible_givers(
        self, team: str, transfers: _Transfers, now_ns: int
    ) -> list[str]:
        known = self._givers.get(team)
        if known is None:
            region = self.regions.get(self.node.data_center)
            known = tuple(
                (
                    rank_hosts(hosts, team)[0],
                    self.regions.get(center) != region,
                )
                for center, hosts in sorted(self._remote.items())
                if hosts and center != self.node.data_center
            )
            self._givers[team] = known
        found = list(known)
        if not self.is_own(team) and self.counter.hosts.hosts:
            # It may only be out of reach of the host that asks.
            found.append((self.counting_host(team), False))
        asked_ns = transfers.asked_ns
        eligible = [
            (is_far, asked_ns.get(host, 0), host)
            for host, is_far in found
            if host not in transfers.in_flight
            and now_ns >= transfers.backoff_ns.get(host, 0)
            and not self.links.is_down(host, now_ns)
        ]
        return [host for _, _, host in sorted(eligible)]

    def _request_transfer(
        self, team: str, transfers: _Transfers, host: str, count: int
    ) -> None:
        sent_ns = clock_ns()
        transfers.in_flight[host] = count
        transfers.asked_ns[host] = sent_ns
        timer = asyncio.get_running_loop().call_later(
            self.settings.transfer_age_ns / NS_PER_S,
            lambda: handle(None, is_silent=True),
        )
        is_done = False

        def handle(
            answer: TokenGrant | None, *, is_silent: bool = False
        ) -> None:
            nonlocal is_done
            if is_done:
                return
            is_done = True
            timer.cancel()
            if is_silent:
                self.links.record_silence(host)
            self._handle_transfer(team, transfers, host, answer, sent_ns)

        self.links.request(
            host, team=team, count=count, transfer=True, on_answer=handle
        )

    def _handle_transfer(
        self,
        team: str,
        transfers: _Transfers,
        host: str,
        answer: TokenGrant | None,
        sent_ns: int,
    ) -> None:
        now_ns = clock_ns()
        wanted = transfers.in_flight.pop(host, 0)
        given = answer.count if answer is not None else 0
        if given < wanted:
            wait_ms = SHORT_TRANSFER_BACKOFF_MS
            if not given:
                wait_ms = answer.wait_ms if answer is not None else 0
                wait_ms = wait_ms or MAX_TRANSFER_BACKOFF_MS
                wait_ms = min(MAX_TRANSFER_BACKOFF_MS, wait_ms)
            transfers.backoff_ns[host] = now_ns + wait_ms * NS_PER_MS
        share = self.share(team)
        if share is None:
            return
        self.observe_lease(now_ns)
        if given:
            self.stats.transferred["received"] += given
            usable = self.counter.accept(
                team,
                share,
                given,
                waiting=transfers.waiting,
                sent_ns=sent_ns,
                now_ns=now_ns,
            )
            _serve_held(transfers, usable)
        self.start_transfers(team, share, now_ns)
        if not transfers.in_flight:
            for held in list(transfers.held):
                self._end_hold(team, share, held)

    def share(self, team: str) -> LimitShare | None:
        """Return the share of a team's limit; None without a limit."""
        if not self.is_enabled:
            return None
        found = self.node.state.routes.team(team)
        if found is None:
            return None
        cached = self._shares.get(team)
        if cached is None or (cached[0] is not found and cached[0] != found):
            cached = (found, self.settings.share(found))
            self._shares[team] = cached
        return cached[1]

    def observe_lease(self, now_ns: int) -> bool:
        """Record whether the lease of this host holds."""
        return self.counter.observe_lease(self.node.lease.deadline_ns, now_ns)


def _serve_held(transfers: _Transfers, tokens: int) -> None:
    while tokens and transfers.held:
        held = transfers.held.popleft()
        if held.is_done:
            continue
        held.is_done = True
        granted = min(tokens, held.count)
        tokens -= granted
        held.on_answer(granted, 0)
