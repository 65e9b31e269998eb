"""Renders the metrics of one node in the Prometheus text format.

The metric families of the client library are built only when the metrics are
scraped.
"""

from __future__ import annotations

import itertools
from collections.abc import Iterator

import prometheus_client
from prometheus_client import core, registry

from currantcart.telemetry import counts, definitions

MS = 1_000.0


class Collector(registry.Collector):
    """Adapter between `Counts` and the Prometheus client library."""

    def __init__(self, recorded: counts.Counts) -> None:
        self.counts = recorded

    def collect(self) -> Iterator[core.Metric]:
        """Yields the metric families of the client library."""
        for name, (text, labels) in definitions.COUNTERS.items():
            family = core.CounterMetricFamily(
                f"currantcart_{name}", text, labels=labels
            )
            for values, count in self.counts.counters[name].items():
                family.add_metric(values, count)
            yield family
        for name, (text, labels) in definitions.HISTOGRAMS.items():
            yield self.histogram(name, text, labels)
        for name, read in self.counts.gauges.items():
            yield core.GaugeMetricFamily(
                f"currantcart_{name}", definitions.GAUGES[name], value=read()
            )
        for name, read_all in self.counts.service_gauges.items():
            gauge = core.GaugeMetricFamily(
                f"currantcart_{name}",
                definitions.SERVICE_GAUGES[name],
                labels=["service"],
            )
            for service, value in read_all().items():
                gauge.add_metric([service], value)
            yield gauge

    def histogram(
        self, name: str, text: str, labels: list[str]
    ) -> core.HistogramMetricFamily:
        """Returns the metric family of a histogram, in seconds or as ratio."""
        family = core.HistogramMetricFamily(
            f"currantcart_{name}", text, labels=labels
        )
        bounds = [str(bound / MS) for bound in definitions.buckets(name)] + [
            "+Inf"
        ]
        for values, cells in self.counts.histograms[name].items():
            sums = itertools.accumulate(cells[:-1])
            family.add_metric(
                values,
                list(zip(bounds, sums, strict=True)),
                cells[-1] / MS,
            )
        return family


def render(recorded: counts.Counts) -> bytes:
    """Returns all metrics in the Prometheus text format."""
    collectors = prometheus_client.CollectorRegistry()
    collectors.register(Collector(recorded))
    return prometheus_client.generate_latest(collectors)
