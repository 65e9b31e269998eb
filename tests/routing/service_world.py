"""Discrete-event simulation of one service: its targets and their callers.

Targets have the queues, measurements and reports of their guards; callers'
nodes have the estimates and the picker of the product. Arrivals, work and slow
times depend on the seed only, so two ways of placement get the same ones.
"""

from __future__ import annotations

import collections
import dataclasses
import heapq
import itertools
import math
import random
from collections.abc import Callable, Sequence

from currantcart.admission import work_by_kind, work_time
from currantcart.routing import estimates, picker, speed

DOMAINS = "abcd"
STATUS_MS = 400.0 + 6.0 * (77 - 12)
"""Status interval of a fleet of 77 nodes."""
TRANSIT_MS = 0.7
SLOW_FACTOR = 2.5
SLOW_MS = 600.0
SLOTS = 20
NEAR, FAR, FAR_IF_SPEEDS_DIFFER = 5, 3, 6


@dataclasses.dataclass(frozen=True)
class Kind:
    """A kind of request: its median work, spread and limits, in ms."""

    name: str
    share: float
    work_ms: float
    objective_ms: float
    timeout_ms: float
    priority: int
    sigma: float = 0.45

    @property
    def mean_ms(self) -> float:
        return self.work_ms * math.exp(self.sigma**2 / 2)


KINDS = (
    Kind("call", 0.40, 35.0, 500.0, 1_000.0, -512),
    Kind("lookup", 0.25, 205.0, 1_200.0, 1_200.0, 0),
    Kind("reserve", 0.10, 270.0, 1_200.0, 1_200.0, 1),
    Kind("cross", 0.15, 510.0, 1_200.0, 1_200.0, 1),
    Kind("view", 0.10, 825.0, 2_600.0, 3_000.0, 2),
)


@dataclasses.dataclass
class Request:
    """A request: its kind, the work drawn for it, and where it ran."""

    kind: Kind
    arrived: float
    work_ms: float
    view: picker.Target | None = None
    node: Node | None = None
    expected_ms: float = 0.0
    found_free: bool = False
    started: float = -1.0
    weight: float = 0.0
    done: bool = False


class Server:
    """A target and the measurements beside it."""

    def __init__(
        self, number: int, domain: str, speed: float, slots: int
    ) -> None:
        self.name, self.domain = f"t{number}", domain
        self.speed, self.slots = speed, slots
        self.running = self.waiting = self.waiting_max = 0
        self.heap: list[tuple[int, int, Request]] = []
        self.forget()

    def forget(self) -> None:
        self.kinds = work_by_kind.WorkByKind()
        self.pace = work_by_kind.Pace()
        self.work_time = work_time.WorkTime()

    @property
    def busy(self) -> int:
        return self.running + self.waiting


class Node:
    """A caller's node: what it knows of the targets."""

    def __init__(
        self, name: str, domain: str, servers: Sequence[Server], seed: int
    ) -> None:
        self.rng = random.Random(seed)
        self.domain = domain
        self.picker = picker.Picker(
            instance=name, failure_domain=domain, rng=self.rng
        )
        self.views = {
            server.name: picker.Target(
                server.name, "s", server.domain, ready=True, limit=server.slots
            )
            for server in servers
        }
        self.estimates = estimates.Estimates()

    def candidates(self, far_max: int) -> list[picker.Target]:
        views = list(self.views.values())
        if len(views) <= NEAR + FAR:
            return views
        near = [view for view in views if view.failure_domain == self.domain]
        far = [view for view in views if view.failure_domain != self.domain]
        return self.rng.sample(near, min(NEAR, len(near))) + self.rng.sample(
            far, min(far_max, len(far))
        )


@dataclasses.dataclass
class Result:
    """What callers got after the warm-up."""

    sent: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    in_time: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    answered: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    near: int = 0
    waiting_max: int = 0

    def share_in_time(self, kind: str | None = None) -> float:
        if kind is not None:
            return self.in_time[kind] / self.sent[kind]
        return self.in_time.total() / self.sent.total()

    @property
    def share_near(self) -> float:
        return self.near / self.sent.total()


class World:
    """One service with its callers.

    Attributes:
      now: Simulated time in ms.
      sent_to: Requests by target and kind after the warm-up.
    """

    def __init__(
        self,
        speeds: Sequence[float],
        *,
        by_completion: bool,
        domains: str = DOMAINS,
        slots: int = SLOTS,
        nodes: int = 24,
        slow_share: float = 0.0,
        reports_kinds: bool = True,
        wave: float = 0.0,
        seed: int = 7,
    ) -> None:
        self.by_completion = by_completion
        self.reports_kinds = reports_kinds
        self.slow_share = slow_share
        self.wave = wave
        self.rng = random.Random(seed)
        self.domains = domains
        self.servers = [
            Server(number, domains[number % len(domains)], each, slots)
            for number, each in enumerate(speeds)
        ]
        self.nodes = [
            Node(
                f"t{number}" if number < len(speeds) else f"n{number}",
                domains[number % len(domains)],
                self.servers,
                seed=1_000 * seed + number,
            )
            for number in range(nodes)
        ]
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.numbers = itertools.count()
        self.now = 0.0
        self.result = Result()
        self.sent_to: collections.Counter[tuple[str, str]] = (
            collections.Counter()
        )
        self.slow: dict[str, list[bool]] = {}

    def at(self, when: float, what: Callable[[], None]) -> None:
        heapq.heappush(self.events, (when, next(self.numbers), what))

    def capacity(self) -> float:
        """Returns the requests per ms that all targets can serve."""
        slots = sum(server.slots * server.speed for server in self.servers)
        mean = sum(kind.share * kind.mean_ms for kind in KINDS)
        return slots / mean / (1 + self.slow_share * (SLOW_FACTOR - 1))

    def play(
        self,
        load: float,
        *,
        end_ms: float = 12_000.0,
        warm_ms: float = 5_000.0,
        at: Sequence[tuple[float, Callable[[World], None]]] = (),
    ) -> Result:
        """Plays arrivals at a load of the capacity."""
        self.warm_ms, self.end_ms = warm_ms, end_ms
        for server in self.servers:
            self.slow[server.name] = [
                self.rng.random() < self.slow_share
                for _ in range(2 + int(end_ms * 2 / SLOW_MS))
            ]
            self.at(
                self.rng.uniform(0, STATUS_MS),
                lambda server=server: self.report(server),  # type: ignore[misc]
            )
        for when, what in at:
            self.at(when, lambda what=what: what(self))  # type: ignore[misc]
        shares = [kind.share for kind in KINDS]
        rate = load * self.capacity()
        now = 0.0
        arrivals = random.Random(self.rng.random())
        while now < end_ms:
            now += arrivals.expovariate(rate)
            (kind,) = arrivals.choices(KINDS, shares)
            work_ms = kind.work_ms * arrivals.lognormvariate(0, kind.sigma)
            node = self.node_at(now, arrivals)
            request = Request(kind, now, work_ms, node=node)
            self.at(now, lambda request=request: self.place(request))  # type: ignore[misc]
        while self.events:
            self.now, _, act = heapq.heappop(self.events)
            act()
        self.result.waiting_max = max(
            server.waiting_max for server in self.servers
        )
        return self.result

    def node_at(self, now: float, arrivals: random.Random) -> Node:
        if not self.wave:
            return arrivals.choice(self.nodes)
        weights = [
            1
            + self.wave
            * math.sin(
                2
                * math.pi
                * (
                    now / 15_000
                    + self.domains.index(node.domain) / len(self.domains)
                )
            )
            for node in self.nodes
        ]
        return arrivals.choices(self.nodes, weights)[0]

    def report(self, server: Server) -> None:
        kinds = server.kinds.report(self.now) if self.reports_kinds else {}
        slow_now = server.pace.slow_now(self.now) if self.reports_kinds else 1.0
        busy = server.busy

        def receive() -> None:
            for node in self.nodes:
                view = node.views[server.name]
                view.update_load(busy=busy, limit=server.slots, now=self.now)
                view.update_speed(
                    work_ms=server.work_time.reported_ms,
                    work_by_kind=kinds,
                    slow_now=slow_now,
                    now=self.now,
                )

        self.at(self.now + TRANSIT_MS, receive)
        if self.now < self.end_ms:
            self.at(self.now + STATUS_MS, lambda: self.report(server))

    def place(self, request: Request) -> None:
        node, kind = request.node, request.kind
        assert node is not None
        forecast = None
        known = node.estimates
        if self.by_completion:
            if known.is_due(self.now):
                known.compare(
                    [
                        speed.Report(
                            view.instance, view.work_by_kind, view.slow_now
                        )
                        for view in node.views.values()
                    ],
                    self.now,
                )
            forecast = known.forecast(
                kind.name,
                objective_ms=kind.objective_ms,
                left_ms=kind.timeout_ms,
                priority=kind.priority,
            )
        view = node.picker.choose(
            node.candidates(
                FAR_IF_SPEEDS_DIFFER if known.speeds.differ else FAR
            ),
            now=self.now,
            exclude=set(),
            objective_ms=kind.objective_ms,
            forecast=forecast,
        )
        assert view is not None
        request.view = view
        if forecast:
            request.expected_ms = view.expected_ms(forecast, self.now)
            request.found_free = view.load() < 1.0
        view.open += 1
        server = self.servers[int(view.instance[1:])]
        if request.arrived >= self.warm_ms:
            self.sent_to[server.name, kind.name] += 1
            self.result.sent[kind.name] += 1
            self.result.near += server.domain == node.domain
        transit = 0.0 if server.domain == node.domain else TRANSIT_MS
        self.at(self.now + transit, lambda: self.offer(server, request))
        self.at(
            request.arrived + kind.timeout_ms,
            lambda: self.expire(server, request),
        )

    def offer(self, server: Server, request: Request) -> None:
        heapq.heappush(
            server.heap,
            (request.kind.priority, next(self.numbers), request),
        )
        server.waiting += 1
        self.start(server)

    def start(self, server: Server) -> None:
        while server.heap and server.running < server.slots:
            _, _, request = heapq.heappop(server.heap)
            if request.done:
                continue
            server.waiting -= 1
            server.running += 1
            request.started = self.now
            usual = server.kinds.usual_ms(request.kind.name)
            request.weight = server.pace.start(usual, self.now)
            factor = 1 / server.speed
            if self.slow[server.name][int(self.now / SLOW_MS)]:
                factor *= SLOW_FACTOR
            self.at(
                self.now + request.work_ms * factor,
                lambda request=request: self.finish(server, request),  # type: ignore[misc]
            )
        if self.now >= self.warm_ms:
            server.waiting_max = max(server.waiting_max, server.waiting)

    def finish(self, server: Server, request: Request) -> None:
        if request.done:
            return
        worked_ms = self.now - request.started
        server.kinds.record(request.kind.name, worked_ms, self.now)
        server.work_time.record(worked_ms)
        self.end(server, request, completed=True)
        taken_ms = self.now - request.arrived
        self.learn(request, answered=True)
        if request.arrived >= self.warm_ms:
            name = request.kind.name
            self.result.answered[name] += 1
            self.result.in_time[name] += taken_ms <= request.kind.objective_ms

    def expire(self, server: Server, request: Request) -> None:
        if request.done:
            return
        self.learn(request, answered=False)
        if request.started < 0:
            server.waiting -= 1
            request.done = True
            assert request.view is not None
            request.view.open -= 1
        else:
            server.kinds.record_cancelled(
                request.kind.name, self.now - request.started, self.now
            )
            self.end(server, request, completed=False)

    def learn(self, request: Request, *, answered: bool) -> None:
        assert request.node is not None
        if request.found_free:
            request.node.estimates.record(
                request.kind.name,
                actual_ms=self.now - request.arrived,
                expected_ms=request.expected_ms,
                answered=answered,
            )

    def end(self, server: Server, request: Request, *, completed: bool) -> None:
        """Frees the slot; the answer carries the target's load."""
        request.done = True
        server.running -= 1
        server.pace.end(request.weight, self.now, completed=completed)
        self.start(server)
        view = request.view
        assert view is not None
        view.open -= 1
        if completed:
            view.update_load(busy=server.busy, limit=server.slots, now=self.now)
