"""Simulated network conditions: added delay and partitions.

The demonstration injects both between loopback addresses.  Everything
else runs on the unmodified network.
"""

from __future__ import annotations

from typing import Protocol

import attrs

__all__ = ("NetworkConditions", "UnmodifiedNetwork")


class NetworkConditions(Protocol):
    """Conditions to simulate between two IP addresses."""

    def delay_s(self, source_ip: str, target_ip: str) -> float:
        """Return the one-way delay to add to packets, in seconds."""

    def is_partitioned(self, source_ip: str, target_ip: str) -> bool:
        """Return whether no packet passes between the addresses."""


@attrs.frozen(kw_only=True)
class UnmodifiedNetwork:
    """The real network: no added delay and no partitions."""

    def delay_s(self, source_ip: str, target_ip: str) -> float:
        """Return 0: no delay is added."""
        del source_ip, target_ip
        return 0.0

    def is_partitioned(self, source_ip: str, target_ip: str) -> bool:
        """Return False: no partition is simulated."""
        del source_ip, target_ip
        return False
