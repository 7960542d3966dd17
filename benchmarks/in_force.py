"""Measures how long a change takes to be in force on all hosts.

The time runs from the answer that accepts the change.  Run
``python -m benchmarks.in_force --changes 500``.  One host is stopped
halfway and restarted 100 changes later.
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
    """Records when each version was first in force on each host."""

    def __init__(self, cluster: Cluster) -> None:
        """Start polling the hosts' versions."""
        self.first_seen_s: dict[str, dict[int, float]] = {}
        self.reversion_count = 0
        self._cluster = cluster
        self._ended = threading.Event()
        self._thread = threading.Thread(
            target=self._poll_versions, daemon=True
        )
        self._thread.start()

    def stop(self) -> None:
        """Stop polling."""
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
                for reached in range(newest + 1, version + 1):
                    seen[reached] = now_s


def propagation_times_ms(
    first_seen_s: Mapping[str, Mapping[int, float]],
    accepted_s: Mapping[int, float],
    stopped_host: str,
) -> list[float]:
    """Return the time that each version took to reach all hosts.

    A version that a host never reached counts with TIMEOUT_S.

    :param first_seen_s: monotonic seconds by host and version
    :param accepted_s: monotonic seconds by version
    :param stopped_host: host to leave out
    """
    times_ms = []
    for version, at_s in accepted_s.items():
        last_s = max(
            seen.get(version, at_s + TIMEOUT_S)
            for name, seen in first_seen_s.items()
            if name != stopped_host
        )
        times_ms.append(max(0.0, last_s - at_s) * 1_000)
    return times_ms


def main(*, changes: int = 500, seed: int = 1) -> None:
    """Measure with the co-operative deployment.

    :param changes: number of changes
    :param seed: seed of the hosts' random choices
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
    refused_count = 0
    catch_up_s = 0.0
    for number in range(1, changes + 1):
        if number == changes // 2:
            cluster.host_loop.run(cluster.servers[stopped_host].stop())
        if number == changes // 2 + MISSED_CHANGES:
            start_s = time.monotonic()
            cluster.restart_host(stopped_host)
            wait_until(
                lambda: _version(cluster, stopped_host) >= number - 1,  # noqa: B023
                TIMEOUT_S,
            )
            catch_up_s = time.monotonic() - start_s
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
            refused_count += 1
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
        f"{len(accepted_s)} changes accepted, {refused_count} not accepted;"
        f" from answer to in force: median {statistics.median(values):.1f} ms,"
        f" max {max(values):.1f} ms; reversions {observer.reversion_count};"
        f" restarted host caught up on {MISSED_CHANGES} changes"
        f" in {catch_up_s:.2f} s"
    )


def _version(cluster: Cluster, name: str) -> int:
    return cluster.servers[name].daemon.shared_node.node.state.rules_version


if __name__ == "__main__":
    defopt.run(main)
