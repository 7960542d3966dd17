"""Counts and latencies of the statements of one entry host."""

from __future__ import annotations

import collections
from typing import Final

import attrs

from rosemarysaddle._durations import DurationHistogram

__all__ = ("LATENCY_BOUNDS_MS", "StatementStats")

# From a fast answer within the own data centre to the longest deadline.
LATENCY_BOUNDS_MS: Final = (
    5,
    10,
    20,
    50,
    100,
    200,
    500,
    1_000,
    2_000,
    5_000,
    10_000,
    20_000,
)


@attrs.define(kw_only=True)
class StatementStats:
    """Results and latencies of statements, by database.

    :param results: number of statements by database and result, which
        is ``done`` or the reason of a refusal
    :param latencies: times from arrival to answer, by database
    """

    results: collections.Counter[tuple[str, str]] = attrs.field(
        factory=collections.Counter, init=False
    )
    latencies: dict[str, DurationHistogram] = attrs.field(
        factory=dict, init=False
    )

    def record(self, database: str, result: str, spent_ns: int) -> None:
        """Record one statement.

        :param result: ``done``, or the reason of a refusal
        :param spent_ns: time from its arrival to its answer, in
            nanoseconds
        """
        self.results[database, result] += 1
        latencies = self.latencies.get(database)
        if latencies is None:
            latencies = DurationHistogram(bounds_ms=LATENCY_BOUNDS_MS)
            self.latencies[database] = latencies
        latencies.record(spent_ns)
