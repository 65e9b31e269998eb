"""Shares of an overloaded service among workspaces, under load.

`python -m bench.fair_shares` prints the figures of the design note
(`docs/design/fair-shares.md`).
The decisions of several nodes run on simulated time, without a network: the
queues and gauges of the targets, their reports of usage, and the shedding where
requests enter. The same arrivals are offered to each variant.
"""

from __future__ import annotations

import dataclasses
import functools
import heapq
import itertools
import random
import types
from collections.abc import Callable, Iterable
from typing import Any, cast

from currantcart.admission import fair_share, pressure, slots
from currantcart.proxy import settings as proxy_settings
from currantcart.proxy.streams import frames
from currantcart.proxy.targets import target_usage
from currantcart.workspace import usage

SERVICE = "deep"
RANK = 18
TARGETS = 4
NODES = 8
SLOTS = 40
USED_SLOTS = int(SLOTS * slots.USED_SLOTS_SHARE)
WORK_MS = 220.0
CAPACITY = TARGETS * USED_SLOTS / WORK_MS * 1e3
"""Requests per second that all targets serve."""
WORKSPACES = 80
BASE_LOAD = 0.95
OVERLOAD = 1.3
SURGE = 6.0
SURGE_AT_MS = 5_000.0
END_MS = 17_000.0
OBJECTIVE_MS = 1_500.0
STATUS_MS = 400.0
REPORT_DELAY_MS = 400.0
"""Largest delay of a report; it is then as old as 0.8 s when replaced."""
REPORT_LOST = 0.15
SWEEP_MS = 20.0
SAMPLED = 3
"""Targets of which the least loaded is chosen."""
GUARDS_MAX = 3
"""Targets that a request is offered to before it fails."""
SEEDS = (3, 4, 5, 6, 7, 8)


@dataclasses.dataclass
class Arrival:
    """A request that enters at a node."""

    at: float
    workspace: str
    node: int
    work_ms: float
    is_surge: bool = False


@dataclasses.dataclass
class Placement:
    """A request that was not shed, and the targets that it was offered to."""

    arrival: Arrival
    tried: list[Target] = dataclasses.field(default_factory=list)


@functools.cache
def arrivals(surging: int, seed: int) -> tuple[Arrival, ...]:
    """Returns the arrivals; the first workspaces surge after `SURGE_AT_MS`.

    Each workspace has a node at which three quarters of its requests enter, so
    that no node sees the demand of all.
    """
    rng = random.Random(seed)
    surge_load = (OVERLOAD - BASE_LOAD) / (SURGE - 1.0) / surging
    weights = [1.0 / (1 + number) ** 0.6 for number in range(WORKSPACES)]
    rest = sum(weights[surging:])
    found: list[Arrival] = []
    for number in range(WORKSPACES):
        load = surge_load
        if number >= surging:
            load = (BASE_LOAD - surging * surge_load) * weights[number] / rest
        home = rng.randrange(NODES)
        now = 0.0
        while True:
            per_ms = load * CAPACITY / 1e3
            surges = number < surging and now >= SURGE_AT_MS
            now += rng.expovariate(per_ms * (SURGE if surges else 1.0))
            if now >= END_MS:
                break
            found.append(
                Arrival(
                    now,
                    f"w{number}",
                    home if rng.random() < 0.75 else rng.randrange(NODES),
                    WORK_MS * rng.uniform(0.6, 1.4),
                    is_surge=surges and rng.random() < 1.0 - 1.0 / SURGE,
                )
            )
    return tuple(sorted(found, key=lambda arrival: arrival.at))


class Clock:
    """Simulated time, as the part of a node's context that is used."""

    def __init__(self, *, fair: bool) -> None:
        self.now = 0.0
        self.catalog = None
        self.settings = types.SimpleNamespace(
            fair_shares=proxy_settings.FairShares(enabled=fair)
        )


class Target:
    """A target's queue, overload gauge and usage."""

    def __init__(self, clock: Clock, node: Node, *, fair_queue: bool) -> None:
        self.queue: slots.SlotQueue[Placement] = slots.SlotQueue(
            fair=fair_queue
        )
        self.queue.configure(SLOTS)
        self.queue.occupancy.service_ms = dict.fromkeys(
            self.queue.occupancy.service_ms, WORK_MS
        )
        self.gauge = pressure.Gauge()
        self.usage = target_usage.TargetUsage(cast(Any, clock))
        self.usage.level = lambda: node.levels().get(SERVICE, 0.0)
        self.usage.reported = node.merged


class Node:
    """Shedding at one node, and what it knows of the targets."""

    def __init__(self, number: int) -> None:
        self.level_of = [0.0] * TARGETS
        self.usage_of: list[dict[str, float]] = [{} for _ in range(TARGETS)]
        self.shedder = pressure.Shedder(
            random.Random(number),
            divider=fair_share.Divider(
                tracked=16,
                reported=lambda _: self.merged(),
                weight_of=lambda _: 1.0,
            ),
        )

    def receive(
        self, index: int, level: float, values: dict[str, float]
    ) -> None:
        """Applies a report of a target."""
        self.level_of[index], self.usage_of[index] = level, values

    def levels(self) -> pressure.Pressure:
        return pressure.mean((SLOTS, {SERVICE: x}) for x in self.level_of)

    def merged(self) -> dict[int, usage.Demand]:
        return usage.merge(usage.parse(item) for item in self.usage_of if item)


@dataclasses.dataclass
class Served:
    """Requests by workspace.

    Attributes:
      offered: Requests that arrived after the surge began.
      served: Those of them that were answered within their objective.
      largest_report: Largest number of values in a report.
    """

    offered: dict[str, int]
    served: dict[str, int]
    largest_report: int = 0

    @property
    def total(self) -> int:
        return sum(self.served.values())

    def kept(self, before: Served, surging: int) -> float:
        """Returns the share of the others' requests that are still served."""
        others = [f"w{number}" for number in range(surging, WORKSPACES)]
        return sum(self.served[name] for name in others) / sum(
            before.served[name] for name in others
        )

    def least(self) -> float:
        """Returns the least served part of a workspace over the mean part."""
        mean = self.total / sum(self.offered.values())
        return (
            min(self.served[name] / self.offered[name] for name in self.served)
            / mean
        )


@dataclasses.dataclass(frozen=True)
class Variant:
    """What is simulated.

    Attributes:
      queue: Whether the queues serve by usage.
      ingress: Whether the shedding is by usage.
      sheds: Whether requests are shed where they enter at all.
      reports: Whether usage is reported.
      level: Level that all targets report from the surge on; None for that of
        their gauges.
    """

    queue: bool = False
    ingress: bool = False
    sheds: bool = True
    reports: bool = True
    level: float | None = None


RANK_ALONE = Variant()
QUEUE_ALONE = Variant(queue=True, sheds=False)
SUFFICIENT_LEVEL = 0.25
"""Level at which 1.3 times the capacity fits it."""
RANK_AT_LEVEL = Variant(level=SUFFICIENT_LEVEL)
INGRESS_ALONE = Variant(ingress=True, level=SUFFICIENT_LEVEL)
BOTH = Variant(queue=True, ingress=True)
VARIANTS = {
    "rank alone": RANK_ALONE,
    "rank alone, nothing shed": Variant(sheds=False),
    "queue alone, nothing shed": QUEUE_ALONE,
    "queue, shed by rank": Variant(queue=True),
    "rank alone, level given": RANK_AT_LEVEL,
    "ingress alone, level given": INGRESS_ALONE,
    "ingress alone": Variant(ingress=True),
    "both": BOTH,
    "both, no reports": Variant(queue=True, ingress=True, reports=False),
}


class Simulation:
    """One run.

    Attributes:
      variant: What is simulated.
      clock: Simulated time.
      nodes: Nodes where requests enter; the first ones have a target.
      targets: Targets of the service.
      result: What was served so far.
      events: Later actions, as a heap of time, number and action.
    """

    def __init__(self, variant: Variant, seed: int) -> None:
        self.variant = variant
        self.rng = random.Random(seed + 1)
        self.clock = Clock(fair=variant.ingress)
        self.nodes = [Node(number) for number in range(NODES)]
        self.targets = [
            Target(self.clock, self.nodes[number], fair_queue=variant.queue)
            for number in range(TARGETS)
        ]
        names = [f"w{number}" for number in range(WORKSPACES)]
        self.result = Served(dict.fromkeys(names, 0), dict.fromkeys(names, 0))
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.numbers = itertools.count()

    def run(self, offered: Iterable[Arrival]) -> None:
        """Runs to the end of the arrivals."""
        self.sweep()
        for index in range(TARGETS):
            self.later(
                index * STATUS_MS / TARGETS,
                functools.partial(self.publish, index),
            )
        for arrival in offered:
            while self.events and self.events[0][0] <= arrival.at:
                self.clock.now, _, action = heapq.heappop(self.events)
                action()
            self.clock.now = arrival.at
            self.arrive(arrival)

    def later(self, at: float, action: Callable[[], None]) -> None:
        heapq.heappush(self.events, (at, next(self.numbers), action))

    def arrive(self, arrival: Arrival) -> None:
        """Sheds a request, or offers it to the least loaded of some targets."""
        if arrival.at >= SURGE_AT_MS:
            self.result.offered[arrival.workspace] += 1
        node = self.nodes[arrival.node]
        levels = node.levels() if self.variant.sheds else {}
        if levels and node.shedder.shed_for(
            route="r",
            service=SERVICE,
            rank=RANK,
            levels=levels,
            now=self.clock.now,
            workspace=arrival.workspace if self.variant.ingress else "",
        ):
            return
        self.place(Placement(arrival))

    def place(self, placement: Placement) -> None:
        """Offers a request to the least loaded of the targets not tried."""
        arrival = placement.arrival
        left = [item for item in self.targets if item not in placement.tried]
        if len(placement.tried) >= GUARDS_MAX or not left:
            return
        target = min(
            self.rng.sample(left, min(SAMPLED, len(left))),
            key=lambda item: item.queue.running + item.queue.waiting,
        )
        if not placement.tried:
            target.usage.record(opening(arrival.workspace))
        placement.tried.append(target)
        verdict, ticket = target.queue.offer(
            placement,
            priority=RANK,
            now=self.clock.now,
            objective_ms=OBJECTIVE_MS,
            expires_at=arrival.at + 4_000.0,
            age_ms=self.clock.now - arrival.at,
            workspace=arrival.workspace,
        )
        if verdict is slots.Verdict.RUN:
            self.start(target, ticket)
        refused = verdict is slots.Verdict.REFUSE
        self.count_offer(target, placement, refused=refused)
        if refused:
            self.place(placement)

    def count_offer(
        self, target: Target, placement: Placement, *, refused: bool
    ) -> None:
        """Counts an offer as the guard does."""
        fair = self.variant.queue
        if not (refused and fair and placement.tried[0] is not target):
            target.gauge.count_offer(refused=refused, fair=fair)

    def start(self, target: Target, ticket: slots.Ticket[Placement]) -> None:
        arrival = ticket.item.arrival
        end = self.clock.now + arrival.work_ms
        if arrival.at >= SURGE_AT_MS and end - arrival.at <= OBJECTIVE_MS:
            self.result.served[arrival.workspace] += 1
        self.later(end, functools.partial(self.release, target, ticket))

    def release(self, target: Target, ticket: slots.Ticket[Placement]) -> None:
        target.queue.release(ticket, self.clock.now)
        following = target.queue.start_next(self.clock.now)
        if following is not None:
            self.start(target, following)

    def sweep(self) -> None:
        """Refuses overdue requests and updates the gauges."""
        now = self.clock.now
        for target in self.targets:
            for ticket in target.queue.remove_overdue(now):
                self.count_offer(target, ticket.item, refused=True)
                self.place(ticket.item)
            target.gauge.update(
                wait_ms=target.queue.slot_wait_ms(slots.CALLS_PRIORITY),
                objective_ms=OBJECTIVE_MS,
                utilization=target.queue.running / target.queue.slots,
                now=now,
            )
        self.later(now + SWEEP_MS, self.sweep)

    def publish(self, index: int) -> None:
        """Sends a target's report to all nodes; some are lost."""
        now, target = self.clock.now, self.targets[index]
        level = target.gauge.level
        if self.variant.level is not None:
            level = self.variant.level if now >= SURGE_AT_MS else 0.0
        values = target.usage.update(own_level=level)
        if not self.variant.reports:
            values = {}
        self.result.largest_report = max(
            self.result.largest_report, len(values)
        )
        for number, node in enumerate(self.nodes):
            delay = 0.0
            if number != index:
                if self.rng.random() < REPORT_LOST:
                    continue
                delay = self.rng.uniform(10.0, REPORT_DELAY_MS)
            self.later(
                now + delay,
                functools.partial(node.receive, index, level, values),
            )
        self.later(now + STATUS_MS, functools.partial(self.publish, index))


@functools.cache
def run(
    variant: Variant, *, surging: int, surge: bool = True, seed: int = 3
) -> Served:
    """Returns what a variant serves.

    Args:
      variant: What is simulated.
      surging: Workspaces that surge.
      surge: Whether they do; if not, they send their usual load throughout.
      seed: Seed of the arrivals and of the losses of reports.
    """
    simulation = Simulation(variant, seed)
    simulation.run(
        arrival
        for arrival in arrivals(surging, seed)
        if surge or not arrival.is_surge
    )
    return simulation.result


@functools.cache
def opening(workspace: str) -> frames.Open:
    """Returns the part of a request that usage is recorded from."""
    return frames.Open(
        0, 0.0, 0.0, "", "", RANK, 0.0, "", "", b"", b"", 0,
        workspace=workspace, weight=1.0,
    )  # fmt: skip


def main() -> None:
    """Prints the figures of all variants."""
    for surging, seed in itertools.product((1, 3), SEEDS):
        usual = run(RANK_ALONE, surging=surging, surge=False, seed=seed)
        for name, variant in VARIANTS.items():
            served = run(variant, surging=surging, seed=seed)
            print(
                f"{surging} surging, seed {seed}, {name}:"
                f" others keep {served.kept(usual, surging):.3f},"
                f" least {served.least():.2f}, served {served.total},"
                f" values in a report {served.largest_report}"
            )


if __name__ == "__main__":
    main()
