"""Selects the target of a service for a request.

Traffic between failure domains costs money and time. So the target beside the
caller's node is preferred, then one in the same failure domain; a target in
another domain is selected if the nearer ones are so busy that waiting there
would cost more.
"""

from __future__ import annotations

import dataclasses
import random
from collections.abc import Iterable

OTHER_DOMAIN_COST_MIN = 0.7
"""Load from which a target of another domain is preferred to a local one.

Below it a target answers without queueing, so balancing would gain nothing.
"""
OTHER_DOMAIN_COST_MAX = 1.7
"""The same for a request that can wait long: its bytes stay in the domain."""
OBJECTIVE_WAIT_FRACTION = 0.1
"""Fraction of its objective that a request may wait to stay in its domain."""
SAME_DOMAIN_COST = 0.05
COLD_COST = 0.3
COST_JITTER = 0.02
SPEED_TOLERANCE = 1.3
"""Ratio of the times of service below which targets count as equally fast.

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
      failure_domain: Failure domain that it runs in.
      target_id: Its id; most restarts change it.
      ready: Whether it accepts requests.
      limit: Requests that it runs concurrently.
      busy: Requests running or waiting there, as last reported.
      open: Requests that this node has open there.
      reported_open: `open` when `busy` was reported.
      reported_at: Time of that report.
      cold_until: End of its warm-up.
      closed_until: Time until which it refuses requests, as it has said.
      failure: Smoothed share of requests that it failed or shed.
      failure_at: Time as of which `failure` holds.
      pressure: Load of the target and of the services that it calls.
      work_ms: Service time of a request; 0 while unknown.
      usage: Demand by rank and workspace, as reported.
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
    closed_until: float = 0.0
    failure: float = 0.0
    failure_at: float = 0.0
    pressure: dict[str, float] = dataclasses.field(default_factory=dict)
    work_ms: float = 0.0
    usage: dict[str, float] = dataclasses.field(default_factory=dict)

    def load(self) -> float:
        """Returns the share of its slots in use; 1 when all are taken."""
        busy = self.busy + self.open - self.reported_open
        return max(busy, self.open, 0) / max(1, self.limit)

    def update_load(self, *, busy: int, limit: int, now: float) -> None:
        """Records the load that the target's node reported."""
        self.busy, self.limit, self.reported_open = busy, limit, self.open
        self.reported_at = now

    def describe(self, now: float) -> str:
        """Returns instance, load and age of the load for a log line."""
        state = "" if self.ready else "away:"
        return (
            f"{self.instance}:{state}{self.busy}/{self.limit}"
            f":{now - self.reported_at:.0f}ms"
        )

    def failure_share(self, now: float) -> float:
        """Returns the share of failures, decayed by its age."""
        age = max(0.0, now - self.failure_at)
        return float(self.failure * 0.5 ** (age / FAILURE_HALF_LIFE_MS))

    def record_outcome(self, *, failed: bool, now: float) -> None:
        """Records whether a request failed at the target."""
        if not failed and self.failure == 0.0:
            return
        decayed = self.failure_share(now)
        self.failure = decayed + FAILURE_SMOOTHING * (float(failed) - decayed)
        self.failure_at = now
        if self.failure < 1e-3:
            self.failure = 0.0


def other_domain_cost(objective_ms: float, *, work_ms: float) -> float:
    """Returns the cost of another failure domain, as a load.

    Load beyond the slots means waiting: 1 is about the service time of one
    request.

    Args:
      objective_ms: Latency objective of the request; 0 when unknown.
      work_ms: Service time of a request; 0 when unknown.
    """
    if not work_ms:
        return OTHER_DOMAIN_COST_MIN
    loads = OBJECTIVE_WAIT_FRACTION * objective_ms / work_ms
    return min(OTHER_DOMAIN_COST_MAX, max(OTHER_DOMAIN_COST_MIN, loads))


class Picker:
    """Selects targets for the requests of one node.

    Attributes:
      instance: Instance of this node.
      failure_domain: Failure domain that this node runs in.
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
        """Returns the cost of a request at a target; lower is better.

        Slots of a slow target are freed later, so its load is weighted by its
        slowness. By load alone, a fast and a slow target would have queues of
        equal length, and the requests in the slow one's would be late.
        """
        cost = target.load()
        if fastest_ms and target.work_ms > fastest_ms * SPEED_TOLERANCE:
            cost *= min(SLOWNESS_MAX, target.work_ms / fastest_ms)
        if target.instance != self.instance:
            cost += SAME_DOMAIN_COST
            if target.failure_domain != self.failure_domain:
                cost += other_domain_cost(objective_ms, work_ms=fastest_ms)
        if target.cold_until > now:
            cost += COLD_COST
        if target.failure:
            cost += FAILURE_WEIGHT * target.failure_share(now)
        return cost + COST_JITTER * self.rng.random()

    def choose(
        self,
        targets: Iterable[Target],
        *,
        now: float,
        exclude: set[str],
        objective_ms: float = 0.0,
    ) -> Target | None:
        """Returns the target with the lowest cost, or None without any.

        Args:
          targets: Targets of the service that can be reached.
          now: Milliseconds of the node's clock.
          exclude: Instances that the request was already sent to.
          objective_ms: Latency objective of the request; 0 when unknown.
        """
        best: Target | None = None
        best_cost = 0.0
        allowed = [
            target
            for target in targets
            if target.ready
            and target.closed_until <= now
            and target.instance not in exclude
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
