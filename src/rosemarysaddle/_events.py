"""Log lines of decisions, bounded by kind and second."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING, Final

import attrs
from absl import logging

from rosemarysaddle._clock import NS_PER_S, clock_ns

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = ("EventLog", "log_event")

MAX_LINES_PER_SECOND: Final = 20


@attrs.define(kw_only=True)
class EventLog:
    """Writes so many lines of each kind a second, and counts the rest.

    :param write: writes one line
    """

    write: Callable[[str], None]
    _second: int = attrs.field(default=0, init=False)
    _counts: collections.Counter[str] = attrs.field(
        factory=collections.Counter, init=False
    )

    def log(self, kind: str, text: str, now_ns: int) -> None:
        """Write one line, unless too many of its kind were written.

        :param kind: kind of the decision
        :param text: its inputs and outcome as ``key=value``
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
                left_out = count - MAX_LINES_PER_SECOND
                self.write(f"event=left-out kind={kind} count={left_out}")
        self._counts.clear()


def _write(text: str) -> None:
    logging.info("%s", text)


_LOG: Final = EventLog(write=_write)


def log_event(kind: str, text: str) -> None:
    """Write one bounded line to the log of this process."""
    _LOG.log(kind, text, clock_ns())
