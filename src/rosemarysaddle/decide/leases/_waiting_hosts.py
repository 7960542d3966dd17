"""Entry hosts whose renewal found no leader."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import attrs

from rosemarysaddle.decide._times import NS_PER_MS

if TYPE_CHECKING:
    from rosemarysaddle.schema import LeaseRenewal

__all__ = ("WaitingHosts",)

# A host sends its next renewal sooner.  An older one may be that of a
# host that is gone, whose lease would delay a change of primary.
MAX_AGE_MS: Final = 500
MAX_HOSTS: Final = 8_192


@attrs.define(kw_only=True)
class WaitingHosts:
    """Latest renewal of each host that was told of no leader.

    Once a leader is known, they are answered at once, and the hosts
    need not wait for their next renewal.
    """

    _renewals: dict[str, tuple[int, LeaseRenewal]] = attrs.field(
        factory=dict, init=False
    )

    def add(self, host: str, renewal: LeaseRenewal, now_ns: int) -> None:
        """Keep a renewal, unless very many hosts wait already."""
        if host in self._renewals or len(self._renewals) < MAX_HOSTS:
            self._renewals[host] = (now_ns, renewal)

    def drop(self, host: str) -> None:
        """Remove a host that wants no lease any more."""
        self._renewals.pop(host, None)

    def take(self, now_ns: int) -> list[tuple[str, LeaseRenewal]]:
        """Remove all renewals; return those that are recent."""
        if not self._renewals:
            return []
        oldest_ns = now_ns - MAX_AGE_MS * NS_PER_MS
        taken = [
            (host, renewal)
            for host, (received_ns, renewal) in self._renewals.items()
            if received_ns >= oldest_ns
        ]
        self._renewals.clear()
        return taken
