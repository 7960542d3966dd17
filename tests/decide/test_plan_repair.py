"""Hosts that have skipped a plan that others have applied."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any

import pytest

from rosemarysaddle.decide import (
    ClusterState,
    ControlNode,
    DocumentKind,
    EntryNode,
)
from rosemarysaddle.schema import ChangeProposal, ChangeReply
from tests.decide.announced_group import PLAN
from tests.decide.relay_fleet import ENTRY, Fleet
from tests.helpers import VOTERS

if TYPE_CHECKING:
    from collections.abc import Collection

SKIPPED_VERSION = 6
# Patches save space only where the plan is long.
ROUTES = 40
APPLY_MS = 500
# A report, and a repair a second at most.
REPAIR_MS = 3_000


def _plan(version: int) -> str:
    plan = json.loads(PLAN)
    route = plan["routes"][0]
    plan["version"] = version
    plan["routes"] = [
        {**route, "name": f"r{n}", "database": f"d{n}", "timeout_ms": 800}
        for n in range(ROUTES)
    ]
    plan["routes"][0]["timeout_ms"] = 800 + version
    return json.dumps(plan)


def _nodes(fleet: Fleet) -> dict[str, ControlNode | EntryNode]:
    return {**fleet.control, **fleet.entry}


def _propose(fleet: Fleet, version: int) -> None:
    change = ChangeProposal(
        change_id=f"p{version}",
        kind=DocumentKind.ROUTES,
        base_version=version,
        author="op",
        payload=_plan(version),
    )
    fleet.give(fleet.leader(), "op", change)
    fleet.elapse(APPLY_MS)


def _versions(fleet: Fleet) -> dict[str, int]:
    return {n: node.state.routes.version for n, node in _nodes(fleet).items()}


def _skip_on(
    monkeypatch: pytest.MonkeyPatch, fleet: Fleet, hosts: Collection[str]
) -> None:
    """Let hosts skip a version, as if they could not read it."""
    states = {id(_nodes(fleet)[host].state) for host in hosts}
    change_routes = ClusterState._change_routes

    def skip(self: ClusterState, change: ChangeProposal) -> ChangeReply:
        if id(self) in states and change.base_version == SKIPPED_VERSION:
            raise RecursionError
        return change_routes(self, change)

    monkeypatch.setattr(ClusterState, "_change_routes", skip)


def _sources(fleet: Fleet) -> list[Any]:
    nodes = _nodes(fleet).values()
    return [json.loads(node.state.routes.source) for node in nodes]


@pytest.mark.parametrize(
    "hosts",
    [
        pytest.param(VOTERS, id="control-hosts"),
        pytest.param(ENTRY, id="entry-hosts"),
        pytest.param(ENTRY[:1], id="one-entry-host"),
        pytest.param((*VOTERS[:1], *ENTRY[:1]), id="one-of-each"),
    ],
)
@pytest.mark.parametrize("later", [1, 3])
def test_hosts_that_differ_get_the_whole_plan(
    monkeypatch: pytest.MonkeyPatch, hosts: tuple[str, ...], later: int
) -> None:
    """Guards against a host that follows no later plan for good."""
    fleet = Fleet.open()
    _propose(fleet, SKIPPED_VERSION - 1)
    _skip_on(monkeypatch, fleet, hosts)
    _propose(fleet, SKIPPED_VERSION)
    assert len(set(_versions(fleet).values())) == 2

    for number in range(1, later + 1):
        _propose(fleet, SKIPPED_VERSION + number)
    fleet.elapse(REPAIR_MS)

    newest = SKIPPED_VERSION + later
    assert set(_versions(fleet).values()) == {newest}
    assert _sources(fleet) == [json.loads(_plan(newest))] * 6
    assert not any(node.state.lacks_plan for node in _nodes(fleet).values())


def test_leader_that_lacks_a_plan_gets_it_from_another_voter(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a leader with an older plan than was confirmed."""
    fleet = Fleet.open()
    _propose(fleet, SKIPPED_VERSION - 1)
    former = fleet.leader()
    followers = [name for name in VOTERS if name != former]
    _skip_on(monkeypatch, fleet, followers[:1])
    _propose(fleet, SKIPPED_VERSION)
    # The other follower cannot lead: it misses an entry.
    fleet.frozen = {followers[1]}
    _propose(fleet, SKIPPED_VERSION + 1)
    fleet.frozen = {former}
    fleet.elapse(REPAIR_MS)
    leader = fleet.leader()

    fleet.elapse(REPAIR_MS)

    assert leader == followers[0]
    present = [n for n in (*VOTERS, *ENTRY) if n != former]
    versions = _versions(fleet)
    assert {versions[name] for name in present} == {SKIPPED_VERSION + 1}


def test_hosts_that_agree_report_nothing() -> None:
    """Guards against plans that are sent without need."""
    fleet = Fleet.open()
    for version in range(5, 9):
        _propose(fleet, version)
    fleet.elapse(REPAIR_MS)
    leader = fleet.control[fleet.leader()]

    entries = leader.log.entries_after(0) or ()

    assert sum(entry.kind == "change" for entry in entries) == 1 + 4
