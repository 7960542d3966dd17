"""Division of a target's connections among the entry hosts.

A deployment may have more entry hosts than a target accepts
connections.  If each host held its own, one host in four would have
none, and open transactions would pin the rest.  Therefore one host of
each data centre, the lender, holds the share of all hosts of the data
centre and lends connections to them; a hop within a data centre costs
little.
"""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING, Final

import attrs

from rosemarysaddle.decide._times import NS_PER_MS

if TYPE_CHECKING:
    from collections.abc import Sequence

__all__ = ("ConnectionShare", "LenderRanking", "share_connections")

# Fraction of a target's connections that all entry hosts together use.
USABLE_CONNECTION_FRACTION: Final = 0.9
# Connections of a host to a target, while the target's limit or the
# number of hosts is unknown.
FALLBACK_LIMIT: Final = 2
# One for statements and one for an open transaction.
MIN_OWN_CONNECTIONS: Final = 2
# A host that accepted no connection is usually back from a restart by
# then.
DOWN_BACKOFF_MS: Final = 1_000


@attrs.frozen(kw_only=True)
class ConnectionShare:
    """Connections of an entry host to each target of a group.

    :param limit: number of connections that this host may open; with a
        lender, the number that the lender may open for its data centre
    :param uses_lender: whether one host of the data centre, the lender,
        opens the connections for all its hosts
    :param uses_teams: whether each connection serves one team
    """

    limit: int
    uses_lender: bool
    uses_teams: bool = False

    @property
    def is_pending(self) -> bool:
        """Whether the lender is not known yet.

        A host that has just started would otherwise open connections
        of its own, as all the others that start with it, and exceed
        the limit of the target.
        """
        return self.uses_lender and self.limit == 0


def share_connections(
    *, limit: int, hosts: int, neighbours: int
) -> ConnectionShare:
    """Share a target's connections among the entry hosts.

    :param limit: connections that the target accepts; 0 if unknown
    :param hosts: number of all entry hosts; 0 if unknown
    :param neighbours: number of entry hosts in the own data centre,
        this host included; 0 if unknown
    """
    if not limit or not hosts:
        return ConnectionShare(limit=FALLBACK_LIMIT, uses_lender=False)
    usable = limit * USABLE_CONNECTION_FRACTION
    own = int(usable / hosts)
    if own < MIN_OWN_CONNECTIONS and not neighbours:
        return ConnectionShare(limit=0, uses_lender=True)
    if own >= MIN_OWN_CONNECTIONS or neighbours <= 1:
        return ConnectionShare(limit=max(1, own), uses_lender=False)
    together = int(usable * min(neighbours, hosts) / hosts)
    return ConnectionShare(limit=max(1, together), uses_lender=True)


@attrs.define(kw_only=True)
class LenderRanking:
    """Ranking of the hosts of a data centre as lenders of each target.

    Rendezvous hashing: all hosts with the same list agree on the
    ranking, and when a host leaves, only the targets that it lent move
    to other lenders.

    :param own: lending address of this host
    :param hosts: lending addresses of all hosts of the data centre
    """

    own: str
    hosts: tuple[str, ...] = ()
    _ranks: dict[str, tuple[str, ...]] = attrs.field(factory=dict, init=False)
    _down_until_ns: dict[str, int] = attrs.field(factory=dict, init=False)

    def replace(self, hosts: Sequence[str]) -> None:
        """Replace the list of the hosts of the data centre."""
        self.hosts = tuple(sorted({*hosts, self.own}))
        self._ranks.clear()

    def lender(self, target: str, now_ns: int) -> str:
        """Find the host that lends connections to a target.

        :param target: name of the target
        :param now_ns: monotonic time, in nanoseconds
        :return: address of the first host in the ranking that is not
            marked down, or of this host if all are
        """
        ranked = self._ranks.get(target)
        if ranked is None:
            ranked = tuple(
                sorted(
                    self.hosts, key=lambda host: _rendezvous_hash(host, target)
                )
            )
            self._ranks[target] = ranked
        for host in ranked:
            if now_ns >= self._down_until_ns.get(host, 0):
                return host
        return self.own

    def mark_down(self, host: str, now_ns: int) -> None:
        """Skip another host as a lender for ``DOWN_BACKOFF_MS``."""
        if host != self.own:
            self._down_until_ns[host] = now_ns + DOWN_BACKOFF_MS * NS_PER_MS


def _rendezvous_hash(host: str, target: str) -> bytes:
    return hashlib.blake2b(f"{host} {target}".encode()).digest()
