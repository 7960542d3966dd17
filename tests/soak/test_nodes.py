from __future__ import annotations

import signal
import subprocess
import sys
from typing import TYPE_CHECKING

import pytest

from rosemarysaddle.soak._nodes import Nodes, find_excess_voter_changes

if TYPE_CHECKING:
    from pathlib import Path


def _nodes(folder: Path, entry_hosts: int = 1) -> Nodes:
    return Nodes(network="127.99", folder=folder, entry_hosts=entry_hosts)


@pytest.mark.parametrize("entry_hosts", [1, 40])
def test_nodes_have_names_and_addresses_of_their_own(
    entry_hosts: int, tmp_path: Path
) -> None:
    nodes = _nodes(tmp_path, entry_hosts)

    assert len(nodes.control) == 3
    assert len(nodes.entry) == 3 * entry_hosts
    assert len({node.name for node in nodes.all}) == len(nodes.all)
    assert len({node.ip for node in nodes.all}) == len(nodes.all)


@pytest.mark.parametrize(
    ("roles", "leader"),
    [
        pytest.param(["follower 4", "leader 3", "leader 2"], 1, id="newest"),
        pytest.param(
            ["leader 2 follower 3", "leader 1", ""], 1, id="stepped-down"
        ),
        pytest.param(["follower 1", "candidate 1", ""], None, id="none"),
    ],
)
def test_find_leader_returns_newest_leader_in_the_logs(
    roles: list[str], leader: int | None, tmp_path: Path
) -> None:
    nodes = _nodes(tmp_path)
    for node, changes in zip(nodes.control, roles, strict=True):
        node.folder.mkdir(parents=True)
        words = changes.split()
        lines = [
            f"event=control role={role} term={term} leader=\n"
            for role, term in zip(words[::2], words[1::2], strict=True)
        ]
        (node.folder / "log").write_text("".join(lines), encoding="utf-8")

    expected = None if leader is None else nodes.control[leader]
    assert nodes.find_leader() is expected


def test_host_that_has_lost_its_disk_votes_under_its_new_name(
    tmp_path: Path,
) -> None:
    """Guards against a second disk lost while no majority is left."""
    nodes = _nodes(tmp_path)
    lost, leader, _ = nodes.control
    for node in nodes.control:
        node.folder.mkdir(parents=True)
        (node.folder / "log").touch()
    role = "event=control role=leader term=1 leader=b voters="
    started = "event=started name="
    steps = [
        (lost, f"{started}a\n", False),
        (leader, f"{role}a,b,c learners=\n", True),
        (None, "", False),
        (lost, f"{started}a#1\n", False),
        (leader, f"{role}b,c learners=a#1\n", False),
        (leader, f"{role}b,c,a#1 learners=\n", True),
    ]

    for writer, line, has_vote in steps:
        if writer is None:
            lost.lose_disk()
        else:
            with (writer.folder / "log").open("a") as log:
                log.write(line)
        assert nodes.has_vote(lost) is has_vote


@pytest.mark.parametrize(
    ("sent", "is_started"), [(signal.SIGHUP, True), (signal.SIGKILL, False)]
)
def test_process_that_a_signal_has_ended_is_started_again(
    sent: signal.Signals,
    tmp_path: Path,
    monkeypatch: pytest.MonkeyPatch,
    *,
    is_started: bool,
) -> None:
    """Guards against a host that stays away, or comes back too soon."""
    node = _nodes(tmp_path).control[0]
    started: list[str] = []
    monkeypatch.setattr(
        type(node), "start", lambda self: started.append(self.name)
    )
    command = [sys.executable, "-c", "import time; time.sleep(60)"]
    # A process inherits what its parent ignores, such as under nohup.
    before = signal.signal(signal.SIGHUP, signal.SIG_DFL)
    node.process = subprocess.Popen(command)  # noqa: S603
    signal.signal(signal.SIGHUP, before)

    node.start_if_ended_by(signal.SIGHUP)
    node.send_signal(sent)
    node.process.wait(10)
    node.start_if_ended_by(signal.SIGHUP)

    assert started == [node.name] * is_started


@pytest.mark.parametrize(
    ("voters", "is_found"),
    [
        pytest.param(["a,b,c", "a,b", "a,b,c#1"], False, id="one-loss"),
        pytest.param(
            ["a,b,c", "a,b,c,c#1", "a,b,c#1", "a,b,c,c#1", "a,b,c"],
            True,
            id="to-and-fro",
        ),
    ],
)
def test_changes_of_voters_are_bounded_by_lost_disks(
    voters: list[str], tmp_path: Path, *, is_found: bool
) -> None:
    """Guards against a dead name that comes and goes."""
    nodes = _nodes(tmp_path)
    nodes.control[2].disk_losses = 1
    for number, node in enumerate(nodes.control):
        node.folder.mkdir(parents=True)
        lines = [
            f"event=control role=leader term=1 leader=a voters={v} learners=\n"
            for v in voters
            if number == 0
        ]
        (node.folder / "log").write_text("".join(lines), encoding="utf-8")

    assert bool(find_excess_voter_changes(nodes.control)) is is_found
