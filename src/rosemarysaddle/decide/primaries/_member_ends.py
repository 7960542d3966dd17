"""Which former members of a group are known to have ended.

A member may go on after it has said that it leaves, or after another
one was registered at its address, and acknowledges writes meanwhile.
It has ended once its address refuses connections or another target
answers there, or once it has started again.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import attrs

from rosemarysaddle.decide._effects import CheckEnded, LogDecision
from rosemarysaddle.decide._times import NS_PER_MS

if TYPE_CHECKING:
    from collections.abc import Collection, Mapping, Sequence

    from rosemarysaddle.decide._effects import Effect
    from rosemarysaddle.decide.primaries._former_members import FormerMember
    from rosemarysaddle.decide.primaries._registry import TargetRecord

__all__ = ("MemberEnds",)

CHECK_TIMEOUT_MS: Final = 500
MIN_PAUSE_MS: Final = 50
# An address that answers nothing at all may stay like that for good.
MAX_PAUSE_MS: Final = 60_000


@attrs.define(kw_only=True)
class MemberEnds:
    """Ends of the former members of one group.

    :param group: name of the group
    """

    group: str
    # Time at which each was first seen to be removed, and was known to
    # have ended, by name and incarnation.
    _seen_ns: dict[tuple[str, int], int] = attrs.field(
        factory=dict, init=False
    )
    _ended_ns: dict[tuple[str, int], int] = attrs.field(
        factory=dict, init=False
    )
    # When the newest of them was seen, and the time of the next check.
    _newest_ns: int = attrs.field(default=0, init=False)
    _next_check_ns: int = attrs.field(default=0, init=False)

    def follow(
        self,
        members: Sequence[FormerMember],
        records: Mapping[str, TargetRecord],
        now_ns: int,
    ) -> bool:
        """Follow the present former members, and forget all others.

        One that was held for ended may have been registered again.

        :param members: former members of the group
        :param records: registered targets, by name
        :return: whether one of them is known to have ended just now
        """
        keys = {member.key for member in members}
        for known in (self._seen_ns, self._ended_ns):
            for key in known.keys() - keys:
                del known[key]
        has_new_end = False
        for member in members:
            if member.key not in self._seen_ns:
                self._seen_ns[member.key] = now_ns
                self._newest_ns = self._next_check_ns = now_ns
            if member.key in self._ended_ns:
                continue
            record = records.get(member.target)
            if record and record.incarnation_ms > member.incarnation_ms:
                self._ended_ns[member.key] = now_ns
                has_new_end = True
        return has_new_end

    def check(
        self, members: Sequence[FormerMember], now_ns: int
    ) -> list[Effect]:
        """Check the addresses of members that may run, when due."""
        running = [m for m in members if m.key not in self._ended_ns]
        if not running or now_ns < self._next_check_ns:
            return []
        deadline_ns = now_ns + CHECK_TIMEOUT_MS * NS_PER_MS
        self._next_check_ns = self._pause_until_ns(deadline_ns)
        return [
            CheckEnded(
                group=self.group,
                members=tuple(running),
                deadline_ns=deadline_ns,
            )
        ]

    def _pause_until_ns(self, now_ns: int) -> int:
        """Return the end of a pause, which doubles with each check."""
        pause_ns = max(now_ns - self._newest_ns, MIN_PAUSE_MS * NS_PER_MS)
        return now_ns + min(pause_ns, MAX_PAUSE_MS * NS_PER_MS)

    def record(
        self,
        members: Sequence[FormerMember],
        ended: Collection[tuple[str, int]],
        now_ns: int,
    ) -> list[LogDecision]:
        """Record the result of a check.

        :param ended: name and incarnation of each that has ended
        :return: a line for each whose end was not known before
        """
        self._next_check_ns = self._pause_until_ns(now_ns)
        found = [
            m
            for m in members
            if m.key in ended and m.key not in self._ended_ns
        ]
        self._ended_ns.update(dict.fromkeys((m.key for m in found), now_ns))
        return [self._describe(member, now_ns) for member in found]

    def _describe(self, member: FormerMember, now_ns: int) -> LogDecision:
        spent_ms = (now_ns - self._seen_ns[member.key]) // NS_PER_MS
        return LogDecision(
            event="former-member-ended",
            text=f"group={self.group} member={member.target}"
            f"@{member.incarnation_ms} address={member.address}"
            f" after_ms={spent_ms}",
        )

    def ended_before(self, at_ns: int) -> frozenset[tuple[str, int]]:
        """List the members that were known to have ended by a time."""
        return frozenset(k for k, ns in self._ended_ns.items() if ns <= at_ns)

    def started_ns(self, target: str) -> int:
        """Return since when the present incarnation is known, or 0."""
        return max(
            (at for key, at in self._seen_ns.items() if key[0] == target),
            default=0,
        )
