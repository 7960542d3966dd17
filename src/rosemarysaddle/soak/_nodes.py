"""Runs control hosts and entry hosts as processes."""

from __future__ import annotations

import json
import os
import re
import shutil
import signal
import subprocess
import sys
from typing import TYPE_CHECKING, Any, Final

import attrs

from rosemarysaddle.soak._disk_faults import FAULT_FILE_NAME

if TYPE_CHECKING:
    from collections.abc import Sequence
    from pathlib import Path

    from rosemarysaddle.soak._disk_faults import DiskFault

__all__ = ("Node", "Nodes", "find_defects", "find_excess_voter_changes")

DATA_CENTERS: Final = ("dc-1", "dc-2", "dc-3")
PEERS_PORT: Final = 7_440
LENDING_PORT: Final = 7_455
SESSIONS_PORT: Final = 8_784
READY_PORT: Final = 8_785
CONTROL_PORT: Final = 8_782
PROMOTION_PORT: Final = 8_783
STOP_TIMEOUT_S: Final = 10
GRACE_PERIOD_S: Final = 3
# What no fault from outside may cause.
_DEFECT_LINE: Final = re.compile(
    r"Traceback|event=(?:defect|process-ended|entry-skipped|unknown-effect)"
)
MAX_DEFECTS: Final = 5
CHANGES_PER_LOSS: Final = 2
_VOTERS_LINE: Final = re.compile(
    rb"event=control role=leader term=(\d+) leader=\S+ voters=(\S*)"
)
_STARTED_LINE: Final = re.compile(rb"event=started name=(\S+)")
_ROLE_LINE: Final = re.compile(rb"event=control role=(\w+) term=(\d+)")


@attrs.define(kw_only=True, eq=False)
class Node:
    """One host process with its settings.

    :param sources: folder of the sources of another build that it runs,
        or None for the present one
    :param disk_losses: number of times that it has lost its disk
    :param lost_name: its name in the log before the last loss
    """

    name: str
    role: str
    ip: str
    folder: Path
    settings: dict[str, Any]
    process: subprocess.Popen[bytes] | None = None
    sources: Path | None = None
    disk_losses: int = 0
    lost_name: bytes = b""

    def start(self) -> None:
        """Write the settings and start the process."""
        self.folder.mkdir(parents=True, exist_ok=True)
        path = self.folder / "settings.json"
        path.write_text(json.dumps(self.settings), encoding="utf-8")
        environment = {**os.environ, "ROSEMARYSADDLE_NODE_FILE": str(path)}
        if self.sources is not None:
            environment["PYTHONPATH"] = str(self.sources)
        with (self.folder / "log").open("ab") as log:
            self.process = subprocess.Popen(  # noqa: S603  # own programs
                [sys.executable, "-m", self._module],
                env=environment,
                stdout=log,
                stderr=log,
            )
        self.settings["first_start"] = False

    @property
    def _module(self) -> str:
        # Earlier builds lack the module with the faults of the disk.
        if self.role == "control" and self.sources is None:
            return "rosemarysaddle.soak._faulty_node"
        return "rosemarysaddle.platform"

    def lose_disk(self) -> None:
        """Remove the data folder of a stopped process."""
        self.disk_losses += 1
        self.lost_name = self.started_name()
        shutil.rmtree(self.settings["data_folder"], ignore_errors=True)

    def set_disk_fault(self, fault: DiskFault | None) -> None:
        """Let the disk of a control host fail, or work again."""
        path = self.folder / FAULT_FILE_NAME
        if fault is None:
            path.unlink(missing_ok=True)
            return
        new_path = path.with_suffix(".new")
        new_path.write_text(fault, encoding="utf-8")
        new_path.replace(path)

    def last_led_term(self) -> int:
        """Return the term that this host last logged to lead, or 0."""
        lines = _ROLE_LINE.findall((self.folder / "log").read_bytes())
        role, term = lines[-1] if lines else (b"", b"0")
        return int(term) if role == b"leader" else 0

    def started_name(self) -> bytes:
        """Return the newest name that this host logged, or empty."""
        names = _STARTED_LINE.findall((self.folder / "log").read_bytes())
        return names[-1] if names else b""

    def led_voters(self) -> dict[int, list[bytes]]:
        """Return the sets of voters that this host logged as leader.

        :return: by term, each set that differs from the one before
        """
        found: dict[int, list[bytes]] = {}
        log = (self.folder / "log").read_bytes()
        for term, voters in _VOTERS_LINE.findall(log):
            sets = found.setdefault(int(term), [])
            if not sets or sets[-1] != voters:
                sets.append(voters)
        return found

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal if the process is running."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def start_if_ended_by(self, number: signal.Signals) -> None:
        """Start the process again if a signal has ended it."""
        if self.process is not None and self.process.poll() == -number:
            self.start()

    def stop_process(
        self, stop_signal: signal.Signals = signal.SIGKILL
    ) -> None:
        """Stop the process with a signal and wait until it has exited.

        A suspended process is resumed first, and one that does not exit
        within STOP_TIMEOUT_S is killed.
        """
        if self.process is None:
            return
        self.send_signal(signal.SIGCONT)
        self.send_signal(stop_signal)
        try:
            self.process.wait(STOP_TIMEOUT_S)
        except subprocess.TimeoutExpired:
            self.process.kill()
            self.process.wait()


@attrs.define(kw_only=True, eq=False)
class Nodes:
    """Control hosts and entry hosts of three data centres.

    :param network: first two bytes of the loopback addresses
    :param folder: folder for settings, logs and data
    :param entry_hosts: number of entry hosts of each data centre
    :param control_hosts: number of control hosts of each data centre
    """

    network: str
    folder: Path
    entry_hosts: int = 1
    control_hosts: int = 1
    control: list[Node] = attrs.field(factory=list, init=False)
    entry: list[Node] = attrs.field(factory=list, init=False)

    def __attrs_post_init__(self) -> None:
        """Build the nodes with their settings."""
        centers = DATA_CENTERS * self.control_hosts
        for number, center in enumerate(centers, start=1):
            ip = f"{self.network}.0.{number}"
            name = f"control-{center}-{number}"
            self.control.append(self._node(name, "control", ip, center))
        centers = DATA_CENTERS * self.entry_hosts
        for number, center in enumerate(centers, start=1):
            ip = f"{self.network}.1.{number}"
            name = f"entry-{center}-{number}"
            self.entry.append(self._node(name, "entry", ip, center))

    @property
    def all(self) -> list[Node]:
        """All nodes, control hosts first."""
        return [*self.control, *self.entry]

    def find_leader(self) -> Node | None:
        """Find the control host with the newest term that it led."""
        leader = max(self.control, key=Node.last_led_term)
        return leader if leader.last_led_term() else None

    def has_vote(self, node: Node) -> bool:
        """Tell whether the present leader counts a host as a voter."""
        leader = self.find_leader()
        if leader is None:
            return False
        voters = leader.led_voters().get(leader.last_led_term(), [b""])[-1]
        name = node.started_name()
        return name != node.lost_name and name in voters.split(b",")

    def _node(self, name: str, role: str, ip: str, center: str) -> Node:
        seeds = [f"{self.network}.0.{n}:{CONTROL_PORT}" for n in (1, 2, 3)]
        folder = self.folder / name
        settings = {
            "host": name,
            "role": role,
            "data_center": center,
            "region": "r",
            "ip": ip,
            "peers_port": PEERS_PORT,
            "seeds": seeds,
            "first_start": True,
            "data_folder": str(folder / "data"),
            "sessions_address": f"{ip}:{SESSIONS_PORT}",
            "lending_address": f"{ip}:{LENDING_PORT}",
            "ready_address": f"{ip}:{READY_PORT}",
            "control_address": f"{ip}:{CONTROL_PORT}",
            "promotion_address": f"{self.network}.4.1:{PROMOTION_PORT}",
            "grace_s": GRACE_PERIOD_S,
            "tolerated_hosts": self.control_hosts,
        }
        return Node(
            name=name, role=role, ip=ip, folder=folder, settings=settings
        )


def find_defects(nodes: Sequence[Node]) -> list[str]:
    """Find lines about faults of the programs in the logs of nodes."""
    found: list[str] = []
    for node in nodes:
        with (node.folder / "log").open(encoding="utf-8") as lines:
            defects = [line for line in lines if _DEFECT_LINE.search(line)]
        found.extend(
            f"{node.name}: {line.strip()[:400]}"
            for line in defects[:MAX_DEFECTS]
        )
    return found


def find_excess_voter_changes(nodes: Sequence[Node]) -> list[str]:
    """Find more changes of voters than lost disks account for.

    A vote is taken from the earlier name and given to the new one.  A
    leader that ends meanwhile leaves one change to the next.

    :param nodes: control hosts, each of which has a vote
    """
    terms = [sets for node in nodes for sets in node.led_voters().values()]
    changes = sum(len(sets) - 1 for sets in terms)
    losses = sum(node.disk_losses for node in nodes)
    allowed = CHANGES_PER_LOSS * losses + len(terms)
    if changes <= allowed:
        return []
    text = f"{changes} changes of voters for {losses} lost disks"
    return [f"{text} and {len(terms)} terms"]
