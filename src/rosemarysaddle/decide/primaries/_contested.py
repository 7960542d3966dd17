"""Targets that go on although the registry holds that they have ended.

A later start time, another target at the same address or a planned end
replaces a target in the registry at once, as one that restarts must not
wait.  Another writer may claim the same of a target that runs.  One
that has ended says nothing more, apart from announcements that were
delayed; one that runs repeats itself.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import attrs

from rosemarysaddle.decide._times import NS_PER_MS

if TYPE_CHECKING:
    from rosemarysaddle.schema import Announcement

__all__ = ("ContestedTargets",)

# Delayed announcements arrive together.
MIN_ANNOUNCEMENTS: Final = 3
MIN_SPAN_MS: Final = 2_000
# A target repeats itself every second or two.
MAX_SPAN_MS: Final = 15_000
MAX_CLAIMS: Final = 1_024


@attrs.define(kw_only=True)
class _Claim:
    """Announcements of an incarnation that is held for ended.

    :param sequence: sequence number of the last one
    """

    incarnation_ms: int
    since_ns: int
    sequence: int
    count: int = 1


@attrs.define(kw_only=True)
class ContestedTargets:
    """Claims of targets to run, as the control leader hears them."""

    _claims: dict[str, _Claim] = attrs.field(factory=dict, init=False)

    def shows_to_run(self, announcement: Announcement, now_ns: int) -> bool:
        """Record an announcement of an incarnation held for ended.

        :param now_ns: monotonic time, in nanoseconds
        :return: whether the incarnation runs
        """
        claim = self._claims.get(announcement.target)
        spent_ns = 0 if claim is None else now_ns - claim.since_ns
        if (
            claim is None
            or claim.incarnation_ms != announcement.incarnation_ms
            or spent_ns > MAX_SPAN_MS * NS_PER_MS
        ):
            self._start(announcement, now_ns)
            return False
        if announcement.sequence <= claim.sequence:
            return False
        claim.sequence = announcement.sequence
        claim.count += 1
        if claim.count < MIN_ANNOUNCEMENTS:
            return False
        if spent_ns < MIN_SPAN_MS * NS_PER_MS:
            return False
        del self._claims[announcement.target]
        return True

    def _start(self, announcement: Announcement, now_ns: int) -> None:
        self._claims[announcement.target] = _Claim(
            incarnation_ms=announcement.incarnation_ms,
            since_ns=now_ns,
            sequence=announcement.sequence,
        )
        if len(self._claims) > MAX_CLAIMS:
            del self._claims[next(iter(self._claims))]
