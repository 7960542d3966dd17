"""Repair of a host whose route plan differs from that of the others.

Hosts apply the same entries, and a patch names the version that it
changes.  One that does not fit shows that a host has skipped an earlier
entry which others have applied, or the other way round.  The host then
reports it, and gets the whole plan with an entry that all others
ignore, as they hold that version already.
"""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Final

import attrs

from rosemarysaddle.decide._effects import LogDecision
from rosemarysaddle.decide._send import Send
from rosemarysaddle.decide._times import NS_PER_MS
from rosemarysaddle.decide.control_log._state import DocumentKind, EntryKind
from rosemarysaddle.schema import ChangeProposal, PlanReport

if TYPE_CHECKING:
    from collections.abc import Sequence

    from rosemarysaddle.decide._effects import Effect
    from rosemarysaddle.decide.control_log._context import LeaderContext
    from rosemarysaddle.decide.control_log._log import LogNode
    from rosemarysaddle.decide.control_log._state import ClusterState

__all__ = ("PlanRepair", "PlanReporter")

REPORT_INTERVAL_MS: Final = 1_000
# Many hosts may report at once; one entry has the plan for all of them.
REPAIR_INTERVAL_MS: Final = 1_000
AUTHOR: Final = "plan-repair"


@attrs.define(kw_only=True)
class PlanReporter:
    """Reports that a host lacks a plan, until it has it.

    :param host: name of the host
    """

    host: str
    _due_ns: int = attrs.field(default=0, init=False)

    def due_report(
        self, state: ClusterState, now_ns: int
    ) -> PlanReport | None:
        """Return the report that is due, if the host lacks a plan.

        :param now_ns: monotonic time, in nanoseconds
        """
        if not state.lacks_plan or now_ns < self._due_ns:
            return None
        self._due_ns = now_ns + REPORT_INTERVAL_MS * NS_PER_MS
        return PlanReport(
            host=self.host,
            version=state.routes.version,
            missed_version=state.missed_plan_version,
        )


@attrs.define(kw_only=True)
class PlanRepair:
    """Part of a control host in the repair of plans.

    A leader gives the plan with an entry of the log.  One that lacks it
    itself, as it was elected after it had skipped an entry, asks the
    other voters, which propose it.
    """

    context: LeaderContext
    log: LogNode
    _reporter: PlanReporter = attrs.field(
        default=attrs.Factory(
            lambda self: PlanReporter(host=self.log.host), takes_self=True
        ),
        init=False,
    )
    _next_repair_ns: int = attrs.field(default=0, init=False)

    def tick(self, now_ns: int) -> list[Effect]:
        """Ask for the plan if this host lacks it."""
        report = self._reporter.due_report(self.context.state, now_ns)
        if report is None:
            return []
        peers: Sequence[str] = [self.log.leader]
        if self.context.leads(now_ns):
            peers = [v for v in self.log.voters if v != self.log.host]
        return [
            _log_report(report),
            *(Send(peer=peer, message=report) for peer in peers if peer),
        ]

    def on_report(self, report: PlanReport, now_ns: int) -> list[Effect]:
        """Give the plan to a host that lacks it, if this one has it."""
        repair = _make_repair(report, self.context.state)
        if repair is None:
            return []
        if not self.context.leads(now_ns):
            is_leader = report.host == self.log.leader
            return [Send(peer=report.host, message=repair)] * is_leader
        if now_ns < self._next_repair_ns:
            return []
        self._next_repair_ns = now_ns + REPAIR_INTERVAL_MS * NS_PER_MS
        payload = json.dumps(attrs.asdict(repair))
        return [
            _log_report(report),
            *self.context.propose(EntryKind.CHANGE, payload, now_ns),
        ]


def _log_report(report: PlanReport) -> LogDecision:
    return LogDecision(
        event="plan-differs",
        text=f"host={report.host} version={report.version}"
        f" missed={report.missed_version}",
    )


def _make_repair(
    report: PlanReport, state: ClusterState
) -> ChangeProposal | None:
    """Make the change that gives a host the plan it lacks.

    :param state: state of the host that has received the report
    :return: a change to the whole plan; None if this host lacks the
        plan too, or the other one has it by now
    """
    routes = state.routes
    if state.lacks_plan or routes.version < report.missed_version:
        return None
    return ChangeProposal(
        change_id=f"{AUTHOR}-{routes.version}",
        kind=DocumentKind.ROUTES,
        base_version=routes.version,
        author=AUTHOR,
        payload=routes.source,
    )
