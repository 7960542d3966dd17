"""Figures of a host as text, rendered by prometheus-client."""

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
    """Figure that rises and falls.

    :param values: value by label; without labels one under ``""``
    """

    name: str
    help_text: str
    values: Mapping[str, float]
    label: str = ""


@attrs.frozen(kw_only=True)
class Counter:
    """Count that only rises, by two labels."""

    name: str
    help_text: str
    labels: tuple[str, str]
    values: Mapping[tuple[str, str], int]


@attrs.frozen(kw_only=True)
class Histogram:
    """Times by label.

    :param bounds_s: upper bounds, in seconds
    :param values: count up to each bound and of all, and the sum of
        times in seconds, by label
    """

    name: str
    help_text: str
    label: str
    bounds_s: tuple[float, ...]
    values: Mapping[str, tuple[list[int], float]]


Metric = Gauge | Counter | Histogram


def metrics_app(metrics: Callable[[], Iterable[Metric]]) -> Any:
    """Build the WSGI application that shows a host's figures.

    The library is imported at the first request: a start costs what it
    imports, and most hosts are asked long after it.

    :param figures: lists the figures as they are now
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
        core = importlib.import_module("prometheus_client.core")
        for figure in self.metrics():
            match figure:
                case Gauge():
                    yield _gauge(core, figure)
                case Counter():
                    yield _counter(core, figure)
                case Histogram():
                    yield _histogram(core, figure)


def _gauge(core: Any, figure: Gauge) -> Any:
    labels = [figure.label] if figure.label else []
    family = core.GaugeMetricFamily(
        figure.name, figure.help_text, labels=labels
    )
    for label, value in figure.values.items():
        family.add_metric([label] if labels else [], value)
    return family


def _counter(core: Any, figure: Counter) -> Any:
    family = core.CounterMetricFamily(
        figure.name, figure.help_text, labels=figure.labels
    )
    for labels, value in figure.values.items():
        family.add_metric(labels, value)
    return family


def _histogram(core: Any, figure: Histogram) -> Any:
    family = core.HistogramMetricFamily(
        figure.name, figure.help_text, labels=[figure.label]
    )
    names = [*map(str, figure.bounds_s), "+Inf"]
    for label, (counts, sum_s) in figure.values.items():
        buckets = list(zip(names, counts, strict=True))
        family.add_metric([label], buckets, sum_s)
    return family
