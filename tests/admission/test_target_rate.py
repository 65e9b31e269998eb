"""Tests of the rate of requests to a target."""

from __future__ import annotations

import math

import hypothesis
import pytest
from hypothesis import strategies

from currantcart.admission import target_rate

WINDOW_MS = 4_000.0
OVERSHOOT, SLACK = 1.5, 5.0
CONNECT_MS_MAX = 1_000.0


def limited(per_second: float) -> target_rate.TargetRate:
    rate = target_rate.TargetRate()
    rate.set_limit(per_second, 0.0)
    return rate


def send_all(
    rate: target_rate.TargetRate, arrivals: list[float]
) -> list[float]:
    """Returns the times of the arrivals that are sent at once."""
    sent = []
    for now in arrivals:
        if not rate.wait_ms(now):
            rate.take(now)
            sent.append(now)
    return sent


@hypothesis.given(
    per_second=strategies.floats(0.0, 400.0),
    gaps=strategies.lists(strategies.floats(0.0, 700.0), max_size=300),
)
def test_no_window_exceeds_what_the_deployment_allows(
    per_second: float, gaps: list[float]
) -> None:
    """Sending may be delayed by opening a connection: up to a second."""
    arrivals, now = [], 0.0
    for gap in gaps:
        now += gap
        arrivals += [now] * 20
    sent = send_all(limited(per_second), arrivals)
    span = WINDOW_MS + CONNECT_MS_MAX
    allowed = OVERSHOOT * per_second * WINDOW_MS / 1e3 + SLACK
    for begin in sent:
        assert sum(begin <= at < begin + span for at in sent) <= allowed


def test_the_limit_is_used() -> None:
    sent = send_all(limited(20.0), [10.0 * step for step in range(1_000)])
    assert len(sent) == pytest.approx(200, abs=6)


def test_a_target_without_a_limit_is_not_paced() -> None:
    rate = target_rate.TargetRate()
    assert len(send_all(rate, [0.0] * 500)) == 500
    assert not rate.is_limited


def test_a_limit_that_is_lifted_paces_no_more() -> None:
    rate = limited(2.0)
    rate.set_limit(math.inf, 100.0)
    assert len(send_all(rate, [100.0] * 500)) == 500


def test_a_new_limit_allows_no_burst_at_once() -> None:
    assert not send_all(limited(50.0), [0.0] * 10)


def test_a_changed_limit_keeps_what_is_saved_up() -> None:
    rate = limited(4.0)
    rate.set_limit(8.0, 10_000.0)
    assert len(send_all(rate, [10_000.0] * 10)) == 1


def test_requests_ahead_add_to_the_wait() -> None:
    assert limited(10.0).wait_ms(0.0, ahead=2) == pytest.approx(300.0)


def test_few_requests_are_sent_before_the_first_answer() -> None:
    rate = target_rate.unknown()
    sent = send_all(rate, [10.0 * step for step in range(100)])
    assert 1 <= len(sent) <= 5
    rate.set_limit(math.inf, 1_000.0)
    assert len(send_all(rate, [1_000.0] * 100)) == 100


def test_a_forgotten_limit_is_unknown_until_it_is_stated_again() -> None:
    rate = limited(50.0)
    rate.forget_limit(1_000.0)
    assert not rate.is_known
    assert len(send_all(rate, [1_000.0] * 100)) == 3


def test_a_target_without_a_limit_has_none_to_forget() -> None:
    rate = target_rate.TargetRate()
    rate.forget_limit(1_000.0)
    assert rate.is_known


def test_a_request_that_was_not_sent_is_not_counted() -> None:
    rate = limited(4.0)
    rate.take(1_000.0)
    assert rate.wait_ms(1_000.0)
    rate.give_back()
    assert not rate.wait_ms(1_000.0)
