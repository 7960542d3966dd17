"""Planned stops of stand-in targets, and work that came too late."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Final

import attrs

if TYPE_CHECKING:
    from collections.abc import Iterable

__all__ = ("LEAVING_WORK_S", "Departure", "Work", "find_late_work")

# Default of the setting `leaving_work_ms`.
LEAVING_WORK_S: Final = 7.0


@attrs.define(kw_only=True)
class Departure:
    """Planned stop of a target.

    :param acknowledged_s: monotonic time at which a control host
        acknowledged the announcement, in seconds
    :param has_left: whether the target has sent its leave call, after
        which it says nothing more of itself
    :param ended_s: monotonic time at which the target ended
    """

    target: str
    acknowledged_s: float = math.inf
    has_left: bool = False
    ended_s: float = math.inf


@attrs.frozen(kw_only=True)
class Work:
    """New work that reached a target.

    It is a statement outside a transaction, or the first one of a
    transaction.

    :param at_s: monotonic time, in seconds
    """

    at_s: float
    target: str
    request_id: str


def find_late_work(
    departures: Iterable[Departure], work: Iterable[Work]
) -> list[str]:
    """Find work that reached a target long after its announcement."""
    return [
        f"{item.request_id} reached {item.target}"
        f" {item.at_s - departure.acknowledged_s:.1f} s after the"
        " acknowledgement of its stop"
        for item in work
        for departure in departures
        if item.target == departure.target
        and departure.acknowledged_s + LEAVING_WORK_S < item.at_s
        and item.at_s < departure.ended_s
    ]
