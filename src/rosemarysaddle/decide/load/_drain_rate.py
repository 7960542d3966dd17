"""Rate at which a queue is served, as measured lately.

The expected wait decides which requests are refused at once.  It is
derived from what the queue was seen to serve, as a target that slows
down or hangs serves less than its slots and mean work suggest.
"""

from __future__ import annotations

import math
from typing import Final

import attrs

from rosemarysaddle.decide._times import NS_PER_MS

__all__ = ("DrainRate",)

# Covers some tens of services of one target and follows a target that
# loses slots within the shortest time-out of a statement (800 ms).
HALF_LIFE_MS: Final = 500
# The assumed time counts as much as this many services, so that the
# time to the first one after a quiet period does not decide alone.
ASSUMED_SERVICES: Final = 4
# Requests of higher priorities are taken to use at most this part of
# the rate, so that the expected wait of others stays finite.
MAX_HIGHER_SHARE: Final = 0.95
_MEAN_LIFE_NS: Final = HALF_LIFE_MS * NS_PER_MS / math.log(2)


@attrs.define(kw_only=True)
class DrainRate:
    """Moving measure of the services of a queue.

    All values decay with time, so that a queue that was refused to all
    is tried again some half-lives later.
    """

    _served: dict[int, float] = attrs.field(factory=dict, init=False)
    _backlog_served: float = attrs.field(default=0.0, init=False)
    _backlog_ns: float = attrs.field(default=0.0, init=False)
    _updated_ns: int = attrs.field(default=0, init=False)
    _has_backlog: bool = attrs.field(default=False, init=False)

    def observe(self, now_ns: int, *, has_backlog: bool) -> None:
        """Record whether requests wait from now on."""
        self._decay(now_ns)
        self._has_backlog = has_backlog

    def record_served(self, priority: int, now_ns: int) -> None:
        """Record the end of one service."""
        self._decay(now_ns)
        self._served[priority] = self._served.get(priority, 0.0) + 1
        if self._has_backlog:
            self._backlog_served += 1

    def expected_wait_ns(
        self, ahead: int, priority: int, now_ns: int, *, assumed_ns: float
    ) -> int:
        """Estimate when a request is served.

        :param ahead: number of requests that are served before it
        :param assumed_ns: time between two services that is assumed
            before any were seen
        """
        self._decay(now_ns)
        interval_ns = (self._backlog_ns + ASSUMED_SERVICES * assumed_ns) / (
            self._backlog_served + ASSUMED_SERVICES
        )
        # Requests of higher priorities that arrive meanwhile.
        higher = sum(n for p, n in self._served.items() if p < priority)
        share = min(MAX_HIGHER_SHARE, higher * interval_ns / _MEAN_LIFE_NS)
        return round((ahead + 1) * interval_ns / (1 - share))

    def _decay(self, now_ns: int) -> None:
        elapsed_ns = max(0, now_ns - self._updated_ns)
        if not elapsed_ns:
            return
        self._updated_ns = now_ns
        factor = math.exp(-elapsed_ns / _MEAN_LIFE_NS)
        for priority in self._served:
            self._served[priority] *= factor
        self._backlog_served *= factor
        self._backlog_ns *= factor
        if self._has_backlog:
            self._backlog_ns += _MEAN_LIFE_NS * (1 - factor)
