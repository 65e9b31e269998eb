"""Generated arrivals at a fleet of nodes that keep one workspace's rate.

Nodes send their admission counts at intervals, each at a phase of its own.
Requests wait in `RateQueue` or, as without it, take a token or are refused.
Refused callers retry once.
"""

from __future__ import annotations

import collections
import dataclasses
import heapq
import random
from collections.abc import Callable

from currantcart.admission import retry_after
from currantcart.proxy import node as node_module
from currantcart.proxy.streams import publisher, silence
from currantcart.workspace import quota, rate_line, rate_queue

WORKSPACE = "mill"
WORK_OF_OBJECTIVE = 0.2
DEADLINE_OF_OBJECTIVE = 3.4
LATE_VALUE = 0.3
RETRIES_MAX = 1
WINDOW_MS = 5_000

Demand = Callable[[float], float]


@dataclasses.dataclass(frozen=True)
class Load:
    """Requests of one rank.

    Attributes:
      rank: The rank.
      demand: Requests per second at a given time in seconds.
      objective_ms: Latency objective.
    """

    rank: int
    demand: Demand
    objective_ms: float = 1_500.0


@dataclasses.dataclass(eq=False)
class Request:
    """One request of a caller, with its retry."""

    load: Load
    node: int
    first_at: float
    sent_at: float
    retries: int = 0


@dataclasses.dataclass
class Result:
    """What the callers of one rank got.

    Attributes:
      sent: Requests, without retries.
      served: Requests that got a token.
      value: Their value: 1 if in time, `LATE_VALUE` if late.
      refused_after_wait: Refusals of requests that had waited.
      refused: All refusals.
    """

    sent: int = 0
    served: int = 0
    value: float = 0.0
    refused_after_wait: int = 0
    refused: int = 0
    retried_in_vain: int = 0
    waits: list[float] = dataclasses.field(default_factory=list)


class Fleet:
    """Simulated nodes.

    Attributes:
      nodes: Buckets of each node.
      queues: Queue of each node; None without queues.
      granted: Times at which requests were admitted.
      sent: Times of the requests, without retries.
      results: What callers got, by rank.
      dead: Nodes that do not run.
      isolated: Nodes that are partitioned from all others.
    """

    def __init__(
        self,
        count: int,
        *,
        rate: float,
        burst: float,
        with_queue: bool = True,
        seed: int = 3,
    ) -> None:
        self.rate, self.burst = rate, burst
        self.with_queue = with_queue
        self.rng = random.Random(seed)
        peers = count - 1
        self.status_pace = int(publisher.status_interval_ms(peers))
        counts_ms = publisher.counts_interval_ms(peers)
        self.lag_ms = node_module.dissemination_lag_ms(self.status_pace)
        self.expedited_lag_ms = node_module.dissemination_lag_ms(counts_ms)
        self.expedited_pace = int(
            self.expedited_lag_ms - node_module.TRANSIT_MS
        )
        self.nodes: list[quota.Quotas] = []
        self.queues: list[rate_queue.RateQueue | None] = []
        self.processes: list[str] = []
        self.started_at = [0.0] * count
        self.next_at: list[float | None] = [None] * count
        self.phases = [
            self.rng.randrange(self.status_pace) for _ in range(count)
        ]
        self.reported = [0] * count
        for number in range(count):
            self.nodes.append(quota.Quotas())
            self.queues.append(None)
            self.processes.append("")
            self.start(number, 0.0)
        self.owners: dict[rate_line.Waiter, Request] = {}
        self.arrivals: list[tuple[float, int, Request]] = []
        self.sequence = 0
        self.granted: list[float] = []
        self.sent: list[float] = []
        self.results: dict[int, Result] = collections.defaultdict(Result)
        self.dead: set[int] = set()
        self.isolated: set[int] = set()

    def start(self, number: int, now: float) -> None:
        """Starts a process of a node without any state."""
        node = quota.Quotas(started_at=now)
        node.configure({WORKSPACE: (self.rate, self.burst)}, now)
        node.set_fleet(
            nodes=len(self.phases),
            lag_ms=self.lag_ms,
            expedited_lag_ms=self.expedited_lag_ms,
        )
        self.nodes[number] = node
        self.processes[number] = f"{number}-{now}"
        self.started_at[number] = now
        self.reported[number] = -1
        self.queues[number] = (
            rate_queue.RateQueue(
                node, rng=self.rng, requests_max=512, bytes_max=1 << 23
            )
            if self.with_queue
            else None
        )
        self.next_at[number] = None

    def reaches(self, number: int, other: int) -> bool:
        if number in self.dead or other in self.dead:
            return False
        return not (number in self.isolated or other in self.isolated)

    def send_reports(self, step: int) -> None:
        for number, node in enumerate(self.nodes):
            since = step - self.phases[number]
            if number in self.dead:
                continue
            due = since % self.status_pace == 0 or (
                since % self.expedited_pace == 0 and bool(node.expedited())
            )
            count = node.buckets[WORKSPACE].admitted
            if not due or count == self.reported[number]:
                continue
            self.reported[number] = count
            for other, peer in enumerate(self.nodes):
                if other != number and self.reaches(number, other):
                    peer.apply_counts(
                        self.processes[number],
                        {WORKSPACE: count},
                        float(step),
                        started_at=self.started_at[number],
                    )

    def notice_silence(self, now: float, *, isolated: bool = False) -> None:
        """Sets the silent share at the isolated nodes, or at all others."""
        for number, node in enumerate(self.nodes):
            if (number in self.isolated) != isolated:
                continue
            silent = sum(
                not self.reaches(number, other)
                for other in range(len(self.nodes))
                if other != number
            )
            node.set_silent_share(silent / len(self.nodes), now)

    def send(self, request: Request) -> None:
        self.sequence += 1
        heapq.heappush(self.arrivals, (request.sent_at, self.sequence, request))

    def generate(
        self,
        loads: list[Load],
        *,
        until_ms: float,
        used_nodes: int | None = None,
        from_ms: float = 0.0,
    ) -> None:
        """Generates the arrivals of a run."""
        for load in loads:
            at = from_ms
            while True:
                rate = load.demand(at / 1_000) / 1_000
                at += self.rng.expovariate(max(rate, 1e-4))
                if at >= until_ms:
                    break
                number = self.rng.randrange(used_nodes or len(self.nodes))
                self.send(Request(load, number, at, at))
                self.sent.append(at)
                self.results[load.rank].sent += 1

    def run(
        self,
        until_ms: int,
        events: dict[int, Callable[[float], None]] | None = None,
    ) -> None:
        for step in range(until_ms):
            now = float(step)
            if events and step in events:
                events[step](now)
            self.send_reports(step)
            while self.arrivals and self.arrivals[0][0] <= now:
                self.arrive(heapq.heappop(self.arrivals)[2], now)
            for number, due in enumerate(self.next_at):
                if due is not None and due <= now and number not in self.dead:
                    self.advance(number, now)

    def arrive(self, request: Request, now: float) -> None:
        if request.node in self.dead:
            return
        node, queue = self.nodes[request.node], self.queues[request.node]
        load = request.load
        if queue is None or not queue.is_near_limit(WORKSPACE):
            token_ms = node.admit(WORKSPACE, now)
            if not token_ms:
                self.grant(request, now, 0.0)
                return
            if queue is None:
                after = retry_after.delay_ms(
                    objective_ms=load.objective_ms, least_ms=token_ms
                ) * self.rng.uniform(0.75, 1.25)
                self.refuse(request, now, after)
                return
        if queue.admit(WORKSPACE, load.rank, now):
            self.grant(request, now, 0.0)
            return
        left = (
            request.first_at + DEADLINE_OF_OBJECTIVE * load.objective_ms - now
        )
        waiter = rate_line.Waiter(
            WORKSPACE,
            load.rank,
            now,
            rate_line.latest_grant(
                now,
                received_at=now,
                deadline_ms=left,
                objective_ms=load.objective_ms,
                work_ms=WORK_OF_OBJECTIVE * load.objective_ms,
            ),
            now + left,
            load.objective_ms,
        )
        outcome = queue.offer(waiter, now)
        if outcome.decision is rate_queue.Decision.REFUSED:
            self.refuse(request, now, outcome.retry_after_ms)
        else:
            self.owners[waiter] = request
            self.advance(request.node, now)

    def advance(self, number: int, now: float) -> None:
        queue = self.queues[number]
        assert queue is not None
        for outcome in queue.advance(now):
            request = self.owners.pop(outcome.waiter)
            if outcome.decision is rate_queue.Decision.GRANTED:
                self.grant(request, now, now - outcome.waiter.queued_at)
            else:
                self.results[request.load.rank].refused_after_wait += 1
                self.refuse(request, now, outcome.retry_after_ms)
        self.next_at[number] = queue.next_at(now)

    def grant(self, request: Request, now: float, waited: float) -> None:
        self.granted.append(now)
        result = self.results[request.load.rank]
        result.served += 1
        result.waits.append(waited)
        objective = request.load.objective_ms
        took = now - request.first_at + WORK_OF_OBJECTIVE * objective
        result.value += 1.0 if took <= objective else LATE_VALUE

    def refuse(self, request: Request, now: float, after: float) -> None:
        result = self.results[request.load.rank]
        result.refused += 1
        if request.retries >= RETRIES_MAX:
            result.retried_in_vain += 1
            return
        deadline = DEADLINE_OF_OBJECTIVE * request.load.objective_ms
        left = request.first_at + deadline - now
        request.retries += 1
        request.sent_at = now + min(after, left / 3)
        self.send(request)

    # Results.

    def most_in_a_window(self, until_ms: int) -> int:
        return max(
            sum(start <= at < start + WINDOW_MS for at in self.granted)
            for start in range(0, max(1, until_ms - WINDOW_MS + 1), 100)
        )

    def granted_between(self, start: float, end: float) -> int:
        return sum(start <= at < end for at in self.granted)

    def value(self) -> float:
        return sum(item.value for item in self.results.values()) / sum(
            item.sent for item in self.results.values()
        )

    def allowed(self) -> float:
        return (self.rate * 5 + self.burst) * 1.1 + 20


def noticed_ms(count: int, *, isolated: bool = False) -> float:
    """Returns the time until a partition is noticed at a pressing rate."""
    pace = publisher.status_interval_ms(count - 1)
    answered = (silence.ANSWER_TICKS + 2) * node_module.TICK_MS
    late = silence.LATE_MS if isolated else silence.late_ms(pace)
    return late + answered
