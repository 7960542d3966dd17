"""Figures of hosts for the metrics address."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from rosemarysaddle._clock import NS_PER_S, clock_ns
from rosemarysaddle._prometheus import Counter, Gauge, Histogram, metrics_app
from rosemarysaddle.link import Address
from rosemarysaddle.session import LATENCY_BOUNDS_MS

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Iterator, Mapping

    from rosemarysaddle._prometheus import Metric
    from rosemarysaddle.connection import Lender
    from rosemarysaddle.decide import ClusterState, ControlNode, EntryNode
    from rosemarysaddle.schema import Node
    from rosemarysaddle.session import Router, StatementStats
    from rosemarysaddle.web import HttpServer

__all__ = ("control_metrics", "entry_metrics", "start_metrics")

METRICS_THREADS: Final = 1
MAX_BODY_BYTES: Final = 4_096
STOP_GRACE_S: Final = 0.05
_METRIC_PREFIX: Final = "rosemarysaddle_"


def start_metrics(
    settings: Node, metrics: Callable[[], Iterable[Metric]]
) -> HttpServer | None:
    """Show a host's figures where the settings say so.

    Call it once :mod:`rosemarysaddle.web` is imported: that takes time.
    """
    if not settings.metrics_address:
        return None
    from rosemarysaddle.web import HttpServer  # noqa: PLC0415

    server = HttpServer(
        address=Address.parse(settings.metrics_address),
        threads=METRICS_THREADS,
        max_body_bytes=MAX_BODY_BYTES,
        stop_timeout_s=STOP_GRACE_S,
    )
    server.tree.graft(metrics_app(metrics), "/metrics")
    server.start()
    return server


def entry_metrics(
    node: EntryNode, router: Router, lender: Lender, *, sessions: int
) -> Iterator[Metric]:
    """List the figures of an entry host."""
    yield from _statement_metrics(router.statement_stats)
    yield _gauge("sessions", "Sessions of callers that are open", sessions)
    left_s = (node.lease.deadline_ns - clock_ns()) / NS_PER_S
    yield _gauge("lease_left_seconds", "Time left of the lease", left_s)
    yield from _state_metrics(node.state)
    yield from _target_metrics(router)
    yield _gauge(
        "loans_held",
        "Connections on loan here",
        router.loan_client.borrowed_count,
    )
    yield _gauge(
        "loans_given", "Connections lent to others", lender.lent_count
    )


def control_metrics(control: ControlNode) -> Iterator[Metric]:
    """List the figures of a control host."""
    now_ns = clock_ns()
    log = control.log
    yield _gauge("leads", "Whether this host leads", control.leads(now_ns))
    yield _gauge("log_term", "Term of the control log", log.term)
    yield _gauge("log_commit_index", "Last committed entry", log.commit_index)
    yield _gauge("log_voters", "Hosts with a vote", len(log.voters))
    leases = len(control.lease_holders(now_ns))
    yield _gauge("leases", "Entry hosts that hold a lease", leases)
    changes = len(control.primaries.changes)
    yield _gauge("changes", "Changes of primary under way", changes)
    yield from _state_metrics(control.state)


def _statement_metrics(statement_stats: StatementStats) -> Iterator[Metric]:
    yield Counter(
        name=f"{_METRIC_PREFIX}statements",
        help_text="Statements by database and what the caller was told",
        labels=("database", "result"),
        values=dict(statement_stats.results),
    )
    found = {
        name: statement_stats.histogram(name)
        for name in statement_stats.databases
    }
    yield Histogram(
        name=f"{_METRIC_PREFIX}statement_seconds",
        help_text="Time from a statement's arrival to its answer",
        label="database",
        bounds_s=tuple(bound / 1_000 for bound in LATENCY_BOUNDS_MS),
        values={k: (c, s / NS_PER_S) for k, (c, s) in found.items()},
    )


def _state_metrics(state: ClusterState) -> Iterator[Metric]:
    yield _gauge("state_index", "Last entry of the log in force", state.index)
    version = state.routes.version
    yield _gauge("plan_version", "Version of the plan in force", version)
    hosts = state.entry_hosts
    yield _gauge("entry_hosts", "Entry hosts on record", hosts)
    terms = {name: term.term for name, term in state.terms.items()}
    yield _labelled_gauge(
        "group_term", "Term of a group's primary", "group", terms
    )
    serving = {n: int(t.is_serving) for n, t in state.terms.items()}
    yield _labelled_gauge(
        "group_serving", "Whether a primary serves", "group", serving
    )


def _target_metrics(router: Router) -> Iterator[Metric]:
    admission_queues = dict(router.admission_queues)
    waiting = {name: turn.waiting for name, turn in admission_queues.items()}
    running = {
        name: turn.window.running for name, turn in admission_queues.items()
    }
    window = {
        name: turn.window.size for name, turn in admission_queues.items()
    }
    pools = dict(router.pools)
    opened = {name: pool.own.opened for name, pool in pools.items()}
    yield _labelled_gauge(
        "target_waiting", "Statements that wait", "target", waiting
    )
    yield _labelled_gauge(
        "target_running", "Statements that run", "target", running
    )
    yield _labelled_gauge(
        "target_window", "Statements that may run", "target", window
    )
    yield _labelled_gauge(
        "target_connections", "Open connections", "target", opened
    )


def _gauge(name: str, help_text: str, value: float) -> Gauge:
    return Gauge(
        name=_METRIC_PREFIX + name, help_text=help_text, values={"": value}
    )


def _labelled_gauge(
    name: str, help_text: str, label: str, values: Mapping[str, float]
) -> Gauge:
    return Gauge(
        name=_METRIC_PREFIX + name,
        help_text=help_text,
        values=values,
        label=label,
    )
