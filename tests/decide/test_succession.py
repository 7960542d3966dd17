from __future__ import annotations

import attrs
import pytest

from rosemarysaddle.decide import TargetReport
from rosemarysaddle.decide.primaries._change import MIN_OUTAGE_MS, Evidence
from rosemarysaddle.decide.primaries._criteria import SuccessorCriteria
from rosemarysaddle.decide.primaries._succession import (
    choose_successor,
    find_promoted,
    needs_order,
)


def _report(
    target: str, position: int, *, role: str = "replica", term: int = 1
) -> TargetReport:
    return TargetReport(
        target=target, reachable=True, role=role, term=term, position=position
    )


def _unreachable(target: str) -> TargetReport:
    return TargetReport(target=target, reachable=False)


def _without_status(target: str) -> TargetReport:
    return TargetReport(target=target, reachable=True)


PRIMARY = _report("a", 9, role="primary")


@pytest.mark.parametrize(
    ("reports", "leaving", "allow_lagging", "chosen"),
    [
        pytest.param(
            [_unreachable("a"), _report("b", 7), _report("c", 8)],
            (),
            False,
            "c",
            id="primary-gone-newest-replica",
        ),
        pytest.param(
            [PRIMARY, _report("b", 7), _report("c", 9)],
            (),
            False,
            "c",
            id="primary-answers-replica-has-all",
        ),
        pytest.param(
            [PRIMARY, _report("b", 7), _report("c", 8)],
            (),
            False,
            None,
            id="primary-answers-replicas-lag",
        ),
        pytest.param(
            [_without_status("a"), _report("b", 7)],
            (),
            False,
            None,
            id="primary-slow-position-unknown",
        ),
        pytest.param(
            [_without_status("a"), _report("b", 7)],
            (),
            True,
            "b",
            id="primary-slow-for-long",
        ),
        pytest.param(
            [PRIMARY, _unreachable("b"), _without_status("c")],
            (),
            False,
            "a",
            id="no-replica-reopens-primary",
        ),
        pytest.param(
            [PRIMARY, _unreachable("b"), _unreachable("c")],
            ("a",),
            False,
            None,
            id="leaving-primary-waits-for-a-replica",
        ),
        pytest.param(
            [PRIMARY, _report("b", 9), _report("c", 9)],
            ("b",),
            False,
            "c",
            id="leaving-replica-left-out",
        ),
        pytest.param(
            [_unreachable("a"), _unreachable("b")],
            (),
            True,
            None,
            id="nobody-answers",
        ),
    ],
)
def test_choose_successor_waits_for_a_replica_with_all_writes(
    reports: list[TargetReport],
    leaving: tuple[str, ...],
    chosen: str | None,
    *,
    allow_lagging: bool,
) -> None:
    criteria = SuccessorCriteria(
        former="a", leaving=leaving, allow_lagging=allow_lagging
    )

    choice = choose_successor(reports, criteria)

    assert (choice and choice.target) == chosen


def test_choose_successor_keeps_the_current_primary_of_new_group() -> None:
    criteria = SuccessorCriteria(former="", leaving=(), allow_lagging=False)
    reports = [_report("b", 12), PRIMARY]

    choice = choose_successor(reports, criteria)

    assert choice is PRIMARY
    assert choose_successor(reports[:1], criteria) is None


@pytest.mark.parametrize(
    ("reporters", "observer_agrees", "age_ms", "corroborated"),
    [
        (1, True, 0, True),
        (3, False, MIN_OUTAGE_MS, False),
        (4, False, 0, False),
        (4, False, MIN_OUTAGE_MS, True),
    ],
)
def test_evidence_needs_the_observer_or_a_lasting_majority(
    reporters: int, age_ms: int, *, observer_agrees: bool, corroborated: bool
) -> None:
    now_ns = 1 + age_ms * 1_000_000
    evidence = Evidence(term=1, first_ns=0)
    for number in range(reporters):
        evidence.add(f"entry-{number}", 1)
    if observer_agrees:
        evidence.add("core-1", 1)

    found = evidence.is_corroborated(observer="core-1", hosts=7, now_ns=now_ns)

    assert found is corroborated


@pytest.mark.parametrize("allow_lagging", [False, True])
@pytest.mark.parametrize(
    ("reports", "chosen"),
    [
        pytest.param(
            [_unreachable("a"), _report("b", 7), _without_status("c")],
            None,
            id="the silent one may hold more",
        ),
        pytest.param(
            [_unreachable("a"), _report("b", 7), _report("c", 8)],
            "c",
            id="both answer",
        ),
        pytest.param(
            [PRIMARY, _report("b", 9), _without_status("c")],
            "b",
            id="primary tells how far it got",
        ),
    ],
)
def test_synchronously_replicated_writes_are_kept(
    reports: list[TargetReport], chosen: str | None, *, allow_lagging: bool
) -> None:
    """Guards against promoting whichever replica answers first."""
    criteria = SuccessorCriteria(
        former="a",
        leaving=(),
        others_stay=True,
        allow_lagging=allow_lagging,
        sync_replicas=1,
        replicas=2,
    )

    choice = choose_successor(reports, criteria)

    assert (choice.target if choice else None) == chosen


@pytest.mark.parametrize(
    ("former", "chosen"),
    [
        pytest.param(_report("a", 7), "a", id="it answers"),
        pytest.param(_without_status("a"), None, id="it is slow"),
        pytest.param(_unreachable("a"), None, id="it is gone"),
    ],
)
def test_target_whose_promotion_may_take_effect_is_promoted_again(
    former: TargetReport, chosen: str | None
) -> None:
    """Guards against writes at a target that is replaced later."""
    criteria = SuccessorCriteria(
        former="a",
        leaving=(),
        others_stay=True,
        in_doubt=("a",),
        repeatable=("a",),
    )

    choice = choose_successor([former, _report("c", 9)], criteria)

    assert (choice.target if choice else None) == chosen


@pytest.mark.parametrize(
    ("reports", "allow_lagging", "chosen"),
    [
        pytest.param(
            [_report("c", 9, role="primary", term=1)],
            False,
            None,
            id="only an old primary answers",
        ),
        pytest.param(
            [_report("c", 9, role="primary", term=1), _report("b", 5, term=2)],
            False,
            "b",
            id="a replica has followed the last primary",
        ),
        pytest.param(
            [_report("c", 9, role="primary", term=1)],
            True,
            "c",
            id="nobody else answers for long",
        ),
        pytest.param(
            [_report("a", 5, term=2), _report("b", 4, term=2)],
            False,
            "a",
            id="the last primary lost its role and has most",
        ),
    ],
)
def test_old_primary_is_no_choice_while_others_may_answer(
    reports: list[TargetReport], chosen: str | None, *, allow_lagging: bool
) -> None:
    """Guards against a target that slept through the last promotion."""
    criteria = SuccessorCriteria(
        former="a",
        leaving=(),
        target_term=2,
        others_stay=True,
        allow_lagging=allow_lagging,
    )

    choice = choose_successor(reports, criteria)

    assert (choice.target if choice else None) == chosen


@pytest.mark.parametrize(
    ("report", "is_needed"),
    [
        pytest.param(_report("a", 9, role="primary", term=2), False),
        pytest.param(_report("a", 9, role="primary", term=3), False),
        pytest.param(_report("a", 9, role="primary", term=1), True),
        pytest.param(_report("a", 9, term=2), True),
    ],
)
def test_primary_of_an_earlier_term_has_to_be_promoted(
    report: TargetReport, *, is_needed: bool
) -> None:
    """Guards against a group that is opened at an old primary."""
    assert needs_order(report, [report], known_term=2) is is_needed


def test_target_that_leads_a_later_term_is_followed() -> None:
    """Guards against a choice by progress after another's promotion."""
    criteria = SuccessorCriteria(
        former="a", leaving=(), target_term=1, in_doubt=("c",)
    )
    promoted = _report("c", 3, role="primary", term=2)

    assert choose_successor([PRIMARY, promoted], criteria) is promoted


@pytest.mark.parametrize("in_doubt", [("b",), ("b", "c")])
def test_promotion_is_not_followed_while_another_may_take_effect(
    in_doubt: tuple[str, ...],
) -> None:
    """Guards against writes that a later promotion gives up."""
    criteria = SuccessorCriteria(
        former="a",
        leaving=(),
        target_term=1,
        in_doubt=in_doubt,
        repeatable=("b",),
    )
    promoted = _report("c", 3, role="primary", term=2)
    ordered = _report("b", 3)

    assert choose_successor([PRIMARY, promoted], criteria) is None
    assert choose_successor([promoted, ordered], criteria) is ordered


def test_target_is_not_followed_if_another_knows_a_later_term() -> None:
    """Guards against following one of two promotions, the first."""
    promoted = _report("c", 3, role="primary", term=2)
    later = _report("b", 3, term=3)

    criteria = SuccessorCriteria(former="a", leaving=(), target_term=1)

    assert find_promoted([promoted, later], criteria) is None
    later_known = attrs.evolve(criteria, known_term=3)
    assert find_promoted([promoted], later_known) is None


@pytest.mark.parametrize(
    "reports",
    [
        pytest.param(
            [_report("a", 0, term=0), _report("b", 9, term=4)],
            id="the former primary came back empty",
        ),
        pytest.param(
            [
                _report("a", 5, role="primary", term=3),
                _report("b", 9, term=4),
            ],
            id="the former primary leads an earlier term",
        ),
    ],
)
@pytest.mark.parametrize("allow_lagging", [False, True])
def test_former_primary_vouches_only_in_the_term_that_it_served(
    reports: list[TargetReport], *, allow_lagging: bool
) -> None:
    """Guards against the loss of what a silent replica acknowledged."""
    criteria = SuccessorCriteria(
        former="a",
        leaving=(),
        target_term=4,
        others_stay=True,
        allow_lagging=allow_lagging,
        sync_replicas=1,
        replicas=2,
    )

    assert choose_successor(reports, criteria) is None


def test_promotion_that_is_older_than_an_order_in_doubt_is_not_followed() -> (
    None
):
    """Guards against writes that the order in doubt gives up."""
    criteria = SuccessorCriteria(
        former="a",
        leaving=(),
        target_term=1,
        in_doubt=("c",),
        doubt_term=2,
    )
    older = _report("c", 3, role="primary", term=2)
    later = _report("c", 3, role="primary", term=3)

    assert choose_successor([older], criteria) is None
    assert choose_successor([later], criteria) is later


def test_primary_that_served_last_vouches_after_a_failed_promotion() -> None:
    """Guards against a group that waits for a replica for good."""
    criteria = SuccessorCriteria(
        former="b",
        leaving=(),
        target_term=1,
        others_stay=True,
        sync_replicas=1,
        replicas=2,
    )

    choice = choose_successor([PRIMARY, _report("b", 9)], criteria)

    assert choice is PRIMARY


@pytest.mark.parametrize(
    ("served_by", "chosen"), [("a", "c"), ("b", None)], ids=["a", "b"]
)
def test_replicas_are_counted_besides_the_target_that_served(
    served_by: str, chosen: str | None
) -> None:
    """Guards against a wait for a primary that is lost."""
    criteria = SuccessorCriteria(
        former="b",
        leaving=(),
        target_term=1,
        served_by=served_by,
        others_stay=True,
        sync_replicas=1,
        replicas=2,
    )

    choice = choose_successor([_report("b", 7), _report("c", 8)], criteria)

    assert (choice.target if choice else None) == chosen
