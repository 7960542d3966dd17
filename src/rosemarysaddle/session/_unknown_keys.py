"""Count of the sessions that were refused for an unknown key."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import attrs

from rosemarysaddle._clock import NS_PER_S
from rosemarysaddle._events import log_event

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = ("UnknownKeyCounter",)

_INTERVAL_NS: Final = NS_PER_S


@attrs.define(kw_only=True)
class UnknownKeyCounter:
    """Counts refused sessions and logs one line a second about them.

    :param log: writes one line, given kind and text of the event
    :param total: refused sessions since the start
    """

    log: Callable[[str, str], None] = log_event
    total: int = attrs.field(default=0, init=False)
    _logged: int = attrs.field(default=0, init=False)
    _next_line_ns: int = attrs.field(default=0, init=False)
    _last: str = attrs.field(default="", init=False)

    def record(self, database: str, caller: str, now_ns: int) -> None:
        """Record one refused session.

        :param caller: IP address of the caller
        :param now_ns: monotonic time, in nanoseconds
        """
        self.total += 1
        self._last = f"last_database={database} last_caller={caller}"
        self.tick(now_ns)

    def tick(self, now_ns: int) -> None:
        """Log what was recorded since the last line, if that is due.

        :param now_ns: monotonic time, in nanoseconds
        """
        count = self.total - self._logged
        if not count or now_ns < self._next_line_ns:
            return
        self._next_line_ns = now_ns + _INTERVAL_NS
        self._logged = self.total
        self.log("unknown-key", f"count={count} {self._last}")
