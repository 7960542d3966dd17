"""Decisions of a counting host: how many tokens to grant and to give.

Tokens are only created by the bucket of the host that is the first in
the ranking; every other path moves tokens and may lose some.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Final

import attrs

from rosemarysaddle.decide._times import NS_PER_MS
from rosemarysaddle.decide.load._rate_limit import (
    DemandRate,
    TokenBucket,
    WindowAllowance,
)

if TYPE_CHECKING:
    from rosemarysaddle.decide.load._counting_hosts import CountingHosts
    from rosemarysaddle.decide.load._rate_limit import (
        LimitSettings,
        LimitShare,
    )

__all__ = ("TokenCounter",)

# A bucket that would not last this long requests tokens from others,
# before it is empty: a round trip between regions takes 24 ms.
LOW_WATER_MS: Final = 100
# Tokens for this long are requested at once.
TRANSFER_HORIZON_MS: Final = 200
# Tokens that own recent demand needs within this time are not given.
KEEP_MS: Final = 300
IDLE_MS: Final = 60_000
# Largest time that an answer names; the limit may change before then.
MAX_WAIT_MS: Final = 5_000
# A data centre that uses more than its share has nothing to give soon.
NOTHING_TO_GIVE_MS: Final = 500
MIN_GIVE_WAIT_MS: Final = 20


@attrs.define(kw_only=True)
class _TeamCount:
    demand: DemandRate
    bucket: TokenBucket | None = None
    takeover: WindowAllowance = attrs.field(factory=WindowAllowance)
    version: int = 0


@attrs.define(kw_only=True)
class TokenCounter:
    """Tokens of all teams for which this host is asked.

    :param takeovers: number of requests answered in place of the first
        host of the ranking
    """

    settings: LimitSettings
    hosts: CountingHosts
    takeovers: int = attrs.field(default=0, init=False)
    _teams: dict[str, _TeamCount] = attrs.field(factory=dict, init=False)
    _version: int = attrs.field(default=0, init=False)
    _lease_until_ns: int = attrs.field(default=0, init=False)

    def replace_hosts(
        self,
        hosts: tuple[str, ...],
        now_ns: int,
        *,
        uncounted_since_ns: int = 0,
    ) -> None:
        """Replace the list of the data centre's hosts.

        :param uncounted_since_ns: see :meth:`CountingHosts.replace`
        """
        before = self.hosts.hosts
        self.hosts.replace(
            hosts, now_ns, uncounted_since_ns=uncounted_since_ns
        )
        if self.hosts.hosts != before:
            self._version += 1

    def observe_lease(self, deadline_ns: int, now_ns: int) -> bool:
        """Record the lease of this host.

        Has to be called more often than a lease lasts.  After a lease
        that had ended, all buckets start empty: the host may have been
        suspended while another one counted.

        :return: whether the lease holds now
        """
        if now_ns >= self._lease_until_ns:
            self.hosts.restart(now_ns)
            self._version += 1
            for state in self._teams.values():
                state.bucket = None
        self._lease_until_ns = deadline_ns
        return now_ns < deadline_ns

    def is_counting(self, now_ns: int) -> bool:
        """Return whether the lease of this host holds."""
        return now_ns < self._lease_until_ns

    @property
    def teams(self) -> tuple[str, ...]:
        """Names of the teams that asked for tokens lately."""
        return tuple(self._teams)

    def apply_share(self, team: str, share: LimitShare, now_ns: int) -> None:
        """Apply a changed limit from now on."""
        self._update(team, share, now_ns)

    def grant(
        self, team: str, share: LimitShare, count: int, now_ns: int
    ) -> int:
        """Grant tokens to a host of this data centre.

        :return: how many were granted, at most ``count``
        """
        if not self.is_counting(now_ns):
            return 0
        state = self._update(team, share, now_ns)
        state.demand.record(count, now_ns)
        if state.bucket is not None:
            return state.bucket.take(count)
        self.takeovers += 1
        settled_ns = self.hosts.changed_ns + self.settings.window_ns
        if not self.hosts.role(team).is_second or now_ns < settled_ns:
            # Another host may have used this allowance in this window.
            return 0
        return state.takeover.take(
            count,
            limit=share.takeover_tokens,
            window_ns=self.settings.window_ns,
            now_ns=now_ns,
        )

    def give(
        self, team: str, share: LimitShare, count: int, now_ns: int
    ) -> int:
        """Give tokens to another counting host.

        :return: how many are given; they are deducted already
        """
        if not self.is_counting(now_ns):
            return 0
        state = self._update(team, share, now_ns)
        if state.bucket is None:
            return 0
        kept = state.demand.per_s(now_ns) * KEEP_MS / 1_000
        spare = math.floor(state.bucket.level - kept)
        return state.bucket.take(min(count, max(0, spare)))

    def accept(
        self,
        team: str,
        share: LimitShare,
        count: int,
        *,
        waiting: int,
        sent_ns: int,
        now_ns: int,
    ) -> int:
        """Accept tokens that another counting host gave.

        :param waiting: tokens that waiting requests lack
        :param sent_ns: time at which they were requested; tokens that
            arrive too late are lost
        :return: how many may be granted to the waiting requests now
        """
        if not self.is_counting(now_ns):
            return 0
        if now_ns > sent_ns + self.settings.transfer_age_ns:
            return 0
        used = min(count, waiting)
        state = self._update(team, share, now_ns)
        if state.bucket is not None:
            state.bucket.add(count - used)
        return used

    def shortage(
        self, team: str, share: LimitShare, *, waiting: int, now_ns: int
    ) -> int:
        """Return how many tokens to request from other hosts."""
        if not self.is_counting(now_ns):
            return 0
        state = self._update(team, share, now_ns)
        if state.bucket is None:
            return waiting
        per_s = state.demand.per_s(now_ns)
        level = state.bucket.level
        # A small team that uses more than this data centre's share has
        # one token ready, so that its next operation need not wait.
        least = 1.0 if per_s > share.rate_per_s else 0.0
        if not waiting and level >= max(least, per_s * LOW_WATER_MS / 1_000):
            return 0
        wanted = max(least, per_s * TRANSFER_HORIZON_MS / 1_000)
        return waiting + max(
            0, math.floor(min(wanted, share.capacity) - level)
        )

    def wait_ms(self, team: str, share: LimitShare, now_ns: int) -> int:
        """Return the time until a token is expected here."""
        state = self._update(team, share, now_ns)
        if state.bucket is None:
            return int(min(MAX_WAIT_MS, _period_ms(share.rate_per_s)))
        wait_ns = state.bucket.wait_ns()
        if wait_ns is None:
            return MAX_WAIT_MS
        return min(MAX_WAIT_MS, max(1, math.ceil(wait_ns / NS_PER_MS)))

    def give_wait_ms(self, team: str, share: LimitShare, now_ns: int) -> int:
        """Return the time until a token can be given."""
        state = self._update(team, share, now_ns)
        if state.bucket is None:
            return NOTHING_TO_GIVE_MS
        per_s = state.demand.per_s(now_ns)
        surplus_per_s = share.rate_per_s - per_s
        if surplus_per_s <= 0:
            return NOTHING_TO_GIVE_MS
        lacking = 1 + per_s * KEEP_MS / 1_000 - state.bucket.level
        wait_ms = max(MIN_GIVE_WAIT_MS, lacking / surplus_per_s * 1_000)
        return math.ceil(min(MAX_WAIT_MS, wait_ms))

    def forget_idle(self, now_ns: int) -> None:
        """Forget teams that asked for nothing for a minute.

        A bucket is full by then or is rebuilt from the same times.
        """
        for team, state in list(self._teams.items()):
            idle_ns = now_ns - state.demand.updated_ns
            if idle_ns > IDLE_MS * NS_PER_MS:
                del self._teams[team]
                self.hosts.forget(team)

    def _update(self, team: str, share: LimitShare, now_ns: int) -> _TeamCount:
        state = self._teams.get(team)
        if state is None:
            state = _TeamCount(demand=DemandRate(updated_ns=now_ns))
            state.version = self._version - 1
            self._teams[team] = state
        if state.version != self._version:
            self._update_role(team, state, share)
        if state.bucket is not None:
            state.bucket.update(share, now_ns)
        return state

    def _update_role(
        self, team: str, state: _TeamCount, share: LimitShare
    ) -> None:
        state.version = self._version
        role = self.hosts.role(team)
        if not role.is_first:
            state.bucket = None
            return
        bucket = state.bucket
        # Another host has counted since an older one was updated.
        if bucket is None or bucket.updated_ns < role.since_ns:
            state.bucket = TokenBucket(
                rate_per_s=share.rate_per_s,
                capacity=share.capacity,
                updated_ns=role.since_ns,
                half_rate_until_ns=role.half_rate_until_ns,
            )


def _period_ms(rate_per_s: float) -> float:
    return 1_000 / rate_per_s if rate_per_s > 0 else MAX_WAIT_MS
