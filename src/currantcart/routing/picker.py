"""Selects the target of a service for a request.

Traffic between failure domains costs money and time. So the target beside the
caller's node is preferred, then one in the same failure domain; a target in
another domain is selected if the nearer ones are so busy that waiting there
would cost more.
"""

from __future__ import annotations

import dataclasses
import random
from collections.abc import Callable, Iterable

from currantcart.routing import completion

OTHER_DOMAIN_COST_MIN = 0.7
"""Load from which a target of another domain is preferred to a local one.

Below it a target answers without queueing, so balancing would gain nothing.
"""
OTHER_DOMAIN_COST_MAX = 1.7
"""The same for a request that can wait long: its bytes stay in the domain."""
KNOWN_WORK_FAR_COST = 0.9
"""Cost of another domain for a request whose work is known.

What the wait there costs it is part of the expected lateness.
"""
FAR_HANDICAP = 1.05
"""Factor on the work time at targets of other domains.

Measured speeds are uncertain by as much, and no request should leave its
domain for that.
"""
OBJECTIVE_WAIT_FRACTION = 0.1
"""Fraction of its objective that a request may wait to stay in its domain."""
SAME_DOMAIN_COST = 0.05
COLD_COST = 0.3
COST_JITTER = 0.02
LATENESS_JITTER = 0.5
"""Random part of the cost of lateness.

Nodes that know the same reports would otherwise all choose the same target.
"""
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
      work_by_kind: The same by kind of request; empty while unknown.
      slow_now: How much longer than usual its requests take, as reported.
      slow_now_at: Time of that report.
      transit_ms: Round-trip time to its node.
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
    work_by_kind: dict[str, float] = dataclasses.field(default_factory=dict)
    slow_now: float = 1.0
    slow_now_at: float = 0.0
    transit_ms: float = 0.0
    usage: dict[str, float] = dataclasses.field(default_factory=dict)

    def load(self) -> float:
        """Returns the share of its slots in use; 1 when all are taken."""
        busy = self.busy + self.open - self.reported_open
        return max(busy, self.open, 0) / max(1, self.limit)

    def update_load(self, *, busy: int, limit: int, now: float) -> None:
        """Records the load that the target's node reported."""
        self.busy, self.limit, self.reported_open = busy, limit, self.open
        self.reported_at = now

    def update_speed(
        self,
        *,
        work_ms: float,
        work_by_kind: dict[str, float],
        slow_now: float,
        now: float,
    ) -> None:
        """Records the work times that the target's node reported."""
        self.work_ms, self.work_by_kind = work_ms, work_by_kind
        self.slow_now, self.slow_now_at = slow_now, now

    def slowness(self, forecast: completion.Forecast, now: float) -> float:
        """Returns the factor on the work time of a request here."""
        return forecast.slowness(
            self.instance,
            slow_now=self.slow_now,
            age_ms=now - self.slow_now_at,
        )

    def expected_ms(self, forecast: completion.Forecast, now: float) -> float:
        """Returns the expected time until the answer to a request."""
        slowness = self.slowness(forecast, now)
        wait_ms = forecast.before_ms(self.load(), slowness)
        return self.transit_ms + wait_ms + forecast.work.work_ms * slowness

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

    def load_cost(
        self, targets: list[Target], now: float, objective_ms: float
    ) -> Callable[[Target], float]:
        """Returns the cost of a request at each target; lower is better.

        Slots of a slow target are freed later, so its load is weighted by its
        slowness. By load alone, a fast and a slow target would have queues of
        equal length, and the requests in the slow one's would be late.

        Args:
          targets: The candidates.
          now: Milliseconds of the node's clock.
          objective_ms: Latency objective of the request; 0 when unknown.
        """
        known = [target.work_ms for target in targets if target.work_ms]
        fastest_ms = min(known, default=0.0)
        far = other_domain_cost(objective_ms, work_ms=fastest_ms)

        def cost_at(target: Target) -> float:
            cost = target.load()
            if fastest_ms and target.work_ms > fastest_ms * SPEED_TOLERANCE:
                cost *= min(SLOWNESS_MAX, target.work_ms / fastest_ms)
            cost += self.surcharge(target, now, far=far)
            return cost + COST_JITTER * self.rng.random()

        return cost_at

    def completion_cost(
        self, now: float, forecast: completion.Forecast
    ) -> Callable[[Target], float]:
        """Returns the cost of a request whose work is known at each target.

        To the cost by load, with the slowness measured by kind, the expected
        lateness is added. Where the request is surely in time, this is 0, and
        it stays near.

        Args:
          now: Milliseconds of the node's clock.
          forecast: What is known of the request.
        """
        prospects, work = forecast.prospects, forecast.work
        usual_now = forecast.speeds.slow_now
        random_share = self.rng.random

        def cost_at(target: Target) -> float:
            instance = target.instance
            prospect = prospects.get(instance)
            if prospect is None:
                near = target.failure_domain == self.failure_domain
                handicap = 1.0 if near else FAR_HANDICAP
                prospect = forecast.prospect(instance, handicap=handicap)
            load = target.load()
            if target.slow_now > usual_now:
                slowness = target.slowness(forecast, now)
                late = forecast.avoidable_lateness(
                    slowness * prospect.handicap,
                    before_ms=forecast.before_ms(load, slowness),
                )
            else:
                late = forecast.lateness_at(prospect, load)
            chance = random_share()
            cost = load * prospect.load_factor + COST_JITTER * chance
            cost += late * (1.0 - LATENESS_JITTER * chance)
            if load > completion.RESERVED_LOAD and prospect.slowness < 1.0:
                cost += completion.reserved(work, load)
            return cost + self.surcharge(target, now, far=KNOWN_WORK_FAR_COST)

        return cost_at

    def surcharge(self, target: Target, now: float, *, far: float) -> float:
        """Returns the cost of a target's distance, warm-up and failures.

        Args:
          target: The target.
          now: Milliseconds of the node's clock.
          far: Cost of another failure domain.
        """
        cost = 0.0
        if target.instance != self.instance:
            cost += SAME_DOMAIN_COST
            if target.failure_domain != self.failure_domain:
                cost += far
        if target.cold_until > now:
            cost += COLD_COST
        if target.failure:
            cost += FAILURE_WEIGHT * target.failure_share(now)
        return cost

    def choose(
        self,
        targets: Iterable[Target],
        *,
        now: float,
        exclude: set[str],
        objective_ms: float = 0.0,
        forecast: completion.Forecast | None = None,
    ) -> Target | None:
        """Returns the target with the lowest cost, or None without any.

        Args:
          targets: Targets of the service that can be reached.
          now: Milliseconds of the node's clock.
          exclude: Instances that the request was already sent to.
          objective_ms: Latency objective of the request; 0 when unknown.
          forecast: What is known of its work; None to go by the load alone.
        """
        allowed = [
            target
            for target in targets
            if target.ready
            and target.closed_until <= now
            and target.instance not in exclude
        ]
        if forecast is None:
            cost_at = self.load_cost(allowed, now, objective_ms)
        else:
            cost_at = self.completion_cost(now, forecast)
        return min(allowed, key=cost_at, default=None)
