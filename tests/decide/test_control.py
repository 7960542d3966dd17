from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any

import attrs
import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    precondition,
    rule,
)

from rosemarysaddle.decide import (
    LEASE_MS,
    ControlNode,
    EntryNode,
    FollowPrimary,
    ProbeGroup,
    PromoteTarget,
    PromotionResult,
    Reason,
    Refusal,
    RouteTable,
    Send,
    TargetReport,
    WriteTicket,
    choose_primary,
    promotion_quorum,
    write_quorum,
)
from rosemarysaddle.decide.primaries._primaries import CONFIRM_ATTEMPT
from rosemarysaddle.schema import (
    Announcement,
    ChangeProposal,
    ChangeReply,
    LeaseRenewal,
    Suspicion,
    Switchover,
    ViewDelta,
)
from tests.helpers import NS_PER_MS, make_leader

if TYPE_CHECKING:
    from collections.abc import Sequence

GROUP = "db-1"
TARGETS = ("db-1a", "db-1b", "db-1c")
START_NS = 10_000 * NS_PER_MS


def _inventory() -> str:
    instances = [
        {
            "name": name,
            "data_center": f"dc-{number}",
            "address": f"127.0.0.{number}:3306",
        }
        for number, name in enumerate(TARGETS, 1)
    ]
    return json.dumps(
        {
            "groups": [{"name": GROUP, "instances": instances}],
            "tenants": [],
        }
    )


def _announcement(
    name: str,
    role: str = "replica",
    identity: str = "1",
    *,
    leaving: bool = False,
) -> Announcement:
    number = TARGETS.index(name) + 1
    return Announcement(
        target=name,
        group=GROUP,
        data_center=f"dc-{number}",
        address=f"127.0.0.{number}:3306",
        role=role,
        term=0,
        position=0,
        leaving=leaving,
        identity=identity,
    )


def _report(
    name: str, position: int = 0, term: int = 1, identity: str = "1"
) -> TargetReport:
    return TargetReport(
        target=name,
        reachable=True,
        term=term,
        position=position,
        identity=identity,
    )


def _unreachable(name: str) -> TargetReport:
    return TargetReport(target=name, reachable=False)


@attrs.define(kw_only=True)
class Harness:
    """One control leader, and entry hosts that may be partitioned."""

    now_ns: int = START_NS
    leader: ControlNode = attrs.field(
        factory=lambda: make_leader(START_NS - 5_000 * NS_PER_MS)
    )
    hosts: dict[str, EntryNode] = attrs.field(factory=dict)
    cut: set[str] = attrs.field(factory=set)
    effects: list[Any] = attrs.field(factory=list)

    @classmethod
    def open(cls) -> Harness:
        """Build a harness with an open group in term 1 on db-1a."""
        harness = cls()
        for number in (1, 2, 3):
            harness.hosts[f"h{number}"] = EntryNode(
                host=f"h{number}",
                data_center=f"dc-{number}",
                address="",
                control=["a"],
            )
        harness.send("op", _change(0))
        for name in TARGETS:
            harness.send("h1", _announcement(name))
        harness.elapse(500)
        harness.probe([_report(n, term=0) for n in TARGETS])
        harness.promote()
        harness.elapse(500)
        return harness

    def send(self, source: str, message: Any) -> None:
        """Deliver a message to the leader."""
        found = self.leader.receive(source, message, self.now_ns)
        self.deliver(found)

    def deliver(self, effects: Sequence[Any]) -> None:
        """Deliver messages to the hosts that are not partitioned."""
        for effect in effects:
            if not isinstance(effect, Send):
                self.effects.append(effect)
            elif effect.peer in self.hosts and effect.peer not in self.cut:
                node = self.hosts[effect.peer]
                found = node.receive("a", effect.message, self.now_ns)
                self.answer(effect.peer, found)
            elif effect.peer not in self.hosts:
                self.effects.append(effect)

    def answer(self, host: str, effects: Sequence[Any]) -> None:
        """Deliver the messages of a host to the leader."""
        if host in self.cut:
            return
        for effect in effects:
            self.send(host, effect.message)

    def elapse(self, spent_ms: int) -> None:
        """Advance the time in steps of 50 ms."""
        for _ in range(spent_ms // 50):
            self.now_ns += 50 * NS_PER_MS
            self.deliver(self.leader.tick(self.now_ns))
            for name, node in self.hosts.items():
                self.answer(name, node.tick(self.now_ns))

    def suspect(self, *hosts: str, target: str = TARGETS[0]) -> None:
        """Send suspicions of the primary from hosts."""
        term = self.leader.state.terms[GROUP].term
        for host in hosts:
            suspicion = Suspicion(
                host=host,
                group=GROUP,
                target=target,
                term=term,
                refused=True,
            )
            self.send(host, suspicion)

    def probe(self, reports: list[TargetReport]) -> None:
        """Answer the newest probe of the running change."""
        change = self.leader.primaries.changes[GROUP]
        effects = self.leader.on_probe(
            GROUP, change.attempt, reports, self.now_ns
        )
        self.deliver(effects)

    def promote(self, *, done: bool = True) -> None:
        """Report the result of the ordered promotion."""
        term = self.leader.primaries.changes[GROUP].new_term
        effects = self.leader.on_promoted(
            GROUP, term, PromotionResult(done=done), self.now_ns
        )
        self.deliver(effects)

    def write(self, host: str) -> WriteTicket | Refusal:
        """Begin a write on a host."""
        return self.hosts[host].begin_write(GROUP, self.now_ns)

    def phase(self) -> str:
        """Return the phase of the running change, or an empty text."""
        change = self.leader.primaries.changes.get(GROUP)
        return "" if change is None else str(change.phase)


def _change(base: int, change_id: str = "c1") -> ChangeProposal:
    return ChangeProposal(
        change_id=change_id,
        kind="inventory",
        base_version=base,
        author="op",
        payload=_inventory(),
    )


def _replies(harness: Harness) -> list[ChangeReply]:
    sent = [e.message for e in harness.effects if isinstance(e, Send)]
    return [m for m in sent if isinstance(m, ChangeReply)]


def test_new_group_opens_once_all_instances_are_announced() -> None:
    harness = Harness.open()

    term = harness.leader.state.terms[GROUP]
    assert (term.term, term.is_open) == (1, True)
    assert isinstance(harness.write("h1"), WriteTicket)
    follows = [e for e in harness.effects if isinstance(e, FollowPrimary)]
    assert {f.target for f in follows} == set(TARGETS) - {term.primary}


def test_change_of_primary_proceeds_once_all_hosts_closed_the_term() -> None:
    harness = Harness.open()
    tickets = [harness.write(h) for h in harness.hosts]

    harness.suspect("h1", "h2")

    assert harness.phase() == "probe"
    harness.probe(
        [_unreachable("db-1a"), _report("db-1b", 7), _report("db-1c", 9)]
    )
    orders = [e for e in harness.effects if isinstance(e, PromoteTarget)]
    assert (orders[-1].target, orders[-1].term) == ("db-1c", 2)
    for host, ticket in zip(harness.hosts, tickets, strict=True):
        assert isinstance(ticket, WriteTicket)
        assert not harness.hosts[host].end_write(ticket, harness.now_ns)


def test_change_of_primary_waits_for_lease_of_silent_host() -> None:
    harness = Harness.open()
    ticket = harness.write("h3")
    assert isinstance(ticket, WriteTicket)
    harness.cut.add("h3")

    harness.suspect("h1", "h2")
    assert harness.phase() == "fence"
    while harness.phase() == "fence":
        can_write = harness.hosts["h3"].holds(ticket, harness.now_ns)
        harness.elapse(50)

    assert harness.phase() == "probe"
    assert not harness.hosts["h3"].holds(ticket, harness.now_ns)
    assert (
        can_write is False or harness.now_ns > START_NS + LEASE_MS * NS_PER_MS
    )


@pytest.mark.parametrize(
    ("reporters", "changes"),
    [
        pytest.param(["h1"], False, id="one-host"),
        pytest.param(["h1", "h1"], False, id="one-host-twice"),
        pytest.param(["h1", "h2"], True, id="two-data-centres"),
    ],
)
def test_suspicion_needs_two_data_centers(
    reporters: list[str], *, changes: bool
) -> None:
    harness = Harness.open()

    harness.suspect(*reporters)

    assert bool(harness.phase()) is changes


def test_suspicion_of_one_host_is_confirmed_over_new_connection() -> None:
    harness = Harness.open()
    harness.suspect("h2")
    probe = harness.effects[-1]
    assert isinstance(probe, ProbeGroup)
    assert probe.fresh

    reports = [_unreachable("db-1a"), _report("db-1b"), _report("db-1c")]
    found = harness.leader.on_probe(GROUP, 0, reports, harness.now_ns)
    harness.deliver(found)

    assert harness.phase() == "probe"


def test_suspicion_is_confirmed_again_if_the_result_is_lost() -> None:
    """Guards against an outage that no later report can prove."""
    harness = Harness.open()
    counts = []
    for pause_ms in (0, 0, 600):
        harness.elapse(pause_ms)
        harness.suspect("h2")
        probes = [
            e
            for e in harness.effects
            if isinstance(e, ProbeGroup) and e.attempt == CONFIRM_ATTEMPT
        ]
        counts.append(len(probes))

    assert counts == [1, 1, 2]


def test_suspicion_of_reachable_primary_changes_nothing() -> None:
    harness = Harness.open()
    harness.suspect("h2")

    reports = [_report(n) for n in TARGETS]
    found = harness.leader.on_probe(GROUP, 0, reports, harness.now_ns)

    assert found == []
    assert harness.phase() == ""


def test_suspicion_of_earlier_primary_is_ignored() -> None:
    harness = Harness.open()

    harness.suspect("h1", "h2", target="db-1b")

    assert harness.phase() == ""


def test_change_of_primary_waits_for_enough_instances() -> None:
    harness = Harness.open()
    harness.suspect("h1", "h2")

    harness.probe(
        [_unreachable("db-1a"), _unreachable("db-1b"), _report("db-1c")]
    )

    assert harness.leader.primaries.changes[GROUP].blocked_reason
    harness.elapse(1_000)
    harness.probe(
        [_unreachable("db-1a"), _report("db-1b", 3), _report("db-1c")]
    )
    assert harness.leader.state.terms[GROUP].primary == "db-1b"


def test_failed_promotion_is_retried_under_newer_term() -> None:
    harness = Harness.open()
    harness.suspect("h1", "h2")
    harness.probe([_unreachable("db-1a"), _report("db-1b"), _report("db-1c")])

    harness.promote(done=False)
    harness.probe(
        [_unreachable("db-1a"), _report("db-1b"), _report("db-1c", 5)]
    )

    term = harness.leader.state.terms[GROUP]
    assert (term.primary, term.term) == ("db-1c", 3)


def test_planned_change_lets_running_writes_finish() -> None:
    harness = Harness.open()
    ticket = harness.write("h1")
    assert isinstance(ticket, WriteTicket)

    harness.send("h2", Switchover(group=GROUP, target="db-1b"))

    assert harness.phase() == "fence"
    refusal = harness.write("h1")
    assert isinstance(refusal, Refusal)
    assert refusal.reason is Reason.NO_PRIMARY
    assert harness.hosts["h1"].end_write(
        ticket, harness.now_ns + 20 * NS_PER_MS
    )
    harness.elapse(50)
    assert harness.phase() == "probe"
    harness.probe([_report("db-1a", 9), _report("db-1b", 9), _report("db-1c")])
    assert harness.leader.state.terms[GROUP].primary == "db-1b"


def test_planned_change_waits_until_preferred_has_caught_up() -> None:
    harness = Harness.open()
    harness.send("h2", Switchover(group=GROUP, target="db-1b"))

    harness.probe([_report("db-1a", 9), _report("db-1b", 4), _report("db-1c")])
    assert harness.phase() == "probe"
    harness.probe([_report("db-1a", 9), _report("db-1b", 9), _report("db-1c")])

    assert harness.leader.state.terms[GROUP].primary == "db-1b"


def test_preferred_instance_of_an_earlier_term_is_told_to_follow() -> None:
    """Guards against a planned change that waits until it times out."""
    harness = Harness.open()
    harness.send("h2", Switchover(group=GROUP, target="db-1b"))
    harness.effects.clear()

    harness.probe(
        [_report("db-1a", 9), _report("db-1b", 4, term=0), _report("db-1c")]
    )

    orders = [e for e in harness.effects if isinstance(e, FollowPrimary)]
    assert [(o.target, o.primary) for o in orders] == [("db-1b", "db-1a")]


def test_drain_ends_when_the_lease_expires() -> None:
    harness = Harness.open()
    ticket = harness.write("h1")
    assert isinstance(ticket, WriteTicket)
    harness.send("h2", Switchover(group=GROUP, target="db-1b"))
    harness.cut.add("h1")

    harness.elapse(LEASE_MS + 100)

    assert harness.phase() == "probe"
    assert not harness.hosts["h1"].end_write(ticket, harness.now_ns)


def test_host_that_missed_a_change_acknowledges_no_earlier_write() -> None:
    harness = Harness.open()
    ticket = harness.write("h3")
    assert isinstance(ticket, WriteTicket)
    harness.cut.add("h3")
    harness.suspect("h1", "h2")
    harness.elapse(2 * LEASE_MS)
    harness.probe([_unreachable("db-1a"), _report("db-1b"), _report("db-1c")])
    harness.promote()
    harness.cut.clear()
    harness.elapse(1_000)

    assert isinstance(harness.write("h3"), WriteTicket)
    assert not harness.hosts["h3"].end_write(ticket, harness.now_ns)


def test_lease_renewed_during_change_does_not_cover_closing_term() -> None:
    harness = Harness.open()
    ticket = harness.write("h3")
    assert isinstance(ticket, WriteTicket)
    harness.cut.add("h3")
    harness.suspect("h1", "h2")
    harness.cut.clear()

    harness.elapse(500)

    assert not harness.hosts["h3"].end_write(ticket, harness.now_ns)


def test_host_is_ready_once_its_view_is_current() -> None:
    harness = Harness.open()
    fresh = EntryNode(host="h4", data_center="dc-1", address="", control=["a"])
    harness.hosts["h4"] = fresh
    assert not fresh.ready

    harness.elapse(100)

    assert fresh.ready
    assert fresh.state.index == harness.leader.state.index


def test_lease_covers_nothing_before_the_view_has_caught_up() -> None:
    harness = Harness.open()
    host = harness.hosts["h1"]
    assert isinstance(harness.write("h1"), WriteTicket)

    host.lease.min_index = host.state.index + 1

    assert isinstance(harness.write("h1"), Refusal)


def test_stopping_host_returns_its_lease() -> None:
    harness = Harness.open()
    harness.answer("h3", harness.hosts["h3"].stop())
    harness.cut.add("h3")

    harness.suspect("h1", "h2")

    assert harness.phase() == "probe"


def test_concurrent_document_changes_have_one_winner() -> None:
    harness = Harness.open()
    harness.send("op-1", _change(1, "first"))
    harness.send("op-2", _change(1, "second"))
    harness.send("op-2", _change(1, "second"))

    first, second, again = _replies(harness)[-3:]
    assert (first.accepted, first.version) == (True, 2)
    assert not second.accepted
    assert "first" in second.reason
    assert again == second


def test_resent_change_gets_the_same_reply() -> None:
    harness = Harness.open()
    harness.send("op", _change(0))

    first, again = _replies(harness)[0], _replies(harness)[-1]
    assert first == again
    assert harness.leader.state.inventory_version == 1


def _admit(harness: Harness, *, primary: int, newcomer: int) -> None:
    """Report a new identity and the primary's position."""
    harness.send("h1", _announcement("db-1b", identity="2"))
    reports = [
        _report("db-1a", primary),
        _report("db-1b", newcomer, identity="2"),
        _report("db-1c", primary),
    ]
    found = harness.leader.on_probe(GROUP, -2, reports, harness.now_ns)
    harness.deliver(found)


def test_instance_that_lost_its_disk_is_not_eligible_for_promotion() -> None:
    harness = Harness.open()
    _admit(harness, primary=9, newcomer=0)
    harness.suspect("h1", "h2")

    harness.probe(
        [
            _unreachable("db-1a"),
            _report("db-1b", 0, identity="2"),
            _report("db-1c", 7),
        ]
    )

    assert harness.leader.primaries.changes[GROUP].blocked_reason


def test_instance_that_lost_its_disk_is_eligible_once_caught_up() -> None:
    harness = Harness.open()
    _admit(harness, primary=9, newcomer=0)
    _admit(harness, primary=20, newcomer=8)
    _admit(harness, primary=30, newcomer=9)
    harness.suspect("h1", "h2")

    harness.probe(
        [
            _unreachable("db-1a"),
            _report("db-1b", 31, identity="2"),
            _report("db-1c", 30),
        ]
    )

    assert harness.leader.state.terms[GROUP].primary == "db-1b"


def test_new_group_waits_for_the_identity_of_every_instance() -> None:
    harness = Harness.open()
    probes = [
        e
        for e in harness.effects
        if isinstance(e, ProbeGroup) and e.attempt == 1
    ]
    assert probes[-1].quorum == len(TARGETS)
    identities = harness.leader.state.terms[GROUP].identities
    assert set(identities) == set(TARGETS)


def test_new_group_opens_without_an_unreachable_instance() -> None:
    harness = Harness()
    harness.hosts["h1"] = EntryNode(
        host="h1", data_center="dc-1", address="", control=["a"]
    )
    harness.send("op", _change(0))
    for name in TARGETS:
        harness.send("h1", _announcement(name))
    harness.elapse(500)
    partial = [_report("db-1a"), _report("db-1b"), _unreachable("db-1c")]

    harness.probe(partial)
    assert harness.phase() == "probe"
    harness.elapse(5_000)
    harness.probe(partial)

    assert harness.phase() == "promote"


def test_probe_of_a_change_names_the_eligible_identities() -> None:
    harness = Harness.open()
    harness.suspect("h1", "h2")

    attempt = harness.leader.primaries.changes[GROUP].attempt
    probes = [
        e
        for e in harness.effects
        if isinstance(e, ProbeGroup) and e.attempt == attempt
    ]
    assert probes[-1].quorum == promotion_quorum(len(TARGETS))
    assert probes[-1].identities == dict.fromkeys(TARGETS, "1")


def test_leaving_replica_is_announced_to_every_host() -> None:
    harness = Harness.open()

    harness.send("h1", _announcement("db-1b", leaving=True))

    informed = [h for h, n in harness.hosts.items() if "db-1b" in n.announced]
    assert informed == list(harness.hosts)
    assert harness.phase() == ""


def test_leaving_primary_is_replaced_by_a_planned_change() -> None:
    harness = Harness.open()
    leaving = _announcement("db-1a", role="primary", leaving=True)

    harness.send("h1", leaving)
    harness.probe([_report(n, 4) for n in TARGETS])

    assert harness.leader.state.terms[GROUP].primary == "db-1b"


def test_primary_that_lost_its_disk_is_not_promoted_again() -> None:
    harness = Harness.open()
    harness.effects.clear()

    harness.send("h1", _announcement("db-1a", identity="2"))

    assert harness.phase() == "probe"
    orders = [e for e in harness.effects if isinstance(e, PromoteTarget)]
    assert orders == []


def test_slightly_lagging_host_gets_delta_after_compaction() -> None:
    harness = Harness.open()
    for number in range(1_100):
        harness.send("op", _change(9_999, f"refused-{number}"))
    held = harness.leader.log.held_entries
    harness.effects.clear()

    renewal = LeaseRenewal(
        host="h9",
        data_center="dc-1",
        sent_ns=harness.now_ns,
        applied_index=harness.leader.state.index - 500,
        address="",
    )
    harness.send("h9", renewal)

    assert held < 500
    (view,) = [e.message for e in harness.effects if isinstance(e, Send)][:1]
    assert isinstance(view, ViewDelta)
    # One more: the entry that registers the host itself.
    assert len(view.entries) == 501
    assert view.entries[-1].kind == "holders"


def test_returning_former_primary_is_ordered_to_follow() -> None:
    harness = Harness.open()
    harness.suspect("h1", "h2")
    harness.probe(
        [_unreachable("db-1a"), _report("db-1b", 3), _report("db-1c", 2)]
    )
    harness.promote()
    harness.effects.clear()

    harness.send("h1", _announcement("db-1a", role="primary"))

    (order,) = harness.effects
    assert isinstance(order, FollowPrimary)
    assert (order.target, order.primary, order.start) == ("db-1a", "db-1b", 3)


@pytest.mark.parametrize(
    ("positions", "chosen"),
    [
        pytest.param([(1, 5), (1, 7), (1, 6)], 1, id="newest-position"),
        pytest.param([(1, 99), (2, 3), (2, 4)], 2, id="newest-term-first"),
        pytest.param([None, (1, 5), (1, 4)], 1, id="one-gone"),
        pytest.param([None, None, (1, 9)], None, id="two-gone"),
        pytest.param([None, None, None], None, id="all-gone"),
    ],
)
def test_choose_primary(
    positions: list[tuple[int, int] | None], chosen: int | None
) -> None:
    reports = [
        _unreachable(name)
        if found is None
        else _report(name, found[1], found[0])
        for name, found in zip(TARGETS, positions, strict=True)
    ]

    choice = choose_primary(reports, instances=3, preferred="")

    assert (choice.target if choice else None) == (
        None if chosen is None else TARGETS[chosen]
    )


@pytest.mark.parametrize("instances", range(1, 10))
def test_promotion_quorum_overlaps_every_write_quorum(instances: int) -> None:
    total = write_quorum(instances) + promotion_quorum(instances)

    assert total > instances


class FenceMachine(RuleBasedStateMachine):
    """Writes under leases during changes of primary and partitions."""

    @initialize()
    def start(self) -> None:
        self.harness = Harness.open()
        self.tickets: list[tuple[str, WriteTicket]] = []
        self.opened_ns: dict[int, int] = {1: 0}

    def _record_terms(self) -> None:
        term = self.harness.leader.state.terms[GROUP]
        self.opened_ns.setdefault(term.term, self.harness.now_ns)

    @rule(host=st.sampled_from(["h1", "h2", "h3"]))
    def begin(self, host: str) -> None:
        ticket = self.harness.write(host)
        if isinstance(ticket, WriteTicket):
            self.tickets.append((host, ticket))

    @rule(data=st.data())
    @precondition(lambda self: self.tickets)
    def end(self, data: st.DataObject) -> None:
        numbers = st.integers(0, len(self.tickets) - 1)
        host, ticket = self.tickets.pop(data.draw(numbers))
        if self.harness.hosts[host].end_write(ticket, self.harness.now_ns):
            assert ticket.term + 1 not in self.opened_ns
            newest = self.harness.leader.state.terms[GROUP].term
            assert newest == ticket.term, "acknowledged by a replaced primary"

    @rule(spent_ms=st.sampled_from([50, 200, 450, 1_500]))
    def elapse(self, spent_ms: int) -> None:
        self.harness.elapse(spent_ms)

    @rule(hosts=st.sets(st.sampled_from(["h1", "h2", "h3"])))
    def cut(self, hosts: set[str]) -> None:
        self.harness.cut = hosts

    @rule(planned=st.booleans())
    def change(self, *, planned: bool) -> None:
        primary = self.harness.leader.state.terms[GROUP].primary
        if planned:
            target = next(t for t in TARGETS if t != primary)
            self.harness.send("op", Switchover(group=GROUP, target=target))
        else:
            self.harness.suspect("h1", "h2", target=primary)
            self.harness.suspect("h2", "h3", target=primary)

    @rule()
    def answer_probe(self) -> None:
        if self.harness.phase() == "probe":
            self.harness.probe([_report(n, 5) for n in TARGETS])
        self._record_terms()

    @rule()
    def complete_change(self) -> None:
        for _ in range(40):
            if self.harness.phase() == "":
                return
            self.harness.elapse(50)
            self.answer_probe()
            self.answer_promotion(done=True)

    @rule(done=st.booleans())
    def answer_promotion(self, *, done: bool) -> None:
        if self.harness.phase() == "promote":
            self.harness.promote(done=done)
        self._record_terms()


FenceMachine.TestCase.settings = settings(
    max_examples=120, stateful_step_count=50, deadline=None, derandomize=True
)
TestFenceMachine = FenceMachine.TestCase


@pytest.mark.parametrize("teams", [None, [{"name": "t", "api_keys": ["k"]}]])
def test_hosts_learn_lenders_of_other_data_centers_only_with_teams(
    teams: list[dict[str, Any]] | None,
) -> None:
    harness = Harness.open()
    for number, host in enumerate(harness.hosts.values(), 1):
        host.lending_address = f"h{number}:1"
    harness.elapse(3_000)
    plan: dict[str, Any] = {"version": 1, "groups": [], "routes": []}
    if teams is not None:
        plan["teams"] = teams
    harness.leader.state.routes = RouteTable.of(json.dumps(plan))

    harness.elapse(3_000)

    host = harness.hosts["h1"]
    assert host.neighbours == ("h1:1",)
    others = {"dc-2": ("h2:1",), "dc-3": ("h3:1",)}
    assert host.remote_hosts == ({} if teams is None else others)
