"""Context that the components of a control leader share."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from rosemarysaddle.decide._effects import Effect
    from rosemarysaddle.decide.control_log._state import ClusterState
    from rosemarysaddle.decide.leases._lease import LeaseTable
    from rosemarysaddle.schema import Instance

__all__ = ("LeaderContext",)


@attrs.define(kw_only=True)
class LeaderContext:
    """State, leases and callbacks that a leader's components share.

    :param host: name of this control host
    :param centers: data centre of each entry host that has renewed
    :param propose: appends a log entry; takes its kind, its JSON
        payload and the monotonic time in nanoseconds
    :param leads: whether this host leads at a monotonic time
    """

    host: str
    data_center: str
    state: ClusterState
    leases: LeaseTable
    propose: Callable[[str, str, int], list[Effect]]
    leads: Callable[[int], bool]
    centers: dict[str, str] = attrs.field(factory=dict)

    def instances(self, group: str) -> tuple[Instance, ...]:
        """List the instances of a group."""
        found = self.state.group(group)
        return () if found is None else found.instances

    def identities(self, group: str) -> Mapping[str, str]:
        """Map each instance eligible for promotion to its identity."""
        term = self.state.terms.get(group)
        return {} if term is None else term.identities

    def lists_all_leases(self, now_ns: int) -> bool:
        """Tell whether every possibly valid lease is listed."""
        return self.leases.lists_all(now_ns, self.state.lease_holders)
