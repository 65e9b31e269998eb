"""Order of a standing queue: oldest first, newest first, or by its sojourn.

The real controller on simulated time: one target, Poisson arrivals at twice its
capacity, callers of different patience. Exact for a seed; takes no real time.
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
PATIENCE_MS = (150.0, 1_000.0)
POLICIES = {"oldest": float("inf"), "newest": -1.0, "standing": 100.0}


class Simulation:
    """One target under one policy."""

    def __init__(self, standing_ms: float, seed: int) -> None:
        self.rng = random.Random(seed)
        self.admission = controller.AdmissionController(slots=SLOTS, now=0.0)
        self.admission.is_standing = (  # type: ignore[method-assign]
            lambda now: self.stands(now, standing_ms)
        )
        self.events: list[tuple[float, int, queue.WaitingCall | None]] = []
        self.order = itertools.count()
        self.whole = 0
        self.late = 0
        self.waits: list[float] = []

    def stands(self, now: float, standing_ms: float) -> bool:
        since = self.admission.standing_since_ms
        return since is not None and now - since > standing_ms

    def push(self, at: float, call: queue.WaitingCall | None) -> None:
        heapq.heappush(self.events, (at, next(self.order), call))

    def run_call(self, call: queue.WaitingCall, now: float) -> None:
        self.waits.append(now - call.arrived_ms)
        took = WORK_MS * self.rng.uniform(0.8, 1.2)
        call.arrived_ms = now
        self.push(now + took, call)

    def arrive(self, now: float) -> None:
        number = next(self.order)
        patience = self.rng.uniform(*PATIENCE_MS)
        call = queue.WaitingCall(
            str(number), f"w{number % 4}", 0, now + patience, now
        )
        self.admission.expire(now)
        offer = self.admission.offer(call, now)
        self.admission.update_standing(now)
        if offer.verdict is controller.Verdict.RUN:
            self.run_call(call, now)
        rate = OVERLOAD * SLOTS / WORK_MS
        self.push(now + self.rng.expovariate(rate), None)

    def finish(self, call: queue.WaitingCall, now: float) -> None:
        self.whole += now <= call.deadline_ms
        self.late += now > call.deadline_ms
        released = self.admission.finish(now, latency_ms=now - call.arrived_ms)
        for started in released.started:
            self.run_call(started, now)

    def run(self) -> None:
        self.push(0.0, None)
        while self.events[0][0] < SIMULATED_MS:
            now, _, call = heapq.heappop(self.events)
            if call is None:
                self.arrive(now)
            else:
                self.finish(call, now)


def main(seed: int = 5) -> int:
    """Runs all policies and prints one line."""
    figures: dict[str, float | int | str] = {"seed": seed}
    capacity = SIMULATED_MS * SLOTS / WORK_MS
    for name, standing_ms in POLICIES.items():
        simulation = Simulation(standing_ms, seed)
        simulation.run()
        waits = sorted(simulation.waits)
        figures[f"goodput_ratio_{name}"] = simulation.whole / capacity
        figures[f"wasted_ratio_{name}"] = simulation.late / capacity
        figures[f"wait_p50_ms_{name}"] = waits[len(waits) // 2]
        figures[f"wait_p99_ms_{name}"] = waits[len(waits) * 99 // 100]
    print(measure.result("admission", figures))
    return 0
