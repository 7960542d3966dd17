"""A lost disk after leaders were cut off with changes in flight."""

from __future__ import annotations

import pytest

from rosemarysaddle.decide import Role
from tests.decide.cluster import MAX_CONVERGENCE_MS, STEP_MS, Cluster

CHANGE_INTERVAL_MS = 300
CUT_MS = 3_000


def _run_changes(cluster: Cluster, duration_ms: int) -> None:
    """Let time pass while operators send changes to every leader."""
    for elapsed_ms in range(0, duration_ms, STEP_MS):
        if elapsed_ms % CHANGE_INTERVAL_MS == 0:
            for name, host in cluster.hosts.items():
                if host.log.role is Role.LEADER:
                    effects = host.log.propose("change", "{}", cluster.now_ns)
                    cluster.absorb(name, effects)
        cluster.step()


def _cut_leader_off(cluster: Cluster) -> str:
    leader = cluster.leader()
    assert leader is not None
    cluster.cut_off(leader.log.host)
    return leader.log.host


@pytest.mark.parametrize("cuts", [1, 2, 3])
@pytest.mark.parametrize("lost", [0, 1])
def test_lost_disk_after_cut_leaders_leaves_a_quorum(
    cuts: int, lost: int
) -> None:
    cluster = Cluster(size=3)
    _run_changes(cluster, 2_000)
    for _ in range(cuts):
        cut_off = _cut_leader_off(cluster)
        _run_changes(cluster, CUT_MS)
        cluster.cut = set()
        _run_changes(cluster, CUT_MS)

    wiped = sorted(set(cluster.hosts) - {cut_off})[lost]
    cluster.in_flight = []
    for name in list(cluster.hosts):
        cluster.restart(name)
    cluster.lose_disk(wiped)
    for _ in range(MAX_CONVERGENCE_MS // STEP_MS):
        cluster.step()

    assert cluster.is_settled
