"""Time from accepted to in force on all hosts, over many changes.

Run ``python -m benchmarks.in_force --changes 500``.  A host is stopped
halfway and started again 100 changes later.
"""

from __future__ import annotations

import statistics
import tempfile
import threading
import time
from pathlib import Path
from typing import TYPE_CHECKING

import defopt

from rosemarysaddle._limits import raise_file_limit
from rosemarysaddle.demo import DEPLOYMENTS, Cluster
from rosemarysaddle.demo._run import WorkloadRun, wait_until

if TYPE_CHECKING:
    from collections.abc import Mapping

POLL_INTERVAL_S = 0.002
TIMEOUT_S = 20.0
MISSED_CHANGES = 100


class VersionObserver:
    """Notes when each version was first in force on each host."""

    def __init__(self, cluster: Cluster) -> None:
        """Start to look."""
        self.first_seen_s: dict[str, dict[int, float]] = {}
        self.reversion_count = 0
        self._cluster = cluster
        self._ended = threading.Event()
        self._thread = threading.Thread(
            target=self._poll_versions, daemon=True
        )
        self._thread.start()

    def stop(self) -> None:
        """Stop to look."""
        self._ended.set()
        self._thread.join()

    def _poll_versions(self) -> None:
        while not self._ended.wait(POLL_INTERVAL_S):
            now_s = time.monotonic()
            for name, server in list(self._cluster.servers.items()):
                node = server.daemon.shared_node.node
                version = node.state.rules_version if node.ready else 0
                seen = self.first_seen_s.setdefault(name, {})
                newest = max(seen, default=0)
                if 0 < version < newest:
                    self.reversion_count += 1
                for missed in range(newest + 1, version + 1):
                    seen[missed] = now_s


def propagation_times_ms(
    first_seen_s: Mapping[str, Mapping[int, float]],
    accepted_s: Mapping[int, float],
    stopped_host: str,
) -> list[float]:
    """Time of each version until the last host that ran had it."""
    found = []
    for version, at_s in accepted_s.items():
        last_s = max(
            seen.get(version, at_s + TIMEOUT_S)
            for name, seen in first_seen_s.items()
            if name != stopped_host
        )
        found.append(max(0.0, last_s - at_s) * 1_000)
    return found


def main(*, changes: int = 500, seed: int = 1) -> None:
    """Measure on the co-operative's deployment.

    :param changes: count of changes
    :param seed: seed of the elections
    """
    raise_file_limit()
    deployment = DEPLOYMENTS["co-operative"]
    with tempfile.TemporaryDirectory(ignore_cleanup_errors=True) as folder:
        cluster = Cluster(
            deployment=deployment, folder=Path(folder), seed=seed
        )
        workload = WorkloadRun(cluster=cluster, seed=seed)
        cluster.start()
        workload.configure()
        _measure(cluster, changes)
        cluster.stop()


def _measure(cluster: Cluster, changes: int) -> None:
    stopped_host = list(cluster.servers)[-1]
    observer = VersionObserver(cluster)
    accepted_s: dict[int, float] = {}
    lost = 0
    back_s = 0.0
    for number in range(1, changes + 1):
        if number == changes // 2:
            cluster.hosts.run(cluster.servers[stopped_host].stop())
        if number == changes // 2 + MISSED_CHANGES:
            began_s = time.monotonic()
            cluster.restart_host(stopped_host)
            wait_until(
                lambda: _version(cluster, stopped_host) >= number - 1,  # noqa: B023
                TIMEOUT_S,
            )
            back_s = time.monotonic() - began_s
        answer = cluster.request_any(
            "POST",
            "/admin/documents/rules",
            {
                "change_id": f"in-force-{number}",
                "base_version": number,
                "document": cluster.rules(),
            },
        )
        if answer and answer.get("outcome") == "done":
            accepted_s[answer["version"]] = time.monotonic()
        else:
            lost += 1
    newest = max(accepted_s)
    wait_until(
        lambda: all(_version(cluster, n) >= newest for n in cluster.servers),
        TIMEOUT_S,
    )
    observer.stop()
    values = propagation_times_ms(
        observer.first_seen_s, accepted_s, stopped_host
    )
    print(
        f"{len(accepted_s)} changes accepted, {lost} not;"
        f" after the answer: median {statistics.median(values):.1f} ms,"
        f" max {max(values):.1f} ms; reverted {observer.reversion_count};"
        f" restarted host had {MISSED_CHANGES} changes after {back_s:.2f} s"
    )


def _version(cluster: Cluster, name: str) -> int:
    return cluster.servers[name].daemon.shared_node.node.state.rules_version


if __name__ == "__main__":
    defopt.run(main)
