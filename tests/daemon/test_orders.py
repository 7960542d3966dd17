from __future__ import annotations

import asyncio
import threading
import time
from typing import TYPE_CHECKING

import attrs
import pytest

from rosemarysaddle.daemon._orders import TargetOrders
from rosemarysaddle.decide import ProbeGroup, eligible_reports
from rosemarysaddle.schema import Instance
from rosemarysaddle.target import FaultKind
from tests.helpers import NS_PER_MS, FakeTarget

if TYPE_CHECKING:
    from rosemarysaddle.decide import TargetReport
    from rosemarysaddle.link import Address
    from rosemarysaddle.target import TargetFault, TargetSession

NAMES = ("a", "b", "c")
# Ends a test whose probe waits for more than it needs.
RETURN_TIMEOUT_S = 10.0


@attrs.define(kw_only=True)
class FakeConnector:
    """Connects to fake targets by name."""

    targets: dict[str, FakeTarget]

    def connect(
        self, name: str, address: Address, *, deadline_ns: int
    ) -> TargetSession | TargetFault:
        """Open a connection to the target of that name."""
        target = self.targets[name]
        return target.connect(name, address, deadline_ns=deadline_ns)


@attrs.define(kw_only=True)
class BlockingConnector(FakeConnector):
    """Connects to some targets only after the probe has returned."""

    blocked: frozenset[str]
    has_returned: threading.Event = attrs.field(factory=threading.Event)

    def connect(
        self, name: str, address: Address, *, deadline_ns: int
    ) -> TargetSession | TargetFault:
        """Open a connection, if blocked once the probe has returned."""
        if name in self.blocked:
            self.has_returned.wait(RETURN_TIMEOUT_S)
        return super().connect(name, address, deadline_ns=deadline_ns)


def _probe(
    targets: dict[str, FakeTarget],
    identities: dict[str, str],
    quorum: int,
    *,
    blocked: frozenset[str] = frozenset(),
) -> list[TargetReport]:
    """Probe the targets; the blocked ones answer after the probe."""
    instances = [
        Instance(name=n, data_center="dc", address="127.0.0.1:1")
        for n in targets
    ]
    probe = ProbeGroup(
        group="g",
        attempt=1,
        deadline_ns=time.monotonic_ns() + 2_000 * NS_PER_MS,
        quorum=quorum,
        identities=identities,
    )
    connector = BlockingConnector(targets=targets, blocked=blocked)
    orders = TargetOrders(connector=connector)

    async def run() -> list[TargetReport]:
        reports = await orders.probe(probe, instances)
        connector.has_returned.set()
        return reports

    return asyncio.run(run())


@pytest.mark.parametrize(
    ("identities", "quorum", "answering"),
    [
        pytest.param({}, 1, {"a"}, id="first-answer"),
        pytest.param({}, 2, {"a", "c"}, id="two-answers"),
        pytest.param(
            {"a": "x", "b": "", "c": ""}, 1, {"a", "b"}, id="one-unknown"
        ),
        pytest.param(
            {"a": "x", "b": "", "c": ""}, 2, {"a", "b", "c"}, id="all-needed"
        ),
    ],
)
def test_probe_returns_with_quorum_of_eligible_reports(
    identities: dict[str, str], quorum: int, answering: set[str]
) -> None:
    targets = {n: FakeTarget(name=n) for n in NAMES}
    blocked = frozenset(NAMES) - answering

    reports = _probe(targets, identities, quorum, blocked=blocked)

    reachable = {r.target for r in reports if r.reachable}
    assert reachable <= answering
    eligible = eligible_reports(reports, identities)
    assert len(eligible) == quorum
    assert {r.target for r in reports} == set(NAMES)


def test_probe_does_not_count_a_target_that_is_gone() -> None:
    targets = {n: FakeTarget(name=n) for n in NAMES}
    targets["a"].faults["connect"] = FaultKind.REFUSED

    reports = _probe(targets, {}, 2)

    assert {r.target: r.reachable for r in reports} == {
        "a": False,
        "b": True,
        "c": True,
    }


def test_probe_reports_all_instances_without_eligible_quorum() -> None:
    targets = {n: FakeTarget(name=n) for n in NAMES}

    reports = _probe(targets, {"a": "x", "b": "x", "c": ""}, quorum=2)

    assert len(reports) == len(NAMES)
    assert all(r.reachable for r in reports)


def test_probe_opens_one_connection_per_target() -> None:
    targets = {n: FakeTarget(name=n) for n in NAMES}
    _probe(targets, {}, quorum=3)

    assert [t.opened for t in targets.values()] == [1, 1, 1]
