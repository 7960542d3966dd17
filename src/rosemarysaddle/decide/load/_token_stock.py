"""Tokens of one team at a host that asks for them."""

from __future__ import annotations

import collections
import math
from typing import Final

import attrs

from rosemarysaddle.decide._times import NS_PER_MS
from rosemarysaddle.decide.load._rate_limit import DemandRate, WindowAllowance

__all__ = ("TokenStock", "reserve_share")

# Tokens for this long are requested ahead.  Tokens are valid for
# several times as long, so few of them expire.
PREFETCH_MS: Final = 50
# Other hosts compete for the next token, so a team that is refused is
# asked for again before the announced time, and not later than this.
MAX_REFUSED_MS: Final = 100


def reserve_share(tokens: int, hosts: int, rank: int) -> int:
    """Divide a data centre's reserve among its hosts.

    :param rank: position of the host in the ranking of the team; the
        first hosts get the remainder
    """
    share, rest = divmod(tokens, max(1, hosts))
    return share + (rank < rest)


@attrs.define(kw_only=True)
class TokenStock:
    """Tokens of one team that this host may use.

    :param token_age_ns: time from a request to the end of the tokens
    :param expired: number of tokens that expired unused
    :param is_unreachable: whether no counting host answered last
    :param expected_ns: time at which a token is expected
    """

    token_age_ns: int
    demand: DemandRate
    reserve: WindowAllowance = attrs.field(factory=WindowAllowance)
    expired: int = attrs.field(default=0, init=False)
    is_unreachable: bool = attrs.field(default=False, init=False)
    expected_ns: int = attrs.field(default=0, init=False)
    _tokens: collections.deque[list[int]] = attrs.field(
        factory=collections.deque, init=False
    )
    _refused_until_ns: int = attrs.field(default=0, init=False)

    def take(self, now_ns: int) -> int:
        """Take one token that is still valid.

        :return: its deadline, in nanoseconds; 0 if there is none
        """
        tokens = self._tokens
        while tokens and now_ns >= tokens[0][0]:
            self.expired += tokens.popleft()[1]
        if not tokens:
            return 0
        deadline_ns = tokens[0][0]
        tokens[0][1] -= 1
        if not tokens[0][1]:
            tokens.popleft()
        return deadline_ns

    def give_back(self, deadline_ns: int, now_ns: int) -> bool:
        """Keep a token that was not used for another operation.

        :param deadline_ns: deadline of the token, which stays
        :return: whether it is still valid
        """
        if now_ns >= deadline_ns:
            return False
        self._tokens.appendleft([deadline_ns, 1])
        return True

    def add(self, count: int, *, sent_ns: int, now_ns: int) -> None:
        """Add granted tokens.

        :param sent_ns: time at which they were requested, from which
            their age is counted
        """
        deadline_ns = sent_ns + self.token_age_ns
        if now_ns >= deadline_ns:
            self.expired += count
        elif count:
            self._tokens.append([deadline_ns, count])

    def count_to_request(self, waiting: int, now_ns: int) -> int:
        """Return how many tokens to request.

        :param waiting: operations that wait for a token
        """
        ahead = self.demand.per_s(now_ns) * PREFETCH_MS / 1_000
        return max(waiting, math.floor(ahead))

    def record_refusal(
        self, wait_ms: int, now_ns: int, *, is_unreachable: bool
    ) -> None:
        """Record that there is no token now.

        :param is_unreachable: whether no counting host answered
        """
        self.is_unreachable = is_unreachable
        self.expected_ns = now_ns + wait_ms * NS_PER_MS
        refused_ms = min(wait_ms, MAX_REFUSED_MS)
        self._refused_until_ns = now_ns + refused_ms * NS_PER_MS

    def is_refused(self, now_ns: int) -> bool:
        """Return whether asking again would be too early."""
        return now_ns < self._refused_until_ns
