from __future__ import annotations

import urllib.request
from typing import Any

import pytest
from prometheus_client.parser import text_string_to_metric_families

from rosemarysaddle.connection import Lender
from rosemarysaddle.decide import ControlNode, EntryNode, GroupTerm
from rosemarysaddle.node._host_metrics import (
    control_metrics,
    entry_metrics,
    start_metrics,
)
from rosemarysaddle.schema import Node
from rosemarysaddle.session import Router
from tests.helpers import NS_PER_MS, make_leader

ADDRESS = "127.16.1.4:17790"


def _settings(metrics_address: str) -> Node:
    return Node(
        host="h",
        role="entry",
        data_center="dc",
        region="r",
        ip="127.16.1.4",
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
    return Lender(find_pool=router.own_pool, find_point=router.find_point)


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
    server = start_metrics(
        _settings(ADDRESS),
        lambda: entry_metrics(router.node, router, lender, sessions=2),
    )
    assert server is not None
    try:
        url = f"http://{ADDRESS}/metrics"
        with urllib.request.urlopen(url, timeout=10) as reply:
            yield reply.read().decode()
    finally:
        server.stop()


def test_entry_shows_results_times_and_beliefs(entry_text: str) -> None:
    found = _samples(entry_text)

    prefix = "rosemarysaddle_"
    assert found[f"{prefix}statements_total", "d", "done"] == 1
    assert found[f"{prefix}statements_total", "d", "target-busy"] == 1
    times = f"{prefix}statement_seconds"
    assert found[f"{times}_bucket", "d", "0.05"] == 1
    assert found[f"{times}_bucket", "d", "1.0"] == 2
    assert found[f"{times}_sum", "d"] == pytest.approx(0.73)
    assert found[f"{prefix}group_term", "g"] == 4
    assert found[f"{prefix}sessions",] == 2
    assert found[f"{prefix}lease_left_seconds",] < 0


def test_control_shows_its_part_in_the_log() -> None:
    leader: ControlNode = make_leader(5_000 * NS_PER_MS)

    names = {figure.name for figure in control_metrics(leader)}

    assert {"rosemarysaddle_leads", "rosemarysaddle_log_term"} <= names


def test_start_metrics_shows_none_without_an_address() -> None:
    assert start_metrics(_settings(""), list) is None
