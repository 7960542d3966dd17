"""Leases of entry hosts; one lease covers all groups of a host."""

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
    """Lease of an entry host, as the host itself tracks it.

    :param deadline_ns: monotonic time at which the lease ends
    :param min_index: log index that has to be applied before the lease
        covers writes
    :param leader: control host that granted the lease
    """

    deadline_ns: int = 0
    min_index: int = 0
    leader: str = ""
    _closed: dict[str, int] = attrs.field(factory=dict)

    def grant(self, leader: str, grant: LeaseGrant) -> None:
        """Apply a grant to the lease.

        :param leader: control host that granted it
        :param grant: reply to a renewal of this host
        """
        deadline_ns = lease_deadline_ns(grant.sent_ns, grant.lease_ms)
        self.leader = leader
        self.deadline_ns = max(self.deadline_ns, deadline_ns)
        self.min_index = max(self.min_index, grant.min_index)
        for closing in grant.closing:
            self.close(closing.group, closing.term)

    def close(self, group: str, term: int) -> None:
        """Stop covering writes up to a term of a group."""
        self._closed[group] = max(self._closed.get(group, 0), term)

    def is_closed(self, group: str, term: int) -> bool:
        """Tell whether a term of a group has been closed."""
        return term <= self._closed.get(group, 0)

    def end(self) -> None:
        """End the lease before its deadline."""
        self.deadline_ns = 0

    def covers(
        self, group: str, term: int, *, applied_index: int, now_ns: int
    ) -> bool:
        """Tell whether writes under a term may run or be acknowledged.

        :param applied_index: index of the last entry applied here
        :param now_ns: monotonic time, in nanoseconds
        """
        if now_ns >= self.deadline_ns or applied_index < self.min_index:
            return False
        return term > self._closed.get(group, 0)


@attrs.define(kw_only=True)
class LeaseTable:
    """Leases of all entry hosts, as the control leader tracks them.

    :param unlisted_until_ns: time until which leases of an earlier
        leader may exist that this table does not list
    :param led_until_ns: time until which an earlier leader may have
        granted leases
    :param lease_ms: length of a lease, in milliseconds
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
        """Create the table of a newly elected leader.

        :param earlier_leader_until_ns: monotonic time until which an
            earlier leader may have granted leases, in nanoseconds
        :param lease_ms: length of a lease, in milliseconds
        """
        return cls(
            unlisted_until_ns=earlier_leader_until_ns + lease_ms * NS_PER_MS,
            led_until_ns=earlier_leader_until_ns,
            lease_ms=lease_ms,
        )

    def grant(self, host: str, now_ns: int) -> bool:
        """Record a lease granted now.

        :return: whether this is the first one since no earlier leader
            can grant, while a lease of an earlier leader may be valid
        """
        self._deadlines_ns[host] = now_ns + self.lease_ms * NS_PER_MS
        # From now on, no earlier leader can grant it a later deadline.
        if now_ns < self.led_until_ns or host in self._renewed:
            return False
        self._renewed.add(host)
        return now_ns < self.unlisted_until_ns

    def drop(self, host: str) -> None:
        """Remove a lease that its holder returned."""
        self._deadlines_ns.pop(host, None)
        # It holds no lease of an earlier leader either.
        self._renewed.add(host)

    @property
    def holders(self) -> Collection[str]:
        """Hosts that were granted a lease, which may have expired."""
        return self._deadlines_ns.keys()

    def deadlines_ns(self, now_ns: int) -> dict[str, int]:
        """Map each host with a possibly valid lease to its deadline.

        :param now_ns: monotonic time, in nanoseconds
        """
        expired = [h for h, d in self._deadlines_ns.items() if now_ns >= d]
        for host in expired:
            del self._deadlines_ns[host]
        return dict(self._deadlines_ns)

    def lists_all(self, now_ns: int, holders: Collection[str]) -> bool:
        """Tell whether every lease that may still be valid is listed.

        :param now_ns: monotonic time, in nanoseconds
        :param holders: registered hosts; no others can have a lease
        """
        if now_ns >= self.unlisted_until_ns:
            return True
        if now_ns < self.led_until_ns:
            return False
        return all(host in self._renewed for host in holders)
