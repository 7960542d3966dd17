"""Division of a target's connections among the entry hosts.

A deployment may have more entry hosts than a target accepts
connections.  If each host held its own, one host in four would have
none, and open transactions would pin the rest.  Therefore one host of
each data centre, the lender, holds the share of all hosts of the data
centre and lends connections to them; a hop within a data centre costs
little.

A connection of a team serves no other team.  Where there are more teams
than a lender has connections, one host of the target's own data centre
lends to the hosts of all data centres, so that fewer connections have
to be closed for another team.
"""

from __future__ import annotations

import functools
import hashlib
from typing import TYPE_CHECKING, Final

import attrs

from rosemarysaddle.decide._times import NS_PER_MS
from rosemarysaddle.decide.load._lender_assignment import (
    assign_lenders,
    rank_lenders,
)
from rosemarysaddle.decide.load._window import MAX_SIZE, MIN_SIZE

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping, Sequence

__all__ = (
    "ConnectionShare",
    "LenderRanking",
    "TeamScope",
    "lending_hosts",
    "share_connections",
)

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
# Number of hosts of a data centre among which all hosts of all data
# centres choose its lenders.
MAX_REMOTE_LENDERS: Final = 32
# Fraction of the usable connections that the lender of all data centres
# leaves to the others, for the time in which they cannot reach it.
FALLBACK_FRACTION: Final = 0.2
# Lenders of another data centre that fail before all of it counts as
# unreachable.  Each one that does not answer costs a request up to
# 500 ms.
FAILURES_PER_CENTER: Final = 2
# A target that two lenders cannot connect to is down.
MAX_UNABLE_LENDERS: Final = 2
# A lender that could not connect to a target is passed over for the
# target for this long.  Trying it again costs a request the time-out of
# a connection.
UNABLE_BACKOFF_MS: Final = 5_000
# The lenders of all data centres together let this many statements for
# each slot run, so that two thirds of them may be without demand.
OVERCOMMITMENT: Final = 3.0
# A lender of all data centres lets this many statements for each slot
# run, and no lender lets more.  A loan to another region lasts for up
# to 48 ms longer than its statement, so fewer leave slots unused.
STATEMENTS_PER_SLOT: Final = 2.0
# One statement runs while another is on its way.
MIN_LENDER_WINDOW: Final = 2.0


@attrs.frozen(kw_only=True)
class ConnectionShare:
    """Connections of an entry host to each target of a group.

    :param limit: number of connections that this host may open; with a
        lender, the number that the lender may open for its data centre
    :param uses_lender: whether one host of the data centre, the lender,
        opens the connections for all its hosts
    :param uses_teams: whether each connection serves one team
    :param lending_center: data centre whose hosts lend to all others,
        or empty if lending stays within each data centre; the limit is
        then that of this host as a lender while that data centre cannot
        be reached
    :param fraction: part of all entry hosts that borrow from one lender
    """

    limit: int
    uses_lender: bool
    uses_teams: bool = False
    lending_center: str = ""
    fraction: float = 1.0

    def min_window(self, slots: int) -> float:
        """Return how many statements run however busy the target is.

        :param slots: statements that the target runs at once; 0 if
            unknown
        """
        if not self.lending_center:
            return MIN_SIZE
        return max(MIN_SIZE, slots * STATEMENTS_PER_SLOT)

    def max_window(self, slots: int) -> float:
        """Return how many statements a lender lets run at once.

        A target queues what exceeds its slots, in order of arrival.
        The lenders therefore keep most of the statements in their own
        queues, which know who should go next.

        :param slots: statements that the target runs at once; 0 if
            unknown
        """
        if not self.uses_lender or not slots:
            return MAX_SIZE
        part = min(STATEMENTS_PER_SLOT, OVERCOMMITMENT * self.fraction)
        return max(MIN_LENDER_WINDOW, slots * part)

    @property
    def is_pending(self) -> bool:
        """Whether the lender is not known yet.

        A host that has just started would otherwise open connections
        of its own, as all the others that start with it, and exceed
        the limit of the target.
        """
        return self.uses_lender and self.limit == 0 and not self.lending_center


@attrs.frozen(kw_only=True)
class TeamScope:
    """What decides whether one host lends to all data centres.

    :param teams: number of teams in the plan
    :param target_center: data centre of the target, or empty
    :param own_center: data centre of this host
    :param remote: lending addresses of each other data centre
    :param is_first_lender: whether this host is first in the ranking
        of the target's data centre
    :param can_lend: whether this host has a lending address
    """

    teams: int
    target_center: str
    own_center: str
    remote: Mapping[str, Sequence[str]]
    is_first_lender: bool = False
    can_lend: bool = True

    def share(
        self, *, limit: int, hosts: int, neighbours: int
    ) -> ConnectionShare | None:
        """Share the connections of a target that is lent to all.

        The lender of all data centres has what the others' fall-back
        leaves of the usable connections.  A host of its data centre
        that is asked in its place, while some hosts cannot reach it,
        has the connections that are left free otherwise.

        :param limit: connections that the target accepts
        :param hosts: number of all entry hosts
        :param neighbours: number of entry hosts in the own data centre
        :return: the share, or None if lending stays within each data
            centre
        """
        usable = int(limit * USABLE_CONNECTION_FRACTION)
        own = usable // hosts
        opens_own = own >= MIN_OWN_CONNECTIONS
        if not neighbours:
            is_pending = not opens_own or self.teams > own
            if not self.can_lend or not is_pending:
                return None
            return ConnectionShare(limit=0, uses_lender=True)
        others = len(self.remote)
        # Without a list the hosts of the other data centres are not
        # known yet.
        is_complete = bool(self.remote) or neighbours >= hosts
        lender_connections = own if opens_own else usable // (others + 1)
        if not is_complete or self.teams <= lender_connections:
            return None
        return self._share_with_all(limit, usable, others)

    def _share_with_all(
        self, limit: int, usable: int, others: int
    ) -> ConnectionShare | None:
        fallback = 0
        if others:
            fallback = max(1, int(usable * FALLBACK_FRACTION / others))
        lent = usable - fallback * others
        is_own = self.target_center == self.own_center
        if lent < 1 or not (is_own or self.target_center in self.remote):
            return None
        if is_own:
            if not self.is_first_lender:
                lent = min(lent, max(1, limit - usable))
            return self._share_lent(lent)
        if not self.remote[self.target_center]:
            return ConnectionShare(limit=fallback, uses_lender=True)
        return self._share_lent(fallback)

    def _share_lent(self, limit: int) -> ConnectionShare:
        return ConnectionShare(
            limit=limit, uses_lender=True, lending_center=self.target_center
        )


def share_connections(
    *,
    limit: int,
    hosts: int,
    neighbours: int,
    team_scope: TeamScope | None = None,
) -> ConnectionShare:
    """Share a target's connections among the entry hosts.

    :param limit: connections that the target accepts; 0 if unknown
    :param hosts: number of all entry hosts; 0 if unknown
    :param neighbours: number of entry hosts in the own data centre,
        this host included; 0 if unknown
    :param team_scope: teams and data centres; None if the plan has no
        teams
    """
    share = None
    if team_scope is not None and limit and hosts:
        share = team_scope.share(
            limit=limit, hosts=hosts, neighbours=neighbours
        )
    if share is None:
        share = _share_by_host(limit, hosts, neighbours)
    return attrs.evolve(share, uses_teams=team_scope is not None)


def _share_by_host(limit: int, hosts: int, neighbours: int) -> ConnectionShare:
    if not limit or not hosts:
        return ConnectionShare(limit=FALLBACK_LIMIT, uses_lender=False)
    usable = limit * USABLE_CONNECTION_FRACTION
    own = int(usable / hosts)
    if own < MIN_OWN_CONNECTIONS and not neighbours:
        return ConnectionShare(limit=0, uses_lender=True)
    if own >= MIN_OWN_CONNECTIONS or neighbours <= 1:
        return ConnectionShare(limit=max(1, own), uses_lender=False)
    fraction = min(neighbours, hosts) / hosts
    return ConnectionShare(
        limit=max(1, int(usable * fraction)),
        uses_lender=True,
        fraction=fraction,
    )


def lending_hosts(addresses: Iterable[str]) -> tuple[str, ...]:
    """Select the hosts of a data centre that lend to all others.

    :param addresses: lending addresses of the hosts
    :return: the ``MAX_REMOTE_LENDERS`` addresses with the lowest hashes
    """
    return tuple(sorted(addresses, key=_address_hash)[:MAX_REMOTE_LENDERS])


@attrs.define(kw_only=True)
class LenderRanking:
    """Ranking of hosts as lenders of each target.

    All hosts with the same lists of hosts and targets agree on the
    ranking.

    :param own: lending address of this host
    :param hosts: lending addresses of all hosts of the data centre
    :param data_center: data centre of this host
    :param centers: lending addresses by data centre, of the hosts that
        lend to all data centres
    """

    own: str
    hosts: tuple[str, ...] = ()
    data_center: str = ""
    centers: dict[str, tuple[str, ...]] = attrs.field(factory=dict, init=False)
    _targets: dict[str, tuple[str, ...]] = attrs.field(
        factory=dict, init=False
    )
    _assigned: dict[str, dict[str, str]] = attrs.field(
        factory=dict, init=False
    )
    _ranks: dict[tuple[str, str], tuple[str, ...]] = attrs.field(
        factory=dict, init=False
    )
    _down_until_ns: dict[str, int] = attrs.field(factory=dict, init=False)
    _unable_until_ns: dict[tuple[str, str], int] = attrs.field(
        factory=dict, init=False
    )
    _center_trial_ns: dict[str, int] = attrs.field(factory=dict, init=False)
    _center_of: dict[str, str] = attrs.field(factory=dict, init=False)

    def replace(
        self,
        hosts: Sequence[str],
        remote: Mapping[str, Sequence[str]] | None = None,
    ) -> None:
        """Replace the lists of hosts.

        :param hosts: hosts of the own data centre
        :param remote: hosts of the other data centres that lend to all
        """
        self.hosts = tuple(sorted({*hosts, self.own}))
        remote = remote or {}
        self.centers = {name: tuple(remote[name]) for name in remote}
        self._center_of = {
            host: name for name, held in self.centers.items() for host in held
        }
        if self.data_center:
            self.centers[self.data_center] = lending_hosts(self.hosts)
        trials = self._center_trial_ns.items()
        self._center_trial_ns = {c: t for c, t in trials if c in self.centers}
        self._forget_ranks()

    def set_targets(self, targets: Mapping[str, Sequence[str]]) -> None:
        """Set the targets that are lent.

        :param targets: names of the targets by their data centre
        """
        found = {center: tuple(sorted(targets[center])) for center in targets}
        if found != self._targets:
            self._targets = found
            self._forget_ranks()

    def _forget_ranks(self) -> None:
        self._ranks.clear()
        self._assigned.clear()

    def lender(
        self, target: str, now_ns: int, *, data_center: str = ""
    ) -> str:
        """Find the host that lends connections to a target.

        :param target: name of the target
        :param now_ns: monotonic time, in nanoseconds
        :param data_center: data centre whose hosts lend to all others,
            or empty to lend within the own one
        :return: address of the first host in the ranking that may be
            asked, or of this host if there is none; a host of the own
            data centre if the other one is unreachable
        """
        if data_center and data_center not in self._center_trial_ns:
            found = self._first(data_center, target, now_ns)
            if found:
                return found
        return self._first("", target, now_ns) or self.own

    def trial_lender(
        self, target: str, now_ns: int, *, data_center: str
    ) -> str:
        """Let one request try an unreachable data centre when due.

        The others go on using lenders of the own data centre until a
        lender of the other one answers.

        :return: host that the caller has to ask, or empty if no trial
            is due
        """
        trial_ns = self._center_trial_ns.get(data_center)
        if trial_ns is None or now_ns < trial_ns:
            return ""
        self._center_trial_ns[data_center] = (
            now_ns + DOWN_BACKOFF_MS * NS_PER_MS
        )
        return self._first(data_center, target, now_ns)

    def is_first(self, target: str, data_center: str) -> bool:
        """Tell whether this host is first in the ranking."""
        return self._rank(data_center, target)[:1] == (self.own,)

    def is_remote(self, host: str) -> bool:
        """Tell whether a lender is in another data centre."""
        return host in self._center_of

    def mark_down(self, host: str, now_ns: int) -> str:
        """Skip another host as a lender for ``DOWN_BACKOFF_MS``.

        :return: data centre that counts as unreachable from now on, or
            empty
        """
        if host == self.own:
            return ""
        self._down_until_ns[host] = now_ns + DOWN_BACKOFF_MS * NS_PER_MS
        center = self._center_of.get(host, "")
        if not center or center in self._center_trial_ns:
            return ""
        hosts = self.centers[center]
        failed = sum(now_ns < self._down_until_ns.get(h, 0) for h in hosts)
        if failed < min(FAILURES_PER_CENTER, len(hosts)):
            return ""
        self._center_trial_ns[center] = now_ns + DOWN_BACKOFF_MS * NS_PER_MS
        return center

    def mark_up(self, host: str) -> str:
        """Record that a lender of another data centre answered.

        :return: data centre that is reachable again, or empty
        """
        center = self._center_of.get(host, "")
        if self._center_trial_ns.pop(center, None) is None:
            return ""
        return center

    def mark_unable(self, host: str, target: str, now_ns: int) -> None:
        """Skip a lender that could not connect to a target.

        It is skipped for this target only, for ``UNABLE_BACKOFF_MS``.
        """
        if len(self._unable_until_ns) > len(self._ranks):
            held = self._unable_until_ns.items()
            self._unable_until_ns = {k: v for k, v in held if now_ns < v}
        self._unable_until_ns[host, target] = (
            now_ns + UNABLE_BACKOFF_MS * NS_PER_MS
        )

    def is_unable(self, host: str, target: str, now_ns: int) -> bool:
        """Tell whether a lender is skipped for a target."""
        return now_ns < self._unable_until_ns.get((host, target), 0)

    def mark_able(self, host: str, target: str) -> None:
        """Record that a lender has a connection to a target."""
        self._unable_until_ns.pop((host, target), None)

    def _first(self, data_center: str, target: str, now_ns: int) -> str:
        # Stops at the first, as each tick asks for every target.
        up: list[str] = []
        for host in self._rank(data_center, target):
            if now_ns < self._down_until_ns.get(host, 0):
                continue
            if not self.is_unable(host, target, now_ns):
                return host
            up.append(host)
            if len(up) == MAX_UNABLE_LENDERS:
                break
        # All agree on the first again if the target itself is down.
        return up[0] if up else ""

    def _rank(self, data_center: str, target: str) -> tuple[str, ...]:
        ranked = self._ranks.get((data_center, target))
        if ranked is None:
            hosts = self.hosts
            if data_center:
                hosts = self.centers.get(data_center, ())
            ranked = rank_lenders(
                hosts, target, self._assignment(data_center, hosts)
            )
            self._ranks[data_center, target] = ranked
        return ranked

    def _assignment(
        self, data_center: str, hosts: Sequence[str]
    ) -> Mapping[str, str]:
        """Assign the targets that the hosts lend.

        :param data_center: data centre whose hosts lend its targets to
            all others, or empty if they lend all targets to their own
        """
        assigned = self._assigned.get(data_center)
        if assigned is None:
            targets = self._targets.get(data_center, ())
            if not data_center:
                targets = tuple(t for c in self._targets.values() for t in c)
            assigned = assign_lenders(hosts, targets)
            self._assigned[data_center] = assigned
        return assigned


@functools.lru_cache(maxsize=4_096)
def _address_hash(address: str) -> bytes:
    return hashlib.blake2b(address.encode(), digest_size=8).digest()
