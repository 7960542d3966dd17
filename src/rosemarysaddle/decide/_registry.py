"""Targets that announce themselves: which word of theirs is news."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, Final

import attrs

if TYPE_CHECKING:
    from collections.abc import Mapping

    from rosemarysaddle.schema import Announcement

__all__ = ("TargetRecord", "TargetTable", "is_update", "record_of")

MAX_DEPARTED_TARGETS: Final = 4_096


@attrs.frozen(kw_only=True)
class TargetRecord:
    """What the control log holds of one target.

    :param incarnation_ms: time of day at which the target started
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
    """Take over the lasting part of an announcement."""
    return TargetRecord(
        target=announcement.target,
        group=announcement.group,
        address=announcement.address,
        data_center=announcement.data_center,
        slots=announcement.slots,
        incarnation_ms=announcement.incarnation_ms,
        leaving=announcement.leaving,
    )


@attrs.define(kw_only=True)
class TargetTable:
    """Targets on record, by name.

    :param gone_ms: newest incarnation of each target that left
    :param touched: groups whose targets changed since last taken
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

    def __attrs_post_init__(self) -> None:
        """Index the records."""
        for record in self.records.values():
            self._index(record)

    def put(self, record: TargetRecord) -> None:
        """Take a target over; it replaces another at its address."""
        other = self._by_address.get(record.address)
        if other is not None and other.target != record.target:
            self.drop(other.target, other.incarnation_ms)
        known = self.records.get(record.target)
        if known is not None:
            self._unindex(known)
        self.records[record.target] = record
        self._index(record)
        self.changed_groups.add(record.group)

    def drop(self, target: str, incarnation_ms: int) -> None:
        """Forget a target that is gone."""
        record = self.records.get(target)
        if record is None or record.incarnation_ms > incarnation_ms:
            return
        del self.records[target]
        self._unindex(record)
        self.changed_groups.add(record.group)
        self.gone_ms[target] = incarnation_ms
        if len(self.gone_ms) > MAX_DEPARTED_TARGETS:
            del self.gone_ms[next(iter(self.gone_ms))]

    def of_group(self, group: str) -> list[TargetRecord]:
        """List the targets of a group by name."""
        found = self._by_group.get(group, {})
        return [found[name] for name in sorted(found)]

    def at_address(self, address: str) -> TargetRecord | None:
        """Find the target at an address."""
        return self._by_address.get(address)

    def _index(self, record: TargetRecord) -> None:
        self._by_group.setdefault(record.group, {})[record.target] = record
        self._by_address[record.address] = record

    def _unindex(self, record: TargetRecord) -> None:
        group = self._by_group[record.group]
        del group[record.target]
        if not group:
            del self._by_group[record.group]
        if self._by_address.get(record.address) is record:
            del self._by_address[record.address]

    def dump(self) -> dict[str, Any]:
        """Render for a snapshot."""
        rows = [attrs.asdict(r) for r in self.records.values()]
        return {"records": rows, "gone_ms": self.gone_ms}

    @classmethod
    def load(cls, body: Mapping[str, Any]) -> TargetTable:
        """Rebuild from :meth:`dump`."""
        records = [TargetRecord(**row) for row in body["records"]]
        return cls(
            records={r.target: r for r in records},
            gone_ms=dict(body["gone_ms"]),
        )


def is_update(announcement: Announcement, table: TargetTable) -> bool:
    """Tell whether an announcement changes what is on record.

    A word of an earlier incarnation, of this target or of another at
    its address, may arrive late and is no news; a target that leaves
    does not come back within its incarnation.
    """
    born_ms = announcement.incarnation_ms
    if born_ms <= table.gone_ms.get(announcement.target, -1):
        return False
    known = table.records.get(announcement.target)
    if known is None:
        return not _is_older_at_address(announcement, table)
    if announcement.gone:
        return born_ms >= known.incarnation_ms
    if born_ms != known.incarnation_ms:
        return born_ms > known.incarnation_ms
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
