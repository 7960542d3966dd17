"""Explanations of requests as docs/OPERATIONS.md describes them.

The first three tests cover its three cases on the log lines of a host.
"""

from __future__ import annotations

import asyncio
import io
import logging
from typing import TYPE_CHECKING

import pytest

from rosemarysaddle import _events
from rosemarysaddle._logging import LogfmtFormatter
from rosemarysaddle.operate import explain_request, parse_log_lines
from tests.session.standin import StandInTarget, make_router, open_caller

if TYPE_CHECKING:
    from collections.abc import Iterator

PORT = 17_780


@pytest.fixture(name="log")
def _log(monkeypatch: pytest.MonkeyPatch) -> Iterator[io.StringIO]:
    stream = io.StringIO()
    handler = logging.StreamHandler(stream)
    handler.setFormatter(LogfmtFormatter("entry-1"))
    log = logging.getLogger("test")
    log.setLevel(logging.INFO)
    log.addHandler(handler)
    events = _events.EventLog(write=lambda text: log.info("%s", text))
    monkeypatch.setattr(_events, "_LOG", events)
    yield stream
    log.removeHandler(handler)


def _explain(log: io.StringIO) -> str:
    lines = parse_log_lines(log.getvalue().splitlines())
    return "\n".join(explain_request("5c", lines))


def _run_query(
    text: str, *, primary: str, faults: dict[str, list[str]]
) -> None:
    async def run() -> None:
        target = StandInTarget(name="t1", port=PORT, faults=faults)
        router = make_router([target])
        # An empty primary closes the group for writes; "no-lease" ends
        # the lease of the host.
        if not primary:
            router.node.lease.close("g", 1)
        await target.start()
        if primary == "no-lease":
            router.node.lease.deadline_ns = 0
        router.apply_view()
        try:
            caller = await open_caller(router, "own")
            await caller.query(text)
        finally:
            target.stop()
            for pool in router.pools.values():
                pool.close()

    asyncio.run(run())


def test_explain_shows_write_refused_in_change_of_primary(
    log: io.StringIO,
) -> None:
    _run_query("WRITE 1 x", primary="", faults={})

    explanation = _explain(log)

    assert "event=refused id=5c" in explanation
    assert "reason=no-primary" in explanation
    assert "outcome=not-run" in explanation
    assert "term=1 primary=t1" in explanation


def test_explain_shows_request_refused_under_overload(
    log: io.StringIO,
) -> None:
    _run_query("WRITE 1 x", primary="t1", faults={"WRITE": ["BUSY"] * 20})

    explanation = _explain(log)

    assert "reason=target-busy" in explanation
    assert "spent_ms=" in explanation


def test_explain_shows_request_refused_at_partitioned_host(
    log: io.StringIO,
) -> None:
    _run_query("WRITE 1 x", primary="no-lease", faults={})

    explanation = _explain(log)

    assert "reason=no-primary" in explanation
    assert "lease_left_ms=-" in explanation


HOST_LOGS = """\
 20.10 core-1 time=2026-03-15T04:00:00.000Z level=info host=core-1 \
event=control role=leader term=2 leader=core-1
 20.12 core-1 time=2026-03-15T04:00:05.000Z level=info host=core-1 \
event=probed group=g attempt=1 answers=t2
 20.13 core-1 time=2026-03-15T04:00:05.500Z level=info host=core-1 \
event=promoted group=g target=t2 done=True
 20.14 e-1 time=2026-03-15T04:00:04.500Z level=info host=e-1 \
event=target-down target=t1 group=g code=lost
 20.15 e-1 time=2026-03-15T04:00:05.100Z level=info host=e-1 \
event=refused id=5c peer=g reason=no-primary
 20.15 e-1 time=2026-03-15T04:00:05.200Z level=info host=e-1 \
event=refused id=other peer=g reason=no-primary
 20.16 e-1 time=2026-03-15T04:00:05.300Z level=info host=e-1 \
event=target-down target=t9 group=h code=lost
 20.16 e-2 time=2026-03-15T04:01:00.000Z level=info host=e-2 \
event=target-down target=t1 group=g code=lost
a line of another program
"""


def test_explain_includes_lines_of_all_hosts_in_time_order() -> None:
    explanation = explain_request(
        "5c", parse_log_lines(HOST_LOGS.splitlines())
    )

    events = [line.split(" event=")[1].split()[0] for line in explanation]
    assert events == [
        "control",
        "target-down",
        "probed",
        "refused",
        "promoted",
    ]


def test_explain_returns_nothing_for_unknown_request() -> None:
    assert not explain_request(
        "nobody", parse_log_lines(HOST_LOGS.splitlines())
    )


def test_refusal_over_a_limit_is_explained_by_an_older_line() -> None:
    # Guards against a cause that was logged once, long before.
    start = "time=2026-12-04T10:{}:00.000Z level=info host={} event={}"
    texts = [
        start.format("00", "h1", "limit-reached team=t1 cause=limit"),
        start.format("01", "h1", "limit-reached team=t2 cause=limit"),
        start.format("02", "h2", "limit-reached team=t1 cause=limit"),
        start.format("09", "h1", "refused id=5c peer=t1 reason=rate-limited"),
    ]
    found = explain_request("5c", parse_log_lines(texts))
    assert found == [texts[0], texts[3]]
