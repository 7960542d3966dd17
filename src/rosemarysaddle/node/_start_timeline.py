"""Timeline of the start of a host, for its log and its metrics."""

from __future__ import annotations

import enum
import time
from typing import TYPE_CHECKING, Final

import attrs

from rosemarysaddle import _log as logging
from rosemarysaddle._clock import NS_PER_S, clock_ns

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = ("StartStep", "StartTimeline")

NS_PER_MS: Final = 1_000_000


class StartStep(enum.StrEnum):
    """Step of a start; each is reached at most once in a process.

    Both roles reach the first two, control hosts the steps up to
    ``API``, and entry hosts the others.
    """

    IMPORTED = "imported"
    LISTENING = "listening"
    LOG_READ = "log-read"
    LEADER_KNOWN = "leader-known"
    ELECTED = "elected"
    LEASE_GRANTED = "lease-granted"
    ALL_LEASES = "all-leases"
    API = "api"
    LEASE = "lease"
    VIEW = "view"
    NEIGHBOURS = "neighbours"
    READY = "ready"
    FIRST_SESSION = "first-session"
    FIRST_STATEMENT = "first-statement"


@attrs.define(kw_only=True, eq=False)
class StartTimeline:
    """Steps that this host has reached, and when.

    :param started_ns: time at which the process was started
    :param clock_ns: reads the clock of ``started_ns``
    :param steps_s: time from the start of the process to each step, in
        seconds
    """

    started_ns: int
    clock_ns: Callable[[], int] = clock_ns
    steps_s: dict[StartStep, float] = attrs.field(factory=dict, init=False)

    def record(self, step: StartStep, *, reached: bool = True) -> None:
        """Log a step once it is reached for the first time.

        :param reached: whether the step has been reached
        """
        if not reached or step in self.steps_s:
            return
        spent_ns = max(0, self.clock_ns() - self.started_ns)
        self.steps_s[step] = spent_ns / NS_PER_S
        logging.info(
            "event=start-step step=%s after_ms=%d processor_ms=%d",
            step,
            spent_ns // NS_PER_MS,
            time.process_time_ns() // NS_PER_MS,
        )
