"""Compares the orders in which waiting calls leave an overloaded queue.

Oldest first, newest first, and newest first only while the queue is a standing
one. Runs the real admission controller on simulated time: one target, Poisson
arrivals at twice its capacity, callers with different time-outs. The figures
are reproducible for a seed, and a run does not wait in real time.
"""

from __future__ import annotations

import heapq
import itertools
import random

from bench import measure
from currantcart.admission import controller, queue

SLOTS = 10
WORK_MS = 80.0
OVERLOAD = 2.0
SIMULATED_MS = 60_000.0
CALLER_TIMEOUT_MS = (150.0, 1_000.0)
# Time, in ms, for which the queue must have been non-empty before its newest
# call is served first: infinite is never, negative is at once.
POLICIES = {"oldest": float("inf"), "newest": -1.0, "standing": 100.0}


class Simulation:
    """One target whose queue is ordered by one policy.

    Attributes:
      events: Heap of arrivals (None) and ends of running calls, by time.
      on_time: Calls that ended before their deadline.
      late: Calls that ended after their deadline.
      waits: Time that each started call waited, in ms.
    """

    def __init__(self, threshold_ms: float, seed: int) -> None:
        self.rng = random.Random(seed)
        self.admission = controller.AdmissionController(slots=SLOTS, now=0.0)
        self.admission.is_standing = (  # type: ignore[method-assign]
            lambda now: self.is_standing_for(now, threshold_ms)
        )
        self.events: list[tuple[float, int, queue.WaitingCall | None]] = []
        self.order = itertools.count()
        self.on_time = 0
        self.late = 0
        self.waits: list[float] = []

    def is_standing_for(self, now: float, threshold_ms: float) -> bool:
        since = self.admission.standing_since_ms
        return since is not None and now - since > threshold_ms

    def schedule(self, at: float, call: queue.WaitingCall | None) -> None:
        heapq.heappush(self.events, (at, next(self.order), call))

    def start_call(self, call: queue.WaitingCall, now: float) -> None:
        self.waits.append(now - call.arrived_ms)
        work_ms = WORK_MS * self.rng.uniform(0.8, 1.2)
        call.arrived_ms = now
        self.schedule(now + work_ms, call)

    def arrive(self, now: float) -> None:
        number = next(self.order)
        timeout_ms = self.rng.uniform(*CALLER_TIMEOUT_MS)
        call = queue.WaitingCall(
            str(number), f"w{number % 4}", 0, now + timeout_ms, now
        )
        self.admission.expire(now)
        offer = self.admission.offer(call, now)
        self.admission.update_standing(now)
        if offer.verdict is controller.Verdict.RUN:
            self.start_call(call, now)
        rate = OVERLOAD * SLOTS / WORK_MS
        self.schedule(now + self.rng.expovariate(rate), None)

    def finish(self, call: queue.WaitingCall, now: float) -> None:
        self.on_time += now <= call.deadline_ms
        self.late += now > call.deadline_ms
        released = self.admission.finish(now, latency_ms=now - call.arrived_ms)
        for started in released.started:
            self.start_call(started, now)

    def run(self) -> None:
        self.schedule(0.0, None)
        while self.events[0][0] < SIMULATED_MS:
            now, _, call = heapq.heappop(self.events)
            if call is None:
                self.arrive(now)
            else:
                self.finish(call, now)


def main(seed: int = 5) -> int:
    """Runs the experiment and prints its result line."""
    figures: dict[str, float | int | str] = {"seed": seed}
    capacity = SIMULATED_MS * SLOTS / WORK_MS
    for name, threshold_ms in POLICIES.items():
        simulation = Simulation(threshold_ms, seed)
        simulation.run()
        waits = sorted(simulation.waits)
        figures[f"goodput_ratio_{name}"] = simulation.on_time / capacity
        figures[f"wasted_ratio_{name}"] = simulation.late / capacity
        figures[f"wait_p50_ms_{name}"] = waits[len(waits) // 2]
        figures[f"wait_p99_ms_{name}"] = waits[len(waits) * 99 // 100]
    print(measure.result("admission", figures))
    return 0
