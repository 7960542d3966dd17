"""Orders of the control leader to targets, over new connections."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

import attrs

from rosemarysaddle.decide import NS_PER_MS, TargetReport
from rosemarysaddle.link import Address
from rosemarysaddle.target import FaultKind, TargetFault

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from rosemarysaddle.decide import (
        FollowPrimary,
        ProbeGroup,
        PromoteTarget,
    )
    from rosemarysaddle.schema import Instance
    from rosemarysaddle.target import TargetConnector, TargetSession

__all__ = ("TargetOrders",)

FOLLOW_MS = 1_000


@attrs.frozen(kw_only=True)
class TargetOrders:
    """Reads the status of targets and gives them orders."""

    connector: TargetConnector

    async def probe(
        self, probe: ProbeGroup, instances: Sequence[Instance]
    ) -> list[TargetReport]:
        """Read the status of the instances of a group.

        :return: one report for each instance, as far as known when
            enough have answered or the deadline has passed
        """
        tasks = [
            asyncio.create_task(
                asyncio.to_thread(self._read, instance, probe.deadline_ns)
            )
            for instance in instances
        ]
        reports: list[TargetReport] = []
        for done in asyncio.as_completed(tasks):
            reports.append(await done)
            if sum(r.reachable for r in reports) >= probe.quorum:
                break
        known = {r.target for r in reports}
        missing = [i.name for i in instances if i.name not in known]
        reports.extend(
            TargetReport(target=n, reachable=False) for n in missing
        )
        return reports

    async def promote(
        self, order: PromoteTarget, instance: Instance | None
    ) -> bool:
        """Order an instance to become primary.

        :return: whether it is primary now
        """
        return await self._order(
            instance,
            order.deadline_ns,
            lambda session: session.promote(order.term),
        )

    async def follow(
        self, order: FollowPrimary, instance: Instance | None
    ) -> bool:
        """Order an instance to replicate from a primary.

        :return: whether it obeys
        """
        return await self._order(
            instance,
            time.monotonic_ns() + FOLLOW_MS * NS_PER_MS,
            lambda session: session.follow(
                primary=order.primary, term=order.term, start=order.start
            ),
        )

    async def _order(
        self,
        instance: Instance | None,
        deadline_ns: int,
        give: Callable[[TargetSession], TargetFault | None],
    ) -> bool:
        if instance is None:
            return False
        return await asyncio.to_thread(
            self._order_now, instance, deadline_ns, give
        )

    def _order_now(
        self,
        instance: Instance,
        deadline_ns: int,
        give: Callable[[TargetSession], TargetFault | None],
    ) -> bool:
        session = self._connect(instance, deadline_ns)
        if isinstance(session, TargetFault):
            return False
        try:
            session.set_deadline(deadline_ns)
            return give(session) is None
        finally:
            session.close()

    def _read(self, instance: Instance, deadline_ns: int) -> TargetReport:
        session = self._connect(instance, deadline_ns)
        if isinstance(session, TargetFault):
            refused = session.kind is FaultKind.REFUSED
            return TargetReport(
                target=instance.name, reachable=False, refused=refused
            )
        try:
            session.set_deadline(deadline_ns)
            status = session.status(after=0, wait_ms=0)
        finally:
            session.close()
        if isinstance(status, TargetFault):
            return TargetReport(target=instance.name, reachable=False)
        return TargetReport(
            target=instance.name,
            reachable=True,
            role=status.role,
            term=status.point.term,
            position=status.point.position,
        )

    def _connect(
        self, instance: Instance, deadline_ns: int
    ) -> TargetSession | TargetFault:
        address = Address.parse(instance.address)
        return self.connector.connect(
            instance.name, address, deadline_ns=deadline_ns
        )
