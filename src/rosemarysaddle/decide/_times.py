"""Time constants and deadlines of control hosts and entry hosts.

Deadlines of leases and leaders are shortened by the assumed clock
drift, ``CLOCK_DRIFT_PPM``.
"""

from __future__ import annotations

from typing import Final

__all__ = (
    "CLOCK_DRIFT_PPM",
    "HEARTBEAT_INTERVAL_MS",
    "LEASE_MS",
    "MIN_ELECTION_TIMEOUT_MS",
    "NS_PER_MS",
    "RENEWAL_INTERVAL_MS",
    "leader_deadline_ns",
    "lease_deadline_ns",
)

NS_PER_MS: Final = 1_000_000
HEARTBEAT_INTERVAL_MS: Final = 150
MIN_ELECTION_TIMEOUT_MS: Final = 600
LEASE_MS: Final = 1_500
RENEWAL_INTERVAL_MS: Final = 400
CLOCK_DRIFT_PPM: Final = 1_000


def lease_deadline_ns(sent_ns: int, lease_ms: int) -> int:
    """Compute when the holder of a lease must consider it ended.

    :param sent_ns: holder's clock when it sent the renewal, in
        nanoseconds
    :param lease_ms: granted duration of the lease, in milliseconds
    :return: deadline on the holder's clock, in nanoseconds
    """
    return sent_ns + _subtract_drift_ns(lease_ms)


def leader_deadline_ns(sent_ns: int) -> int:
    """Compute until when a leader is certainly still the leader.

    :param sent_ns: leader's clock when it sent the last message that a
        quorum has answered, in nanoseconds
    :return: deadline on the leader's clock, in nanoseconds
    """
    return sent_ns + _subtract_drift_ns(MIN_ELECTION_TIMEOUT_MS)


def _subtract_drift_ns(duration_ms: int) -> int:
    # A millisecond has 1_000_000 ns, so a drift in ppm is in ns per ms.
    return duration_ms * (1_000_000 - CLOCK_DRIFT_PPM)
