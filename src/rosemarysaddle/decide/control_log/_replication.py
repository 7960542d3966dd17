"""Replication of a leader's log to its followers."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import attrs

from rosemarysaddle.decide._effects import Effect, Send
from rosemarysaddle.decide._times import HEARTBEAT_INTERVAL_MS, NS_PER_MS
from rosemarysaddle.decide.control_log._follower import (
    Follower,
    FollowerStatus,
    Phase,
)
from rosemarysaddle.decide.control_log._voters import (
    VoterHistory,
    join_voters,
)
from rosemarysaddle.schema import (
    AppendReply,
    AppendRequest,
    LogEntry,
    SnapshotInstall,
)

if TYPE_CHECKING:
    from collections.abc import Collection

    from rosemarysaddle.decide.control_log._entries import EntryStore

__all__ = ("Replicator",)

MAX_APPEND_ENTRIES: Final = 64
MAX_APPEND_CHARS: Final = 512 * 1024


@attrs.define(kw_only=True)
class Replicator:
    """Progress of the followers, and what to send them.

    :param host: name of this host, the leader
    :param entries: entries of the log
    :param history: voters that the log records
    :param term: term of the leader
    :param commit_index: index of the last committed entry
    :param followers: progress by name; empty unless this host leads
    """

    host: str
    entries: EntryStore
    history: VoterHistory
    term: int = 0
    commit_index: int = 0
    followers: dict[str, Follower] = attrs.field(factory=dict, init=False)

    def start(self, peers: Collection[str], now_ns: int) -> None:
        """Start to replicate to the other voters, as new leader."""
        self.followers = {
            peer: self._new_follower(now_ns, has_probe_entry=True)
            for peer in peers
        }

    def stop(self) -> None:
        """Forget the followers, as this host no longer leads."""
        self.followers = {}

    def follow_learner(self, peer: str, now_ns: int) -> Send:
        """Start to replicate to a host without a vote."""
        self.followers[peer] = self._new_follower(now_ns)
        return self.send(peer, now_ns)

    def follow_voters(self, peers: Collection[str]) -> None:
        """Start to replicate to the voters not followed yet."""
        for peer in peers:
            if peer not in self.followers:
                follower = Follower(next_index=self.entries.last_index + 1)
                self.followers[peer] = follower

    def _new_follower(
        self, now_ns: int, *, has_probe_entry: bool = False
    ) -> Follower:
        return Follower(
            next_index=self.entries.last_index + 1,
            followed_ns=now_ns,
            last_heard_ns=now_ns,
            in_step_ns=now_ns,
            has_probe_entry=has_probe_entry,
        )

    # --- progress ---

    def lag(self, peer: str) -> int:
        """Count the entries that a follower is not known to hold."""
        return self.entries.last_index - self.match_index(peer)

    def match_index(self, peer: str) -> int:
        """Return the last index known to be replicated to a host."""
        if peer == self.host:
            return self.entries.last_index
        follower = self.followers.get(peer)
        return 0 if follower is None else follower.match_index

    def statuses(self, voters: Collection[str]) -> list[FollowerStatus]:
        """Describe all followers."""
        return [
            FollowerStatus(
                peer=peer,
                is_voter=peer in voters,
                phase=follower.phase,
                match_index=follower.match_index,
                lag=self.lag(peer),
                rejections=follower.rejections,
                in_step_ns=follower.in_step_ns,
                last_heard_ns=follower.last_heard_ns,
            )
            for peer, follower in self.followers.items()
        ]

    # --- sending ---

    def heartbeat(self, now_ns: int) -> list[Effect]:
        """Send to the followers whose heartbeat is due."""
        effects: list[Effect] = []
        for peer, follower in self.followers.items():
            follower.reset_if_silent(now_ns)
            if now_ns >= follower.send_at_ns:
                effects.append(self.send(peer, now_ns))
        return effects

    def replicate_all(self, now_ns: int) -> list[Effect]:
        """Send to the followers that may be sent entries now."""
        effects: list[Effect] = []
        for peer, follower in self.followers.items():
            follower.reset_if_silent(now_ns)
            if follower.is_ready(now_ns):
                effects.append(self.send(peer, now_ns))
        return effects

    def send(self, peer: str, now_ns: int) -> Send:
        """Send a snapshot, the next entries or a heartbeat."""
        follower = self.followers[peer]
        follower.send_at_ns = now_ns + HEARTBEAT_INTERVAL_MS * NS_PER_MS
        base_index = self.entries.base_index
        needs_snapshot = follower.next_index <= base_index
        if needs_snapshot and follower.may_send_snapshot(now_ns):
            follower.start_snapshot(now_ns)
            return Send(peer=peer, message=self._snapshot(now_ns))
        previous = max(follower.next_index - 1, base_index)
        batch = self._next_batch(follower, now_ns)
        request = AppendRequest(
            term=self.term,
            leader=self.host,
            prev_index=previous,
            prev_term=self.entries.term_at(previous),
            commit_index=self.commit_index,
            sent_ns=now_ns,
            entries=tuple(batch),
        )
        return Send(peer=peer, message=request)

    def _next_batch(self, follower: Follower, now_ns: int) -> list[LogEntry]:
        if not follower.is_ready(now_ns):
            return []
        first = follower.next_index
        if follower.phase is Phase.PROBE:
            follower.has_probe_entry = False
            return self.entries.between(first, first)
        last = first + MAX_APPEND_ENTRIES - 1
        batch = _cap_batch(self.entries.between(first, last))
        follower.next_index += len(batch)
        return batch

    def _snapshot(self, now_ns: int) -> SnapshotInstall:
        return SnapshotInstall(
            term=self.term,
            leader=self.host,
            index=self.entries.base_index,
            last_term=self.entries.base_term,
            sent_ns=now_ns,
            state=self.entries.base_state,
            voters=join_voters(self.history.base),
        )

    # --- replies ---

    def record_reply(
        self, follower: Follower, reply: AppendReply, now_ns: int
    ) -> bool:
        """Update the progress of a follower from its reply.

        :return: whether the follower accepted, or rejected so that
            another index has to be probed; False for a stale rejection
        """
        newest_ns = max(follower.acked_sent_ns, reply.sent_ns)
        follower.acked_sent_ns = newest_ns
        follower.last_heard_ns = now_ns
        if not reply.ok:
            return follower.on_rejected(reply, self.entries, now_ns)
        follower.on_accepted(reply.match_index, now_ns)
        return True


def _cap_batch(batch: list[LogEntry]) -> list[LogEntry]:
    """Keep the leading entries that fit one message, at least one."""
    chars = 0
    for number, entry in enumerate(batch):
        chars += len(entry.payload)
        if number and chars > MAX_APPEND_CHARS:
            return batch[:number]
    return batch
