"""Measures failover gaps and replica shares of many demonstration runs.

Run ``python benchmarks/gaps.py --seeds 20``.  Each seed runs in its own
process, a few at the same time.
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
    """Run the demonstration once.

    :return: its report, or the seed and the end of its error output
        under ``error`` if it wrote none
    """
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
        process = subprocess.run(  # noqa: S603 - the project's own command
            command,
            check=False,
            capture_output=True,
            text=True,
            timeout=RUN_TIMEOUT_S,
        )
        if not report.exists():
            return {"error": process.stderr[-500:], "seed": seed}
        result: dict[str, Any] = json.loads(report.read_text())
        return result


def summarise(deployment: str, reports: list[dict[str, Any]]) -> None:
    """Print the summary of one deployment."""
    complete = [r for r in reports if "error" not in r]
    failed_seeds = [r["seed"] for r in reports if "error" in r]
    print(
        f"\n{deployment}: {len(complete)} runs, no report from {failed_seeds}"
    )
    for fault in FAULTS:
        values = [
            r["gaps_ms"][fault] for r in complete if fault in r["gaps_ms"]
        ]
        _print_row(f"gap {fault} ms", values)
    for name in complete[0]["replica_share"] if complete else ():
        shares = [r["replica_share"].get(name, 0) * 100 for r in complete]
        _print_row(f"replica share {name} %", shares)
    _print_row("in force ms", [r["in_force_ms"] for r in complete])
    violations = {
        r["seed"]: r["violations"] for r in complete if r["violations"]
    }
    print(f"violations: {json.dumps(violations)[:2000]}")


def main(*, seeds: int = 20, first: int = 1, at_once: int = 3) -> None:
    """Run both deployments.

    :param seeds: number of seeds
    :param first: first seed
    :param at_once: number of runs at the same time
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
    median = statistics.median(values)
    print(
        f"{name:<40} min {min(values):8.1f}  median {median:8.1f}"
        f"  max {max(values):8.1f}"
    )


if __name__ == "__main__":
    defopt.run(main)
