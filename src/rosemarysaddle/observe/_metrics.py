"""Duration histograms per tenant and request class, and counters.

The administration API reports them, and a statsd server receives them
if one is configured.
"""

from __future__ import annotations

import collections
import enum
import threading
from typing import TYPE_CHECKING, Any, Final

import attrs
import statsd
from hdrh.histogram import HdrHistogram

from rosemarysaddle.link import Address

if TYPE_CHECKING:
    from rosemarysaddle.decide import Outcome, Reason

__all__ = ("Metrics", "Stage")

MAX_DURATION_US: Final = 600_000_000
SIGNIFICANT_DIGITS: Final = 2
_PERCENTILES: Final = (50.0, 99.0, 99.9)
_NS_PER_US: Final = 1_000


class Stage(enum.StrEnum):
    """Part of a request that is timed on its own."""

    WAIT = "wait"
    CONNECT = "connect"
    TARGET = "target"
    CONFIRM = "confirm"
    TOTAL = "total"


@attrs.define(kw_only=True, eq=False)
class Metrics:
    """Request metrics of one host.

    :param statsd_address: ``ip:port`` of statsd; empty sends nothing
    """

    statsd_address: str = ""
    _histograms: dict[tuple[str, str, Stage], Any] = attrs.field(
        factory=dict, init=False
    )
    _counts: collections.Counter[str] = attrs.field(
        factory=collections.Counter, init=False
    )
    _lock: threading.Lock = attrs.field(factory=threading.Lock, init=False)
    _client: Any = attrs.field(default=None, init=False)

    def __attrs_post_init__(self) -> None:
        """Create the statsd client if an address is configured."""
        if self.statsd_address:
            address = Address.parse(self.statsd_address)
            self._client = statsd.StatsClient(
                address.ip, address.port, prefix="rosemarysaddle"
            )

    def record_duration(
        self, tenant: str, request_class: str, stage: Stage, spent_ns: int
    ) -> None:
        """Record how long a stage of a request took.

        :param spent_ns: duration in nanoseconds
        """
        key = (tenant, request_class, stage)
        with self._lock:
            histogram = self._histograms.get(key)
            if histogram is None:
                histogram = HdrHistogram(
                    1, MAX_DURATION_US, SIGNIFICANT_DIGITS
                )
                self._histograms[key] = histogram
            histogram.record_value(max(1, spent_ns // _NS_PER_US))
        if self._client is not None:
            name = f"{tenant}.{request_class}.{stage}"
            self._client.timing(name, spent_ns / 1e6)

    def count_outcome(
        self, request_class: str, outcome: Outcome, reason: Reason | None
    ) -> None:
        """Count a finished request by class, outcome and reason."""
        suffix = f".{reason}" if reason is not None else ""
        self.count(f"outcome.{request_class}.{outcome}{suffix}")

    def count(self, name: str) -> None:
        """Increment the counter of an event."""
        with self._lock:
            self._counts[name] += 1
        if self._client is not None:
            self._client.incr(name)

    def report(self) -> dict[str, Any]:
        """Return all counters, and all durations in microseconds."""
        with self._lock:
            return {
                "counts": dict(sorted(self._counts.items())),
                "times_us": {
                    ".".join(key): _summary(histogram)
                    for key, histogram in sorted(self._histograms.items())
                },
            }


def _summary(histogram: Any) -> dict[str, float]:
    summary = {
        f"p{p:g}": histogram.get_value_at_percentile(p) for p in _PERCENTILES
    }
    summary["count"] = histogram.get_total_count()
    summary["max"] = histogram.get_max_value()
    return summary
