"""Runs trials with many seeds, each in its own process.

Run ``python -m benchmarks.trials --seeds 200 --at-once 6``.
"""

from __future__ import annotations

import collections
import concurrent.futures
import json
import subprocess
import sys
from typing import Any

import defopt

RUN_TIMEOUT_S = 180
DEPLOYMENTS = ("co-operative", "foundation")


def run_seed(seed: int) -> dict[str, Any]:
    """Run one trial; every 20 seeds the deployment alternates.

    :return: the report, or the error if there is none
    """
    command = [
        sys.executable,
        "-m",
        "rosemarysaddle.run",
        "trial",
        "--deployment",
        DEPLOYMENTS[seed // 20 % 2],
        "--seed",
        str(seed),
    ]
    try:
        process = subprocess.run(  # noqa: S603 - the project's own command
            command,
            check=False,
            capture_output=True,
            text=True,
            timeout=RUN_TIMEOUT_S,
        )
        report: dict[str, Any] = json.loads(process.stdout.splitlines()[-1])
    except (subprocess.TimeoutExpired, ValueError, IndexError) as error:
        return {"seed": seed, "error": repr(error)[-500:]}
    return report


def main(*, seeds: int = 200, first: int = 1, at_once: int = 6) -> None:
    """Run the trials.

    :param seeds: number of seeds
    :param first: first seed
    :param at_once: number of trials at the same time
    """
    outcomes: collections.Counter[str] = collections.Counter()
    rules: collections.Counter[str] = collections.Counter()
    failed = 0
    with concurrent.futures.ThreadPoolExecutor(at_once) as pool:
        for report in pool.map(run_seed, range(first, first + seeds)):
            if "error" in report:
                failed += 1
                print(json.dumps(report), flush=True)
                continue
            outcomes.update(report["outcomes"])
            rules.update(v["rule"] for v in report["violations"])
            if report["violations"]:
                print(json.dumps(report)[:3000], flush=True)
    print(f"{seeds} trials, {failed} without a report")
    print(f"outcomes {dict(outcomes)}")
    print(f"violations {dict(rules)}")


if __name__ == "__main__":
    defopt.run(main)
