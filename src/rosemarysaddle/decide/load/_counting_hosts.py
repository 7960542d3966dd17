"""Choice of the host that counts a team's operations.

Within a data centre it is the first host in a rendezvous ranking of the
team's name, so that hosts with the same list agree without a message,
and only the teams of a host that leaves move to others.
"""

from __future__ import annotations

import collections
import hashlib
from typing import TYPE_CHECKING, Final

import attrs

from rosemarysaddle.decide._times import LEASE_MS, NS_PER_MS
from rosemarysaddle.decide.load._lending import lending_hosts

if TYPE_CHECKING:
    from collections.abc import Iterable

__all__ = ("CountingHosts", "CountingRole", "rank_hosts")

# Lists that are remembered in order to find out since when this host
# has counted for a team.  A list change removes no tokens from hosts
# whose teams did not move.
MAX_EPOCHS: Final = 8
# Another host may still count by an older list for as long as its
# lease lasts.
JOIN_HOLD_MS: Final = LEASE_MS


def rank_hosts(hosts: Iterable[str], team: str) -> tuple[str, ...]:
    """Rank the lending addresses of a data centre for a team."""
    return tuple(sorted(hosts, key=lambda host: _hash(host, team)))


def _hash(host: str, name: str) -> bytes:
    return hashlib.blake2b(f"{host} {name}".encode(), digest_size=8).digest()


@attrs.frozen(kw_only=True)
class CountingRole:
    """Role of this host for a team.

    :param is_first: whether this host counts for the team
    :param is_second: whether it stands in while the first is down
    :param since_ns: time since which it has been the first
    :param half_rate_until_ns: time until which another host may still
        count for the team
    """

    is_first: bool
    is_second: bool = False
    since_ns: int = 0
    half_rate_until_ns: int = 0


@attrs.frozen(kw_only=True)
class _Epoch:
    since_ns: int
    hosts: tuple[str, ...]


@attrs.define(kw_only=True)
class CountingHosts:
    """Ranking of the data centre's hosts for each team.

    :param own: lending address of this host
    :param hosts: addresses of the hosts that count; empty until the
        list is known
    :param changed_ns: time of the last change of the list
    """

    own: str
    hosts: tuple[str, ...] = attrs.field(default=(), init=False)
    changed_ns: int = attrs.field(default=0, init=False)
    _epochs: collections.deque[_Epoch] = attrs.field(
        factory=lambda: collections.deque(maxlen=MAX_EPOCHS), init=False
    )
    _ranks: dict[str, tuple[str, ...]] = attrs.field(factory=dict, init=False)
    _started_ns: int = attrs.field(default=0, init=False)

    def replace(
        self,
        hosts: Iterable[str],
        now_ns: int,
        *,
        uncounted_since_ns: int = 0,
    ) -> None:
        """Replace the list of the data centre's hosts.

        A list that lacks this host is older than its lease, so that
        other hosts ask another one.

        :param uncounted_since_ns: time since which no earlier process
            of the data centre has counted, or 0 if one may count; used
            with the first list only
        """
        # Other data centres know only these hosts of this one.
        selected = lending_hosts(hosts)
        if selected == self.hosts:
            return
        self.hosts = selected
        self.changed_ns = now_ns
        self._ranks.clear()
        since_ns = now_ns
        if not self._epochs and uncounted_since_ns:
            # All hosts of the data centre have this list or none, so
            # that no other one counts for the same teams.
            since_ns = uncounted_since_ns
        elif not self._epochs:
            self._started_ns = now_ns
        self._epochs.append(_Epoch(since_ns=since_ns, hosts=selected))

    def restart(self, now_ns: int) -> None:
        """Forget since when this host counts: its lease had ended.

        Others may have counted in the meantime.
        """
        if not self._epochs:
            return
        self._epochs.clear()
        self._epochs.append(_Epoch(since_ns=now_ns, hosts=self.hosts))
        self._started_ns = now_ns

    def ranking(self, team: str) -> tuple[str, ...]:
        """Return the hosts to ask for tokens of a team, in order."""
        ranked = self._ranks.get(team)
        if ranked is None:
            ranked = rank_hosts(self.hosts, team)
            self._ranks[team] = ranked
        return ranked

    def role(self, team: str) -> CountingRole:
        """Find out the role of this host for a team."""
        ranked = self.ranking(team)
        if not ranked or ranked[0] != self.own:
            second = len(ranked) > 1 and ranked[1] == self.own
            return CountingRole(is_first=False, is_second=second)
        since_ns = self._epochs[-1].since_ns
        for epoch in reversed(self._epochs):
            if rank_hosts(epoch.hosts, team)[:1] != (self.own,):
                break
            since_ns = epoch.since_ns
        hold_ns = 0
        if since_ns == self._started_ns and len(ranked) > 1:
            hold_ns = since_ns + JOIN_HOLD_MS * NS_PER_MS
        return CountingRole(
            is_first=True, since_ns=since_ns, half_rate_until_ns=hold_ns
        )

    def forget(self, team: str) -> None:
        """Forget the ranking of a team that sends nothing."""
        self._ranks.pop(team, None)
