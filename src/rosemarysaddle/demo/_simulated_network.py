"""Simulated delays and partitions of the demonstration's network."""

from __future__ import annotations

import attrs

__all__ = ("Place", "SimulatedNetwork")

_MS_PER_S = 1_000


@attrs.frozen(kw_only=True)
class Place:
    """Data centre and region of an address."""

    data_center: str
    region: str


@attrs.define(kw_only=True, eq=False)
class SimulatedNetwork:
    """Delays by place, and partitions of the network.

    :param center_delay_ms: one-way delay between data centres of a
        region
    :param region_delay_ms: one-way delay between regions
    :param places: place of each IP address
    :param cut_centers: data centres that are cut off from all others
    :param cut_ips: IP addresses that are cut off from all others
    """

    center_delay_ms: float
    region_delay_ms: float
    places: dict[str, Place] = attrs.field(factory=dict)
    cut_centers: frozenset[str] = frozenset()
    cut_ips: frozenset[str] = frozenset()

    def delay_s(self, source_ip: str, target_ip: str) -> float:
        """Return the one-way delay in seconds."""
        source = self.places.get(source_ip)
        target = self.places.get(target_ip)
        if source is None or target is None or source == target:
            return 0.0
        if source.region == target.region:
            return self.center_delay_ms / _MS_PER_S
        return self.region_delay_ms / _MS_PER_S

    def is_partitioned(self, source_ip: str, target_ip: str) -> bool:
        """Return whether a partition separates two addresses."""
        if source_ip == target_ip:
            return False
        if source_ip in self.cut_ips or target_ip in self.cut_ips:
            return True
        if not self.cut_centers:
            return False
        source = self.places.get(source_ip)
        target = self.places.get(target_ip)
        if source is None or target is None:
            return False
        return self.are_partitioned(source.data_center, target.data_center)

    def are_partitioned(self, first: str, second: str) -> bool:
        """Return whether a partition separates two data centres."""
        if first == second:
            return False
        return first in self.cut_centers or second in self.cut_centers
