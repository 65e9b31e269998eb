"""Tests of throttling at the ingress node."""

from __future__ import annotations

import random

import pytest

from currantcart.admission import throttle

BROWSE = throttle.TrafficClass("permits", "mill", 0)
PAY = throttle.TrafficClass("permits", "mill", 24)


@pytest.fixture
def ingress() -> throttle.IngressThrottle:
    return throttle.IngressThrottle(rng=random.Random(1))


def overload(ingress: throttle.IngressThrottle, *, until: int) -> None:
    """Sends a call each millisecond, of which one in ten is accepted."""
    for now in range(until):
        if ingress.admit(BROWSE, now):
            ingress.record_response(
                BROWSE, accepted=now % 10 == 0, shed_level=0, now=now
            )


def test_most_calls_that_would_be_shed_are_refused_at_ingress(
    ingress: throttle.IngressThrottle,
) -> None:
    overload(ingress, until=400)
    passed = sum(ingress.admit(BROWSE, 400) for _ in range(1_000))
    assert passed < 400


def test_payments_above_the_level_are_admitted(
    ingress: throttle.IngressThrottle,
) -> None:
    overload(ingress, until=400)
    assert all(ingress.admit(PAY, 400) for _ in range(100))


def test_throttle_ends_with_the_overload(
    ingress: throttle.IngressThrottle,
) -> None:
    overload(ingress, until=400)
    later = 400 + throttle.LEVEL_TTL_MS
    assert all(ingress.admit(BROWSE, later) for _ in range(100))


def test_idle_traffic_classes_are_evicted(
    ingress: throttle.IngressThrottle,
) -> None:
    for number in range(throttle.TALLIES_BEFORE_EVICTION + 1):
        ingress.admit(throttle.TrafficClass("s", str(number), 0), number * 20.0)
    assert len(ingress.tallies) < throttle.TALLIES_BEFORE_EVICTION
