"""Rates of nodes that tell each other at their own moments, as nodes do."""

from __future__ import annotations

import random

import pytest

from currantcart.proxy import node as node_module
from currantcart.proxy.streams import publisher
from currantcart.workspace import quota

RATE = 200.0
ALLOWED = (RATE * 5 + RATE) * 1.1 + 20
PLAYED_MS = 6_000


class Fleet:
    """Nodes with statuses and hurried counts, each at a phase of its own.

    Attributes:
      asked: Requests so far.
      admitted: When one was admitted.
    """

    def __init__(self, count: int, *, rate: float, started: bool) -> None:
        peers = count - 1
        self.pace = int(publisher.status_pace_ms(peers))
        expedited = publisher.counts_pace_ms(peers)
        lag_ms = node_module.heard_after_ms(self.pace)
        expedited_lag_ms = node_module.heard_after_ms(expedited)
        self.expedited_pace = int(expedited_lag_ms - node_module.TRANSIT_MS)
        self.rng = random.Random(3)
        self.nodes = [quota.Quotas() for _ in range(count)]
        for number, made in enumerate(self.nodes):
            made.configure({"mill": (rate, rate)}, 0.0)
            made.set_fleet(
                nodes=count, lag_ms=lag_ms, expedited_lag_ms=expedited_lag_ms
            )
            for other in range(count):
                if other != number:
                    made.hear(str(other), {}, 0.0)
            if not started:
                bucket = made.buckets["mill"]
                bucket.tokens, bucket.since = rate, float("-inf")
        self.phases = [self.rng.randrange(self.pace) for _ in self.nodes]
        self.told = [0] * count
        self.asked = 0
        self.admitted: list[float] = []

    def tell(self, step: int) -> None:
        for number, made in enumerate(self.nodes):
            since = step - self.phases[number]
            due = since % self.pace == 0 or (
                since % self.expedited_pace == 0 and bool(made.expedited())
            )
            count = made.buckets["mill"].admitted
            if not due or count == self.told[number]:
                continue
            self.told[number] = count
            for other, peer in enumerate(self.nodes):
                if other != number:
                    peer.hear(str(number), {"mill": count}, float(step))

    def play(self, *, per_second: float, places: int, from_ms: int = 0) -> None:
        """Lets callers ask at the first few nodes."""
        for step in range(PLAYED_MS):
            self.tell(step)
            rate = per_second / 1_000 if step >= from_ms else 0.0
            due = int(rate) + (self.rng.random() < rate % 1)
            for _ in range(due):
                self.asked += 1
                place = self.rng.randrange(places)
                if self.nodes[place].admit("mill", float(step)) == 0.0:
                    self.admitted.append(float(step))

    def most_in_a_window(self) -> int:
        return max(
            sum(start <= at < start + 5_000 for at in self.admitted)
            for start in range(0, PLAYED_MS - 5_000, 100)
        )


@pytest.mark.parametrize("started", [True, False])
@pytest.mark.parametrize("nodes", [16, 91])
@pytest.mark.parametrize("per_second", [1_600, 6_000])
def test_a_rush_out_of_calm_keeps_to_the_rate(
    nodes: int, per_second: int, started: bool
) -> None:
    """Nobody asks, and from one moment on all press at all nodes."""
    fleet = Fleet(nodes, rate=RATE, started=started)
    fleet.play(per_second=per_second, places=nodes, from_ms=1_000)
    assert fleet.most_in_a_window() <= ALLOWED


@pytest.mark.parametrize("started", [True, False])
@pytest.mark.parametrize("nodes", [16, 91])
@pytest.mark.parametrize("rate", [47.0, 243.0])
@pytest.mark.parametrize("places", [1, 2, 4])
def test_callers_that_a_node_knows_nothing_of_are_served(
    nodes: int, rate: float, places: int, started: bool
) -> None:
    """All nodes have just started, and a workspace's callers are at few."""
    fleet = Fleet(nodes, rate=rate, started=started)
    fleet.play(per_second=0.66 * rate, places=places)
    assert len(fleet.admitted) >= 0.9 * fleet.asked
