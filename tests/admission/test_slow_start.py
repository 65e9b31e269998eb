"""Tests of the bound on the requests to a cold target."""

from __future__ import annotations

import math
import random

import pytest

from currantcart.admission import slow_start

RATE, OVERSHOOT, SLACK = 6.5, 1.5, 8.0
BOUND = RATE * OVERSHOOT + SLACK


def cold(*, started_at: float = -10_000.0) -> slow_start.SlowStart:
    found = slow_start.SlowStart(started_at=started_at)
    found.limit = slow_start.requests_per_second(
        RATE, overshoot=OVERSHOOT, slack=SLACK
    )
    found.cold_until = 3_000.0
    return found


@pytest.mark.parametrize("seed", range(5))
def test_no_second_holds_more_than_the_bound(seed: int) -> None:
    limiter, rng = cold(), random.Random(seed)
    now, sent = 0.0, []
    while now < 2_900.0:
        now += rng.expovariate(1 / 5)
        if not limiter.wait_ms(now):
            limiter.record(now)
            sent.append(now)
    for first in sent:
        assert sum(first <= at < first + 1_000 for at in sent) <= BOUND
    assert len(sent) > 2 * RATE


def test_requests_before_the_target_became_cold_count() -> None:
    limiter = cold()
    limiter.cold_until = 0.0
    for number in range(60):
        assert limiter.wait_ms(number) == 0.0
        limiter.record(number)
    limiter.cold_until = 3_000.0
    assert limiter.wait_ms(100.0) > 0.0


def test_the_wait_ends_when_the_next_request_may_be_sent() -> None:
    limiter = cold()
    while not limiter.wait_ms(10.0):
        limiter.record(10.0)
    wait = limiter.wait_ms(400.0)
    assert 600.0 <= wait <= 700.0
    assert limiter.wait_ms(400.0 + wait) == 0.0


def test_a_restarted_node_waits_a_second_for_a_cold_target() -> None:
    """What the process before sent in the last second is not known."""
    limiter = cold(started_at=0.0)
    assert limiter.wait_ms(300.0) >= 700.0
    assert limiter.wait_ms(1_100.0) == 0.0


def test_a_warm_target_and_one_without_a_limit_are_not_bounded() -> None:
    warm = cold()
    warm.cold_until = 0.0
    unlimited = cold()
    unlimited.limit = slow_start.requests_per_second(
        0.0, overshoot=OVERSHOOT, slack=SLACK
    )
    assert unlimited.limit == math.inf
    for limiter in (warm, unlimited):
        for _ in range(100):
            limiter.record(1.0)
        assert limiter.wait_ms(1.0) == 0.0
