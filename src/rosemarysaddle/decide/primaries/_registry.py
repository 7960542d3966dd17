"""Registry of the targets that announce themselves.

Announcements may arrive late, repeatedly and out of order, so the
module also decides which of them update the registry.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, Final

import attrs

from rosemarysaddle._formats import (
    MAX_NUMBER,
    is_address,
    is_name,
    is_number,
)

if TYPE_CHECKING:
    from collections.abc import Mapping

    from rosemarysaddle.schema import Announcement

__all__ = (
    "TargetRecord",
    "TargetTable",
    "is_outdated",
    "is_update",
    "is_well_formed",
    "record_of",
)

MAX_DEPARTED_TARGETS: Final = 4_096


@attrs.frozen(kw_only=True)
class TargetRecord:
    """Record of one target in the control log.

    :param target: name of the target
    :param group: name of its group
    :param address: address at which it accepts connections
    :param data_center: data centre in which it runs
    :param slots: number of statements that it runs at once
    :param incarnation_ms: time of day at which the target started, in
        milliseconds
    :param leaving: whether it announced its planned stop
    """

    target: str
    group: str
    address: str
    data_center: str
    slots: int
    incarnation_ms: int
    leaving: bool


def record_of(announcement: Announcement) -> TargetRecord:
    """Build a record from the lasting part of an announcement."""
    return TargetRecord(
        target=announcement.target,
        group=announcement.group,
        address=announcement.address,
        data_center=announcement.data_center,
        slots=announcement.slots,
        incarnation_ms=announcement.incarnation_ms,
        leaving=announcement.leaving,
    )


def is_well_formed(record: TargetRecord) -> bool:
    """Tell whether hosts can use a record.

    The platform's adapter lets no other one pass; earlier builds did,
    and their records may still be in a log.
    """
    names = (record.target, record.group, record.data_center)
    numbers = (record.slots, record.incarnation_ms)
    return (
        all(is_name(name) for name in names)
        and is_address(record.address)
        and all(is_number(n, 0, MAX_NUMBER) for n in numbers)
    )


@attrs.define(kw_only=True)
class TargetTable:
    """Table of the registered targets.

    :param records: record of each target, by name
    :param gone_ms: newest incarnation of each target that is gone, at
        most ``MAX_DEPARTED_TARGETS`` entries
    :param changed_groups: groups whose targets changed since the set
        was last cleared
    """

    records: dict[str, TargetRecord] = attrs.field(factory=dict)
    gone_ms: dict[str, int] = attrs.field(factory=dict)
    changed_groups: set[str] = attrs.field(factory=set, eq=False)
    _by_group: dict[str, dict[str, TargetRecord]] = attrs.field(
        factory=dict, init=False, eq=False
    )
    _by_address: dict[str, TargetRecord] = attrs.field(
        factory=dict, init=False, eq=False
    )
    _leaving: dict[str, TargetRecord] = attrs.field(
        factory=dict, init=False, eq=False
    )

    def __attrs_post_init__(self) -> None:
        """Build the indexes of the records."""
        for record in self.records.values():
            self._index(record)

    def put(self, record: TargetRecord) -> list[TargetRecord]:
        """Add or replace a target and drop another at its address.

        :return: records of the incarnations that it replaces
        """
        replaced = []
        other = self._by_address.get(record.address)
        if other is not None and other.target != record.target:
            replaced.extend(self.drop(other.target, other.incarnation_ms))
        known = self.records.get(record.target)
        if known is not None:
            self._unindex(known)
            self.changed_groups.add(known.group)
            if not _is_same_member(known, record):
                replaced.append(known)
        # The incarnation is not gone: see ContestedTargets.
        if self.gone_ms.get(record.target, -1) >= record.incarnation_ms:
            del self.gone_ms[record.target]
        self.records[record.target] = record
        self._index(record)
        self.changed_groups.add(record.group)
        return replaced

    def drop(self, target: str, incarnation_ms: int) -> list[TargetRecord]:
        """Remove a target that is gone.

        Nothing changes if a newer incarnation is registered.

        :param incarnation_ms: incarnation that is gone
        :return: the record that was removed, if there was one
        """
        record = self.records.get(target)
        if record is None or record.incarnation_ms > incarnation_ms:
            return []
        del self.records[target]
        self._unindex(record)
        self.changed_groups.add(record.group)
        self.gone_ms[target] = incarnation_ms
        if len(self.gone_ms) > MAX_DEPARTED_TARGETS:
            del self.gone_ms[next(iter(self.gone_ms))]
        return [record]

    def of_group(self, group: str) -> list[TargetRecord]:
        """List the targets of a group, sorted by name."""
        found = self._by_group.get(group, {})
        return [found[name] for name in sorted(found)]

    def at_address(self, address: str) -> TargetRecord | None:
        """Find the target registered at an address."""
        return self._by_address.get(address)

    @property
    def leaving(self) -> list[TargetRecord]:
        """Targets that have announced their planned stop."""
        return list(self._leaving.values())

    def _index(self, record: TargetRecord) -> None:
        self._by_group.setdefault(record.group, {})[record.target] = record
        self._by_address[record.address] = record
        if record.leaving:
            self._leaving[record.target] = record

    def _unindex(self, record: TargetRecord) -> None:
        group = self._by_group[record.group]
        del group[record.target]
        if not group:
            del self._by_group[record.group]
        self._leaving.pop(record.target, None)
        if self._by_address.get(record.address) is record:
            del self._by_address[record.address]

    def dump(self) -> dict[str, Any]:
        """Convert to JSON values for a snapshot."""
        rows = [attrs.asdict(r) for r in self.records.values()]
        return {"records": rows, "gone_ms": self.gone_ms}

    @classmethod
    def load(cls, body: Mapping[str, Any]) -> TargetTable:
        """Rebuild the table from the result of :meth:`dump`."""
        records = [TargetRecord(**row) for row in body["records"]]
        return cls(
            records={r.target: r for r in records if is_well_formed(r)},
            gone_ms=dict(body["gone_ms"]),
        )


def is_outdated(announcement: Announcement, table: TargetTable) -> bool:
    """Tell whether the table holds that a target has ended.

    It knows a later incarnation of the target or of its address, or
    that the target is gone.
    """
    started_ms = announcement.incarnation_ms
    if started_ms <= table.gone_ms.get(announcement.target, -1):
        return True
    known = table.records.get(announcement.target)
    if known is None:
        return _is_older_at_address(announcement, table)
    return started_ms < known.incarnation_ms


def is_update(announcement: Announcement, table: TargetTable) -> bool:
    """Tell whether an announcement changes the table.

    An announcement of an earlier incarnation, of this target or of
    another one at its address, may arrive late and changes nothing.  A
    target that is leaving does not come back within its incarnation.
    """
    if is_outdated(announcement, table):
        return False
    known = table.records.get(announcement.target)
    if known is None or announcement.gone:
        return True
    if announcement.incarnation_ms != known.incarnation_ms:
        return True
    if known.leaving and not announcement.leaving:
        return False
    return record_of(announcement) != known


def _is_older_at_address(
    announcement: Announcement, table: TargetTable
) -> bool:
    if announcement.gone:
        return True
    other = table.at_address(announcement.address)
    return other is not None and (
        other.incarnation_ms > announcement.incarnation_ms
    )


def _is_same_member(known: TargetRecord, record: TargetRecord) -> bool:
    """Tell whether two records are of one incarnation in one group."""
    return (known.group, known.incarnation_ms) == (
        record.group,
        record.incarnation_ms,
    )
