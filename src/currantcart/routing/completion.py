"""Expected completion of a request at a target, and what lateness costs."""

from __future__ import annotations

import dataclasses
import math

from currantcart.routing import speed

TAIL_QUANTILE = 0.95
TAIL_SIGMAS = 1.645
"""Standard deviations from the median of a normal variable to that quantile."""
TAIL_DEFAULT = 2.2
TAIL_MIN = 1.3
TAIL_MAX = 4.0
QUANTILE_STEP = 0.05
MEAN_SMOOTHING = 0.02
URGENT_LATE_COST = 120.0
LATE_COST = 60.0
"""Cost of a request that is surely late, as a load.

Another failure domain costs 0.9, so a request leaves its own for a chance of an
answer in time that is higher by 1 (urgent) or 2 in 100.
"""
RANKS = 3
"""Urgencies that differ in cost; all less urgent ones count as the last."""
WAIT_LOAD = 0.8
"""Reported load from which a wait is expected: reports are out of date."""
RESERVED_LOAD = 0.5
"""Load of a fast target from which less urgent requests are charged."""
RESERVED_COST = 1.0
"""Charge at full load. With 4, less urgent requests queued at slow targets."""
SLOW_NOW_HALF_LIFE_MS = 500.0
LOAD_STEPS = 40
"""Steps of load, for each unit, at which lateness is worked out."""
LOAD_TOLERANCE = 1.3
"""Ratio of slowness below which loads are compared without it."""
ROOT_TWO = math.sqrt(2.0)


@dataclasses.dataclass(slots=True)
class Tail:
    """Spread of a kind's completion times around the expected ones.

    The times of one kind are taken as log-normal.

    Attributes:
      log_median: Smoothed logarithm of actual over expected time.
      log_tail: Logarithm of the 95th percentile of the same ratio.
    """

    log_median: float = 0.0
    log_tail: float = math.log(TAIL_DEFAULT)

    def record(self, actual_ms: float, expected_ms: float) -> None:
        """Records the completion of a request that found a free slot."""
        ratio = math.log(max(actual_ms, 0.1) / max(expected_ms, 0.1))
        self.log_median += MEAN_SMOOTHING * (ratio - self.log_median)
        above = ratio > self.log_tail
        self.log_tail += QUANTILE_STEP * (TAIL_QUANTILE - (not above))

    def record_timeout(self, elapsed_ms: float, expected_ms: float) -> None:
        """Records a request that was ended before its answer.

        It counts only if it took longer than the tail already: otherwise its
        place among the others is not known.
        """
        ratio = math.log(max(elapsed_ms, 0.1) / max(expected_ms, 0.1))
        if ratio > self.log_tail:
            self.log_tail += QUANTILE_STEP * TAIL_QUANTILE

    @property
    def ratio(self) -> float:
        """Ratio of the 95th percentile to the median."""
        ratio = math.exp(self.log_tail - self.log_median)
        return min(TAIL_MAX, max(TAIL_MIN, ratio))


@dataclasses.dataclass(frozen=True, slots=True)
class Work:
    """What a request needs, and the time that it has.

    Attributes:
      work_ms: Usual work time of its kind at a median target.
      mean_ms: Mean work time of the service's requests.
      sigma: Standard deviation of the logarithm of its work time.
      objective_ms: Time left until its objective, at most `left_ms`.
      left_ms: Time left until it is ended.
      late_cost: Cost of being surely late, as a load.
      reserve_cost: Cost of the last free slots of fast targets.
    """

    work_ms: float
    mean_ms: float
    sigma: float
    objective_ms: float
    left_ms: float
    late_cost: float = 60.0
    reserve_cost: float = 0.0


def sigma(tail: float) -> float:
    """Returns the standard deviation of logarithms for a tail ratio."""
    return math.log(tail) / TAIL_SIGMAS


def late_cost(priority: int) -> float:
    """Returns the cost of being surely late, by priority."""
    return URGENT_LATE_COST if priority <= 0 else LATE_COST


def reserve_cost(priority: int) -> float:
    """Returns the cost of a fast target's last slots, by priority.

    Urgent requests and calls that targets make are not charged.
    """
    rank = min(RANKS - 1, max(0, priority))
    return RESERVED_COST * rank / (RANKS - 1)


def reserved(work: Work, load: float) -> float:
    """Returns the cost of a slot of a fast target at a load."""
    beyond = (load - RESERVED_LOAD) / (1.0 - RESERVED_LOAD)
    return work.reserve_cost * min(1.0, max(0.0, beyond))


def wait_ms(load: float, *, mean_ms: float, slowness: float) -> float:
    """Returns the expected wait for a slot, in ms.

    Args:
      load: Running and waiting requests for each slot.
      mean_ms: Mean work time at a median target.
      slowness: Factor on it.
    """
    return max(0.0, load - WAIT_LOAD) * mean_ms * slowness


def slow_factor(reported: float, *, usual: float, age_ms: float) -> float:
    """Returns how much slower than usual a target still is.

    Args:
      reported: The ratio that it reported.
      usual: Median of the ratios that the service's targets reported.
      age_ms: Age of the report.
    """
    excess = reported / usual - 1.0
    if excess <= 0:
        return 1.0
    return float(1.0 + excess * 0.5 ** (age_ms / SLOW_NOW_HALF_LIFE_MS))


def late_share(work_ms: float, *, allowed_ms: float, sigma: float) -> float:
    """Returns the share of requests that take longer than is allowed."""
    if allowed_ms <= 0:
        return 1.0
    deviations = math.log(allowed_ms / work_ms) / sigma
    return 0.5 * math.erfc(deviations / ROOT_TWO)


def lateness_cost(work: Work, *, slowness: float, before_ms: float) -> float:
    """Returns the cost of the expected lateness at a target, as a load.

    It is the mean of the shares of requests that miss the objective and that
    are ended before their answer.

    Args:
      work: The request.
      slowness: Factor on its work time at the target.
      before_ms: Wait for a slot and network transit.
    """
    work_ms = work.work_ms * slowness
    allowed_ms = work.objective_ms - before_ms
    share = late_share(work_ms, allowed_ms=allowed_ms, sigma=work.sigma)
    if work.left_ms > work.objective_ms:
        ended = late_share(
            work_ms, allowed_ms=work.left_ms - before_ms, sigma=work.sigma
        )
        share = (share + ended) / 2
    return work.late_cost * share


@dataclasses.dataclass(frozen=True, slots=True)
class Prospect:
    """A request's prospect at a target with a free slot, at its usual speed.

    Attributes:
      slowness: Factor on the work time there.
      load_factor: Factor on the load there.
      late: Cost of the lateness beyond that at the fastest target.
      handicap: Factor on the work time for the distance.
      late_at: The same cost at higher loads, by load in steps; worked out as
        needed.
    """

    slowness: float
    load_factor: float
    late: float
    handicap: float
    late_at: dict[int, float] = dataclasses.field(default_factory=dict)


class Forecast:
    """What is known of requests of one kind, and of the targets to run them.

    Attributes:
      work: What such a request needs.
      speeds: Speeds of the service's targets.
      least_late: Cost of the lateness at the fastest target.
      prospects: Prospects that were worked out, by instance.
    """

    def __init__(self, work: Work, speeds: speed.Speeds) -> None:
        self.work = work
        self.speeds = speeds
        self.least_late = lateness_cost(
            work, slowness=speeds.fastest, before_ms=0.0
        )
        self.prospects: dict[str, Prospect] = {}

    def prospect(self, instance: str, *, handicap: float) -> Prospect:
        """Returns the prospect at a target.

        Args:
          instance: Instance of the target's node.
          handicap: Factor on its work time for the distance.
        """
        slowness = self.speeds.slowness.get(instance, 1.0)
        ratio = slowness / self.speeds.fastest
        made = Prospect(
            slowness=slowness,
            load_factor=ratio if ratio > LOAD_TOLERANCE else 1.0,
            late=self.avoidable_lateness(slowness * handicap, before_ms=0.0),
            handicap=handicap,
        )
        self.prospects[instance] = made
        return made

    def lateness_at(self, prospect: Prospect, load: float) -> float:
        """Returns the cost of the lateness at a target at its usual speed.

        Args:
          prospect: The prospect at the target.
          load: Running and waiting requests for each slot.
        """
        if load <= WAIT_LOAD:
            return prospect.late
        step = int(load * LOAD_STEPS)
        late = prospect.late_at.get(step)
        if late is None:
            late = prospect.late_at[step] = self.avoidable_lateness(
                prospect.slowness * prospect.handicap,
                before_ms=self.before_ms(step / LOAD_STEPS, prospect.slowness),
            )
        return late

    def avoidable_lateness(self, slowness: float, *, before_ms: float) -> float:
        """Returns the cost of the lateness beyond that at the fastest target.

        The rest cannot be avoided, so it must not add to the random part of
        the cost: among equally slow targets, that would outweigh the distance.

        Args:
          slowness: Factor on the work time at the target.
          before_ms: Wait for a slot there.
        """
        late = lateness_cost(self.work, slowness=slowness, before_ms=before_ms)
        return max(0.0, late - self.least_late)

    def slowness(
        self, instance: str, *, slow_now: float, age_ms: float
    ) -> float:
        """Returns the factor on the work time at a target now.

        Args:
          instance: Instance of the target's node.
          slow_now: How much longer than usual it takes, as reported.
          age_ms: Age of that report.
        """
        usual = self.speeds.slowness.get(instance, 1.0)
        if slow_now <= self.speeds.slow_now:
            return usual
        return usual * slow_factor(
            slow_now, usual=self.speeds.slow_now, age_ms=age_ms
        )

    def before_ms(self, load: float, slowness: float) -> float:
        """Returns the expected wait for a slot at a target."""
        return wait_ms(load, mean_ms=self.work.mean_ms, slowness=slowness)
