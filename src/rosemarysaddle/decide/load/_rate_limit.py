"""Limit of one team's operations, divided over data centres and hosts.

In any window, the operations of a team must not exceed (rate x window +
burst) x (1 + overage) + slack.  The token buckets of the data centres
use the first part, and part of the slack.  The rest covers tokens that
are used later than they accrued, hosts that count for one that is down,
and hosts that reach no counting host; see docs/design/rate-limits.md.
"""

from __future__ import annotations

import collections
import math
from typing import TYPE_CHECKING, Final

import attrs

if TYPE_CHECKING:
    from rosemarysaddle.schema import Team

__all__ = (
    "DemandRate",
    "LimitSettings",
    "LimitShare",
    "TokenBucket",
    "WindowAllowance",
)

NS_PER_S: Final = 1_000_000_000
_NS_PER_MS: Final = 1_000_000
# Parts of the overage that cover the age of a token at the asking host
# and on its way between data centres; the rest is for hosts that count
# for one that is down, and for local reserves.
TOKEN_AGE_FRACTION: Final = 0.4
TRANSFER_AGE_FRACTION: Final = 0.3
MIN_AGE_MS: Final = 50
MAX_TOKEN_AGE_MS: Final = 500
MAX_TRANSFER_AGE_MS: Final = 300
# Part of the slack that enlarges the buckets, so that a team with a
# small burst has a whole token in each data centre.
BUCKET_SLACK_FRACTION: Final = 0.5
TAKEOVER_FRACTION: Final = 0.5
# Half of what then remains: hosts with an older list of the data centre
# may use as much again.
RESERVE_FRACTION: Final = 0.25
DEMAND_TIME_S: Final = 1.0


@attrs.frozen(kw_only=True)
class LimitShare:
    """One data centre's share of a team's limit.

    :param rate_per_s: tokens that accrue in this data centre
    :param capacity: tokens that its bucket holds at most
    :param takeover_tokens: tokens that a host may grant within a window
        while the host that counts seems down
    :param reserve_tokens: tokens that all hosts of the data centre may
        use within a window while they reach no counting host
    """

    rate_per_s: float
    capacity: float
    takeover_tokens: int
    reserve_tokens: int


@attrs.frozen(kw_only=True)
class LimitSettings:
    """Settings of all limits, and this host's data centre.

    :param window_ns: window over which limits are checked; 0 disables
        them
    :param overage: fraction by which a team may exceed its limit
    :param slack: operations by which a team may exceed it besides
    :param data_centers: names of all data centres, sorted
    """

    window_ns: int = 0
    overage: float = 0
    slack: float = 0
    data_center: str = ""
    data_centers: tuple[str, ...] = ()

    @property
    def token_age_ns(self) -> int:
        """Time from a request for tokens to the end of their use."""
        return self._age_ns(TOKEN_AGE_FRACTION, MAX_TOKEN_AGE_MS)

    @property
    def transfer_age_ns(self) -> int:
        """Time from a request to the arrival of transferred tokens."""
        return self._age_ns(TRANSFER_AGE_FRACTION, MAX_TRANSFER_AGE_MS)

    def share(self, team: Team) -> LimitShare | None:
        """Compute this data centre's share of a team's limit.

        :return: the share, or None if the team has no limit
        """
        rate_per_s = team.rate_per_s
        if rate_per_s is None or not self.window_ns:
            return None
        count = max(1, len(self.data_centers))
        slack = self.slack * BUCKET_SLACK_FRACTION
        capacity = max(1.0, (team.burst_size + slack) / count)
        window_s = self.window_ns / NS_PER_S
        most = rate_per_s * window_s + team.burst_size
        age_s = (self.token_age_ns + self.transfer_age_ns) / NS_PER_S
        used = capacity * count + rate_per_s * (window_s + age_s)
        spare = max(0.0, most * (1 + self.overage) + self.slack - used)
        return LimitShare(
            rate_per_s=rate_per_s / count,
            capacity=capacity if rate_per_s else 0.0,
            takeover_tokens=self._divide(int(spare * TAKEOVER_FRACTION)),
            reserve_tokens=self._divide(int(spare * RESERVE_FRACTION)),
        )

    def _age_ns(self, fraction: float, most_ms: int) -> int:
        age_ms = self.window_ns * self.overage * fraction / _NS_PER_MS
        return int(min(most_ms, max(MIN_AGE_MS, age_ms))) * _NS_PER_MS

    def _divide(self, tokens: int) -> int:
        # Whole tokens only: the first data centres get the remainder.
        if self.data_center not in self.data_centers:
            return tokens // max(1, len(self.data_centers))
        share, rest = divmod(tokens, len(self.data_centers))
        return share + (self.data_centers.index(self.data_center) < rest)


@attrs.define(kw_only=True)
class TokenBucket:
    """Bucket of tokens that accrue at a rate, up to a capacity.

    :param updated_ns: time up to which tokens have accrued
    :param half_rate_until_ns: time until which they accrue at half the
        rate
    """

    rate_per_s: float
    capacity: float
    updated_ns: int
    half_rate_until_ns: int = 0
    level: float = 0

    def update(self, share: LimitShare, now_ns: int) -> None:
        """Add the tokens accrued until now; apply a changed share."""
        elapsed_ns = max(0, now_ns - self.updated_ns)
        half_ns = min(now_ns, self.half_rate_until_ns) - self.updated_ns
        elapsed_ns -= max(0, half_ns) // 2
        self.updated_ns = max(self.updated_ns, now_ns)
        accrued = self.rate_per_s * elapsed_ns / NS_PER_S
        self.level = min(self.capacity, self.level + accrued)
        self.rate_per_s, self.capacity = share.rate_per_s, share.capacity
        self.level = min(self.level, self.capacity)

    def take(self, count: int) -> int:
        """Take whole tokens.

        :return: how many were taken, at most ``count``
        """
        taken = max(0, min(count, math.floor(self.level)))
        self.level -= taken
        return taken

    def add(self, count: int) -> None:
        """Add tokens that another data centre gave."""
        self.level = min(self.capacity, self.level + count)

    def wait_ns(self) -> int | None:
        """Return the time until there is a token; None if never."""
        if self.level >= 1:
            return 0
        if self.rate_per_s <= 0:
            return None
        return math.ceil((1 - self.level) / self.rate_per_s * NS_PER_S)


@attrs.define(kw_only=True)
class WindowAllowance:
    """Exact count of the tokens used within a sliding window."""

    _used: collections.deque[tuple[int, int]] = attrs.field(
        factory=collections.deque, init=False
    )
    _total: int = attrs.field(default=0, init=False)

    def take(
        self, count: int, *, limit: int, window_ns: int, now_ns: int
    ) -> int:
        """Take tokens.

        :param limit: tokens that may be taken within any window
        :return: how many were taken, at most ``count``
        """
        while self._used and self._used[0][0] + window_ns < now_ns:
            self._total -= self._used.popleft()[1]
        taken = max(0, min(count, limit - self._total))
        if taken:
            self._used.append((now_ns, taken))
            self._total += taken
        return taken

    @property
    def is_unused(self) -> bool:
        """Return whether nothing was taken in the last window."""
        return not self._used


@attrs.define(kw_only=True)
class DemandRate:
    """Moving average of the tokens that are asked for per second."""

    updated_ns: int
    _per_s: float = attrs.field(default=0.0, init=False)

    def record(self, count: int, now_ns: int) -> None:
        """Record tokens that were asked for now."""
        self._per_s = self.per_s(now_ns) + count / DEMAND_TIME_S
        self.updated_ns = max(self.updated_ns, now_ns)

    def per_s(self, now_ns: int) -> float:
        """Estimate the tokens asked for per second."""
        age_s = max(0, now_ns - self.updated_ns) / NS_PER_S
        return self._per_s * math.exp(-age_s / DEMAND_TIME_S)
