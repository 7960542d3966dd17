"""Status probes and promotion of self-announced targets."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Final

import attrs

from rosemarysaddle import _log as logging
from rosemarysaddle._clock import clock_ns
from rosemarysaddle.connection import TargetConnection, open_connection
from rosemarysaddle.decide import NS_PER_MS, FaultCode, TargetReport
from rosemarysaddle.link import Address
from rosemarysaddle.node._platform import PromotionOrder

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from rosemarysaddle.decide import ProbeGroup, PromoteTarget
    from rosemarysaddle.node._platform import Platform, Promoter, TargetStatus
    from rosemarysaddle.schema import Instance

__all__ = ("AnnouncedTargetOrders",)

POLL_INTERVAL_S: Final = 0.05
# Limits the check whether an earlier leader's promotion took effect.
STATUS_TIMEOUT_MS: Final = 400
# A full target queues the opening of a connection and the status
# request behind up to 40 statements of callers each.  A connection that
# has gone silent is replaced after this time.
CONFIRM_TIMEOUT_MS: Final = 1_500


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
                self._probe_instance(instance, probe.deadline_ns)
            )
            for instance in instances
        ]
        reports: list[TargetReport] = []
        for done in asyncio.as_completed(tasks):
            reports.append(await done)
            if sum(bool(r.role) for r in reports) >= probe.quorum:
                break
        for task in tasks:
            task.cancel()
        return reports

    async def promote(
        self, order: PromoteTarget, instance: Instance | None
    ) -> bool:
        """Make an instance the primary of its group.

        :return: whether the instance reports that it is the primary
        """
        if instance is None:
            return False
        if order.may_be_primary and await self._is_primary(instance, order):
            return True
        promotion = PromotionOrder(
            group=order.group,
            target=order.target,
            leader=self.host,
            fencing_token=self.fencing_token(),
            deadline_ns=order.deadline_ns,
        )
        accepted = await asyncio.to_thread(
            self.promoter.promote, promotion, may_send=self.leads
        )
        logging.info(
            "event=promotion-ordered group=%s target=%s token=%d taken=%s",
            order.group,
            order.target,
            promotion.fencing_token,
            accepted,
        )
        return accepted and await self._wait_until_primary(order, instance)

    async def _is_primary(
        self, instance: Instance, order: PromoteTarget
    ) -> bool:
        limit_ns = clock_ns() + STATUS_TIMEOUT_MS * NS_PER_MS
        status = await self._request_status(
            self._new_connection(instance),
            instance,
            min(order.deadline_ns, limit_ns),
        )
        return status is not None and status.role == "primary"

    async def _wait_until_primary(
        self, order: PromoteTarget, instance: Instance
    ) -> bool:
        while clock_ns() < order.deadline_ns:
            await asyncio.sleep(POLL_INTERVAL_S)
            connection = self._new_connection(instance)
            try:
                if await self._poll_until_primary(connection, order, instance):
                    return True
            finally:
                connection.abort()
        return False

    async def _poll_until_primary(
        self,
        connection: TargetConnection,
        order: PromoteTarget,
        instance: Instance,
    ) -> bool:
        """Read the status over one connection until it is primary.

        :return: whether it is; False if the connection failed
        """
        is_open = await self._open(
            connection, instance, _confirm_deadline_ns(order)
        )
        while is_open and not connection.is_lost:
            answer = await connection.ask(
                connection.codec.encode_status(),
                deadline_ns=_confirm_deadline_ns(order),
            )
            status = self.platform.read_status(answer)
            if status is not None and status.role == "primary":
                return True
            await asyncio.sleep(POLL_INTERVAL_S)
        return False

    async def _probe_instance(
        self, instance: Instance, deadline_ns: int
    ) -> TargetReport:
        connection = self._new_connection(instance)
        status = await self._request_status(connection, instance, deadline_ns)
        if status is None:
            # A target that accepts a connection is slow but reachable.
            return TargetReport(
                target=instance.name, reachable=connection.was_connected
            )
        return TargetReport(
            target=instance.name,
            reachable=True,
            role=status.role,
            term=status.term,
            position=status.position,
        )

    def _new_connection(self, instance: Instance) -> TargetConnection:
        return TargetConnection(
            target=instance.name,
            codec=self.platform.target_codec(),
            on_lost=_ignore,
        )

    async def _request_status(
        self,
        connection: TargetConnection,
        instance: Instance,
        deadline_ns: int,
    ) -> TargetStatus | None:
        if not await self._open(connection, instance, deadline_ns):
            return None
        status = None
        while status is None and clock_ns() < deadline_ns:
            answer = await connection.ask(
                connection.codec.encode_status(), deadline_ns=deadline_ns
            )
            status = self.platform.read_status(answer)
            if answer.fault is not FaultCode.BUSY:
                break
            await asyncio.sleep(POLL_INTERVAL_S)
        connection.abort()
        return status

    async def _open(
        self,
        connection: TargetConnection,
        instance: Instance,
        deadline_ns: int,
    ) -> bool:
        open_message = connection.codec.encode_open(
            group=self.group_of(instance.name),
            label="control",
            target=instance.name,
        )
        answer = await open_connection(
            connection,
            Address.parse(instance.address),
            open_message,
            deadline_ns=deadline_ns,
        )
        return answer.fault is None


def _confirm_deadline_ns(order: PromoteTarget) -> int:
    return min(order.deadline_ns, clock_ns() + CONFIRM_TIMEOUT_MS * NS_PER_MS)


def _ignore(connection: TargetConnection) -> None:
    del connection
