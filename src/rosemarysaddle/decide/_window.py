"""How many statements an entry host runs at one target at once.

Answers the load after an outage, when all callers come back together: a
target that sheds is given less by each host, so that statements queue
at the hosts in order instead of being refused and sent again.
"""

from __future__ import annotations

from typing import Final

import attrs

__all__ = ("ConcurrencyWindow",)

INITIAL_SIZE: Final = 3.0
MIN_SIZE: Final = 1.0
MAX_SIZE: Final = 32.0
# A shed statement takes a third off; each served one adds a share.
DECREASE_FACTOR: Final = 0.67
INCREASE_STEP: Final = 0.25


@attrs.define(kw_only=True)
class ConcurrencyWindow:
    """Limit that follows what the target bears.

    :param running: statements that run now
    """

    size: float = INITIAL_SIZE
    running: int = 0

    def may_start(self) -> bool:
        """Tell whether one more statement may be sent."""
        return self.running < int(self.size)

    def record_served(self) -> None:
        """Take note that the target served a statement."""
        if self.running + 1 >= int(self.size):
            self.size = min(MAX_SIZE, self.size + INCREASE_STEP / self.size)

    def record_shed(self) -> None:
        """Take note that the target refused a statement as too many."""
        self.size = max(MIN_SIZE, self.size * DECREASE_FACTOR)
