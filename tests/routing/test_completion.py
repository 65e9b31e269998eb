"""Tests of expected completion and of the choice by it."""

from __future__ import annotations

import dataclasses
import random

import pytest

from currantcart.routing import completion, estimates, picker, speed

NOW = 10_000.0


def work(**values: float) -> completion.Work:
    made = completion.Work(
        work_ms=500.0,
        mean_ms=200.0,
        sigma=completion.sigma(2.2),
        objective_ms=1_200.0,
        left_ms=1_200.0,
    )
    return dataclasses.replace(made, **values)


def target(name: str, domain: str = "a", **values: object) -> picker.Target:
    made = picker.Target(name, "s", domain, ready=True, limit=20)
    for field, value in values.items():
        setattr(made, field, value)
    return made


def chosen(
    targets: list[picker.Target],
    slowness: dict[str, float],
    *,
    slow_now: float = 1.0,
    **values: float,
) -> str:
    """Returns the instance that a node in domain `a` chooses."""
    speeds = speed.Speeds(
        work_ms={"kind": 500.0},
        slowness=slowness,
        slow_now=slow_now,
        fastest=min(slowness.values(), default=1.0),
    )
    forecast = completion.Forecast(work(**values), speeds)
    names = {
        found.instance
        for seed in range(20)
        if (
            found := picker.Picker(
                instance="n", failure_domain="a", rng=random.Random(seed)
            ).choose(targets, now=NOW, exclude=set(), forecast=forecast)
        )
    }
    assert len(names) == 1
    return names.pop()


NEAR_SLOW = {"near": 1.8, "far": 0.8}


def pair() -> list[picker.Target]:
    return [target("near"), target("far", domain="b")]


def test_a_request_with_a_short_time_out_leaves_a_slow_target() -> None:
    """Guards against 504 beside free targets of other domains."""
    assert chosen(pair(), NEAR_SLOW) == "far"


@pytest.mark.parametrize(
    "values", [{"work_ms": 100.0}, {"objective_ms": 5e3, "left_ms": 6e3}]
)
def test_a_request_that_completes_in_time_stays_near(
    values: dict[str, float],
) -> None:
    """Guards against traffic between domains that gains nothing."""
    assert chosen(pair(), NEAR_SLOW, **values) == "near"


def test_a_request_does_not_leave_for_a_small_gain() -> None:
    assert chosen(pair(), {"near": 1.0, "far": 0.9}, work_ms=400.0) == "near"


def test_a_full_fast_target_is_not_preferred() -> None:
    near, far = pair()
    far.update_load(busy=120, limit=20, now=NOW)
    assert chosen([near, far], {"near": 1.4, "far": 0.8}) == "near"


def test_a_target_that_is_slow_now_is_avoided_while_the_report_is_new() -> None:
    near, far = pair()
    near.update_speed(work_ms=0, work_by_kind={}, slow_now=2.5, now=NOW - 100.0)
    assert chosen([near, far], {}) == "far"
    near.slow_now_at = NOW - 5_000.0
    assert chosen([near, far], {}) == "near"


def test_none_is_avoided_when_all_are_slow_now() -> None:
    near, far = pair()
    for each in (near, far):
        each.update_speed(work_ms=0, work_by_kind={}, slow_now=2.5, now=NOW)
    assert chosen([near, far], {}, slow_now=2.5) == "near"


def test_less_urgent_requests_leave_the_last_fast_slots() -> None:
    """Guards against urgent requests that find all fast slots taken."""
    fast = target("fast", busy=17)
    usual = target("usual", busy=18)
    slowness = {"fast": 0.8, "usual": 1.0}
    found = [
        chosen(
            [fast, usual],
            slowness,
            work_ms=100.0,
            reserve_cost=completion.reserve_cost(priority),
        )
        for priority in (0, 2)
    ]
    assert found == ["fast", "usual"]


def test_calls_of_targets_are_as_urgent_as_the_most_urgent_roots() -> None:
    assert completion.reserve_cost(-512) == 0.0
    assert completion.late_cost(-512) == completion.late_cost(0)
    assert completion.late_cost(0) > completion.late_cost(1)


def test_without_time_left_all_targets_are_late_alike() -> None:
    """Guards against arithmetic errors for a request past its objective."""
    late = work(objective_ms=0.0, left_ms=0.0)
    for slowness in (0.5, 4.0):
        cost = completion.lateness_cost(late, slowness=slowness, before_ms=0)
        assert cost == late.late_cost


def test_an_answer_after_the_objective_is_better_than_none() -> None:
    """Guards against hopeless placement once the objective has passed."""
    past = work(objective_ms=0.0, left_ms=1_500.0)
    costs = [
        completion.lateness_cost(past, slowness=slowness, before_ms=0)
        for slowness in (0.7, 1.0, 2.0)
    ]
    assert costs == sorted(costs)
    assert costs[0] < costs[2] - 5.0


def test_the_wait_begins_when_all_slots_are_in_use() -> None:
    """Nearly all: reported loads are up to 0.8 s old."""
    assert completion.wait_ms(0.8, mean_ms=200.0, slowness=1.0) == 0.0
    assert 180 < completion.wait_ms(1.3, mean_ms=200.0, slowness=2.0) < 220


@pytest.mark.parametrize(("sigma", "tail"), [(0.3, 1.64), (0.6, 2.68)])
def test_the_tail_is_learned(sigma: float, tail: float) -> None:
    rng = random.Random(2)
    known = completion.Tail()
    ratios = []
    for number in range(6_000):
        known.record(100 * rng.lognormvariate(0, sigma), 90.0)
        if number >= 1_000:
            ratios.append(known.ratio)
    assert sum(ratios) / len(ratios) == pytest.approx(tail, rel=0.15)
    assert max(ratios) < 1.5 * tail


def test_requests_that_time_out_belong_to_the_tail() -> None:
    """Guards against a tail that ends where requests are ended."""
    rng = random.Random(2)
    cut, whole = completion.Tail(), completion.Tail()
    for _ in range(5_000):
        actual_ms = 100 * rng.lognormvariate(0, 0.6)
        whole.record(actual_ms, 100.0)
        if actual_ms > 250.0:
            cut.record_timeout(250.0, 100.0)
        else:
            cut.record(actual_ms, 100.0)
    assert cut.ratio > 0.85 * whole.ratio


def test_the_tail_is_bounded() -> None:
    """Guards against times of a fault that later look like usual ones."""
    known = completion.Tail()
    for _ in range(1_000):
        known.record(1e9, 1.0)
    assert known.ratio <= completion.TAIL_MAX


def reports(*factors: float) -> list[speed.Report]:
    return [
        speed.Report(f"t{number}", {"kind": 100.0 * factor})
        for number, factor in enumerate(factors)
    ]


def forecast(
    known: estimates.Estimates, **values: float
) -> completion.Forecast | None:
    times = {"objective_ms": 500.0, "left_ms": 900.0} | values
    return known.forecast("kind", **times, priority=1)


def test_changes_of_a_target_are_returned_once() -> None:
    """Guards against a log line for each comparison."""
    known = estimates.Estimates()
    (change,) = known.compare(reports(1, 1, 1, 2), 0.0)
    assert (change.instance, change.before) == ("t3", 1.0)
    assert not known.compare(reports(1, 1, 1, 2), 250.0)
    assert not known.compare(reports(1, 1, 1, 2.1), 500.0)
    (back,) = known.compare(reports(1, 1, 1, 1), 750.0)
    assert back.slowness == 1.0


def test_a_restarted_target_counts_as_usual_at_once() -> None:
    """Its node discards the times, and reports none."""
    known = estimates.Estimates()
    known.compare(reports(1, 1, 1, 3), 0.0)
    restarted = [*reports(1, 1, 1), speed.Report("t3", {})]
    known.compare(restarted, 250.0)
    assert known.speeds.slowness["t3"] == 1.0


def test_a_kind_that_no_target_reports_has_no_forecast() -> None:
    known = estimates.Estimates()
    known.compare([speed.Report("t0", {})], 0.0)
    assert forecast(known) is None


def test_requests_with_the_same_time_left_share_a_forecast() -> None:
    """Guards against working out the chances for each request."""
    known = estimates.Estimates()
    known.compare(reports(1, 2), 0.0)
    first = forecast(known)
    assert first is not None
    assert forecast(known, objective_ms=510.0) is first
    assert forecast(known, objective_ms=200.0) is not first
    known.compare(reports(1, 2), 250.0)
    assert forecast(known) is not first


def test_forecasts_and_tails_are_bounded() -> None:
    known = estimates.Estimates()
    known.compare(reports(1, 2), 0.0)
    for number in range(1_000):
        forecast(known, left_ms=100.0 * number)
        known.record(f"k{number}", actual_ms=10.0, expected_ms=10.0)
    assert len(known.forecasts) <= estimates.FORECASTS_MAX
    assert not known.tails
