"""Rate limits of teams: admits operations or refuses them.

The host keeps tokens of each team and requests more from the team's
counting host.  The decisions are in :mod:`rosemarysaddle.decide.load`.
"""

from __future__ import annotations

import asyncio
import collections
import contextlib
from typing import TYPE_CHECKING, Final

import attrs

from rosemarysaddle._clock import NS_PER_S, clock_ns
from rosemarysaddle._events import log_event
from rosemarysaddle._tasks import spawn
from rosemarysaddle.connection import TokenLinks
from rosemarysaddle.decide import (
    NS_PER_MS,
    DemandRate,
    Reason,
    Refusal,
    ReturnTimes,
    Step,
    TokenStock,
    reserve_share,
)
from rosemarysaddle.session._token_service import TokenService

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from rosemarysaddle.decide import (
        EntryNode,
        LimitSettings,
        LimitShare,
        TokenCounter,
    )
    from rosemarysaddle.schema import TokenGrant, TokenRequest
    from rosemarysaddle.session._token_service import (
        RateLimitStats,
        TokenRequester,
    )

__all__ = ("NO_TOKEN", "AdmissionToken", "RateLimits")

# The host that counts and the next one in the ranking.
MAX_HOSTS_ASKED: Final = 2
# Time after which a host that reaches no counting host has usually
# learned of another one.
UNREACHABLE_RETRY_MS: Final = 250
# After a start, the list of the counting hosts follows the lease once
# nearly all hosts have one.  A caller that is refused meanwhile uses up
# a retry and comes back later than the list.
FIRST_LIST_TIMEOUT_MS: Final = 500
SETTLING_MS: Final = 1_000
CLEAN_INTERVAL_MS: Final = 1_000
# A team without a refusal for this long is no longer refused.
REFUSED_HOLD_MS: Final = 5_000
IDLE_MS: Final = 60_000


@attrs.frozen(kw_only=True)
class _Timeouts:
    """Times after which an operation no longer waits for a token.

    :param admit_ms: for all of its wait
    :param answered_ms: after an answer; it is over the limit then
        unless a transfer was in flight, which has arrived by that time
    :param request_ms: for the answer of one host, which includes a
        transfer between data centres
    """

    admit_ms: int
    answered_ms: int
    request_ms: int


# A refusal after a quarter of the latency objective (400 ms and more)
# would be late.
_USUAL: Final = _Timeouts(admit_ms=90, answered_ms=45, request_ms=50)
# Hosts that started together open their links and admit what has waited
# at the same time, each on part of a core.
_SETTLING: Final = _Timeouts(admit_ms=300, answered_ms=150, request_ms=150)


@attrs.frozen(kw_only=True)
class AdmissionToken:
    """Token with which one operation of a team was admitted.

    :param deadline_ns: time until which another operation may use it if
        this one does not run; 0 if none may
    """

    team: str = ""
    deadline_ns: int = 0


NO_TOKEN: Final = AdmissionToken()


@attrs.define(kw_only=True, eq=False)
class _Ask:
    """Operations of one team at this host.

    :param waiters: operations that wait for a token; each gets the
        deadline of its token, or 0
    """

    team: str
    stock: TokenStock
    returns: ReturnTimes
    waiters: collections.deque[asyncio.Future[int]] = attrs.field(
        factory=collections.deque
    )
    is_asking: bool = False
    last_answer_ns: int = 0
    refused_count: int = 0
    last_refused_ns: int = 0

    def serve(self, now_ns: int) -> None:
        """Pass tokens of the stock to the operations that wait."""
        while self.waiters:
            if self.waiters[0].done():
                self.waiters.popleft()
            elif deadline_ns := self.stock.take(now_ns):
                self.waiters.popleft().set_result(deadline_ns)
            else:
                return

    def refuse_all(self) -> None:
        """Tell the operations that wait that there is no token."""
        while self.waiters:
            waiter = self.waiters.popleft()
            if not waiter.done():
                waiter.set_result(0)


@attrs.define(kw_only=True, eq=False)
class RateLimits:
    """Rate limits of all teams at this host.

    :param regions: region of each data centre
    :param links: links to the other hosts
    :param service: answers requests for tokens
    """

    node: EntryNode
    settings: LimitSettings
    regions: Mapping[str, str]
    links: TokenRequester = attrs.field(factory=TokenLinks)
    service: TokenService = attrs.field(init=False)
    _asks: dict[str, _Ask] = attrs.field(factory=dict, init=False)
    _has_hosts: asyncio.Event = attrs.field(factory=asyncio.Event, init=False)
    _hosts_deadline_ns: int = attrs.field(default=0, init=False)
    _next_clean_ns: int = attrs.field(default=0, init=False)
    _tasks: set[asyncio.Task[None]] = attrs.field(factory=set, init=False)

    def __attrs_post_init__(self) -> None:
        """Create the service that answers other hosts."""
        self.service = TokenService(
            node=self.node,
            settings=self.settings,
            regions=self.regions,
            links=self.links,
        )

    @property
    def counter(self) -> TokenCounter:
        """Tokens that this host counts."""
        return self.service.counter

    @property
    def stats(self) -> RateLimitStats:
        """Counts for the metrics."""
        return self.service.stats

    @property
    def is_enabled(self) -> bool:
        """Return whether the settings enable limits."""
        return self.service.is_enabled

    @property
    def refused_teams(self) -> int:
        """Number of teams that are refused at this host now."""
        return sum(ask.refused_count > 0 for ask in self._asks.values())

    def apply_view(self) -> None:
        """Apply a changed list of hosts or a changed plan."""
        if not (self.is_enabled and self.service.apply_view()):
            return
        if not self._has_hosts.is_set():
            now_ns = clock_ns()
            self.service.settled_ns = now_ns + SETTLING_MS * NS_PER_MS
            self._has_hosts.set()
            since_ns = self.node.uncounted_since_ns
            uncounted_ms = (now_ns - since_ns) // NS_PER_MS if since_ns else 0
            log_event(
                "counting-hosts",
                f"hosts={len(self.counter.hosts.hosts)}"
                f" uncounted_ms={uncounted_ms}",
            )

    def tick(self, now_ns: int) -> None:
        """Observe the lease, close idle links and forget idle teams."""
        if not self.is_enabled:
            return
        self.service.observe_lease(now_ns)
        if now_ns < self._next_clean_ns:
            return
        self._next_clean_ns = now_ns + CLEAN_INTERVAL_MS * NS_PER_MS
        self.service.clean(now_ns)
        for ask in list(self._asks.values()):
            self._clean(ask, now_ns)

    def close(self) -> None:
        """Close the links to other hosts."""
        self.links.close()

    def handle_request(
        self, request: TokenRequest, reply: Callable[[TokenGrant], None]
    ) -> None:
        """Answer a request of another host, now or after a transfer."""
        self.service.handle_request(request, reply)

    async def admit(self, team: str) -> AdmissionToken | Refusal:
        """Take a token for one operation of a team.

        :return: the token if the operation may run, else the refusal
        """
        share = self.service.share(team)
        if share is None:
            return NO_TOKEN
        now_ns = clock_ns()
        ask = self._ask_of(team, now_ns)
        ask.stock.demand.record(1, now_ns)
        if not self._has_hosts.is_set():
            await self._wait_for_hosts(now_ns)
            now_ns = clock_ns()
        deadline_ns = ask.stock.take(now_ns)
        deadline_ns = deadline_ns or self._take_own(ask, share, now_ns)
        if deadline_ns:
            return self._grant(ask, deadline_ns)
        if not ask.waiters and ask.stock.is_refused(now_ns):
            return self._decide_without_token(ask, share)
        deadline_ns = await self._wait_for_token(ask)
        if deadline_ns:
            self.stats.waits.record(clock_ns() - now_ns)
            return self._grant(ask, deadline_ns)
        return self._decide_without_token(ask, share)

    def _ask_of(self, team: str, now_ns: int) -> _Ask:
        ask = self._asks.get(team)
        if ask is None:
            ask = self._asks[team] = _Ask(
                team=team,
                stock=TokenStock(
                    token_age_ns=self.settings.token_age_ns,
                    demand=DemandRate(updated_ns=now_ns),
                ),
                returns=ReturnTimes(granted=DemandRate(updated_ns=now_ns)),
            )
        return ask

    def _grant(self, ask: _Ask, deadline_ns: int) -> AdmissionToken:
        self.stats.granted += 1
        ask.returns.granted.record(1, clock_ns())
        return AdmissionToken(team=ask.team, deadline_ns=deadline_ns)

    def give_back(self, token: AdmissionToken) -> None:
        """Return the token of an operation that did not run anywhere.

        A limit counts the operations that run.  The token keeps its
        deadline, so it is not used later than it might have been.
        """
        ask = self._asks.get(token.team)
        now_ns = clock_ns()
        if ask is None or not ask.stock.give_back(token.deadline_ns, now_ns):
            return
        self.stats.given_back += 1
        ask.serve(now_ns)

    def _take_own(self, ask: _Ask, share: LimitShare, now_ns: int) -> int:
        # Without a message where this host counts itself.
        if ask.waiters or not self.service.is_own(ask.team):
            return 0
        self.service.observe_lease(now_ns)
        if not self.counter.grant(ask.team, share, 1, now_ns):
            return 0
        self.service.start_transfers(ask.team, share, now_ns)
        return now_ns + self.settings.token_age_ns

    async def _wait_for_token(self, ask: _Ask) -> int:
        loop = asyncio.get_running_loop()
        waiter: asyncio.Future[int] = loop.create_future()
        ask.waiters.append(waiter)
        now_ns = clock_ns()
        timeouts = self._timeouts(now_ns)
        timers = (
            loop.call_later(
                timeouts.answered_ms / 1_000,
                self._end_wait_if_answered,
                ask,
                waiter,
                now_ns,
            ),
            loop.call_later(
                timeouts.admit_ms / 1_000, self._end_wait, ask, waiter
            ),
        )
        if not ask.is_asking:
            ask.is_asking = True
            spawn(self._ask_until_served(ask), self._tasks)
        try:
            return await waiter
        finally:
            for timer in timers:
                timer.cancel()

    def _timeouts(self, now_ns: int) -> _Timeouts:
        return _SETTLING if now_ns < self.service.settled_ns else _USUAL

    def _end_wait_if_answered(
        self, ask: _Ask, waiter: asyncio.Future[int], start_ns: int
    ) -> None:
        if waiter.done() or ask.last_answer_ns <= start_ns:
            return
        # More tokens may arrive at any moment, but not for this one.
        ask.stock.record_refusal(1, clock_ns(), is_unreachable=False)
        waiter.set_result(0)

    def _end_wait(self, ask: _Ask, waiter: asyncio.Future[int]) -> None:
        if waiter.done():
            return
        self._record_unreachable(ask)
        waiter.set_result(0)

    def _record_unreachable(self, ask: _Ask) -> None:
        ask.stock.record_refusal(
            UNREACHABLE_RETRY_MS, clock_ns(), is_unreachable=True
        )

    async def _ask_until_served(self, ask: _Ask) -> None:
        try:
            while ask.waiters:
                if not await self._ask_hosts(ask):
                    ask.refuse_all()
        finally:
            ask.is_asking = False

    async def _ask_hosts(self, ask: _Ask) -> bool:
        """Ask the hosts of the ranking in turn until one answers.

        An answer without tokens and without a time comes from a host
        whose lease has ended.

        :return: whether tokens were granted
        """
        if not self._has_hosts.is_set():
            self._record_unreachable(ask)
            return False
        asked = 0
        for host in self.counter.hosts.ranking(ask.team):
            if asked == MAX_HOSTS_ASKED:
                break
            if self.links.is_down(host, clock_ns()):
                continue
            asked += 1
            answer = await self._ask_host(ask, host)
            ask.serve(clock_ns())
            if answer is not None and answer.wait_ms:
                ask.stock.record_refusal(
                    answer.wait_ms, clock_ns(), is_unreachable=False
                )
                return False
            if not ask.waiters or (answer is not None and answer.count):
                return True
        self._record_unreachable(ask)
        return False

    async def _wait_for_hosts(self, now_ns: int) -> None:
        """Wait for the first list of the hosts that count.

        All operations since the start share one deadline.
        """
        if not self._hosts_deadline_ns:
            timeout_ns = FIRST_LIST_TIMEOUT_MS * NS_PER_MS
            self._hosts_deadline_ns = now_ns + timeout_ns
        left_s = (self._hosts_deadline_ns - now_ns) / NS_PER_S
        if left_s <= 0:
            return
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(left_s):
                await self._has_hosts.wait()

    async def _ask_host(self, ask: _Ask, host: str) -> TokenGrant | None:
        loop = asyncio.get_running_loop()
        future: asyncio.Future[TokenGrant | None] = loop.create_future()
        sent_ns = clock_ns()
        count = ask.stock.count_to_request(len(ask.waiters), sent_ns)

        def on_answer(answer: TokenGrant | None) -> None:
            now_ns = clock_ns()
            if answer is not None and (answer.count or answer.wait_ms):
                ask.last_answer_ns = now_ns
                ask.stock.add(answer.count, sent_ns=sent_ns, now_ns=now_ns)
            if future.done():
                ask.serve(now_ns)
            else:
                future.set_result(answer)

        if host == self.counter.hosts.own:
            self.service.count_own(ask.team, count, on_answer)
        else:
            self.links.request(
                host,
                team=ask.team,
                count=count,
                transfer=False,
                on_answer=on_answer,
            )
        timer = loop.call_later(
            self._timeouts(sent_ns).request_ms / 1_000,
            self._handle_silence,
            future,
            host,
        )
        try:
            return await future
        finally:
            timer.cancel()

    def _handle_silence(
        self, future: asyncio.Future[TokenGrant | None], host: str
    ) -> None:
        if not future.done():
            self.links.record_silence(host)
            future.set_result(None)

    def _decide_without_token(
        self, ask: _Ask, share: LimitShare
    ) -> AdmissionToken | Refusal:
        now_ns = clock_ns()
        stock = ask.stock
        if not stock.is_unreachable:
            return self._refuse(ask, now_ns, "limit")
        hosts = self.counter.hosts
        ranking = hosts.ranking(ask.team)
        settled_ns = hosts.changed_ns + self.settings.window_ns
        if hosts.own in ranking and now_ns >= settled_ns:
            limit = reserve_share(
                share.reserve_tokens, len(ranking), ranking.index(hosts.own)
            )
            if stock.reserve.take(
                1,
                limit=limit,
                window_ns=self.settings.window_ns,
                now_ns=now_ns,
            ):
                self.stats.granted += 1
                return NO_TOKEN
        return self._refuse(ask, now_ns, "unreachable")

    def _refuse(self, ask: _Ask, now_ns: int, cause: str) -> Refusal:
        self.stats.refused[cause] += 1
        retry_after_ms = ask.returns.next_ms(ask.stock.expected_ns, now_ns)
        if not ask.refused_count:
            team = self.node.state.routes.team(ask.team)
            log_event(
                "limit-reached",
                f"team={ask.team} cause={cause}"
                f" rate_per_s={team.rate_per_s if team else '-'}"
                f" burst={team.burst_size if team else '-'}"
                f" here_per_s={ask.stock.demand.per_s(now_ns):.1f}"
                f" retry_after_ms={retry_after_ms}"
                f" counting_host={self.service.counting_host(ask.team)}",
            )
        ask.refused_count += 1
        ask.last_refused_ns = now_ns
        return Refusal(
            reason=Reason.RATE_LIMITED,
            step=Step.ADMIT,
            peer=ask.team,
            detail=cause,
            retry_after_ms=retry_after_ms,
        )

    def _clean(self, ask: _Ask, now_ns: int) -> None:
        quiet_ns = now_ns - ask.last_refused_ns
        if ask.refused_count and quiet_ns > REFUSED_HOLD_MS * NS_PER_MS:
            log_event(
                "limit-kept", f"team={ask.team} refused={ask.refused_count}"
            )
            ask.refused_count = 0
        idle_ns = now_ns - ask.stock.demand.updated_ns
        if idle_ns > IDLE_MS * NS_PER_MS and not ask.is_asking:
            del self._asks[ask.team]
            self.counter.hosts.forget(ask.team)
