"""Tests of which host lends connections to which target."""

from __future__ import annotations

import collections

import pytest

from rosemarysaddle.decide import LenderRanking
from rosemarysaddle.decide.load._lender_assignment import assign_lenders


def _hosts(count: int) -> list[str]:
    return [f"10.1.0.{number}:7455" for number in range(count)]


def _targets(count: int) -> list[str]:
    return [f"i-{number * 7919:x}" for number in range(count)]


@pytest.mark.parametrize(
    ("hosts", "targets", "most"),
    [(12, 2, 1), (12, 9, 1), (12, 12, 2), (3, 12, 5), (200, 800, 5)],
)
def test_no_host_lends_more_than_its_part(
    hosts: int, targets: int, most: int
) -> None:
    """Guards against hosts that lend two targets beside idle ones.

    On one day two such hosts made half of all callers wait.
    """
    assigned = assign_lenders(_hosts(hosts), _targets(targets))

    assert len(assigned) == targets
    assert max(collections.Counter(assigned.values()).values()) <= most


def test_many_targets_are_left_to_the_hash() -> None:
    """Guards against assignments that take seconds.

    In two years a data centre of 200 hosts lends 96,000 targets.
    """
    assert not assign_lenders(_hosts(200), _targets(96_000))


def test_few_lenders_change_when_a_host_leaves() -> None:
    """Guards against connections that are all opened anew."""
    targets = _targets(12)
    before = assign_lenders(_hosts(12), targets)
    moved = []
    for gone in _hosts(12):
        hosts = [host for host in _hosts(12) if host != gone]
        after = assign_lenders(hosts, targets)
        moved.append(sum(before[t] != after[t] for t in targets))

    assert sum(moved) / len(moved) <= 3


def test_hosts_agree_on_the_lender_and_on_the_next_one() -> None:
    """Guards against two lenders of one target."""
    found = set()
    for own in _hosts(6):
        ranking = LenderRanking(own=own, data_center="d1")
        ranking.replace(_hosts(6), {"d2": ["10.2.0.1:7455"]})
        ranking.set_targets({"d1": _targets(2), "d2": ["i-x"]})
        first = ranking.lender(_targets(2)[0], 0, data_center="d1")
        ranking.mark_unable(first, _targets(2)[0], 0)
        second = ranking.lender(_targets(2)[0], 0, data_center="d1")
        found.add((first, second))

    assert len(found) == 1


def test_next_lender_is_one_that_lends_nothing() -> None:
    """Guards against a second target at the host that stands in."""
    ranking = LenderRanking(own=_hosts(1)[0], data_center="d1")
    ranking.replace(_hosts(4))
    targets = _targets(3)
    ranking.set_targets({"d1": targets})
    lenders = {t: ranking.lender(t, 0, data_center="d1") for t in targets}
    failed = lenders[targets[0]]
    ranking.mark_unable(failed, targets[0], 0)

    stand_in = ranking.lender(targets[0], 0, data_center="d1")

    assert stand_in not in lenders.values()
