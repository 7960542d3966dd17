"""Time constants shared by the control hosts and the entry hosts."""

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

    :param sent_ns: holder's clock when it asked, in nanoseconds
    :param lease_ms: length granted, in milliseconds
    :return: deadline on the holder's clock, in nanoseconds
    """
    return sent_ns + _shortened_ns(lease_ms)


def leader_deadline_ns(sent_ns: int) -> int:
    """Compute until when a leader that a quorum heard is current.

    :param sent_ns: leader's clock at the sending that a quorum has
        answered, in nanoseconds
    :return: deadline on the leader's clock, in nanoseconds
    """
    return sent_ns + _shortened_ns(MIN_ELECTION_TIMEOUT_MS)


def _shortened_ns(length_ms: int) -> int:
    return length_ms * (1_000_000 - CLOCK_DRIFT_PPM)
