"""Rate-limited log lines about decisions.

Each kind of event has a limit of lines per second, so that overload
cannot flood the log.
"""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING, Final

import attrs

from rosemarysaddle import _log as logging
from rosemarysaddle._clock import NS_PER_S, clock_ns

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = ("EventLog", "log_event")

MAX_LINES_PER_SECOND: Final = 20


@attrs.define(kw_only=True)
class EventLog:
    """Writes a limited number of lines of each kind per second.

    Further lines are only counted; ``event=left-out`` reports how many
    once a line is logged in a later second.

    :param write: called with each line to write
    """

    write: Callable[[str], None]
    _second: int = attrs.field(default=0, init=False)
    _counts: collections.Counter[str] = attrs.field(
        factory=collections.Counter, init=False
    )

    def log(self, kind: str, text: str, now_ns: int) -> None:
        """Write one line, or count it if its kind is over the limit.

        :param kind: name of the event
        :param text: inputs and outcome of the decision as ``key=value``
        :param now_ns: monotonic time, in nanoseconds
        """
        second = now_ns // NS_PER_S
        if second != self._second:
            self._log_suppressed()
            self._second = second
        self._counts[kind] += 1
        if self._counts[kind] <= MAX_LINES_PER_SECOND:
            self.write(f"event={kind} {text}")

    def _log_suppressed(self) -> None:
        for kind, count in self._counts.items():
            if count > MAX_LINES_PER_SECOND:
                suppressed = count - MAX_LINES_PER_SECOND
                self.write(f"event=left-out kind={kind} count={suppressed}")
        self._counts.clear()


def _write(text: str) -> None:
    logging.info("%s", text)


_LOG: Final = EventLog(write=_write)


def log_event(kind: str, text: str) -> None:
    """Write one rate-limited line to the log of this process.

    :param kind: name of the event
    :param text: inputs and outcome of the decision as ``key=value``
    """
    _LOG.log(kind, text, clock_ns())
