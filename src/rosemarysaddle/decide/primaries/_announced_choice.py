"""Choice of the primary among targets that announce themselves.

Gathers what the rules in `_succession` need: the terms that are known,
the orders in doubt and the registered targets.
"""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Final

import attrs

from rosemarysaddle.decide._times import NS_PER_MS
from rosemarysaddle.decide.control_log._state import EntryKind
from rosemarysaddle.decide.primaries._change_log import log_choice, log_wait
from rosemarysaddle.decide.primaries._criteria import SuccessorCriteria
from rosemarysaddle.decide.primaries._succession import (
    choose_successor,
    needs_order,
    newest_known_term,
    registered_reports,
)

if TYPE_CHECKING:
    from collections.abc import Sequence

    from rosemarysaddle.decide._effects import Effect, TargetReport
    from rosemarysaddle.decide.control_log._context import LeaderContext
    from rosemarysaddle.decide.primaries._acknowledged_reports import (
        AcknowledgedReports,
    )
    from rosemarysaddle.decide.primaries._change import GroupChange
    from rosemarysaddle.decide.primaries._orders_in_doubt import OrdersInDoubt

__all__ = ("AnnouncedChoice",)

# A replica receives the last writes within a round trip, and a second
# probe finds one whose status could not be read at first.
CATCH_UP_TIMEOUT_MS: Final = 600


@attrs.define(kw_only=True)
class AnnouncedChoice:
    """Chooses primaries of groups of the route plan."""

    context: LeaderContext
    orders: OrdersInDoubt
    acknowledged: AcknowledgedReports

    def choose(
        self,
        change: GroupChange,
        reports: Sequence[TargetReport],
        now_ns: int,
    ) -> tuple[TargetReport | None, list[Effect]]:
        """Choose the new primary, and decide whether to promote it.

        :param reports: status of the targets that have answered
        :param now_ns: monotonic time, in nanoseconds
        :return: the choice, or None if there is none yet, and effects
        """
        state = self.context.state
        records = state.targets.of_group(change.group)
        reports = registered_reports(reports, records)
        effects = self.record_seen(
            change, newest_known_term(reports, change.known_term), now_ns
        )
        effects.extend(self.orders.settle_ended(change.group, now_ns))
        answered = {r.target for r in reports if r.role}
        silent = set(self.orders.targets(change.group, now_ns)) - answered
        effects.extend(self.orders.pass_over(change.group, silent, now_ns))
        in_doubt = self.orders.targets(change.group, now_ns)
        criteria = SuccessorCriteria.of_group(
            state.terms.get(change.group),
            records,
            allow_lagging=now_ns >= change.candidate_deadline_ns,
            keeps_former=change.keeps_former,
            reuse_former=change.keeps_former
            and now_ns >= change.fenced_ns + CATCH_UP_TIMEOUT_MS * NS_PER_MS,
            sync_replicas=self.sync_replicas(change.group),
            held_by=state.former_members.sync_replicas(
                change.group, self.sync_replicas(change.group)
            ),
            former_members=state.former_members.of_group(change.group),
            least_acknowledged=self.acknowledged.least(change.group),
            newest_acknowledged=self.acknowledged.newest(change.group),
            known_term=change.known_term,
            in_doubt=in_doubt,
            doubt_term=self.orders.newest_term(change.group, now_ns),
            repeatable=self.orders.repeatable(change.group, now_ns),
            avoided=self.orders.without_effect(change.group),
        )
        choice = choose_successor(reports, criteria)
        if choice is None:
            reason = _describe_wait(criteria, reports)
            return None, [*effects, *self._block(change, reason, now_ns)]
        needs = needs_order(choice, reports, change.known_term)
        # An order that timed out may have taken effect where nobody
        # sees it.  One more order, for the old primary, comes after it.
        change.may_be_present = (
            not needs
            and choice.term == criteria.target_term
            and bool(criteria.avoided)
        )
        change.may_order = needs or change.may_be_present
        change.may_be_primary = not change.may_order
        change.above_term = (
            change.known_term if change.may_order else choice.term - 1
        )
        return choice, [
            *effects,
            log_choice(change, choice, criteria, now_ns),
        ]

    def sync_replicas(self, group: str) -> int:
        """Return how many replicas hold an acknowledged write."""
        policy = self.context.state.routes.groups.get(group)
        return 0 if policy is None else policy.sync_replicas

    def record_seen(
        self, change: GroupChange, known_term: int, now_ns: int
    ) -> list[Effect]:
        """Record a term that a target knows of, if it is later.

        :param known_term: the term, as targets number theirs
        """
        term = self.context.state.terms.get(change.group)
        recorded = 0 if term is None else term.known_term
        change.known_term = max(change.known_term, recorded)
        if term is None or known_term <= change.known_term:
            return []
        change.known_term = known_term
        payload = json.dumps(
            {"group": change.group, "target_term": known_term}
        )
        return self.context.propose(EntryKind.SEEN, payload, now_ns)

    def _block(
        self, change: GroupChange, reason: str, now_ns: int
    ) -> list[Effect]:
        """Record why no primary can be chosen yet, once a reason."""
        if change.blocked_reason == reason:
            return []
        change.blocked_reason = reason
        return [log_wait(change, reason, now_ns)]


def _describe_wait(
    criteria: SuccessorCriteria, reports: Sequence[TargetReport]
) -> str:
    """Tell for whom a choice waits."""
    if criteria.in_doubt:
        targets = ",".join(criteria.in_doubt)
        return f"the promotion of {targets} may yet take effect"
    answered = ",".join(sorted(r.target for r in reports if r.role))
    text = (
        "no eligible target is known to hold all writes of the primary"
        f" {criteria.former or '-'}; answered: {answered or '-'}"
    )
    former = ",".join(
        f"{m.target}@{m.incarnation_ms}" for m in criteria.former_members
    )
    return f"{text}; former members that may: {former}" if former else text
