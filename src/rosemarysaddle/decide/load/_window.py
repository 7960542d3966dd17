"""Number of statements that are sent to one target at once.

Designed for the load after an outage, when all callers come back
together: each host sends less to a target that sheds statements, so
statements queue in order at the hosts instead of being refused and sent
again.
"""

from __future__ import annotations

from typing import Final

import attrs

__all__ = ("INITIAL_SIZE", "MAX_SIZE", "MIN_SIZE", "ConcurrencyWindow")

INITIAL_SIZE: Final = 3.0
MIN_SIZE: Final = 1.0
MAX_SIZE: Final = 32.0
# Additive increase, multiplicative decrease: a shed statement takes a
# third off the window, a served one adds the step divided by the size.
DECREASE_FACTOR: Final = 0.67
INCREASE_STEP: Final = 0.25


@attrs.define(kw_only=True)
class ConcurrencyWindow:
    """Limit of running statements that adapts to the target's capacity.

    :param size: number of statements that may run at once
    :param running: number of statements that run now
    :param min_size: size down to which the window narrows
    :param max_size: size up to which the window widens
    :param narrowed_ns: time of the last decrease; 0 before the first
    """

    size: float = INITIAL_SIZE
    running: int = 0
    min_size: float = MIN_SIZE
    max_size: float = MAX_SIZE
    narrowed_ns: int = attrs.field(default=0, init=False)

    def may_start(self) -> bool:
        """Tell whether one more statement may be sent."""
        return self.running < int(self.size)

    def record_served(self) -> None:
        """Widen the window, if it is full, after a served statement."""
        if self.running + 1 >= int(self.size):
            wider = self.size + INCREASE_STEP / self.size
            self.size = min(self.max_size, wider)

    def set_bounds(self, min_size: float, max_size: float) -> None:
        """Change the sizes between which the window adapts."""
        self.min_size = min_size
        self.max_size = max_size
        self.size = max(min_size, min(max_size, self.size))

    def record_shed(self, *, sent_ns: int, now_ns: int) -> None:
        """Narrow the window after the target shed a statement.

        It narrows at most once per round trip: a statement that was
        sent before the last decrease says nothing about the narrower
        window.  Without this, a burst of five refusals left an eighth
        of the window.

        :param sent_ns: time at which the statement was sent
        """
        if sent_ns < self.narrowed_ns:
            return
        self.narrowed_ns = now_ns
        self.size = max(self.min_size, self.size * DECREASE_FACTOR)
