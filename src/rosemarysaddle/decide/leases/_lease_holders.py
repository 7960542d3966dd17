"""Registry of the entry hosts that may hold a lease.

The registry is kept in the control log, and a host is registered before
its first lease.  A new leader therefore knows every host that may still
hold a lease of an earlier leader.  A change of primary can proceed as
soon as all of them have renewed with the new leader, instead of waiting
until any unknown lease would have expired.
"""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Final

import attrs

from rosemarysaddle.decide._times import NS_PER_MS
from rosemarysaddle.decide.control_log._state import EntryKind

if TYPE_CHECKING:
    from rosemarysaddle.decide._effects import Effect
    from rosemarysaddle.decide.control_log._context import LeaderContext
    from rosemarysaddle.schema import LeaseRenewal, LogEntry

__all__ = ("LeaseHolderRegistry",)

# Not urgent: a host that is gone takes only a few bytes of the state.
RETIRE_INTERVAL_MS: Final = 1_000


@attrs.define(kw_only=True)
class LeaseHolderRegistry:
    """Adds hosts to the registry and removes them, as leader."""

    context: LeaderContext
    _pending_renewals: dict[str, LeaseRenewal] = attrs.field(
        factory=dict, init=False
    )
    _registering: set[str] = attrs.field(factory=set, init=False)
    _retiring: set[str] = attrs.field(factory=set, init=False)
    _next_retire_ns: int = attrs.field(default=0, init=False)

    def on_elected(self) -> None:
        """Reset the state when this host is elected leader."""
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
        """Register a host.

        Its renewal is granted once the registration has been applied.
        """
        self._pending_renewals[host] = renewal
        return self._propose_registration(now_ns)

    def on_applied(
        self, entry: LogEntry, now_ns: int
    ) -> tuple[list[Effect], list[tuple[str, LeaseRenewal]]]:
        """Continue after an entry that changes the registry.

        Other entries are ignored.

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
        """Remove hosts whose leases have expired from the registry."""
        if now_ns < self._next_retire_ns:
            return []
        self._next_retire_ns = now_ns + RETIRE_INTERVAL_MS * NS_PER_MS
        if self._retiring or not self.context.lists_all_leases(now_ns):
            return []
        listed = self.context.leases.deadlines_ns(now_ns).keys()
        expired = self.context.state.lease_holders - listed
        if not expired:
            return []
        # They get no lease until they have been registered again.
        self._retiring = expired
        return self._propose([], sorted(expired), now_ns)

    def _propose_registration(self, now_ns: int) -> list[Effect]:
        # Hosts that renew while an entry is pending share the next one.
        if self._registering or not self._pending_renewals:
            return []
        self._registering = set(self._pending_renewals)
        return self._propose(sorted(self._registering), [], now_ns)

    def _propose(
        self, joining: list[str], leaving: list[str], now_ns: int
    ) -> list[Effect]:
        payload = json.dumps({"in": joining, "out": leaving})
        return self.context.propose(EntryKind.HOLDERS, payload, now_ns)
