"""Relaying of lease renewals over a neighbouring entry host.

A host that the control leader does not answer asks hosts of its data
centre to relay its renewals.  docs/design/relayed-leases.md explains
why a lease that results is as safe as a direct one.
"""

from __future__ import annotations

import zlib
from typing import TYPE_CHECKING, Final

import attrs

from rosemarysaddle.decide._times import NS_PER_MS
from rosemarysaddle.schema import (
    GroupClosed,
    LeaseRenewal,
    LeaseReturn,
    PlanReport,
    ReplicasBehind,
    Suspicion,
    TermReport,
)

if TYPE_CHECKING:
    from collections.abc import Sequence

    from rosemarysaddle.schema import Message

__all__ = ("RelayChoice", "RelayRoutes", "is_relayable")

# Longer than an election, in which neighbours reach no leader either.
RELAY_AFTER_MS: Final = 900
RELAY_TIMEOUT_MS: Final = 300
MAX_ASKED: Final = 2
# Two renewal intervals and the time in which a lost one is repeated.
ROUTE_MS: Final = 2_500
MAX_ROUTES: Final = 4_096


def is_relayable(host: str, message: Message) -> bool:
    """Tell whether a leader accepts a message of a host over a relay.

    :param host: host that the relay names as the sender
    """
    match message:
        case (
            LeaseRenewal()
            | GroupClosed()
            | LeaseReturn()
            | Suspicion()
            | ReplicasBehind()
            | TermReport()
            | PlanReport()
        ):
            return message.host == host
        case _:
            return False


@attrs.define(kw_only=True)
class RelayChoice:
    """Choice of the neighbours that relay a host's renewals.

    :param host: name of the host, which spreads the load: each starts
        with other neighbours
    :param own: its lending address
    :param current: neighbour that relayed the last grant; empty if the
        last grant came directly
    :param asked: neighbours that were asked with the last renewal
    """

    host: str
    own: str
    current: str = attrs.field(default="", init=False)
    asked: tuple[str, ...] = attrs.field(default=(), init=False)
    _is_active: bool = attrs.field(default=False, init=False)
    _next: int = attrs.field(default=0, init=False)
    _ask_at_ns: int = attrs.field(default=0, init=False)

    @property
    def is_active(self) -> bool:
        """Whether renewals are relayed or were tried to be."""
        return self._is_active

    def choose(
        self,
        neighbours: Sequence[str],
        *,
        unanswered_since_ns: int,
        now_ns: int,
    ) -> tuple[str, ...]:
        """Choose the neighbours to ask with the renewal sent now.

        :param neighbours: lending addresses of the data centre's hosts
        :param unanswered_since_ns: time of the first renewal without an
            answer; 0 if the last one was answered
        :return: at most ``MAX_ASKED`` addresses
        """
        if self.current and not unanswered_since_ns:
            return (self.current,)
        waited_ns = now_ns - unanswered_since_ns
        if not unanswered_since_ns or now_ns < self._ask_at_ns:
            return ()
        if not self._is_active and waited_ns < RELAY_AFTER_MS * NS_PER_MS:
            return ()
        self._is_active = True
        self.current = ""
        self._ask_at_ns = now_ns + RELAY_TIMEOUT_MS * NS_PER_MS
        self.asked = self._choose_next(neighbours)
        return self.asked

    def record_grant(self, neighbour: str) -> None:
        """Record that a neighbour relayed a grant."""
        self.current = neighbour
        self.asked = (neighbour,)
        self._is_active = True

    def record_direct_grant(self) -> None:
        """Record that the leader answered directly."""
        self.current = ""
        self.asked = ()
        self._is_active = False

    def record_failure(self, neighbour: str) -> None:
        """Record that a neighbour cannot relay.

        Once all that were asked have failed, others are asked with the
        next renewal.
        """
        self.asked = tuple(a for a in self.asked if a != neighbour)
        if neighbour == self.current:
            self.current = ""
        if not self.asked:
            self._ask_at_ns = 0

    def _choose_next(self, neighbours: Sequence[str]) -> tuple[str, ...]:
        others = [n for n in neighbours if n != self.own]
        if not others:
            return ()
        others.sort(key=lambda n: zlib.crc32(f"{self.host} {n}".encode()))
        count = min(MAX_ASKED, len(others))
        start, self._next = self._next, self._next + count
        return tuple(others[(start + i) % len(others)] for i in range(count))


@attrs.define(kw_only=True)
class RelayRoutes:
    """Entry hosts over which the leader reaches others.

    A route is used in addition to the direct connection, as either may
    work in one direction only.
    """

    _routes: dict[str, tuple[str, int]] = attrs.field(factory=dict, init=False)

    def record(self, host: str, relay: str, now_ns: int) -> None:
        """Record that a host's message arrived over a relay.

        :param now_ns: monotonic time, in nanoseconds
        """
        self._routes.pop(host, None)
        # The oldest routes come first.
        for name, (_, until_ns) in list(self._routes.items())[:2]:
            if now_ns >= until_ns or len(self._routes) >= MAX_ROUTES:
                del self._routes[name]
        self._routes[host] = (relay, now_ns + ROUTE_MS * NS_PER_MS)

    def find(self, host: str, now_ns: int) -> str:
        """Return the relay of a host, or an empty text."""
        relay, until_ns = self._routes.get(host, ("", 0))
        return relay if now_ns < until_ns else ""
