"""Groups of the route plan on the control leader."""

from __future__ import annotations

import json
from typing import Any

import attrs
import pytest

from rosemarysaddle.decide import (
    ControlNode,
    DocumentKind,
    ProbeGroup,
    PromoteTarget,
    TargetReport,
)
from rosemarysaddle.schema import Announcement, ChangeProposal, LeaseRenewal
from tests.helpers import NS_PER_MS, make_leader

START_NS = 10_000 * NS_PER_MS
TARGETS = ("t1", "t2", "t3")
PLAN = json.dumps(
    {
        "version": 4,
        "groups": [{"name": "g"}],
        "routes": [
            {
                "name": "r",
                "database": "d",
                "freshness": "primary",
                "timeout_ms": 800,
                "group": "g",
            }
        ],
    }
)


def _announcement(target: str, **changes: Any) -> Announcement:
    number = TARGETS.index(target) + 1
    found = Announcement(
        target=target,
        group="g",
        data_center="dc",
        address=f"127.0.0.{number}:1",
        role="replica",
        term=0,
        position=0,
        leaving=False,
        identity="",
        slots=2,
        incarnation_ms=100,
    )
    return attrs.evolve(found, **changes)


@attrs.define(kw_only=True)
class Harness:
    """One control leader with a route plan."""

    now_ns: int = START_NS
    leader: ControlNode = attrs.field(
        factory=lambda: make_leader(START_NS - 5_000 * NS_PER_MS)
    )
    effects: list[Any] = attrs.field(factory=list)

    @classmethod
    def open(cls) -> Harness:
        """Build a harness with a group whose primary is t1."""
        harness = cls()
        harness.plan(PLAN, version=4)
        for target in TARGETS:
            harness.announce(target)
        harness.elapse(50)
        harness.probe(primary="t1")
        harness.promoted()
        harness.effects.clear()
        return harness

    def plan(self, text: str, *, version: int) -> None:
        """Propose a route plan."""
        change = ChangeProposal(
            change_id=str(self.now_ns),
            kind=DocumentKind.ROUTES,
            base_version=version,
            author="op",
            payload=text,
        )
        self._take(self.leader.receive("op", change, self.now_ns))

    def announce(self, target: str, **changes: Any) -> None:
        """Deliver an announcement of a target."""
        message = _announcement(target, **changes)
        self._take(self.leader.receive("x", message, self.now_ns))

    def renew(self, host: str) -> None:
        """Deliver a lease renewal of an entry host."""
        renewal = LeaseRenewal(
            host=host,
            data_center="dc",
            sent_ns=self.now_ns,
            applied_index=self.leader.state.index,
            address="",
        )
        self._take(self.leader.receive(host, renewal, self.now_ns))

    def elapse(self, spent_ms: int) -> None:
        """Advance the time in ticks of 50 ms."""
        for _ in range(0, spent_ms, 50):
            self.now_ns += 50 * NS_PER_MS
            self._take(self.leader.tick(self.now_ns))

    def probe(self, *, primary: str) -> None:
        """Answer the newest probe of a change."""
        attempt = max(p.attempt for p in self.found(ProbeGroup))
        reports = [
            TargetReport(
                target=t,
                reachable=True,
                role="primary" if t == primary else "replica",
                term=1,
                position=7,
            )
            for t in TARGETS
        ]
        self._take(self.leader.on_probe("g", attempt, reports, self.now_ns))

    def promoted(self) -> None:
        """Confirm the newest order to promote."""
        order = self.found(PromoteTarget)[-1]
        found = self.leader.on_promoted(
            "g", order.term, done=True, now_ns=self.now_ns
        )
        self._take(found)

    def found(self, kind: type) -> list[Any]:
        """List the effects of a class."""
        return [e for e in self.effects if isinstance(e, kind)]

    def _take(self, effects: list[Any]) -> None:
        self.effects.extend(effects)


def test_group_opens_with_its_current_primary() -> None:
    term = Harness.open().leader.state.terms["g"]

    assert (term.primary, term.is_open, term.is_serving) == ("t1", True, True)


def test_group_serves_only_after_its_promotion_is_confirmed() -> None:
    harness = Harness()
    harness.plan(PLAN, version=4)
    harness.announce("t1")
    harness.elapse(50)
    harness.probe(primary="t1")

    term = harness.leader.state.terms["g"]

    assert (term.is_open, term.is_serving) == (True, False)


def test_leaving_primary_is_replaced() -> None:
    harness = Harness.open()
    harness.announce("t1", leaving=True)
    harness.elapse(100)
    harness.probe(primary="t1")

    assert harness.found(PromoteTarget)[-1].target in {"t2", "t3"}


def test_planned_change_waits_for_leases_of_an_earlier_leader() -> None:
    harness = Harness.open()
    harness.leader._context.leases.unlisted_until_ns = (
        harness.now_ns + 900 * NS_PER_MS
    )
    harness.leader.state.lease_holders.add("unheard")
    harness.announce("t1", leaving=True)
    harness.elapse(800)
    was_open = harness.leader.state.terms["g"].is_open

    harness.elapse(200)

    assert was_open
    assert not harness.leader.state.terms["g"].is_open


def test_planned_change_proceeds_once_all_holders_have_renewed() -> None:
    harness = Harness.open()
    harness.leader._context.leases.unlisted_until_ns = (
        harness.now_ns + 9_000 * NS_PER_MS
    )
    harness.leader.state.lease_holders.add("e")
    harness.announce("t1", leaving=True)
    harness.elapse(200)
    was_open = harness.leader.state.terms["g"].is_open

    harness.renew("e")
    harness.elapse(100)

    assert was_open
    assert not harness.leader.state.terms["g"].is_open


@pytest.mark.parametrize(
    ("changes", "recorded"),
    [
        ({"leaving": True}, ("t1", 100, True)),
        ({"incarnation_ms": 200}, ("t1", 200, False)),
        ({"incarnation_ms": 50, "leaving": True}, ("t1", 100, False)),
        ({"group": "unknown", "incarnation_ms": 50}, ("t1", 100, False)),
    ],
    ids=["leaves", "restarted", "late", "unknown-group"],
)
def test_announcement_is_recorded_unless_incarnation_is_earlier(
    changes: dict[str, Any], recorded: tuple[str, int, bool]
) -> None:
    harness = Harness.open()
    harness.announce("t1", **changes)

    record = harness.leader.state.targets.records["t1"]

    assert (
        record.target,
        record.incarnation_ms,
        record.leaving,
    ) == recorded


def test_late_announcement_does_not_bring_back_a_leaving_target() -> None:
    harness = Harness.open()
    harness.announce("t2", leaving=True)
    harness.announce("t2")
    leaving = harness.leader.state.targets.records["t2"].leaving
    harness.announce("t2", gone=True)
    harness.announce("t2")

    assert leaving
    assert "t2" not in harness.leader.state.targets.records


def test_address_passes_to_the_newer_target() -> None:
    harness = Harness.open()
    harness.announce("t3", address="127.0.0.2:1", incarnation_ms=300)
    harness.announce("t2")

    assert set(harness.leader.state.targets.records) == {"t1", "t3"}


def test_older_plan_is_accepted_without_effect() -> None:
    harness = Harness.open()
    older = PLAN.replace('"version": 4', '"version": 3')
    harness.plan(older, version=3)

    assert harness.leader.state.routes.source == PLAN


def test_finished_promotion_is_not_ordered_again() -> None:
    harness = Harness()
    harness.plan(PLAN, version=4)
    for target in TARGETS:
        harness.announce(target)
    harness.elapse(50)
    harness.probe(primary="t1")
    # The entry that ends the change has not been committed yet.
    harness.leader._context.propose = lambda *_: []

    harness.promoted()
    harness.elapse(200)

    assert len(harness.found(PromoteTarget)) == 1
