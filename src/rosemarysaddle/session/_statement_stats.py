"""Counts and times of what callers were told."""

from __future__ import annotations

import bisect
import collections
from typing import Final

import attrs

from rosemarysaddle.decide import NS_PER_MS

__all__ = ("LATENCY_BOUNDS_MS", "StatementStats")

# From a hit in the own data centre to the longest deadline.
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
class _LatencyHistogram:
    counts: list[int] = attrs.field(
        factory=lambda: [0] * (len(LATENCY_BOUNDS_MS) + 1)
    )
    sum_ns: int = 0


@attrs.define(kw_only=True)
class StatementStats:
    """Results of one host, by database.

    :param results: count by database and outcome or reason
    """

    results: collections.Counter[tuple[str, str]] = attrs.field(
        factory=collections.Counter, init=False
    )
    _latencies: dict[str, _LatencyHistogram] = attrs.field(
        factory=dict, init=False
    )

    def record(self, database: str, result: str, spent_ns: int) -> None:
        """Take note of one statement.

        :param result: ``done``, or the reason of a refusal
        :param spent_ns: time from its arrival to its answer
        """
        self.results[database, result] += 1
        times = self._latencies.get(database)
        if times is None:
            times = self._latencies[database] = _LatencyHistogram()
        number = bisect.bisect_left(LATENCY_BOUNDS_MS, spent_ns / NS_PER_MS)
        times.counts[number] += 1
        times.sum_ns += spent_ns

    def histogram(self, database: str) -> tuple[list[int], int]:
        """List counts by bound, those of all, and the sum of times."""
        times = self._latencies[database]
        total = 0
        found = []
        for count in times.counts:
            total += count
            found.append(total)
        return found, times.sum_ns

    @property
    def databases(self) -> list[str]:
        """Databases with statements, by name."""
        return sorted(self._latencies)
