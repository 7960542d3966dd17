"""Disk of a control host: stores the log, and recovers after a failure.

After a failed write the log in memory is ahead of the disk.  Nothing is
stored until the disk takes a write again; the log then starts from what
the disk holds, as after a restart of the process.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import attrs

from rosemarysaddle import _log as logging
from rosemarysaddle.decide import NS_PER_MS

if TYPE_CHECKING:
    from rosemarysaddle.decide import (
        SaveEntries,
        SaveSnapshot,
        SaveVote,
        StoredLog,
    )
    from rosemarysaddle.store import Journal

__all__ = ("LogDisk",)

RETRY_INTERVAL_MS: Final = 250


@attrs.define(kw_only=True, eq=False)
class LogDisk:
    """Journal of a control host, which may fail and recover.

    :param failures: number of failures since the start of the process
    """

    journal: Journal
    failures: int = attrs.field(default=0, init=False)
    _failed_since_ns: int = attrs.field(default=0, init=False)
    _retry_at_ns: int = attrs.field(default=0, init=False)

    @property
    def has_failed(self) -> bool:
        """Whether a write has failed and none has succeeded since."""
        return self._failed_since_ns > 0

    def save(
        self, effect: SaveVote | SaveEntries | SaveSnapshot, now_ns: int
    ) -> bool:
        """Store the vote, entries or snapshot of an effect.

        :param now_ns: monotonic time, in nanoseconds
        :return: whether it is synced to disk
        """
        try:
            self.journal.save(effect)
        except OSError as error:
            logging.error(
                "event=disk-failed step=%s reason=%r",
                type(effect).__name__,
                error,
            )
            self.fail(now_ns)
            return False
        return True

    def fail(self, now_ns: int) -> None:
        """Store nothing until the journal is recovered."""
        self.failures += 1
        self._failed_since_ns = now_ns
        self._retry_at_ns = now_ns

    def try_to_recover(self, now_ns: int) -> StoredLog | None:
        """Check whether the disk takes writes again, once in a while.

        :param now_ns: monotonic time, in nanoseconds
        :return: what the disk holds, or None while the disk fails
        """
        if now_ns < self._retry_at_ns:
            return None
        self._retry_at_ns = now_ns + RETRY_INTERVAL_MS * NS_PER_MS
        try:
            stored = self.journal.recover()
        except OSError:
            return None
        logging.info(
            "event=disk-recovered failed_ms=%d failures=%d index=%d term=%d",
            (now_ns - self._failed_since_ns) // NS_PER_MS,
            self.failures,
            stored.snapshot_index + len(stored.entries),
            stored.term,
        )
        self._failed_since_ns = 0
        return stored
