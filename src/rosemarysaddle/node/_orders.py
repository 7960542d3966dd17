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
STATUS_TIMEOUT_MS: Final = 400


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
        status = await self._read_status(instance, _status_deadline_ns(order))
        if status is not None and status.role == "primary":
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

    async def _wait_until_primary(
        self, order: PromoteTarget, instance: Instance
    ) -> bool:
        while clock_ns() < order.deadline_ns:
            await asyncio.sleep(POLL_INTERVAL_S)
            status = await self._read_status(
                instance, _status_deadline_ns(order)
            )
            if status is not None and status.role == "primary":
                return True
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

    async def _read_status(
        self, instance: Instance, deadline_ns: int
    ) -> TargetStatus | None:
        return await self._request_status(
            self._new_connection(instance), instance, deadline_ns
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
        group = self.group_of(instance.name)
        open_message = connection.codec.encode_open(
            group=group, label="control", target=instance.name
        )
        answer = await open_connection(
            connection,
            Address.parse(instance.address),
            open_message,
            deadline_ns=deadline_ns,
        )
        if answer.fault is not None:
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


def _status_deadline_ns(order: PromoteTarget) -> int:
    return min(order.deadline_ns, clock_ns() + STATUS_TIMEOUT_MS * NS_PER_MS)


def _ignore(connection: TargetConnection) -> None:
    del connection
