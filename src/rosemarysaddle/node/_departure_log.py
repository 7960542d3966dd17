"""Log lines about primaries that have announced their planned stop."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from rosemarysaddle._events import log_event
from rosemarysaddle.decide import NS_PER_MS

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from rosemarysaddle.decide import Departure

__all__ = ("DepartureLog",)


@attrs.define(kw_only=True)
class _Reported:
    departure: Departure
    since_ns: int


@attrs.define(kw_only=True)
class DepartureLog:
    """Logs each step of the replacement of a leaving primary.

    :param write: called with the kind and the text of each line
    """

    write: Callable[[str, str], None] = log_event
    _reported: dict[str, _Reported] = attrs.field(factory=dict, init=False)

    def update(self, departures: Iterable[Departure], now_ns: int) -> None:
        """Log what has changed since the last call.

        :param departures: departures that the leader sees now; none on
            another host
        :param now_ns: monotonic time, in nanoseconds
        """
        current = {d.group: d for d in departures}
        for group, departure in current.items():
            known = self._reported.get(group)
            if known is None or known.departure.primary != departure.primary:
                known = _Reported(departure=departure, since_ns=now_ns)
                self._reported[group] = known
            elif known.departure == departure:
                continue
            known.departure = departure
            self._log(known, str(departure.status), now_ns)
        for group in sorted(self._reported.keys() - current.keys()):
            self._log(self._reported.pop(group), "over", now_ns)

    def _log(self, reported: _Reported, status: str, now_ns: int) -> None:
        known_for_ms = (now_ns - reported.since_ns) // NS_PER_MS
        self.write(
            "departure",
            f"group={reported.departure.group}"
            f" primary={reported.departure.primary} status={status}"
            f" known_for_ms={known_for_ms}",
        )
