"""Replicated log of the control hosts, modelled on Raft.

Covers elections with pre-votes, replication, snapshots and changes of
voters.  It does no I/O itself: each call returns the effects that the
daemon has to carry out.
"""

from __future__ import annotations

import enum
import json
from typing import TYPE_CHECKING, Final

import attrs

from rosemarysaddle.decide._effects import (
    Committed,
    Effect,
    LoadSnapshot,
    SaveEntries,
    SaveSnapshot,
    SaveVote,
    Send,
)
from rosemarysaddle.decide._times import (
    MIN_ELECTION_TIMEOUT_MS,
    NS_PER_MS,
    leader_deadline_ns,
)
from rosemarysaddle.decide.control_log._election import Election
from rosemarysaddle.decide.control_log._entries import EntryStore
from rosemarysaddle.decide.control_log._follower import (
    BEHIND_MS,
    FollowerStatus,
    find_hint_index,
)
from rosemarysaddle.decide.control_log._replication import Replicator
from rosemarysaddle.decide.control_log._voters import (
    MEMBERS,
    VoterHistory,
    join_voters,
    split_voters,
)
from rosemarysaddle.schema import (
    AppendReply,
    AppendRequest,
    LeaderResigned,
    LogEntry,
    SnapshotInstall,
    VoteReply,
    VoteRequest,
)

if TYPE_CHECKING:
    from collections.abc import Iterator, Sequence

    from rosemarysaddle.schema import Message

__all__ = ("LogNode", "Role", "StoredLog", "is_empty")

NOOP: Final = "noop"


class Role(enum.StrEnum):
    """Role of a control host in the current term."""

    FOLLOWER = "follower"
    CANDIDATE = "candidate"
    LEADER = "leader"


@attrs.frozen(kw_only=True)
class StoredLog:
    """Log state that a control host loaded from disk at its start."""

    term: int = 0
    voted_for: str = ""
    snapshot_index: int = 0
    snapshot_term: int = 0
    snapshot_state: str = ""
    snapshot_voters: str = ""
    entries: tuple[LogEntry, ...] = ()


def is_empty(stored: StoredLog) -> bool:
    """Tell whether the disk held no log state."""
    return stored == StoredLog()


@attrs.define(kw_only=True)
class LogNode:
    """One control host's replica of the log.

    :param host: name of this host
    :param voters: names of the initial voters, replaced by those that
        the log records
    :param stored: log state loaded from disk
    :param jitter_ms: endless iterator of election jitter, milliseconds
    :param started_ns: monotonic time since which this process runs, in
        nanoseconds; an earlier one has answered no leader since then
    :param leader: name of the leader, or empty if unknown
    """

    host: str
    voters: tuple[str, ...]
    stored: StoredLog
    jitter_ms: Iterator[int]
    started_ns: int

    role: Role = attrs.field(default=Role.FOLLOWER, init=False)
    leader: str = attrs.field(default="", init=False)
    elected_ns: int = attrs.field(default=0, init=False)
    term: int = attrs.field(init=False)
    _voted_for: str = attrs.field(init=False)
    _entries: EntryStore = attrs.field(init=False)
    _election: Election = attrs.field(init=False)
    _replicator: Replicator = attrs.field(init=False)
    _history: VoterHistory = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Initialize from the stored state."""
        self.term = self.stored.term
        self._voted_for = self.stored.voted_for
        self._entries = EntryStore(
            base_index=self.stored.snapshot_index,
            base_term=self.stored.snapshot_term,
            base_state=self.stored.snapshot_state,
            entries=list(self.stored.entries),
        )
        recorded = split_voters(self.stored.snapshot_voters)
        self._history = VoterHistory(base=recorded or self.voters)
        self._history.record(self.stored.entries)
        self.voters = self._history.current
        self._replicator = Replicator(
            host=self.host,
            entries=self._entries,
            history=self._history,
            commit_index=self._entries.base_index,
        )
        self._election = Election(
            host=self.host,
            jitter_ms=self.jitter_ms,
            started_ns=self.started_ns,
        )
        if not is_empty(self.stored):
            self._election.poll_soon(self.started_ns)

    @property
    def commit_index(self) -> int:
        """Index of the last entry known to be committed."""
        return self._replicator.commit_index

    @property
    def earlier_leader_until_ns(self) -> int:
        """Monotonic time until which an earlier leader may lead.

        Found out in the election of this host.
        """
        return self._election.earlier_leader_until_ns

    @property
    def last_index(self) -> int:
        """Index of the last entry held, committed or not."""
        return self._entries.last_index

    @property
    def held_entries(self) -> int:
        """Number of entries held after the last snapshot."""
        return self._entries.held

    @property
    def held_chars(self) -> int:
        """Payload characters held after the last snapshot."""
        return self._entries.held_chars

    @property
    def learners(self) -> tuple[str, ...]:
        """Hosts that follow without a vote; empty unless leader."""
        followers = self._replicator.followers
        return tuple(f for f in followers if f not in self.voters)

    @property
    def needs_to_join(self) -> bool:
        """Whether this host should ask the leader to replicate to it.

        That is a host without a vote, and also one that has no leader:
        the entry that gave it a vote may have been replaced, so that no
        leader knows it.
        """
        return self.host not in self.voters or not self.leader

    def last_heard_ns(self, peer: str) -> int:
        """Return the monotonic time of a follower's last reply.

        For a host that is not followed, it is the time of the election.
        """
        follower = self._replicator.followers.get(peer)
        return self.elected_ns if follower is None else follower.last_heard_ns

    def last_acked_ns(self, peer: str) -> int:
        """Return when the newest message that a follower answered left.

        :return: monotonic time of sending, in nanoseconds; -1 if it has
            answered none, or is not followed
        """
        follower = self._replicator.followers.get(peer)
        if follower is None or not follower.acked_sent_ns:
            return -1
        return follower.acked_sent_ns

    def has_answered_as_learner(self, peer: str) -> bool:
        """Tell whether a host has answered since it is a follower."""
        follower = self._replicator.followers.get(peer)
        return (
            follower is not None
            and self.last_acked_ns(peer) >= follower.followed_ns
        )

    def lag(self, peer: str) -> int:
        """Count the entries that a follower is not known to hold."""
        return self._replicator.lag(peer)

    def follower_statuses(self) -> list[FollowerStatus]:
        """Describe all followers; empty unless leader."""
        return self._replicator.statuses(self.voters)

    def spare_voters(self, now_ns: int) -> int:
        """Count the voters that may be lost before the quorum is.

        :param now_ns: monotonic time, in nanoseconds
        :return: number of voters that are in step beyond a quorum;
            negative if changes cannot be committed now
        """
        since_ns = now_ns - BEHIND_MS * NS_PER_MS
        in_step = 1 + sum(
            status.is_voter and status.in_step_ns >= since_ns
            for status in self.follower_statuses()
        )
        return in_step - (len(self.voters) // 2 + 1)

    def add_learner(self, peer: str, now_ns: int) -> list[Effect]:
        """Start replicating to a host without a vote, as leader."""
        known = {self.host, *self._replicator.followers}
        if self.role is not Role.LEADER or peer in known:
            return []
        return [self._replicator.follow_learner(peer, now_ns)]

    def drop_learner(self, peer: str) -> None:
        """Stop replicating to a host without a vote."""
        if peer not in self.voters:
            self._replicator.followers.pop(peer, None)

    def may_change_voters(self) -> bool:
        """Tell whether this leader may start a change of voters.

        It must have committed an entry of its own term, and the
        previous change of voters must be committed.
        """
        has_own_entry = self._entries.term_at(self.commit_index) == self.term
        is_committed = self._history.changed_index <= self.commit_index
        return self.role is Role.LEADER and has_own_entry and is_committed

    @property
    def has_recorded_voters(self) -> bool:
        """Whether an entry or a snapshot records the voters."""
        return self._history.changed_index > 0 or self._entries.base_index > 0

    def record_voters(self, now_ns: int) -> list[Effect]:
        """Append the current voters to the log, as leader."""
        payload = json.dumps({"voters": list(self.voters)})
        return self.propose(MEMBERS, payload, now_ns)

    def set_voters(self, voters: Sequence[str], now_ns: int) -> list[Effect]:
        """Add or remove one voter, as leader.

        :param voters: all voters after the change; has to differ from
            the current ones by exactly one, else nothing is done
        """
        changed = set(voters) ^ set(self.voters)
        if not self.may_change_voters() or len(changed) != 1:
            return []
        payload = json.dumps({"voters": list(voters)})
        return self.propose(MEMBERS, payload, now_ns)

    def is_current(self, now_ns: int) -> bool:
        """Tell whether this host leads and no other leader can exist.

        :param now_ns: monotonic time, in nanoseconds
        """
        return self.role is Role.LEADER and now_ns < self.current_until_ns()

    def current_until_ns(self) -> int:
        """Compute the time until which no other leader can exist.

        It follows from the newest send time that a quorum has
        acknowledged: none of these voters grants another candidate a
        vote before this time.

        :return: monotonic time, in nanoseconds; never reached by a
            leader that is the only voter
        """
        acked_ns = [
            f.acked_sent_ns
            for peer, f in self._replicator.followers.items()
            if peer in self.voters
        ]
        needed = len(self.voters) // 2
        if needed == 0:
            return 1 << 62
        acked_ns.sort(reverse=True)
        return leader_deadline_ns(acked_ns[needed - 1])

    def entries_after(self, index: int) -> tuple[LogEntry, ...] | None:
        """List the committed entries after an index.

        :param index: last index that the reader holds
        :return: the entries, or None if the log was compacted past the
            index, so that the reader needs a snapshot
        """
        if index < self._entries.base_index:
            return None
        return tuple(self._entries.between(index + 1, self.commit_index))

    def propose(self, kind: str, payload: str, now_ns: int) -> list[Effect]:
        """Append an entry as leader.

        :param kind: kind of the entry
        :param payload: JSON text of the entry
        :param now_ns: monotonic time, in nanoseconds
        :return: effects; empty if this host does not lead
        """
        if self.role is not Role.LEADER:
            return []
        entry = LogEntry(
            index=self.last_index + 1,
            term=self.term,
            kind=kind,
            payload=payload,
        )
        self._entries.append(entry)
        self._adopt_voters((entry,))
        effects: list[Effect] = [SaveEntries(entries=(entry,))]
        effects.extend(self._replicator.replicate_all(now_ns))
        effects.extend(self._advance_commit())
        return effects

    def compact(self, index: int, state: str) -> list[Effect]:
        """Replace the applied entries with a snapshot.

        :param index: last index that the snapshot covers
        :param state: serialized state at that index
        :return: effect that saves the snapshot; none if the log has no
            entry that the snapshot would cover
        """
        if index <= self._entries.base_index:
            return []
        self._entries.compact(index, state)
        self._history.compact(index)
        return [
            SaveSnapshot(
                index=index,
                term=self._entries.base_term,
                state=state,
                voters=join_voters(self._history.base),
            )
        ]

    def tick(self, now_ns: int) -> list[Effect]:
        """Send due heartbeats, or start an election that is due.

        :param now_ns: monotonic time, in nanoseconds
        """
        if self.role is Role.LEADER:
            if (
                now_ns >= self.current_until_ns()
                and self._is_past_election_timeout(now_ns)
            ):
                self._become_follower(self.term, now_ns)
                return []
            return self._replicator.heartbeat(now_ns)
        if now_ns < self._election.due_ns:
            return []
        if self.host in self.voters:
            return self._start_pre_vote(now_ns)
        # Without a vote no election clears the leader, and a host asks
        # the leader that it knows to join.
        self.leader = ""
        return []

    def receive(
        self, source: str, message: Message, now_ns: int
    ) -> list[Effect]:
        """Handle a message from another control host.

        :param source: name of the sender
        :param message: message about the log; others are ignored
        :param now_ns: monotonic time, in nanoseconds
        """
        match message:
            case VoteRequest():
                return self._on_vote_request(source, message, now_ns)
            case VoteReply():
                return self._on_vote_reply(source, message, now_ns)
            case AppendRequest():
                return self._on_append(source, message, now_ns)
            case AppendReply():
                return self._on_append_reply(source, message, now_ns)
            case SnapshotInstall():
                return self._on_snapshot(source, message, now_ns)
            case LeaderResigned():
                return self._on_resigned(source, message, now_ns)
            case _:
                return []

    def step_down(self, now_ns: int) -> list[Effect]:
        """Step down as leader, and tell the other voters.

        :param now_ns: monotonic time, in nanoseconds
        """
        if self.role is not Role.LEADER:
            return []
        self._become_follower(self.term, now_ns)
        message = LeaderResigned(term=self.term)
        return [Send(peer=p, message=message) for p in self._other_voters()]

    # --- election ---

    def _start_pre_vote(self, now_ns: int) -> list[Effect]:
        self.role = Role.CANDIDATE
        self.leader = ""
        self._election.start_pre_vote(now_ns)
        if self._election.has_quorum(self.voters):
            return self._start_vote(now_ns)
        return self._request_votes(self.term + 1)

    def _start_vote(self, now_ns: int) -> list[Effect]:
        self._election.start_vote(now_ns)
        effects: list[Effect] = [self._set_term(self.term + 1, self.host)]
        if self._election.has_quorum(self.voters):
            return effects + self._become_leader(now_ns)
        return effects + self._request_votes(self.term)

    def _request_votes(self, term: int) -> list[Effect]:
        election = self._election
        is_final = not election.is_pre_vote
        request = VoteRequest(
            term=term,
            candidate=self.host,
            last_index=self.last_index,
            last_term=self._entries.term_at(self.last_index),
            pre=election.is_pre_vote,
            after_restart=is_final and election.all_restarted(self.voters),
        )
        return [Send(peer=p, message=request) for p in self._other_voters()]

    def _on_vote_request(
        self, source: str, request: VoteRequest, now_ns: int
    ) -> list[Effect]:
        no_leader_left = (
            request.after_restart and self._election.has_seen_no_leader
        )
        if self._has_live_leader(now_ns) and not no_leader_left:
            reply = self._vote_reply(source, request, now_ns, granted=False)
            return [reply]
        effects: list[Effect] = []
        if not request.pre and request.term > self.term:
            due_ns = self._election.due_ns
            self._become_follower(request.term, now_ns)
            if not self._holds_enough(request):
                # Does not wait for a candidate that cannot win.
                self._election.due_ns = due_ns
            effects.append(self._set_term(request.term, ""))
        granted = self._may_vote(request)
        if self._is_rival(request) and source < self.host:
            self._election.yield_to(source, now_ns, is_rival=True)
        elif granted and request.pre:
            self._election.yield_to(source, now_ns)
        elif granted:
            self._election.postpone(now_ns)
            effects.append(self._set_term(request.term, request.candidate))
        reply = self._vote_reply(source, request, now_ns, granted=granted)
        return [*effects, reply]

    def _is_rival(self, request: VoteRequest) -> bool:
        """Tell whether a candidate could win the vote of this one."""
        if self.role is not Role.CANDIDATE or not self._holds_enough(request):
            return False
        return request.term >= self.term + request.pre

    def _holds_enough(self, request: VoteRequest) -> bool:
        """Tell whether a candidate holds all entries of this host."""
        own_last = (self._entries.term_at(self.last_index), self.last_index)
        return (request.last_term, request.last_index) >= own_last

    def _may_vote(self, request: VoteRequest) -> bool:
        if not self._holds_enough(request):
            return False
        if request.pre:
            return request.term > self.term
        can_vote = self._voted_for in {"", request.candidate}
        return request.term == self.term and can_vote

    def _vote_reply(
        self,
        source: str,
        request: VoteRequest,
        now_ns: int,
        *,
        granted: bool,
    ) -> Send:
        term = request.term if granted else self.term
        reply = VoteReply(
            term=term,
            granted=granted,
            pre=request.pre,
            heard_age_ns=self._election.leader_age_ns(now_ns),
            # Makes the candidate stand without granted polls, so it is
            # not told to one that could not win.
            restarted=self._election.has_seen_no_leader
            and self._holds_enough(request),
        )
        return Send(peer=source, message=reply)

    def _on_vote_reply(
        self, source: str, reply: VoteReply, now_ns: int
    ) -> list[Effect]:
        if not reply.granted:
            return self._on_refused_vote(source, reply, now_ns)
        is_pre_vote = self._election.is_pre_vote
        expected_term = self.term + 1 if is_pre_vote else self.term
        if self.role is not Role.CANDIDATE or reply.pre is not is_pre_vote:
            return []
        if reply.term != expected_term:
            return []
        if source not in self.voters:
            return []
        self._election.record_vote(source, now_ns - reply.heard_age_ns)
        if reply.restarted:
            self._election.record_restarted(source)
        if not self._election.has_quorum(self.voters):
            return []
        if not is_pre_vote:
            return self._become_leader(now_ns)
        # Before the restart, this voter may have acknowledged a leader
        # that is still current.
        if self._election.just_restarted(
            now_ns
        ) and not self._election.all_restarted(self.voters):
            return []
        return self._start_vote(now_ns)

    def _on_refused_vote(
        self, source: str, reply: VoteReply, now_ns: int
    ) -> list[Effect]:
        if reply.term > self.term:
            return self._adopt_term(reply.term, now_ns)
        if not (reply.restarted and reply.pre and self._election.is_pre_vote):
            return []
        if self.role is not Role.CANDIDATE or source not in self.voters:
            return []
        self._election.record_restarted(source)
        if not self._election.all_restarted(self.voters):
            return []
        return self._start_vote(now_ns)

    def _become_leader(self, now_ns: int) -> list[Effect]:
        self.role = Role.LEADER
        self._election.record_elected()
        self.leader = self.host
        self.elected_ns = now_ns
        self._replicator.term = self.term
        self._replicator.start(self._other_voters(), now_ns)
        return self.propose(NOOP, "{}", now_ns)

    def _become_follower(self, term: int, now_ns: int) -> None:
        if self.role is Role.LEADER:
            self._election.record_led(now_ns)
        self.role = Role.FOLLOWER
        self.leader = ""
        self._election.stop(now_ns)
        self._replicator.stop()
        if term > self.term:
            self._voted_for = ""
            self.term = term

    def _adopt_term(self, term: int, now_ns: int) -> list[Effect]:
        if term <= self.term:
            return []
        self._become_follower(term, now_ns)
        return [self._set_term(term, "")]

    def _set_term(self, term: int, voted_for: str) -> SaveVote:
        self.term = term
        self._voted_for = voted_for
        return SaveVote(term=term, voted_for=voted_for)

    def _has_live_leader(self, now_ns: int) -> bool:
        if self.role is Role.LEADER:
            return self.is_current(now_ns)
        return self._election.heard_leader_lately(now_ns)

    def _is_past_election_timeout(self, now_ns: int) -> bool:
        return now_ns >= self.elected_ns + MIN_ELECTION_TIMEOUT_MS * NS_PER_MS

    def _adopt_voters(self, entries: Sequence[LogEntry]) -> None:
        self._history.record(entries)
        self.voters = self._history.current
        if self.role is Role.LEADER:
            self._replicator.follow_voters(self._other_voters())

    def _other_voters(self) -> Sequence[str]:
        return [peer for peer in self.voters if peer != self.host]

    def _on_resigned(
        self, source: str, message: LeaderResigned, now_ns: int
    ) -> list[Effect]:
        """Stop waiting for the leader, which has resigned."""
        is_own_leader = source == self.leader and message.term == self.term
        if is_own_leader and self.role is Role.FOLLOWER:
            self.leader = ""
            self._election.record_resigned(now_ns)
        return []

    # --- replication ---

    def _on_append(
        self, source: str, request: AppendRequest, now_ns: int
    ) -> list[Effect]:
        if request.term < self.term:
            return [self._append_reply(source, request, ok=False)]
        effects = self._follow(source, request.term, now_ns)
        if not self._matches(request):
            return [*effects, self._append_reply(source, request, ok=False)]
        effects.extend(self._store(request.entries))
        match = request.prev_index + len(request.entries)
        effects.extend(self._commit_to(min(request.commit_index, match)))
        reply = self._append_reply(source, request, ok=True, match=match)
        return [*effects, reply]

    def _follow(self, leader: str, term: int, now_ns: int) -> list[Effect]:
        effects = self._adopt_term(term, now_ns)
        if self.role is not Role.FOLLOWER:
            self._become_follower(term, now_ns)
        self.leader = leader
        self._election.record_leader(now_ns)
        return effects

    def _matches(self, request: AppendRequest) -> bool:
        return self._entries.holds(request.prev_index, request.prev_term)

    def _store(self, entries: Sequence[LogEntry]) -> list[Effect]:
        added = self._entries.merge(entries)
        self._adopt_voters(added)
        return [SaveEntries(entries=added)] if added else []

    def _append_reply(
        self, peer: str, request: AppendRequest, *, ok: bool, match: int = 0
    ) -> Send:
        hint = match if ok else self._hint_index(request)
        reply = AppendReply(
            term=self.term,
            ok=ok,
            match_index=hint,
            sent_ns=request.sent_ns,
            hint_term=0 if ok else self._entries.term_at(hint),
            prev_index=request.prev_index,
            commit_index=self.commit_index,
        )
        return Send(peer=peer, message=reply)

    def _hint_index(self, request: AppendRequest) -> int:
        return find_hint_index(
            self._entries,
            request.prev_index,
            request.prev_term,
            self.commit_index,
        )

    def _on_append_reply(
        self, source: str, reply: AppendReply, now_ns: int
    ) -> list[Effect]:
        if reply.term > self.term:
            return self._adopt_term(reply.term, now_ns)
        follower = self._replicator.followers.get(source)
        if follower is None or reply.term < self.term:
            return []
        if not self._replicator.record_reply(follower, reply, now_ns):
            return []
        if not reply.ok:
            return [self._replicator.send(source, now_ns)]
        effects = self._advance_commit()
        if follower.match_index >= self.commit_index:
            follower.in_step_ns = now_ns
        if follower.next_index <= self.last_index:
            effects.append(self._replicator.send(source, now_ns))
        return effects

    def _advance_commit(self) -> list[Effect]:
        matches = [self._replicator.match_index(p) for p in self.voters]
        matches.sort(reverse=True)
        index = matches[len(self.voters) // 2]
        if (
            index <= self.commit_index
            or self._entries.term_at(index) != self.term
        ):
            return []
        return self._commit_to(index)

    def _commit_to(self, index: int) -> list[Effect]:
        if index <= self.commit_index:
            return []
        entries = self._entries.between(self.commit_index + 1, index)
        self._replicator.commit_index = index
        return [Committed(entries=tuple(entries))]

    def _on_snapshot(
        self, source: str, install: SnapshotInstall, now_ns: int
    ) -> list[Effect]:
        if install.term < self.term:
            return []
        effects = self._follow(source, install.term, now_ns)
        if install.index > self.commit_index:
            effects.extend(self._load(install))
        reply = AppendReply(
            term=self.term,
            ok=True,
            match_index=install.index,
            sent_ns=install.sent_ns,
        )
        return [*effects, Send(peer=source, message=reply)]

    def _load(self, install: SnapshotInstall) -> list[Effect]:
        self._entries.load(install.index, install.last_term, install.state)
        self._history.load(install.index, split_voters(install.voters))
        self.voters = self._history.current
        self._replicator.commit_index = install.index
        return [
            SaveSnapshot(
                index=install.index,
                term=install.last_term,
                state=install.state,
                voters=install.voters,
            ),
            LoadSnapshot(index=install.index, state=install.state),
        ]
