"""Counters, histograms and gauges of one node.

Recording a request costs a dictionary look-up and an addition.
`telemetry.exposition` renders them for Prometheus.
"""

from __future__ import annotations

import bisect
import collections
from collections.abc import Callable

BUCKETS_MS = (
    1.0, 2.5, 5.0, 10.0, 25.0, 50.0, 100.0, 250.0, 500.0, 1_000.0, 2_500.0,
    5_000.0, 10_000.0,
)  # fmt: skip
LABEL_SETS_MAX = 500

Labels = tuple[str, ...]


class Counts:
    """Registry of all metrics of one node.

    Attributes:
      counters: Counts by metric and label values.
      histograms: Observations per bucket, followed by their sum in
        milliseconds, by metric and label values.
      gauges: Functions that return the current value, by metric; called on
        each scrape.
      service_gauges: Functions that return the current values by service, by
        metric; called on each scrape.
    """

    def __init__(self) -> None:
        self.counters: dict[str, collections.Counter[Labels]] = {}
        self.histograms: dict[str, dict[Labels, list[float]]] = {}
        self.gauges: dict[str, Callable[[], float]] = {}
        self.service_gauges: dict[str, Callable[[], dict[str, float]]] = {}
        for name in COUNTERS:
            self.counters[name] = collections.Counter()
        for name in HISTOGRAMS:
            self.histograms[name] = {}

    def add(self, name: str, *labels: str) -> None:
        """Increments a counter.

        Once the metric has `LABEL_SETS_MAX` label sets, new ones are counted
        under the label value `other`.
        """
        counter = self.counters[name]
        if labels not in counter and len(counter) >= LABEL_SETS_MAX:
            labels = ("other",) * len(labels)
        counter[labels] += 1

    def observe(self, name: str, milliseconds: float, *labels: str) -> None:
        """Records a latency in a histogram."""
        cells = self.histograms[name].get(labels)
        if cells is None:
            cells = [0.0] * (len(BUCKETS_MS) + 2)
            self.histograms[name][labels] = cells
        cells[bisect.bisect_left(BUCKETS_MS, milliseconds)] += 1
        cells[-1] += milliseconds

    def render(self) -> bytes:
        """Returns all metrics in the Prometheus text format."""
        # The client library takes a fifth of a node's start to import, and
        # most nodes are never scraped.
        from currantcart.telemetry import exposition

        return exposition.render(self)


COUNTERS: dict[str, tuple[str, list[str]]] = {
    "requests": (
        "Requests of callers and targets that were ended, by outcome",
        ["service", "outcome"],
    ),
    "rejections": ("Requests that went nowhere, by cause", ["code"]),
    "attempts": (
        "Attempts at targets, by how they ended",
        ["service", "outcome"],
    ),
    "repeats": (
        "Arrivals beyond the first of a request, by cause",
        ["service", "cause"],
    ),
    "repeats_refused": (
        "Repeats that the retry budget refused, by cause",
        ["service", "cause"],
    ),
    "budgeted_requests": (
        "Requests that the retry budget of their service counts",
        ["service"],
    ),
    "guard_refusals": ("Requests refused beside the target", ["code"]),
    "target_requests": ("Requests sent to the target", []),
    "callers_closed": ("Idle connections closed for others", ["cause"]),
    "store_calls": ("Calls to the store, by result", ["call", "result"]),
    "links_lost": ("Streams to peers that were lost", ["reason"]),
}
HISTOGRAMS: dict[str, tuple[str, list[str]]] = {
    "request_seconds": (
        "From a request's head to its answer",
        ["service"],
    ),
    "queue_seconds": ("Wait for a slot beside the target", []),
    "target_seconds": ("From handing over to the target's answer", []),
}
GAUGES = {
    "config_version": "Configuration version in force",
    "config_age_seconds": "Age of the proof that it is the newest",
    "domains_evacuated": "Failure domains whose targets get no requests",
    "peers": "Peers known",
    "peers_silent_ratio": "Part of the fleet that is not heard",
    "calls": "Requests on their way",
    "caller_connections": "Connections of callers that are open",
    "running": "Requests at the target",
    "waiting": "Requests that wait for the target",
    "slots": "Requests that the target is given at once",
    "target_limit": "Requests per second that the target accepts, if limited",
    "pressure": "Part of the demand on the target that has to go",
    "rates_exhausted": "Workspaces that have come to the end of their rate",
    "budgets_exhausted": "Services whose repeats are used up",
    "retry_budget_nodes": "Nodes that the retry budgets assume",
    "retry_budget_nodes_age_seconds": "Time since that number changed last",
    "log_bytes_dropped": "Bytes of log lines that nobody took",
}
SERVICE_GAUGES = {
    "retry_budget_requests": "Requests of the window that the budget counts",
    "retry_budget_repeats": "Repeats of the window",
    "retry_budget_left": "Repeats that this node may still send",
    "retry_budget_share": "This node's part of the fixed number of repeats",
}
