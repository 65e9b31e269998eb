"""Metrics of one node, for Prometheus."""

from __future__ import annotations

from collections.abc import Callable

import prometheus_client

LATENCY_BUCKETS = (
    0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0,
    10.0,
)  # fmt: skip


class Metrics:
    """All metrics of one node, in a separate registry.

    Attributes:
      registry: Registry that the admin port exposes.
    """

    def __init__(self) -> None:
        self.registry = prometheus_client.CollectorRegistry()
        self.outcomes: dict[tuple[str, int], prometheus_client.Counter] = {}
        self.latencies: dict[str, prometheus_client.Histogram] = {}
        self.calls = prometheus_client.Counter(
            "currantcart_calls",
            "Calls taken from callers and targets, by outcome",
            ["service", "outcome"],
            registry=self.registry,
        )
        self.refusals = prometheus_client.Counter(
            "currantcart_refusals",
            "Calls that ended without a target's answer",
            ["service", "code"],
            registry=self.registry,
        )
        self.retries = prometheus_client.Counter(
            "currantcart_retries",
            "Attempts after the first",
            ["service", "kind"],
            registry=self.registry,
        )
        self.latency = prometheus_client.Histogram(
            "currantcart_call_seconds",
            "Time from taking a call to the end of its answer",
            ["service"],
            buckets=LATENCY_BUCKETS,
            registry=self.registry,
        )
        self.shed = prometheus_client.Counter(
            "currantcart_shed",
            "Calls shed at this node's target, by reason",
            ["reason"],
            registry=self.registry,
        )
        self.streams = prometheus_client.Counter(
            "currantcart_stream_errors",
            "Streams between nodes that ended with an error",
            ["code"],
            registry=self.registry,
        )

    def answered(self, service: str, status: int, seconds: float) -> None:
        """Counts one answered call and records its latency.

        The labelled children are cached, because the client library needs
        more time to look them up by label than to count.
        """
        key = (service, status // 100)
        outcome = self.outcomes.get(key)
        if outcome is None:
            outcome = self.calls.labels(service, f"{status // 100}xx")
            self.outcomes[key] = outcome
            self.latencies[service] = self.latency.labels(service)
        outcome.inc()
        self.latencies[service].observe(seconds)

    def gauge(self, name: str, text: str, read: Callable[[], float]) -> None:
        """Registers a gauge whose value is read on each scrape."""
        gauge = prometheus_client.Gauge(
            f"currantcart_{name}", text, registry=self.registry
        )
        gauge.set_function(read)

    def render(self) -> bytes:
        """Returns all metrics in the Prometheus text format."""
        return prometheus_client.generate_latest(self.registry)
