from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

import attrs
import pytest

from rosemarysaddle.daemon._orders import TargetOrders
from rosemarysaddle.decide import ProbeGroup
from rosemarysaddle.schema import Instance
from rosemarysaddle.target import FaultKind
from tests.helpers import NS_PER_MS, FakeTarget

if TYPE_CHECKING:
    from rosemarysaddle.decide import TargetReport
    from rosemarysaddle.link import Address
    from rosemarysaddle.target import TargetFault, TargetSession

NAMES = ("a", "b", "c")


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


def _probe(
    targets: dict[str, FakeTarget], identities: dict[str, str], quorum: int
) -> list[TargetReport]:
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
    orders = TargetOrders(connector=FakeConnector(targets=targets))
    return asyncio.run(orders.probe(probe, instances))


@pytest.mark.parametrize(
    ("gone", "identities", "least"),
    [
        pytest.param((), {}, 2, id="all-count"),
        pytest.param(("a",), {}, 2, id="one-gone"),
        pytest.param((), {"a": "x", "b": "", "c": ""}, 2, id="a-unknown"),
    ],
)
def test_probe_waits_for_quorum_of_eligible_reports(
    gone: tuple[str, ...], identities: dict[str, str], least: int
) -> None:
    targets = {n: FakeTarget(name=n) for n in NAMES}
    for name in gone:
        targets[name].faults["connect"] = FaultKind.REFUSED

    reports = _probe(targets, identities, quorum=2)

    eligible = [
        r
        for r in reports
        if r.reachable
        and (not identities or identities[r.target] == r.identity)
    ]
    assert len(eligible) >= least
    assert {r.target for r in reports} == set(NAMES)


def test_probe_reports_all_instances_without_eligible_quorum() -> None:
    targets = {n: FakeTarget(name=n) for n in NAMES}

    reports = _probe(targets, {"a": "x", "b": "x", "c": ""}, quorum=2)

    assert len(reports) == len(NAMES)
    assert all(r.reachable for r in reports)


def test_probe_opens_one_connection_per_target() -> None:
    targets = {n: FakeTarget(name=n) for n in NAMES}
    _probe(targets, {}, quorum=3)

    assert [t.opened for t in targets.values()] == [1, 1, 1]
