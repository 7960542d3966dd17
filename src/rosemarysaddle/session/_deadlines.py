"""Times until which the statements of a route wait.

All of them are on the clock of :func:`clock_ns`, in nanoseconds.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from rosemarysaddle._clock import clock_ns
from rosemarysaddle.decide import NS_PER_MS

if TYPE_CHECKING:
    from rosemarysaddle.schema import Route

__all__ = (
    "deadline_ns",
    "objective_ns",
    "start_deadline_ns",
    "target_deadline_ns",
)


def deadline_ns(route: Route) -> int:
    """Return when a statement that arrives now times out."""
    return clock_ns() + route.timeout_ms * NS_PER_MS


def objective_ns(route: Route, deadline_ns: int) -> int:
    """Return the time by which a statement has to be answered.

    :param deadline_ns: time at which it times out
    :return: the time that meets the latency objective; 0 without one
    """
    if not route.latency_objective_ms:
        return 0
    began_ns = deadline_ns - route.timeout_ms * NS_PER_MS
    return began_ns + route.latency_objective_ms * NS_PER_MS


def target_deadline_ns(route: Route, deadline_ns: int) -> int:
    """Return the time until which to wait for a target to appear.

    Later than for a connection: a change of primary takes longer than a
    queue is worth waiting for, and leaves the caller no other target.
    """
    return deadline_ns - route.timeout_ms * NS_PER_MS // 4


def start_deadline_ns(route: Route, deadline_ns: int) -> int:
    """Return the time until which a statement may wait to start.

    The wait for admission and for a connection may take half of the
    route's time-out.  A statement that waits longer rarely finishes in
    the time left, and a refusal lets its caller retry sooner.  One that
    waited longer for a target to appear gets an eighth more.
    """
    timeout_ns = route.timeout_ms * NS_PER_MS
    eighth_ns = timeout_ns // 8
    after_wait_ns = min(clock_ns() + eighth_ns, deadline_ns - eighth_ns)
    return max(deadline_ns - timeout_ns // 2, after_wait_ns)
