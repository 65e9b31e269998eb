"""Demand that moves between failure domains, played on guards' queues.

The queues, the choice of targets and the hand-backs are the real ones; streams,
targets and callers are events of one simulated clock. Prints the figures of the
design note with `python -m tests.fakes.waves WAY [uneven]`.
"""

from __future__ import annotations

import dataclasses
import functools
import heapq
import itertools
import math
import random
import sys
from collections.abc import Callable
from typing import Any, cast

from currantcart import clock as clock_module
from currantcart.admission import hand_back, slots
from currantcart.platform import names
from currantcart.proxy import context as proxy_context
from currantcart.proxy import header_names
from currantcart.proxy import settings as proxy_settings
from currantcart.proxy.requests import call as call_module
from currantcart.proxy.requests import moves, outbound
from currantcart.proxy.streams import frames, reachability
from currantcart.proxy.targets import guard, hand_backs
from currantcart.proxy.targets import job as job_module
from currantcart.routing import picker
from currantcart.telemetry import decisions

SERVICE = "s"
DOMAINS = "abcd"
NODES_PER_DOMAIN = 18
TARGETS_PER_DOMAIN = 6
"""Nodes beside a target of the service; the others only send requests."""
SLOTS = 20
AMPLITUDE = 0.55
PERIOD_MS = 15_000.0
BURST_FACTOR = 2.0
"""Demand of a failure domain during a burst, relative to its wave."""
BURST_EVERY_MS, BURST_MS = 2_000.0, 300.0
STATUS_MS = 400.0
STATUS_TRANSIT_MS = 400.0
"""With the interval, statuses are 0.4 to 0.8 s old when they are used."""
NEAR_MS, FAR_MS = 2.0, 12.0
WORK_SIGMA = 0.5
SPEEDS = (0.55, 0.8, 1.0, 1.0, 1.2, 1.4)
"""Speeds of the targets of a failure domain, if they differ."""
SLOW_FACTOR = 2.5
SLOW_SHARE = 0.15
SLOW_MS = 600.0
START_MS = 1_000.0
"""Time of the clock at the start; caches hold from time 0."""


@dataclasses.dataclass(frozen=True, slots=True)
class Kind:
    """A kind of request: its share of the arrivals, work and objective."""

    share: float
    work_ms: float
    objective_ms: float
    priority: int


KINDS = (
    Kind(0.40, 200.0, 1_500.0, 3),
    Kind(0.20, 270.0, 2_000.0, 1),
    Kind(0.15, 510.0, 1_500.0, 4),
    Kind(0.10, 820.0, 3_000.0, 6),
    Kind(0.15, 35.0, 500.0, slots.call_priority(1)),
)
MEAN_WORK_MS = sum(kind.share * kind.work_ms for kind in KINDS)


@dataclasses.dataclass(frozen=True, slots=True)
class Arrival:
    """A request of the generated demand."""

    at: float
    node: int
    kind: Kind
    work_ms: float


@dataclasses.dataclass
class Figures:
    """What callers got.

    Attributes:
      in_time: Requests answered within their objective.
      late: Requests answered later than that.
      refused: Requests refused in the end.
      expired: Requests not answered before their time-out.
      refusals: Refusals for load by guards.
      moves: Requests handed back, each time counted.
      most_moves: Most moves of one request.
      most_waiting: Longest queue of a guard.
      far: Requests that ran in another failure domain.
      runs: Requests that ran.
    """

    in_time: int = 0
    late: int = 0
    refused: int = 0
    expired: int = 0
    refusals: int = 0
    moves: int = 0
    most_moves: int = 0
    most_waiting: int = 0
    far: int = 0
    runs: int = 0

    @property
    def total(self) -> int:
        return self.in_time + self.late + self.refused + self.expired

    @property
    def share(self) -> float:
        return self.in_time / self.total


def bursts(rng: random.Random, seconds: float) -> list[float]:
    """Returns when the bursts of one failure domain begin."""
    found: list[float] = []
    now = START_MS
    while now < START_MS + seconds * 1_000:
        now += BURST_MS + rng.expovariate(1.0 / (BURST_EVERY_MS - BURST_MS))
        found.append(now)
    return found


def arrivals(*, load: float, seconds: float, seed: int) -> list[Arrival]:
    """Returns demand of a share of the capacity that used slots have."""
    rng = random.Random(seed)
    used = int(SLOTS * slots.USED_SLOTS_SHARE)
    per_domain = load * used * TARGETS_PER_DOMAIN / MEAN_WORK_MS
    per_domain /= 1.0 + (BURST_FACTOR - 1.0) * BURST_MS / BURST_EVERY_MS
    most = (1.0 + AMPLITUDE) * BURST_FACTOR
    found: list[Arrival] = []
    for domain in range(len(DOMAINS)):
        begins = bursts(rng, seconds)
        now = START_MS
        while True:
            now += rng.expovariate(per_domain * most)
            if now >= START_MS + seconds * 1_000:
                break
            turns = now / PERIOD_MS + domain / len(DOMAINS)
            demand = 1.0 + AMPLITUDE * math.sin(2.0 * math.pi * turns)
            if any(begin <= now < begin + BURST_MS for begin in begins):
                demand *= BURST_FACTOR
            if rng.random() >= demand / most:
                continue
            node = domain * NODES_PER_DOMAIN + rng.randrange(NODES_PER_DOMAIN)
            kind = rng.choices(KINDS, [kind.share for kind in KINDS])[0]
            factor = rng.lognormvariate(-(WORK_SIGMA**2) / 2.0, WORK_SIGMA)
            found.append(Arrival(now, node, kind, kind.work_ms * factor))
    return sorted(found, key=lambda item: item.at)


@dataclasses.dataclass(eq=False)
class Request:
    """A request on its way.

    Attributes:
      arrival: The request as generated.
      call: Its state at its caller's node.
      job: It at the guard of the current attempt.
    """

    arrival: Arrival
    call: call_module.Call
    job: job_module.Job | None = None


@dataclasses.dataclass(eq=False)
class Reply:
    """Receives the refusal of one attempt."""

    world: World
    request: Request
    place: Place

    def answered(self, status: int, head: bytes, body: bytes) -> None:
        raise NotImplementedError

    def refused(
        self, code: str, *, at_target: bool, retry_after_ms: float
    ) -> None:
        del at_target, retry_after_ms
        self.world.refuse(self.request, self.place, code)

    def lost(self, code: str, *, end_number: int = 0) -> None:
        raise NotImplementedError


class UsableLink:
    """A stream that always works."""

    def is_unresponsive(self, now: float) -> bool:
        del now
        return False


class Place:
    """One node: the guard's queue beside its target, and its knowledge."""

    def __init__(self, world: World, number: int, moves_max: int) -> None:
        self.number = number
        self.name = f"n{number}"
        self.domain = DOMAINS[number // NODES_PER_DOMAIN]
        self.index = number % NODES_PER_DOMAIN
        self.has_target = self.index < TARGETS_PER_DOMAIN
        settings = proxy_settings.ProxySettings(
            instance=self.name,
            failure_domain=self.domain,
            region="r",
            service=SERVICE,
            target="10.0.0.1:1",
            listen=proxy_settings.Listen("", "", "", ""),
            store="10.0.0.1:2",
            hand_back=proxy_settings.HandBack(moves_max=moves_max),
        )
        loop = cast(Any, None)
        self.context = proxy_context.Context(
            settings=settings,
            header_names=names.HEADER_NAMES,
            keys=header_names.HeaderKeys.of(names.HEADER_NAMES),
            process=self.name,
            clock=world.clock,
            loop=loop,
            rng=random.Random(number),
            log=cast(decisions.DecisionLog, world),
        )
        self.queue: slots.SlotQueue[job_module.Job] = slots.SlotQueue()
        self.queue.configure(SLOTS)
        self.hand_backs = hand_backs.HandBacks(self.context, queue=self.queue)
        self.sweeping = False
        self.picker = picker.Picker(
            instance=self.name,
            failure_domain=self.domain,
            rng=self.context.rng,
        )
        self.known: dict[str, picker.Target] = {}

    def connect(self, places: list[Place]) -> None:
        """Makes the targets of all places known here."""
        for place in places:
            self.known[place.name] = picker.Target(
                place.name, SERVICE, place.domain,
                ready=True, limit=place.queue.slots,
            )  # fmt: skip
        own = picker.Target(self.name, "other", self.domain)
        self.reachability = reachability.Reachability(
            self.context,
            local_target=self.known.get(self.name, own),
            by_service={SERVICE: list(self.known.values())},
            link_to=lambda _: cast(Any, UsableLink()),
        )
        self.hand_backs.targets = lambda: self.reachability.reachable(SERVICE)

    @property
    def busy(self) -> int:
        return self.queue.running + self.queue.waiting


class World:
    """All nodes on one simulated clock.

    Attributes:
      now: Simulated time, in milliseconds.
      figures: What callers got so far.
    """

    def __init__(self, *, moves_max: int, uneven: bool = False) -> None:
        self.now = START_MS
        self.uneven = uneven
        self.clock = clock_module.Clock(
            now=lambda: self.now, wall=lambda: self.now
        )
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.numbers = itertools.count()
        self.figures = Figures()
        count = len(DOMAINS) * NODES_PER_DOMAIN
        self.places = [Place(self, i, moves_max) for i in range(count)]
        self.by_name = {place.name: place for place in self.places}
        self.targets = [place for place in self.places if place.has_target]
        for place in self.places:
            place.connect(self.targets)

    def event(self, name: str, **values: object) -> None:
        """Takes a log line."""

    def after(self, delay_ms: float, action: Callable[[], None]) -> None:
        entry = (self.now + delay_ms, next(self.numbers), action)
        heapq.heappush(self.events, entry)

    def play(self, demand: list[Arrival]) -> Figures:
        """Plays demand to its end and returns what callers got."""
        end = demand[-1].at
        for arrival in demand:
            self.after(
                arrival.at - START_MS, functools.partial(self.begin, arrival)
            )
        for place in self.targets:
            first = STATUS_MS * place.number / len(self.places)
            self.after(first, functools.partial(self.publish, place, end))
        while self.events:
            self.now, _, action = heapq.heappop(self.events)
            action()
        return self.figures

    def transit_ms(self, one: Place, other: Place) -> float:
        if one is other:
            return 0.0
        return NEAR_MS if one.domain == other.domain else FAR_MS

    def publish(self, place: Place, end: float) -> None:
        """Sends a status to all other nodes."""
        busy = place.busy
        if self.now < end:
            self.after(STATUS_MS, lambda: self.publish(place, end))

        def receive() -> None:
            for other in self.places:
                if other is not place:
                    other.known[place.name].update_load(
                        busy=busy, limit=place.queue.slots, now=self.now
                    )

        self.after(STATUS_TRANSIT_MS, receive)

    # At the caller's node.

    def begin(self, arrival: Arrival) -> None:
        left = arrival.kind.objective_ms * 2.0
        call = call_module.Call(
            cast(Any, None), SERVICE, lambda *_: None, self.now, self.now + left
        )
        request = Request(arrival, call)
        self.after(left, lambda: self.expire(request))
        self.dispatch(request)

    def dispatch(self, request: Request) -> None:
        call = request.call
        here = self.places[request.arrival.node]
        if here.has_target:
            here.known[here.name].update_load(
                busy=here.busy, limit=here.queue.slots, now=self.now
            )
        chosen = here.picker.choose(
            moves.candidates(
                here.reachability, call, now=self.now, rng=here.context.rng
            ),
            now=self.now,
            exclude=call.tried_instances,
            objective_ms=request.arrival.kind.objective_ms,
        )
        if chosen is None:
            self.finish(request, "refused")
            return
        call.tried_instances.add(chosen.instance)
        call.target = chosen
        chosen.open += 1
        place = self.by_name[chosen.instance]
        placed = len(call.tried_instances) - 1
        self.after(
            self.transit_ms(here, place),
            lambda: self.submit(request, place, placed),
        )

    def end_attempt(self, request: Request, place: Place, busy: int) -> None:
        target, request.call.target = request.call.target, None
        assert target is not None
        target.open -= 1
        target.update_load(busy=busy, limit=place.queue.slots, now=self.now)

    def finish(self, request: Request, how: str) -> None:
        request.call.done = True
        setattr(self.figures, how, getattr(self.figures, how) + 1)
        self.figures.moves += request.call.moves
        self.figures.most_moves = max(
            self.figures.most_moves, request.call.moves
        )

    def expire(self, request: Request) -> None:
        """Ends a request at its time-out, also at the guard."""
        call, job = request.call, request.job
        if call.done:
            return
        if call.target is not None:
            call.target.open -= 1
        self.finish(request, "expired")
        if job is not None and job.ticket is not None:
            place = cast(Reply, job.reply).place if job.reply else None
            job.reply = None
            if place is None:
                return
            if job.ticket.started_at < 0:
                place.queue.withdraw(job.ticket)
            else:
                self.free(place, job)

    def refuse(self, request: Request, place: Place, code: str) -> None:
        """Sends a refusal back, and places the request again."""
        here = self.places[request.arrival.node]
        busy = place.busy
        request.job = None

        def receive() -> None:
            call = request.call
            if call.done:
                return
            self.end_attempt(request, place, busy)
            if not moves.take(here.context, call, code):
                call.refusing_guards += 1
                self.figures.refusals += 1
            if call.refusing_guards < outbound.GUARDS_MAX:
                self.dispatch(request)
            else:
                self.finish(request, "refused")

        self.after(self.transit_ms(place, here), receive)

    # At the guard.

    def submit(self, request: Request, place: Place, placed: int) -> None:
        if request.call.done:
            return
        kind = request.arrival.kind
        age_ms = self.now - request.arrival.at
        opening = frames.Open(
            call=0, sent_ms=self.now, left_ms=0.0, request_id="", target_id="",
            priority=kind.priority, objective_ms=kind.objective_ms, method="",
            path="", head=b"", body=b"", more=0, age_ms=age_ms,
            placed_before=placed,
        )  # fmt: skip
        job = job_module.Job(
            opening,
            request.call.expires_at,
            self.now,
            Reply(self, request, place),
        )
        request.job = job
        verdict, job.ticket = place.queue.offer(
            job,
            priority=kind.priority,
            now=self.now,
            objective_ms=kind.objective_ms,
            expires_at=request.call.expires_at,
            age_ms=age_ms,
        )
        if verdict is slots.Verdict.RUN:
            self.start(place, job)
        elif verdict is slots.Verdict.REFUSE:
            if not place.hand_backs.hand_back_new(job):
                self.refuse_job(job, "queue_full")
        elif not place.sweeping:
            place.sweeping = True
            self.after(guard.SWEEP_SECONDS * 1e3, lambda: self.sweep(place))
        waiting = place.queue.waiting
        self.figures.most_waiting = max(self.figures.most_waiting, waiting)

    def refuse_job(self, job: job_module.Job, code: str) -> None:
        reply, job.reply = job.reply, None
        if reply is not None:
            reply.refused(code, at_target=False, retry_after_ms=0.0)

    def start(self, place: Place, job: job_module.Job) -> None:
        reply = cast(Reply, job.reply)
        request = reply.request
        here = self.places[request.arrival.node]
        self.figures.runs += 1
        self.figures.far += here.domain != place.domain

        def end() -> None:
            if job.reply is None:
                return
            job.reply = None
            self.free(place, job)
            busy = place.busy
            self.after(
                self.transit_ms(place, here),
                lambda: self.answer(request, place, busy),
            )

        self.after(request.arrival.work_ms * self.slowness(place), end)

    def slowness(self, place: Place) -> float:
        """Returns how much longer than usual a target works now."""
        if not self.uneven:
            return 1.0
        spell = random.Random(f"{place.name} {self.now // SLOW_MS}")
        factor = SLOW_FACTOR if spell.random() < SLOW_SHARE else 1.0
        return factor / SPEEDS[place.index]

    def answer(self, request: Request, place: Place, busy: int) -> None:
        if request.call.done:
            return
        self.end_attempt(request, place, busy)
        took = self.now - request.arrival.at
        in_time = took <= request.arrival.kind.objective_ms
        self.finish(request, "in_time" if in_time else "late")

    def free(self, place: Place, job: job_module.Job) -> None:
        assert job.ticket is not None
        place.queue.release(job.ticket, self.now)
        self.run_waiting(place)

    def run_waiting(self, place: Place) -> None:
        while (ticket := place.queue.start_next(self.now)) is not None:
            self.start(place, ticket.item)

    def sweep(self, place: Place) -> None:
        place.sweeping = False
        self.run_waiting(place)
        place.hand_backs.sweep(soon_ms=guard.SWEEP_SECONDS * 1e3)
        for ticket in place.queue.remove_overdue(self.now):
            self.refuse_job(ticket.item, "waited_too_long")
        if place.queue.waiting:
            place.sweeping = True
            self.after(guard.SWEEP_SECONDS * 1e3, lambda: self.sweep(place))


def play(
    *,
    load: float,
    moves_max: int,
    uneven: bool = False,
    seconds: float = 15.0,
    seed: int = 11,
) -> Figures:
    """Plays one load with or without hand-back.

    Args:
      load: Demand relative to the capacity.
      moves_max: How often one request may be handed back.
      uneven: Whether the targets differ in speed and are slow for moments.
      seconds: Length of the demand.
      seed: Seed of the demand.
    """
    demand = arrivals(load=load, seconds=seconds, seed=seed)
    return World(moves_max=moves_max, uneven=uneven).play(demand)


WAYS: dict[str, dict[str, float]] = {
    "off": {},
    "chosen": {},
    "late-only": {"WAIT_OF_OBJECTIVE": 100.0},
    "whole-wait-0.15": {"WAIT_OF_OBJECTIVE": 0.15},
    "half-as-fast": {"FREE_PART": 0.5, "SHARE_MS": 600.0},
    "no-bound": {"FREE_PART": 1e6},
}
"""Ways that the design note compares: constants of `admission.hand_back`."""
LOADS = (0.6, 0.7, 0.8, 0.9, 0.95, 1.2)
SEEDS = (11, 12, 13)


def main(way: str, *, uneven: bool) -> None:
    """Prints a row of figures for each load, as sums over the seeds."""
    for name, value in WAYS[way].items():
        setattr(hand_back, name, value)
    out = sys.stdout
    for load in LOADS:
        found = [
            play(
                load=load,
                moves_max=0 if way == "off" else 2,
                uneven=uneven,
                seed=seed,
            )
            for seed in SEEDS
        ]
        total = sum(item.total for item in found)
        values: dict[str, float] = {
            "in_time": round(sum(item.in_time for item in found) / total, 4),
            "late": sum(item.late for item in found),
            "refused": sum(item.refused for item in found),
            "expired": sum(item.expired for item in found),
            "refusals": sum(item.refusals for item in found),
            "moves": sum(item.moves for item in found),
            "most_waiting": max(item.most_waiting for item in found),
            "far": round(
                sum(item.far for item in found)
                / sum(item.runs for item in found),
                3,
            ),
        }
        shown = " ".join(f"{name}={value}" for name, value in values.items())
        out.write(f"{way} uneven={uneven} load={load} {shown}\n")
        out.flush()


if __name__ == "__main__":
    main(sys.argv[1], uneven="uneven" in sys.argv)
