"""Times at which refused operations of a team may come back.

The time of the next token is not the time of this caller's token: the
others that were refused come back for the same one.  So the callers are
told successive times, at the rate at which this host gets tokens.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import attrs

from rosemarysaddle.decide._times import NS_PER_MS

if TYPE_CHECKING:
    from rosemarysaddle.decide.load._rate_limit import DemandRate

__all__ = ("ReturnTimes",)

NS_PER_S: Final = 1_000_000_000
# Callers that are told more rarely come back at all, and the load has
# usually changed by then.
MAX_RETURN_MS: Final = 2_000


@attrs.define(kw_only=True)
class ReturnTimes:
    """Return times of one team at one host.

    :param granted: rate at which the host gets tokens
    """

    granted: DemandRate
    _last_ns: int = attrs.field(default=0, init=False)

    def next_ms(self, expected_ns: int, now_ns: int) -> int:
        """Return after how many milliseconds a caller should come back.

        :param expected_ns: time of the next token, in nanoseconds
        """
        per_s = self.granted.per_s(now_ns)
        gap_ns = int(NS_PER_S / per_s) if per_s > 0 else 0
        latest_ns = now_ns + MAX_RETURN_MS * NS_PER_MS
        return_ns = max(expected_ns, self._last_ns + gap_ns, now_ns)
        self._last_ns = return_ns = min(return_ns, latest_ns)
        return max(1, -(-(return_ns - now_ns) // NS_PER_MS))
