"""Compares the answers to callers with what the targets stored."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING, Final

import attrs

if TYPE_CHECKING:
    from collections.abc import Collection, Sequence

    from rosemarysaddle.soak._targets import Entry

__all__ = ("Ack", "CallHistory", "ReadCall", "find_violations")

# Codes of answers that promise that nothing was stored.
NOT_RUN: Final = frozenset(
    {
        "BUSY",
        "ABORTED",
        "BEHIND",
        "READONLY",
        "WRONGHOST",
        "TOOMANY",
        "NOACCESS",
    }
)


@attrs.frozen(kw_only=True)
class Ack:
    """Acknowledgement of a write, alone or in a transaction.

    :param at_s: monotonic time
    :param session: connection of the caller
    """

    at_s: float
    request_id: str
    session: str


@attrs.frozen(kw_only=True)
class ReadCall:
    """A read that a caller got an answer to.

    :param asked_s: monotonic time at which it was sent
    :param freshness: freshness of its route
    :param session: connection of the caller
    :param target: target that the answer names
    """

    asked_s: float
    request_id: str
    freshness: str
    session: str
    target: str
    value: int


@attrs.define(kw_only=True)
class CallHistory:
    """Answers that the callers got.

    :param acknowledged: value of each acknowledged write, by request id
    :param rejected: request ids whose writes may not be stored
    :param acks: acknowledgements of writes, in order
    :param reads: reads with an answer
    :param stale: descriptions of reads that returned too old a value
    :param told: number of answers by code
    """

    acknowledged: dict[str, int] = attrs.field(factory=dict)
    rejected: set[str] = attrs.field(factory=set)
    acks: list[Ack] = attrs.field(factory=list)
    reads: list[ReadCall] = attrs.field(factory=list)
    stale: list[str] = attrs.field(factory=list)
    told: collections.Counter[str] = attrs.field(factory=collections.Counter)


def find_violations(
    call_history: CallHistory,
    log: Sequence[Entry],
    *,
    rolled_back: Collection[str] = (),
) -> list[str]:
    """Find lost, doubled and wrongly stored writes, and stale reads.

    :param log: log of the last primary
    :param rolled_back: request ids of writes that need not be stored,
        since a promotion left them out
    """
    counts = collections.Counter(entry.request_id for entry in log)
    violations = list(call_history.stale)
    violations.extend(
        f"{request_id}: stored {counts[request_id]} times"
        for request_id in call_history.acknowledged
        if counts[request_id] != 1
        and (counts[request_id] or request_id not in rolled_back)
    )
    violations.extend(
        f"{request_id}: stored although it was rejected"
        for request_id in sorted(call_history.rejected)
        if counts[request_id]
    )
    return violations
