"""Which target of a service gets a request.

Bytes between failure domains cost money and time, so a target beside the
caller comes first, then one in the same failure domain; another one is
chosen when those are busy enough that waiting there costs more.
"""

from __future__ import annotations

import dataclasses
import random
from collections.abc import Iterable

OTHER_DOMAIN_LEAST = 0.7
"""Load at which a target elsewhere is preferred to one of the own domain.

Below it a target answers without waiting, so evenness would gain nothing.
"""
OTHER_DOMAIN_MOST = 1.7
"""The same for a request that can wait long: its bytes stay in the domain."""
WAIT_OF_OBJECTIVE = 0.1
"""Part of its objective that a request waits rather than leave its domain."""
SAME_DOMAIN = 0.05
COLD = 0.3
JITTER = 0.02
SPEED_TOLERANCE = 1.3
"""Ratio of the times of work below which two targets count as alike.

Requests of a service differ in work, and targets get different mixes of them.
"""
SLOWNESS_MAX = 4.0
FAILURE_SMOOTHING = 0.1
FAILURE_WEIGHT = 2.0
FAILURE_HALF_LIFE_MS = 2_000.0


@dataclasses.dataclass(slots=True)
class Target:
    """A target as the caller's node knows it.

    Attributes:
      instance: Instance of the node beside it.
      service: Service that it serves.
      failure_domain: Where it runs.
      target_id: Its own id, new with most of its starts.
      ready: Whether it takes requests.
      limit: Requests that it runs at once.
      busy: Requests that run or wait there, as told last.
      open: Requests that this node has open there.
      told_open: `open` when `busy` was told.
      told_at: When it was told.
      cold_until: When it is warm.
      failure: Smoothed share of its requests that it failed or shed.
      failure_at: When `failure` was right.
      pressure: How full it and the services that it calls are.
      work_ms: How long it works on a request; 0 while that isn't known.
    """

    instance: str
    service: str
    failure_domain: str
    target_id: str = ""
    ready: bool = False
    limit: int = 1
    busy: int = 0
    open: int = 0
    reported_open: int = 0
    reported_at: float = 0.0
    cold_until: float = 0.0
    failure: float = 0.0
    failure_at: float = 0.0
    pressure: dict[str, float] = dataclasses.field(default_factory=dict)
    work_ms: float = 0.0

    def load(self) -> float:
        """Returns the part of its slots that is taken, 1 when all are."""
        busy = self.busy + self.open - self.reported_open
        return max(busy, self.open, 0) / max(1, self.limit)

    def hear(self, *, busy: int, limit: int, now: float) -> None:
        """Takes the load that the target's node tells."""
        self.busy, self.limit, self.reported_open = busy, limit, self.open
        self.reported_at = now

    def text(self, now: float) -> str:
        """Returns instance, load and its age for a log line."""
        state = "" if self.ready else "away:"
        return (
            f"{self.instance}:{state}{self.busy}/{self.limit}"
            f":{now - self.reported_at:.0f}ms"
        )

    def failing(self, now: float) -> float:
        """Returns the share of failures, faded with time."""
        age = max(0.0, now - self.failure_at)
        return float(self.failure * 0.5 ** (age / FAILURE_HALF_LIFE_MS))

    def note(self, *, failed: bool, now: float) -> None:
        """Takes the end of a request at the target."""
        if not failed and self.failure == 0.0:
            return
        faded = self.failing(now)
        self.failure = faded + FAILURE_SMOOTHING * (float(failed) - faded)
        self.failure_at = now
        if self.failure < 1e-3:
            self.failure = 0.0


def distance(objective_ms: float, *, work_ms: float) -> float:
    """Returns the load that another failure domain weighs.

    Each load beyond the slots is a wait of about the work of one request.

    Args:
      objective_ms: Latency objective of the request; 0 when unknown.
      work_ms: How long a target works on a request; 0 when unknown.
    """
    if not work_ms:
        return OTHER_DOMAIN_LEAST
    loads = WAIT_OF_OBJECTIVE * objective_ms / work_ms
    return min(OTHER_DOMAIN_MOST, max(OTHER_DOMAIN_LEAST, loads))


class Picker:
    """Chooses among targets.

    Attributes:
      instance: This node.
      failure_domain: Where this node runs.
    """

    def __init__(
        self, *, instance: str, failure_domain: str, rng: random.Random
    ) -> None:
        self.instance = instance
        self.failure_domain = failure_domain
        self.rng = rng

    def cost(
        self,
        target: Target,
        now: float,
        *,
        fastest_ms: float,
        objective_ms: float = 0.0,
    ) -> float:
        """Returns what a request costs at a target; lower is better.

        A slot of a slow target is free again later, so its load counts for
        more. With load alone, a fast target and a slow one would have equal
        queues, and those in the slow one's would be late.
        """
        cost = target.load()
        if fastest_ms and target.work_ms > fastest_ms * SPEED_TOLERANCE:
            cost *= min(SLOWNESS_MAX, target.work_ms / fastest_ms)
        if target.instance != self.instance:
            cost += SAME_DOMAIN
            if target.failure_domain != self.failure_domain:
                cost += distance(objective_ms, work_ms=fastest_ms)
        if target.cold_until > now:
            cost += COLD
        if target.failure:
            cost += FAILURE_WEIGHT * target.failing(now)
        return cost + JITTER * self.rng.random()

    def choose(
        self,
        targets: Iterable[Target],
        *,
        now: float,
        passed_over: set[str],
        objective_ms: float = 0.0,
    ) -> Target | None:
        """Returns the target for a request.

        Args:
          targets: Targets of the service that can be reached.
          now: Milliseconds of the node's clock.
          passed_over: Instances that had the request already.
          objective_ms: Latency objective of the request; 0 when unknown.
        """
        best: Target | None = None
        best_cost = 0.0
        allowed = [
            target
            for target in targets
            if target.ready and target.instance not in passed_over
        ]
        known = [target.work_ms for target in allowed if target.work_ms]
        fastest_ms = min(known, default=0.0)
        for target in allowed:
            cost = self.cost(
                target, now, fastest_ms=fastest_ms, objective_ms=objective_ms
            )
            if best is None or cost < best_cost:
                best, best_cost = target, cost
        return best
