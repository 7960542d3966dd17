"""How a leader brings a follower with a different tail up to date."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
import pytest

from rosemarysaddle.decide import LogNode, Role, Send, StoredLog
from rosemarysaddle.schema import (
    AppendReply,
    AppendRequest,
    LogEntry,
    SnapshotInstall,
    VoteReply,
)
from tests.helpers import NS_PER_MS, make_log

if TYPE_CHECKING:
    from collections.abc import Sequence

    from rosemarysaddle.schema import Message

LEADER, FOLLOWER = "a", "b"
PAYLOAD = '"' + "x" * 2_000 + '"'
# Rejected probes, plus the first batch and its answer.
MAX_ROUND_TRIPS = 8


def _entries(terms: Sequence[int]) -> tuple[LogEntry, ...]:
    return tuple(
        LogEntry(index=n, term=term, kind="change", payload=PAYLOAD)
        for n, term in enumerate(terms, start=1)
    )


def _node(host: str, terms: Sequence[int], *, term: int = 0) -> LogNode:
    stored = StoredLog(
        term=term or max(terms, default=0), entries=_entries(terms)
    )
    return make_log(host, stored=stored)


def _elect(terms: Sequence[int], *, term: int) -> tuple[LogNode, int]:
    """Build a leader of ``term + 1`` with a log of the given terms."""
    leader = _node(LEADER, terms, term=term)
    now_ns = 2_000 * NS_PER_MS
    leader.tick(now_ns)
    for pre in (True, False):
        reply = VoteReply(
            term=term + 1, granted=True, pre=pre, heard_age_ns=now_ns
        )
        leader.receive("c", reply, now_ns)
    assert leader.role is Role.LEADER
    return leader, now_ns


@attrs.define(kw_only=True)
class Exchange:
    """A leader and one follower, one message in flight at a time."""

    leader: LogNode
    follower: LogNode
    now_ns: int
    requests: list[Message] = attrs.field(factory=list)
    replies: list[AppendReply] = attrs.field(factory=list)
    is_earlier_build: bool = False

    def send_heartbeat(self) -> list[Message]:
        self.now_ns += 200 * NS_PER_MS
        return self._to_follower(self.leader.tick(self.now_ns))

    def answer(self, request: Message) -> AppendReply:
        self.now_ns += NS_PER_MS
        self.requests.append(request)
        effects = self.follower.receive(LEADER, request, self.now_ns)
        (reply,) = [e.message for e in effects if isinstance(e, Send)]
        assert isinstance(reply, AppendReply)
        if self.is_earlier_build:
            reply = AppendReply(
                term=reply.term,
                ok=reply.ok,
                match_index=(
                    reply.match_index if reply.ok else self.follower.last_index
                ),
                sent_ns=reply.sent_ns,
            )
        self.replies.append(reply)
        return reply

    def deliver_reply(self, reply: AppendReply) -> list[Message]:
        self.now_ns += NS_PER_MS
        effects = self.leader.receive(FOLLOWER, reply, self.now_ns)
        return self._to_follower(effects)

    def run(self, in_flight: list[Message], *, limit: int) -> int:
        """Exchange messages until the follower holds the leader's log.

        :return: round trips that it took, at most ``limit``
        """
        for number in range(limit):
            if self.is_caught_up:
                return number
            in_flight = in_flight or self.send_heartbeat()
            in_flight = (
                self.deliver_reply(self.answer(in_flight.pop(0))) + in_flight
            )
        return limit

    @property
    def is_caught_up(self) -> bool:
        return (
            self.follower.last_index == self.leader.last_index
            and self.leader.lag(FOLLOWER) == 0
        )

    @property
    def sent_chars(self) -> int:
        return sum(
            len(entry.payload)
            for request in self.requests
            if isinstance(request, AppendRequest)
            for entry in request.entries
        )

    @staticmethod
    def _to_follower(effects: Sequence[object]) -> list[Message]:
        return [
            e.message
            for e in effects
            if isinstance(e, Send) and e.peer == FOLLOWER
        ]


COMMON = [1] * 32
DIVERGENT_LOGS = [
    pytest.param([*COMMON, 2], [*COMMON, *[3] * 42], id="one-last-entry"),
    pytest.param(
        [*COMMON, *[2] * 40], [*COMMON, *[3] * 42], id="tail-within-leader"
    ),
    pytest.param(
        [*COMMON, *[2] * 80], [*COMMON, *[3] * 4], id="tail-past-leader"
    ),
    pytest.param(
        [*COMMON, 2, 3, 4, 5, 6, 7],
        [*COMMON, *[8] * 40],
        id="tail-of-several-terms",
    ),
    pytest.param(
        [*COMMON, *range(2, 42, 2)],
        [*COMMON, *range(3, 43, 2)],
        id="alternating-terms",
    ),
    pytest.param([2], [1, *[3] * 40], id="first-entry"),
    pytest.param([], [1] * 70, id="empty-follower"),
    pytest.param(COMMON, [*COMMON, *[1] * 40], id="shorter-follower"),
]


@pytest.mark.parametrize(("held", "led"), DIVERGENT_LOGS)
def test_divergent_tail_is_replaced_in_few_round_trips(
    held: list[int], led: list[int]
) -> None:
    leader, now_ns = _elect(led, term=max(*led, *held, 1))
    exchange = Exchange(
        leader=leader, follower=_node(FOLLOWER, held), now_ns=now_ns
    )

    round_trips = exchange.run([], limit=60)

    assert exchange.is_caught_up
    assert round_trips <= MAX_ROUND_TRIPS
    # Nothing is sent twice: the leader's log once, with its no-op.
    assert exchange.sent_chars <= len(PAYLOAD) * (len(led) + 1)


def test_divergent_tail_is_replaced_while_changes_are_proposed() -> None:
    led = [*COMMON, *[3] * 42]
    leader, now_ns = _elect(led, term=3)
    follower = _node(FOLLOWER, [*COMMON, 2])
    exchange = Exchange(leader=leader, follower=follower, now_ns=now_ns)

    in_flight: list[Message] = []
    for _ in range(20):
        effects = leader.propose("change", PAYLOAD, exchange.now_ns)
        in_flight.extend(Exchange._to_follower(effects))
        in_flight = in_flight or exchange.send_heartbeat()
        reply = exchange.answer(in_flight.pop(0))
        in_flight.extend(exchange.deliver_reply(reply))
    exchange.run(in_flight, limit=20)

    assert exchange.is_caught_up


def test_no_entries_are_sent_before_the_follower_matches() -> None:
    leader, now_ns = _elect([*COMMON, *[3] * 42], term=3)
    follower = _node(FOLLOWER, [*COMMON, *[2] * 10])
    exchange = Exchange(leader=leader, follower=follower, now_ns=now_ns)
    (request,) = exchange.send_heartbeat()
    (probe,) = exchange.deliver_reply(exchange.answer(request))

    proposed = leader.propose("change", PAYLOAD, exchange.now_ns)

    assert isinstance(probe, AppendRequest)
    assert probe.entries == ()
    assert Exchange._to_follower(proposed) == []


@pytest.mark.parametrize("times", [1, 5])
def test_stale_rejection_changes_nothing(times: int) -> None:
    leader, now_ns = _elect([*COMMON, *[3] * 42], term=3)
    follower = _node(FOLLOWER, [*COMMON, *[2] * 10])
    exchange = Exchange(leader=leader, follower=follower, now_ns=now_ns)
    exchange.run([], limit=20)
    assert exchange.is_caught_up
    rejections = [r for r in exchange.replies if not r.ok]
    assert rejections

    answers = [exchange.deliver_reply(r) for r in rejections * times]

    assert answers == [[]] * len(answers)
    effects = leader.propose("change", PAYLOAD, exchange.now_ns)
    (request,) = Exchange._to_follower(effects)
    assert isinstance(request, AppendRequest)
    assert [entry.index for entry in request.entries] == [leader.last_index]


def test_duplicate_rejection_sends_one_probe() -> None:
    leader, now_ns = _elect([*COMMON, *[3] * 42], term=3)
    follower = _node(FOLLOWER, [*COMMON, *[2] * 10])
    exchange = Exchange(leader=leader, follower=follower, now_ns=now_ns)
    (request,) = exchange.send_heartbeat()
    rejection = exchange.answer(request)

    first = exchange.deliver_reply(rejection)
    second = exchange.deliver_reply(rejection)

    assert len(first) == 1
    assert second == []


def test_reordered_appends_are_delivered_after_a_probe() -> None:
    leader, now_ns = _elect(COMMON, term=1)
    exchange = Exchange(
        leader=leader, follower=_node(FOLLOWER, COMMON), now_ns=now_ns
    )
    exchange.run([], limit=8)
    in_flight: list[Message] = []
    for _ in range(6):
        effects = leader.propose("change", PAYLOAD, exchange.now_ns)
        in_flight.extend(Exchange._to_follower(effects))
    assert len(in_flight) == 6

    replies = [exchange.answer(m) for m in reversed(in_flight)]
    probes = [m for r in replies for m in exchange.deliver_reply(r)]
    round_trips = exchange.run(probes, limit=20)

    assert exchange.is_caught_up
    assert round_trips <= MAX_ROUND_TRIPS


@pytest.mark.parametrize(("held", "led"), DIVERGENT_LOGS)
def test_follower_of_an_earlier_build_is_caught_up(
    held: list[int], led: list[int]
) -> None:
    """Such a follower reports only its last index when it rejects."""
    leader, now_ns = _elect(led, term=max(*led, *held, 1))
    exchange = Exchange(
        leader=leader,
        follower=_node(FOLLOWER, held),
        now_ns=now_ns,
        is_earlier_build=True,
    )

    exchange.run([], limit=20)

    assert exchange.is_caught_up


@pytest.mark.parametrize(("held", "led"), DIVERGENT_LOGS)
def test_leader_of_an_earlier_build_catches_up_its_follower(
    held: list[int], led: list[int]
) -> None:
    """Such a leader pipelines and goes back by the reported index."""
    follower = _node(FOLLOWER, held)
    entries = _entries([*led, 99])
    now_ns, next_index = 2_000 * NS_PER_MS, len(led) + 1
    for _ in range(len(held) + 4):
        batch = entries[next_index - 1 : next_index + 63]
        previous = next_index - 1
        request = AppendRequest(
            term=99,
            leader=LEADER,
            prev_index=previous,
            prev_term=entries[previous - 1].term if previous else 0,
            commit_index=0,
            sent_ns=now_ns,
            entries=batch,
        )
        next_index += len(batch)
        effects = follower.receive(LEADER, request, now_ns)
        (reply,) = [e.message for e in effects if isinstance(e, Send)]
        assert isinstance(reply, AppendReply)
        if not reply.ok:
            next_index = max(min(reply.match_index + 1, next_index - 1), 1)
        elif follower.last_index == len(entries):
            break

    assert follower.last_index == len(entries)


def test_unanswered_snapshot_is_not_sent_with_each_change() -> None:
    leader, now_ns = _elect(COMMON, term=1)
    third = Exchange(leader=leader, follower=_node("c", COMMON), now_ns=now_ns)
    # The third voter commits the log, so that it can be compacted.
    noop = leader.last_index
    ok = AppendReply(term=2, ok=True, match_index=noop, sent_ns=now_ns)
    leader.receive("c", ok, third.now_ns)
    leader.compact(noop, "state " * 1_000)
    exchange = Exchange(
        leader=leader, follower=_node(FOLLOWER, []), now_ns=now_ns
    )
    (snapshot,) = exchange.send_heartbeat()
    assert isinstance(snapshot, SnapshotInstall)

    sent: list[Message] = []
    for _ in range(10):
        exchange.now_ns += 10 * NS_PER_MS
        effects = leader.propose("change", PAYLOAD, exchange.now_ns)
        sent.extend(Exchange._to_follower(effects))

    assert not any(isinstance(m, SnapshotInstall) for m in sent)
    exchange.run([snapshot], limit=8)
    assert exchange.is_caught_up


def test_silent_follower_gets_no_entries_until_it_answers() -> None:
    leader, now_ns = _elect(COMMON, term=1)
    exchange = Exchange(
        leader=leader, follower=_node(FOLLOWER, COMMON), now_ns=now_ns
    )
    exchange.run([], limit=8)
    exchange.now_ns += 500 * NS_PER_MS
    # The third voter keeps the leader current.
    ok = AppendReply(term=2, ok=True, match_index=33, sent_ns=exchange.now_ns)
    leader.receive("c", ok, exchange.now_ns)

    effects = leader.propose("change", PAYLOAD, exchange.now_ns)
    heartbeat = exchange.send_heartbeat()

    sent = Exchange._to_follower(effects) + heartbeat
    assert sent
    assert all(isinstance(m, AppendRequest) and not m.entries for m in sent)
    exchange.run(heartbeat, limit=8)
    assert exchange.is_caught_up
