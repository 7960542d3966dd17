"""Metrics of a host in the Prometheus text format."""

from __future__ import annotations

import functools
import importlib
from typing import TYPE_CHECKING, Any

import attrs

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Mapping

__all__ = ("Counter", "Gauge", "Histogram", "Metric", "metrics_app")


@attrs.frozen(kw_only=True)
class Gauge:
    """Metric that can go up and down.

    :param values: value by label; a metric without a label has one
        value, under ``""``
    """

    name: str
    help_text: str
    values: Mapping[str, float]
    label: str = ""


@attrs.frozen(kw_only=True)
class Counter:
    """Metric that only increases, with labels."""

    name: str
    help_text: str
    labels: tuple[str, ...]
    values: Mapping[tuple[str, str], int] | Mapping[tuple[str], int]


@attrs.frozen(kw_only=True)
class Histogram:
    """Distribution of durations, with one label.

    :param bounds_s: upper bounds of the buckets, in seconds
    :param values: by label: the cumulative counts of the buckets and of
        all, and the sum of the durations in seconds
    """

    name: str
    help_text: str
    label: str
    bounds_s: tuple[float, ...]
    values: Mapping[str, tuple[list[int], float]]


Metric = Gauge | Counter | Histogram


def metrics_app(metrics: Callable[[], Iterable[Metric]]) -> Any:
    """Build the WSGI application that serves a host's metrics.

    prometheus-client is imported at the first request, because its
    import would slow down the start and most hosts are scraped only
    long after it.

    :param metrics: returns the current metrics
    """

    @functools.cache
    def app() -> Any:
        client = importlib.import_module("prometheus_client")
        registry = client.CollectorRegistry(auto_describe=False)
        registry.register(_Collector(metrics=metrics))
        return client.make_wsgi_app(registry)

    def answer(environ: Any, start_response: Any) -> Any:
        return app()(environ, start_response)

    return answer


@attrs.frozen(kw_only=True)
class _Collector:
    metrics: Callable[[], Iterable[Metric]]

    def collect(self) -> Iterable[Any]:
        prometheus = importlib.import_module("prometheus_client.core")
        for metric in self.metrics():
            match metric:
                case Gauge():
                    yield _gauge(prometheus, metric)
                case Counter():
                    yield _counter(prometheus, metric)
                case Histogram():
                    yield _histogram(prometheus, metric)


def _gauge(prometheus: Any, metric: Gauge) -> Any:
    labels = [metric.label] if metric.label else []
    family = prometheus.GaugeMetricFamily(
        metric.name, metric.help_text, labels=labels
    )
    for label, value in metric.values.items():
        family.add_metric([label] if labels else [], value)
    return family


def _counter(prometheus: Any, metric: Counter) -> Any:
    family = prometheus.CounterMetricFamily(
        metric.name, metric.help_text, labels=metric.labels
    )
    for labels, value in metric.values.items():
        family.add_metric(labels, value)
    return family


def _histogram(prometheus: Any, metric: Histogram) -> Any:
    family = prometheus.HistogramMetricFamily(
        metric.name, metric.help_text, labels=[metric.label]
    )
    names = [*map(str, metric.bounds_s), "+Inf"]
    for label, (counts, sum_s) in metric.values.items():
        buckets = list(zip(names, counts, strict=True))
        family.add_metric([label], buckets, sum_s)
    return family
