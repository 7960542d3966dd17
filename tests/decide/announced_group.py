"""Control leader of one group of the route plan, for tests."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any

import attrs

from rosemarysaddle.decide import (
    CheckEnded,
    ControlNode,
    DocumentKind,
    ProbeGroup,
    PromoteTarget,
    PromotionResult,
    TargetReport,
)
from rosemarysaddle.decide.primaries._change import ChangeReason
from rosemarysaddle.schema import (
    Announcement,
    ChangeProposal,
    LeaseRenewal,
    TermReport,
)
from tests.helpers import NS_PER_MS, make_leader

if TYPE_CHECKING:
    from collections.abc import Collection, Mapping

__all__ = ("PLAN", "TARGETS", "Harness")

START_NS = 10_000 * NS_PER_MS
TARGETS = ("t1", "t2", "t3")
PLAN = json.dumps(
    {
        "version": 4,
        "groups": [{"name": "g"}],
        "routes": [
            {
                "name": "r",
                "database": "d",
                "freshness": "primary",
                "timeout_ms": 800,
                "group": "g",
            }
        ],
    }
)


def _announcement(target: str, **changes: Any) -> Announcement:
    number = int(target.removeprefix("t"))
    found = Announcement(
        target=target,
        group="g",
        data_center="dc",
        address=f"127.0.0.{number}:1",
        role="replica",
        term=0,
        position=0,
        leaving=False,
        identity="",
        slots=2,
        incarnation_ms=100,
    )
    return attrs.evolve(found, **changes)


@attrs.define(kw_only=True)
class Harness:
    """One control leader with a route plan."""

    now_ns: int = START_NS
    leader: ControlNode = attrs.field(
        factory=lambda: make_leader(START_NS - 5_000 * NS_PER_MS)
    )
    effects: list[Any] = attrs.field(factory=list)

    @classmethod
    def open(cls, *, target_term: int = 1) -> Harness:
        """Build a harness with a group whose primary is t1.

        :param target_term: term in which the primary says it serves
        """
        harness = cls()
        harness.plan(PLAN, version=4)
        for target in TARGETS:
            harness.announce(target)
        harness.elapse(50)
        harness.probe(primary="t1")
        harness.promoted(target_term=target_term)
        harness.effects.clear()
        return harness

    def plan(self, text: str, *, version: int) -> None:
        """Propose a route plan."""
        change = ChangeProposal(
            change_id=str(self.now_ns),
            kind=DocumentKind.ROUTES,
            base_version=version,
            author="op",
            payload=text,
        )
        self._take(self.leader.receive("op", change, self.now_ns))

    def announce(self, target: str, **changes: Any) -> None:
        """Deliver an announcement of a target."""
        message = _announcement(target, **changes)
        self._take(self.leader.receive("x", message, self.now_ns))

    def renew(self, host: str, data_center: str = "dc") -> None:
        """Deliver a lease renewal of an entry host."""
        renewal = LeaseRenewal(
            host=host,
            data_center=data_center,
            sent_ns=self.now_ns,
            applied_index=self.leader.state.index,
            address="",
        )
        self._take(self.leader.receive(host, renewal, self.now_ns))

    def elapse(self, spent_ms: int) -> None:
        """Advance the time in ticks of 50 ms."""
        for _ in range(0, spent_ms, 50):
            self.now_ns += 50 * NS_PER_MS
            self._take(self.leader.tick(self.now_ns))

    def probe(self, *, primary: str) -> None:
        """Answer the newest probe of a change."""
        attempt = self.found(ProbeGroup)[-1].attempt
        reports = [
            TargetReport(
                target=t,
                reachable=True,
                role="primary" if t == primary else "replica",
                term=1,
                position=7,
            )
            for t in TARGETS
        ]
        self._take(self.leader.on_probe("g", attempt, reports, self.now_ns))

    def run(
        self,
        spent_ms: int,
        answering: Collection[str] = TARGETS,
        *,
        positions: Mapping[str, int] | None = None,
        promotions_succeed: bool = True,
    ) -> list[str]:
        """Advance the time while some targets answer probes.

        Every promotion succeeds at once, or is refused at once.

        :param positions: log position of each target; 7 if not given
        :return: targets that were ordered to become primary, in order
        """
        promoted = []
        for _ in range(0, spent_ms, 50):
            self.effects.clear()
            self.elapse(50)
            for probe in self.found(ProbeGroup):
                reports = [
                    self._report(target, (positions or {}).get(target, 7))
                    for target in answering
                ]
                found = self.leader.on_probe(
                    "g", probe.attempt, reports, self.now_ns
                )
                self._take(found)
            for order in self.found(PromoteTarget):
                self._take(
                    self.leader.on_promoted(
                        "g",
                        order.term,
                        PromotionResult(
                            done=promotions_succeed, is_settled=True
                        ),
                        self.now_ns,
                    )
                )
                promoted.append(order.target)
        return promoted

    def _report(self, target: str, position: int) -> TargetReport:
        term = self.leader.state.terms["g"]
        return TargetReport(
            target=target,
            reachable=True,
            role="primary" if target == term.primary else "replica",
            term=1,
            position=position,
        )

    def elect(self, *, unlisted_ms: int = 0) -> None:
        """Elect the leader again.

        :param unlisted_ms: time for which a lease of the earlier leader
            may be valid that this one does not list
        """
        self.leader.primaries.on_leadership_lost()
        self.leader.primaries.on_elected()
        self.leader.departures.on_elected()
        self.leader._roles.on_elected()
        self.leader._context.leases.unlisted_until_ns = (
            self.now_ns + unlisted_ms * NS_PER_MS
        )
        self.leader.state.lease_holders.add("unheard")

    def replace_primary(self) -> None:
        """Start a change as after an outage of the primary."""
        term = self.leader.state.terms["g"].term
        found = self.leader.primaries.start_change(
            "g", term, self.now_ns, reason=ChangeReason.SUSPECTED
        )
        self._take(found)

    def answer(self, *reports: TargetReport) -> None:
        """Answer the newest probe with the reports of some targets."""
        attempt = self.found(ProbeGroup)[-1].attempt
        found = self.leader.on_probe("g", attempt, reports, self.now_ns)
        self._take(found)

    def end_members(self, *targets: str) -> None:
        """Tell which of the members asked for last have ended."""
        members = self.found(CheckEnded)[-1].members
        ended = {m.key for m in members if m.target in targets}
        self._take(self.leader.on_end_checked("g", ended, self.now_ns))

    def answer_change(self, *reports: TargetReport) -> None:
        """Answer the newest probe of the change in progress."""
        attempt = self.leader.primaries.changes["g"].attempt
        found = self.leader.on_probe("g", attempt, reports, self.now_ns)
        self._take(found)

    def promoted(
        self, *, done: bool = True, target_term: int = 1, **result: Any
    ) -> None:
        """Tell the result of the newest order to promote."""
        order = self.found(PromoteTarget)[-1]
        found = self.leader.on_promoted(
            "g",
            order.term,
            PromotionResult(done=done, target_term=target_term, **result),
            self.now_ns,
        )
        self._take(found)

    def report_term(self, target: str, **observed: Any) -> None:
        """Deliver the report of an entry host about an answer."""
        report = TermReport(
            host="e",
            group="g",
            term=self.leader.state.terms["g"].term,
            target=target,
            observed_term=observed.get("observed_term", 0),
            read_only=observed.get("read_only", False),
        )
        self._take(self.leader.receive("e", report, self.now_ns))

    def found(self, kind: type) -> list[Any]:
        """List the effects of a class."""
        return [e for e in self.effects if isinstance(e, kind)]

    def _take(self, effects: list[Any]) -> None:
        self.effects.extend(effects)
