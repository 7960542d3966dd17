"""Simulated time of the plays of queues and targets."""

from __future__ import annotations

import functools
import heapq
import itertools
from typing import TYPE_CHECKING

import attrs

from rosemarysaddle.decide import NS_PER_MS

if TYPE_CHECKING:
    from collections.abc import Callable

    _Event = tuple[float, int, Callable[[], None]]

__all__ = ("Timeline",)


@attrs.define(kw_only=True, eq=False)
class Timeline:
    """Runs actions in the order of their simulated times."""

    _now_ms: float = attrs.field(default=0.0, init=False)
    _sequence: itertools.count[int] = attrs.field(
        factory=itertools.count, init=False
    )
    _events: list[_Event] = attrs.field(factory=list, init=False)

    @property
    def _now_ns(self) -> int:
        return round(self._now_ms * NS_PER_MS)

    def _at(
        self, at_ms: float, action: Callable[..., None], *args: object
    ) -> None:
        """Run an action at a time; at equal ones, in call order."""
        event: _Event = (
            at_ms,
            next(self._sequence),
            functools.partial(action, *args),
        )
        heapq.heappush(self._events, event)

    def _run_events(self) -> None:
        """Run actions until there are none."""
        while self._events:
            self._now_ms, _, action = heapq.heappop(self._events)
            action()
