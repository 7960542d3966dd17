"""Tests of the promotion of targets that announce themselves."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING, Any

import attrs
import pytest

from rosemarysaddle._clock import clock_ns
from rosemarysaddle.decide import (
    NS_PER_MS,
    CheckEnded,
    DemoteTarget,
    ProbeGroup,
    PromoteTarget,
    PromotionResult,
    TargetReport,
)
from rosemarysaddle.decide.primaries._former_members import FormerMember
from rosemarysaddle.node import OrderAnswer, TargetStatus
from rosemarysaddle.node._orders import AnnouncedTargetOrders
from rosemarysaddle.node._status_reader import StatusReader, StatusResult
from rosemarysaddle.platform import UsersPlatform
from rosemarysaddle.schema import Instance
from tests.helpers import TEST_NETWORK

if TYPE_CHECKING:
    from collections.abc import Callable

    from rosemarysaddle.node import PromotionOrder

IP = f"{TEST_NETWORK}.1.1"
PORT = 19_310
PROMOTE_DELAY_S = 0.05
MEMBER = FormerMember(
    target="m", incarnation_ms=1, address=f"{IP}:{PORT}", was_leaving=True
)
INSTANCE = Instance(name="t", address=f"{IP}:{PORT}", data_center="dc-1")


@attrs.define(kw_only=True)
class FullTarget:
    """Target whose queue delays each opening and each status.

    :param wait_s: time in the queue of one request
    :param silent: number of connections, from the first one, that get
        no answer after their opening
    """

    wait_s: float
    silent: int = 0
    role: str = "replica"
    term: int = 2
    status_reads: int = 0
    demoted_terms: list[int] = attrs.field(factory=list)
    connections: int = 0
    writers: list[asyncio.StreamWriter] = attrs.field(factory=list)

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer the requests of one connection in order."""
        self.connections += 1
        self.writers.append(writer)
        number = self.connections
        while line := await reader.readline():
            await asyncio.sleep(self.wait_s)
            if line.startswith(b"START"):
                writer.write(b"READY I 1.5\r\n")
            elif number > self.silent:
                self.status_reads += 1
                self._demote_if_told(line.decode().split())
                row = f"ROW {self.role} {self.term} 1.5 0 12 5 30\r\n"
                writer.write(row.encode() + b"DONE -\r\nREADY I 1.5\r\n")
        writer.close()

    def _demote_if_told(self, words: list[str]) -> None:
        if words[2] == "DEMOTE":
            self.demoted_terms.append(int(words[3]))
            self.role = "replica"


@attrs.define(kw_only=True)
class AcceptingPromoter:
    """Promotes the target a moment after it accepts the order."""

    target: FullTarget
    loop: asyncio.AbstractEventLoop
    delay_s: float = PROMOTE_DELAY_S
    orders: list[PromotionOrder] = attrs.field(factory=list)

    def promote(
        self, order: PromotionOrder, *, may_send: Callable[[], bool]
    ) -> OrderAnswer:
        """Accept the order."""
        if not may_send():
            return OrderAnswer.NOT_TAKEN
        self.orders.append(order)
        self.loop.call_soon_threadsafe(
            self.loop.call_later, self.delay_s, self._take_effect
        )
        return OrderAnswer.ACCEPTED

    def _take_effect(self) -> None:
        self.target.role = "primary"
        self.target.term += 1


def _orders(promoter: Any) -> AnnouncedTargetOrders:
    return AnnouncedTargetOrders(
        host="c1",
        platform=UsersPlatform(),
        promoter=promoter,
        fencing_token=lambda: 3,
        leads=lambda: True,
        group_of=lambda _: "g",
        on_answered=lambda _group, _target: None,
    )


async def _promote(
    target: FullTarget,
    *,
    may_be_primary: bool = False,
    may_order: bool = True,
    above_term: int = 0,
    delay_s: float = PROMOTE_DELAY_S,
) -> tuple[PromotionResult, AcceptingPromoter]:
    server = await asyncio.start_server(target.serve, IP, PORT)
    promoter = AcceptingPromoter(
        target=target, loop=asyncio.get_running_loop(), delay_s=delay_s
    )
    orders = _orders(promoter)
    order = PromoteTarget(
        group="g",
        target="t",
        term=2,
        start=5,
        deadline_ns=clock_ns() + 4_000 * NS_PER_MS,
        above_term=above_term,
        may_be_primary=may_be_primary,
        may_order=may_order,
    )
    try:
        return await orders.promote(order, INSTANCE), promoter
    finally:
        server.close()


@pytest.mark.parametrize(
    ("wait_s", "silent"),
    [
        pytest.param(0.0, 0, id="idle"),
        # Together the opening and the status take longer than one of
        # them may in an idle target.
        pytest.param(0.3, 0, id="full queue"),
        pytest.param(0.0, 1, id="first connection goes silent"),
    ],
)
def test_promotion_of_a_full_target_is_confirmed(
    wait_s: float, silent: int
) -> None:
    """Guards against a primary that is promoted but never confirmed.

    The group then has no primary until another change has failed too.
    """
    target = FullTarget(wait_s=wait_s, silent=silent)

    result, promoter = asyncio.run(_promote(target))

    assert result == PromotionResult(done=True, target_term=3, is_settled=True)
    assert len(promoter.orders) == 1


def test_confirmation_waits_in_the_queue_once_for_each_status() -> None:
    """Guards against status reads that add openings to a full queue."""
    # Far below the time after which a second connection is tried.
    target = FullTarget(wait_s=0.02)

    asyncio.run(_promote(target, delay_s=0.4))

    assert target.status_reads > 1
    assert target.connections == 1


def test_promotion_that_took_effect_is_not_ordered_again() -> None:
    """Guards against an order that repeats one of an earlier leader."""
    target = FullTarget(wait_s=0.0, role="primary")

    result, promoter = asyncio.run(_promote(target, may_be_primary=True))

    assert result.done
    assert not promoter.orders


async def _probe(
    target: FullTarget, attempts: int, *, fresh: bool = False
) -> list[TargetReport]:
    server = await asyncio.start_server(target.serve, IP, PORT)
    orders = _orders(None)
    reports = []
    try:
        for attempt in range(attempts):
            probe = ProbeGroup(
                group="g",
                attempt=attempt,
                deadline_ns=clock_ns() + 500 * NS_PER_MS,
                quorum=1,
                fresh=fresh,
            )
            reports.extend(await orders.probe(probe, [INSTANCE]))
    finally:
        server.close()
    return reports


def test_attempts_go_on_with_the_connection_of_the_one_before() -> None:
    """Guards against probes that join a full queue anew each time.

    A change of primary then waits until its time-out for the status of
    a former primary that is only full.
    """
    target = FullTarget(wait_s=0.3)

    reports = asyncio.run(_probe(target, 2))

    assert [report.role for report in reports] == ["", "replica"]
    assert [report.reachable for report in reports] == [True, True]
    # Each attempt tries one more beside it.
    assert target.connections <= 3


def test_probe_is_answered_although_a_request_hangs() -> None:
    """Guards against changes that wait for a request that is lost.

    A target that fails part of its requests never answers some of them.
    """
    target = FullTarget(wait_s=0.0, silent=1)

    report = asyncio.run(_probe(target, 1))[0]

    assert report.role == "replica"


def test_fresh_probe_opens_a_connection_of_its_own() -> None:
    """Guards against an outage that an older connection hides."""
    target = FullTarget(wait_s=0.0)

    asyncio.run(_probe(target, 2, fresh=True))

    assert target.connections == 2


def test_closed_target_is_unreachable_over_a_kept_connection() -> None:
    """Guards against a change that waits for a crashed target."""

    async def scenario() -> TargetReport:
        target = FullTarget(wait_s=0.0)
        server = await asyncio.start_server(target.serve, IP, PORT)
        orders = _orders(None)
        probe = ProbeGroup(
            group="g",
            attempt=1,
            deadline_ns=clock_ns() + 500 * NS_PER_MS,
            quorum=1,
        )
        await orders.probe(probe, [INSTANCE])
        server.close()
        for writer in target.writers:
            writer.transport.abort()
        await asyncio.sleep(0.05)
        return (await orders.probe(probe, [INSTANCE]))[0]

    assert not asyncio.run(scenario()).reachable


def test_target_that_cannot_be_probed_hides_no_other(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against one odd target that voids the others' reports."""

    async def read(
        self: StatusReader, instance: Instance, *_: Any, **__: Any
    ) -> StatusResult:
        del self
        if instance.name == "odd":
            raise OverflowError
        status = TargetStatus(role="primary", term=1, log_term=1, position=2)
        return StatusResult(status=status, is_reachable=True)

    monkeypatch.setattr(StatusReader, "read", read)
    probe = ProbeGroup(group="g", attempt=1, deadline_ns=0, quorum=3)
    names = ("t1", "odd", "t2")
    instances = [attrs.evolve(INSTANCE, name=name) for name in names]

    async def scenario() -> list[TargetReport]:
        orders = AnnouncedTargetOrders(
            host="c",
            platform=UsersPlatform(),
            promoter=UsersPlatform().promoter(f"{IP}:1"),
            fencing_token=lambda: 1,
            leads=lambda: True,
            group_of=lambda _: "g",
            on_answered=lambda _group, _target: None,
        )
        return await orders.probe(probe, instances)

    reports = asyncio.run(scenario())

    assert {r.target for r in reports} == {"t1", "t2"}
    assert all(r.role == "primary" for r in reports)


@attrs.define(kw_only=True)
class SilentPromoter:
    """Answers orders by a script.

    :param answers: answer to each order
    """

    answers: list[OrderAnswer]
    orders: list[PromotionOrder] = attrs.field(factory=list)

    def promote(
        self, order: PromotionOrder, *, may_send: Callable[[], bool]
    ) -> OrderAnswer:
        """Take the next answer of the script."""
        assert may_send()
        self.orders.append(order)
        return self.answers.pop(0)


def test_order_without_an_answer_is_repeated_for_the_same_target() -> None:
    """Guards against two targets that are promoted in turn."""
    unknown = OrderAnswer.UNKNOWN
    promoter = SilentPromoter(answers=[unknown, unknown, OrderAnswer.REFUSED])
    order = PromoteTarget(
        group="g",
        target="t",
        term=2,
        start=5,
        deadline_ns=clock_ns() + 4_000 * NS_PER_MS,
        may_be_primary=False,
    )

    result = asyncio.run(_orders(promoter).promote(order, INSTANCE))

    assert result == PromotionResult(done=False, is_settled=False)
    assert [o.target for o in promoter.orders] == ["t"] * 3
    assert len({o.fencing_token for o in promoter.orders}) == 1


def test_primary_of_an_earlier_term_is_ordered_to_lead_the_next() -> None:
    """Guards against a role that is believed without its term."""
    target = FullTarget(wait_s=0.0, role="primary", term=2)

    result, promoter = asyncio.run(
        _promote(target, may_be_primary=True, above_term=2)
    )

    assert result == PromotionResult(done=True, target_term=3)
    assert len(promoter.orders) == 1


@pytest.mark.parametrize(
    ("role", "result"),
    [
        ("primary", PromotionResult(done=True, target_term=2)),
        (
            "replica",
            PromotionResult(done=False, target_term=2, is_settled=True),
        ),
    ],
)
def test_target_that_said_it_leads_is_not_ordered_to(
    role: str, result: PromotionResult
) -> None:
    """Guards against an order that the log does not hold."""
    target = FullTarget(wait_s=0.0, role=role)

    found, promoter = asyncio.run(
        _promote(target, may_be_primary=True, may_order=False, above_term=1)
    )

    assert (found.done, found.target_term) == (result.done, 2)
    assert found.is_settled is result.is_settled
    assert not promoter.orders


@attrs.define(kw_only=True)
class SlowPromoter:
    """Carries out an order some time after it came, and then answers.

    :param answer: what it answers; a refused order has no effect
    """

    target: FullTarget
    answer: OrderAnswer
    delay_s: float
    orders: list[PromotionOrder] = attrs.field(factory=list)

    def promote(
        self, order: PromotionOrder, *, may_send: Callable[[], bool]
    ) -> OrderAnswer:
        """Carry out an order late, unless it is refused."""
        assert may_send()
        self.orders.append(order)
        time.sleep(self.delay_s)
        if self.answer is not OrderAnswer.REFUSED:
            self.target.role = "primary"
            self.target.term += 1
        return self.answer


@pytest.mark.parametrize(
    ("answer", "done"),
    [
        pytest.param(OrderAnswer.ACCEPTED, True, id="late answer"),
        pytest.param(OrderAnswer.UNKNOWN, True, id="lost answer"),
        pytest.param(OrderAnswer.REFUSED, False, id="late refusal"),
    ],
)
def test_order_is_followed_until_its_outcome_is_known(
    answer: OrderAnswer, *, done: bool
) -> None:
    """Guards against a promotion that takes effect after its change."""
    target = FullTarget(wait_s=0.0)

    promoter = SlowPromoter(target=target, answer=answer, delay_s=1.2)

    async def scenario() -> PromotionResult:
        server = await asyncio.start_server(target.serve, IP, PORT)
        order = PromoteTarget(
            group="g",
            target="t",
            term=2,
            start=5,
            deadline_ns=clock_ns() + 4_000 * NS_PER_MS,
            above_term=2,
            may_be_primary=False,
        )
        try:
            return await _orders(promoter).promote(order, INSTANCE)
        finally:
            server.close()

    result = asyncio.run(scenario())

    assert result.done is done
    # One call at most has an effect, and that one was seen.
    assert result.is_settled
    assert len(promoter.orders) == 1


@pytest.mark.parametrize("leads_on", [True, False])
def test_call_stays_open_for_its_answer_after_the_order_has_ended(
    *, leads_on: bool
) -> None:
    """Guards against outcomes that a reset call can no longer tell."""
    target = FullTarget(wait_s=0.0)
    token, answered = [3], []

    @attrs.define
    class SilentPlatform:
        answers: bool = False
        calls: int = 0
        resets: int = 0

        def promote(
            self, order: PromotionOrder, *, may_send: Callable[[], bool]
        ) -> OrderAnswer:
            del order
            self.calls += 1
            while may_send():
                if self.answers:
                    return OrderAnswer.ACCEPTED
                time.sleep(0.01)
            self.resets += 1
            return OrderAnswer.UNKNOWN

    platform = SilentPlatform()
    orders = AnnouncedTargetOrders(
        host="c1",
        platform=UsersPlatform(),
        promoter=platform,
        fencing_token=lambda: token[0],
        leads=lambda: True,
        group_of=lambda _: "g",
        on_answered=lambda group, name: answered.append((group, name)),
    )

    async def order() -> PromotionResult:
        wanted = PromoteTarget(
            group="g",
            target="t",
            term=2,
            start=5,
            deadline_ns=clock_ns() + 500 * NS_PER_MS,
            above_term=2,
            may_be_primary=False,
        )
        return await orders.promote(wanted, INSTANCE)

    async def scenario() -> list[PromotionResult]:
        server = await asyncio.start_server(target.serve, IP, PORT)
        results = [await order(), await order()]
        assert not answered
        if leads_on:
            platform.answers = True
        else:
            # The host has lost the lead, and leads again.
            token[0] += 1
        await asyncio.sleep(0.2)
        server.close()
        return results

    results = asyncio.run(scenario())

    assert all(r.has_open_calls and not r.is_settled for r in results)
    assert answered == [("g", "t")]
    assert (platform.calls, platform.resets) == (1, int(not leads_on))


def test_platform_that_takes_no_order_leaves_nothing_in_doubt() -> None:
    """Guards against a wait for an order that was never read."""

    @attrs.define
    class ClosedPlatform:
        calls: int = 0

        def promote(
            self, order: PromotionOrder, *, may_send: Callable[[], bool]
        ) -> OrderAnswer:
            del order, may_send
            self.calls += 1
            return OrderAnswer.NOT_TAKEN

    platform = ClosedPlatform()
    order = PromoteTarget(
        group="g",
        target="t",
        term=2,
        start=5,
        deadline_ns=clock_ns() + 600 * NS_PER_MS,
        may_be_primary=False,
    )

    result = asyncio.run(_orders(platform).promote(order, INSTANCE))

    assert result == PromotionResult(done=False, is_settled=True)
    assert 1 < platform.calls <= 6


def test_old_primary_is_told_the_term_of_the_present_one() -> None:
    """Guards against an old primary that never hears of the new one."""
    target = FullTarget(wait_s=0.0, role="primary")

    async def scenario() -> TargetStatus | None:
        server = await asyncio.start_server(target.serve, IP, PORT)
        order = DemoteTarget(group="g", target="t", term=4)
        try:
            return await _orders(None).demote(order, INSTANCE)
        finally:
            server.close()

    status = asyncio.run(scenario())

    assert status is not None
    assert status.role == "replica"
    assert target.demoted_terms == [4]


@pytest.mark.parametrize("may_be_present", [False, True])
def test_order_for_the_present_primary_is_done_though_nothing_changes(
    *, may_be_present: bool
) -> None:
    """Guards against an old primary that can never be opened again."""
    target = FullTarget(wait_s=0.0, role="primary")

    @attrs.define
    class Platform:
        def promote(
            self, order: PromotionOrder, *, may_send: Callable[[], bool]
        ) -> OrderAnswer:
            del order, may_send
            return OrderAnswer.ACCEPTED

    async def scenario() -> PromotionResult:
        server = await asyncio.start_server(target.serve, IP, PORT)
        order = PromoteTarget(
            group="g",
            target="t",
            term=2,
            start=5,
            deadline_ns=clock_ns() + 2_500 * NS_PER_MS,
            above_term=2,
            may_be_primary=False,
            may_be_present=may_be_present,
        )
        try:
            return await _orders(Platform()).promote(order, INSTANCE)
        finally:
            server.close()

    result = asyncio.run(scenario())

    assert result.done is may_be_present
    # A slow platform may carry it out later all the same.
    assert not result.is_settled


@attrs.define(kw_only=True)
class OpeningTarget:
    """Target that answers each opening in one way.

    :param answer: answer to the opening; nothing if empty, and the
        connection is reset if None
    """

    answer: bytes | None

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.readline()
        if self.answer is None:
            writer.transport.abort()
            return
        writer.write(self.answer)
        await reader.read()
        writer.close()


@pytest.mark.parametrize(
    ("answer", "has_ended"),
    [
        pytest.param(b"READY I 1.5\r\n", False, id="it-runs"),
        pytest.param(b"ERROR TOOMANY\r\n", False, id="it-is-full"),
        pytest.param(b"ERROR WRONGHOST\r\n", True, id="another-is-there"),
        pytest.param(None, False, id="the-connection-is-reset"),
        pytest.param(b"", False, id="nothing-answers"),
    ],
)
def test_former_member_has_ended_once_another_answers(
    answer: bytes | None, *, has_ended: bool
) -> None:
    """Guards against an end that nothing has shown."""

    async def scenario() -> set[tuple[str, int]]:
        target = OpeningTarget(answer=answer)
        server = await asyncio.start_server(target.serve, IP, PORT)
        async with server:
            return await _find_ended()

    assert asyncio.run(scenario()) == ({MEMBER.key} if has_ended else set())


def test_former_member_has_ended_once_its_address_refuses() -> None:
    """Guards against a member that counts for good."""
    assert asyncio.run(_find_ended()) == {MEMBER.key}


async def _find_ended() -> set[tuple[str, int]]:
    check = CheckEnded(
        group="g",
        members=(MEMBER,),
        deadline_ns=clock_ns() + 200 * NS_PER_MS,
    )
    return await _orders(None).find_ended(check)
