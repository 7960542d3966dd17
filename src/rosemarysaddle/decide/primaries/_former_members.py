"""Former members of groups that may hold acknowledged writes.

With synchronous replicas, a write is acknowledged once so many of the
replicas have received it that the group had at that time.  One that
leaves, or that starts again with nothing, takes along what it has
received.  It counts as a replica that does not answer until enough
others are known to hold all that it could have acknowledged.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, Final

import attrs

if TYPE_CHECKING:
    from collections.abc import Collection, Mapping, Sequence

    from rosemarysaddle.decide.primaries._registry import TargetRecord

__all__ = (
    "MAX_FORMER_MEMBERS",
    "FormerMember",
    "FormerMemberTable",
    "find_continued",
)

# So many more silent replicas than registered ones rule out a choice by
# counting anyway.
MAX_FORMER_MEMBERS: Final = 64


@attrs.frozen(kw_only=True)
class FormerMember:
    """Incarnation of a target that belongs to its group no more.

    :param target: name of the target
    :param incarnation_ms: time of day at which it started, in
        milliseconds
    :param address: address at which it accepted connections
    :param was_leaving: whether it had announced its planned stop
    :param led_term: term, as targets number theirs, in which it was the
        primary when it was removed; 0 if it was a replica
    """

    target: str
    incarnation_ms: int
    address: str
    was_leaving: bool
    led_term: int = 0

    @property
    def key(self) -> tuple[str, int]:
        """Name and incarnation."""
        return (self.target, self.incarnation_ms)


def find_continued(
    record: TargetRecord, members: Sequence[FormerMember]
) -> list[FormerMember]:
    """Find the former members whose log a target was given.

    The target that takes the address of one that has stopped as planned
    starts with its log; one that starts again under its name has none.

    :param members: former members of its group, oldest first
    """
    found: list[FormerMember] = []
    for member in reversed(members):
        if member.address != record.address:
            continue
        if not member.was_leaving or member.target == record.target:
            break
        found.append(member)
    return found


@attrs.frozen(kw_only=True)
class _LowestCount:
    """Lowest number of synchronous replicas that may still matter.

    :param plan_version: version of the plan that last changed it
    """

    sync_replicas: int
    plan_version: int


@attrs.define(kw_only=True)
class FormerMemberTable:
    """Former members of all groups with synchronous replicas."""

    _members: dict[str, tuple[FormerMember, ...]] = attrs.field(factory=dict)
    _lowest: dict[str, _LowestCount] = attrs.field(factory=dict)

    @property
    def groups(self) -> set[str]:
        """Groups of which not all is known to be held by others."""
        return {*self._members, *self._lowest}

    @property
    def count(self) -> int:
        """Number of former members that still count."""
        return sum(len(members) for members in self._members.values())

    def has_lower_count(self, group: str) -> bool:
        """Tell whether an earlier plan asked for fewer replicas."""
        return group in self._lowest

    def of_group(self, group: str) -> tuple[FormerMember, ...]:
        """List the former members of a group, oldest first."""
        return self._members.get(group, ())

    def sync_replicas(self, group: str, current: int) -> int:
        """Return the least number of replicas that hold a write.

        :param current: number that the plan asks for now
        """
        lowest = self._lowest.get(group)
        return (
            current if lowest is None else min(current, lowest.sync_replicas)
        )

    def add(self, group: str, member: FormerMember) -> None:
        """Add a member that was removed from a group."""
        others = [m for m in self.of_group(group) if m.key != member.key]
        kept = (*others, member)[-MAX_FORMER_MEMBERS:]
        self._members[group] = kept

    def remove(self, group: str, keys: Collection[tuple[str, int]]) -> None:
        """Remove members that count no more.

        :param keys: name and incarnation of each
        """
        kept = tuple(m for m in self.of_group(group) if m.key not in keys)
        if kept:
            self._members[group] = kept
        else:
            self._members.pop(group, None)

    def change_sync_replicas(
        self, group: str, *, before: int, after: int, plan_version: int
    ) -> None:
        """Follow a change of the number of synchronous replicas.

        Writes that were acknowledged under a lower number are held by
        fewer replicas.  Without one, no write is promised to survive.
        """
        if not after:
            self.forget(group)
        elif before < after:
            lowest = self.sync_replicas(group, before)
            self._lowest[group] = _LowestCount(
                sync_replicas=lowest, plan_version=plan_version
            )

    def confirm_sync_replicas(self, group: str, plan_version: int) -> None:
        """Note that all writes are held as a plan asks for.

        :param plan_version: plan that was in force when that was read
        """
        lowest = self._lowest.get(group)
        if lowest is not None and lowest.plan_version <= plan_version:
            del self._lowest[group]

    def forget(self, group: str) -> None:
        """Forget a group without synchronous replicas."""
        self._members.pop(group, None)
        self._lowest.pop(group, None)

    def dump(self) -> dict[str, Any]:
        """Convert to JSON values for a snapshot."""
        return {
            "members": {
                group: [attrs.asdict(m) for m in members]
                for group, members in self._members.items()
            },
            "lowest": {
                group: attrs.asdict(lowest)
                for group, lowest in self._lowest.items()
            },
        }

    @classmethod
    def load(cls, body: Mapping[str, Any]) -> FormerMemberTable:
        """Rebuild the table from the result of :meth:`dump`."""
        return cls(
            members={
                group: tuple(FormerMember(**row) for row in rows)
                for group, rows in body.get("members", {}).items()
            },
            lowest={
                group: _LowestCount(**row)
                for group, row in body.get("lowest", {}).items()
            },
        )
