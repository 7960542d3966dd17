"""Log lines about followers of the control log that fall behind."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from rosemarysaddle import _log as logging
from rosemarysaddle.decide import BEHIND_MS, NS_PER_MS

if TYPE_CHECKING:
    from collections.abc import Callable

    from rosemarysaddle.decide import FollowerStatus, LogNode

__all__ = ("FollowerLog",)


@attrs.define(kw_only=True)
class FollowerLog:
    """Logs when a follower falls behind, and when it is in step again.

    A follower is behind if it has not held all that is committed for
    ``BEHIND_MS``: it is silent, rejects appends or cannot keep up.

    :param write: called with each line to write
    """

    write: Callable[[str], None] = logging.info
    _reported: set[str] = attrs.field(factory=set, init=False)

    def update(self, log: LogNode, now_ns: int) -> None:
        """Log what has changed since the last call.

        :param log: control log of this host
        :param now_ns: monotonic time, in nanoseconds
        """
        statuses = {s.peer: s for s in log.follower_statuses()}
        behind = {p for p, s in statuses.items() if _is_behind(s, now_ns)}
        for peer in sorted(behind - self._reported):
            self._log("follower-behind", statuses[peer], log, now_ns)
        for peer in sorted(self._reported - behind):
            if peer in statuses:
                self._log("follower-in-step", statuses[peer], log, now_ns)
        self._reported = behind

    def _log(
        self, event: str, status: FollowerStatus, log: LogNode, now_ns: int
    ) -> None:
        behind_ms = (now_ns - status.in_step_ns) // NS_PER_MS
        silent_ms = (now_ns - status.last_heard_ns) // NS_PER_MS
        self.write(
            f"event={event} peer={status.peer} voter={status.is_voter}"
            f" phase={status.phase} match={status.match_index}"
            f" index={log.last_index} term={log.term}"
            f" rejections={status.rejections} behind_ms={behind_ms}"
            f" silent_ms={silent_ms} spare_voters={log.spare_voters(now_ns)}"
        )


def _is_behind(status: FollowerStatus, now_ns: int) -> bool:
    return now_ns - status.in_step_ns > BEHIND_MS * NS_PER_MS
