"""Terms of a group, their starts, and orders to promote in doubt."""

from __future__ import annotations

import attrs

__all__ = ("MAX_KEPT_STARTS", "GroupTerm", "PromotionInDoubt", "TermStart")

MAX_KEPT_STARTS = 16


@attrs.frozen(kw_only=True)
class TermStart:
    """Position at which a term of a group began.

    :param log_term: term of the entry at that position, as targets
        number their terms; 0 if it is not known
    """

    term: int
    position: int
    log_term: int = 0


@attrs.frozen(kw_only=True)
class PromotionInDoubt:
    """Order to promote a target that may yet take effect.

    :param target: target that the order names
    :param term: term of the group that was opened with the order
    :param above_term: the target takes up the role in a term above this
        one, as targets number their terms
    """

    target: str
    term: int
    above_term: int


@attrs.frozen(kw_only=True)
class GroupTerm:
    """Current term of a group.

    :param is_open: whether writes may run under the term
    :param is_serving: whether the primary has confirmed its promotion
    :param target_term: newest term in which a target was confirmed as
        the group's primary, as the targets number their terms; 0 where
        none was
    :param served_by: target that served in that term, or empty
    :param served_in: term of the group in which it served, or 0
    :param served_index: log index from which on it served, or 0
    :param known_term: newest term that a target was seen to know of;
        a primary of an earlier one has been replaced
    :param in_doubt: orders to promote whose outcome is not known
    :param starts: start positions of recent terms, oldest first
    :param identities: identity of each instance eligible for promotion
    """

    term: int
    primary: str
    is_open: bool
    is_serving: bool = False
    target_term: int = 0
    served_by: str = ""
    served_in: int = 0
    served_index: int = 0
    known_term: int = 0
    in_doubt: tuple[PromotionInDoubt, ...] = ()
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

    def order_of(self, term: int) -> PromotionInDoubt | None:
        """Return the order in doubt that opened a term, or None."""
        for order in self.in_doubt:
            if order.term == term:
                return order
        return None

    def without_order(self, term: int) -> GroupTerm:
        """Drop the order that opened a term."""
        kept = tuple(order for order in self.in_doubt if order.term != term)
        return attrs.evolve(self, in_doubt=kept)
