"""Tests of what the leader knows after a restart of all hosts."""

from __future__ import annotations

import pytest

from rosemarysaddle.decide._times import NS_PER_MS
from rosemarysaddle.decide.leases._restarted_hosts import RestartedHosts
from rosemarysaddle.schema import LeaseRenewal

NOW_NS = 60_000 * NS_PER_MS
OLD = ["a#1", "b#1", "c#1"]


def _record(
    hosts: RestartedHosts, host: str, *, age_ms: int = 500, tag: int = 0
) -> None:
    renewal = LeaseRenewal(
        host=host,
        data_center="d2" if host.startswith("c") else "d1",
        sent_ns=0,
        applied_index=0,
        address="",
        lending_address=host,
        neighbours_tag=tag,
        started_age_ms=age_ms,
    )
    hosts.record(host, renewal, NOW_NS)


def _restarted(**last: int) -> RestartedHosts:
    hosts = RestartedHosts()
    _record(hosts, "a#2", age_ms=700)
    _record(hosts, "b#2", **last)
    _record(hosts, "c#2")
    return hosts


def test_time_counts_from_the_start_of_the_last_host() -> None:
    """Guards against tokens for a time in which a host counted."""
    hosts = _restarted(age_ms=400)

    since_ns = hosts.uncounted_since_ns("d1", OLD)

    assert since_ns == NOW_NS - 400 * NS_PER_MS


@pytest.mark.parametrize(
    ("hosts", "holders"),
    [
        pytest.param(_restarted(), [*OLD, "x#1"], id="one did not return"),
        pytest.param(_restarted(tag=7), OLD, id="one has had a list"),
        pytest.param(_restarted(age_ms=0), OLD, id="one tells no age"),
        pytest.param(RestartedHosts(), [], id="none has renewed"),
    ],
)
def test_earlier_process_may_be_left(
    hosts: RestartedHosts, holders: list[str]
) -> None:
    """Guards against counting beside a process that still runs."""
    assert hosts.uncounted_since_ns("d1", holders) == 0


def test_host_that_kept_running_elsewhere_does_not_matter() -> None:
    """Guards against empty buckets where one data centre lost power."""
    hosts = _restarted(age_ms=400)
    _record(hosts, "cc#1", age_ms=90_000, tag=5)

    assert hosts.uncounted_since_ns("d1", [*OLD, "cc#1"]) > 0


def test_new_leader_forgets_earlier_renewals() -> None:
    """Guards against a list received from another leader."""
    hosts = _restarted()

    hosts.on_elected()

    assert hosts.uncounted_since_ns("d1", OLD) == 0
