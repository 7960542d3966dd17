"""Positions of the writes that an entry host has acknowledged.

A primary answers a commit with the position of its log, which may hold
later commits already.  The write is at that position at the latest, and
after the position that was known when it was sent.
"""

from __future__ import annotations

import attrs

from rosemarysaddle.decide.reads._freshness import newer_point
from rosemarysaddle.decide.reads._token import LogPoint

__all__ = ("NOTHING_ACKNOWLEDGED", "AcknowledgedBounds", "AcknowledgedWrites")


@attrs.frozen(kw_only=True)
class AcknowledgedBounds:
    """Bounds of the position of the newest acknowledged write.

    :param least: it is at this position or later
    :param newest: it is at this position or before
    :param is_bounded: whether ``newest`` covers all writes; it does not
        if the position of one was not told
    """

    least: LogPoint
    newest: LogPoint
    is_bounded: bool = True


NOTHING_ACKNOWLEDGED = AcknowledgedBounds(
    least=LogPoint(term=0, position=0), newest=LogPoint(term=0, position=0)
)


@attrs.define(kw_only=True)
class AcknowledgedWrites:
    """Bounds of the newest acknowledged write of each group."""

    _bounds: dict[str, AcknowledgedBounds] = attrs.field(
        factory=dict, init=False
    )

    def of_group(self, group: str) -> AcknowledgedBounds:
        """Return the bounds of a group."""
        return self._bounds.get(group, NOTHING_ACKNOWLEDGED)

    def record(
        self, group: str, told: LogPoint | None, known: LogPoint | None
    ) -> None:
        """Record a write that is acknowledged now.

        :param told: position that the primary told with the commit
        :param known: newest position of the primary that was known when
            the write was sent
        """
        bounds = self.of_group(group)
        if told is None:
            self._bounds[group] = attrs.evolve(bounds, is_bounded=False)
            return
        follows = known is not None and known.term == told.term
        least = LogPoint(
            term=told.term,
            position=known.position + 1 if known and follows else 0,
        )
        self._bounds[group] = AcknowledgedBounds(
            least=newer_point(bounds.least, least) or least,
            newest=newer_point(bounds.newest, told) or told,
            is_bounded=bounds.is_bounded,
        )
