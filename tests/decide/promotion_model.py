"""Parts of the model: time, targets and calls of the platform."""

from __future__ import annotations

import enum
import heapq
import itertools
from typing import TYPE_CHECKING, Any, Final

import attrs

from rosemarysaddle.node._platform import OrderAnswer
from tests.helpers import NS_PER_MS

if TYPE_CHECKING:
    from collections.abc import Callable, Generator

    Process = Generator[int, None, Any]

__all__ = (
    "START_NS",
    "Calls",
    "Carried",
    "OpenCalls",
    "OrderMode",
    "Promotion",
    "Target",
    "Timeline",
)

START_NS: Final = 10_000 * NS_PER_MS
STEP_MS: Final = 25
RESEND_MS: Final = 3_000


class OrderMode(enum.Enum):
    """What the platform does with a call."""

    PROMPT = enum.auto()
    LATE = enum.auto()
    """It is carried out and answered late."""
    LATE_ANSWERED = enum.auto()
    """It is answered at once and carried out late."""
    UNANSWERED = enum.auto()
    LOST = enum.auto()
    BUSY = enum.auto()


class Carried(enum.Enum):
    """What becomes of an accepted order while its target is down."""

    DROPPED = enum.auto()
    AT_RETURN = enum.auto()


@attrs.define(kw_only=True)
class Target:
    """Target with its log; an entry is a term and the id of a commit.

    :param is_dark: whether nothing reaches it
    :param is_apart: whether it and the other targets cannot reach each
        other
    :param answer_ms: time that it takes to answer a status request
    :param has_left: whether it has said that it is gone; it may go on
        for a while
    :param meets_ns: time since which it reaches the newest primary
    """

    name: str
    address: str
    role: str = "replica"
    term: int = 1
    log: tuple[tuple[int, int], ...] = ()
    is_up: bool = True
    is_dark: bool = False
    is_apart: bool = False
    is_lagging: bool = False
    answer_ms: int = 2
    started_ms: int = 100
    is_leaving: bool = False
    has_left: bool = False
    meets_ns: int = -1
    orders: list[Callable[[], None]] = attrs.field(factory=list)

    @property
    def is_seen(self) -> bool:
        return self.is_up and not self.is_dark


@attrs.frozen(kw_only=True)
class Promotion:
    """Promotion that took effect.

    :param is_exempt: whether it took effect later than
        ``MAX_DOUBT_MS`` after it was sent, or somebody else ordered it
    """

    target: str
    term: int
    sent_ns: int
    effect_ns: int
    is_exempt: bool


@attrs.define(kw_only=True, eq=False)
class Calls:
    """Calls for one order: their answers, and whether it has ended."""

    running: int = 0
    answers: list[OrderAnswer] = attrs.field(factory=list)
    has_ended: bool = False

    @property
    def has_verdict(self) -> bool:
        verdicts = {OrderAnswer.ACCEPTED, OrderAnswer.REFUSED}
        return not verdicts.isdisjoint(self.answers)

    def are_settled(self, *, has_effect: bool) -> bool:
        open_answers = {OrderAnswer.ACCEPTED, OrderAnswer.UNKNOWN}
        may_have_effect = self.running + sum(
            answer in open_answers for answer in self.answers
        )
        return may_have_effect <= int(has_effect)


@attrs.define(kw_only=True, eq=False)
class OpenCalls:
    """Calls for one target that are not answered, of all its orders."""

    since_ns: int
    sent_ns: int
    count: int = 0

    @property
    def next_ns(self) -> int:
        """Time from which one more may be sent."""
        pause_ns = max(self.sent_ns - self.since_ns, RESEND_MS * NS_PER_MS)
        return self.sent_ns + pause_ns


@attrs.define(kw_only=True, eq=False)
class Timeline:
    """Simulated time, with actions that are due and regular steps.

    Processes are generators that yield the time until which they wait.
    """

    now_ns: int = START_NS
    _next_step_ns: int = START_NS
    _queue: list[tuple[int, int, Any]] = attrs.field(factory=list)
    _order: itertools.count[int] = attrs.field(factory=itertools.count)

    def at(self, due_ns: int, action: Callable[[], Any]) -> None:
        """Call an action at a time."""
        heapq.heappush(self._queue, (due_ns, next(self._order), action))

    def later(self, delay_ms: int, action: Callable[[], Any]) -> None:
        """Call an action after a delay."""
        self.at(self.now_ns + delay_ms * NS_PER_MS, action)

    def spawn(self, process: Process) -> None:
        """Run a process up to its end."""
        due_ns = next(process, None)
        if due_ns is not None:
            self.at(max(due_ns, self.now_ns), lambda: self.spawn(process))

    def run(self, spent_ms: int) -> None:
        """Let time pass."""
        until_ns = self.now_ns + spent_ms * NS_PER_MS
        while self._next_step_ns <= until_ns:
            while self._queue and self._queue[0][0] <= self._next_step_ns:
                self.now_ns, _, action = heapq.heappop(self._queue)
                action()
            self.now_ns = self._next_step_ns
            self._next_step_ns += STEP_MS * NS_PER_MS
            self.step()
        self.now_ns = until_ns

    def run_until(self, condition: Callable[[], bool], limit_ms: int) -> bool:
        """Let time pass until a condition holds."""
        for _ in range(0, limit_ms, STEP_MS):
            if condition():
                return True
            self.run(STEP_MS)
        return condition()

    def step(self) -> None:
        """Do what is done in each step."""
        raise NotImplementedError
