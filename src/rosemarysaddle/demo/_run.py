"""Runs a demonstration: workload, faults, checks and report."""

from __future__ import annotations

import collections
import json
import statistics
import sys
import tempfile
import threading
import time
from pathlib import Path
from typing import TYPE_CHECKING, Any, Final

import attrs

from rosemarysaddle.demo._checker import Checker
from rosemarysaddle.demo._clients import CallerSession
from rosemarysaddle.demo._cluster import CREDENTIAL, Cluster
from rosemarysaddle.demo._deployments import CallKind
from rosemarysaddle.demo._probe import GapProbe
from rosemarysaddle.demo._recorder import CallRecorder

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from rosemarysaddle.demo._deployments import Deployment
    from rosemarysaddle.demo._recorder import CallRecord
    from rosemarysaddle.standin import LogRecord

__all__ = ("DemoReport", "WorkloadRun", "run_demo", "wait_until")

CALLER_COUNT: Final = 12
THINK_TIME_S: Final = 0.3
START_TIMEOUT_S: Final = 20.0
CONVERGENCE_TIMEOUT_S: Final = 10.0
POLL_INTERVAL_S: Final = 0.02
PHASE_DURATION_S: Final = 3.0
REPAIR_PAUSE_S: Final = 2.0
RULE_NAMES: Final = (
    "lost",
    "doubled",
    "mixed",
    "replaced-primary",
    "falsely-refused",
    "read-your-writes",
    "stale",
    "wrong-answer",
    "configuration",
    "cut-request",
)


@attrs.define(kw_only=True)
class DemoReport:
    """Result of a demonstration.

    :param outcomes: number of calls by request class and outcome
    :param replica_share: share of reads that replicas served, by
        request class
    :param gaps_ms: failover gap by fault, with minimum, median and
        maximum
    :param in_force_ms: time until a change of the rules was in force
        on every host
    :param violation_counts: number of violations by rule
    """

    deployment: str
    seed: int
    outcomes: dict[str, dict[str, int]]
    replica_share: dict[str, float]
    gaps_ms: dict[str, float]
    in_force_ms: float
    violations: list[dict[str, str]]
    violation_counts: dict[str, int]
    seconds: float

    def to_json(self) -> str:
        """Render as JSON."""
        return json.dumps(attrs.asdict(self), indent=2)

    def to_text(self) -> str:
        """Render as a short table."""
        lines = [f"deployment {self.deployment}, seed {self.seed}", ""]
        lines.append("requests by outcome")
        for name, counts in self.outcomes.items():
            text = ", ".join(f"{k} {v}" for k, v in sorted(counts.items()))
            lines.append(f"  {name:<24}{text}")
        lines.append("share of reads served by replicas")
        for name, share in self.replica_share.items():
            lines.append(f"  {name:<24}{share:.1%}")
        lines.append("failover gap, ms")
        for name, gap_ms in self.gaps_ms.items():
            lines.append(f"  {name:<24}{gap_ms:.0f}")
        lines.append(f"rule change in force after {self.in_force_ms:.0f} ms")
        lines.append("violations")
        for name, count in self.violation_counts.items():
            lines.append(f"  {name:<24}{count}")
        lines.append(f"took {self.seconds:.1f} s")
        return "\n".join(lines)


def run_demo(deployment: Deployment, *, seed: int) -> DemoReport:
    """Run a deployment under faults and check the result.

    :param seed: seed of the hosts' and callers' random choices
    """
    with tempfile.TemporaryDirectory(
        prefix="rosemarysaddle-", ignore_cleanup_errors=True
    ) as folder:
        cluster = Cluster(
            deployment=deployment, folder=Path(folder), seed=seed
        )
        workload = WorkloadRun(cluster=cluster, seed=seed)
        try:
            return workload.run()
        finally:
            cluster.stop()


@attrs.define(kw_only=True, eq=False)
class WorkloadRun:
    """A cluster under a workload, with the callers' records.

    :param own_violations: violations that the run itself detected, in
        addition to the checker's
    :param started_s: start of the run, in monotonic seconds
    """

    cluster: Cluster
    seed: int
    recorder: CallRecorder = attrs.field(factory=CallRecorder)
    gaps_ms: dict[str, float] = attrs.field(factory=dict)
    in_force_ms: float = 0.0
    own_violations: list[dict[str, str]] = attrs.field(factory=list)
    started_s: float = attrs.field(factory=time.monotonic)

    def run(self) -> DemoReport:
        """Run all phases and build the report."""
        self._show_progress("start")
        self.cluster.start()
        self.configure()
        stop = threading.Event()
        threads = self.start_callers(stop)
        time.sleep(PHASE_DURATION_S)
        self._crash_primary()
        self._cut_center()
        self._change_rules()
        self._switch_over()
        self._stop_host()
        time.sleep(PHASE_DURATION_S / 2)
        stop.set()
        for thread in threads:
            thread.join()
        self._show_progress("check")
        self._wait_for_convergence()
        return self._build_report()

    def configure(self) -> None:
        """Submit inventory and rules, and wait for all primaries."""
        cluster = self.cluster
        wait_until(lambda: bool(cluster.leader()), START_TIMEOUT_S)
        self._submit_document("inventory", 0, cluster.inventory())
        self._submit_document("rules", 0, cluster.rules())
        wait_until(self._has_all_primaries, START_TIMEOUT_S)

    def _submit_document(self, kind: str, version: int, document: Any) -> None:
        change = {
            "change_id": f"demo-{kind}-{version + 1}",
            "base_version": version,
            "document": document,
        }
        path = f"/admin/documents/{kind}"
        status, answer = self.cluster.request("POST", path, change)
        if status != 200:  # noqa: PLR2004
            self._add_violation("configuration", f"{kind} refused: {answer}")

    def _has_all_primaries(self) -> bool:
        for group in self.cluster.deployment.groups:
            if self.cluster.primary_of(group) is None:
                return False
        return True

    def start_callers(self, stop: threading.Event) -> list[threading.Thread]:
        """Start the callers, each in its own thread."""
        deployment = self.cluster.deployment
        threads = []
        for number in range(CALLER_COUNT):
            site = deployment.sites[number % len(deployment.sites)]
            session = CallerSession(
                name=f"s{number}",
                home_center=site.data_center,
                deployment=deployment,
                credential=CREDENTIAL,
                balancer=self.cluster.balancer,
                recorder=self.recorder,
                seed=self.seed,
                think_time_s=THINK_TIME_S,
            )
            thread = threading.Thread(
                target=session.run, args=(stop,), daemon=True
            )
            thread.start()
            threads.append(thread)
        return threads

    def _crash_primary(self) -> None:
        self._show_progress("primary crash")
        group = self.cluster.deployment.groups[0]
        primary = self.cluster.primary_of(group)
        if primary is None:
            return
        target = self.cluster.targets[primary.name]
        probe = self._probe(group, "crash", primary.data_center)
        self.cluster.target_loop.run(target.crash())
        probe.wait()
        time.sleep(PHASE_DURATION_S / 2)
        self.cluster.target_loop.run(target.restart())
        time.sleep(REPAIR_PAUSE_S)

    def _cut_center(self) -> None:
        self._show_progress("data centre cut off")
        group = self.cluster.deployment.groups[1]
        primary = self.cluster.primary_of(group)
        if primary is None:
            return
        probe = self._probe(group, "cut", primary.data_center)
        cut = frozenset({primary.data_center})
        self.cluster.network_conditions.cut_centers = cut
        probe.wait()
        time.sleep(PHASE_DURATION_S)
        self.cluster.network_conditions.cut_centers = frozenset()
        time.sleep(REPAIR_PAUSE_S)

    def _probe(self, group: str, name: str, avoid: str) -> GapProbe:
        homes = [
            s.data_center
            for s in self.cluster.deployment.sites
            if s.data_center != avoid
        ]
        probe = GapProbe.for_group(
            self.cluster,
            group=group,
            name=name,
            home_center=homes[0],
            seed=self.seed,
            recorder=self.recorder,
        )
        probe.start(on_gap=lambda ms: self.gaps_ms.update({name: ms}))
        return probe

    def _change_rules(self) -> None:
        self._show_progress("rule change")
        status, current = self.cluster.request("GET", "/admin/documents/rules")
        if status != 200:  # noqa: PLR2004
            self._add_violation("configuration", str(current))
            return
        version = int(current["version"])
        document = current["document"]
        for item in document["classes"]:
            if item["stale_ms"]:
                item["stale_ms"] += 500
        self._submit_document("rules", version, document)
        start_s = time.monotonic()
        in_force = wait_until(
            lambda: self._is_in_force(version + 1), CONVERGENCE_TIMEOUT_S
        )
        self.in_force_ms = (time.monotonic() - start_s) * 1_000
        if not in_force:
            self._add_violation(
                "configuration", "rule change not in force on every host"
            )

    def _is_in_force(self, version: int) -> bool:
        return all(
            s.daemon.shared_node.node.state.rules_version >= version
            for s in self.cluster.servers.values()
        )

    def _switch_over(self) -> None:
        self._show_progress("planned change of primary")
        group = self.cluster.deployment.groups[2]
        primary = self.cluster.primary_of(group)
        if primary is None:
            return
        others = [
            i.name
            for i in self.cluster.instances.values()
            if i.group == group and i.name != primary.name
        ]
        probe = self._probe(group, "planned", primary.data_center)
        self.cluster.request(
            "POST",
            f"/admin/switchover?group={group}&target={others[0]}",
            {},
        )
        probe.wait()
        time.sleep(PHASE_DURATION_S / 2)

    def _stop_host(self) -> None:
        self._show_progress("planned restart of an entry host")
        name = next(
            n
            for n, s in self.cluster.servers.items()
            if s.daemon.control is None
        )
        self.cluster.balancer.out_of_service = frozenset({name})
        lost_before = self._count_lost_requests()
        self.cluster.host_loop.run(self.cluster.servers[name].stop())
        time.sleep(PHASE_DURATION_S / 2)
        lost_count = self._count_lost_requests() - lost_before
        if lost_count:
            self._add_violation(
                "cut-request", f"{lost_count} requests lost at {name}"
            )
        self.cluster.restart_host(name)
        self.cluster.balancer.out_of_service = frozenset()

    def _count_lost_requests(self) -> int:
        return sum(r.outcome == "lost" for r in self.recorder.records)

    def _wait_for_convergence(self) -> None:
        wait_until(self.is_converged, CONVERGENCE_TIMEOUT_S)

    def is_converged(self) -> bool:
        """Return whether each group's instances have the same log."""
        for group in self.cluster.deployment.groups:
            members = [
                i for i in self.cluster.instances.values() if i.group == group
            ]
            if len({(i.log_term, i.position) for i in members}) > 1:
                return False
        return True

    def _build_report(self) -> DemoReport:
        records = self.recorder.records
        checked = Checker(logs=self.surviving_logs()).check(records)
        violations = self.own_violations + [attrs.asdict(v) for v in checked]
        counts = dict.fromkeys(RULE_NAMES, 0)
        for violation in violations:
            counts[violation["rule"]] += 1
        return DemoReport(
            deployment=self.cluster.deployment.name,
            seed=self.seed,
            outcomes=_count_outcomes(records),
            replica_share=_compute_replica_share(records),
            gaps_ms=_with_summary(self.gaps_ms),
            in_force_ms=self.in_force_ms,
            violations=violations,
            violation_counts=counts,
            seconds=time.monotonic() - self.started_s,
        )

    def surviving_logs(self) -> dict[str, list[LogRecord]]:
        """Return the log of each group's primary, or its newest log."""
        logs = {}
        for group in self.cluster.deployment.groups:
            members = [
                i for i in self.cluster.instances.values() if i.group == group
            ]
            newest = max(members, key=lambda i: (i.log_term, i.position))
            primary = self.cluster.primary_of(group)
            logs[group] = list((primary or newest).log)
        return logs

    def _add_violation(self, rule: str, detail: str) -> None:
        self.own_violations.append({"rule": rule, "detail": detail})

    def _show_progress(self, phase: str) -> None:
        if sys.stderr.isatty():
            elapsed_s = time.monotonic() - self.started_s
            print(
                f"\r{elapsed_s:5.1f} s  {phase:<40}", end="", file=sys.stderr
            )


def _count_outcomes(
    records: Sequence[CallRecord],
) -> dict[str, dict[str, int]]:
    outcomes: dict[str, dict[str, int]] = {}
    for record in records:
        counts = outcomes.setdefault(record.request_class, {})
        name = record.outcome
        if record.outcome != "done" and record.reason:
            name = f"{name} ({record.reason})"
        counts[name] = counts.get(name, 0) + 1
    return dict(sorted(outcomes.items()))


def _compute_replica_share(records: Sequence[CallRecord]) -> dict[str, float]:
    reads = {CallKind.FRESH_READ, CallKind.OWN_READ, CallKind.COUNT_READ}
    counts: dict[str, collections.Counter[str]] = {}
    for record in records:
        if record.kind in reads and record.outcome == "done":
            names = (record.request_class, "all")
            for name in names:
                role_counts = counts.setdefault(name, collections.Counter())
                role_counts[record.role] += 1
    return {
        name: role_counts["replica"] / role_counts.total()
        for name, role_counts in sorted(counts.items())
    }


def _with_summary(gaps_ms: dict[str, float]) -> dict[str, float]:
    if not gaps_ms:
        return {}
    values = list(gaps_ms.values())
    return {
        **gaps_ms,
        "min": min(values),
        "median": statistics.median(values),
        "max": max(values),
    }


def wait_until(done: Callable[[], bool], limit_s: float) -> bool:
    """Poll until a condition holds.

    :param done: the condition
    :param limit_s: time-out in seconds
    :return: whether the condition holds
    """
    deadline_s = time.monotonic() + limit_s
    while time.monotonic() < deadline_s:
        if done():
            return True
        time.sleep(POLL_INTERVAL_S)
    return done()
