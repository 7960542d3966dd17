from __future__ import annotations

import itertools
from typing import Any

import attrs
import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from rosemarysaddle.decide import Committed, LogNode, Role, Send, StoredLog
from rosemarysaddle.decide._times import MIN_ELECTION_TIMEOUT_MS
from rosemarysaddle.schema import (
    AppendRequest,
    LogEntry,
    VoteReply,
    VoteRequest,
)
from tests.helpers import NS_PER_MS, VOTERS, FakeDisk, make_log

HOSTS = st.sampled_from(VOTERS)


class LogMachine(RuleBasedStateMachine):
    """Three voters under loss, reordering, partitions and crashes."""

    @initialize()
    def start(self) -> None:
        self.now_ns = 0
        self.disks = {h: FakeDisk() for h in VOTERS}
        self.nodes: dict[str, LogNode] = {h: make_log(h) for h in VOTERS}
        self.in_flight: list[tuple[str, Send]] = []
        self.cut: set[str] = set()
        self.applied: dict[str, list[LogEntry]] = {h: [] for h in VOTERS}
        self.accepted: dict[int, LogEntry] = {}
        self.leaders: dict[int, str] = {}
        self.proposals = 0

    def _absorb(self, host: str, effects: list[Any]) -> None:
        self.disks[host].save(effects)
        for effect in effects:
            if isinstance(effect, Send):
                self.in_flight.append((host, effect))
            if isinstance(effect, Committed):
                self._commit(host, effect)

    def _commit(self, host: str, committed: Committed) -> None:
        for entry in committed.entries:
            known = self.accepted.setdefault(entry.index, entry)
            assert known == entry, "two entries committed at one index"
            self.applied[host].append(entry)

    @rule(host=HOSTS, spent_ms=st.integers(min_value=1, max_value=900))
    def tick(self, host: str, spent_ms: int) -> None:
        self.now_ns += spent_ms * NS_PER_MS
        self._absorb(host, self.nodes[host].tick(self.now_ns))

    @rule(data=st.data(), twice=st.booleans())
    @precondition(lambda self: self.in_flight)
    def deliver(self, data: st.DataObject, *, twice: bool) -> None:
        numbers = st.integers(min_value=0, max_value=len(self.in_flight) - 1)
        number = data.draw(numbers)
        source, send = self.in_flight[number]
        if not twice:
            del self.in_flight[number]
        if source in self.cut or send.peer in self.cut:
            return
        node = self.nodes[send.peer]
        effects = node.receive(source, send.message, self.now_ns)
        self._absorb(send.peer, effects)

    @rule(rounds=st.integers(min_value=1, max_value=30))
    def elapse(self, rounds: int) -> None:
        for _ in range(rounds):
            self.now_ns += 50 * NS_PER_MS
            for host, node in self.nodes.items():
                self._absorb(host, node.tick(self.now_ns))
            self._deliver_all()

    def _deliver_all(self) -> None:
        for _ in range(60):
            if not self.in_flight:
                return
            source, send = self.in_flight.pop(0)
            if source in self.cut or send.peer in self.cut:
                continue
            node = self.nodes[send.peer]
            effects = node.receive(source, send.message, self.now_ns)
            self._absorb(send.peer, effects)

    @rule(host=HOSTS)
    def propose(self, host: str) -> None:
        self.proposals += 1
        effects = self.nodes[host].propose(
            "change", f'"{self.proposals}"', self.now_ns
        )
        self._absorb(host, effects)

    @rule(host=HOSTS)
    def crash_and_restart(self, host: str) -> None:
        stored = self.disks[host].stored
        self.nodes[host] = make_log(host, stored=stored, now_ns=self.now_ns)
        self.applied[host] = []

    @rule(host=HOSTS)
    def cut_off(self, host: str) -> None:
        self.cut = {host}

    @rule()
    def heal(self) -> None:
        self.cut = set()

    @rule(host=HOSTS)
    @precondition(lambda self: self.accepted)
    def compact(self, host: str) -> None:
        node = self.nodes[host]
        if node.commit_index and node.held_entries:
            effects = node.compact(node.commit_index, "state")
            self._absorb(host, effects)

    @invariant()
    def one_leader_for_each_term(self) -> None:
        for host, node in getattr(self, "nodes", {}).items():
            if node.role is Role.LEADER:
                assert self.leaders.setdefault(node.term, host) == host

    @invariant()
    def at_most_one_current_leader(self) -> None:
        nodes = getattr(self, "nodes", {}).values()
        current = [n.host for n in nodes if n.is_current(self.now_ns)]
        assert len(current) <= 1

    @invariant()
    def leader_holds_all_committed(self) -> None:
        for node in getattr(self, "nodes", {}).values():
            if node.is_current(self.now_ns):
                highest = max(self.accepted, default=0)
                assert node.last_index >= highest


LogMachine.TestCase.settings = settings(
    max_examples=300, stateful_step_count=60, deadline=None, derandomize=True
)
TestLogMachine = LogMachine.TestCase


def _request(term: int, *, pre: bool = False, last: int = 0) -> VoteRequest:
    return VoteRequest(
        term=term, candidate="b", last_index=last, last_term=last, pre=pre
    )


def _append(term: int, sent_ns: int) -> AppendRequest:
    return AppendRequest(
        term=term,
        leader="c",
        prev_index=0,
        prev_term=0,
        commit_index=0,
        sent_ns=sent_ns,
        entries=(),
    )


def _reply(node: LogNode, request: VoteRequest, now_ns: int) -> VoteReply:
    effects = node.receive("b", request, now_ns)
    (reply,) = [e.message for e in effects if isinstance(e, Send)]
    assert isinstance(reply, VoteReply)
    return reply


@pytest.mark.parametrize(
    ("heard_ms", "asked_ms", "granted"),
    [
        pytest.param(1_000, 1_100, False, id="leader-heard-lately"),
        pytest.param(1_000, 1_599, False, id="within-election-time"),
        pytest.param(1_000, 1_700, True, id="leader-silent"),
    ],
)
def test_vote_waits_until_leader_is_silent(
    heard_ms: int, asked_ms: int, granted: bool
) -> None:
    node = make_log("a")
    node.receive("c", _append(1, heard_ms * NS_PER_MS), heard_ms * NS_PER_MS)

    reply = _reply(node, _request(2), asked_ms * NS_PER_MS)

    assert reply.granted is granted
    assert reply.heard_age_ns == (asked_ms - heard_ms) * NS_PER_MS


def test_vote_is_refused_shortly_after_restart() -> None:
    node = make_log("a", now_ns=5_000 * NS_PER_MS)

    reply = _reply(node, _request(9), 5_100 * NS_PER_MS)

    assert not reply.granted


def test_vote_is_granted_once_per_term() -> None:
    node = make_log("a")
    assert _reply(node, _request(2), 1_000 * NS_PER_MS).granted

    other = attrs.evolve(_request(2), candidate="c")
    effects = node.receive("c", other, 1_010 * NS_PER_MS)

    replies = [e.message for e in effects if isinstance(e, Send)]
    assert [getattr(r, "granted", None) for r in replies] == [False]


def test_pre_vote_leaves_term_unchanged() -> None:
    node = make_log("a")

    reply = _reply(node, _request(7, pre=True), 1_000 * NS_PER_MS)

    assert reply.granted
    assert node.term == 0


def test_leader_steps_down_without_quorum() -> None:
    node = make_log("a")
    node.tick(700 * NS_PER_MS)
    pre = VoteReply(
        term=1, granted=True, pre=True, heard_age_ns=700 * NS_PER_MS
    )
    node.receive("b", pre, 710 * NS_PER_MS)
    vote = VoteReply(
        term=1, granted=True, pre=False, heard_age_ns=720 * NS_PER_MS
    )
    node.receive("b", vote, 720 * NS_PER_MS)
    assert node.role is Role.LEADER
    assert not node.is_current(730 * NS_PER_MS)

    node.tick(1_400 * NS_PER_MS)

    assert node.role is not Role.LEADER


def test_new_leader_knows_until_when_an_earlier_one_may_lead() -> None:
    node = make_log("a")
    node.receive("c", _append(1, 0), 100 * NS_PER_MS)
    node.tick(900 * NS_PER_MS)
    pre = VoteReply(
        term=2, granted=True, pre=True, heard_age_ns=650 * NS_PER_MS
    )
    node.receive("b", pre, 910 * NS_PER_MS)
    vote = VoteReply(
        term=2, granted=True, pre=False, heard_age_ns=660 * NS_PER_MS
    )

    node.receive("b", vote, 920 * NS_PER_MS)

    assert node.role is Role.LEADER
    assert node.earlier_leader_until_ns == (920 - 660 + 600) * NS_PER_MS


def _restart_all(stored: StoredLog, *, now_ns: int) -> dict[str, LogNode]:
    starts_ns = (now_ns + n * 30 * NS_PER_MS for n in range(len(VOTERS)))
    return {
        h: make_log(h, stored=stored, now_ns=start_ns)
        for h, start_ns in zip(VOTERS, starts_ns, strict=True)
    }


def _elapse(nodes: dict[str, LogNode], now_ns: int, until_ns: int) -> int:
    """Run the voters without message loss until one leads."""
    while now_ns < until_ns:
        now_ns += 10 * NS_PER_MS
        in_flight = [(h, e) for h, n in nodes.items() for e in n.tick(now_ns)]
        while in_flight:
            source, effect = in_flight.pop(0)
            if isinstance(effect, Send) and effect.peer in nodes:
                node = nodes[effect.peer]
                found = node.receive(source, effect.message, now_ns)
                in_flight.extend((effect.peer, e) for e in found)
        if any(n.is_current(now_ns) for n in nodes.values()):
            break
    return now_ns


def test_restart_of_all_voters_allows_an_early_election() -> None:
    start_ns = 5_000 * NS_PER_MS
    nodes = _restart_all(StoredLog(term=3), now_ns=start_ns)

    now_ns = _elapse(nodes, start_ns, start_ns + 2_000 * NS_PER_MS)

    assert any(n.is_current(now_ns) for n in nodes.values())
    assert now_ns < start_ns + MIN_ELECTION_TIMEOUT_MS * NS_PER_MS


def test_missing_voter_prevents_an_early_election() -> None:
    start_ns = 5_000 * NS_PER_MS
    nodes = _restart_all(StoredLog(term=3), now_ns=start_ns)
    del nodes[VOTERS[0]]

    now_ns = _elapse(nodes, start_ns, start_ns + 3_000 * NS_PER_MS)

    assert now_ns >= start_ns + MIN_ELECTION_TIMEOUT_MS * NS_PER_MS


def test_leader_grants_no_vote_to_a_restarted_voter() -> None:
    start_ns = 5_000 * NS_PER_MS
    nodes = _restart_all(StoredLog(term=3), now_ns=start_ns)
    now_ns = _elapse(nodes, start_ns, start_ns + 2_000 * NS_PER_MS)
    leader = next(n for n in nodes.values() if n.is_current(now_ns))
    request = VoteRequest(
        term=9,
        candidate=VOTERS[0],
        last_index=99,
        last_term=9,
        pre=False,
        after_restart=True,
    )

    (reply,) = leader.receive("x", request, now_ns)

    assert isinstance(reply, Send)
    assert isinstance(reply.message, VoteReply)
    assert not reply.message.granted


def test_restarted_voter_starts_no_vote_if_another_kept_running() -> None:
    start_ns = 5_000 * NS_PER_MS
    voter = make_log("a", stored=StoredLog(term=3), now_ns=start_ns)
    now_ns = start_ns + 300 * NS_PER_MS
    voter.tick(now_ns)
    granted = VoteReply(
        term=4,
        granted=True,
        pre=True,
        heard_age_ns=900 * NS_PER_MS,
        restarted=False,
    )

    effects = voter.receive("b", granted, now_ns)

    assert effects == []
    assert voter.term == 3


def test_voter_without_a_leader_asks_to_join() -> None:
    # The entry that made it a voter may have been replaced.
    node = make_log("a")
    node.receive("c", _append(1, 0), 100 * NS_PER_MS)
    assert not node.needs_to_join

    node.tick(1_500 * NS_PER_MS)

    assert node.needs_to_join


def test_learner_forgets_a_leader_that_is_gone() -> None:
    learner = LogNode(
        host="d",
        voters=(),
        stored=StoredLog(),
        jitter_ms=itertools.repeat(0),
        started_ns=0,
    )
    heartbeat = AppendRequest(
        term=1,
        leader="a",
        prev_index=0,
        prev_term=0,
        commit_index=0,
        sent_ns=0,
        entries=(),
    )
    learner.receive("a", heartbeat, 0)
    learner.tick(100 * NS_PER_MS)
    assert learner.leader == "a"

    learner.tick(2_000 * NS_PER_MS)

    assert learner.leader == ""
    assert learner.needs_to_join
