"""Departures: primaries that have announced their planned stop."""

from __future__ import annotations

import enum

import attrs

__all__ = ("Departure", "DepartureStatus", "SuccessorSearch")


class DepartureStatus(enum.StrEnum):
    """What the replacement of a leaving primary waits for."""

    CHANGING = "changing"
    """The end of the change in progress."""
    WAITS_FOR_SUCCESSOR = "waits-for-successor"
    """A target that has received nearly all writes."""
    WAITS_FOR_LEASES = "waits-for-leases"
    """Leases of an earlier leader that are not listed."""
    NO_OTHER_TARGET = "no-other-target"
    """A target of the group that stays."""


@attrs.frozen(kw_only=True)
class Departure:
    """Group whose primary is about to stop."""

    group: str
    primary: str
    status: DepartureStatus


@attrs.define(kw_only=True)
class SuccessorSearch:
    """Search for a target that can replace a primary.

    The group stays open meanwhile, so that its writes go on.

    :param primary: primary to replace
    :param deadline_ns: time from which the change starts in any case
    :param retry_at_ns: time of the next probe
    """

    primary: str
    deadline_ns: int
    retry_at_ns: int = 0
