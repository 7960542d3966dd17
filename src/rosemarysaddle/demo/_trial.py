"""Runs a trial: a pair of faults under a workload, then the checks."""

from __future__ import annotations

import collections
import functools
import random
import tempfile
import threading
import time
from pathlib import Path
from typing import TYPE_CHECKING, Any, Final

import attrs

from rosemarysaddle.demo._checker import Checker
from rosemarysaddle.demo._clients import CallerSession
from rosemarysaddle.demo._cluster import CREDENTIAL, Cluster
from rosemarysaddle.demo._deployments import CallKind, ClassSpec
from rosemarysaddle.demo._faults import FAULTS, PAIRS, FaultContext
from rosemarysaddle.demo._run import WorkloadRun, wait_until

if TYPE_CHECKING:
    from collections.abc import Sequence

    from rosemarysaddle.demo._deployments import Deployment

__all__ = ("TrialReport", "run_trial")

WARM_UP_S: Final = 1.0
MAX_FAULT_SPACING_S: Final = 1.2
FAULT_DURATION_S: Final = 3.0
POST_FAULT_S: Final = 1.0
RECOVERY_TIMEOUT_S: Final = 15.0
_WRITE: Final = ClassSpec(name="recovery", kind=CallKind.WRITE, weight=1)


@attrs.frozen(kw_only=True)
class TrialReport:
    """Result of a trial.

    :param pair: names of the faults
    :param outcomes: number of calls by outcome
    """

    deployment: str
    seed: int
    pair: tuple[str, ...]
    outcomes: dict[str, int]
    violations: tuple[dict[str, str], ...]


def run_trial(
    deployment: Deployment, *, seed: int, pair: Sequence[str] = ()
) -> TrialReport:
    """Run one trial.

    :param seed: determines the pair, the group, the timing and the
        callers' choices
    :param pair: names of the faults; empty for the pair of the seed
    """
    with tempfile.TemporaryDirectory(
        prefix="rosemarysaddle-", ignore_cleanup_errors=True
    ) as folder:
        cluster = Cluster(
            deployment=deployment, folder=Path(folder), seed=seed
        )
        try:
            names = tuple(pair) or PAIRS[seed % len(PAIRS)]
            return _run_faults(cluster, seed, names)
        finally:
            cluster.stop()


def _run_faults(
    cluster: Cluster, seed: int, names: tuple[str, ...]
) -> TrialReport:
    rng = random.Random(f"trial:{seed}")
    workload = WorkloadRun(cluster=cluster, seed=seed)
    cluster.start()
    workload.configure()
    stop = threading.Event()
    threads = workload.start_callers(stop)
    time.sleep(WARM_UP_S)
    group = rng.choice(cluster.deployment.groups)
    faults = FaultContext(cluster=cluster, group=group, rng=rng)
    for name in names:
        FAULTS[name](faults)
        time.sleep(rng.uniform(0, MAX_FAULT_SPACING_S))
    time.sleep(FAULT_DURATION_S)
    faults.end()
    time.sleep(POST_FAULT_S)
    stop.set()
    for thread in threads:
        thread.join()
    failures = [*faults.failures, *_find_unrecovered(workload)]
    return _build_report(workload, names, failures)


def _find_unrecovered(workload: WorkloadRun) -> list[str]:
    cluster = workload.cluster
    site = cluster.deployment.sites[0]
    session = CallerSession(
        name="recovery",
        home_center=site.data_center,
        deployment=cluster.deployment,
        credential=CREDENTIAL,
        balancer=cluster.balancer,
        recorder=workload.recorder,
        seed=workload.seed,
        think_time_s=1.0,
    )
    failures = [
        f"{group} accepts no write: {workload.recorder.records[-1].reason}"
        for group in cluster.deployment.groups
        if not wait_until(
            functools.partial(_can_write, session, group), RECOVERY_TIMEOUT_S
        )
    ]
    if not wait_until(workload.is_converged, RECOVERY_TIMEOUT_S):
        states = [
            (i.name, i.role, i.log_term, i.position, i.following)
            for i in cluster.instances.values()
        ]
        failures.append(f"instances have not converged: {states}")
    return failures


def _can_write(session: CallerSession, group: str) -> bool:
    return session.call(_WRITE, group).outcome == "done"


def _build_report(
    workload: WorkloadRun, names: tuple[str, ...], failures: list[str]
) -> TrialReport:
    logs = workload.surviving_logs()
    records = workload.recorder.records
    violations: list[dict[str, Any]] = [
        attrs.asdict(v) for v in Checker(logs=logs).check(records)
    ]
    violations.extend({"rule": "recovery", "detail": b} for b in failures)
    violations.extend(workload.own_violations)
    counts = collections.Counter(r.outcome for r in records)
    return TrialReport(
        deployment=workload.cluster.deployment.name,
        seed=workload.seed,
        pair=names,
        outcomes=dict(sorted(counts.items())),
        violations=tuple(violations),
    )
