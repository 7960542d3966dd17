"""Leases of the entry hosts: one lease covers all groups of a host."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from rosemarysaddle.decide._times import (
    LEASE_MS,
    NS_PER_MS,
    lease_deadline_ns,
)

if TYPE_CHECKING:
    from collections.abc import Collection

    from rosemarysaddle.schema import LeaseGrant

__all__ = ("HostLease", "LeaseTable")


@attrs.define(kw_only=True)
class HostLease:
    """Lease as its holder sees it."""

    deadline_ns: int = 0
    min_index: int = 0
    leader: str = ""
    _closed: dict[str, int] = attrs.field(factory=dict)

    def grant(self, leader: str, grant: LeaseGrant) -> None:
        """Take a grant over.

        :param leader: control host that granted it
        :param grant: answer to a renewal of this host
        """
        deadline_ns = lease_deadline_ns(grant.sent_ns, grant.lease_ms)
        self.leader = leader
        self.deadline_ns = max(self.deadline_ns, deadline_ns)
        self.min_index = max(self.min_index, grant.min_index)
        for closing in grant.closing:
            self.close(closing.group, closing.term)

    def close(self, group: str, term: int) -> None:
        """Give up the right to write under a term of a group."""
        self._closed[group] = max(self._closed.get(group, 0), term)

    def give_back(self) -> None:
        """End the lease before its deadline."""
        self.deadline_ns = 0

    def covers(
        self, group: str, term: int, *, applied_index: int, now_ns: int
    ) -> bool:
        """Tell whether writes under a term may run or be acknowledged.

        :param applied_index: last entry of the control log applied here
        :param now_ns: monotonic time, in nanoseconds
        """
        if now_ns >= self.deadline_ns or applied_index < self.min_index:
            return False
        return term > self._closed.get(group, 0)


@attrs.define(kw_only=True)
class LeaseTable:
    """Leases as the control leader sees them.

    :param blind_until_ns: time until which leases of an earlier leader
        may exist that this table does not list
    :param led_until_ns: time until which an earlier leader may have
        granted leases
    """

    unlisted_until_ns: int
    led_until_ns: int = 0
    lease_ms: int = LEASE_MS
    _deadlines_ns: dict[str, int] = attrs.field(factory=dict)
    _renewed: set[str] = attrs.field(factory=set, init=False)

    @classmethod
    def for_new_leader(
        cls, earlier_leader_until_ns: int, lease_ms: int = LEASE_MS
    ) -> LeaseTable:
        """Start a table at an election.

        :param others_led_until_ns: monotonic time until which earlier
            leaders can have granted leases, in nanoseconds
        :param lease_ms: length of a lease, in milliseconds
        """
        return cls(
            unlisted_until_ns=earlier_leader_until_ns + lease_ms * NS_PER_MS,
            led_until_ns=earlier_leader_until_ns,
            lease_ms=lease_ms,
        )

    def grant(self, host: str, now_ns: int) -> None:
        """Note a lease granted now."""
        self._deadlines_ns[host] = now_ns + self.lease_ms * NS_PER_MS
        # From now on no earlier leader can grant it a longer one.
        if now_ns >= self.led_until_ns:
            self._renewed.add(host)

    def drop(self, host: str) -> None:
        """Forget a lease that its holder gave back."""
        self._deadlines_ns.pop(host, None)
        self._renewed.add(host)

    @property
    def holders(self) -> Collection[str]:
        """Hosts that were granted a lease, some of them ended."""
        return self._deadlines_ns.keys()

    def deadlines_ns(self, now_ns: int) -> dict[str, int]:
        """Map each host whose lease may still run to its deadline.

        :param now_ns: monotonic time, in nanoseconds
        """
        ended = [h for h, d in self._deadlines_ns.items() if now_ns >= d]
        for host in ended:
            del self._deadlines_ns[host]
        return dict(self._deadlines_ns)

    def lists_all(self, now_ns: int, holders: Collection[str]) -> bool:
        """Tell whether every lease that can still run is listed.

        :param now_ns: monotonic time, in nanoseconds
        :param holders: hosts on record, which alone can have leases
        """
        if now_ns >= self.unlisted_until_ns:
            return True
        if now_ns < self.led_until_ns:
            return False
        return all(host in self._renewed for host in holders)
