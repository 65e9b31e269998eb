"""What refused callers get, by the time at which they are told to return."""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable

import pytest

from currantcart.admission import returns
from currantcart.workspace import quota

RATE = 20.0
WORK_OF_OBJECTIVE = 0.2
DEADLINE_OF_OBJECTIVE = 3.4
LATE_WORTH = 0.3
RETURNS_MAX = 1
SEEDS = range(6)

Demand = Callable[[float], float]
Wait = Callable[[float, float], float]


def clumps(seconds: float) -> float:
    return 3 * RATE if seconds % 6 < 1 else 0.6 * RATE


def wave(seconds: float) -> float:
    return 1.7 * RATE if seconds % 10 < 4 else 0.55 * RATE


def flood(seconds: float) -> float:
    return 4 * RATE if seconds < 20 else 0.75 * RATE


def by_objective(token_ms: float, objective_ms: float) -> float:
    return returns.return_after_ms(objective_ms=objective_ms, least_ms=token_ms)


def by_token(token_ms: float, objective_ms: float) -> float:
    del objective_ms
    return token_ms


def by_fixed_time(token_ms: float, objective_ms: float) -> float:
    del token_ms, objective_ms
    return 1_200.0


def play(
    demand: Demand, wait: Wait, *, objective_ms: float, seed: int
) -> tuple[float, float]:
    """Plays 40 s of one workspace; returns worth and refused returns, 0 to 1.

    Callers wait as they are told, up to a third of the time they have left,
    and return once.
    """
    rng = random.Random(seed)
    rates = quota.Quotas()
    rates.configure({"mill": (RATE, RATE)}, 0.0)
    arrivals: list[tuple[float, int, float, int]] = []
    at = 0.0
    while at < 40_000:
        at += rng.expovariate(demand(at / 1_000) / 1_000)
        arrivals.append((at, len(arrivals), at, 0))
    sent, worth, refused = len(arrivals), 0.0, 0
    while arrivals:
        now, number, first, tries = heapq.heappop(arrivals)
        token_ms = rates.admit("mill", now)
        if not token_ms:
            took = now - first + WORK_OF_OBJECTIVE * objective_ms
            worth += 1.0 if took <= objective_ms else LATE_WORTH
        elif tries >= RETURNS_MAX:
            refused += 1
        else:
            left = first + DEADLINE_OF_OBJECTIVE * objective_ms - now
            after = wait(token_ms, objective_ms) * rng.uniform(0.75, 1.25)
            back = now + min(after, left / 3)
            heapq.heappush(arrivals, (back, number, first, tries + 1))
    return worth / sent, refused / sent


def mean(
    demand: Demand, wait: Wait, *, objective_ms: float = 1_500.0
) -> tuple[float, float]:
    """Returns the means over all seeds."""
    played = [
        play(demand, wait, objective_ms=objective_ms, seed=seed)
        for seed in SEEDS
    ]
    worth, refused = zip(*played, strict=True)
    return sum(worth) / len(played), sum(refused) / len(played)


@pytest.mark.parametrize("objective_ms", [300.0, 800.0, 1_500.0, 2_500.0])
@pytest.mark.parametrize("demand", [clumps, wave, flood])
def test_no_load_serves_its_callers_worse_than_the_next_token_does(
    demand: Demand, objective_ms: float
) -> None:
    worth, refused = mean(demand, by_objective, objective_ms=objective_ms)
    before, refused_before = mean(demand, by_token, objective_ms=objective_ms)
    assert worth >= before - 0.005
    assert refused <= refused_before + 0.005


@pytest.mark.parametrize(
    ("demand", "gain"), [(clumps, 0.05), (wave, 0.03)], ids=["clumps", "wave"]
)
def test_callers_refused_in_a_surplus_that_passes_find_room_later(
    demand: Demand, gain: float
) -> None:
    """Worth 0.81 to 0.88 in clumps and 0.80 to 0.84 in a wave."""
    worth, refused = mean(demand, by_objective)
    before, refused_before = mean(demand, by_token)
    assert worth > before + gain
    assert refused < 0.85 * refused_before


@pytest.mark.parametrize("objective_ms", [300.0, 800.0, 1_500.0])
def test_a_wait_that_outlasts_the_objective_is_worth_less(
    objective_ms: float,
) -> None:
    """With 1.2 s for all, those that return find room and answer too late."""
    worth, _ = mean(flood, by_objective, objective_ms=objective_ms)
    fixed, _ = mean(flood, by_fixed_time, objective_ms=objective_ms)
    assert worth > fixed + 0.02


def test_nobody_is_told_to_return_before_there_can_be_room() -> None:
    assert returns.return_after_ms(objective_ms=300, least_ms=900) == 900
    assert returns.return_after_ms(objective_ms=60_000) == 2_000
