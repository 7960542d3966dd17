"""Checks from outside which log commits and reads belong to."""

from __future__ import annotations

import asyncio
import bisect
import collections
import math
import time
from typing import TYPE_CHECKING, Final

import attrs

from rosemarysaddle.soak._targets import holds_position

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Sequence

    from rosemarysaddle.soak._check import CallHistory, ReadCall
    from rosemarysaddle.soak._targets import (
        Entry,
        Promotion,
        ReadRun,
        TargetGroup,
    )

__all__ = (
    "SENDER_SLACK_S",
    "Freeze",
    "WriteWatch",
    "find_lost_at_promotion",
    "find_old_primary_commits",
    "find_rolled_back",
    "find_stale_reads",
)

# The users' pages: a sender may lag by so much.
SENDER_SLACK_S: Final = 0.3
# The users' bound for a change of primary.
MAX_WRITE_GAP_S: Final = 16.0
WATCH_INTERVAL_S: Final = 0.1


@attrs.frozen(kw_only=True)
class Freeze:
    """Time in which a host was frozen, in monotonic seconds."""

    host: str
    from_s: float
    until_s: float

    def may_delay(self, entry: Entry) -> bool:
        """Return whether the host may have sent an entry late."""
        return entry.sender == self.host and (
            self.from_s <= entry.at_s <= self.until_s + SENDER_SLACK_S
        )


def find_old_primary_commits(
    history: CallHistory, group: TargetGroup, freezes: Iterable[Freeze] = ()
) -> list[str]:
    """Find acknowledged commits of a term that had been replaced.

    :param freezes: a host that is just thawed may have sent a commit
        before
    """
    freezes = list(freezes)
    found: list[str] = []
    for entry in _acknowledged(history, group):
        replaced_s = min(
            (p.at_s for p in group.promotions if p.term > entry.term),
            default=math.inf,
        )
        is_late = entry.at_s > replaced_s + SENDER_SLACK_S
        if is_late and not any(f.may_delay(entry) for f in freezes):
            found.append(
                f"{entry.request_id}: committed at {entry.target} in term"
                f" {entry.term} {entry.at_s - replaced_s:.1f} s after the"
                " next promotion took effect"
            )
    return found


def find_rolled_back(group: TargetGroup, slack_s: float = 0.0) -> set[str]:
    """Find the commits that a later promotion left out.

    :param slack_s: time after a promotion until which a commit at an
        old primary counts as an earlier one
    """
    return {
        entry.request_id
        for entry in group.committed
        if any(
            entry.at_s <= p.at_s + slack_s and _lacks(p, entry)
            for p in group.promotions
        )
    }


def find_lost_at_promotion(
    history: CallHistory, group: TargetGroup
) -> list[str]:
    """Find acknowledged commits that a promoted target lacked.

    They are allowed where no replica has to receive a commit.
    """
    if not group.sync_replicas:
        return []
    found: list[str] = []
    for entry in _acknowledged(history, group):
        lost = [
            p
            for p in group.promotions
            if entry.at_s <= p.at_s and _lacks(p, entry)
        ]
        if lost:
            found.append(
                f"{entry.request_id}: acknowledged by {entry.target} at"
                f" {entry.term}.{entry.position}, and not in the log of"
                f" {lost[0].target}, promoted for term {lost[0].term}"
                f" {lost[0].at_s - entry.at_s:.3f} s later"
            )
    return found


def find_stale_reads(
    history: CallHistory, group: TargetGroup, max_staleness_s: float
) -> list[str]:
    """Find reads at a log that lacks what they have to see.

    Commits that a promotion has left out by then do not count.

    :param max_staleness_s: age of the commits that a read with a bound
        may lack
    """
    entries = {entry.request_id: entry for entry in group.committed}
    everyone = _Commits()
    sessions: dict[str, _Commits] = collections.defaultdict(_Commits)
    for ack in history.acks:
        if ack.request_id in entries:
            entry = entries[ack.request_id]
            rolled_back_s = _rolled_back_s(entry, group.promotions)
            everyone.add(ack.at_s, entry, rolled_back_s)
            sessions[ack.session].add(ack.at_s, entry, rolled_back_s)
    found: list[str] = []
    for call in history.reads:
        run = group.reads.get((call.request_id, call.target))
        if run is None or run.value != call.value:
            found.append(
                f"{call.request_id}: got {call.value}, which {call.target}"
                " did not return"
            )
            continue
        is_strict = call.freshness == "primary"
        limit_s = call.asked_s - (0.0 if is_strict else max_staleness_s)
        missing = None
        if call.freshness == "read_your_writes":
            missing = sessions[call.session].find_missing(call.asked_s, run)
        if missing is None:
            missing = everyone.find_missing(limit_s, run)
        if missing is not None:
            found.append(_describe_stale(call, run, missing))
    return found


def _describe_stale(call: ReadCall, run: ReadRun, missing: Entry) -> str:
    term = max(run.starts)
    return (
        f"{call.request_id}: {call.freshness} read at {run.target}"
        f" {term}.{run.applied}, which lacks {missing.request_id} at"
        f" {missing.term}.{missing.position} of {missing.target}"
    )


def _acknowledged(history: CallHistory, group: TargetGroup) -> Iterable[Entry]:
    return (e for e in group.committed if e.request_id in history.acknowledged)


def _lacks(promotion: Promotion, entry: Entry) -> bool:
    return promotion.term > entry.term and not holds_position(
        promotion.starts, promotion.length, entry.term, entry.position
    )


def _rolled_back_s(entry: Entry, promotions: Sequence[Promotion]) -> float:
    """Return when a promotion rolled a commit back, or infinity.

    A commit at an old primary after a promotion was not rolled back by
    that one.
    """
    return min(
        (
            p.at_s
            for p in promotions
            if _lacks(p, entry) and entry.at_s <= p.at_s + SENDER_SLACK_S
        ),
        default=math.inf,
    )


@attrs.define(kw_only=True)
class _Commits:
    """Acknowledged commits, in the order of their acknowledgement.

    :param kept: by term, the time of each acknowledgement and the
        newest commit until then
    :param rolled_back: the others, with the time of their
        acknowledgement and of the promotion that left them out
    """

    kept: dict[int, tuple[list[float], list[Entry]]] = attrs.field(
        factory=dict
    )
    rolled_back: list[tuple[float, float, Entry]] = attrs.field(factory=list)

    def add(self, at_s: float, entry: Entry, rolled_back_s: float) -> None:
        """Add a commit, after those acknowledged before it."""
        if rolled_back_s < math.inf:
            self.rolled_back.append((at_s, rolled_back_s, entry))
            return
        times, newest = self.kept.setdefault(entry.term, ([], []))
        if newest and newest[-1].position > entry.position:
            entry = newest[-1]
        times.append(at_s)
        newest.append(entry)

    def find_missing(self, limit_s: float, run: ReadRun) -> Entry | None:
        """Find a commit that a read did not see.

        :param limit_s: time until which a commit was acknowledged that
            the read has to see
        """
        for times, newest in self.kept.values():
            count = bisect.bisect_right(times, limit_s)
            if count and not _saw(run, newest[count - 1]):
                return newest[count - 1]
        for at_s, rolled_back_s, entry in self.rolled_back:
            counts = at_s <= limit_s and run.at_s < rolled_back_s
            if counts and not _saw(run, entry):
                return entry
        return None


def _saw(run: ReadRun, entry: Entry) -> bool:
    return holds_position(run.starts, run.applied, entry.term, entry.position)


@attrs.define(kw_only=True, eq=False)
class WriteWatch:
    """Measures how long no write was acknowledged, while one could be.

    :param count_acknowledged: returns the number of acknowledged writes
    :param can_write: returns whether a write can be acknowledged
    :param longest_s: longest time without one
    """

    count_acknowledged: Callable[[], int]
    can_write: Callable[[], bool]
    longest_s: float = 0.0

    async def run(self) -> None:
        """Watch until cancelled."""
        since_s, seen = time.monotonic(), -1
        while True:
            now_s, count = time.monotonic(), self.count_acknowledged()
            if count != seen or not self.can_write():
                since_s, seen = now_s, count
            self.longest_s = max(self.longest_s, now_s - since_s)
            await asyncio.sleep(WATCH_INTERVAL_S)

    def find_violations(self) -> list[str]:
        """Report a time without a write that is too long."""
        if self.longest_s <= MAX_WRITE_GAP_S:
            return []
        return [f"no write was acknowledged for {self.longest_s:.1f} s"]
