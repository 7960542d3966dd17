"""Effects: actions that the decision logic asks the daemon to run."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from rosemarysaddle.decide._send import Send, SendRelayed

if TYPE_CHECKING:
    from collections.abc import Mapping

    from rosemarysaddle.decide.primaries._former_members import FormerMember
    from rosemarysaddle.schema import LogEntry

__all__ = (
    "CheckEnded",
    "Committed",
    "DemoteTarget",
    "Effect",
    "FollowPrimary",
    "LoadSnapshot",
    "LogDecision",
    "ProbeGroup",
    "PromoteTarget",
    "PromotionResult",
    "SaveEntries",
    "SaveSnapshot",
    "SaveVote",
    "Send",
    "SendRelayed",
    "TargetReport",
)


@attrs.frozen(kw_only=True)
class SaveVote:
    """Store term and vote durably before the next effect runs."""

    term: int
    voted_for: str


@attrs.frozen(kw_only=True)
class SaveEntries:
    """Store entries durably, truncating the log at the first one."""

    entries: tuple[LogEntry, ...]


@attrs.frozen(kw_only=True)
class SaveSnapshot:
    """Store a snapshot durably and drop the entries it covers."""

    index: int
    term: int
    state: str
    voters: str = ""


@attrs.frozen(kw_only=True)
class Committed:
    """Entries that have been committed, in order."""

    entries: tuple[LogEntry, ...]


@attrs.frozen(kw_only=True)
class LoadSnapshot:
    """Replace the applied state with a snapshot of the leader."""

    index: int
    state: str


@attrs.frozen(kw_only=True)
class TargetReport:
    """Status of one instance, read over a new connection.

    :param reachable: whether the instance answered
    :param refused: whether it refused the connection at once
    :param role: replication role, or empty where the status is unknown
    :param term: term in which it has the role
    :param log_term: term of the newest log entry that it has received;
        0 where it is that of the role
    :param asked_ns: monotonic time at which the status was requested,
        in nanoseconds; the status is at least as new
    :param identity: identifier that the instance generated when its
        disk was new
    """

    target: str
    reachable: bool
    refused: bool = False
    role: str = ""
    term: int = 0
    log_term: int = 0
    position: int = 0
    asked_ns: int = 0
    identity: str = ""

    @property
    def progress(self) -> tuple[int, int]:
        """Newest log position, in the order of the log."""
        return (self.log_term or self.term, self.position)

    @property
    def newest_term(self) -> int:
        """Newest term that the instance knows of."""
        return max(self.term, self.log_term)


@attrs.frozen(kw_only=True)
class ProbeGroup:
    """Read the status of every instance of a group.

    :param attempt: number that identifies this probe in its result
    :param deadline_ns: monotonic time at which to report the answers
        received so far
    :param quorum: number of answers that suffices
    :param needed: names of targets whose answers suffice, or empty
    :param fresh: whether to probe over new connections only
    :param identities: expected identity of each instance, or empty to
        accept every answer
    """

    group: str
    attempt: int
    deadline_ns: int
    quorum: int
    needed: tuple[str, ...] = ()
    fresh: bool = False
    identities: Mapping[str, str] = attrs.field(factory=dict)


@attrs.frozen(kw_only=True)
class CheckEnded:
    """Find out which former members of a group run no more.

    :param deadline_ns: monotonic time at which to report what is known
    """

    group: str
    members: tuple[FormerMember, ...]
    deadline_ns: int


@attrs.frozen(kw_only=True)
class PromoteTarget:
    """Order an instance to become primary under a term.

    :param start: position at which the term began, which the instance
        must have reached
    :param deadline_ns: monotonic deadline of the promotion
    :param above_term: the promotion is done once the instance reports
        to be the primary in a later term, as instances number theirs
    :param may_be_primary: whether the instance may be the primary
        already, so that its status is read before the order is sent
    :param may_be_present: whether the instance may be the present
        primary, for which the order changes nothing.  It is done too
        once the instance leads the term ``above_term`` still, some time
        after the order was accepted
    :param may_order: whether the order may be sent; it is not where the
        instance reported that it is the primary
    """

    group: str
    target: str
    term: int
    start: int
    deadline_ns: int
    above_term: int = 0
    may_be_primary: bool = True
    may_be_present: bool = False
    may_order: bool = True


@attrs.frozen(kw_only=True)
class PromotionResult:
    """What became of an order to promote a target.

    :param done: whether the target is the primary
    :param target_term: term in which it is, as targets number theirs
    :param is_settled: whether the order can have no further effect
    :param has_open_calls: whether calls for the target, of this order
        or an earlier one, are not answered yet
    """

    done: bool
    target_term: int = 0
    is_settled: bool = False
    has_open_calls: bool = False


@attrs.frozen(kw_only=True)
class DemoteTarget:
    """Tell an instance that it is no longer the primary.

    :param term: term of the present primary, as instances number their
        terms
    """

    group: str
    target: str
    term: int


@attrs.frozen(kw_only=True)
class LogDecision:
    """Write a decision to the log of the host.

    :param event: name of the event
    :param text: inputs and outcome as ``key=value``
    """

    event: str
    text: str


@attrs.frozen(kw_only=True)
class FollowPrimary:
    """Order an instance to replicate from the primary of a term.

    :param start: position at which the term began
    """

    group: str
    target: str
    primary: str
    term: int
    start: int


Effect = (
    CheckEnded
    | Committed
    | DemoteTarget
    | FollowPrimary
    | LoadSnapshot
    | LogDecision
    | ProbeGroup
    | PromoteTarget
    | SaveEntries
    | SaveSnapshot
    | SaveVote
    | Send
    | SendRelayed
)
