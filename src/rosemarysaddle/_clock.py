"""Monotonic clock for leases and deadlines.

It advances while the host is suspended, so that a lease holder that
resumes finds its lease expired.
"""

from __future__ import annotations

import time
from typing import Final

__all__ = ("NS_PER_S", "clock_ns")

NS_PER_S: Final = 1_000_000_000

# Platforms without CLOCK_BOOTTIME are not expected to suspend a host
# that holds a lease.
_CLOCK: Final = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)


def clock_ns() -> int:
    """Read the clock.

    :return: time since the machine booted, in nanoseconds
    """
    return time.clock_gettime_ns(_CLOCK)
