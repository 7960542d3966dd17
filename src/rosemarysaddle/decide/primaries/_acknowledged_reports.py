"""What entry hosts have told of the writes that they acknowledged.

They tell it when the term of a group is closed.  A target that has
reached the newest of these positions lacks no acknowledged write,
whoever else answers, if no host that may have acknowledged one in the
term is missing.  One behind the least of them lacks a write for sure.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from rosemarysaddle.decide.control_log._context import LeaderContext
    from rosemarysaddle.decide.primaries._terms import GroupTerm
    from rosemarysaddle.schema import GroupClosed

__all__ = ("AcknowledgedReports",)


@attrs.define(kw_only=True)
class _Reports:
    """Reports of the hosts about one term.

    :param served_in: term of the group that served last
    """

    served_in: int
    by_host: dict[str, GroupClosed] = attrs.field(factory=dict)


@attrs.define(kw_only=True)
class AcknowledgedReports:
    """Reports of entry hosts about groups that are being changed."""

    context: LeaderContext
    _reports: dict[str, _Reports] = attrs.field(factory=dict, init=False)

    def clear(self) -> None:
        """Forget all reports."""
        self._reports.clear()

    def forget(self, group: str) -> None:
        """Forget the reports of a group that has a primary again."""
        self._reports.pop(group, None)

    def record(self, closed: GroupClosed) -> None:
        """Record the report of a host that has closed a term.

        It stays true for later terms in which nobody served.
        """
        term = self.context.state.terms.get(closed.group)
        if term is None:
            return
        found = self._reports.get(closed.group)
        if found is None or found.served_in != term.served_in:
            found = _Reports(served_in=term.served_in)
            self._reports[closed.group] = found
        found.by_host[closed.host] = closed

    def least(self, group: str) -> tuple[int, int]:
        """Return a position that the newest write has reached."""
        found = self._reports.get(group)
        if found is None:
            return (0, 0)
        return max(
            (c.least_term, c.least_position) for c in found.by_host.values()
        )

    def newest(self, group: str) -> tuple[int, int] | None:
        """Return the position that no acknowledged write is after.

        :return: the position, or None if a host that may have
            acknowledged a write has told none
        """
        found = self._reports.get(group)
        term = self.context.state.terms.get(group)
        if found is None or term is None:
            return None
        if found.served_in != term.served_in or not self._has_all(found, term):
            return None
        start = next(
            (s for s in term.starts if s.term == term.served_in), None
        )
        if start is None or not start.log_term:
            return None
        told = [
            (c.newest_term, c.newest_position) for c in found.by_host.values()
        ]
        return max([(start.log_term, start.position), *told])

    def _has_all(self, found: _Reports, term: GroupTerm) -> bool:
        """Tell whether all hosts have reported that had a lease."""
        state = self.context.state
        if not 0 < term.served_index > state.holders_left_index:
            return False
        if not state.lease_holders <= found.by_host.keys():
            return False
        return all(closed.is_bounded for closed in found.by_host.values())
