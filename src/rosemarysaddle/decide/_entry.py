"""Decisions of an entry host: lease, copy of the state, right to write.

An entry host renews its lease with the control leader, applies the
state changes that it receives and grants a write only while the lease
covers the current term of the group.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import attrs

from rosemarysaddle.decide._reasons import Reason, Refusal, Step
from rosemarysaddle.decide._send import Send
from rosemarysaddle.decide._times import NS_PER_MS, RENEWAL_INTERVAL_MS
from rosemarysaddle.decide.control_log._state import ClusterState
from rosemarysaddle.decide.leases._lease import HostLease
from rosemarysaddle.schema import (
    Announcement,
    CloseGroup,
    GroupClosed,
    LeaseGrant,
    LeaseRefusal,
    LeaseRenewal,
    LeaseReturn,
    Neighbours,
    Suspicion,
    ViewDelta,
    ViewSnapshot,
)

if TYPE_CHECKING:
    from collections.abc import Sequence

    from rosemarysaddle.decide._effects import Effect
    from rosemarysaddle.decide.primaries._terms import GroupTerm
    from rosemarysaddle.schema import Message

__all__ = ("EntryNode", "WriteTicket")

RENEWAL_TIMEOUT_MS: Final = 300
SUSPICION_INTERVAL_MS: Final = 300
DRAIN_TIMEOUT_MS: Final = 2_000


@attrs.frozen(kw_only=True)
class WriteTicket:
    """Right to send writes of a group to its primary.

    :param group: name of the group
    :param term: term of the group in which the ticket is valid
    :param primary: target that is the primary in this term
    """

    group: str
    term: int
    primary: str


@attrs.define(kw_only=True)
class _Drain:
    term: int
    leader: str
    deadline_ns: int


@attrs.define(kw_only=True)
class EntryNode:
    """State machine of one entry host.

    :param control: names of the known control hosts
    :param state: this host's copy of the cluster state
    :param announced: last announcement of each target, by target name
    :param ready: whether the state has been current at least once
        since the start
    :param lending_address: address at which this host lends
        connections, or empty
    :param neighbours: lending addresses of the entry hosts of the data
        centre
    :param remote_hosts: lending addresses of hosts of each other data
        centre, only where the plan has teams
    :param renewal_ms: time between renewals, in milliseconds
    :param view_confirmed_ns: monotonic time at which the state held all
        that was committed, as the leader has confirmed; 0 before that
    """

    host: str
    data_center: str
    address: str
    control: Sequence[str]
    state: ClusterState = attrs.field(factory=ClusterState)
    lease: HostLease = attrs.field(factory=HostLease)
    announced: dict[str, Announcement] = attrs.field(factory=dict)
    ready: bool = False
    lending_address: str = ""
    neighbours: tuple[str, ...] = attrs.field(default=(), init=False)
    remote_hosts: dict[str, tuple[str, ...]] = attrs.field(
        factory=dict, init=False
    )
    renewal_ms: int = RENEWAL_INTERVAL_MS
    view_confirmed_ns: int = attrs.field(default=0, init=False)
    # Index that the last grant named, and when its renewal was sent.
    _named_view: tuple[int, int] = attrs.field(default=(0, 0), init=False)
    _neighbours_tag: int = attrs.field(default=0, init=False)
    _leader_hint: str = attrs.field(default="", init=False)
    _renew_at_ns: int = attrs.field(default=0, init=False)
    _control_index: int = attrs.field(default=0, init=False)
    _running_writes: dict[str, int] = attrs.field(factory=dict, init=False)
    _drains: dict[str, _Drain] = attrs.field(factory=dict, init=False)
    _next_suspicion_ns: dict[str, int] = attrs.field(factory=dict, init=False)
    _stopping: bool = attrs.field(default=False, init=False)
    _has_heard_control: bool = attrs.field(default=False, init=False)
    _is_redirected: bool = attrs.field(default=False, init=False)

    def tick(self, now_ns: int) -> list[Effect]:
        """Finish drains and renew the lease if they are due.

        :param now_ns: monotonic time, in nanoseconds
        """
        effects = self._finish_drains(now_ns)
        if now_ns >= self._renew_at_ns and not self._stopping:
            effects.extend(self._renew(now_ns))
        return effects

    def receive(
        self, source: str, message: Message, now_ns: int
    ) -> list[Effect]:
        """Handle a message from another host.

        :param source: name of the sender
        :param message: message received; unknown types are ignored
        :param now_ns: monotonic time, in nanoseconds
        """
        match message:
            case LeaseGrant():
                return self._on_grant(source, message, now_ns)
            case LeaseRefusal():
                return self._on_refusal(source, message, now_ns)
            case CloseGroup():
                return self._on_close(source, message, now_ns)
            case ViewDelta():
                self._on_delta(message, now_ns)
            case ViewSnapshot():
                if message.index > self.state.index:
                    self.state = ClusterState.load(message.state)
                    self._confirm_view()
            case Announcement():
                self.announced[message.target] = message
            case Neighbours():
                self.neighbours = tuple(n.address for n in message.hosts)
                self.remote_hosts = {
                    remote.data_center: tuple(n.address for n in remote.hosts)
                    for remote in message.remote
                }
                self._neighbours_tag = message.tag
            case _:
                pass
        return []

    def begin_write(self, group: str, now_ns: int) -> WriteTicket | Refusal:
        """Begin a write to a group.

        The caller ends it with :meth:`end_write`.

        :param group: name of the group
        :param now_ns: monotonic time, in nanoseconds
        :return: ticket of the write, or why the group takes no write
        """
        term = self.state.terms.get(group)
        if term is None or not term.is_open:
            return _refuse(Reason.NO_PRIMARY, group)
        if not self.covers(term, group, now_ns):
            return _refuse(self._refusal_reason(now_ns), group)
        self._running_writes[group] = self._running_writes.get(group, 0) + 1
        return WriteTicket(group=group, term=term.term, primary=term.primary)

    def primary_of(self, group: str, now_ns: int) -> GroupTerm | None:
        """Find the term of a group whose primary may be relied on now.

        :param group: name of the group
        :param now_ns: monotonic time, in nanoseconds
        :return: the term, or None if it is not serving or the lease
            does not cover it
        """
        term = self.state.terms.get(group)
        if term is None or not term.is_serving:
            return None
        return term if self.covers(term, group, now_ns) else None

    def end_write(self, ticket: WriteTicket, now_ns: int) -> bool:
        """End a write.

        :param ticket: ticket of the write
        :param now_ns: monotonic time, in nanoseconds
        :return: whether the write may be acknowledged
        """
        self._running_writes[ticket.group] -= 1
        if self._running_writes[ticket.group] == 0:
            del self._running_writes[ticket.group]
        return self.holds(ticket, now_ns)

    def holds(self, ticket: WriteTicket, now_ns: int) -> bool:
        """Tell whether a ticket is still valid.

        A ticket of a term that drains is valid until the deadline of
        the drain, any other as long as the lease covers its term.
        """
        drain = self._drains.get(ticket.group)
        if drain is not None and drain.term == ticket.term:
            return now_ns < drain.deadline_ns
        current = self.state.terms.get(ticket.group)
        if current is None or current.term != ticket.term:
            return False
        return self.lease.covers(
            ticket.group,
            ticket.term,
            applied_index=self.state.index,
            now_ns=now_ns,
        )

    def covers(self, term: GroupTerm, group: str, now_ns: int) -> bool:
        """Tell whether the lease covers a term of a group."""
        if not term.is_open or group in self._drains:
            return False
        return self.lease.covers(
            group,
            term.term,
            applied_index=self.state.index,
            now_ns=now_ns,
        )

    def suspect(
        self, group: str, target: str, *, refused: bool, now_ns: int
    ) -> list[Effect]:
        """Report that a primary accepts no new connection.

        Reports about one group are limited to one per
        ``SUSPICION_INTERVAL_MS``.

        :param group: name of the group
        :param target: primary that accepted no connection
        :param refused: whether it refused the connection at once
        :param now_ns: monotonic time, in nanoseconds
        """
        term = self.state.terms.get(group)
        if term is None or term.primary != target:
            return []
        if now_ns < self._next_suspicion_ns.get(group, 0):
            return []
        self._next_suspicion_ns[group] = (
            now_ns + SUSPICION_INTERVAL_MS * NS_PER_MS
        )
        suspicion = Suspicion(
            host=self.host,
            group=group,
            target=target,
            term=term.term,
            refused=refused,
        )
        return [Send(peer=self._leader(), message=suspicion)]

    def is_view_current(self, now_ns: int, max_age_ms: int) -> bool:
        """Tell whether the state holds all but the newest changes.

        :param now_ns: monotonic time, in nanoseconds
        :param max_age_ms: age up to which a change may be missing, in
            milliseconds
        """
        return now_ns < self.view_confirmed_ns + max_age_ms * NS_PER_MS

    def stop(self) -> list[Effect]:
        """Return the lease before a planned stop."""
        self._stopping = True
        self.lease.end()
        return [Send(peer=self._leader(), message=LeaseReturn(host=self.host))]

    def _renew(self, now_ns: int) -> list[Effect]:
        self._renew_at_ns = now_ns + RENEWAL_TIMEOUT_MS * NS_PER_MS
        self._is_redirected = False
        peers = [self._leader()]
        if not self._has_heard_control:
            # At the start, any of them may be the one that answers.
            peers = list(self.control)
        if not self.lease.leader:
            # No answer to the last renewal: drop the hint after this
            # attempt and try the control hosts in turn.
            self._control_index += 1
            self._leader_hint = ""
        self.lease.leader = ""
        renewal = LeaseRenewal(
            host=self.host,
            data_center=self.data_center,
            sent_ns=now_ns,
            applied_index=self.state.index,
            address=self.address,
            lending_address=self.lending_address,
            neighbours_tag=self._neighbours_tag,
        )
        return [Send(peer=peer, message=renewal) for peer in peers]

    def _leader(self) -> str:
        if self.lease.leader:
            return self.lease.leader
        if self._leader_hint:
            return self._leader_hint
        return self.control[self._control_index % len(self.control)]

    def _on_grant(
        self, source: str, grant: LeaseGrant, now_ns: int
    ) -> list[Effect]:
        if self._stopping:
            return []
        self._has_heard_control = True
        self._leader_hint = source
        self._renew_at_ns = now_ns + self.renewal_ms * NS_PER_MS
        effects: list[Effect] = []
        for closing in grant.closing:
            close = CloseGroup(
                group=closing.group, term=closing.term, drain=closing.drain
            )
            effects.extend(self._on_close(source, close, now_ns))
        self.lease.grant(source, attrs.evolve(grant, closing=()))
        self._named_view = (grant.min_index, grant.sent_ns)
        self._confirm_view()
        if self.state.index >= self.lease.min_index:
            self.ready = True
        return effects

    def _on_refusal(
        self, source: str, refusal: LeaseRefusal, now_ns: int
    ) -> list[Effect]:
        self._has_heard_control = True
        if self.lease.leader not in {"", source}:
            # Late: another control host has answered since.
            return []
        if refusal.leader:
            self._leader_hint = refusal.leader
            self.lease.leader = refusal.leader
            self._renew_at_ns = now_ns
            if self._is_redirected or self._stopping:
                # Hosts that name each other wait for the next tick.
                return []
            effects = self._renew(now_ns)
            self._is_redirected = True
            return effects
        # Without a known leader, try the next control host, sooner than
        # after a renewal that got no answer.
        self._control_index += 1
        self._renew_at_ns = now_ns + RENEWAL_TIMEOUT_MS * NS_PER_MS // 3
        return []

    def _on_delta(self, delta: ViewDelta, now_ns: int) -> None:
        for entry in delta.entries:
            if entry.index > self.state.index + 1:
                # Entries are missing; the leader sends them on renewal.
                self._renew_at_ns = now_ns
                return
            self.state.apply(entry)
        self._confirm_view()

    def _confirm_view(self) -> None:
        # All that was acknowledged before the renewal was sent is part
        # of the state that the leader had when it answered.
        index, sent_ns = self._named_view
        if self.state.index >= index:
            self.view_confirmed_ns = max(self.view_confirmed_ns, sent_ns)

    def _on_close(
        self, source: str, close: CloseGroup, now_ns: int
    ) -> list[Effect]:
        group = close.group
        if close.drain and group not in self._drains:
            if self._running_writes.get(group, 0):
                latest_ns = now_ns + DRAIN_TIMEOUT_MS * NS_PER_MS
                self._drains[group] = _Drain(
                    term=close.term,
                    leader=source,
                    deadline_ns=min(latest_ns, self.lease.deadline_ns),
                )
                return []
        elif close.drain:
            return []
        return [self._close_group(source, group, close.term)]

    def _close_group(self, leader: str, group: str, term: int) -> Send:
        self._drains.pop(group, None)
        self.lease.close(group, term)
        message = GroupClosed(host=self.host, group=group, term=term)
        return Send(peer=leader, message=message)

    def _finish_drains(self, now_ns: int) -> list[Effect]:
        effects: list[Effect] = []
        for group, drain in list(self._drains.items()):
            idle = not self._running_writes.get(group, 0)
            if idle or now_ns >= drain.deadline_ns:
                sent = self._close_group(drain.leader, group, drain.term)
                effects.append(sent)
        return effects

    def _refusal_reason(self, now_ns: int) -> Reason:
        if now_ns >= self.lease.deadline_ns:
            return Reason.NO_LEASE
        return Reason.NO_PRIMARY


def _refuse(reason: Reason, group: str) -> Refusal:
    return Refusal(reason=reason, step=Step.ROUTE, peer=group)
