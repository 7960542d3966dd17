"""Trial: one pair of faults under the workload, then the checks."""

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
from rosemarysaddle.demo._faults import FAULTS, PAIRS, FaultStage
from rosemarysaddle.demo._play import Stage, wait_until

if TYPE_CHECKING:
    from collections.abc import Sequence

    from rosemarysaddle.demo._deployments import Deployment

__all__ = ("TrialReport", "run_trial")

WARM_S: Final = 1.0
BETWEEN_S: Final = 1.2
HOLD_S: Final = 3.0
AFTER_S: Final = 1.0
RECOVER_S: Final = 15.0
_WRITE: Final = ClassSpec(name="recovery", kind=CallKind.WRITE, weight=1)


@attrs.frozen(kw_only=True)
class TrialReport:
    """Result of a trial."""

    deployment: str
    seed: int
    pair: tuple[str, ...]
    outcomes: dict[str, int]
    violations: tuple[dict[str, str], ...]


def run_trial(
    deployment: Deployment, *, seed: int, pair: Sequence[str] = ()
) -> TrialReport:
    """Run one trial.

    :param seed: gives the pair, the group, the times and the callers
    :param pair: names of faults, or empty for the seed's
    """
    with tempfile.TemporaryDirectory(
        prefix="rosemarysaddle-", ignore_cleanup_errors=True
    ) as folder:
        cluster = Cluster(
            deployment=deployment, folder=Path(folder), seed=seed
        )
        try:
            names = tuple(pair) or PAIRS[seed % len(PAIRS)]
            return _run(cluster, seed, names)
        finally:
            cluster.stop()


def _run(cluster: Cluster, seed: int, names: tuple[str, ...]) -> TrialReport:
    source = random.Random(f"trial:{seed}")
    stage = Stage(cluster=cluster, seed=seed)
    cluster.start()
    stage.configure()
    stop = threading.Event()
    threads = stage.start_callers(stop)
    time.sleep(WARM_S)
    group = source.choice(cluster.deployment.groups)
    faults = FaultStage(cluster=cluster, group=group, source=source)
    for name in names:
        FAULTS[name](faults)
        time.sleep(source.uniform(0, BETWEEN_S))
    time.sleep(HOLD_S)
    faults.end()
    time.sleep(AFTER_S)
    stop.set()
    for thread in threads:
        thread.join()
    breaches = [*faults.breaches, *_find_unrecovered(stage)]
    return _report(stage, names, breaches)


def _find_unrecovered(stage: Stage) -> list[str]:
    cluster = stage.cluster
    site = cluster.deployment.sites[0]
    session = CallerSession(
        name="recovery",
        home=site.data_center,
        deployment=cluster.deployment,
        credential=CREDENTIAL,
        balancer=cluster.balancer,
        book=stage.book,
        seed=stage.seed,
        think_s=1.0,
    )
    found = [
        f"{group} takes no write: {stage.book.records[-1].reason}"
        for group in cluster.deployment.groups
        if not wait_until(
            functools.partial(_writes, session, group), RECOVER_S
        )
    ]
    if not wait_until(stage.is_settled, RECOVER_S):
        states = [
            (i.name, i.role, i.log_term, i.position, i.following)
            for i in cluster.instances.values()
        ]
        found.append(f"instances differ: {states}")
    return found


def _writes(session: CallerSession, group: str) -> bool:
    return session.call(_WRITE, group).outcome == "done"


def _report(
    stage: Stage, names: tuple[str, ...], breaches: list[str]
) -> TrialReport:
    logs = stage.surviving_logs()
    records = stage.book.records
    found: list[dict[str, Any]] = [
        attrs.asdict(v) for v in Checker(logs=logs).check(records)
    ]
    found.extend({"rule": "recovery", "detail": b} for b in breaches)
    found.extend(stage.extra)
    counts = collections.Counter(r.outcome for r in records)
    return TrialReport(
        deployment=stage.cluster.deployment.name,
        seed=stage.seed,
        pair=names,
        outcomes=dict(sorted(counts.items())),
        violations=tuple(found),
    )
