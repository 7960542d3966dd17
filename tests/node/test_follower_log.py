from __future__ import annotations

from typing import TYPE_CHECKING

from rosemarysaddle.decide import Role
from rosemarysaddle.node._follower_log import FollowerLog
from rosemarysaddle.schema import AppendReply, VoteReply
from tests.helpers import NS_PER_MS, make_log

if TYPE_CHECKING:
    from rosemarysaddle.decide import LogNode


def _leader(now_ns: int) -> LogNode:
    log = make_log("a")
    log.tick(now_ns)
    for pre in (True, False):
        vote = VoteReply(term=1, granted=True, pre=pre, heard_age_ns=now_ns)
        log.receive("b", vote, now_ns)
    assert log.role is Role.LEADER
    return log


def _accept(log: LogNode, peer: str, now_ns: int) -> None:
    reply = AppendReply(
        term=1, ok=True, match_index=log.last_index, sent_ns=now_ns
    )
    log.receive(peer, reply, now_ns)


def test_follower_behind_is_logged_once_and_when_in_step_again() -> None:
    lines: list[str] = []
    log = _leader(1_000 * NS_PER_MS)
    follower_log = FollowerLog(write=lines.append)
    for now_ms in range(1_100, 5_000, 100):
        _accept(log, "b", now_ms * NS_PER_MS)
        follower_log.update(log, now_ms * NS_PER_MS)
    _accept(log, "c", 5_000 * NS_PER_MS)
    follower_log.update(log, 5_000 * NS_PER_MS)

    assert len(lines) == 2
    assert "event=follower-behind peer=c" in lines[0]
    assert "spare_voters=0" in lines[0]
    assert "event=follower-in-step peer=c" in lines[1]
    assert "spare_voters=1" in lines[1]


def test_spare_voters_is_negative_without_a_quorum() -> None:
    log = _leader(1_000 * NS_PER_MS)

    assert log.spare_voters(1_100 * NS_PER_MS) == 1
    assert log.spare_voters(9_000 * NS_PER_MS) == -1
