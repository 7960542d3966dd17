"""Primaries that announce their planned stop."""

from __future__ import annotations

from typing import Any

import hypothesis.strategies as st
import pytest
from hypothesis import settings
from hypothesis.stateful import RuleBasedStateMachine, precondition, rule

from rosemarysaddle.decide import PromoteTarget, PromotionResult
from tests.decide.announced_group import TARGETS, Harness

MAX_TARGETS = 9
# A change takes up to 5 s, the leases of an earlier leader up to 4 s,
# and a failed promotion starts another change.
SETTLE_MS = 12_000


def test_departure_stays_due_after_a_change_that_kept_the_primary() -> None:
    """Guards against a leaving primary that is never replaced."""
    harness = Harness.open()
    harness.announce("t1", leaving=True)
    harness.run(8_000, answering=["t1"])

    harness.run(2_000)

    term = harness.leader.state.terms["g"]
    assert term.is_serving
    assert term.primary != "t1"


def test_leaving_primary_is_not_opened_again_while_another_stays() -> None:
    """Guards against new work at a target that left long ago."""
    harness = Harness.open()
    harness.announce("t1", leaving=True)

    promoted = harness.run(15_000, answering=["t1"])

    assert promoted == []
    assert not harness.leader.state.terms["g"].is_open


def test_replica_that_answers_late_may_catch_up_with_a_leaving_primary() -> (
    None
):
    """Guards against the loss of writes that only the primary holds."""
    harness = Harness.open()
    harness.announce("t1", leaving=True)
    harness.run(8_000, answering=["t1"])

    early = harness.run(1_000, positions={"t1": 9})
    later = harness.run(1_000, positions={"t1": 9, "t3": 9})

    assert early == []
    assert later == ["t3"]


def test_lagging_replica_waits_for_the_end_of_a_leaving_primary() -> None:
    """Guards against the loss of writes that a live target holds.

    The target that takes the place of the leaving one has its log.
    """
    harness = Harness.open()
    harness.announce("t1", leaving=True)

    early = harness.run(15_000, positions={"t1": 90})
    harness.announce("t4")
    later = harness.run(
        1_000, ["t1", "t2", "t4"], positions={"t1": 90, "t4": 90}
    )

    assert early == []
    assert later == ["t4"]


def test_lagging_replica_is_promoted_once_the_leaving_primary_ended() -> None:
    """Guards against a group without primary after a departure."""
    harness = Harness.open()
    harness.announce("t1", leaving=True)
    harness.run(8_000, positions={"t1": 90})
    harness.announce("t1", leaving=True, gone=True)

    promoted = harness.run(7_000, ["t2", "t3"], positions={"t3": 8})

    assert promoted == ["t3"]


def test_leaving_primary_stays_while_no_other_target_does() -> None:
    """Guards against a group that is closed for nothing."""
    harness = Harness.open()
    for target in ("t1", "t2", "t3"):
        harness.announce(target, leaving=True)

    harness.run(8_000)

    term = harness.leader.state.terms["g"]
    assert (term.primary, term.is_open) == ("t1", True)


def test_relief_does_not_end_with_a_primary_that_announced_its_stop() -> None:
    """Guards against a second change, which stops the writes again."""
    harness = Harness.open()
    harness.leader.primaries.start_planned_change(
        "g", "t2", harness.now_ns, keeps_former=True
    )
    harness.announce("t1", leaving=True)

    early = harness.run(1_500, positions={"t1": 9})
    later = harness.run(500, positions={"t1": 9, "t3": 9})

    assert early == []
    assert later == ["t3"]


def test_primary_that_moves_to_another_group_is_replaced() -> None:
    """Guards against a group whose primary belongs to another one."""
    harness = Harness.open()
    harness.elapse(100)
    harness.announce("t1", group="h", incarnation_ms=200)

    promoted = harness.run(1_000, answering=["t2", "t3"])

    assert promoted
    assert promoted[0] in {"t2", "t3"}


def test_group_stays_open_until_a_replica_has_nearly_all_writes() -> None:
    """Guards against writes that wait while no target can take over."""
    harness = Harness.open()
    harness.announce("t1", leaving=True)

    harness.run(2_000, positions={"t1": 90})
    was_open = harness.leader.state.terms["g"].is_open
    promoted = harness.run(800, positions={"t1": 90, "t2": 88, "t3": 90})

    assert was_open
    assert promoted == ["t3"]


def test_change_starts_without_a_successor_before_new_work_ends() -> None:
    """Guards against a search that outlasts the leaving primary."""
    harness = Harness.open()
    harness.announce("t1", leaving=True)

    harness.run(3_200, answering=["t1"])

    assert not harness.leader.state.terms["g"].is_open


@pytest.mark.parametrize("target", ["t1", "t2"])
def test_target_that_ended_since_its_status_was_read_is_not_promoted(
    target: str,
) -> None:
    """Guards against a promotion of a target that has ended."""
    harness = Harness.open()
    harness.announce("t1", leaving=True)
    harness.elapse(50)
    harness.announce(target, leaving=True, gone=True)

    promoted = harness.run(2_000, answering=[target])

    assert promoted == []


def _order_replacement() -> Harness:
    """Build a harness with an order to promote in place of t1."""
    harness = Harness.open()
    harness.announce("t1", leaving=True)
    harness.elapse(50)
    harness.probe(primary="t1")
    harness.elapse(100)
    harness.probe(primary="t1")
    return harness


def test_promotion_that_failed_without_a_quorum_is_ordered_again() -> None:
    """Guards against an open group that never serves."""
    harness = _order_replacement()
    harness.elect()
    harness.effects.clear()
    harness.elapse(50)
    order = harness.found(PromoteTarget)[-1]
    leads = harness.leader._context.leads
    # The quorum is out of reach for a moment, and no other host leads.
    harness.leader._context.leads = lambda _: False
    harness.leader.on_promoted(
        "g", order.term, PromotionResult(done=False), harness.now_ns
    )
    harness.leader._context.leads = leads

    promoted = harness.run(1_000, answering=["t2", "t3"])

    assert promoted
    assert harness.leader.state.terms["g"].is_serving


def test_promotion_without_a_result_is_given_up() -> None:
    """Guards against a change that waits for a result that was lost."""
    harness = _order_replacement()
    lost = harness.found(PromoteTarget)[-1]

    promoted = harness.run(6_000)

    assert promoted
    assert harness.leader.state.terms["g"].term > lost.term
    assert harness.leader.state.terms["g"].is_serving


class Departures(RuleBasedStateMachine):
    """Targets leave and join while others are silent or lag."""

    def __init__(self) -> None:
        super().__init__()
        self.harness = Harness.open()
        self.newest = len(TARGETS)

    def _staying(self) -> list[str]:
        records = self.harness.leader.state.targets.of_group("g")
        return [r.target for r in records if not r.leaving]

    def _run(
        self, spent_ms: int, answering: list[str], **options: Any
    ) -> None:
        for _ in range(0, spent_ms, 50):
            ordered = self.harness.run(50, answering=answering, **options)
            staying = self._staying()
            for target in ordered:
                assert target in staying or staying in ([], [target])

    def _targets(self) -> list[str]:
        records = self.harness.leader.state.targets.of_group("g")
        return [r.target for r in records]

    @rule()
    def leave(self) -> None:
        """Announce the stop of the primary."""
        primary = self.harness.leader.state.terms["g"].primary
        if primary in self._targets():
            self.harness.announce(primary, leaving=True)

    @rule(data=st.data())
    def leave_any(self, data: st.DataObject) -> None:
        """Announce the stop of a target."""
        if self._targets():
            target = data.draw(st.sampled_from(self._targets()))
            self.harness.announce(target, leaving=True)

    @rule(data=st.data())
    def end(self, data: st.DataObject) -> None:
        """Remove a target that has announced its stop."""
        gone = sorted(set(self._targets()) - set(self._staying()))
        if gone:
            target = data.draw(st.sampled_from(gone))
            self.harness.announce(target, leaving=True, gone=True)

    @precondition(lambda self: self.newest < MAX_TARGETS)
    @rule()
    def join(self) -> None:
        """Announce a new target."""
        self.newest += 1
        self.harness.announce(f"t{self.newest}")

    @rule(unlisted_ms=st.sampled_from([0, 4_000]))
    def elect(self, unlisted_ms: int) -> None:
        """Elect another leader."""
        self.harness.elect(unlisted_ms=unlisted_ms)

    @rule(
        spent_ms=st.sampled_from([50, 400, 6_000]),
        answers=st.sampled_from(["all", "primary", "others", "none"]),
        succeed=st.sampled_from([True, True, False]),
        lag=st.booleans(),
    )
    def elapse(
        self, spent_ms: int, answers: str, *, succeed: bool, lag: bool
    ) -> None:
        """Let time pass in which some targets do not answer."""
        primary = self.harness.leader.state.terms["g"].primary
        answering = {
            "all": self._targets(),
            "primary": [primary],
            "others": [t for t in self._targets() if t != primary],
            "none": [],
        }[answers]
        self._run(
            spent_ms,
            answering,
            positions={primary: 9} if lag else None,
            promotions_succeed=succeed,
        )

    def teardown(self) -> None:
        """Check that a target that stays becomes the primary."""
        self._run(SETTLE_MS, self._targets())
        term = self.harness.leader.state.terms["g"]
        if self._staying():
            assert term.is_open
            assert term.is_serving
            assert term.primary in self._staying()


TestDepartures = Departures.TestCase
TestDepartures.settings = settings(
    max_examples=100, stateful_step_count=15, deadline=None
)
