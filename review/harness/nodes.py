"""Starts the project's programs as separate processes.

Every machine is one loopback address.  The commands are those of the
deploy file, and the settings those that its template produces.
"""

from __future__ import annotations

import json
import os
import random
import shutil
import signal
import socket
import subprocess
import tempfile
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
ZONES = {
    "moc-chau": "bac-bo",
    "da-lat": "tay-nguyen",
    "tay-ninh": "nam-bo",
}
FRONT_PORT = 8784
READY_PORT = 8785
CONTROL_PORT = 8782
PROVIDER_PORT = 8783
SERVER_PORT = 8080
PEERS_PORT = 7440
LENDING_PORT = 7455


class CannotRun(Exception):
    """The case could not be run; the script exits with 2."""


class Process:
    """One program of the deploy file on one machine."""

    def __init__(self, fleet, name, role, ip, zone):
        self.fleet, self.name, self.role = fleet, name, role
        self.ip, self.zone = ip, zone
        self.folder = fleet.folder / name
        self.folder.mkdir(parents=True)
        self.first_start = True
        self.child = None

    def settings(self):
        """Build what the template of the deploy file produces."""
        is_core = self.role == "control"
        return {
            "host": self.name,
            "role": self.role,
            "data_center": self.zone,
            "region": ZONES[self.zone],
            "places": [
                {"data_center": z, "region": r} for z, r in ZONES.items()
            ],
            "ip": self.ip,
            "peers_port": PEERS_PORT,
            "seeds": self.fleet.seeds,
            "first_start": self.first_start,
            "data_folder": str(self.folder / "data") if is_core else "",
            "sessions_address": "" if is_core else f"{self.ip}:{FRONT_PORT}",
            "lending_address": f"{self.ip}:{LENDING_PORT}",
            "metrics_address": f"{self.ip}:9464",
            "ready_address": "" if is_core else f"{self.ip}:{READY_PORT}",
            "control_address": f"{self.ip}:{CONTROL_PORT}" if is_core else "",
            "promotion_address": f"{self.fleet.provider_ip}:{PROVIDER_PORT}",
            "tolerated_hosts": 1,
            "grace_s": 6,
            "leaving_work_ms": 7000,
        }

    def start(self):
        """Write the settings and start the process."""
        path = self.folder / "node.json"
        path.write_text(json.dumps(self.settings()), encoding="utf-8")
        environment = {
            k: os.environ[k]
            for k in ("PATH", "HOME", "LANG")
            if k in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["ROSEMARYSADDLE_NODE_FILE"] = str(path)
        with (self.folder / "log").open("ab") as log:
            self.child = subprocess.Popen(
                self.fleet.commands[self.role],
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self.first_start = False

    def signal(self, number):
        """Send a signal to the process."""
        if self.child is not None and self.child.poll() is None:
            self.child.send_signal(number)

    def kill(self):
        """End the process at once."""
        if self.child is None:
            return
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        self.child.wait()

    def log_text(self):
        """Return all that the process has logged."""
        return (self.folder / "log").read_text(errors="replace")


class Fleet:
    """Three core machines and some front machines."""

    def __init__(self, fronts=3):
        """Prepare the machines; each zone has a core machine."""
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        self.commands = {
            role: row["run"].split() for role, row in deploy["roles"].items()
        }
        self.network = _free_network()
        self.provider_ip = f"{self.network}.4.1"
        zones = list(ZONES)
        core_ips = [f"{self.network}.0.{n}" for n in (1, 2, 3)]
        self.seeds = [f"{ip}:{CONTROL_PORT}" for ip in core_ips]
        self.core = [
            Process(
                self, f"core-{zones[n]}-1", "control", core_ips[n], zones[n]
            )
            for n in range(3)
        ]
        self.fronts = [
            Process(
                self,
                f"front-{zones[n % 3]}-{n // 3 + 1}",
                "entry",
                f"{self.network}.1.{n + 1}",
                zones[n % 3],
            )
            for n in range(fronts)
        ]

    def start(self):
        """Start all processes at once."""
        if not (ROOT / "target" / "deps").is_dir():
            raise CannotRun("target/deps is missing: run the build first")
        for process in (*self.core, *self.fronts):
            process.start()

    def leader(self):
        """Return the core process that logged last that it leads."""
        best, newest = None, 0
        for process in self.core:
            term = 0
            for line in process.log_text().splitlines():
                if "event=control role=" in line:
                    is_leader = "role=leader" in line
                    number = int(line.split(" term=")[1].split()[0])
                    term = number if is_leader else 0
            if term > newest:
                best, newest = process, term
        return best

    def stop(self, keep=False):
        """End all processes and remove the temporary folder."""
        for process in (*self.core, *self.fronts):
            process.kill()
        if not keep:
            shutil.rmtree(self.folder, ignore_errors=True)


def _free_network():
    """Find loopback addresses on which all the ports are free."""
    for _ in range(50):
        network = f"127.{random.randint(20, 250)}"
        wanted = [
            (f"{network}.0.1", CONTROL_PORT),
            (f"{network}.1.1", FRONT_PORT),
            (f"{network}.4.1", PROVIDER_PORT),
            (f"{network}.5.1", SERVER_PORT),
        ]
        try:
            for address in wanted:
                with socket.socket() as sock:
                    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                    sock.bind(address)
        except OSError:
            continue
        return network
    raise CannotRun("no free loopback addresses")
