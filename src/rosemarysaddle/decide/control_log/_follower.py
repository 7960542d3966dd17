"""Replication progress of one follower, as its leader tracks it.

A leader sends entries ahead of the acknowledgements only to a follower
whose log is known to match.  Until then it sends one probe at a time,
and a rejection names a position from which the logs may match.
"""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING, Final

import attrs

from rosemarysaddle.decide._times import HEARTBEAT_INTERVAL_MS, NS_PER_MS

if TYPE_CHECKING:
    from rosemarysaddle.decide.control_log._entries import EntryStore
    from rosemarysaddle.schema import AppendReply

__all__ = (
    "BEHIND_MS",
    "Follower",
    "FollowerStatus",
    "Phase",
    "find_hint_index",
)

# A follower that misses this many heartbeats is probed again instead of
# being sent entries that it may never receive.
SILENCE_MS: Final = 3 * HEARTBEAT_INTERVAL_MS
SNAPSHOT_RETRY_MS: Final = 1_000
# A follower that has not held all that is committed for this long is
# reported, and does not count as a spare of the quorum.
BEHIND_MS: Final = 2_000
MAX_IN_FLIGHT_ENTRIES: Final = 256
# A tail with entries of many terms could take a probe for each of them.
# After this many, the leader continues from the follower's commit
# index, up to which the logs match in any case.
MAX_HINTED_PROBES: Final = 3


class Phase(enum.StrEnum):
    """What a leader knows about the log of a follower."""

    PROBE = "probe"
    REPLICATE = "replicate"
    SNAPSHOT = "snapshot"


@attrs.frozen(kw_only=True)
class FollowerStatus:
    """What a leader knows of a follower, for logs and metrics.

    :param peer: name of the follower
    :param is_voter: whether it has a vote
    :param phase: what the leader knows about its log
    :param match_index: last index known to be replicated
    :param lag: number of entries that it is not known to hold
    :param rejections: number of appends that it rejected
    :param in_step_ns: last time at which it held all that was committed
    :param last_heard_ns: time of its last reply
    """

    peer: str
    is_voter: bool
    phase: Phase
    match_index: int
    lag: int
    rejections: int
    in_step_ns: int
    last_heard_ns: int


@attrs.define(kw_only=True)
class Follower:
    """Progress of one follower.

    :param next_index: index of the next entry to send; in a probe, the
        one after the probed index
    :param match_index: last index known to be replicated
    :param followed_ns: time since which the leader replicates to it
    :param acked_sent_ns: newest send time that the follower echoed
    :param send_at_ns: time of the next heartbeat
    :param last_heard_ns: time of the last reply
    :param has_probe_entry: whether the next probe may carry one entry;
        so the first entry of a leader is committed without waiting for
        the answer to a probe
    :param phase_since_ns: time since which the phase and the probed
        index are unchanged; rejections of earlier messages are stale
    :param snapshot_retry_ns: time at which an unanswered snapshot is
        sent again
    :param in_step_ns: last time at which it held all that was committed
    :param rejections: number of rejections that were not stale
    """

    next_index: int
    match_index: int = 0
    followed_ns: int = 0
    acked_sent_ns: int = 0
    send_at_ns: int = 0
    last_heard_ns: int = 0
    has_probe_entry: bool = False
    phase: Phase = Phase.PROBE
    phase_since_ns: int = 0
    snapshot_retry_ns: int = 0
    in_step_ns: int = 0
    rejections: int = 0
    _probes_rejected: int = attrs.field(default=0, init=False)

    def reset_if_silent(self, now_ns: int) -> None:
        """Return to probes if the follower has not answered lately."""
        is_silent = now_ns - self.last_heard_ns > SILENCE_MS * NS_PER_MS
        if self.phase is Phase.REPLICATE and is_silent:
            self.phase = Phase.PROBE
            self.next_index = self.match_index + 1
            self.phase_since_ns = now_ns

    def is_ready(self, now_ns: int) -> bool:
        """Tell whether entries may be sent before the next reply."""
        if self.phase is Phase.REPLICATE:
            in_flight = self.next_index - 1 - self.match_index
            return in_flight < MAX_IN_FLIGHT_ENTRIES
        if self.phase is Phase.SNAPSHOT:
            return self.may_send_snapshot(now_ns)
        return self.has_probe_entry

    def may_send_snapshot(self, now_ns: int) -> bool:
        """Tell whether no snapshot is on its way any more."""
        is_waiting = self.phase is Phase.SNAPSHOT
        return not is_waiting or now_ns >= self.snapshot_retry_ns

    def start_snapshot(self, now_ns: int) -> None:
        """Record that a snapshot is sent."""
        self.phase = Phase.SNAPSHOT
        self.phase_since_ns = now_ns
        self.snapshot_retry_ns = now_ns + SNAPSHOT_RETRY_MS * NS_PER_MS

    def on_accepted(self, match_index: int, now_ns: int) -> None:
        """Record that the logs match up to an index."""
        self.match_index = max(self.match_index, match_index)
        if self.phase is Phase.REPLICATE:
            self.next_index = max(self.next_index, self.match_index + 1)
            return
        self.phase = Phase.REPLICATE
        self.phase_since_ns = now_ns
        self.next_index = self.match_index + 1
        self._probes_rejected = 0

    def on_rejected(
        self, reply: AppendReply, entries: EntryStore, now_ns: int
    ) -> bool:
        """Choose the next index to probe after a rejection.

        :param reply: the rejection
        :param entries: entries of the leader
        :return: whether to send a probe; a stale rejection changes
            nothing
        """
        if self._is_stale(reply):
            return False
        self.rejections += 1
        self._probes_rejected += 1
        self.next_index = self._next_probe(reply, entries) + 1
        self.phase = Phase.PROBE
        self.phase_since_ns = now_ns
        return True

    def _is_stale(self, reply: AppendReply) -> bool:
        if reply.sent_ns < self.phase_since_ns:
            return True
        if reply.prev_index and reply.prev_index <= self.match_index:
            return True
        if self.phase is Phase.PROBE:
            # A reply of an earlier build does not name the index.
            return reply.prev_index not in {0, self.next_index - 1}
        return self.phase is Phase.SNAPSHOT

    def _next_probe(self, reply: AppendReply, entries: EntryStore) -> int:
        hint = min(reply.match_index, self.next_index - 2)
        if self._probes_rejected > MAX_HINTED_PROBES:
            hint = min(hint, reply.commit_index)
        elif reply.hint_term and hint > entries.base_index:
            hint = entries.last_index_up_to(hint, reply.hint_term)
        return max(hint, self.match_index)


def find_hint_index(
    entries: EntryStore, prev_index: int, prev_term: int, commit_index: int
) -> int:
    """Find the index that a follower names when it rejects an append.

    It is always below the rejected index, so that a leader which only
    steps back to it ends up at a matching one.

    :param entries: entries of the follower
    :param prev_index: index of the entry that it lacks
    :param prev_term: term of that entry
    :param commit_index: last index known to be committed, up to which
        the logs match
    """
    highest = min(prev_index - 1, entries.last_index)
    found = entries.last_index_up_to(highest, prev_term)
    return max(found, min(commit_index, highest))
