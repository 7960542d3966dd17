"""Departures: replacement of primaries that announced their stop.

The primary of an open group that is about to stop, or that is gone, has
to be replaced for as long as another target stays.  That follows from
the state alone: a group is examined until its primary stays, whatever
became of earlier changes.
"""

from __future__ import annotations

import enum
import json
from typing import TYPE_CHECKING, Final

import attrs

from rosemarysaddle.decide._effects import Effect, ProbeGroup, TargetReport
from rosemarysaddle.decide._times import NS_PER_MS
from rosemarysaddle.decide.control_log._state import EntryKind
from rosemarysaddle.decide.primaries._criteria import SuccessorCriteria
from rosemarysaddle.decide.primaries._primaries import (
    PROBE_TIMEOUT_MS,
    RETRY_DELAY_MS,
)
from rosemarysaddle.decide.primaries._succession import (
    has_ready_successor,
    registered_reports,
)

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from rosemarysaddle.decide.control_log._context import LeaderContext
    from rosemarysaddle.decide.primaries._primaries import PrimaryManager
    from rosemarysaddle.decide.primaries._registry import TargetRecord
    from rosemarysaddle.decide.primaries._terms import GroupTerm
    from rosemarysaddle.schema import LogEntry

__all__ = (
    "SUCCESSOR_ATTEMPT",
    "Departure",
    "DepartureManager",
    "DepartureStatus",
)

# Attempt number of a probe for a successor; it differs from those that
# `_primaries`, `_reconciler` and `_relief` use.
SUCCESSOR_ATTEMPT: Final = -4
# A leaving primary serves for some seconds more than this, which the
# change takes that then starts without a successor in sight.
SUCCESSOR_SEARCH_MS: Final = 3_000


class DepartureStatus(enum.StrEnum):
    """What the replacement of a leaving primary waits for."""

    CHANGING = "changing"
    """The end of the change in progress."""
    WAITS_FOR_SUCCESSOR = "waits-for-successor"
    """A target that has received nearly all writes."""
    WAITS_FOR_LEASES = "waits-for-leases"
    """Leases of an earlier leader that are not listed."""
    NO_OTHER_TARGET = "no-other-target"
    """A target of the group that stays."""


@attrs.frozen(kw_only=True)
class Departure:
    """Group whose primary is about to stop."""

    group: str
    primary: str
    status: DepartureStatus


@attrs.define(kw_only=True)
class _SuccessorSearch:
    """Search for a target that can replace a primary.

    The group stays open meanwhile, so that its writes go on.

    :param primary: primary to replace
    :param deadline_ns: time from which the change starts in any case
    :param retry_at_ns: time of the next probe
    """

    primary: str
    deadline_ns: int
    retry_at_ns: int = 0


@attrs.define(kw_only=True)
class DepartureManager:
    """Replaces primaries of the route plan that leave or are gone."""

    context: LeaderContext
    primaries: PrimaryManager
    # The others are known to have a primary that stays.
    _groups_to_examine: set[str] = attrs.field(factory=set, init=False)
    _searches: dict[str, _SuccessorSearch] = attrs.field(
        factory=dict, init=False
    )

    def on_elected(self) -> None:
        """Reset the state when this host is elected leader."""
        self._groups_to_examine = set(self.context.state.routes.groups)
        self._searches.clear()

    def on_applied(self, entry: LogEntry) -> None:
        """Examine a group whose new term has been committed.

        The new primary may have announced its stop meanwhile.
        """
        if entry.kind == EntryKind.OPEN:
            self.examine([json.loads(entry.payload)["group"]])

    def examine(self, groups: Iterable[str]) -> None:
        """Examine groups with the next tick."""
        self._groups_to_examine.update(groups)

    def tick(self, now_ns: int) -> list[Effect]:
        """Search for successors, and start the changes that are due."""
        effects: list[Effect] = []
        # A change now would block writes until the leases of an earlier
        # leader have expired.  A leaving target serves for longer than
        # that, so the change can wait.
        if not self.context.lists_all_leases(now_ns):
            return effects
        waiting = self._groups_to_examine - self.primaries.changes.keys()
        for group in sorted(waiting):
            term = self._departing_term(group)
            if term is None:
                self._groups_to_examine.discard(group)
                self._searches.pop(group, None)
            else:
                effects.extend(self._replace(group, term.primary, now_ns))
        return effects

    def on_probe(
        self, group: str, reports: Sequence[TargetReport], now_ns: int
    ) -> list[Effect]:
        """Start the change of a group if another target is ready."""
        search = self._searches.get(group)
        term = self._departing_term(group)
        if search is None or term is None:
            return []
        search.retry_at_ns = now_ns + RETRY_DELAY_MS * NS_PER_MS
        records = self.context.state.targets.of_group(group)
        is_ready = has_ready_successor(
            registered_reports(reports, records),
            SuccessorCriteria.of_group(term, records),
        )
        if not is_ready or not self.context.lists_all_leases(now_ns):
            return []
        return self._start_change(group, now_ns)

    def list_departures(self, now_ns: int) -> list[Departure]:
        """List the groups whose primary has announced its stop.

        :param now_ns: monotonic time, in nanoseconds
        """
        return [
            Departure(
                group=record.group,
                primary=record.target,
                status=self._status(record.group, now_ns),
            )
            for record in self.context.state.targets.leaving
            if self._is_primary(record)
        ]

    def _is_primary(self, record: TargetRecord) -> bool:
        term = self.context.state.terms.get(record.group)
        return term is not None and term.primary == record.target

    def _status(self, group: str, now_ns: int) -> DepartureStatus:
        if group in self.primaries.changes:
            return DepartureStatus.CHANGING
        if not self.context.lists_all_leases(now_ns):
            return DepartureStatus.WAITS_FOR_LEASES
        if not self._choose_replacement(group):
            return DepartureStatus.NO_OTHER_TARGET
        return DepartureStatus.WAITS_FOR_SUCCESSOR

    def _departing_term(self, group: str) -> GroupTerm | None:
        """Return the open term of a group whose primary has to go."""
        state = self.context.state
        term = state.terms.get(group)
        if term is None or not term.is_open:
            return None
        if group not in state.routes.groups:
            return None
        record = state.targets.records.get(term.primary)
        if record is None or record.group != group or record.leaving:
            return term
        return None

    def _replace(self, group: str, primary: str, now_ns: int) -> list[Effect]:
        """Probe for a successor, or start the change without one."""
        if not self._choose_replacement(group):
            return []
        search = self._searches.get(group)
        if search is None or search.primary != primary:
            search = self._searches[group] = _SuccessorSearch(
                primary=primary,
                deadline_ns=now_ns + SUCCESSOR_SEARCH_MS * NS_PER_MS,
            )
        is_registered = primary in self.context.state.targets.records
        if now_ns >= search.deadline_ns or not is_registered:
            return self._start_change(group, now_ns)
        if now_ns < search.retry_at_ns:
            return []
        deadline_ns = now_ns + PROBE_TIMEOUT_MS * NS_PER_MS
        search.retry_at_ns = deadline_ns + RETRY_DELAY_MS * NS_PER_MS
        return [
            ProbeGroup(
                group=group,
                attempt=SUCCESSOR_ATTEMPT,
                deadline_ns=deadline_ns,
                quorum=len(self.context.instances(group)),
            )
        ]

    def _start_change(self, group: str, now_ns: int) -> list[Effect]:
        search = self._searches.pop(group)
        return self.primaries.start_planned_change(
            group,
            self._choose_replacement(group),
            now_ns,
            # The probes of the search have opened the connections.
            is_warm=search.retry_at_ns > 0,
        )

    def _choose_replacement(self, group: str) -> str:
        records = self.context.state.targets.of_group(group)
        return next((r.target for r in records if not r.leaving), "")
