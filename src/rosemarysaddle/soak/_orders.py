"""How the stand-in platform treats orders to promote a target."""

from __future__ import annotations

import asyncio
import enum
import http
import time
from typing import TYPE_CHECKING, Final

import attrs

if TYPE_CHECKING:
    from rosemarysaddle.soak._targets import TargetGroup

__all__ = ("OrderCall", "OrderFault", "PromotionOrders")

# Longer than a caller waits for an answer.
NO_ANSWER_S: Final = 5.0


class OrderFault(enum.StrEnum):
    """What happens to an order.

    LATE carries the order out after a delay and answers then,
    ANSWER_LOST carries it out at once and does not answer, CALL_LOST
    does neither.
    """

    NONE = "none"
    LATE = "late"
    ANSWER_LOST = "answer-lost"
    CALL_LOST = "call-lost"


@attrs.frozen(kw_only=True)
class OrderCall:
    """An order as it arrived.

    :param at_s: monotonic time
    """

    at_s: float
    target: str


@attrs.define(kw_only=True, eq=False)
class PromotionOrders:
    """Carries out the orders to promote a target.

    :param fault: what happens to the next orders
    :param delay_s: time after which a late order is carried out
    :param calls: all orders that arrived
    """

    group: TargetGroup
    fault: OrderFault = OrderFault.NONE
    delay_s: float = 0.0
    calls: list[OrderCall] = attrs.field(factory=list)
    _open_calls: int = attrs.field(default=0, init=False)
    _promoting: set[asyncio.Task[bool]] = attrs.field(factory=set, init=False)

    @property
    def is_idle(self) -> bool:
        """Whether no order may be carried out any more."""
        return not self._open_calls and not self._promoting

    def set_fault(self, fault: OrderFault, delay_s: float = 0.0) -> None:
        """Determine what happens to the next orders."""
        self.fault, self.delay_s = fault, delay_s

    async def handle(self, target: str) -> http.HTTPStatus | None:
        """Handle an order.

        :return: status of the answer, or None if it is lost
        """
        self.calls.append(OrderCall(at_s=time.monotonic(), target=target))
        self._open_calls += 1
        try:
            return await self._handle(target)
        finally:
            self._open_calls -= 1

    async def _handle(self, target: str) -> http.HTTPStatus | None:
        fault, delay_s = self.fault, self.delay_s
        if fault is OrderFault.CALL_LOST:
            await asyncio.sleep(NO_ANSWER_S)
            return None
        if fault is OrderFault.LATE:
            await asyncio.sleep(delay_s)
        status = self._carry_out(target)
        if fault is OrderFault.ANSWER_LOST:
            await asyncio.sleep(NO_ANSWER_S)
            return None
        return status

    def _carry_out(self, target: str) -> http.HTTPStatus:
        if not self.group.takes_order(target):
            return http.HTTPStatus.CONFLICT
        task = asyncio.ensure_future(self.group.carry_out(target))
        self._promoting.add(task)
        task.add_done_callback(self._promoting.discard)
        return http.HTTPStatus.OK
