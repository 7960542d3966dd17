"""Failover gaps and replica share over many seeds of the demonstration.

Run ``python benchmarks/gaps.py --seeds 20``; each seed is a process of
its own, a few at a time.
"""

from __future__ import annotations

import concurrent.futures
import json
import statistics
import subprocess
import sys
import tempfile
from pathlib import Path
from typing import Any

import defopt

DEPLOYMENTS = ("co-operative", "foundation")
FAULTS = ("crash", "cut", "planned")
RUN_TIMEOUT_S = 180


def run_seed(deployment: str, seed: int) -> dict[str, Any]:
    """Run the demonstration once and read its report."""
    with tempfile.TemporaryDirectory() as folder:
        report = Path(folder) / "report.json"
        command = [
            sys.executable,
            "-m",
            "rosemarysaddle.run",
            "demo",
            "--deployment",
            deployment,
            "--seed",
            str(seed),
            "--report",
            str(report),
        ]
        done = subprocess.run(  # noqa: S603 - the project's own command
            command,
            check=False,
            capture_output=True,
            text=True,
            timeout=RUN_TIMEOUT_S,
        )
        if not report.exists():
            return {"error": done.stderr[-500:], "seed": seed}
        found: dict[str, Any] = json.loads(report.read_text())
        return found


def summarise(deployment: str, reports: list[dict[str, Any]]) -> None:
    """Print one deployment's figures."""
    good = [r for r in reports if "error" not in r]
    broken = [r["seed"] for r in reports if "error" in r]
    print(f"\n{deployment}: {len(good)} runs, no report from {broken}")
    for fault in FAULTS:
        values = [r["gaps_ms"][fault] for r in good if fault in r["gaps_ms"]]
        _print_row(f"gap {fault} ms", values)
    for name in good[0]["replica_share"] if good else ():
        shares = [r["replica_share"].get(name, 0) * 100 for r in good]
        _print_row(f"replica share {name} %", shares)
    _print_row("in force ms", [r["in_force_ms"] for r in good])
    faulty = {r["seed"]: r["violations"] for r in good if r["violations"]}
    print(f"violations: {json.dumps(faulty)[:2000]}")


def main(*, seeds: int = 20, first: int = 1, at_once: int = 3) -> None:
    """Run both deployments.

    :param seeds: count of seeds
    :param first: first seed
    :param at_once: runs at the same time
    """
    with concurrent.futures.ThreadPoolExecutor(at_once) as pool:
        for deployment in DEPLOYMENTS:
            futures = [
                pool.submit(run_seed, deployment, seed)
                for seed in range(first, first + seeds)
            ]
            summarise(deployment, [f.result() for f in futures])


def _print_row(name: str, values: list[float]) -> None:
    if not values:
        print(f"{name:<40} none")
        return
    middle = statistics.median(values)
    print(
        f"{name:<40} min {min(values):8.1f}  median {middle:8.1f}"
        f"  max {max(values):8.1f}"
    )


if __name__ == "__main__":
    defopt.run(main)
