"""What lies between two addresses: delay and reachability."""

from __future__ import annotations

from typing import Protocol

import attrs

__all__ = ("NetworkConditions", "UnmodifiedNetwork")


class NetworkConditions(Protocol):
    """Whatever can tell how two addresses reach each other."""

    def delay_s(self, source_ip: str, target_ip: str) -> float:
        """One-way delay in seconds to add to the machine's own."""

    def is_partitioned(self, source_ip: str, target_ip: str) -> bool:
        """Tell whether nothing gets through."""


@attrs.frozen(kw_only=True)
class UnmodifiedNetwork:
    """The machine's own network, with nothing added."""

    def delay_s(self, source_ip: str, target_ip: str) -> float:
        """One-way delay in seconds to add: none."""
        del source_ip, target_ip
        return 0.0

    def is_partitioned(self, source_ip: str, target_ip: str) -> bool:
        """Tell whether nothing gets through: never."""
        del source_ip, target_ip
        return False
