"""Status probes and promotion of self-announced targets."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Final

import attrs

from rosemarysaddle import _log as logging
from rosemarysaddle._clock import clock_ns
from rosemarysaddle.decide import NS_PER_MS, TargetReport
from rosemarysaddle.node._platform import PromotionOrder
from rosemarysaddle.node._status_reader import StatusReader

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from rosemarysaddle.decide import ProbeGroup, PromoteTarget
    from rosemarysaddle.node._platform import (
        Platform,
        Promoter,
        TargetStatus,
    )
    from rosemarysaddle.schema import Instance

__all__ = ("AnnouncedTargetOrders", "PromotionResult")

PRIMARY_ROLE: Final = "primary"
POLL_INTERVAL_S: Final = 0.05
# Limits the check whether an earlier leader's promotion took effect.
STATUS_TIMEOUT_MS: Final = 400
# A full target queues the opening of a connection and the status
# request behind up to 40 statements of callers each.
CONFIRM_TIMEOUT_MS: Final = 1_500


@attrs.frozen(kw_only=True)
class PromotionResult:
    """What became of the promotion of a target.

    :param done: whether the target is the primary
    :param target_term: term in which it is, as targets number theirs
    """

    done: bool
    target_term: int = 0


@attrs.define(kw_only=True, eq=False)
class AnnouncedTargetOrders:
    """Reads the status of targets and has the platform promote them.

    :param host: name of this control host
    :param fencing_token: returns the fencing token, which increases
        with each new leader
    :param leads: returns whether this host is the control leader now
    :param group_of: returns the group of a target
    """

    host: str
    platform: Platform
    promoter: Promoter
    fencing_token: Callable[[], int]
    leads: Callable[[], bool]
    group_of: Callable[[str], str]
    _reader: StatusReader = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Create the reader, without any connection."""
        self._reader = StatusReader(
            new_codec=self.platform.target_codec,
            read_status=self.platform.read_status,
            group_of=self.group_of,
        )

    async def probe(
        self, probe: ProbeGroup, instances: Sequence[Instance]
    ) -> list[TargetReport]:
        """Read the status of the instances of a group.

        Stops as soon as a quorum of instances has answered, at the
        latest when the deadline has passed.

        :return: the reports that arrived until then
        """
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
            if sum(bool(r.role) for r in reports) >= probe.quorum:
                break
        for task in tasks:
            task.cancel()
        return reports

    async def promote(
        self, order: PromoteTarget, instance: Instance | None
    ) -> PromotionResult:
        """Make an instance the primary of its group."""
        if instance is None:
            return PromotionResult(done=False)
        if order.may_be_primary:
            status = await self._read_status(
                instance, order, STATUS_TIMEOUT_MS
            )
            if _has_role(status, order):
                return _result(status)
        if not order.may_order:
            return await self._confirm(order, instance)
        promotion = PromotionOrder(
            group=order.group,
            target=order.target,
            leader=self.host,
            fencing_token=self.fencing_token(),
            deadline_ns=order.deadline_ns,
        )
        accepted = await self._send(promotion)
        logging.info(
            "event=promotion-ordered group=%s target=%s token=%d taken=%s",
            order.group,
            order.target,
            promotion.fencing_token,
            accepted,
        )
        if not accepted:
            return PromotionResult(done=False)
        return _result(await self._wait_until_primary(order, instance))

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
                    done=_has_role(status, order), target_term=status.term
                )
            await asyncio.sleep(POLL_INTERVAL_S)
        return PromotionResult(done=False)

    async def _send(self, promotion: PromotionOrder) -> bool:
        """Send an order until the platform answers.

        One that was not answered may take effect at any time: another
        target that is promoted meanwhile would lose its writes then.
        An order that names the present primary changes nothing.

        :return: whether the platform accepted it
        """
        accepted: bool | None = None
        while accepted is None and clock_ns() < promotion.deadline_ns:
            accepted = await asyncio.to_thread(
                self.promoter.promote, promotion, may_send=self.leads
            )
            if accepted is None:
                await asyncio.sleep(POLL_INTERVAL_S)
        return bool(accepted)

    async def _read_status(
        self, instance: Instance, order: PromoteTarget, timeout_ms: int
    ) -> TargetStatus | None:
        limit_ns = clock_ns() + timeout_ms * NS_PER_MS
        found = await self._reader.read(
            instance, min(order.deadline_ns, limit_ns)
        )
        return found.status

    async def _wait_until_primary(
        self, order: PromoteTarget, instance: Instance
    ) -> TargetStatus | None:
        """Read the status until the target has taken up the role.

        :return: its status then, or None after the deadline
        """
        while clock_ns() < order.deadline_ns:
            await asyncio.sleep(POLL_INTERVAL_S)
            status = await self._read_status(
                instance, order, CONFIRM_TIMEOUT_MS
            )
            if _has_role(status, order):
                return status
        return None

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


def _result(status: TargetStatus | None) -> PromotionResult:
    """Build the result from the status of the new primary."""
    if status is None:
        return PromotionResult(done=False)
    return PromotionResult(done=True, target_term=status.term)
