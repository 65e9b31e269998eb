"""Counters, histograms and gauges of one node.

Recording a request costs a dictionary look-up and an addition.
`telemetry.definitions` names them; `telemetry.exposition` renders them.
"""

from __future__ import annotations

import bisect
import collections
from collections.abc import Callable

from currantcart.telemetry import definitions

LABEL_SETS_MAX = 500

Labels = tuple[str, ...]


class Counts:
    """Registry of all metrics of one node.

    Attributes:
      counters: Counts by metric and label values.
      histograms: Observations per bucket, followed by their sum in
        thousandths, by metric and label values.
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
        for name in definitions.COUNTERS:
            self.counters[name] = collections.Counter()
        for name in definitions.HISTOGRAMS:
            self.histograms[name] = {}

    def add(self, name: str, *labels: str) -> None:
        """Increments a counter.

        Once the metric has `LABEL_SETS_MAX` label sets, new ones are counted
        under the label value `other`.
        """
        counter = self.counters[name]
        if labels not in counter and len(counter) >= LABEL_SETS_MAX:
            labels = others(labels)
        counter[labels] += 1

    def observe(self, name: str, thousandths: float, *labels: str) -> None:
        """Records a latency in ms, or a ratio in thousandths.

        Labels are bounded as in `add`.
        """
        buckets = definitions.buckets(name)
        known = self.histograms[name]
        cells = known.get(labels)
        if cells is None:
            if len(known) >= LABEL_SETS_MAX:
                labels = others(labels)
            cells = known.setdefault(labels, [0.0] * (len(buckets) + 2))
        cells[bisect.bisect_left(buckets, thousandths)] += 1
        cells[-1] += thousandths


def others(labels: Labels) -> Labels:
    """Returns the label set of what is counted together."""
    return ("other",) * len(labels)
