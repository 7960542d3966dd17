"""Starts control and entry hosts together, and reports what that costs.

``python benchmarks/start.py --control 3 --entry 6``

For each host: time from its launch until it is ready (an entry host
answers its readiness check with 200), processor time until then, and
peak memory.
"""

from __future__ import annotations

import argparse
import json
import os
import re
import shutil
import socket
import statistics
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from typing import TYPE_CHECKING, Final

import attrs

from rosemarysaddle.soak._nodes import Nodes

if TYPE_CHECKING:
    from rosemarysaddle.soak._nodes import Node

LAUNCH: Final = Path(__file__).parents[1] / "deploy" / "launch.py"
NETWORK: Final = "127.141"
TIMEOUT_S: Final = 30.0
SETTLE_S: Final = 3.0
_STEP_LINE: Final = re.compile(r"step=(\S+) after_ms=(\d+)")
_TICKS_PER_S: Final = os.sysconf("SC_CLK_TCK")
_CHECK: Final = b"GET /rosemarysaddle/readiness HTTP/1.1\r\nHost: h\r\n\r\n"


@attrs.define(kw_only=True)
class Started:
    """Host process and what its start took.

    :param ready_s: time from launch until ready; 0 before
    """

    node: Node
    process: subprocess.Popen[bytes]
    launched_s: float
    log_offset: int
    ready_s: float = 0.0
    cpu_s: float = 0.0

    def check(self) -> None:
        """Note time and cost if the host has become ready."""
        if not self.ready_s and self._is_ready():
            self.ready_s = time.monotonic() - self.launched_s
            self.cpu_s = _processor_s(self.process.pid)

    def _is_ready(self) -> bool:
        ip, _, port = self.node.settings["ready_address"].partition(":")
        try:
            with socket.create_connection((ip, int(port)), 0.5) as sock:
                sock.sendall(_CHECK)
                return b" 200 " in sock.recv(4_096)[:16]
        except OSError:
            return False


def _processor_s(pid: int) -> float:
    text = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2]
    fields = text.split()
    return (int(fields[11]) + int(fields[12])) / _TICKS_PER_S


def _peak_mb(pid: int) -> float:
    text = Path(f"/proc/{pid}/status").read_text()
    line = next(x for x in text.splitlines() if x.startswith("VmHWM"))
    return int(line.split()[1]) / 1_024


def _launch(node: Node) -> Started:
    node.folder.mkdir(parents=True, exist_ok=True)
    path = node.folder / "settings.json"
    path.write_text(json.dumps(node.settings))
    with (node.folder / "log").open("ab") as log:
        log_offset = log.tell()
        process = subprocess.Popen(  # noqa: S603
            [sys.executable, str(LAUNCH)],
            env={**os.environ, "ROSEMARYSADDLE_NODE_FILE": str(path)},
            stdout=log,
            stderr=log,
        )
    node.settings["first_start"] = False
    return Started(
        node=node,
        process=process,
        launched_s=time.monotonic(),
        log_offset=log_offset,
    )


def _report(role: str, hosts: list[Started]) -> None:
    ready = [h.ready_s for h in hosts if h.ready_s]
    cpu = [h.cpu_s or _processor_s(h.process.pid) for h in hosts]
    peak = [_peak_mb(h.process.pid) for h in hosts]
    print(
        f"{role}: {len(hosts)} hosts, {len(ready)} ready,"
        f" ready after {_range(ready)} s, processor {_range(cpu)} s,"
        f" peak {_range(peak)} MB"
    )


def _report_steps(role: str, hosts: list[Started]) -> None:
    """Print the earliest, median and latest time of each step."""
    times: dict[str, list[float]] = {}
    for host in hosts:
        text = (host.node.folder / "log").read_text()[host.log_offset :]
        for step, after_ms in _STEP_LINE.findall(text):
            times.setdefault(step, []).append(int(after_ms) / 1_000)
    for step, values in times.items():
        print(f"  {role} {step}: {len(values)} hosts, {_range(values)} s")


def _range(values: list[float]) -> str:
    if not values:
        return "-"
    middle = statistics.median(values)
    return f"{min(values):.2f}/{middle:.2f}/{max(values):.2f}"


def _play(
    control_nodes: list[Node], entry_nodes: list[Node], settle_s: float
) -> None:
    """Start all hosts together, report, and kill them."""
    control = [_launch(node) for node in control_nodes]
    entry = [_launch(node) for node in entry_nodes]
    try:
        end_s = time.monotonic() + TIMEOUT_S
        while time.monotonic() < end_s and not all(h.ready_s for h in entry):
            for host in entry:
                host.check()
            time.sleep(0.02)
        time.sleep(settle_s)
        _report("control", control)
        _report("entry", entry)
    finally:
        for host in [*entry, *control]:
            host.process.kill()
            host.process.wait()
    _report_steps("control", control)
    _report_steps("entry", entry)


def main() -> None:
    """Play one first start of all hosts, then starts after a kill."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--control", type=int, default=3, choices=(1, 2, 3))
    parser.add_argument("--entry", type=int, default=6)
    parser.add_argument("--restarts", type=int, default=0)
    parser.add_argument("--keep", action="store_true", help="keep the logs")
    options = parser.parse_args()
    folder = Path(tempfile.mkdtemp(prefix="start-"))
    nodes = Nodes(
        network=NETWORK, folder=folder, entry_hosts=-(-options.entry // 3)
    )
    for number in range(1 + options.restarts):
        print("first start" if number == 0 else f"restart {number}")
        _play(
            nodes.control[: options.control],
            nodes.entry[: options.entry],
            SETTLE_S,
        )
    if options.keep:
        print(f"logs in {folder}")
    else:
        shutil.rmtree(folder)


if __name__ == "__main__":
    main()
