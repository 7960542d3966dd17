"""Metrics of entry hosts and control hosts."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING, Final

from rosemarysaddle._clock import NS_PER_S, clock_ns
from rosemarysaddle._contacts import ContactKind
from rosemarysaddle._prometheus import Counter, Gauge, Histogram, metrics_app
from rosemarysaddle.decide import (
    MAX_PRIORITY_LABEL,
    NS_PER_MS,
    QUEUE_WAIT_BOUNDS_MS,
    QueueStats,
)
from rosemarysaddle.link import Address
from rosemarysaddle.session import (
    LATENCY_BOUNDS_MS,
    STAGE_BOUNDS_MS,
    WAIT_BOUNDS_MS,
    WORK_AGE_BOUNDS_MS,
    Stage,
)

if TYPE_CHECKING:
    import socket
    from collections.abc import (
        Callable,
        Iterable,
        Iterator,
        Mapping,
        Sequence,
    )

    from rosemarysaddle._contacts import ContactLog
    from rosemarysaddle._durations import DurationHistogram
    from rosemarysaddle._prometheus import Metric
    from rosemarysaddle.connection import ConnectionPool, Lender
    from rosemarysaddle.decide import ClusterState, ControlNode, EntryNode
    from rosemarysaddle.node._log_disk import LogDisk
    from rosemarysaddle.node._start_timeline import StartTimeline
    from rosemarysaddle.schema import Node
    from rosemarysaddle.session import (
        RateLimits,
        Router,
        StageStats,
        StatementStats,
    )
    from rosemarysaddle.web import HttpServer

__all__ = (
    "control_metrics",
    "entry_metrics",
    "start_metrics",
    "timeline_metric",
)

METRICS_THREADS: Final = 1
MAX_BODY_BYTES: Final = 4_096
STOP_GRACE_S: Final = 0.05
_PREFIX: Final = "rosemarysaddle_"
# A label for each of 10,000 teams on each host would be too many.
MAX_TEAM_LABELS: Final = 8
# Not a possible name: a team's name has no space.
OTHER_TEAMS: Final = "all others"


def start_metrics(
    settings: Node,
    metrics: Callable[[], Iterable[Metric]],
    listener: socket.socket | None = None,
) -> HttpServer | None:
    """Serve the metrics of a host if the settings name an address.

    The import of :mod:`rosemarysaddle.web` takes time; call it in a
    thread.

    :param listener: socket that listens on the address, if there is one
        already
    :return: the server, or None without an address
    """
    if not settings.metrics_address:
        return None
    from rosemarysaddle.web import HttpServer  # noqa: PLC0415

    server = HttpServer(
        address=Address.parse(settings.metrics_address),
        threads=METRICS_THREADS,
        max_body_bytes=MAX_BODY_BYTES,
        stop_timeout_s=STOP_GRACE_S,
        listener=listener,
    )
    server.tree.graft(metrics_app(metrics), "/metrics")
    server.start()
    return server


def entry_metrics(
    node: EntryNode,
    router: Router,
    lender: Lender,
    *,
    teams: Sequence[str],
    relayed_hosts: int = 0,
) -> Iterator[Metric]:
    """Collect the metrics of an entry host.

    :param teams: team of each open session, empty for those without one
    :param relayed_hosts: number of hosts for which this host relays
    """
    yield from _statement_metrics(router.statement_stats)
    yield from _stage_metrics(router.stage_stats)
    yield _gauge("sessions", "Caller sessions that are open", len(teams))
    if node.state.routes.teams is not None:
        yield from _team_metrics(node, router, teams)
    left_s = (node.lease.deadline_ns - clock_ns()) / NS_PER_S
    yield _gauge("lease_left_seconds", "Time left on the lease", left_s)
    yield from _state_metrics(node.state)
    yield from _target_metrics(router)
    yield _durations(
        "leaving_target_work_age_seconds",
        "Time since the announced stop of a target at each start of work"
        " there",
        "role",
        WORK_AGE_BOUNDS_MS,
        {str(role): ages for role, ages in router.leaving.work_ages.items()},
    )
    if router.rate_limits.is_enabled:
        yield from _limit_metrics(router.rate_limits)
    yield _gauge(
        "loans_held",
        "Connections on loan from others",
        router.loan_client.borrowed_count,
    )
    yield _gauge(
        "loans_given", "Connections lent to others", lender.lent_count
    )
    yield _gauge(
        "lease_relayed",
        "Whether a neighbour relays the renewals",
        bool(node.relay.current),
    )
    yield _gauge(
        "relayed_hosts",
        "Neighbours for which this host relays",
        relayed_hosts,
    )
    yield from _contact_metrics(router.contacts)


def _contact_metrics(contacts: ContactLog) -> Iterator[Metric]:
    now_ns = clock_ns()
    yield _labelled_gauge(
        "contacts_lost",
        "Peers that this host has lost now, by role",
        "kind",
        {kind: contacts.count_lost(kind) for kind in ContactKind},
    )
    yield _labelled_gauge(
        "contact_lost_seconds",
        "Time since the first of them was lost",
        "kind",
        {kind: contacts.longest_lost_s(kind, now_ns) for kind in ContactKind},
    )
    yield Counter(
        name=f"{_PREFIX}contact_losses",
        help_text="Times that a peer of a role was lost, by the link to it",
        labels=("kind", "link"),
        values=dict(contacts.losses),
    )
    yield Counter(
        name=f"{_PREFIX}contact_outage_ms",
        help_text="Time for which regained peers had been lost",
        labels=("kind", "link"),
        values={
            key: lost_ns // NS_PER_MS
            for key, lost_ns in contacts.lost_ns.items()
        },
    )


def control_metrics(control: ControlNode) -> Iterator[Metric]:
    """Collect the metrics of a control host."""
    now_ns = clock_ns()
    log = control.log
    yield _gauge("leads", "Whether this host leads", control.leads(now_ns))
    yield _gauge("log_term", "Term of the control log", log.term)
    yield _gauge("log_commit_index", "Last committed entry", log.commit_index)
    yield _gauge("log_voters", "Hosts with a vote", len(log.voters))
    yield from _follower_metrics(control, now_ns)
    leases = len(control.lease_holders(now_ns))
    yield _gauge("leases", "Entry hosts that hold a lease", leases)
    changes = len(control.primaries.changes)
    yield _gauge("changes", "Changes of primary in progress", changes)
    yield _gauge(
        "changes_waiting",
        "Changes of primary that find no target to promote",
        sum(
            bool(c.blocked_reason) for c in control.primaries.changes.values()
        ),
    )
    yield _gauge(
        "former_members",
        "Targets that have left or restarted and may hold writes that no"
        " other one of their group is known to hold",
        control.state.former_members.count,
    )
    yield _gauge(
        "promotions_in_doubt",
        "Orders to promote that may yet take effect",
        control.primaries.orders.count,
    )
    yield from _state_metrics(control.state)


def disk_metric(disk: LogDisk) -> Metric:
    """Return whether a control host's disk fails."""
    return _gauge(
        "disk_failed",
        "Whether the last write of the control log failed",
        disk.has_failed,
    )


def timeline_metric(timeline: StartTimeline) -> Metric:
    """Return when this host reached each step of its start."""
    steps_s = dict(timeline.steps_s)
    return _labelled_gauge(
        "start_step_seconds",
        "Time from the start of the process to a step of its start",
        "step",
        {str(step): spent_s for step, spent_s in steps_s.items()},
    )


def _follower_metrics(control: ControlNode, now_ns: int) -> Iterator[Metric]:
    statuses = control.log.follower_statuses()
    if not control.leads(now_ns):
        return
    yield _gauge(
        "log_spare_voters",
        "Voters in step that may be lost before the quorum is",
        control.log.spare_voters(now_ns),
    )
    yield _labelled_gauge(
        "log_lag",
        "Entries that a follower is not known to hold",
        "peer",
        {s.peer: s.lag for s in statuses},
    )
    yield _labelled_gauge(
        "log_rejections",
        "Appends that a follower rejected since the election",
        "peer",
        {s.peer: s.rejections for s in statuses},
    )


def _statement_metrics(stats: StatementStats) -> Iterator[Metric]:
    yield Counter(
        name=f"{_PREFIX}statements",
        help_text="Statements by database and the result told to the caller",
        labels=("database", "result"),
        values=dict(stats.results),
    )
    yield _durations(
        "statement_seconds",
        "Time from a statement's arrival to its answer",
        "database",
        LATENCY_BOUNDS_MS,
        stats.latencies,
    )


def _stage_metrics(stats: StageStats) -> Iterator[Metric]:
    found = list(stats.histograms.items())
    for stage in Stage:
        yield _durations(
            f"stage_{stage}_seconds",
            "Time of statements in this stage, by class",
            "class",
            STAGE_BOUNDS_MS,
            {
                label: histogram
                for (label, of_stage), histogram in found
                if of_stage is stage
            },
        )


def _team_metrics(
    node: EntryNode, router: Router, teams: Sequence[str]
) -> Iterator[Metric]:
    counts = collections.Counter(filter(None, teams))
    largest = dict(counts.most_common(MAX_TEAM_LABELS))
    others = counts.total() - sum(largest.values())
    yield _labelled_gauge(
        "team_sessions",
        "Sessions of the teams with most of them, and of all others",
        "team",
        {**largest, OTHER_TEAMS: others},
    )
    yield _gauge("teams_connected", "Teams with a session", len(counts))
    yield _gauge(
        "unknown_keys",
        "Sessions refused for an unknown key since the start",
        router.unknown_keys.total,
    )
    age_s = (clock_ns() - node.view_confirmed_ns) / NS_PER_S
    yield _gauge(
        "plan_age_seconds", "Time since the plan was known current", age_s
    )


def _state_metrics(state: ClusterState) -> Iterator[Metric]:
    yield _gauge("state_index", "Index of last applied log entry", state.index)
    version = state.routes.version
    yield _gauge("plan_version", "Version of the route plan in use", version)
    yield _gauge(
        "plan_missing",
        "Whether other hosts hold a newer plan, as a patch did not fit",
        state.lacks_plan,
    )
    hosts = state.entry_hosts
    yield _gauge("entry_hosts", "Registered entry hosts", hosts)
    terms = {name: term.term for name, term in state.terms.items()}
    yield _labelled_gauge(
        "group_term", "Term of a group's primary", "group", terms
    )
    serving = {n: int(t.is_serving) for n, t in state.terms.items()}
    yield _labelled_gauge(
        "group_serving", "Whether its primary serves", "group", serving
    )
    yield _gauge(
        "leaving_primaries",
        "Open groups whose primary has announced its planned stop",
        len(state.leaving_primaries()),
    )


def _target_metrics(router: Router) -> Iterator[Metric]:
    queues = dict(router.admission_queues)
    waiting = {name: queue.waiting for name, queue in queues.items()}
    running = {name: queue.window.running for name, queue in queues.items()}
    window = {name: queue.window.size for name, queue in queues.items()}
    pools = dict(router.pools)
    opened = {name: pool.own.opened for name, pool in pools.items()}
    yield _labelled_gauge(
        "target_waiting", "Statements that wait", "target", waiting
    )
    yield _labelled_gauge(
        "target_outlier",
        "Level to which reads avoid a target: 1 fewer reads, 2 only probes",
        "target",
        router.outliers.avoided,
    )
    yield Counter(
        name=f"{_PREFIX}target_outlier_changes",
        help_text="Changes of the level to which reads avoid a target",
        labels=("level",),
        values={
            (level.name.lower(),): count
            for level, count in dict(router.outliers.changes).items()
        },
    )
    yield Counter(
        name=f"{_PREFIX}target_outlier_probes",
        help_text="Reads that were sent to a target that others avoid",
        labels=("target",),
        values={
            (target,): count
            for target, count in dict(router.outliers.probes).items()
        },
    )
    yield _labelled_gauge(
        "target_running", "Statements that run", "target", running
    )
    yield _labelled_gauge(
        "target_window", "Statements that may run at once", "target", window
    )
    yield _labelled_gauge(
        "target_connections", "Open connections", "target", opened
    )
    yield _labelled_gauge(
        "target_pinned",
        "Connections that transactions of any host keep, at their lender",
        "target",
        {name: pool.own.pinned for name, pool in pools.items()},
    )
    yield _labelled_gauge(
        "target_lent_running",
        "Statements that run over this host's connections",
        "target",
        {name: pool.own.running for name, pool in pools.items()},
    )
    now_ns = clock_ns()
    yield _labelled_gauge(
        "target_behind",
        "Whether it lately lacked the position that reads need",
        "target",
        {n: int(t.is_behind(now_ns)) for n, t in dict(router.targets).items()},
    )
    events: dict[tuple[str, str], int] = {}
    for name, pool in pools.items():
        if not pool.own.opens:
            # Most hosts lend connections to few of many targets.
            continue
        events[name, "opened"] = pool.own.opens
        events[name, "replaced"] = pool.own.replaced
        events[name, "taken"] = pool.own.takes
        events[name, "reused"] = pool.own.reuses
    yield Counter(
        name=f"{_PREFIX}target_connection_events",
        help_text="Connections opened, closed for another team, taken by"
        " requests, and taken while open already",
        labels=("target", "event"),
        values=events,
    )
    yield from _queue_metrics([pool.own for pool in pools.values()])


def _queue_metrics(pools: Iterable[ConnectionPool]) -> Iterator[Metric]:
    """Collect the metrics of the queues at this host, as a lender."""
    waiting: collections.Counter[str] = collections.Counter()
    refused: collections.Counter[tuple[str, str]] = collections.Counter()
    waits = QueueStats()
    for pool in pools:
        waits.add(pool.stats)
        for priority, count in pool.waiting.items():
            waiting[str(min(priority, MAX_PRIORITY_LABEL))] += count
    for (priority, reason), count in waits.refused.items():
        refused[str(priority), reason] += count
    yield _labelled_gauge(
        "queue_waiting",
        "Requests that wait for a connection",
        "priority",
        waiting,
    )
    yield Counter(
        name=f"{_PREFIX}queue_refused",
        help_text="Requests without a connection: refused at once because"
        " of the expected wait, or at the deadline",
        labels=("priority", "reason"),
        values=refused,
    )
    yield _durations(
        "queue_wait_seconds",
        "Time for which requests waited for a connection",
        "priority",
        QUEUE_WAIT_BOUNDS_MS,
        {str(priority): waits.waits[priority] for priority in waits.waits},
    )


def _limit_metrics(limits: RateLimits) -> Iterator[Metric]:
    # Labels never name a team: there may be 10,000 of them.
    stats = limits.stats
    for name, help_text, label, values in (
        (
            "limit_operations",
            "Operations that needed a token, by result",
            "result",
            {
                "granted": stats.granted,
                "given-back": stats.given_back,
                **stats.refused,
            },
        ),
        (
            "limit_transferred",
            "Tokens received from and given to other data centres",
            "direction",
            dict(stats.transferred),
        ),
        (
            "limit_requests",
            "Requests for tokens",
            "direction",
            {
                "sent": limits.links.requests,
                "answered": stats.answered,
                # In place of the first host of the ranking.
                "takeover": limits.counter.takeovers,
            },
        ),
    ):
        yield Counter(
            name=_PREFIX + name,
            help_text=help_text,
            labels=(label,),
            values={(key,): value for key, value in values.items()},
        )
    yield _durations(
        "limit_wait_seconds",
        "Time that admitted operations waited for a token",
        "result",
        WAIT_BOUNDS_MS,
        {"granted": stats.waits},
    )
    yield _gauge(
        "limit_refused_teams", "Teams refused here now", limits.refused_teams
    )
    yield _gauge("limit_links", "Links for requests", limits.links.open_count)
    yield _gauge(
        "limit_lost_hosts",
        "Counting hosts that do not answer",
        limits.links.lost_hosts,
    )


def _gauge(name: str, help_text: str, value: float) -> Gauge:
    return Gauge(name=_PREFIX + name, help_text=help_text, values={"": value})


def _durations(
    name: str,
    help_text: str,
    label: str,
    bounds_ms: Sequence[int],
    histograms: Mapping[str, DurationHistogram],
) -> Histogram:
    return Histogram(
        name=_PREFIX + name,
        help_text=help_text,
        label=label,
        bounds_s=tuple(bound / 1_000 for bound in bounds_ms),
        values={
            value: (histogram.cumulative(), histogram.sum_ns / NS_PER_S)
            for value, histogram in list(histograms.items())
        },
    )


def _labelled_gauge(
    name: str, help_text: str, label: str, values: Mapping[str, float]
) -> Gauge:
    return Gauge(
        name=_PREFIX + name,
        help_text=help_text,
        values=values,
        label=label,
    )
