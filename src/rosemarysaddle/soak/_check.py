"""What callers were told, held against what the targets stored."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING, Final

import attrs

if TYPE_CHECKING:
    from collections.abc import Sequence

    from rosemarysaddle.soak._targets import Entry

__all__ = ("CallHistory", "find_violations")

NOT_RUN: Final = frozenset(
    {"BUSY", "ABORTED", "BEHIND", "READONLY", "WRONGHOST", "TOOMANY"}
)


@attrs.define(kw_only=True)
class CallHistory:
    """What the callers were told.

    :param acknowledged: value of each acknowledged write, by request id
    :param promised: request ids of which nothing may be kept
    :param stale: reads that missed what they had to see
    """

    acknowledged: dict[str, int] = attrs.field(factory=dict)
    rejected: set[str] = attrs.field(factory=set)
    stale: list[str] = attrs.field(factory=list)
    told: collections.Counter[str] = attrs.field(factory=collections.Counter)


def find_violations(
    call_history: CallHistory, log: Sequence[Entry]
) -> list[str]:
    """Find what was lost, doubled or kept against a promise.

    :param log: log of the last primary
    """
    counts = collections.Counter(entry.request_id for entry in log)
    found = list(call_history.stale)
    found.extend(
        f"{request_id}: stored {counts[request_id]} times"
        for request_id in call_history.acknowledged
        if counts[request_id] != 1
    )
    found.extend(
        f"{request_id}: stored in spite of a promise"
        for request_id in sorted(call_history.rejected)
        if counts[request_id]
    )
    return found
