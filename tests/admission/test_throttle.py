"""The edge sheds what would be shed below."""

from __future__ import annotations

import random

import pytest

from currantcart.admission import throttle

BROWSE = throttle.Stream("permits", "mill", 0)
PAY = throttle.Stream("permits", "mill", 24)


@pytest.fixture
def edge() -> throttle.EdgeThrottle:
    return throttle.EdgeThrottle(rng=random.Random(1))


def overload(edge: throttle.EdgeThrottle, *, until: int) -> None:
    """Lets one of ten calls through below, each millisecond."""
    for now in range(until):
        if edge.admit(BROWSE, now):
            edge.answered(BROWSE, accepted=now % 10 == 0, shed_level=0, now=now)


def test_most_hopeless_calls_end_here(edge: throttle.EdgeThrottle) -> None:
    overload(edge, until=400)
    passed = sum(edge.admit(BROWSE, 400) for _ in range(1_000))
    assert passed < 400


def test_payments_above_the_level_go_on(edge: throttle.EdgeThrottle) -> None:
    overload(edge, until=400)
    assert all(edge.admit(PAY, 400) for _ in range(100))


def test_throttle_ends_with_the_overload(edge: throttle.EdgeThrottle) -> None:
    overload(edge, until=400)
    later = 400 + throttle.LEVEL_MEMORY_MS
    assert all(edge.admit(BROWSE, later) for _ in range(100))


def test_idle_streams_are_forgotten(edge: throttle.EdgeThrottle) -> None:
    for number in range(throttle.SWEEP_AT + 1):
        edge.admit(throttle.Stream("s", str(number), 0), number * 20.0)
    assert len(edge.tallies) < throttle.SWEEP_AT
