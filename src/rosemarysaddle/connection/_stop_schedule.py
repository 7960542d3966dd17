"""Times at which a host that stops ends the work of its callers."""

from __future__ import annotations

import attrs

__all__ = ("StopSchedule",)


@attrs.define(kw_only=True)
class StopSchedule:
    """State of a planned stop, for all that starts work at targets.

    It is asked before each piece of work: work that runs at the time
    itself would outlast a call that is made once.

    :param transactions_until_ns: :func:`clock_ns` time from which on no
        operation and no further statement of a transaction starts; 0
        while the host does not stop
    """

    transactions_until_ns: int = 0

    def takes_no_work(self, now_ns: int) -> bool:
        """Tell whether nothing may start any more.

        :param now_ns: :func:`clock_ns` time
        """
        return 0 < self.transactions_until_ns <= now_ns
