"""Status probes and promotion of self-announced targets."""

from __future__ import annotations

import asyncio
import functools
from concurrent.futures import ThreadPoolExecutor
from typing import TYPE_CHECKING, Final

import attrs

from rosemarysaddle import _log as logging
from rosemarysaddle._clock import NS_PER_S, clock_ns
from rosemarysaddle.decide import NS_PER_MS, PromotionResult, TargetReport
from rosemarysaddle.node._platform import OrderAnswer, PromotionOrder
from rosemarysaddle.node._status_reader import StatusReader

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from rosemarysaddle.decide import (
        CheckEnded,
        DemoteTarget,
        ProbeGroup,
        PromoteTarget,
    )
    from rosemarysaddle.node._platform import (
        Platform,
        Promoter,
        TargetStatus,
    )
    from rosemarysaddle.schema import Instance

__all__ = ("AnnouncedTargetOrders",)

PRIMARY_ROLE: Final = "primary"
POLL_INTERVAL_S: Final = 0.05
# Time without an answer after which an order is sent again, at the
# least; it doubles with each call that is not answered.  The calls go
# on: their answers tell what may still take effect.
RESEND_S: Final = 3.0
MAX_ANSWER_S: Final = 30.0
# Limits the calls of all groups that wait for the platform.
MAX_OPEN_CALLS: Final = 64
# Longest pause before an order that was not taken is sent again.
MAX_PAUSE_S: Final = 1.0
# Time after which an accepted order would have taken effect.  The
# platform promotes within a second.
PRESENT_PRIMARY_MS: Final = 1_500
# An order may take effect before it is answered.
SLOW_ANSWER_MS: Final = 400
# Limits the check whether an earlier leader's promotion took effect.
STATUS_TIMEOUT_MS: Final = 400
# A full target queues the opening of a connection and the status
# request behind up to 40 statements of callers each.
CONFIRM_TIMEOUT_MS: Final = 1_500


@attrs.define(kw_only=True, eq=False)
class _OrderCalls:
    """Calls of the platform for one order.

    :param running: calls without an answer so far
    :param answers: answers to the others, in the order of their arrival
    :param accepted_ns: :func:`clock_ns` time at which the first
        accepted call was known, or 0
    """

    running: set[asyncio.Task[OrderAnswer]] = attrs.field(factory=set)
    answers: list[OrderAnswer] = attrs.field(factory=list)
    accepted_ns: int = 0

    def collect(self) -> None:
        """Move the calls that have ended to the answers."""
        ended = {call for call in self.running if call.done()}
        self.running -= ended
        self.answers.extend(call.result() for call in ended)
        if OrderAnswer.ACCEPTED in self.answers and not self.accepted_ns:
            self.accepted_ns = clock_ns()

    @property
    def has_verdict(self) -> bool:
        """Whether the platform accepted or refused the order."""
        verdicts = {OrderAnswer.ACCEPTED, OrderAnswer.REFUSED}
        return not verdicts.isdisjoint(self.answers)

    def are_settled(self, *, has_effect: bool) -> bool:
        """Tell whether no call can have a further effect.

        :param has_effect: whether the target was seen to be promoted,
            which took one of the calls
        """
        may_have_effect = len(self.running) + sum(
            answer in {OrderAnswer.ACCEPTED, OrderAnswer.UNKNOWN}
            for answer in self.answers
        )
        return may_have_effect <= int(has_effect)


@attrs.define(kw_only=True, eq=False)
class _OpenCalls:
    """Calls for one target that are not answered, of all its orders.

    :param since_ns: :func:`clock_ns` time of the oldest one
    :param sent_ns: :func:`clock_ns` time of the newest one
    """

    since_ns: int
    sent_ns: int
    tasks: set[asyncio.Task[OrderAnswer]] = attrs.field(factory=set)

    @property
    def next_ns(self) -> int:
        """:func:`clock_ns` time from which one more may be sent."""
        pause_ns = max(self.sent_ns - self.since_ns, int(RESEND_S * NS_PER_S))
        return self.sent_ns + pause_ns


@attrs.define(kw_only=True, eq=False)
class AnnouncedTargetOrders:
    """Reads the status of targets and has the platform promote them.

    :param host: name of this control host
    :param fencing_token: returns the fencing token, which increases
        with each new leader
    :param leads: returns whether this host is the control leader now
    :param group_of: returns the group of a target
    :param on_answered: called with a group and a target once no call
        for the target waits for an answer any more
    """

    host: str
    platform: Platform
    promoter: Promoter
    fencing_token: Callable[[], int]
    leads: Callable[[], bool]
    group_of: Callable[[str], str]
    on_answered: Callable[[str, str], None]
    _open_calls: dict[str, _OpenCalls] = attrs.field(factory=dict, init=False)
    _threads: ThreadPoolExecutor = attrs.field(init=False)
    _reader: StatusReader = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Create the reader, without any connection or thread."""
        self._threads = ThreadPoolExecutor(
            max_workers=MAX_OPEN_CALLS, thread_name_prefix="promotion"
        )
        self._reader = StatusReader(
            new_codec=self.platform.target_codec,
            read_status=self.platform.read_status,
            group_of=self.group_of,
        )

    async def probe(
        self, probe: ProbeGroup, instances: Sequence[Instance]
    ) -> list[TargetReport]:
        """Read the status of the instances of a group.

        Stops as soon as a quorum of instances has answered, or those
        that are needed, at the latest when the deadline has passed.

        :return: the reports that arrived until then
        """
        needed = set(probe.needed)
        tasks = [
            asyncio.create_task(
                self._probe_instance(
                    instance, probe.deadline_ns, fresh=probe.fresh
                )
            )
            for instance in instances
        ]
        reports: list[TargetReport] = []
        for done in asyncio.as_completed(tasks):
            report = await done
            if report is not None:
                reports.append(report)
            answered = {r.target for r in reports if r.role}
            if len(answered) >= probe.quorum:
                break
            if needed and needed <= answered:
                break
        for task in tasks:
            task.cancel()
        return reports

    async def find_ended(self, check: CheckEnded) -> set[tuple[str, int]]:
        """Find the former members of a group that run no more.

        :return: name and incarnation of each
        """
        checks = [
            self._reader.has_ended(
                member.target,
                group=check.group,
                address=member.address,
                deadline_ns=check.deadline_ns,
            )
            for member in check.members
        ]
        results = await asyncio.gather(*checks)
        return {
            member.key
            for member, has_ended in zip(check.members, results, strict=True)
            if has_ended
        }

    async def promote(
        self, order: PromoteTarget, instance: Instance | None
    ) -> PromotionResult:
        """Make an instance the primary of its group."""
        if instance is None:
            return PromotionResult(
                done=False, is_settled=not order.may_be_primary
            )
        if order.may_be_primary:
            status = await self._read_status(
                instance, order, STATUS_TIMEOUT_MS
            )
            if _has_role(status, order):
                return PromotionResult(
                    done=True,
                    target_term=status.term if status is not None else 0,
                )
        if not order.may_order:
            return await self._confirm(order, instance)
        return await self._order(order, instance)

    async def _confirm(
        self, order: PromoteTarget, instance: Instance
    ) -> PromotionResult:
        """Read the status of a target that said it is the primary."""
        while clock_ns() < order.deadline_ns:
            status = await self._read_status(
                instance, order, CONFIRM_TIMEOUT_MS
            )
            if status is not None:
                return PromotionResult(
                    done=_has_role(status, order),
                    target_term=status.term,
                    is_settled=True,
                )
            await asyncio.sleep(POLL_INTERVAL_S)
        return PromotionResult(done=False, is_settled=True)

    async def _order(
        self, order: PromoteTarget, instance: Instance
    ) -> PromotionResult:
        """Send an order and wait until it has taken effect."""
        promotion = PromotionOrder(
            group=order.group,
            target=order.target,
            leader=self.host,
            fencing_token=self.fencing_token(),
            deadline_ns=order.deadline_ns,
            answer_deadline_ns=clock_ns() + int(MAX_ANSWER_S * NS_PER_S),
        )
        calls = _OrderCalls()
        sending = asyncio.create_task(self._send(promotion, calls))
        waiting = asyncio.create_task(
            self._wait_until_primary(order, instance, calls)
        )
        try:
            await asyncio.wait(
                [sending, waiting], return_when=asyncio.FIRST_COMPLETED
            )
            # Only a refusal ends the sending before the effect is seen.
            if not waiting.done() and OrderAnswer.REFUSED in calls.answers:
                status = None
            else:
                status = await waiting
        finally:
            sending.cancel()
            waiting.cancel()
        calls.collect()
        has_effect = _has_role(status, order)
        opened = self._open_calls.get(order.target)
        others = opened is not None and not opened.tasks <= calls.running
        logging.info(
            "event=promotion-ordered group=%s target=%s token=%d"
            " above_term=%d calls=%s unanswered=%d done=%s",
            order.group,
            order.target,
            promotion.fencing_token,
            order.above_term,
            ",".join(a.name.lower() for a in calls.answers) or "-",
            len(calls.running),
            status is not None,
        )
        return PromotionResult(
            done=status is not None,
            target_term=0 if status is None else status.term,
            # An earlier leader may have made calls of its own.
            is_settled=calls.are_settled(has_effect=has_effect)
            and not order.may_be_primary
            and not others,
            has_open_calls=opened is not None,
        )

    async def _send(
        self, promotion: PromotionOrder, calls: _OrderCalls
    ) -> None:
        """Send an order until the platform accepts or refuses it.

        An order that names the present primary changes nothing, so one
        that is not answered is sent again.  The first call goes on.
        """
        pause_s = POLL_INTERVAL_S
        while clock_ns() < promotion.deadline_ns and self.leads():
            if self._may_call(promotion):
                self._start_call(promotion, calls)
            await self._wait_to_send(promotion.target, calls)
            calls.collect()
            if calls.has_verdict:
                return
            await asyncio.sleep(pause_s)
            pause_s = min(2 * pause_s, MAX_PAUSE_S)

    async def _wait_to_send(self, target: str, calls: _OrderCalls) -> None:
        """Wait for an answer, or until one more call may be sent."""
        opened = self._open_calls.get(target)
        if opened is None:
            return
        left_s = max(0.0, (opened.next_ns - clock_ns()) / NS_PER_S)
        if calls.running:
            await asyncio.wait(
                calls.running,
                timeout=left_s,
                return_when=asyncio.FIRST_COMPLETED,
            )
        else:
            await asyncio.sleep(left_s)

    def _may_call(self, promotion: PromotionOrder) -> bool:
        opened = self._open_calls.get(promotion.target)
        now_ns = clock_ns()
        is_due = opened is None or now_ns >= opened.next_ns
        return is_due and now_ns < promotion.deadline_ns and self.leads()

    def _start_call(
        self, promotion: PromotionOrder, calls: _OrderCalls
    ) -> None:
        """Start one more call, which runs until it is answered."""

        def still_leads() -> bool:
            is_same = self.fencing_token() == promotion.fencing_token
            return is_same and self.leads()

        call = functools.partial(
            self.promoter.promote, promotion, may_send=still_leads
        )
        loop = asyncio.get_running_loop()

        async def run() -> OrderAnswer:
            return await loop.run_in_executor(self._threads, call)

        task = asyncio.create_task(run())
        calls.running.add(task)
        now_ns = clock_ns()
        opened = self._open_calls.setdefault(
            promotion.target, _OpenCalls(since_ns=now_ns, sent_ns=now_ns)
        )
        opened.sent_ns = now_ns
        opened.tasks.add(task)
        task.add_done_callback(
            lambda ended: self._end_call(promotion, opened, ended)
        )

    def _end_call(
        self,
        promotion: PromotionOrder,
        opened: _OpenCalls,
        task: asyncio.Task[OrderAnswer],
    ) -> None:
        opened.tasks.discard(task)
        if not opened.tasks:
            del self._open_calls[promotion.target]
            self.on_answered(promotion.group, promotion.target)

    async def _read_status(
        self, instance: Instance, order: PromoteTarget, timeout_ms: int
    ) -> TargetStatus | None:
        limit_ns = clock_ns() + timeout_ms * NS_PER_MS
        found = await self._reader.read(
            instance, min(order.deadline_ns, limit_ns)
        )
        return found.status

    async def _wait_until_primary(
        self, order: PromoteTarget, instance: Instance, calls: _OrderCalls
    ) -> TargetStatus | None:
        """Read the status until the target has taken up the role.

        :return: its status then, or None after the deadline
        """
        read_from_ns = clock_ns() + SLOW_ANSWER_MS * NS_PER_MS
        while clock_ns() < order.deadline_ns:
            await asyncio.sleep(POLL_INTERVAL_S)
            is_slow = clock_ns() >= read_from_ns
            if not is_slow and OrderAnswer.ACCEPTED not in calls.answers:
                continue
            asked_ns = clock_ns()
            status = await self._read_status(
                instance, order, CONFIRM_TIMEOUT_MS
            )
            if _has_role(status, order):
                return status
            if _is_present_primary(status, order, calls, asked_ns):
                return status
        return None

    async def demote(
        self, order: DemoteTarget, instance: Instance | None
    ) -> TargetStatus | None:
        """Tell an old primary of the term of the present one.

        :return: its status after that, or None if it did not answer
        """
        if instance is None:
            return None
        deadline_ns = clock_ns() + STATUS_TIMEOUT_MS * NS_PER_MS
        found = await self._reader.read(
            instance, deadline_ns, demote_term=order.term
        )
        return found.status

    async def _probe_instance(
        self, instance: Instance, deadline_ns: int, *, fresh: bool
    ) -> TargetReport | None:
        asked_ns = clock_ns()
        try:
            found = await self._reader.read(instance, deadline_ns, fresh=fresh)
        except Exception as error:  # noqa: BLE001  # of this target only
            logging.error(
                "event=defect step=probe target=%s",
                instance.name,
                exc_info=error,
            )
            return None
        if found.status is None:
            # A target that accepts a connection is slow but reachable.
            return TargetReport(
                target=instance.name, reachable=found.is_reachable
            )
        return TargetReport(
            target=instance.name,
            reachable=True,
            role=found.status.role,
            term=found.status.term,
            log_term=found.status.log_term,
            position=found.status.position,
            asked_ns=asked_ns,
        )


def _has_role(status: TargetStatus | None, order: PromoteTarget) -> bool:
    """Tell whether a target leads the term that the order is about."""
    if status is None or status.role != PRIMARY_ROLE:
        return False
    return status.term > order.above_term


def _is_present_primary(
    status: TargetStatus | None,
    order: PromoteTarget,
    calls: _OrderCalls,
    asked_ns: int,
) -> bool:
    """Tell whether an order changed nothing, as its target leads.

    :param asked_ns: :func:`clock_ns` time at which the status was read
    """
    if status is None or not order.may_be_present or not calls.accepted_ns:
        return False
    if asked_ns < calls.accepted_ns + PRESENT_PRIMARY_MS * NS_PER_MS:
        return False
    return status.role == PRIMARY_ROLE and status.term == order.above_term
