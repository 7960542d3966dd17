"""Log and counts of the peers that a host has lost and regained.

A contact is a peer in one role, such as the control leader or a
lender.  Losing and regaining it writes one rate-limited log line each.
"""

from __future__ import annotations

import collections
import enum
from typing import TYPE_CHECKING, Final

import attrs

from rosemarysaddle._clock import NS_PER_S
from rosemarysaddle._events import log_event

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = ("ContactKind", "ContactLog", "LinkKind")

# A data centre of the largest deployment planned has 200 entry hosts.
MAX_LOST_CONTACTS: Final = 512
# Control hosts and neighbours are only tried during an outage, so what
# is known of one that was not tried lately is out of date.
FORGET_AFTER_NS: Final = 10 * NS_PER_S
_NS_PER_MS: Final = 1_000_000


class ContactKind(enum.StrEnum):
    """Role of a peer for this host."""

    LEASE = "lease"
    LEADER = "leader"
    CONTROL_HOST = "control-host"
    LENDER = "lender"
    NEIGHBOUR = "neighbour"


class LinkKind(enum.StrEnum):
    """Path over which a peer is reached."""

    DIRECT = "direct"
    RELAYED = "relayed"


@attrs.define(kw_only=True)
class _LostContact:
    since_ns: int
    tried_ns: int


@attrs.define(kw_only=True)
class ContactLog:
    """Contacts that are lost now, and counts of those lost so far.

    :param write: called with kind and text of each log line
    :param losses: number of times that a contact was lost, by kind and
        link
    :param lost_ns: time for which contacts that have been regained were
        lost in total, in nanoseconds, by kind and link
    """

    write: Callable[[str, str], None] = log_event
    losses: collections.Counter[tuple[str, str]] = attrs.field(
        factory=collections.Counter, init=False
    )
    lost_ns: collections.Counter[tuple[str, str]] = attrs.field(
        factory=collections.Counter, init=False
    )
    _lost: dict[tuple[ContactKind, str], _LostContact] = attrs.field(
        factory=dict, init=False
    )

    def record_lost(
        self,
        kind: ContactKind,
        peer: str,
        now_ns: int,
        *,
        link: LinkKind = LinkKind.DIRECT,
        reason: str = "",
    ) -> None:
        """Record that a contact is lost, unless it already is.

        :param now_ns: monotonic time since which it is lost
        :param link: path over which it was reached before
        """
        key = (kind, peer)
        known = self._lost.get(key)
        if known is not None:
            known.tried_ns = max(known.tried_ns, now_ns)
            return
        if len(self._lost) >= MAX_LOST_CONTACTS:
            del self._lost[next(iter(self._lost))]
        self._lost[key] = _LostContact(since_ns=now_ns, tried_ns=now_ns)
        self.losses[kind, link] += 1
        text = f"kind={kind} peer={peer or '-'} link={link}"
        if reason:
            text += f" reason={reason}"
        self.write("contact-lost", text)

    def record_regained(
        self,
        kind: ContactKind,
        peer: str,
        now_ns: int,
        *,
        link: LinkKind = LinkKind.DIRECT,
    ) -> None:
        """Record that a contact works; ignored unless it was lost.

        :param now_ns: monotonic time since which it works
        :param link: path over which it is reached now
        """
        lost = self._lost.pop((kind, peer), None)
        if lost is None:
            return
        spent_ns = max(0, now_ns - lost.since_ns)
        self.lost_ns[kind, link] += spent_ns
        self.write(
            "contact-regained",
            f"kind={kind} peer={peer or '-'} link={link}"
            f" lost_ms={spent_ns // _NS_PER_MS}",
        )

    def forget_unused(self, now_ns: int) -> None:
        """Forget lost peers that have not been tried lately.

        The lease and the leader are always needed.
        """
        for key, lost in list(self._lost.items()):
            kind, peer = key
            if kind in {ContactKind.LEASE, ContactKind.LEADER}:
                continue
            if now_ns >= lost.tried_ns + FORGET_AFTER_NS:
                del self._lost[key]
                self.write("contact-unused", f"kind={kind} peer={peer}")

    def count_lost(self, kind: ContactKind) -> int:
        """Count the contacts of a kind that are lost now."""
        return sum(key[0] is kind for key in list(self._lost))

    def longest_lost_s(self, kind: ContactKind, now_ns: int) -> float:
        """Return for how long the first lost contact has been lost.

        :param now_ns: monotonic time, in nanoseconds
        :return: seconds; 0 if no contact of the kind is lost
        """
        since = [
            lost.since_ns
            for key, lost in list(self._lost.items())
            if key[0] is kind
        ]
        return max(0, now_ns - min(since)) / NS_PER_S if since else 0.0
