"""Orders to promote that may take effect after the change has ended."""

from __future__ import annotations

import json
from typing import Any

from rosemarysaddle.decide import (
    ClusterState,
    EntryKind,
    LogDecision,
    PromoteTarget,
    TargetReport,
)
from rosemarysaddle.decide.primaries._orders_in_doubt import (
    MAX_DOUBT_MS,
    MAX_EFFECT_MS,
    MAX_OPEN_CALLS_MS,
)
from rosemarysaddle.schema import LogEntry
from tests.decide.announced_group import Harness
from tests.helpers import NS_PER_MS


def _reports(*targets: str) -> list[TargetReport]:
    return [
        TargetReport(
            target=target, reachable=True, role="replica", term=1, position=7
        )
        for target in targets
    ]


def _order_without_result(**result: Any) -> tuple[Harness, str]:
    """Order a promotion that is not seen to take effect.

    :param result: fields of its result, which is not known otherwise
    :return: the harness and the target that the order names
    """
    harness = Harness.open()
    harness.replace_primary()
    harness.elapse(50)
    harness.answer(*_reports("t2", "t3"))
    target = harness.found(PromoteTarget)[-1].target
    harness.promoted(done=False, **result)
    harness.effects.clear()
    return harness, target


def _choose(harness: Harness, spent_ms: int, *answering: str) -> list[str]:
    """Advance the time while some targets answer each probe.

    :return: targets that were ordered to become primary
    """
    ordered: list[str] = []
    for _ in range(0, spent_ms, 50):
        harness.effects.clear()
        harness.elapse(50)
        if harness.leader.primaries.changes["g"].phase == "probe":
            harness.answer_change(*_reports(*answering))
        ordered.extend(o.target for o in harness.found(PromoteTarget))
        if ordered:
            break
    return ordered


def _other(target: str) -> str:
    return "t3" if target == "t2" else "t2"


def test_no_other_target_is_promoted_while_an_order_is_in_doubt() -> None:
    """Guards against writes that a late promotion gives up."""
    harness, target = _order_without_result()

    ordered = _choose(harness, MAX_DOUBT_MS - 500, _other(target))

    assert ordered == []
    assert "may yet take effect" in (
        harness.leader.primaries.changes["g"].blocked_reason
    )


def test_target_of_an_order_in_doubt_is_promoted_once_it_answers() -> None:
    """Guards against a wait for an order that was lost."""
    harness, target = _order_without_result()
    _choose(harness, 2_000, _other(target))

    assert _choose(harness, 500, "t2", "t3") == [target]


def test_doubt_about_an_order_ends() -> None:
    """Guards against a group that waits for a target that is lost."""
    harness, target = _order_without_result()

    ordered = _choose(harness, MAX_DOUBT_MS + 1_000, _other(target))

    assert ordered == [_other(target)]


def test_targets_are_read_after_an_order_has_timed_out() -> None:
    """Guards against a late promotion that only a replica knows of."""
    harness, target = _order_without_result()
    _choose(harness, MAX_DOUBT_MS + 1_000, _other(target))
    harness.promoted(target_term=2, is_settled=True)
    harness.effects.clear()
    harness.elapse(500)

    harness.answer(
        TargetReport(
            target="t1", reachable=True, role="replica", term=3, position=7
        )
    )

    term = harness.leader.state.terms["g"]
    assert (term.is_open, term.known_term) == (False, 3)


def test_refused_orders_are_repeated_less_and_less() -> None:
    """Guards against one group that takes all calls of the platform."""
    harness = Harness.open()
    harness.replace_primary()

    ordered = harness.run(10_000, ("t2", "t3"), promotions_succeed=False)

    # After 0, 0, 0.2, 0.4, 0.8 and 1.6 s, then each 2 s.
    assert 5 <= len(ordered) <= 10


def test_order_is_settled_once() -> None:
    """Guards against entries that are proposed with each tick."""
    harness, _ = _order_without_result()
    proposed: list[str] = []

    def propose(kind: str, payload: str, now_ns: int) -> list[Any]:
        # The entry is never committed.
        del payload, now_ns
        proposed.append(kind)
        return []

    harness.leader._context.propose = propose

    harness.elapse(MAX_DOUBT_MS + 1_000)

    assert proposed.count(EntryKind.SETTLED) == 1


def test_repeats_of_an_order_have_an_end() -> None:
    """Guards against one order that is repeated for good."""
    harness, target = _order_without_result()
    since_ns = harness.now_ns
    ordered: list[str] = []
    while not ordered or ordered[-1] == target:
        ordered.extend(_choose(harness, 30_000, "t2", "t3"))
        harness.elapse(1_000)
        harness.promoted(done=False)
        assert harness.now_ns < since_ns + 16_000 * NS_PER_MS

    assert ordered[-1] == _other(target)


def test_target_that_takes_no_effect_of_orders_is_passed_over() -> None:
    """Guards against one target that is ordered again and again."""
    harness, target = _order_without_result()
    harness.elapse(MAX_DOUBT_MS + 100)

    ordered = _choose(harness, 1_000, "t2", "t3")

    assert ordered == [_other(target)]


def test_old_primary_is_ordered_anew_after_an_order_has_timed_out() -> None:
    """Guards against a promotion that nobody who answers has seen."""
    harness, target = _order_without_result()
    _choose(harness, MAX_DOUBT_MS + 500)

    harness.elapse(700)
    old_primary = TargetReport(
        target="t1", reachable=True, role="primary", term=1, position=9
    )
    harness.answer_change(old_primary)

    order = harness.found(PromoteTarget)[-1]
    assert target != "t1"
    assert (order.target, order.above_term) == ("t1", 1)
    assert order.may_order
    assert order.may_be_present


def test_doubt_outlasts_a_change_of_leader() -> None:
    """Guards against a new leader that promotes another target."""
    harness, target = _order_without_result()

    harness.elect()
    harness.elapse(50)

    assert _choose(harness, 3_000, _other(target)) == []


def test_refused_order_is_not_in_doubt() -> None:
    """Guards against a wait for an order that has no effect."""
    harness, target = _order_without_result(is_settled=True)

    assert _choose(harness, 1_000, _other(target)) == [_other(target)]


def test_refusal_of_a_repeat_leaves_the_first_order_in_doubt() -> None:
    """Guards against a refusal that speaks for an earlier call."""
    harness, target = _order_without_result()
    harness.elapse(50)
    harness.answer_change(*_reports(target))
    harness.promoted(done=False, is_settled=True)

    assert _choose(harness, 1_000, _other(target)) == []


def test_primary_whose_order_may_be_repeated_is_not_replaced_by_plan() -> None:
    """Guards against a late call that gives up later writes."""
    harness = Harness.open()
    harness.replace_primary()
    harness.elapse(50)
    harness.answer(*_reports("t2", "t3"))
    harness.promoted(target_term=2)
    serving = harness.leader.state.terms["g"].primary

    early = harness.leader.primaries.start_planned_change(
        "g", "t1", harness.now_ns
    )
    harness.elapse(MAX_DOUBT_MS + 100)
    later = harness.leader.primaries.start_planned_change(
        "g", "t1", harness.now_ns
    )

    assert serving in {"t2", "t3"}
    assert early == []
    assert later


def test_order_in_doubt_that_took_effect_is_followed_without_another() -> None:
    """Guards against a second promotion of the same target."""
    harness, target = _order_without_result()
    harness.elapse(50)
    promoted = TargetReport(
        target=target, reachable=True, role="primary", term=2, position=7
    )
    harness.answer_change(*_reports(_other(target)), promoted)
    order = harness.found(PromoteTarget)[-1]
    harness.promoted(target_term=2)

    term = harness.leader.state.terms["g"]
    assert (order.target, order.may_order) == (target, False)
    assert (term.primary, term.is_serving, term.target_term) == (
        target,
        True,
        2,
    )


def test_order_for_a_target_that_left_for_good_is_void() -> None:
    """Guards against a wait for a target that does not come back."""
    harness, target = _order_without_result()
    harness.announce(target, gone=True)

    assert _choose(harness, 500, _other(target)) == [_other(target)]


def test_decisions_about_a_change_are_logged_with_both_terms() -> None:
    """Guards against a change that nobody can explain afterwards."""
    harness = Harness.open()
    harness.replace_primary()
    harness.elapse(50)
    harness.answer(*_reports("t2", "t3"))
    harness.promoted(target_term=2, is_settled=True)

    lines = {e.event: e.text for e in harness.found(LogDecision)}
    assert "reason=suspected" in lines["change-started"]
    assert "target_term=1" in lines["primary-chosen"]
    assert "order=True above_term=1" in lines["primary-chosen"]
    assert "term=2" in lines["primary-serves"]
    assert "target_term=2" in lines["primary-serves"]
    assert "reason=took-effect" in lines["promotion-settled"]


def _fail_orders(harness: Harness, spent_ms: int) -> list[str]:
    """Let each order end without a result while all targets answer."""
    until_ns = harness.now_ns + spent_ms * NS_PER_MS
    ordered: list[str] = []
    while harness.now_ns < until_ns:
        found = _choose(harness, 1_000, "t2", "t3")
        ordered.extend(found)
        if found:
            harness.elapse(4_000)
            harness.promoted(done=False, has_open_calls=True)
    return ordered


def test_order_without_an_answer_stays_in_doubt() -> None:
    """Guards against an order that is carried out after its doubt."""
    harness, target = _order_without_result(has_open_calls=True)

    ordered = _fail_orders(harness, 20_000)

    assert set(ordered) == {target}


def test_target_that_does_not_answer_is_passed_over() -> None:
    """Guards against a group that waits for a target that is lost."""
    harness, target = _order_without_result()

    early = _choose(harness, MAX_DOUBT_MS - 500, _other(target))
    later = _choose(harness, 1_500, _other(target))

    assert (early, later) == ([], [_other(target)])


def test_target_is_not_passed_over_while_its_call_is_open() -> None:
    """Guards against a call that is carried out at a lost target.

    The platform may read a call at once and handle it much later.
    """
    harness, target = _order_without_result(has_open_calls=True)

    early = _choose(harness, 20_000, _other(target))
    harness.leader.on_order_answered("g", target, harness.now_ns)
    answered = _choose(harness, MAX_EFFECT_MS - 500, _other(target))
    later = _choose(harness, 1_000, _other(target))

    assert (early, answered, later) == ([], [], [_other(target)])


def test_open_call_does_not_hold_a_group_for_ever() -> None:
    """Guards against a platform that never answers."""
    harness, target = _order_without_result(has_open_calls=True)

    assert _choose(harness, MAX_OPEN_CALLS_MS + 500, _other(target))


def test_old_primary_is_ordered_at_the_very_end_of_a_doubt() -> None:
    """Guards against one that is opened as if no order had been given.

    The doubt ends between two ticks, and a status arrives at once.
    """
    harness, _ = _order_without_result()
    former = TargetReport(
        target="t1", reachable=True, role="primary", term=1, position=9
    )
    until_ns = harness.now_ns + (MAX_DOUBT_MS - 60) * NS_PER_MS
    while harness.now_ns < until_ns:
        harness.elapse(50)
        if harness.leader.primaries.changes["g"].phase == "probe":
            harness.answer_change(former)
    harness.effects.clear()

    harness.now_ns += 200 * NS_PER_MS
    harness.answer_change(former)

    orders = harness.found(PromoteTarget)
    assert [(o.target, o.may_order) for o in orders] == [("t1", True)]


def test_answered_order_may_take_effect_a_little_later() -> None:
    """Guards against a doubt that ends with the answer, or never."""
    harness, target = _order_without_result(has_open_calls=True)
    _fail_orders(harness, 12_000)
    harness.leader.on_order_answered("g", target, harness.now_ns)

    early = _choose(harness, MAX_EFFECT_MS - 500, "t2", "t3")
    later = _choose(harness, 1_000, "t2", "t3")

    assert set(early) <= {target}
    assert later == [_other(target)]


def test_primary_is_not_replaced_by_plan_before_its_calls_are_answered() -> (
    None
):
    """Guards against a repeat that is carried out after the change."""
    harness = Harness.open()
    harness.replace_primary()
    harness.elapse(50)
    harness.answer(*_reports("t2", "t3"))
    harness.promoted(target_term=2, has_open_calls=True)
    serving = harness.leader.state.terms["g"].primary
    start = harness.leader.primaries.start_planned_change

    harness.elapse(20_000)
    early = start("g", "t1", harness.now_ns)
    harness.leader.on_order_answered("g", serving, harness.now_ns)
    harness.elapse(MAX_EFFECT_MS + 100)
    later = start("g", "t1", harness.now_ns)

    assert early == []
    assert later


def test_snapshot_keeps_terms_and_orders_in_doubt() -> None:
    """Guards against a doubt that is forgotten with a compaction."""
    state = _order_without_result()[0].leader.state

    assert ClusterState.load(state.dump()).terms == state.terms


def test_entries_of_an_earlier_build_leave_the_term_unknown() -> None:
    """Guards against a state that an upgrade cannot read."""
    state = ClusterState()
    opened = {"group": "g", "term": 1, "primary": "t1", "start": 0}
    served = {"group": "g", "term": 1}
    for index, (kind, payload) in enumerate(
        [("open", opened), ("serving", served)], start=1
    ):
        state.apply(
            LogEntry(
                index=index, term=1, kind=kind, payload=json.dumps(payload)
            )
        )

    term = state.terms["g"]
    assert (term.is_serving, term.target_term, term.in_doubt) == (True, 0, ())


def test_term_is_unknown_once_an_earlier_build_has_changed_the_primary() -> (
    None
):
    """Guards against hosts that hold a group for overtaken for good."""
    harness = Harness.open(target_term=3)
    state = harness.leader.state
    for kind, payload in (
        ("open", {"group": "g", "term": 2, "primary": "t2", "start": 0}),
        ("serving", {"group": "g", "term": 2}),
    ):
        state.apply(
            LogEntry(
                index=state.index + 1,
                term=9,
                kind=kind,
                payload=json.dumps(payload),
            )
        )

    assert state.terms["g"].target_term == 0
