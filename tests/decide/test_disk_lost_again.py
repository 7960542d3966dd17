"""One control host loses its disk again while its vote is replaced."""

from __future__ import annotations

import pytest

from rosemarysaddle.schema import JoinRequest
from tests.decide.cluster import STEP_MS, Cluster

# A vote is taken from the earlier name and given to the new one.
CHANGES_PER_LOSS = 2
JOIN_MS = 1_000


def _settle(cluster: Cluster) -> None:
    cluster.settle()
    assert cluster.is_settled, sorted(cluster.hosts)


def _voter_changes(cluster: Cluster) -> int:
    kinds = [entry.kind for entry in cluster.committed.values()]
    return kinds.count("members")


def _settled_cluster(size: int) -> Cluster:
    cluster = Cluster(size=size)
    _settle(cluster)
    return cluster


def _leader_name(cluster: Cluster) -> str:
    leader = cluster.leader()
    assert leader is not None
    return leader.log.host


def _follower_name(cluster: Cluster) -> str:
    leader = _leader_name(cluster)
    return next(name for name in cluster.hosts if name != leader)


@pytest.mark.parametrize("size", [3, 5])
@pytest.mark.parametrize("losses", [1, 2, 3])
@pytest.mark.parametrize("gap_steps", range(0, 60, 2))
def test_disk_lost_at_any_step_of_a_change_leaves_a_quorum(
    size: int, losses: int, gap_steps: int
) -> None:
    """Guards against voters that are all dead names of one host."""
    cluster = _settled_cluster(size)
    before = _voter_changes(cluster)
    lost = _follower_name(cluster)

    for _ in range(losses):
        lost = cluster.lose_disk(lost)
        for _ in range(gap_steps):
            cluster.step()

    _settle(cluster)
    changes = _voter_changes(cluster) - before
    assert changes <= CHANGES_PER_LOSS * losses


@pytest.mark.parametrize("size", [3, 5])
@pytest.mark.parametrize("gap_steps", range(0, 120, 5))
def test_leader_may_lose_its_disk_twice(size: int, gap_steps: int) -> None:
    """Guards against a quorum of dead names after an election."""
    cluster = _settled_cluster(size)
    before = _voter_changes(cluster)
    lost = _leader_name(cluster)

    for _ in range(2):
        lost = cluster.lose_disk(lost)
        for _ in range(gap_steps):
            cluster.step()

    _settle(cluster)
    assert _voter_changes(cluster) - before <= CHANGES_PER_LOSS * 2


@pytest.mark.parametrize("gap_steps", range(0, 60, 4))
def test_leader_may_end_while_a_vote_is_replaced(gap_steps: int) -> None:
    """Guards against a new leader that takes the dead name for new."""
    cluster = _settled_cluster(3)
    lost = cluster.lose_disk(_follower_name(cluster))
    for _ in range(gap_steps):
        cluster.step()

    leader = cluster.leader()
    if leader is not None:
        cluster.restart(leader.log.host)
    cluster.lose_disk(lost)

    _settle(cluster)


@pytest.mark.parametrize("size", [3, 5])
def test_two_hosts_may_lose_their_disks_at_once(size: int) -> None:
    """Guards against adding a voter while dead names count."""
    cluster = _settled_cluster(size)
    before = _voter_changes(cluster)
    leader = _leader_name(cluster)
    lost = [name for name in cluster.hosts if name != leader][: size // 2]

    for name in lost:
        cluster.lose_disk(name)

    _settle(cluster)
    changes = _voter_changes(cluster) - before
    assert changes <= CHANGES_PER_LOSS * len(lost)


def test_late_join_of_an_earlier_name_gets_no_vote() -> None:
    """Guards against a vote for a dead name whose request came late."""
    cluster = _settled_cluster(3)
    earlier = cluster.lose_disk(_follower_name(cluster))
    for _ in range(JOIN_MS // STEP_MS):
        cluster.step()
    present = cluster.lose_disk(earlier)
    _settle(cluster)
    leader = cluster.leader()
    assert leader is not None

    message = JoinRequest(host=earlier)
    effects = leader.manager.join(message.host, cluster.now_ns)
    cluster.absorb(leader.log.host, effects)
    for _ in range(JOIN_MS // STEP_MS):
        cluster.step()
        assert earlier not in leader.log.voters
        assert present in leader.log.voters

    assert earlier not in leader.log.learners
