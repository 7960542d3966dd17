"""Orders to promote whose outcome is not known.

An order that the platform has read may take effect at any time, also
after its target was lost and came back.  Writes that run at another
target by then are lost, so the group waits for the named target.  The
platform gives no bound for that, and a group without a primary is no
use either.  Once ``MAX_DOUBT_MS`` have passed, the order counts as
ended, and another target may be promoted.  If it takes effect all the
same, the group follows the target that it names.

While calls of the platform wait for their answers, their orders do not
count as ended: a platform that is slow to answer is as slow with orders
for another target, and the target in doubt can be ordered again.  Only
one that does not answer itself is passed over.

The log records an order with the term that it opens, so that a later
leader knows of it.
"""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Final

import attrs

from rosemarysaddle.decide._effects import Effect, LogDecision
from rosemarysaddle.decide._times import NS_PER_MS
from rosemarysaddle.decide.control_log._state import EntryKind

if TYPE_CHECKING:
    from collections.abc import Collection

    from rosemarysaddle.decide.control_log._context import LeaderContext
    from rosemarysaddle.decide.primaries._terms import PromotionInDoubt

__all__ = ("MAX_DOUBT_MS", "OrdersInDoubt", "Settlement")

# A change of primary is to be over within 16 s.  Its detection and the
# fence of the old term take up to 5.3 s, a promotion 1 s.
MAX_DOUBT_MS: Final = 9_500
# Time for which the targets are read after an order has timed out.
WATCH_TIMED_OUT_MS: Final = 60_000
# The doubt about a target that is ordered again ends by then, counted
# from its first order.  The last repeat has its time to be answered.
MAX_TARGET_DOUBT_MS: Final = 14_000
MAX_REPEAT_MS: Final = 10_000
# An accepted order takes effect within some hundred milliseconds.
MAX_EFFECT_MS: Final = 4_000
# Longer than a call is kept open for its answer.
MAX_OPEN_CALLS_MS: Final = 35_000


class Settlement:
    """Why the doubt about an order has ended."""

    TOOK_EFFECT: Final = "took-effect"
    REFUSED: Final = "refused"
    TARGET_GONE: Final = "target-gone"
    TIMED_OUT: Final = "timed-out"
    RECORDED: Final = "recorded"


@attrs.define(kw_only=True)
class OrdersInDoubt:
    """Orders of all groups that may yet take effect.

    :param context: state and log of the leader
    """

    context: LeaderContext
    _groups: set[str] = attrs.field(factory=set, init=False)
    _watched_until_ns: dict[str, int] = attrs.field(factory=dict, init=False)
    # Since when each target of a group has been ordered, and which ones
    # had no effect, until the group has a primary.
    _ordered_ns: dict[str, dict[str, int]] = attrs.field(
        factory=dict, init=False
    )
    _without_effect: dict[str, set[str]] = attrs.field(
        factory=dict, init=False
    )
    # By group, and by the term that the order opened.
    _deadlines_ns: dict[str, dict[int, int]] = attrs.field(
        factory=dict, init=False
    )
    _settling: dict[str, set[int]] = attrs.field(factory=dict, init=False)
    # Since when calls for a target are open, and when the last one was
    # answered, by group and target.
    _open_since_ns: dict[tuple[str, str], int] = attrs.field(
        factory=dict, init=False
    )
    _answered_ns: dict[tuple[str, str], int] = attrs.field(
        factory=dict, init=False
    )

    def on_elected(self) -> None:
        """Give the orders of earlier leaders their time anew."""
        self._deadlines_ns.clear()
        self._settling.clear()
        self._watched_until_ns.clear()
        self._ordered_ns.clear()
        self._without_effect.clear()
        self._open_since_ns.clear()
        self._answered_ns.clear()
        terms = self.context.state.terms
        self._groups = {g for g, term in terms.items() if term.in_doubt}

    def examine(self, group: str) -> None:
        """Watch the orders of a group whose term was opened."""
        self._groups.add(group)

    @property
    def count(self) -> int:
        """Number of orders that may yet take effect."""
        return sum(len(self._orders(group)) for group in self._groups)

    def targets(self, group: str, now_ns: int) -> tuple[str, ...]:
        """List the targets of a group whose promotion is in doubt.

        :param now_ns: monotonic time, in nanoseconds
        """
        targets = (
            order.target
            for order in self._orders(group)
            if not self._end_reason(group, order, now_ns)
        )
        return tuple(dict.fromkeys(targets))

    def newest_term(self, group: str, now_ns: int) -> int:
        """Return the newest term that orders in doubt are above."""
        return max(
            (
                order.above_term
                for order in self._orders(group)
                if not self._end_reason(group, order, now_ns)
            ),
            default=0,
        )

    def repeatable(self, group: str, now_ns: int) -> tuple[str, ...]:
        """List the targets in doubt that may be ordered once more.

        Repeats have an end, so that the doubt has one.
        """
        oldest_ns = now_ns - MAX_REPEAT_MS * NS_PER_MS
        since_ns = self._ordered_ns.get(group, {})
        return tuple(
            target
            for target in self.targets(group, now_ns)
            if since_ns.get(target, now_ns) >= oldest_ns
            or (group, target) in self._open_since_ns
        )

    def record_open_calls(self, group: str, target: str, now_ns: int) -> None:
        """Note that calls to promote a target are not answered yet."""
        self._open_since_ns.setdefault((group, target), now_ns)

    def record_answers(self, group: str, target: str, now_ns: int) -> None:
        """Note that all calls to promote a target were answered."""
        if self._open_since_ns.pop((group, target), 0):
            self._answered_ns[group, target] = now_ns

    def pass_over(
        self, group: str, targets: Collection[str], now_ns: int
    ) -> list[Effect]:
        """End the doubt about targets that do not answer, if overdue.

        :param targets: targets that do not tell their status
        """
        effects: list[Effect] = []
        for order in self._orders(group):
            if order.target not in targets:
                continue
            if self._end_reason(group, order, now_ns):
                continue
            # A call that is open may yet be carried out, whether or not
            # its target can be seen.
            deadline_ns = max(
                self._deadlines_ns[group][order.term],
                self._answers_until_ns(group, order),
            )
            if now_ns >= deadline_ns:
                effects.extend(
                    self.settle(
                        group, order.term, Settlement.TIMED_OUT, now_ns
                    )
                )
        return effects

    def without_effect(self, group: str) -> frozenset[str]:
        """List targets whose order had no effect in time.

        They are known until the group has a primary.
        """
        return frozenset(self._without_effect.get(group, ()))

    def end_outage(self, group: str) -> None:
        """Forget the orders without effect of a group that serves."""
        self._ordered_ns.pop(group, None)
        self._without_effect.pop(group, None)

    def settle(
        self, group: str, term: int, reason: str, now_ns: int
    ) -> list[Effect]:
        """Record that an order has no effect any more, and why.

        :param term: term of the group that was opened with the order
        """
        current = self.context.state.terms.get(group)
        order = None if current is None else current.order_of(term)
        settling = self._settling.setdefault(group, set())
        if order is None or term in settling:
            return []
        settling.add(term)
        if reason == Settlement.TIMED_OUT:
            self._without_effect.setdefault(group, set()).add(order.target)
            self._watched_until_ns[group] = (
                now_ns + WATCH_TIMED_OUT_MS * NS_PER_MS
            )
        payload = json.dumps({"group": group, "term": term})
        text = (
            f"group={group} target={order.target} term={term}"
            f" above_term={order.above_term} reason={reason}"
        )
        return [
            LogDecision(event="promotion-settled", text=text),
            *self.context.propose(EntryKind.SETTLED, payload, now_ns),
        ]

    def groups_to_watch(self, now_ns: int) -> list[str]:
        """List groups where an order that timed out may take effect."""
        for group, until_ns in list(self._watched_until_ns.items()):
            if now_ns >= until_ns:
                del self._watched_until_ns[group]
        return list(self._watched_until_ns)

    def tick(self, now_ns: int) -> list[Effect]:
        """End the doubt about orders that are overdue or void."""
        effects: list[Effect] = []
        for group in sorted(self._groups):
            if not self._orders(group):
                self._forget(group)
            effects.extend(self.settle_ended(group, now_ns))
        return effects

    def settle_ended(self, group: str, now_ns: int) -> list[Effect]:
        """End the doubt about orders of a group that are overdue.

        A choice has to know which of them may have taken effect unseen.
        """
        effects: list[Effect] = []
        for order in self._orders(group):
            reason = self._end_reason(group, order, now_ns)
            if reason:
                effects.extend(self.settle(group, order.term, reason, now_ns))
        return effects

    def _forget(self, group: str) -> None:
        """Forget the orders of a group, none of which is in doubt."""
        self._groups.discard(group)
        self._deadlines_ns.pop(group, None)
        self._settling.pop(group, None)
        self._ordered_ns.pop(group, None)
        for key in [k for k in self._open_since_ns if k[0] == group]:
            del self._open_since_ns[key]
        for key in [k for k in self._answered_ns if k[0] == group]:
            del self._answered_ns[key]

    def _orders(self, group: str) -> tuple[PromotionInDoubt, ...]:
        term = self.context.state.terms.get(group)
        return () if term is None else term.in_doubt

    def _end_reason(
        self, group: str, order: PromotionInDoubt, now_ns: int
    ) -> str:
        """Tell why an order counts as ended; empty if it does not."""
        if order.term in self._settling.get(group, ()):
            return Settlement.RECORDED
        record = self.context.state.targets.records.get(order.target)
        if record is None or record.group != group:
            return Settlement.TARGET_GONE
        first_ns = self._ordered_ns.setdefault(group, {}).setdefault(
            order.target, now_ns
        )
        latest_ns = first_ns + MAX_TARGET_DOUBT_MS * NS_PER_MS
        deadline_ns = self._deadlines_ns.setdefault(group, {}).setdefault(
            order.term, min(now_ns + MAX_DOUBT_MS * NS_PER_MS, latest_ns)
        )
        deadline_ns = max(deadline_ns, self._answers_until_ns(group, order))
        return Settlement.TIMED_OUT if now_ns >= deadline_ns else ""

    def _answers_until_ns(self, group: str, order: PromotionInDoubt) -> int:
        """Return until when calls may be answered or take effect."""
        key = (group, order.target)
        if key in self._open_since_ns:
            return self._open_since_ns[key] + MAX_OPEN_CALLS_MS * NS_PER_MS
        if key in self._answered_ns:
            return self._answered_ns[key] + MAX_EFFECT_MS * NS_PER_MS
        return 0
