"""Terms of a group and the positions at which they began."""

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
    :param is_serving: whether the primary has confirmed its promotion
    :param target_term: newest term in which a target was confirmed as
        the group's primary, as the targets number their terms; 0 where
        none was
    :param starts: start positions of recent terms, oldest first
    :param identities: identity of each instance eligible for promotion
    """

    term: int
    primary: str
    is_open: bool
    is_serving: bool = False
    target_term: int = 0
    starts: tuple[TermStart, ...] = ()
    identities: dict[str, str] = attrs.field(factory=dict)

    def start_of(self, term: int) -> int | None:
        """Return the position at which a term began.

        :return: the position, or None if it is no longer kept
        """
        for start in self.starts:
            if start.term == term:
                return start.position
        return None
