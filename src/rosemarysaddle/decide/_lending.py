"""Who holds the connections of a data centre to a target.

Answers the load of a deployment with more entry hosts than a target
takes connections: each host holding its own, one in four would have
none, and open transactions would pin the rest.  So one host of each
data centre holds the share of all its hosts and lends connections to
them; a hop inside a data centre costs little.
"""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING, Final

import attrs

from rosemarysaddle.decide._times import NS_PER_MS

if TYPE_CHECKING:
    from collections.abc import Sequence

__all__ = ("ConnectionShare", "LenderRanking", "share_connections")

# Share of a target's connections that the entry hosts use together.
USABLE_CONNECTION_FRACTION: Final = 0.9
FALLBACK_LIMIT: Final = 2
# One for statements and one for a transaction that is open.
MIN_OWN_CONNECTIONS: Final = 2
# A host that took no connection is mostly back after a restart.
DOWN_BACKOFF_MS: Final = 1_000


@attrs.frozen(kw_only=True)
class ConnectionShare:
    """Connections of an entry host to each target of a group.

    :param limit: count that this host may open
    :param lends: whether one host of a data centre opens them for all
    """

    limit: int
    uses_lender: bool


def share_connections(
    *, limit: int, hosts: int, neighbours: int
) -> ConnectionShare:
    """Share a target's connections among the entry hosts.

    :param limit: connections that the target takes; 0 where unknown
    :param hosts: count of all entry hosts; 0 where unknown
    :param neighbours: count of those in the own data centre with this
        one; 0 where unknown
    """
    if not limit or not hosts:
        return ConnectionShare(limit=FALLBACK_LIMIT, uses_lender=False)
    usable = limit * USABLE_CONNECTION_FRACTION
    own = int(usable / hosts)
    if own >= MIN_OWN_CONNECTIONS or neighbours <= 1:
        return ConnectionShare(limit=max(1, own), uses_lender=False)
    together = int(usable * min(neighbours, hosts) / hosts)
    return ConnectionShare(limit=max(1, together), uses_lender=True)


@attrs.define(kw_only=True)
class LenderRanking:
    """Order in which the hosts of a data centre lend, by target.

    All hosts with the same list agree on it.  A host that leaves gives
    up its own targets only; those of the others stay where they are.

    :param own: address of this host
    """

    own: str
    hosts: tuple[str, ...] = ()
    _ranks: dict[str, tuple[str, ...]] = attrs.field(factory=dict, init=False)
    _down_until_ns: dict[str, int] = attrs.field(factory=dict, init=False)

    def replace(self, hosts: Sequence[str]) -> None:
        """Take over the list of the data centre's hosts."""
        self.hosts = tuple(sorted({*hosts, self.own}))
        self._ranks.clear()

    def lender(self, target: str, now_ns: int) -> str:
        """Find the host that lends connections to a target.

        :param now_ns: time of the decision, in nanoseconds
        """
        ranked = self._ranks.get(target)
        if ranked is None:
            ranked = tuple(
                sorted(self.hosts, key=lambda host: _weight(host, target))
            )
            self._ranks[target] = ranked
        for host in ranked:
            if now_ns >= self._down_until_ns.get(host, 0):
                return host
        return self.own

    def mark_down(self, host: str, now_ns: int) -> None:
        """Take note that a host lends nothing now."""
        if host != self.own:
            self._down_until_ns[host] = now_ns + DOWN_BACKOFF_MS * NS_PER_MS


def _weight(host: str, target: str) -> bytes:
    return hashlib.blake2b(f"{host} {target}".encode()).digest()
