"""The clock that leases and deadlines rest on.

It counts the time for which a host was suspended, so that a holder that
wakes up finds its lease ended.
"""

from __future__ import annotations

import time
from typing import Final

__all__ = ("NS_PER_S", "clock_ns")

NS_PER_S: Final = 1_000_000_000

# Hosts without CLOCK_BOOTTIME are not suspended with a lease at hand.
_CLOCK: Final = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)


def clock_ns() -> int:
    """Read the clock.

    :return: time since the boot of the machine, in nanoseconds
    """
    return time.clock_gettime_ns(_CLOCK)
