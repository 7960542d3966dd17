"""Decisions of an entry host: lease, copy of the state, right to write.

An entry host renews its lease with the control leader, applies the
state changes that it receives and grants a write only while the lease
covers the current term of the group.
"""

from __future__ import annotations

import zlib
from typing import TYPE_CHECKING, Final

import attrs

from rosemarysaddle.decide._reasons import Reason, Refusal, Step
from rosemarysaddle.decide._send import Send, SendRelayed
from rosemarysaddle.decide._times import NS_PER_MS, RENEWAL_INTERVAL_MS
from rosemarysaddle.decide.configuration._plan_repair import PlanReporter
from rosemarysaddle.decide.control_log._state import ClusterState
from rosemarysaddle.decide.leases._lease import HostLease
from rosemarysaddle.decide.leases._relay import RelayChoice, is_relayable
from rosemarysaddle.decide.primaries._observed_terms import (
    ObservedTerm,
    ObservedTerms,
)
from rosemarysaddle.decide.reads._acknowledged import AcknowledgedWrites
from rosemarysaddle.schema import (
    Announcement,
    CloseGroup,
    GroupClosed,
    LeaseGrant,
    LeaseRefusal,
    LeaseRenewal,
    LeaseReturn,
    Neighbours,
    ReplicasBehind,
    Suspicion,
    TermReport,
    ViewDelta,
    ViewSnapshot,
)

if TYPE_CHECKING:
    from collections.abc import Sequence

    from rosemarysaddle.decide._effects import Effect
    from rosemarysaddle.decide.primaries._terms import GroupTerm
    from rosemarysaddle.decide.reads._token import LogPoint
    from rosemarysaddle.schema import Message

__all__ = ("EntryNode", "WriteTicket")

RENEWAL_TIMEOUT_MS: Final = 300
# The leader sends what a host lacks before the grant that names it, and
# a large change takes longer over a slow link.  It may be a renewal
# interval old, and is due after 3 s on the users' platform.
MAX_BEHIND_MS: Final = 1_500
# Time between renewals after one without an answer.  A host whose link
# heals is found again within this time, a tick and a round trip.
RETRY_INTERVAL_MS: Final = 100
# Rounds of renewals per second that all hosts without a leader send
# together, two messages each.  As many as 2,600 hosts that renew every
# 400 ms, which is what the control hosts are planned for.
MAX_RETRY_ROUNDS_PER_S: Final = 6_500
# By then an election would be over, and neighbours have been asked.
OUTAGE_AFTER_MS: Final = 1_500
# Control hosts that know no leader may elect one within this time.
ELECTION_HOPE_MS: Final = 6_000
# Answers of control hosts come with each round of retries.
HEARD_WITHIN_MS: Final = 600
MAX_OUTAGE_RETRY_MS: Final = 2_000
SUSPICION_INTERVAL_MS: Final = 300
DRAIN_TIMEOUT_MS: Final = 2_000
BEHIND_REPORT_INTERVAL_MS: Final = 1_000
# Bounds the reports about all groups to about 800 B/s for each host.
BEHIND_REPORT_GAP_MS: Final = 100


@attrs.frozen(kw_only=True)
class WriteTicket:
    """Right to send writes of a group to its primary.

    :param group: name of the group
    :param term: term of the group in which the ticket is valid
    :param primary: target that is the primary in this term
    :param target_term: term of the target in which it is the primary;
        0 if unknown.  A write in an earlier one has run at a primary
        that was replaced
    :param known_point: newest position of the primary that was known
        when the ticket was issued
    """

    group: str
    term: int
    primary: str
    target_term: int = 0
    known_point: LogPoint | None = None


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
    :param uncounted_since_ns: time since which no earlier process has
        counted operations in the data centre, as told with the first
        list of neighbours; 0 if it is not known
    :param started_ns: time of the start of this process; 0 if it is not
        known
    :param renewal_ms: time between renewals, in milliseconds
    :param last_leader: control host that granted the last lease
    :param unanswered_since_ns: time of the first renewal after the last
        grant that got no answer in time; 0 if there is none
    :param relay: choice of the neighbours that relay renewals
    :param view_confirmed_ns: monotonic time at which the state held all
        that was committed, as the leader has confirmed; 0 before that
    :param earlier_view_ns: ``view_confirmed_ns`` of the state before
        the newest change: what it added was committed later than this
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
    uncounted_since_ns: int = attrs.field(default=0, init=False)
    started_ns: int = 0
    renewal_ms: int = RENEWAL_INTERVAL_MS
    last_leader: str = attrs.field(default="", init=False)
    unanswered_since_ns: int = attrs.field(default=0, init=False)
    relay: RelayChoice = attrs.field(init=False)
    view_confirmed_ns: int = attrs.field(default=0, init=False)
    earlier_view_ns: int = attrs.field(default=0, init=False)
    # Index that the last grant named, and when its renewal was sent.
    _named_view: tuple[int, int] = attrs.field(default=(0, 0), init=False)
    _behind_since_ns: int = attrs.field(default=0, init=False)
    _neighbours_tag: int = attrs.field(default=0, init=False)
    _leader_hint: str = attrs.field(default="", init=False)
    _renew_at_ns: int = attrs.field(default=0, init=False)
    _control_index: int = attrs.field(default=0, init=False)
    _running_writes: dict[str, int] = attrs.field(factory=dict, init=False)
    _behind_gap_until_ns: int = attrs.field(default=0, init=False)
    _next_behind_report_ns: dict[str, int] = attrs.field(
        factory=dict, init=False
    )
    _drains: dict[str, _Drain] = attrs.field(factory=dict, init=False)
    _next_suspicion_ns: dict[str, int] = attrs.field(factory=dict, init=False)
    _acknowledged: AcknowledgedWrites = attrs.field(
        factory=AcknowledgedWrites, init=False
    )
    _observed: ObservedTerms = attrs.field(factory=ObservedTerms, init=False)
    _plan_reporter: PlanReporter = attrs.field(init=False)
    _stopping: bool = attrs.field(default=False, init=False)
    _has_heard_control: bool = attrs.field(default=False, init=False)
    _is_redirected: bool = attrs.field(default=False, init=False)
    _heard_ns: int = attrs.field(default=0, init=False)
    _sent_ns: int = attrs.field(default=0, init=False)
    _granted_sent_ns: int = attrs.field(default=0, init=False)
    _asked: tuple[str, ...] = attrs.field(default=(), init=False)

    def __attrs_post_init__(self) -> None:
        """Create the choice of relays and the reporter of plans."""
        self._plan_reporter = PlanReporter(host=self.host)
        self.relay = RelayChoice(host=self.host, own=self.lending_address)

    def tick(self, now_ns: int) -> list[Effect]:
        """Finish drains, repeat reports and renew the lease when due.

        :param now_ns: monotonic time, in nanoseconds
        """
        effects = self._finish_drains(now_ns)
        self._observed.forget_settled(self._recorded_term, now_ns)
        for observed in self._observed.due_reports(now_ns):
            effects.extend(self._report_term(observed, now_ns))
        report = self._plan_reporter.due_report(self.state, now_ns)
        if report is not None:
            effects.append(Send(peer=self._leader(), message=report))
        if now_ns >= self._renew_at_ns and not self._stopping:
            effects.extend(self._renew(now_ns))
        return self._also_relayed(effects)

    def receive(
        self, source: str, message: Message, now_ns: int
    ) -> list[Effect]:
        """Handle a message from another host.

        :param source: name of the sender
        :param message: message received; unknown types are ignored
        :param now_ns: monotonic time, in nanoseconds
        """
        if isinstance(message, LeaseGrant):
            if not self._granted_sent_ns <= message.sent_ns <= now_ns:
                # Held up on its way: a newer renewal has been granted.
                return []
            self.relay.record_direct_grant()
        return self._also_relayed(self._receive(source, message, now_ns))

    def receive_relayed(
        self, neighbour: str, source: str, message: Message, now_ns: int
    ) -> list[Effect]:
        """Handle a message of the control leader over a neighbour.

        :param neighbour: lending address of the host that relayed it
        :param source: name of the leader
        """
        if isinstance(message, LeaseGrant):
            if not self._granted_sent_ns < message.sent_ns <= now_ns:
                # The same renewal was granted on another path, or this
                # grant was held up on its way.
                return []
            self.relay.record_grant(neighbour)
        return self._also_relayed(self._receive(source, message, now_ns))

    def _also_relayed(self, effects: list[Effect]) -> list[Effect]:
        """Send what is for the leader over the relay as well."""
        neighbour = self.relay.current
        if not neighbour:
            return effects
        return [
            *effects,
            *(
                SendRelayed(neighbour=neighbour, message=effect.message)
                for effect in effects
                if isinstance(effect, Send)
                and not isinstance(effect.message, LeaseRenewal)
                and is_relayable(self.host, effect.message)
            ),
        ]

    def _receive(
        self, source: str, message: Message, now_ns: int
    ) -> list[Effect]:
        match message:
            case LeaseGrant():
                return self._on_grant(source, message, now_ns)
            case LeaseRefusal():
                return self._on_refusal(message, now_ns)
            case CloseGroup():
                return self._on_close(source, message, now_ns)
            case ViewDelta():
                self._on_delta(message, now_ns)
            case ViewSnapshot():
                if message.index > self.state.index:
                    self.earlier_view_ns = self.view_confirmed_ns
                    self.state = ClusterState.load(message.state)
                    self._confirm_view()
            case Announcement():
                self.announced[message.target] = message
            case Neighbours():
                if not self.neighbours and message.uncounted_ms:
                    age_ns = message.uncounted_ms * NS_PER_MS
                    self.uncounted_since_ns = now_ns - age_ns
                self.neighbours = tuple(n.address for n in message.hosts)
                self.remote_hosts = {
                    remote.data_center: tuple(n.address for n in remote.hosts)
                    for remote in message.remote
                }
                self._neighbours_tag = message.tag
            case _:
                pass
        return []

    def relay_leader(self, now_ns: int) -> str:
        """Return the leader to which this host can relay for others.

        :return: its name; empty if it does not answer this host
            directly
        """
        if self._stopping or self.relay.is_active or self.unanswered_since_ns:
            return ""
        return self.last_leader if now_ns < self.lease.deadline_ns else ""

    def begin_write(
        self,
        group: str,
        now_ns: int,
        *,
        known_point: LogPoint | None = None,
    ) -> WriteTicket | Refusal:
        """Begin a write to a group.

        The caller ends it with :meth:`end_write`.

        :param group: name of the group
        :param now_ns: monotonic time, in nanoseconds
        :param known_point: newest known position of the primary
        :return: ticket of the write, or why the group takes no write
        """
        term = self.state.terms.get(group)
        if term is None or not term.is_open:
            return _refuse(Reason.NO_PRIMARY, group)
        if group in self.state.routes.groups and not term.is_serving:
            # The target may have the role in an earlier term still.
            return _refuse(Reason.NO_PRIMARY, group)
        if not self.covers(term, group, now_ns):
            return _refuse(self._refusal_reason(now_ns), group)
        self._running_writes[group] = self._running_writes.get(group, 0) + 1
        return WriteTicket(
            group=group,
            term=term.term,
            primary=term.primary,
            target_term=term.target_term,
            known_point=known_point,
        )

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

    def outage_retry_ms(self, now_ns: int) -> int:
        """Estimate when a host without a path to the leader has one.

        An outage that has lasted for some time is expected to last for
        half of that time more.

        :param now_ns: monotonic time, in nanoseconds
        :return: time until then, in milliseconds; 0 if the host has a
            lease or may get one at any moment
        """
        since_ns = self.unanswered_since_ns
        if not since_ns or now_ns < self.lease.deadline_ns:
            return 0
        spent_ms = (now_ns - since_ns) // NS_PER_MS
        has_heard = now_ns < self._heard_ns + HEARD_WITHIN_MS * NS_PER_MS
        if spent_ms < OUTAGE_AFTER_MS:
            return 0
        if has_heard and spent_ms < ELECTION_HOPE_MS:
            return 0
        return min(MAX_OUTAGE_RETRY_MS, spent_ms // 2)

    def end_write(
        self,
        ticket: WriteTicket,
        now_ns: int,
        *,
        has_committed: bool = False,
        point: LogPoint | None = None,
    ) -> bool:
        """End a write.

        :param ticket: ticket of the write
        :param now_ns: monotonic time, in nanoseconds
        :param has_committed: whether the primary has committed it
        :param point: position that the primary told with the commit
        :return: whether the write may be acknowledged
        """
        self._running_writes[ticket.group] -= 1
        if self._running_writes[ticket.group] == 0:
            del self._running_writes[ticket.group]
        is_valid = self.holds(ticket, now_ns)
        if has_committed and is_valid:
            self._acknowledged.record(ticket.group, point, ticket.known_point)
        return is_valid

    def holds(self, ticket: WriteTicket, now_ns: int) -> bool:
        """Tell whether a ticket is still valid.

        A ticket of a term that drains is valid until the deadline of
        the drain, any other as long as the lease covers its term.
        None is once a later promotion has been observed.
        """
        if self.is_overtaken(ticket.group):
            return False
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
        """Tell whether the lease covers a term of a group.

        It covers none while a later promotion has been observed that is
        not recorded yet.
        """
        if not term.is_open or group in self._drains:
            return False
        if self.is_overtaken(group):
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
        return self._also_relayed(
            [Send(peer=self._leader(), message=suspicion)]
        )

    def observe_term(
        self,
        group: str,
        target: str,
        observed_term: int,
        now_ns: int,
        *,
        read_only: bool = False,
    ) -> list[Effect]:
        """Compare the term in a target's answer with the recorded one.

        A later term means that another promotion has taken effect: the
        group takes no write until it is recorded.  This is reported to
        the leader, and so is a recorded primary that refuses to write.

        :param observed_term: term of the target's log; 0 if unknown
        :param read_only: whether the target, leased as the primary,
            refused to write
        """
        term = self.state.terms.get(group)
        if term is None:
            return []
        is_later = 0 < term.target_term < observed_term
        is_read_only_primary = (
            read_only and term.primary == target and group not in self._drains
        )
        if not is_later and not is_read_only_primary:
            return []
        observed = ObservedTerm(group=group, target=target, term=observed_term)
        if is_later:
            self._observed.record(observed)
        return self._also_relayed(
            self._report_term(observed, now_ns, read_only=is_read_only_primary)
        )

    def report_earlier_term(
        self, group: str, target: str, observed_term: int, now_ns: int
    ) -> list[Effect]:
        """Report that the primary answered from an earlier log.

        :param observed_term: term of the log of the target, earlier
            than that of what the group has acknowledged
        """
        observed = ObservedTerm(group=group, target=target, term=observed_term)
        return self._also_relayed(self._report_term(observed, now_ns))

    def is_overtaken(self, group: str) -> bool:
        """Tell whether an unrecorded promotion was observed."""
        term = self.state.terms.get(group)
        return term is not None and (
            0 < term.target_term < self._observed.newest(group)
        )

    def report_replicas_behind(
        self, group: str, point: LogPoint, now_ns: int
    ) -> list[Effect]:
        """Report that reads are refused while replicas are behind.

        Limited to one report per ``BEHIND_REPORT_INTERVAL_MS`` for each
        group, and one per ``BEHIND_REPORT_GAP_MS`` for all.

        :param point: newest position of the primary
        """
        term = self.primary_of(group, now_ns)
        next_ns = self._next_behind_report_ns.get(group, 0)
        if term is None or now_ns < max(next_ns, self._behind_gap_until_ns):
            return []
        self._behind_gap_until_ns = now_ns + BEHIND_REPORT_GAP_MS * NS_PER_MS
        self._next_behind_report_ns[group] = (
            now_ns + BEHIND_REPORT_INTERVAL_MS * NS_PER_MS
        )
        report = ReplicasBehind(
            host=self.host,
            group=group,
            term=term.term,
            point_term=point.term,
            point_position=point.position,
        )
        return self._also_relayed([Send(peer=self._leader(), message=report)])

    def is_view_current(self, now_ns: int, max_age_ms: int) -> bool:
        """Tell whether the state holds all but the newest changes.

        :param now_ns: monotonic time, in nanoseconds
        :param max_age_ms: age up to which a change may be missing, in
            milliseconds
        """
        return now_ns < self.view_confirmed_ns + max_age_ms * NS_PER_MS

    def view_age_ms(self, now_ns: int) -> int:
        """Return the time since the state was known to be current.

        :param now_ns: monotonic time, in nanoseconds
        :return: the age in milliseconds, or -1 if it never was
        """
        if not self.view_confirmed_ns:
            return -1
        return (now_ns - self.view_confirmed_ns) // NS_PER_MS

    def is_view_behind(self, now_ns: int, for_ms: int = MAX_BEHIND_MS) -> bool:
        """Tell whether this host knows that its state lacks changes.

        A grant has named an index that the state does not hold, for
        longer than the leader takes to send what is missing.  Such a
        host must not refuse or route by its state.  One that is cut off
        from the leader, with a lease over a relay, serves what it can.

        :param now_ns: monotonic time, in nanoseconds
        :param for_ms: time for which it has lacked them, in
            milliseconds
        """
        if self.relay.is_active or not self._behind_since_ns:
            return False
        return now_ns >= self._behind_since_ns + for_ms * NS_PER_MS

    def stop(self) -> list[Effect]:
        """Return the lease before a planned stop."""
        self._stopping = True
        self.lease.end()
        message = LeaseReturn(host=self.host)
        return self._also_relayed([Send(peer=self._leader(), message=message)])

    def _renew(self, now_ns: int) -> list[Effect]:
        self._renew_at_ns = now_ns + RENEWAL_TIMEOUT_MS * NS_PER_MS
        self._is_redirected = False
        peers: tuple[str, ...] = (self._leader(),)
        if not self.lease.leader and self.last_leader:
            self._renew_at_ns = now_ns + self._retry_interval_ns()
            peers = self._retry_peers()
        elif not self._has_heard_control:
            # At the start, any of them may be the one that answers.
            peers = tuple(self.control)
        is_unanswered = not self.lease.leader
        if is_unanswered:
            self.unanswered_since_ns = (
                self.unanswered_since_ns or self._sent_ns or now_ns
            )
            # No answer to the last renewal: drop the hint after this
            # attempt and try the control hosts in turn.
            self._control_index += 1
            self._leader_hint = ""
        self.lease.leader = ""
        self._asked = peers
        self._sent_ns = now_ns
        renewal = LeaseRenewal(
            host=self.host,
            data_center=self.data_center,
            sent_ns=now_ns,
            applied_index=self.state.index,
            address=self.address,
            lending_address=self.lending_address,
            neighbours_tag=self._neighbours_tag,
            started_age_ms=self._age_ms(now_ns),
        )
        relays = self.relay.choose(
            self.neighbours,
            unanswered_since_ns=self.unanswered_since_ns,
            now_ns=now_ns,
        )
        is_retry = is_unanswered or self.relay.is_active
        return [
            *(
                Send(peer=peer, message=renewal, is_retry=is_retry)
                for peer in peers
            ),
            *(SendRelayed(neighbour=n, message=renewal) for n in relays),
        ]

    def _age_ms(self, now_ns: int) -> int:
        return (
            (now_ns - self.started_ns) // NS_PER_MS if self.started_ns else 0
        )

    def _retry_interval_ns(self) -> int:
        hosts = self.state.entry_hosts
        spread_ns = hosts * 1_000 * NS_PER_MS // MAX_RETRY_ROUNDS_PER_S
        return max(RETRY_INTERVAL_MS * NS_PER_MS, spread_ns)

    def _retry_peers(self) -> tuple[str, ...]:
        """Return the likely leader and one more control host.

        The other one is asked in turn, as it may know a new leader.
        Hosts that lost their leader together start at different ones.
        """
        likely = self._leader_hint or self.last_leader
        others = [peer for peer in self.control if peer != likely]
        if not others:
            return (likely,)
        start = zlib.crc32(self.host.encode())
        return likely, others[(start + self._control_index) % len(others)]

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
        self.last_leader = source
        self.unanswered_since_ns = 0
        self._granted_sent_ns = max(self._granted_sent_ns, grant.sent_ns)
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

    def _on_refusal(self, refusal: LeaseRefusal, now_ns: int) -> list[Effect]:
        self._has_heard_control = True
        if refusal.sent_ns <= self._granted_sent_ns:
            # Another control host has granted this renewal.
            return []
        if self.last_leader and self.unanswered_since_ns:
            if refusal.leader not in self._asked:
                # It knows no leader yet, or one that was not asked.
                self._heard_ns = now_ns
            if refusal.leader:
                self._leader_hint = refusal.leader
            if refusal.leader and refusal.leader not in self._asked:
                self._renew_at_ns = now_ns
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
        if delta.entries and delta.entries[-1].index > self.state.index:
            self.earlier_view_ns = self.view_confirmed_ns
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
            self._behind_since_ns = 0
        elif not self._behind_since_ns:
            self._behind_since_ns = sent_ns

    def _on_close(
        self, source: str, close: CloseGroup, now_ns: int
    ) -> list[Effect]:
        group = close.group
        if group in self._drains:
            if close.drain:
                return []
        elif close.drain and self._may_drain(close):
            latest_ns = now_ns + DRAIN_TIMEOUT_MS * NS_PER_MS
            self._drains[group] = _Drain(
                term=close.term,
                leader=source,
                deadline_ns=min(latest_ns, self.lease.deadline_ns),
            )
            return []
        return [self._close_group(source, group, close.term)]

    def _may_drain(self, close: CloseGroup) -> bool:
        """Tell whether running writes may delay the end of a term.

        Not if the term has ended: the leader has been told that no
        write of it is acknowledged any more.
        """
        if not self._running_writes.get(close.group, 0):
            return False
        if self.lease.is_closed(close.group, close.term):
            return False
        current = self.state.terms.get(close.group)
        return current is None or close.term >= current.term

    def _close_group(self, leader: str, group: str, term: int) -> Send:
        self._drains.pop(group, None)
        self.lease.close(group, term)
        bounds = self._acknowledged.of_group(group)
        message = GroupClosed(
            host=self.host,
            group=group,
            term=term,
            least_term=bounds.least.term,
            least_position=bounds.least.position,
            newest_term=bounds.newest.term,
            newest_position=bounds.newest.position,
            is_bounded=bounds.is_bounded,
        )
        return Send(peer=leader, message=message)

    def _recorded_term(self, group: str) -> int | None:
        """Return the recorded target term of a group, or None."""
        term = self.state.terms.get(group)
        if term is None or self.state.group(group) is None:
            return None
        return term.target_term

    def _report_term(
        self, observed: ObservedTerm, now_ns: int, *, read_only: bool = False
    ) -> list[Effect]:
        """Report a term to the leader, except in a change of primary.

        Reports about one group are limited, see :class:`ObservedTerms`.
        """
        group = observed.group
        term = self.state.terms.get(group)
        if term is None or not (term.is_open and term.is_serving):
            return []
        if not self._observed.start_report(group, now_ns):
            return []
        report = TermReport(
            host=self.host,
            group=group,
            term=term.term,
            target=observed.target,
            observed_term=observed.term,
            read_only=read_only,
        )
        return [Send(peer=self._leader(), message=report)]

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
