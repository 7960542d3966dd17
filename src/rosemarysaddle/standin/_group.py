"""Asynchronous replication between the instances of one group."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING, Final

import attrs

from rosemarysaddle.standin._instance import REPLICA

if TYPE_CHECKING:
    from collections.abc import Sequence

    from rosemarysaddle.link import NetworkConditions
    from rosemarysaddle.standin._instance import StandInInstance

__all__ = ("StandInGroup",)

POLL_INTERVAL_S: Final = 0.02


@attrs.define(kw_only=True, eq=False)
class StandInGroup:
    """Replicates between the instances of one group."""

    instances: Sequence[StandInInstance]
    network_conditions: NetworkConditions
    _stopping: bool = attrs.field(default=False, init=False)
    _tasks: list[asyncio.Task[None]] = attrs.field(factory=list, init=False)

    def start(self) -> None:
        """Start replicating."""
        loop = asyncio.get_running_loop()
        for instance in self.instances:
            task = loop.create_task(self._replicate(instance))
            self._tasks.append(task)

    async def stop(self) -> None:
        """Stop replicating."""
        self._stopping = True
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _replicate(self, replica: StandInInstance) -> None:
        # A time-out racing with stop() can swallow the cancellation.
        while not self._stopping:
            primary = self._find_primary(replica)
            if primary is None:
                await asyncio.sleep(POLL_INTERVAL_S)
                continue
            self._drop_divergent_records(replica, primary)
            await self._replicate_next(replica, primary)

    def _find_primary(
        self, replica: StandInInstance
    ) -> StandInInstance | None:
        if replica.role != REPLICA or replica.faults.crashed:
            return None
        for instance in self.instances:
            if instance.name != replica.following:
                continue
            if instance.faults.crashed:
                return None
            if self.network_conditions.is_partitioned(instance.ip, replica.ip):
                return None
            return instance
        return None

    def _drop_divergent_records(
        self, replica: StandInInstance, primary: StandInInstance
    ) -> None:
        position = min(replica.position, primary.position)
        while (
            position
            and replica.log[position - 1] != (primary.log[position - 1])
        ):
            position -= 1
        if position < replica.position and primary.term >= replica.term:
            replica.truncate_log(position)

    async def _replicate_next(
        self, replica: StandInInstance, primary: StandInInstance
    ) -> None:
        if primary.position <= replica.position:
            changed = primary.changed
            await _wait_briefly(changed)
            return
        record = primary.log[replica.position]
        due_s = record.committed_at_s + replica.faults.lag_ms / 1_000
        due_s += self.network_conditions.delay_s(primary.ip, replica.ip)
        wait_s = due_s - time.monotonic()
        if wait_s > 0:
            await asyncio.sleep(min(wait_s, POLL_INTERVAL_S))
            return
        replica.apply(record)


async def _wait_briefly(changed: asyncio.Event) -> None:
    try:
        await asyncio.wait_for(changed.wait(), POLL_INTERVAL_S)
    except TimeoutError:
        return
