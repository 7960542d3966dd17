"""Groups whose targets announce themselves, as the leader sees them."""

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
from tests.helpers import MS, make_leader

START_NS = 10_000 * MS
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
class Stage:
    """One control leader with a plan of routes."""

    now_ns: int = START_NS
    leader: ControlNode = attrs.field(
        factory=lambda: make_leader(START_NS - 5_000 * MS)
    )
    effects: list[Any] = attrs.field(factory=list)

    @classmethod
    def open(cls) -> Stage:
        """Build a stage whose group is served by t1."""
        stage = cls()
        stage.plan(PLAN, version=4)
        for target in TARGETS:
            stage.announce(target)
        stage.elapse(50)
        stage.probe(primary="t1")
        stage.promoted()
        stage.effects.clear()
        return stage

    def plan(self, text: str, *, version: int) -> None:
        """Propose a plan of routes."""
        change = ChangeProposal(
            change_id=str(self.now_ns),
            kind=DocumentKind.ROUTES,
            base_version=version,
            author="op",
            payload=text,
        )
        self._take(self.leader.receive("op", change, self.now_ns))

    def announce(self, target: str, **changes: Any) -> None:
        """Let a target announce itself."""
        message = _announcement(target, **changes)
        self._take(self.leader.receive("x", message, self.now_ns))

    def renew(self, host: str) -> None:
        """Let an entry host renew its lease."""
        renewal = LeaseRenewal(
            host=host,
            data_center="dc",
            sent_ns=self.now_ns,
            applied_index=self.leader.state.index,
            address="",
        )
        self._take(self.leader.receive(host, renewal, self.now_ns))

    def elapse(self, spent_ms: int) -> None:
        """Let time pass in ticks."""
        for _ in range(0, spent_ms, 50):
            self.now_ns += 50 * MS
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
        """Answer the newest order to promote."""
        order = self.found(PromoteTarget)[-1]
        found = self.leader.on_promoted(
            "g", order.term, done=True, now_ns=self.now_ns
        )
        self._take(found)

    def found(self, kind: type) -> list[Any]:
        """List the effects of a kind."""
        return [e for e in self.effects if isinstance(e, kind)]

    def _take(self, effects: list[Any]) -> None:
        self.effects.extend(effects)


def test_group_is_opened_with_its_present_primary() -> None:
    term = Stage.open().leader.state.terms["g"]

    assert (term.primary, term.is_open, term.is_serving) == ("t1", True, True)


def test_group_serves_only_once_its_promotion_is_known() -> None:
    stage = Stage()
    stage.plan(PLAN, version=4)
    stage.announce("t1")
    stage.elapse(50)
    stage.probe(primary="t1")

    term = stage.leader.state.terms["g"]

    assert (term.is_open, term.is_serving) == (True, False)


def test_primary_that_leaves_is_replaced() -> None:
    stage = Stage.open()
    stage.announce("t1", leaving=True)
    stage.elapse(100)
    stage.probe(primary="t1")

    assert stage.found(PromoteTarget)[-1].target in {"t2", "t3"}


def test_planned_change_waits_for_leases_of_an_earlier_leader() -> None:
    stage = Stage.open()
    stage.leader._office.leases.blind_until_ns = stage.now_ns + 900 * MS
    stage.leader.state.lease_holders.add("unheard")
    stage.announce("t1", leaving=True)
    stage.elapse(800)
    early = stage.leader.state.terms["g"].is_open

    stage.elapse(200)

    assert early
    assert not stage.leader.state.terms["g"].is_open


def test_planned_change_goes_on_once_all_holders_have_renewed() -> None:
    stage = Stage.open()
    stage.leader._office.leases.blind_until_ns = stage.now_ns + 9_000 * MS
    stage.leader.state.lease_holders.add("e")
    stage.announce("t1", leaving=True)
    stage.elapse(200)
    early = stage.leader.state.terms["g"].is_open

    stage.renew("e")
    stage.elapse(100)

    assert early
    assert not stage.leader.state.terms["g"].is_open


@pytest.mark.parametrize(
    ("changes", "on_record"),
    [
        ({"leaving": True}, ("t1", 100, True)),
        ({"incarnation_ms": 200}, ("t1", 200, False)),
        ({"incarnation_ms": 50, "leaving": True}, ("t1", 100, False)),
        ({"group": "unknown", "incarnation_ms": 50}, ("t1", 100, False)),
    ],
    ids=["leaves", "started-anew", "late-word", "stranger"],
)
def test_announcement_counts_by_incarnation(
    changes: dict[str, Any], on_record: tuple[str, int, bool]
) -> None:
    stage = Stage.open()
    stage.announce("t1", **changes)

    record = stage.leader.state.targets.records["t1"]

    assert (
        record.target,
        record.incarnation_ms,
        record.leaving,
    ) == on_record


def test_target_that_leaves_does_not_come_back_by_a_late_word() -> None:
    stage = Stage.open()
    stage.announce("t2", leaving=True)
    stage.announce("t2")
    leaving = stage.leader.state.targets.records["t2"].leaving
    stage.announce("t2", gone=True)
    stage.announce("t2")

    assert leaving
    assert "t2" not in stage.leader.state.targets.records


def test_newer_target_takes_over_an_address() -> None:
    stage = Stage.open()
    stage.announce("t3", address="127.0.0.2:1", incarnation_ms=300)
    stage.announce("t2")

    assert set(stage.leader.state.targets.records) == {"t1", "t3"}


def test_older_plan_is_acknowledged_and_changes_nothing() -> None:
    stage = Stage.open()
    older = PLAN.replace('"version": 4', '"version": 3')
    stage.plan(older, version=3)

    assert stage.leader.state.routes.source == PLAN


def test_finished_promotion_is_not_ordered_again() -> None:
    stage = Stage()
    stage.plan(PLAN, version=4)
    for target in TARGETS:
        stage.announce(target)
    stage.elapse(50)
    stage.probe(primary="t1")
    # The entry that ends the change is not committed yet.
    stage.leader._office.propose = lambda *_: []

    stage.promoted()
    stage.elapse(200)

    assert len(stage.found(PromoteTarget)) == 1
