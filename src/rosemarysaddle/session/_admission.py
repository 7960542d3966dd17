"""Admission of statements to one target.

The order is that of the queue at the lender, so that a statement is not
held up at its own host by those that it would overtake there.
"""

from __future__ import annotations

import asyncio
from typing import Final

import attrs

from rosemarysaddle._clock import NS_PER_S, clock_ns
from rosemarysaddle.decide import (
    ConcurrencyWindow,
    ConnectionQueue,
    ConnectionRequest,
    WorkEstimates,
)

__all__ = ("AdmissionQueue",)

MAX_QUEUED_STATEMENTS: Final = 512


@attrs.define(kw_only=True, eq=False)
class AdmissionQueue:
    """Queue of the statements that wait to run at one target.

    :param window: limit on the number of statements that run at once
    :param work: work of the operations of each kind
    """

    window: ConcurrencyWindow = attrs.field(factory=ConcurrencyWindow)
    work: WorkEstimates = attrs.field(factory=WorkEstimates)
    _queue: ConnectionQueue[asyncio.Future[None]] = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Create the empty queue, which the window alone limits."""
        self._queue = ConnectionQueue(
            limit=0, window=self.window, work=self.work
        )

    @property
    def waiting(self) -> int:
        """Number of statements in the queue."""
        return len(self._queue)

    async def enter(
        self, connection_request: ConnectionRequest, *, deadline_ns: int
    ) -> bool:
        """Wait for the admission of a statement.

        If it is admitted, the caller has to call :meth:`leave` after it
        has run.

        :param connection_request: request for a connection that follows
        :param deadline_ns: :func:`clock_ns` time until which to wait
        :return: whether the statement is admitted; False if the
            deadline has passed or the queue is full
        """
        if not self.waiting and self.window.may_start():
            self._queue.record_acquired(connection_request)
            return True
        left_s = (deadline_ns - clock_ns()) / NS_PER_S
        if left_s <= 0 or self.waiting >= MAX_QUEUED_STATEMENTS:
            return False
        return await self._wait(connection_request, left_s)

    async def _wait(
        self, connection_request: ConnectionRequest, left_s: float
    ) -> bool:
        loop = asyncio.get_running_loop()
        admitted: asyncio.Future[None] = loop.create_future()
        waiter = self._queue.push(
            connection_request, admitted, now_ns=clock_ns()
        )
        timer = loop.call_later(left_s, admitted.cancel)
        try:
            await admitted
        except asyncio.CancelledError:
            self._queue.remove(waiter, now_ns=clock_ns())
            current = asyncio.current_task()
            if current is not None and current.cancelling():
                raise
            return False
        finally:
            timer.cancel()
        return True

    def enter_now(self) -> None:
        """Admit a statement of an open transaction without queueing."""
        self.window.running += 1

    def leave(self) -> None:
        """Report that a statement has run, and admit the next ones."""
        self.window.running -= 1
        if not self.waiting:
            return
        now_ns = clock_ns()
        while (waiter := self._queue.pop(now_ns=now_ns)) is not None:
            if not waiter.item.done():
                self._queue.record_acquired(waiter.connection_request)
                waiter.item.set_result(None)
