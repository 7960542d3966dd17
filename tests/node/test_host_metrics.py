from __future__ import annotations

import urllib.request
from types import SimpleNamespace
from typing import Any

import pytest
from prometheus_client.parser import text_string_to_metric_families

from rosemarysaddle._contacts import ContactKind
from rosemarysaddle._prometheus import Counter, Gauge, Histogram
from rosemarysaddle.connection import ConnectionPool, Lender
from rosemarysaddle.decide import (
    ControlNode,
    EntryNode,
    GroupTerm,
    LimitSettings,
    QueueStats,
    TeamDirectory,
)
from rosemarysaddle.link import Address
from rosemarysaddle.node._host_metrics import (
    _queue_metrics,
    control_metrics,
    entry_metrics,
    start_metrics,
)
from rosemarysaddle.schema import Node
from rosemarysaddle.session import Router
from tests.helpers import NS_PER_MS, TEST_NETWORK, make_leader

IP = f"{TEST_NETWORK}.1.4"
ADDRESS = f"{IP}:17790"


def _settings(metrics_address: str) -> Node:
    return Node(
        host="h",
        role="entry",
        data_center="dc",
        region="r",
        ip=IP,
        peers_port=17_791,
        seeds=(),
        metrics_address=metrics_address,
    )


def _router() -> Router:
    node = EntryNode(host="h", data_center="dc", address="", control=["c"])
    node.state.terms["g"] = GroupTerm(
        term=4, primary="t", is_open=True, is_serving=True
    )
    return Router(node=node, label="h", new_codec=_never, send=lambda _: None)


def _never(*_: object) -> Any:
    raise AssertionError


def _lender(router: Router) -> Lender:
    return Lender(find_pool=router.own_pool, find_point=router.positions.find)


def _samples(text: str) -> dict[tuple[str, ...], float]:
    return {
        (sample.name, *sample.labels.values()): sample.value
        for family in text_string_to_metric_families(text)
        for sample in family.samples
    }


@pytest.fixture(name="entry_text")
def _entry_text() -> Any:
    router = _router()
    router.statement_stats.record("d", "done", 30 * NS_PER_MS)
    router.statement_stats.record("d", "target-busy", 700 * NS_PER_MS)
    lender = _lender(router)
    router.contacts.record_lost(ContactKind.LENDER, "l", 1)
    server = start_metrics(
        _settings(ADDRESS),
        lambda: entry_metrics(router.node, router, lender, teams=["", ""]),
    )
    assert server is not None
    try:
        url = f"http://{ADDRESS}/metrics"
        with urllib.request.urlopen(url, timeout=10) as reply:
            yield reply.read().decode()
    finally:
        server.stop()


def test_entry_metrics_include_results_latencies_and_state(
    entry_text: str,
) -> None:
    samples = _samples(entry_text)

    prefix = "rosemarysaddle_"
    assert samples[f"{prefix}statements_total", "d", "done"] == 1
    assert samples[f"{prefix}statements_total", "d", "target-busy"] == 1
    times = f"{prefix}statement_seconds"
    assert samples[f"{times}_bucket", "d", "0.05"] == 1
    assert samples[f"{times}_bucket", "d", "1.0"] == 2
    assert samples[f"{times}_sum", "d"] == pytest.approx(0.73)
    assert samples[f"{prefix}group_term", "g"] == 4
    assert samples[f"{prefix}sessions",] == 2
    assert samples[f"{prefix}lease_left_seconds",] < 0
    assert samples[f"{prefix}contacts_lost", "lender"] == 1
    assert samples[f"{prefix}contact_lost_seconds", "lender"] > 0
    assert samples[f"{prefix}contact_losses_total", "lender", "direct"] == 1


def test_queue_metrics_add_up_targets_under_bounded_labels() -> None:
    # Plans choose the priorities, so their number has to be bounded.
    pools = [
        ConnectionPool(
            target=name,
            group="g",
            address=Address.parse(ADDRESS),
            label="h",
            limit=1,
            new_codec=_never,
            on_open_fault=_never,
        )
        for name in ("t", "u")
    ]
    for pool in pools:
        for priority in (1, 7, 8, 300):
            pool.stats.record_refused(priority, "wait")
            pool.stats.record_wait(priority, 30 * NS_PER_MS)

    _, refused, waits = _queue_metrics(pools)

    assert isinstance(refused, Counter)
    assert isinstance(waits, Histogram)
    assert refused.values == {("1", "wait"): 2, ("7", "wait"): 6}
    assert set(waits.values) == {"1", "7"}
    counts, sum_s = waits.values["7"]
    assert counts[-1] == 6
    assert sum_s == pytest.approx(0.18)


def test_team_metrics_have_a_bounded_number_of_labels() -> None:
    """Guards against a time series for each of 10,000 teams."""
    router = _router()
    router.node.state.routes.teams = TeamDirectory()
    teams = ["", *(f"t{n}" for n in range(1_000)), *["big"] * 5]

    found = {
        metric.name: dict(metric.values)
        for metric in entry_metrics(
            router.node, router, _lender(router), teams=teams
        )
        if isinstance(metric, Gauge)
    }

    sessions = found["rosemarysaddle_team_sessions"]
    assert len(sessions) == 9
    assert sessions["big"] == 5
    assert sum(sessions.values()) == 1_005
    assert found["rosemarysaddle_sessions"] == {"": 1_006}
    assert found["rosemarysaddle_teams_connected"] == {"": 1_001}


def test_control_metrics_include_leadership_and_log_term() -> None:
    leader: ControlNode = make_leader(5_000 * NS_PER_MS)

    names = {metric.name for metric in control_metrics(leader)}

    assert {"rosemarysaddle_leads", "rosemarysaddle_log_term"} <= names


def test_start_metrics_returns_none_without_address() -> None:
    assert start_metrics(_settings(""), list) is None


def test_entry_metrics_tell_how_many_requests_opened_a_connection() -> None:
    router = _router()
    counts = SimpleNamespace(
        opened=2,
        opens=3,
        replaced=1,
        takes=9,
        reuses=6,
        pinned=1,
        running=4,
        stats=QueueStats(),
        waiting={},
    )
    pools: Any = {"t": SimpleNamespace(own=counts)}
    router.pools.update(pools)

    metrics = {
        m.name.removeprefix("rosemarysaddle_"): m
        for m in entry_metrics(router.node, router, _lender(router), teams=())
    }

    assert metrics["target_pinned"].values == {"t": 1}
    assert metrics["target_lent_running"].values == {"t": 4}
    assert metrics["target_connection_events"].values == {
        ("t", "opened"): 3,
        ("t", "replaced"): 1,
        ("t", "taken"): 9,
        ("t", "reused"): 6,
    }


def test_metrics_of_limits_name_no_team() -> None:
    # Guards against a label for each of thousands of teams.
    router = _router()
    limits = router.rate_limits
    limits.service.settings = LimitSettings(window_ns=5_000_000_000)
    limits.stats.granted = 3
    limits.stats.waits.record(3 * NS_PER_MS)
    metrics: dict[str, Any] = {
        metric.name.removeprefix("rosemarysaddle_"): metric
        for metric in entry_metrics(
            router.node, router, _lender(router), teams=()
        )
        if "limit_" in metric.name
    }
    assert metrics["limit_operations"].values == {
        ("granted",): 3,
        ("given-back",): 0,
    }
    waits = metrics["limit_wait_seconds"].values["granted"]
    assert waits == ([0, 0, 1, 1, 1, 1, 1, 1], 0.003)
