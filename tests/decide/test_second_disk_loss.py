"""A second disk is lost soon after a host with a new one has joined."""

from __future__ import annotations

import pytest

from tests.decide.cluster import STEP_MS, Cluster

# Round trips for joining and catching up, well below the time-out after
# which a silent voter is removed.
JOIN_MS = 1_000


@pytest.mark.parametrize("size", [3, 5])
def test_lost_voter_is_removed_once_its_new_name_has_a_vote(
    size: int,
) -> None:
    cluster = Cluster(size=size)
    cluster.settle()
    leader = cluster.leader()
    assert leader is not None
    lost = next(n for n in cluster.voters if n != leader.log.host)

    cluster.lose_disk(lost)
    for _ in range(JOIN_MS // STEP_MS):
        cluster.step()

    assert set(leader.log.voters) == set(cluster.hosts)


@pytest.mark.parametrize("size", [3, 5])
def test_quorum_survives_a_second_disk_loss_after_restarts(size: int) -> None:
    cluster = Cluster(size=size)
    cluster.settle()
    leader = cluster.leader()
    assert leader is not None
    first, second = [n for n in cluster.voters if n != leader.log.host][:2]
    cluster.lose_disk(first)
    for _ in range(JOIN_MS // STEP_MS):
        cluster.step()

    cluster.in_flight = []
    for name in list(cluster.hosts):
        cluster.restart(name)
    for _ in range(2 * JOIN_MS // STEP_MS):
        cluster.step()
    cluster.lose_disk(second)
    cluster.settle()

    assert cluster.is_settled
