"""Relief of a primary whose replicas have fallen behind.

Designed for replicas that receive all writes but apply them many
seconds late.  The primary then has to serve the reads of its group too,
and refuses what exceeds its slots.  A replica that is promoted begins
with all that it has received, and the former primary, which has applied
everything, serves reads as a replica.  A change stops the group's
writes for a few seconds, so it is worth it only if the replicas have
been behind for longer than that.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import attrs

from rosemarysaddle.decide._effects import Effect, ProbeGroup, TargetReport
from rosemarysaddle.decide._times import NS_PER_MS
from rosemarysaddle.decide.primaries._change import Evidence
from rosemarysaddle.decide.primaries._primaries import PROBE_TIMEOUT_MS
from rosemarysaddle.decide.primaries._succession import (
    MAX_MISSING_WRITES,
)
from rosemarysaddle.decide.reads._freshness import newer_point
from rosemarysaddle.decide.reads._token import LogPoint

if TYPE_CHECKING:
    from collections.abc import Collection, Mapping, Sequence

    from rosemarysaddle.decide.control_log._context import LeaderContext
    from rosemarysaddle.decide.primaries._primaries import PrimaryManager
    from rosemarysaddle.schema import ReplicasBehind

__all__ = (
    "RELIEF_ATTEMPT",
    "PrimaryRelief",
    "ReliefRequests",
    "choose_relief",
)

# Attempt number of a probe for a relief; it differs from those that
# `_primaries` and `_reconciler` use.
RELIEF_ATTEMPT: Final = -3
# A change costs the group two to three seconds of its writes.  Replicas
# that have been behind for longer are likely to stay so for as long.
MIN_DURATION_MS: Final = 4_000
# Hosts report once a second while they refuse statements.
REPORT_WINDOW_MS: Final = 2_500
MIN_HOSTS: Final = 3
# The next change of the group is not started before the replicas have
# had the time to catch up.
COOL_DOWN_MS: Final = 30_000
# If no replica could relieve the primary, one that was lost, or whose
# status could not be read, is usually back by then.
RETRY_MS: Final = 8_000


@attrs.define(kw_only=True)
class _Reports:
    """Reports about one group.

    :param point: newest log point of the primary in any report
    """

    evidence: Evidence
    point: LogPoint | None = None


@attrs.frozen(kw_only=True)
class _Attempt:
    """Attempt to relieve a primary.

    :param primary: primary at that time
    """

    primary: str
    at_ns: int


@attrs.define(kw_only=True)
class ReliefRequests:
    """Reports of hosts that refuse reads which no replica can serve."""

    _reports: dict[str, _Reports] = attrs.field(factory=dict, init=False)
    _attempts: dict[str, _Attempt] = attrs.field(factory=dict, init=False)

    def clear(self) -> None:
        """Forget all reports, as another host led meanwhile."""
        self._reports.clear()

    def record(self, report: ReplicasBehind, now_ns: int) -> None:
        """Record the report of a host."""
        found = self._reports.get(report.group)
        if found is None or found.evidence.term != report.term:
            evidence = Evidence(
                term=report.term,
                first_ns=now_ns,
                window_ms=REPORT_WINDOW_MS,
                min_hosts=MIN_HOSTS,
            )
            found = self._reports[report.group] = _Reports(evidence=evidence)
        found.evidence.add(report.host, now_ns)
        point = LogPoint(
            term=report.point_term, position=report.point_position
        )
        found.point = newer_point(found.point, point)

    def is_due(
        self,
        group: str,
        primary: str,
        centers: Mapping[str, str],
        *,
        live_centers: int,
        now_ns: int,
    ) -> bool:
        """Tell whether enough hosts have reported for long enough.

        :param primary: present primary of the group
        :param centers: data centre of each known host
        :param live_centers: number of data centres of the live hosts
        """
        found = self._reports.get(group)
        if found is None or now_ns < self._next_attempt_ns(group, primary):
            return False
        evidence = found.evidence
        return evidence.has_lasted(
            MIN_DURATION_MS, now_ns
        ) and evidence.has_host_quorum(
            centers, live_centers=live_centers, now_ns=now_ns
        )

    def _next_attempt_ns(self, group: str, primary: str) -> int:
        attempt = self._attempts.get(group)
        if attempt is None:
            return 0
        is_relieved = attempt.primary != primary
        wait_ms = COOL_DOWN_MS if is_relieved else RETRY_MS
        return attempt.at_ns + wait_ms * NS_PER_MS

    def point(self, group: str) -> LogPoint | None:
        """Return the newest reported log point of a group's primary."""
        found = self._reports.get(group)
        return found.point if found is not None else None

    def begin(self, group: str, primary: str, now_ns: int) -> None:
        """Record an attempt to relieve a primary."""
        self._attempts[group] = _Attempt(primary=primary, at_ns=now_ns)


def choose_relief(
    reports: Sequence[TargetReport],
    *,
    leaving: Collection[str],
    point: LogPoint,
) -> str:
    """Choose the replica to promote in place of the primary.

    The status of the primary is not needed, as it may be too full to
    accept another connection.

    :param reports: status of the targets of the group
    :param leaving: targets that are about to stop
    :param point: newest log point of the primary that is known
    :return: a replica that has received nearly all writes, or empty
    """
    candidates = [
        r
        for r in reports
        if r.role == "replica"
        and r.progress[0] == point.term
        and r.target not in leaving
        and r.position + MAX_MISSING_WRITES >= point.position
    ]
    if not candidates:
        return ""
    return max(candidates, key=lambda r: (r.position, r.target)).target


@attrs.define(kw_only=True)
class PrimaryRelief:
    """Lets replicas relieve primaries that serve all reads."""

    context: LeaderContext
    primaries: PrimaryManager
    _requests: ReliefRequests = attrs.field(factory=ReliefRequests, init=False)

    def on_elected(self) -> None:
        """Reset the state when this host is elected leader."""
        self._requests.clear()

    def on_report(self, report: ReplicasBehind, now_ns: int) -> list[Effect]:
        """Handle a report that a primary serves all reads of its group.

        Once enough hosts have reported for long enough, the status of
        the group's targets is read, to find a replica that can relieve
        the primary.
        """
        group = report.group
        term = self.context.state.terms.get(group)
        if term is None or term.term != report.term or not term.is_serving:
            return []
        if group not in self.context.state.routes.groups:
            return []
        if not self._may_change(now_ns):
            return []
        self._requests.record(report, now_ns)
        is_due = self._requests.is_due(
            group,
            term.primary,
            self.context.centers,
            live_centers=len(self._live_centers(now_ns)),
            now_ns=now_ns,
        )
        if not is_due:
            return []
        self._requests.begin(group, term.primary, now_ns)
        return [
            ProbeGroup(
                group=group,
                attempt=RELIEF_ATTEMPT,
                deadline_ns=now_ns + PROBE_TIMEOUT_MS * NS_PER_MS,
                quorum=len(self.context.instances(group)),
            )
        ]

    def on_probe(
        self, group: str, reports: Sequence[TargetReport], now_ns: int
    ) -> list[Effect]:
        """Start a change if a replica can relieve the primary."""
        point = self._requests.point(group)
        if point is None or not self._may_change(now_ns):
            return []
        records = self.context.state.targets.of_group(group)
        leaving = {r.target for r in records if r.leaving}
        chosen = choose_relief(reports, leaving=leaving, point=point)
        if not chosen:
            return []
        return self.primaries.start_planned_change(
            group, chosen, now_ns, keeps_former=True
        )

    def _may_change(self, now_ns: int) -> bool:
        """Tell whether a change may start; one at a time at most."""
        return (
            not self.primaries.changes
            and self.context.leads(now_ns)
            and self.context.lists_all_leases(now_ns)
        )

    def _live_centers(self, now_ns: int) -> set[str]:
        centers = self.context.centers
        holders = self.context.leases.deadlines_ns(now_ns)
        return {centers[h] for h in holders if h in centers}
