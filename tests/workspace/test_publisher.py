"""Tests of rates over nodes that send their reports in different phases."""

from __future__ import annotations

import random

import pytest

from currantcart.proxy import node as node_module
from currantcart.proxy.streams import publisher
from currantcart.workspace import quota

RATE = 200.0
ALLOWED = (RATE * 5 + RATE) * 1.1 + 20
SIMULATED_MS = 6_000


class Fleet:
    """Simulated nodes that send statuses and expedited counts.

    Each node sends at a phase of its own.

    Attributes:
      offered: Requests so far.
      admitted: Times at which requests were admitted.
    """

    def __init__(self, count: int, *, rate: float, started: bool) -> None:
        peers = count - 1
        self.status_pace = int(publisher.status_interval_ms(peers))
        expedited = publisher.counts_interval_ms(peers)
        lag_ms = node_module.dissemination_lag_ms(self.status_pace)
        expedited_lag_ms = node_module.dissemination_lag_ms(expedited)
        self.expedited_pace = int(expedited_lag_ms - node_module.TRANSIT_MS)
        self.rng = random.Random(3)
        self.nodes = [quota.Quotas() for _ in range(count)]
        for number, node in enumerate(self.nodes):
            node.configure({"mill": (rate, rate)}, 0.0)
            node.set_fleet(
                nodes=count, lag_ms=lag_ms, expedited_lag_ms=expedited_lag_ms
            )
            for other in range(count):
                if other != number:
                    node.apply_counts(str(other), {}, 0.0)
            if not started:
                bucket = node.buckets["mill"]
                bucket.tokens, bucket.created_at = rate, float("-inf")
        self.phases = [self.rng.randrange(self.status_pace) for _ in self.nodes]
        self.reported = [0] * count
        self.offered = 0
        self.admitted: list[float] = []

    def send_reports(self, step: int) -> None:
        for number, node in enumerate(self.nodes):
            since = step - self.phases[number]
            due = since % self.status_pace == 0 or (
                since % self.expedited_pace == 0 and bool(node.expedited())
            )
            count = node.buckets["mill"].admitted
            if not due or count == self.reported[number]:
                continue
            self.reported[number] = count
            for other, peer in enumerate(self.nodes):
                if other != number:
                    peer.apply_counts(str(number), {"mill": count}, float(step))

    def simulate(
        self, *, per_second: float, used_nodes: int, from_ms: int = 0
    ) -> None:
        """Sends requests to the first few nodes."""
        for step in range(SIMULATED_MS):
            self.send_reports(step)
            rate = per_second / 1_000 if step >= from_ms else 0.0
            due = int(rate) + (self.rng.random() < rate % 1)
            for _ in range(due):
                self.offered += 1
                number = self.rng.randrange(used_nodes)
                if self.nodes[number].admit("mill", float(step)) == 0.0:
                    self.admitted.append(float(step))

    def most_in_a_window(self) -> int:
        return max(
            sum(start <= at < start + 5_000 for at in self.admitted)
            for start in range(0, SIMULATED_MS - 5_000, 100)
        )


@pytest.mark.parametrize("started", [True, False])
@pytest.mark.parametrize("nodes", [16, 91])
@pytest.mark.parametrize("per_second", [1_600, 6_000])
def test_sudden_load_keeps_to_the_rate(
    nodes: int, per_second: int, started: bool
) -> None:
    """Guards against a burst on all nodes at once after a time without load."""
    fleet = Fleet(nodes, rate=RATE, started=started)
    fleet.simulate(per_second=per_second, used_nodes=nodes, from_ms=1_000)
    assert fleet.most_in_a_window() <= ALLOWED


@pytest.mark.parametrize("started", [True, False])
@pytest.mark.parametrize("nodes", [16, 91])
@pytest.mark.parametrize("rate", [47.0, 243.0])
@pytest.mark.parametrize("used_nodes", [1, 2, 4])
def test_callers_at_few_nodes_are_served(
    nodes: int, rate: float, used_nodes: int, started: bool
) -> None:
    """Guards against refusals within the rate if callers use few nodes only."""
    fleet = Fleet(nodes, rate=rate, started=started)
    fleet.simulate(per_second=0.66 * rate, used_nodes=used_nodes)
    assert len(fleet.admitted) >= 0.9 * fleet.offered
