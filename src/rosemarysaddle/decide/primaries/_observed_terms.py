"""Terms that targets show before the control hosts have recorded them.

Targets number the terms of their log themselves.  An answer of a later
term than the recorded one proves that a later promotion has taken
effect: the recorded primary has been replaced, whether it knows or not.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import attrs

from rosemarysaddle.decide._times import NS_PER_MS

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = ("ObservedTerm", "ObservedTerms")

REPORT_INTERVAL_MS: Final = 300
# A report may be lost, and no further answer has to follow.
REPEAT_INTERVAL_MS: Final = 1_000


@attrs.frozen(kw_only=True)
class ObservedTerm:
    """Term in the answer of a target of a group."""

    group: str
    target: str
    term: int


@attrs.define(kw_only=True)
class ObservedTerms:
    """Newest observed term of each group that is above the recorded."""

    _newest: dict[str, ObservedTerm] = attrs.field(factory=dict, init=False)
    _reported_ns: dict[str, int] = attrs.field(factory=dict, init=False)

    def record(self, observed: ObservedTerm) -> None:
        """Record a term that is above the recorded one."""
        if observed.term > self.newest(observed.group):
            self._newest[observed.group] = observed

    def newest(self, group: str) -> int:
        """Return the newest observed term of a group, or 0."""
        observed = self._newest.get(group)
        return observed.term if observed is not None else 0

    def start_report(self, group: str, now_ns: int) -> bool:
        """Tell whether a report about a group may be sent now.

        If so, the next one may follow after ``REPORT_INTERVAL_MS``.
        """
        due_ns = self._due_ns(group, REPORT_INTERVAL_MS)
        if now_ns < due_ns:
            return False
        self._reported_ns[group] = now_ns
        return True

    def due_reports(self, now_ns: int) -> list[ObservedTerm]:
        """List the observed terms whose report is due again."""
        return [
            observed
            for group, observed in self._newest.items()
            if now_ns >= self._due_ns(group, REPEAT_INTERVAL_MS)
        ]

    def forget_settled(
        self, find_recorded: Callable[[str], int | None], now_ns: int
    ) -> None:
        """Forget what has been recorded, and groups that are gone.

        :param find_recorded: returns the recorded term of a group, or
            None if the group is gone
        """
        for group, observed in list(self._newest.items()):
            recorded = find_recorded(group)
            if recorded is None or recorded >= observed.term:
                del self._newest[group]
        for group in list(self._reported_ns):
            is_old = now_ns >= self._due_ns(group, REPORT_INTERVAL_MS)
            if is_old and group not in self._newest:
                del self._reported_ns[group]

    def _due_ns(self, group: str, interval_ms: int) -> int:
        if group not in self._reported_ns:
            return 0
        return self._reported_ns[group] + interval_ms * NS_PER_MS
