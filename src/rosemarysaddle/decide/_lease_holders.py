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
    from rosemarysaddle.decide._context import LeaderContext
    from rosemarysaddle.decide._effects import Effect
    from rosemarysaddle.schema import LeaseRenewal, LogEntry

__all__ = ("LeaseHolderRegistry",)

# Records of hosts that are gone cost a few bytes each.
RETIRE_INTERVAL_MS: Final = 1_000


@attrs.define(kw_only=True)
class LeaseHolderRegistry:
    """Changes of the record, as the leader makes them."""

    context: LeaderContext
    _pending_renewals: dict[str, LeaseRenewal] = attrs.field(
        factory=dict, init=False
    )
    _registering: set[str] = attrs.field(factory=set, init=False)
    _retiring: set[str] = attrs.field(factory=set, init=False)
    _next_retire_ns: int = attrs.field(default=0, init=False)

    def on_elected(self) -> None:
        """Start afresh as leader."""
        self._pending_renewals.clear()
        self._registering.clear()
        self._retiring.clear()

    def is_registered(self, host: str) -> bool:
        """Tell whether a host may be granted a lease."""
        holders = self.context.state.lease_holders
        return host in holders and host not in self._retiring

    def register(
        self, host: str, renewal: LeaseRenewal, now_ns: int
    ) -> list[Effect]:
        """Put a host on record; it gets its lease once that is done."""
        self._pending_renewals[host] = renewal
        return self._propose_registration(now_ns)

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
        self._registering.difference_update(body["in"])
        ready = [
            (host, self._pending_renewals.pop(host))
            for host in body["in"]
            if host in self._pending_renewals
        ]
        return self._propose_registration(now_ns), ready

    def tick(self, now_ns: int) -> list[Effect]:
        """Take hosts whose leases have ended off the record."""
        if now_ns < self._next_retire_ns:
            return []
        self._next_retire_ns = now_ns + RETIRE_INTERVAL_MS * NS_PER_MS
        if self._retiring or not self.context.lists_all_leases(now_ns):
            return []
        listed = self.context.leases.deadlines_ns(now_ns).keys()
        gone = self.context.state.lease_holders - listed
        if not gone:
            return []
        # Not granted again until the record says so.
        self._retiring = gone
        return self._propose([], sorted(gone), now_ns)

    def _propose_registration(self, now_ns: int) -> list[Effect]:
        # Those that come meanwhile share the next entry.
        if self._registering or not self._pending_renewals:
            return []
        self._registering = set(self._pending_renewals)
        return self._propose(sorted(self._registering), [], now_ns)

    def _propose(
        self, joining: list[str], leaving: list[str], now_ns: int
    ) -> list[Effect]:
        payload = json.dumps({"in": joining, "out": leaving})
        return self.context.propose(EntryKind.HOLDERS, payload, now_ns)
