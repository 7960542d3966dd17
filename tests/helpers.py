"""Shared fakes of the tests."""

from __future__ import annotations

import itertools
from typing import TYPE_CHECKING

import attrs

from rosemarysaddle.decide import (
    ClusterState,
    ControlNode,
    LogNode,
    SaveEntries,
    SaveSnapshot,
    SaveVote,
    StoredLog,
)
from rosemarysaddle.schema import LogEntry

if TYPE_CHECKING:
    from collections.abc import Sequence

    from rosemarysaddle.decide import Effect

MS = 1_000_000
VOTERS = ("a", "b", "c")


@attrs.define(kw_only=True)
class FakeDisk:
    """Keeps what a control host saved, in memory."""

    stored: StoredLog = attrs.field(factory=StoredLog)

    def save(self, effects: Sequence[Effect]) -> None:
        """Store what is to be durable."""
        for effect in effects:
            match effect:
                case SaveVote():
                    self.stored = attrs.evolve(
                        self.stored,
                        term=effect.term,
                        voted_for=effect.voted_for,
                    )
                case SaveEntries():
                    self._save_entries(effect.entries)
                case SaveSnapshot():
                    self._save_snapshot(effect)
                case _:
                    pass

    def _save_entries(self, entries: Sequence[LogEntry]) -> None:
        base = self.stored.snapshot_index
        kept = self.stored.entries[: entries[0].index - base - 1]
        self.stored = attrs.evolve(self.stored, entries=(*kept, *entries))

    def _save_snapshot(self, snapshot: SaveSnapshot) -> None:
        later = [e for e in self.stored.entries if e.index > snapshot.index]
        self.stored = attrs.evolve(
            self.stored,
            snapshot_index=snapshot.index,
            snapshot_term=snapshot.term,
            snapshot_state=snapshot.state,
            entries=tuple(later),
        )


def make_log(
    host: str,
    *,
    voters: tuple[str, ...] = VOTERS,
    stored: StoredLog | None = None,
    now_ns: int = 0,
) -> LogNode:
    """Build a voter whose election jitter differs from the others'."""
    return LogNode(
        host=host,
        voters=voters,
        stored=stored or StoredLog(),
        jitter_ms=itertools.cycle([40 * (1 + sorted(voters).index(host)), 0]),
        started_ns=now_ns,
    )


def make_leader(now_ns: int = 0) -> ControlNode:
    """Build a control host that is the only voter, and elect it."""
    node = ControlNode(
        log=make_log("a", voters=("a",), now_ns=now_ns),
        state=ClusterState(),
        data_center="dc-1",
    )
    node.tick(now_ns + 2_000 * MS)
    return node
