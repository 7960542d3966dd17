"""Compares the answers to callers with what the targets stored."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING, Final

import attrs

if TYPE_CHECKING:
    from collections.abc import Sequence

    from rosemarysaddle.soak._targets import Entry

__all__ = ("CallHistory", "find_violations")

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


@attrs.define(kw_only=True)
class CallHistory:
    """Answers that the callers got.

    :param acknowledged: value of each acknowledged write, by request id
    :param rejected: request ids whose writes may not be stored
    :param stale: descriptions of reads that returned too old a value
    :param told: number of answers by code
    """

    acknowledged: dict[str, int] = attrs.field(factory=dict)
    rejected: set[str] = attrs.field(factory=set)
    stale: list[str] = attrs.field(factory=list)
    told: collections.Counter[str] = attrs.field(factory=collections.Counter)


def find_violations(
    call_history: CallHistory, log: Sequence[Entry]
) -> list[str]:
    """Find lost, doubled and wrongly stored writes, and stale reads.

    :param log: log of the last primary
    """
    counts = collections.Counter(entry.request_id for entry in log)
    violations = list(call_history.stale)
    violations.extend(
        f"{request_id}: stored {counts[request_id]} times"
        for request_id in call_history.acknowledged
        if counts[request_id] != 1
    )
    violations.extend(
        f"{request_id}: stored although it was rejected"
        for request_id in sorted(call_history.rejected)
        if counts[request_id]
    )
    return violations
