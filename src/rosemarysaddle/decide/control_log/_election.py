"""Election of the leader: votes, timers and knowledge of other leaders.

Decides when to ask for votes and which votes count.  The log node sends
the messages and keeps term, role and voters.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import attrs

from rosemarysaddle.decide._times import MIN_ELECTION_TIMEOUT_MS, NS_PER_MS

if TYPE_CHECKING:
    from collections.abc import Iterator, Sequence

__all__ = ("Election",)

# A voter that knows no leader polls the others this often: they grant
# their votes as soon as an earlier leader can no longer be current.
MIN_POLL_INTERVAL_MS: Final = 30
POLL_JITTER_MS: Final = 80
# A vote takes a round trip between regions and a sync at each voter.  A
# candidate without a majority by then has lost to another one, or the
# votes are split.
VOTE_TIMEOUT_MS: Final = 100
# Longest random delay before a vote that was not won is tried again.
MAX_RETRY_DELAY_MS: Final = 100


@attrs.define(kw_only=True)
class Election:
    """One control host's part in elections.

    :param host: name of this host
    :param jitter_ms: endless iterator of election jitter, milliseconds
    :param started_ns: monotonic time since which this process runs, in
        nanoseconds; an earlier one has answered no leader since then
    :param is_pre_vote: whether this host asks if an election could
        succeed, without a new term
    :param due_ns: monotonic time of the next election if no leader is
        heard until then
    :param earlier_leader_until_ns: monotonic time until which an
        earlier leader may lead, as found out in the election
    """

    host: str
    jitter_ms: Iterator[int]
    started_ns: int
    is_pre_vote: bool = attrs.field(default=False, init=False)
    due_ns: int = attrs.field(init=False)
    earlier_leader_until_ns: int = attrs.field(default=0, init=False)
    _leader_heard_ns: int = attrs.field(init=False)
    _has_seen_leader: bool = attrs.field(default=False, init=False)
    _votes: set[str] = attrs.field(factory=set, init=False)
    _restarted: set[str] = attrs.field(factory=set, init=False)
    _yielded_to: set[str] = attrs.field(factory=set, init=False)

    def __attrs_post_init__(self) -> None:
        """Set the timers for the start of the host."""
        self._leader_heard_ns = self.started_ns
        self.postpone(self.started_ns)

    # --- timers ---

    def postpone(self, now_ns: int) -> None:
        """Set the next election to a full time-out from now."""
        delay_ms = MIN_ELECTION_TIMEOUT_MS + next(self.jitter_ms)
        self.due_ns = now_ns + delay_ms * NS_PER_MS

    def poll_soon(self, now_ns: int) -> None:
        """Set the next poll of the other voters without a leader."""
        delay_ms = MIN_POLL_INTERVAL_MS
        delay_ms += next(self.jitter_ms) % POLL_JITTER_MS
        self.due_ns = now_ns + delay_ms * NS_PER_MS

    def yield_to(
        self, voter: str, now_ns: int, *, is_rival: bool = False
    ) -> None:
        """Leave another voter the time to be elected.

        Voters that stand at the same time would split the votes.  Each
        voter is left the time once until this host has polled itself:
        one that hears no answers would poll for ever.

        :param is_rival: whether both stand now, so that the other one
            has to try again
        """
        if voter in self._yielded_to:
            return
        self._yielded_to.add(voter)
        delay_ms = VOTE_TIMEOUT_MS
        if is_rival:
            delay_ms += MAX_RETRY_DELAY_MS + VOTE_TIMEOUT_MS
        self.due_ns = max(self.due_ns, now_ns + delay_ms * NS_PER_MS)

    # --- leaders ---

    def record_leader(self, now_ns: int) -> None:
        """Record a message of the leader."""
        self._leader_heard_ns = now_ns
        self._has_seen_leader = True
        self.postpone(now_ns)

    def record_resigned(self, now_ns: int) -> None:
        """Record that the leader heard so far has ended its leadership.

        It may have led, and granted leases, until now.
        """
        self.record_led(now_ns)
        self.poll_soon(now_ns)

    def record_led(self, now_ns: int) -> None:
        """Record that a leader has led until now, and leads no more.

        The host that led counts too, although it hears no leader.
        """
        self._leader_heard_ns = now_ns - MIN_ELECTION_TIMEOUT_MS * NS_PER_MS

    def record_elected(self) -> None:
        """Record that this host leads."""
        self._has_seen_leader = True

    def leader_age_ns(self, now_ns: int) -> int:
        """Return the time since a leader was last heard."""
        return now_ns - self._leader_heard_ns

    def heard_leader_lately(self, now_ns: int) -> bool:
        """Tell whether a leader was heard within the time-out."""
        age_ns = self.leader_age_ns(now_ns)
        return age_ns < MIN_ELECTION_TIMEOUT_MS * NS_PER_MS

    @property
    def has_seen_no_leader(self) -> bool:
        """Whether no leader was heard, or elected, since the start."""
        return not self._has_seen_leader

    def just_restarted(self, now_ns: int) -> bool:
        """Tell whether an earlier process may have answered a leader.

        That leader may be current until the election time-out.
        """
        until_ns = self.started_ns + MIN_ELECTION_TIMEOUT_MS * NS_PER_MS
        return self.has_seen_no_leader and now_ns < until_ns

    # --- votes ---

    def start_pre_vote(self, now_ns: int) -> None:
        """Start to ask whether an election could succeed."""
        self.is_pre_vote = True
        self._yielded_to.clear()
        self._votes = {self.host}
        self._restarted = {self.host} if self.has_seen_no_leader else set()
        self.poll_soon(now_ns)

    def start_vote(self, now_ns: int) -> None:
        """Start to ask for votes in a new term."""
        self.is_pre_vote = False
        self._votes = {self.host}
        self.earlier_leader_until_ns = 0
        self._extend_earlier_leader(self._leader_heard_ns)
        delay_ms = VOTE_TIMEOUT_MS + next(self.jitter_ms) % MAX_RETRY_DELAY_MS
        self.due_ns = now_ns + delay_ms * NS_PER_MS

    def stop(self, now_ns: int) -> None:
        """Stop asking for votes."""
        self.is_pre_vote = False
        self.postpone(now_ns)

    def record_vote(self, voter: str, leader_heard_ns: int) -> None:
        """Count a vote.

        :param leader_heard_ns: time at which the voter last heard a
            leader, on this host's clock
        """
        self._votes.add(voter)
        self._extend_earlier_leader(leader_heard_ns)

    def record_restarted(self, voter: str) -> None:
        """Record that a voter has seen no leader since its start."""
        self._restarted.add(voter)

    def has_quorum(self, voters: Sequence[str]) -> bool:
        """Tell whether most of the voters have voted for this host."""
        return 2 * len(self._votes) > len(voters)

    def all_restarted(self, voters: Sequence[str]) -> bool:
        """Tell whether no voter has seen a leader since its start.

        A leader is always a voter.  Once every voter has restarted and
        none of them leads, no earlier leader can be left.
        """
        return self._restarted >= set(voters)

    def _extend_earlier_leader(self, last_heard_ns: int) -> None:
        # An earlier leader stays current only while a quorum
        # acknowledges it, and every quorum overlaps with the one that
        # elects this host.
        until_ns = last_heard_ns + MIN_ELECTION_TIMEOUT_MS * NS_PER_MS
        self.earlier_leader_until_ns = max(
            self.earlier_leader_until_ns, until_ns
        )
