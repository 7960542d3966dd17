"""Inventory in force, indexed by name, and patches of it."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from rosemarysaddle.schema import Inventory, InventoryPatch, SchemaFault

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from rosemarysaddle.decide.primaries._terms import GroupTerm
    from rosemarysaddle.schema import Group, Instance, Tenant

__all__ = ("InventoryTable",)


@attrs.define(kw_only=True)
class InventoryTable:
    """Groups and tenants, indexed by name.

    The cost of a patch depends on what it names, not on the size of the
    inventory.

    :param changed_groups: groups that changed since a reader last
        removed them from this set
    """

    groups: dict[str, Group] = attrs.field(factory=dict)
    tenants: dict[str, Tenant] = attrs.field(factory=dict)
    changed_groups: set[str] = attrs.field(factory=set, eq=False)
    _group_by_instance: dict[str, str] = attrs.field(factory=dict)
    _instance_by_address: dict[str, str] = attrs.field(factory=dict)
    _tenants_by_group: dict[str, set[str]] = attrs.field(factory=dict)

    @classmethod
    def of(cls, inventory: Inventory) -> InventoryTable:
        """Build the table from a whole inventory."""
        table = cls()
        table.patch(_as_patch(inventory))
        return table

    def document(self) -> Inventory:
        """Return the whole inventory as a document."""
        return Inventory(
            groups=tuple(self.groups.values()),
            tenants=tuple(self.tenants.values()),
        )

    def instance(self, name: str) -> Instance | None:
        """Look up an instance by name."""
        group = self.groups.get(self._group_by_instance.get(name, ""))
        if group is None:
            return None
        return next(i for i in group.instances if i.name == name)

    def group_of(self, instance: str) -> str:
        """Return the group of an instance, or an empty string."""
        return self._group_by_instance.get(instance, "")

    def patch(self, patch: InventoryPatch) -> None:
        """Apply a patch that :meth:`check` has accepted."""
        for name in patch.remove_groups:
            self._drop_group(name)
        for group in patch.put_groups:
            self._drop_group(group.name)
            self._put_group(group)
        for name in patch.remove_tenants:
            self._drop_tenant(name)
        for tenant in patch.put_tenants:
            self._drop_tenant(tenant.name)
            self.tenants[tenant.name] = tenant
            for used in tenant.groups:
                self._tenants_by_group.setdefault(used, set()).add(tenant.name)

    def difference(self, inventory: Inventory) -> InventoryPatch:
        """Compute the patch that leads to a whole inventory."""
        groups = {g.name for g in inventory.groups}
        tenants = {t.name for t in inventory.tenants}
        return InventoryPatch(
            put_groups=tuple(
                g for g in inventory.groups if self.groups.get(g.name) != g
            ),
            remove_groups=tuple(n for n in self.groups if n not in groups),
            put_tenants=tuple(
                t for t in inventory.tenants if self.tenants.get(t.name) != t
            ),
            remove_tenants=tuple(n for n in self.tenants if n not in tenants),
        )

    def check(
        self,
        patch: InventoryPatch,
        terms: Mapping[str, GroupTerm],
        *,
        source: str,
    ) -> SchemaFault | None:
        """Check a patch against the inventory in force.

        :param terms: current term of each group
        :param source: identifier of the change, named in a fault
        :return: fault with path and reason of the refusal, else None
        """
        return (
            _check_duplicates(patch, source)
            or self._check_conflicts(patch, source)
            or self._check_tenants(patch, source)
            or self._check_groups(patch, terms, source)
        )

    def _put_group(self, group: Group) -> None:
        self.groups[group.name] = group
        self.changed_groups.add(group.name)
        for instance in group.instances:
            self._group_by_instance[instance.name] = group.name
            self._instance_by_address[instance.address] = instance.name

    def _drop_group(self, name: str) -> None:
        group = self.groups.pop(name, None)
        if group is None:
            return
        self.changed_groups.add(name)
        for instance in group.instances:
            self._group_by_instance.pop(instance.name, None)
            self._instance_by_address.pop(instance.address, None)

    def _drop_tenant(self, name: str) -> None:
        tenant = self.tenants.pop(name, None)
        for used in tenant.groups if tenant else ():
            self._tenants_by_group[used].discard(name)

    def _check_conflicts(
        self, patch: InventoryPatch, source: str
    ) -> SchemaFault | None:
        replaced = {*patch.remove_groups, *(g.name for g in patch.put_groups)}
        for number, group in enumerate(patch.put_groups):
            path = f"$.put_groups[{number}].instances"
            for instance in group.instances:
                owner = self._group_by_instance.get(instance.name, "")
                if owner and owner not in replaced:
                    reason = f"instance named twice: {instance.name}"
                    return _fault(source, path, reason)
                user = self._instance_by_address.get(instance.address, "")
                if user and self._group_by_instance[user] not in replaced:
                    reason = f"address used twice: {instance.address}"
                    return _fault(source, path, reason)
        return None

    def _check_tenants(
        self, patch: InventoryPatch, source: str
    ) -> SchemaFault | None:
        removed = set(patch.remove_groups)
        added = {g.name for g in patch.put_groups}
        for number, tenant in enumerate(patch.put_tenants):
            for group in tenant.groups:
                if group in added:
                    continue
                if group in removed or group not in self.groups:
                    path = f"$.put_tenants[{number}].groups"
                    reason = f"strands tenant {tenant.name}: no group {group}"
                    return _fault(source, path, reason)
        return None

    def _check_groups(
        self,
        patch: InventoryPatch,
        terms: Mapping[str, GroupTerm],
        source: str,
    ) -> SchemaFault | None:
        changed = {t.name for t in patch.put_tenants}
        changed.update(patch.remove_tenants)
        for number, name in enumerate(patch.remove_groups):
            users = self._tenants_by_group.get(name, set()) - changed
            if users:
                path = f"$.remove_groups[{number}]"
                reason = f"strands tenant {min(users)}: no group {name}"
                return _fault(source, path, reason)
        for number, group in enumerate(patch.put_groups):
            term = terms.get(group.name)
            members = {i.name for i in group.instances}
            if term is not None and term.primary not in members:
                path = f"$.put_groups[{number}].instances"
                reason = f"strands group: {term.primary} is its primary"
                return _fault(source, path, reason)
        return None


def _as_patch(inventory: Inventory) -> InventoryPatch:
    return InventoryPatch(
        put_groups=inventory.groups, put_tenants=inventory.tenants
    )


def _check_duplicates(
    patch: InventoryPatch, source: str
) -> SchemaFault | None:
    instances = [i for g in patch.put_groups for i in g.instances]
    checks = (
        ("$.groups", (g.name for g in patch.put_groups), "group"),
        ("$.groups", (i.name for i in instances), "instance"),
        ("$.groups", (i.address for i in instances), "address"),
        ("$.tenants", (t.name for t in patch.put_tenants), "tenant"),
    )
    for path, values, what in checks:
        duplicate = _first_duplicate(values)
        if duplicate:
            return _fault(source, path, f"{what} given twice: {duplicate}")
    return None


def _first_duplicate(values: Iterable[str]) -> str:
    seen: set[str] = set()
    for value in values:
        if value in seen:
            return value
        seen.add(value)
    return ""


def _fault(source: str, path: str, reason: str) -> SchemaFault:
    return SchemaFault(source=source, path=path, reason=reason)
