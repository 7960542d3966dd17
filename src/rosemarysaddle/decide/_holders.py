"""Entry hosts that may hold a lease, kept in the control log.

A host is put on record before its first lease.  So a new leader knows
everyone who may still hold a lease of an earlier one, and a change of
primary goes on as soon as they have all renewed with it, instead of
waiting until the last unknown lease would have run out.
"""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Final

import attrs

from rosemarysaddle.decide._state import EntryKind
from rosemarysaddle.decide._times import NS_PER_MS

if TYPE_CHECKING:
    from rosemarysaddle.decide._effects import Effect
    from rosemarysaddle.decide._office import Office
    from rosemarysaddle.schema import LeaseRenewal, LogEntry

__all__ = ("HolderKeeper",)

# Records of hosts that are gone cost a few bytes each.
RETIRE_MS: Final = 1_000


@attrs.define(kw_only=True)
class HolderKeeper:
    """Changes of the record, as the leader makes them."""

    office: Office
    _newcomers: dict[str, LeaseRenewal] = attrs.field(factory=dict, init=False)
    _enrolling: set[str] = attrs.field(factory=set, init=False)
    _retiring: set[str] = attrs.field(factory=set, init=False)
    _retire_at_ns: int = attrs.field(default=0, init=False)

    def take_office(self) -> None:
        """Start afresh as leader."""
        self._newcomers.clear()
        self._enrolling.clear()
        self._retiring.clear()

    def is_known(self, host: str) -> bool:
        """Tell whether a host may be granted a lease."""
        holders = self.office.state.lease_holders
        return host in holders and host not in self._retiring

    def enrol(
        self, host: str, renewal: LeaseRenewal, now_ns: int
    ) -> list[Effect]:
        """Put a host on record; it gets its lease once that is done."""
        self._newcomers[host] = renewal
        return self._propose_newcomers(now_ns)

    def on_applied(
        self, entry: LogEntry, now_ns: int
    ) -> tuple[list[Effect], list[tuple[str, LeaseRenewal]]]:
        """Go on after a change of the record.

        :return: effects, and the hosts whose renewals can be granted
        """
        if entry.kind != EntryKind.HOLDERS:
            return [], []
        body = json.loads(entry.payload)
        self._retiring.difference_update(body["out"])
        self._enrolling.difference_update(body["in"])
        ready = [
            (host, self._newcomers.pop(host))
            for host in body["in"]
            if host in self._newcomers
        ]
        return self._propose_newcomers(now_ns), ready

    def tick(self, now_ns: int) -> list[Effect]:
        """Take hosts whose leases have ended off the record."""
        if now_ns < self._retire_at_ns:
            return []
        self._retire_at_ns = now_ns + RETIRE_MS * NS_PER_MS
        if self._retiring or not self.office.sees_all_leases(now_ns):
            return []
        listed = self.office.leases.deadlines_ns(now_ns).keys()
        gone = self.office.state.lease_holders - listed
        if not gone:
            return []
        # Not granted again until the record says so.
        self._retiring = gone
        return self._propose([], sorted(gone), now_ns)

    def _propose_newcomers(self, now_ns: int) -> list[Effect]:
        # Those that come meanwhile share the next entry.
        if self._enrolling or not self._newcomers:
            return []
        self._enrolling = set(self._newcomers)
        return self._propose(sorted(self._enrolling), [], now_ns)

    def _propose(
        self, joining: list[str], leaving: list[str], now_ns: int
    ) -> list[Effect]:
        payload = json.dumps({"in": joining, "out": leaving})
        return self.office.propose(EntryKind.HOLDERS, payload, now_ns)
