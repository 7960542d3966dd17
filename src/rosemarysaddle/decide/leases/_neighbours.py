"""Lists of the entry hosts of each data centre, kept by the leader.

The lists are not replicated: a host with an outdated list borrows
connections from another host than the others do, or fails to and
retries.
"""

from __future__ import annotations

import zlib
from typing import TYPE_CHECKING, Final

import attrs

from rosemarysaddle.decide._times import NS_PER_MS
from rosemarysaddle.decide.load._lending import lending_hosts
from rosemarysaddle.schema import Neighbour, Neighbours, RemoteHosts

if TYPE_CHECKING:
    from collections.abc import Callable, Collection, Mapping

    from rosemarysaddle.schema import LeaseRenewal

__all__ = ("NeighbourLists",)

# Rendering a list for each renewal would cost time quadratic in the
# number of hosts.
RENDER_INTERVAL_MS: Final = 500
# All live hosts renew with a new leader within this time.
GATHER_WINDOW_MS: Final = 2_000
# The lists are complete once this fraction of the recorded hosts has
# renewed.  The hosts that come later take over few targets as lenders.
COMPLETE_FRACTION: Final = 0.9
# Time for those that come later than this fraction.  Without them, the
# leader does not know whether all earlier processes have ended.
STRAGGLER_WAIT_MS: Final = 200


@attrs.define(kw_only=True)
class _CachedList:
    """List of one data centre, reused until a monotonic time."""

    message: Neighbours
    until_ns: int
    with_remote: bool


@attrs.define(kw_only=True)
class NeighbourLists:
    """Lending addresses of the hosts that hold a lease."""

    _addresses: dict[str, str] = attrs.field(factory=dict, init=False)
    _cache: dict[str, _CachedList] = attrs.field(factory=dict, init=False)
    _remote: tuple[RemoteHosts, ...] = attrs.field(default=(), init=False)
    _remote_until_ns: int = attrs.field(default=0, init=False)
    _gather_until_ns: int = attrs.field(default=0, init=False)
    _recorded_hosts: int = attrs.field(default=0, init=False)
    _is_nearly_complete: bool = attrs.field(default=False, init=False)
    _is_push_due: bool = attrs.field(default=False, init=False)

    def on_elected(self, now_ns: int, *, entry_hosts: int = 0) -> None:
        """Reset the lists when this host is elected leader.

        They are withheld until nearly all recorded hosts have renewed,
        or all live ones had time to.

        :param entry_hosts: recorded number of entry hosts; 0 if unknown
        """
        self._addresses.clear()
        self._cache.clear()
        self._remote_until_ns = 0
        self._gather_until_ns = now_ns + GATHER_WINDOW_MS * NS_PER_MS
        self._is_push_due = True
        self._recorded_hosts = entry_hosts
        self._is_nearly_complete = False

    def list_if_changed(
        self,
        source: str,
        renewal: LeaseRenewal,
        *,
        centers: Mapping[str, str],
        present: Collection[str],
        now_ns: int,
        with_remote: bool = False,
    ) -> Neighbours | None:
        """Return the list of a host's data centre if the host lacks it.

        :param source: name of the host
        :param renewal: its lease renewal, with the tag of its list
        :param centers: data centre of each host
        :param present: hosts that hold a lease
        :param with_remote: whether to name the lenders of the other
            data centres
        :return: the list, or None if the host has the newest one or the
            lists are not complete yet
        """
        if not renewal.lending_address:
            return None
        self._addresses[source] = renewal.lending_address
        if self._is_gathering(now_ns):
            return None
        message = self._list(
            renewal.data_center,
            centers=centers,
            present=present,
            now_ns=now_ns,
            with_remote=with_remote,
        )
        return None if message.tag == renewal.neighbours_tag else message

    def lists_once_complete(
        self,
        *,
        centers: Mapping[str, str],
        present: Collection[str],
        now_ns: int,
        with_remote: bool = False,
        find_uncounted_ns: Callable[[str], int] = lambda _: 0,
    ) -> dict[str, Neighbours]:
        """Return the lists of all hosts, once after each election.

        Hosts that restarted together wait for their list, and would
        otherwise get it with their next renewal.

        :param find_uncounted_ns: returns since when no earlier process
            of a data centre has counted operations, or 0
        :return: list by host; empty if already returned or incomplete
        """
        if not self._is_push_due or self._is_gathering(now_ns):
            return {}
        self._is_push_due = False
        # By data centre, as each list is encoded once that way.
        hosts = sorted(
            (host for host in present if host in centers),
            key=centers.__getitem__,
        )
        lists: dict[str, Neighbours] = {}
        for center in {centers[host] for host in hosts}:
            message = self._list(
                center,
                centers=centers,
                present=present,
                now_ns=now_ns,
                with_remote=with_remote,
            )
            since_ns = find_uncounted_ns(center)
            if since_ns:
                uncounted_ms = (now_ns - since_ns) // NS_PER_MS
                message = attrs.evolve(message, uncounted_ms=uncounted_ms)
            lists[center] = message
        return {host: lists[centers[host]] for host in hosts}

    def _list(
        self,
        center: str,
        *,
        centers: Mapping[str, str],
        present: Collection[str],
        now_ns: int,
        with_remote: bool,
    ) -> Neighbours:
        cached = self._cache.get(center)
        if (
            cached is None
            or now_ns >= cached.until_ns
            or cached.with_remote is not with_remote
        ):
            held = self._addresses.items()
            self._addresses = {h: a for h, a in held if h in present}
            here = [h for h in present if centers.get(h) == center]
            remote: tuple[RemoteHosts, ...] = ()
            if with_remote:
                lenders = self._list_remote(centers, present, now_ns)
                remote = tuple(r for r in lenders if r.data_center != center)
            cached = _CachedList(
                message=self._render(here, remote),
                until_ns=now_ns + RENDER_INTERVAL_MS * NS_PER_MS,
                with_remote=with_remote,
            )
            self._cache[center] = cached
        return cached.message

    def _is_gathering(self, now_ns: int) -> bool:
        if now_ns >= self._gather_until_ns:
            return False
        found, recorded = len(self._addresses), self._recorded_hosts
        if recorded and found >= recorded:
            self._gather_until_ns = now_ns
            return False
        if found < recorded * COMPLETE_FRACTION or not recorded:
            return True
        if not self._is_nearly_complete:
            self._is_nearly_complete = True
            wait_until_ns = now_ns + STRAGGLER_WAIT_MS * NS_PER_MS
            self._gather_until_ns = min(self._gather_until_ns, wait_until_ns)
        return True

    def _list_remote(
        self,
        centers: Mapping[str, str],
        present: Collection[str],
        now_ns: int,
    ) -> tuple[RemoteHosts, ...]:
        """List the lenders of all data centres.

        A data centre without a live host is listed without lenders, so
        that the others leave its connections free.
        """
        if now_ns < self._remote_until_ns:
            return self._remote
        by_center: dict[str, set[str]] = {c: set() for c in centers.values()}
        for host in present:
            address = self._addresses.get(host)
            if address is not None and host in centers:
                by_center[centers[host]].add(address)
        self._remote = tuple(
            RemoteHosts(
                data_center=center,
                hosts=tuple(
                    Neighbour(address=a)
                    for a in lending_hosts(by_center[center])
                ),
            )
            for center in sorted(by_center)
        )
        self._remote_until_ns = now_ns + RENDER_INTERVAL_MS * NS_PER_MS
        return self._remote

    def _render(
        self, hosts: Collection[str], remote: tuple[RemoteHosts, ...]
    ) -> Neighbours:
        found = {self._addresses[h] for h in hosts if h in self._addresses}
        addresses = sorted(found)
        tag = zlib.crc32(",".join(addresses).encode())
        for center in remote:
            names = [center.data_center, *(n.address for n in center.hosts)]
            tag = zlib.crc32(",".join(names).encode(), tag)
        return Neighbours(
            tag=tag,
            hosts=tuple(Neighbour(address=a) for a in addresses),
            remote=remote,
        )
