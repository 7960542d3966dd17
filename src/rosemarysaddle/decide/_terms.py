"""Terms of a group and where they began."""

from __future__ import annotations

import attrs

__all__ = ("MAX_KEPT_STARTS", "GroupTerm", "TermStart")

MAX_KEPT_STARTS = 16


@attrs.frozen(kw_only=True)
class TermStart:
    """Position at which a term of a group began."""

    term: int
    position: int


@attrs.frozen(kw_only=True)
class GroupTerm:
    """Current term of a group.

    :param is_open: whether writes may run under the term
    :param is_serving: whether its primary is known to have taken over
    :param starts: where recent terms began, oldest first
    :param identities: identity under which each instance counts for a
        promotion
    """

    term: int
    primary: str
    is_open: bool
    is_serving: bool = False
    starts: tuple[TermStart, ...] = ()
    identities: dict[str, str] = attrs.field(factory=dict)

    def start_of(self, term: int) -> int | None:
        """Find where a term began.

        :return: position, or None where it is not on record
        """
        for start in self.starts:
            if start.term == term:
                return start.position
        return None
