"""Status watches and connection pools of the inventory's targets."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import attrs

from rosemarysaddle.link import Address
from rosemarysaddle.target import TargetPool, TargetWatch

if TYPE_CHECKING:
    from rosemarysaddle.daemon._shared_node import SharedEntryNode
    from rosemarysaddle.decide import ClusterState
    from rosemarysaddle.schema import Group, Instance
    from rosemarysaddle.target import TargetConnector, WatchEvents

__all__ = ("TargetManager",)


@attrs.define(kw_only=True, eq=False)
class TargetManager:
    """Keeps a watch and a connection pool for each target.

    :param connections: maximum number of connections of this host to
        one target
    """

    shared_node: SharedEntryNode
    connector: TargetConnector
    events: WatchEvents
    connections: int
    _groups: dict[str, dict[str, Instance]] = attrs.field(
        factory=dict, init=False
    )
    _watches: dict[str, TargetWatch] = attrs.field(factory=dict, init=False)
    _applied_state: ClusterState | None = attrs.field(default=None, init=False)

    def apply_inventory(self) -> None:
        """Apply the inventory changes since the last call.

        If the cluster state was replaced as a whole, all groups are
        compared.
        """
        state = self.shared_node.node.state
        changed_groups = set(state.inventory.changed_groups)
        if state is not self._applied_state:
            changed_groups.update(self._groups)
            self._applied_state = state
        if not changed_groups:
            return
        state.inventory.changed_groups.difference_update(changed_groups)
        for name in changed_groups:
            self._sync_group(name, state.group(name))

    async def stop(self) -> None:
        """Stop the watches and close the connection pools."""
        for watch in self._watches.values():
            watch.stop()
        for watch in self._watches.values():
            await asyncio.to_thread(watch.join)
        for pool in self.shared_node.pools.values():
            pool.close()

    def _sync_group(self, name: str, group: Group | None) -> None:
        previous = self._groups.pop(name, {})
        current = {i.name: i for i in group.instances} if group else {}
        for instance in previous.values():
            if current.get(instance.name) != instance:
                self._drop(instance.name)
        if group is None:
            return
        for instance in current.values():
            if previous.get(instance.name) != instance:
                self._add(group, instance)
        self._groups[name] = current

    def _add(self, group: Group, instance: Instance) -> None:
        address = Address.parse(instance.address)
        self.shared_node.add_target(group, instance)
        self.shared_node.pools[instance.name] = TargetPool(
            name=instance.name,
            address=address,
            connector=self.connector,
            limit=self.connections,
        )
        watch = TargetWatch(
            name=instance.name,
            address=address,
            connector=self.connector,
            events=self.events,
        )
        self._watches[instance.name] = watch
        watch.start()

    def _drop(self, name: str) -> None:
        self.shared_node.drop_target(name)
        self.shared_node.pools.pop(name).close()
        self._watches.pop(name).stop()
