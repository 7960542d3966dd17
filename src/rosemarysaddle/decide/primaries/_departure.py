"""Departures: primaries that have announced their planned stop."""

from __future__ import annotations

import enum

import attrs

__all__ = ("Departure", "DepartureStatus")


class DepartureStatus(enum.StrEnum):
    """What the replacement of a leaving primary waits for."""

    DUE = "due"
    """Nothing: the change starts with the next tick."""
    CHANGING = "changing"
    """The end of the change in progress."""
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
