"""Tests of the retry delay by the value that refused callers still get."""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable

import pytest

from currantcart.admission import retry_after
from currantcart.workspace import quota

RATE = 20.0
WORK_OF_OBJECTIVE = 0.2
DEADLINE_OF_OBJECTIVE = 3.4
LATE_VALUE = 0.3
RETRIES_MAX = 1
SEEDS = range(6)

Demand = Callable[[float], float]
RetryDelay = Callable[[float, float], float]


def bursts(seconds: float) -> float:
    return 3 * RATE if seconds % 6 < 1 else 0.6 * RATE


def wave(seconds: float) -> float:
    return 1.7 * RATE if seconds % 10 < 4 else 0.55 * RATE


def flood(seconds: float) -> float:
    return 4 * RATE if seconds < 20 else 0.75 * RATE


def by_objective(token_ms: float, objective_ms: float) -> float:
    return retry_after.delay_ms(objective_ms=objective_ms, least_ms=token_ms)


def by_token(token_ms: float, objective_ms: float) -> float:
    del objective_ms
    return token_ms


def by_fixed_time(token_ms: float, objective_ms: float) -> float:
    del token_ms, objective_ms
    return 1_200.0


def simulate(
    demand: Demand, retry_delay: RetryDelay, *, objective_ms: float, seed: int
) -> tuple[float, float]:
    """Simulates 40 s of one workspace.

    Callers wait for the delay they are sent, up to a third of their time left,
    and retry once.

    Returns:
      The value served and the retries refused, both per request sent, 0 to 1.
    """
    rng = random.Random(seed)
    quotas = quota.Quotas()
    quotas.configure({"mill": (RATE, RATE)}, 0.0)
    arrivals: list[tuple[float, int, float, int]] = []
    arrival_ms = 0.0
    while arrival_ms < 40_000:
        arrival_ms += rng.expovariate(demand(arrival_ms / 1_000) / 1_000)
        arrivals.append((arrival_ms, len(arrivals), arrival_ms, 0))
    sent, value, refused = len(arrivals), 0.0, 0
    while arrivals:
        now, number, first, retries = heapq.heappop(arrivals)
        token_ms = quotas.admit("mill", now)
        if not token_ms:
            took = now - first + WORK_OF_OBJECTIVE * objective_ms
            value += 1.0 if took <= objective_ms else LATE_VALUE
        elif retries >= RETRIES_MAX:
            refused += 1
        else:
            left = first + DEADLINE_OF_OBJECTIVE * objective_ms - now
            after = retry_delay(token_ms, objective_ms) * rng.uniform(
                0.75, 1.25
            )
            retry_at = now + min(after, left / 3)
            heapq.heappush(arrivals, (retry_at, number, first, retries + 1))
    return value / sent, refused / sent


def mean_over_seeds(
    demand: Demand, retry_delay: RetryDelay, *, objective_ms: float = 1_500.0
) -> tuple[float, float]:
    """Returns the mean value and refusals over all seeds."""
    results = [
        simulate(demand, retry_delay, objective_ms=objective_ms, seed=seed)
        for seed in SEEDS
    ]
    value, refused = zip(*results, strict=True)
    return sum(value) / len(results), sum(refused) / len(results)


@pytest.mark.parametrize("objective_ms", [300.0, 800.0, 1_500.0, 2_500.0])
@pytest.mark.parametrize("demand", [bursts, wave, flood])
def test_no_load_is_served_worse_than_by_waiting_for_the_next_token(
    demand: Demand, objective_ms: float
) -> None:
    value, refused = mean_over_seeds(
        demand, by_objective, objective_ms=objective_ms
    )
    baseline, baseline_refused = mean_over_seeds(
        demand, by_token, objective_ms=objective_ms
    )
    assert value >= baseline - 0.005
    assert refused <= baseline_refused + 0.005


@pytest.mark.parametrize(
    ("demand", "gain"), [(bursts, 0.05), (wave, 0.03)], ids=["bursts", "wave"]
)
def test_retries_after_a_passing_surplus_are_admitted(
    demand: Demand, gain: float
) -> None:
    """Value rises from 0.81 to 0.88 in bursts, from 0.80 to 0.84 in a wave."""
    value, refused = mean_over_seeds(demand, by_objective)
    baseline, baseline_refused = mean_over_seeds(demand, by_token)
    assert value > baseline + gain
    assert refused < 0.85 * baseline_refused


@pytest.mark.parametrize("objective_ms", [300.0, 800.0, 1_500.0])
def test_a_delay_beyond_the_objective_lowers_the_value(
    objective_ms: float,
) -> None:
    """Guards against a fixed delay: after 1.2 s, retries are too late."""
    value, _ = mean_over_seeds(flood, by_objective, objective_ms=objective_ms)
    fixed, _ = mean_over_seeds(flood, by_fixed_time, objective_ms=objective_ms)
    assert value > fixed + 0.02


def test_no_retry_before_a_token_can_be_available() -> None:
    assert retry_after.delay_ms(objective_ms=300, least_ms=900) == 900
    assert retry_after.delay_ms(objective_ms=60_000) == 2_000
