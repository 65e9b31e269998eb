"""Tests target selection and its effect on latency, by simulation."""

from __future__ import annotations

import collections
import dataclasses
import heapq
import itertools
import random
from collections.abc import Callable

import pytest

from currantcart.routing import picker

SLOTS = 20
WORK_MS = 100.0
OBJECTIVE_MS = 300.0
REPORT_INTERVAL_MS = 400.0
END_MS = 8_000.0
DOMAINS = "abc"
NODES_A_DOMAIN = 4

Choose = Callable[[picker.Picker, list[picker.Target], float], int]


def least_cost(
    chooser: picker.Picker, targets: list[picker.Target], now: float
) -> int:
    chosen = chooser.choose(targets, now=now, exclude=set())
    assert chosen is not None
    return targets.index(chosen)


def at_random(
    chooser: picker.Picker, targets: list[picker.Target], now: float
) -> int:
    del now
    return chooser.rng.randrange(len(targets))


def same_domain(
    chooser: picker.Picker, targets: list[picker.Target], now: float
) -> int:
    """Never leaves the failure domain, whatever the load there."""
    del now, targets
    return DOMAINS.index(chooser.failure_domain)


@dataclasses.dataclass
class Server:
    """A target: slots, a FIFO queue and its service time."""

    work_ms: float
    running: int = 0
    waiting: collections.deque[Callable[[float], None]] = dataclasses.field(
        default_factory=collections.deque
    )

    @property
    def busy(self) -> int:
        return self.running + len(self.waiting)

    def start(self, now: float) -> None:
        while self.waiting and self.running < SLOTS:
            self.running += 1
            self.waiting.popleft()(now)


class World:
    """Simulates the nodes of three domains with one target in each.

    A node receives a target's load with its answers, and every 400 ms.

    Attributes:
      sent: Requests.
      in_time: Requests answered within the objective.
      near: Requests that stayed in their domain.
    """

    def __init__(
        self, choose: Choose, work: list[float], *, reports_speed: bool = True
    ) -> None:
        self.reports_speed = reports_speed
        self.rng = random.Random(5)
        self.choose = choose
        self.servers = [Server(work_ms) for work_ms in work]
        self.events: list[tuple[float, int, Callable[[float], None]]] = []
        self.numbers = itertools.count()
        self.sent = self.in_time = self.near = 0
        self.nodes = [
            (
                picker.Picker(
                    instance=f"n{number}",
                    failure_domain=DOMAINS[number % len(DOMAINS)],
                    rng=random.Random(100 + number),
                ),
                [
                    picker.Target(
                        f"s{domain}", "grades", domain, ready=True, limit=SLOTS
                    )
                    for domain in DOMAINS
                ],
            )
            for number in range(NODES_A_DOMAIN * len(DOMAINS))
        ]

    def at(self, when: float, what: Callable[[float], None]) -> None:
        heapq.heappush(self.events, (when, next(self.numbers), what))

    def play(self, per_second: float, shares: list[float]) -> World:
        """Simulates requests that originate in the domains by their shares."""
        for _, targets in self.nodes:
            self.report(targets, self.rng.uniform(0, REPORT_INTERVAL_MS))
        now = 0.0
        while now < END_MS:
            now += self.rng.expovariate(per_second / 1_000)
            (place,) = self.rng.choices(range(len(DOMAINS)), shares)
            number = place + len(DOMAINS) * self.rng.randrange(NODES_A_DOMAIN)
            self.at(now, self.arrival(number))
        while self.events:
            when, _, what = heapq.heappop(self.events)
            what(when)
        return self

    def report(self, targets: list[picker.Target], when: float) -> None:
        def receive(now: float) -> None:
            for target, server in zip(targets, self.servers, strict=True):
                target.update_load(busy=server.busy, limit=SLOTS, now=now)
                target.work_ms = server.work_ms if self.reports_speed else 0.0
            if now < END_MS:
                self.at(now + REPORT_INTERVAL_MS, receive)

        self.at(when, receive)

    def arrival(self, number: int) -> Callable[[float], None]:
        def arrive(now: float) -> None:
            chooser, targets = self.nodes[number]
            index = self.choose(chooser, targets, now)
            target, server = targets[index], self.servers[index]
            target.open += 1
            self.sent += 1
            self.near += target.failure_domain == chooser.failure_domain

            def answered(when: float) -> None:
                server.running -= 1
                server.start(when)
                target.open -= 1
                target.update_load(busy=server.busy, limit=SLOTS, now=when)
                self.in_time += when - now <= OBJECTIVE_MS

            def run(when: float) -> None:
                work = server.work_ms * self.rng.uniform(0.7, 1.3)
                self.at(when + work, answered)

            server.waiting.append(run)
            server.start(now)

        return arrive

    @property
    def served_in_time(self) -> float:
        return self.in_time / self.sent

    @property
    def stayed_in_domain(self) -> float:
        return self.near / self.sent


EVEN = [1.0, 1.0, 1.0]
UNEVEN = [3.0, 1.0, 1.0]
ALIKE = [WORK_MS] * 3
ONE_SLOW = [2 * WORK_MS, WORK_MS, WORK_MS]


def capacity(work: list[float]) -> float:
    """Returns the requests a second that all targets can serve together."""
    return SLOTS * sum(1_000 / each for each in work)


@pytest.mark.parametrize("other", [at_random, same_domain])
def test_least_cost_serves_more_in_time_than_other_policies(
    other: Choose,
) -> None:
    """At 0.9 of the capacity of three targets, one at half the speed."""
    per_second = 0.9 * capacity(ONE_SLOW)
    chosen = World(least_cost, ONE_SLOW).play(per_second, EVEN)
    compared = World(other, ONE_SLOW).play(per_second, EVEN)
    assert chosen.served_in_time > 0.99
    assert compared.served_in_time < 0.75


def test_a_domain_with_more_requests_uses_the_other_domains() -> None:
    per_second = 0.9 * capacity(ALIKE)
    chosen = World(least_cost, ALIKE).play(per_second, UNEVEN)
    compared = World(same_domain, ALIKE).play(per_second, UNEVEN)
    assert chosen.served_in_time > 0.99
    assert compared.served_in_time < 0.5


@pytest.mark.parametrize(("slow", "gain"), [(2.0, 0.05), (4.0, 0.05)])
def test_load_weighted_by_speed_serves_more_in_time(
    slow: float, gain: float
) -> None:
    """Served in time: by load 0.89 and 0.87, with speed 1.00 and 0.94."""
    work = [slow * WORK_MS, WORK_MS, WORK_MS]
    per_second = 0.9 * capacity(work)
    weighted = World(least_cost, work).play(per_second, EVEN)
    unweighted = World(least_cost, work, reports_speed=False).play(
        per_second, EVEN
    )
    assert weighted.served_in_time > unweighted.served_in_time + gain


def test_a_request_stays_in_its_domain_while_there_is_room() -> None:
    """Traffic between domains costs; balancing would gain nothing here."""
    played = World(least_cost, ALIKE).play(0.5 * capacity(ALIKE), EVEN)
    assert played.served_in_time > 0.99
    assert played.stayed_in_domain > 0.95


def target(name: str, domain: str = "a", **values: object) -> picker.Target:
    made = picker.Target(name, "grades", domain, ready=True, limit=SLOTS)
    for field, value in values.items():
        setattr(made, field, value)
    return made


@pytest.mark.parametrize(
    "worse",
    [
        target("x", ready=False),
        target("x", domain="b"),
        target("x", busy=10),
        target("x", open=10),
        target("x", cold_until=2_000.0),
        target("x", failure=0.5, failure_at=1_000.0),
        target("x", busy=5, work_ms=200.0),
    ],
    ids=[
        "not ready",
        "other domain",
        "busy",
        "open",
        "cold",
        "failing",
        "slow",
    ],
)
def test_the_target_with_lower_cost_is_chosen(worse: picker.Target) -> None:
    chooser = picker.Picker(
        instance="n", failure_domain="a", rng=random.Random(1)
    )
    better = target("y", busy=3, work_ms=100.0)
    for order in ([better, worse], [worse, better]):
        assert chooser.choose(order, now=1_000.0, exclude=set()) is better
    assert chooser.choose([worse], now=1_000.0, exclude={"x"}) is None


def test_failures_decay() -> None:
    made = target("x")
    for _ in range(50):
        made.record_outcome(failed=True, now=1_000.0)
    assert made.failure_share(1_000.0) > 0.9
    assert made.failure_share(5_000.0) < 0.25


@pytest.mark.parametrize(
    ("objective_ms", "work_ms", "least", "most"),
    [
        (150.0, 90.0, 0.7, 0.7),
        (300.0, 0.0, 0.7, 0.7),
        (300.0, 25.0, 1.1, 1.3),
        (5_000.0, 25.0, 1.7, 1.7),
    ],
    ids=["short objective", "unknown", "short work", "long objective"],
)
def test_a_request_waits_in_its_domain_for_a_part_of_its_objective(
    objective_ms: float, work_ms: float, least: float, most: float
) -> None:
    """Guards against short requests leaving a domain after a brief wait."""
    cost = picker.other_domain_cost(objective_ms, work_ms=work_ms)
    assert least <= cost <= most
