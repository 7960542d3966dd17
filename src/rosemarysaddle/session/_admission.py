"""Admission of statements to one target, by priority and arrival."""

from __future__ import annotations

import asyncio
import heapq
import itertools
from typing import TYPE_CHECKING, Final

import attrs

from rosemarysaddle._clock import NS_PER_S, clock_ns
from rosemarysaddle.decide import ConcurrencyWindow

if TYPE_CHECKING:
    from collections.abc import Iterator

__all__ = ("AdmissionQueue",)

MAX_QUEUED_STATEMENTS: Final = 512


@attrs.define(kw_only=True, eq=False)
class AdmissionQueue:
    """Queue of the statements that wait to run at one target.

    :param window: limit on the number of statements that run at once
    """

    window: ConcurrencyWindow = attrs.field(factory=ConcurrencyWindow)
    _queue: list[tuple[int, int, asyncio.Future[None]]] = attrs.field(
        factory=list, init=False
    )
    _sequence: Iterator[int] = attrs.field(factory=itertools.count, init=False)

    @property
    def waiting(self) -> int:
        """Number of statements in the queue."""
        return len(self._queue)

    async def enter(self, *, priority: int, deadline_ns: int) -> bool:
        """Wait for the admission of a statement.

        If it is admitted, the caller has to call :meth:`leave` after it
        has run.

        :param priority: priority of the statement; 0 is the highest
        :param deadline_ns: :func:`clock_ns` time until which to wait
        :return: whether the statement is admitted; False if the
            deadline has passed or the queue is full
        """
        if not self._queue and self.window.may_start():
            self.window.running += 1
            return True
        left_s = (deadline_ns - clock_ns()) / NS_PER_S
        if left_s <= 0 or len(self._queue) >= MAX_QUEUED_STATEMENTS:
            return False
        return await self._wait(priority, left_s)

    async def _wait(self, priority: int, left_s: float) -> bool:
        loop = asyncio.get_running_loop()
        admitted: asyncio.Future[None] = loop.create_future()
        entry = (priority, next(self._sequence), admitted)
        heapq.heappush(self._queue, entry)
        timer = loop.call_later(left_s, admitted.cancel)
        try:
            await admitted
        except asyncio.CancelledError:
            if entry in self._queue:
                self._queue.remove(entry)
                heapq.heapify(self._queue)
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
        while self._queue and self.window.may_start():
            _, _, admitted = heapq.heappop(self._queue)
            if not admitted.done():
                self.window.running += 1
                admitted.set_result(None)
