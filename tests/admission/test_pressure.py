"""Tests of shedding at the ingress node by the levels of deep services."""

from __future__ import annotations

import random

from currantcart.admission import pressure


def served_shares(level: float) -> dict[int, float]:
    """Returns the share of each rank that is served at a level."""
    shedder = pressure.Shedder(random.Random(2))
    offered = {1: 0, 2: 0, 3: 0}
    served = {1: 0, 2: 0, 3: 0}
    rng = random.Random(4)
    for step in range(20_000):
        rank = rng.choices([1, 2, 3], weights=[2, 1, 7])[0]
        shed_for = shedder.shed_for(
            route=str(rank),
            service="deep",
            rank=rank,
            levels={"deep": level},
            now=step * 2.0,
        )
        if step > 2_000:
            offered[rank] += 1
            served[rank] += not shed_for
    return {rank: served[rank] / offered[rank] for rank in offered}


def test_the_least_urgent_are_shed_first() -> None:
    served = served_shares(0.3)
    assert served[1] == served[2] == 1.0
    assert 0.5 < served[3] < 0.65


def test_urgent_requests_are_shed_only_if_that_is_not_enough() -> None:
    served = served_shares(0.75)
    assert served[1] > 0.6
    assert served[3] < 0.25


def test_no_rank_is_starved() -> None:
    assert min(served_shares(pressure.LEVEL_MAX).values()) > 0.1


def settled_level(*, offered: float, capacity: float) -> float:
    """Returns the mean level once all nodes shed by it."""
    gauge = pressure.Gauge()
    total = 0.0
    for step in range(600):
        arriving = offered * (1.0 - gauge.level)
        refused = max(0.0, arriving - capacity)
        gauge.refused, gauge.accepted = (
            round(refused),
            round(arriving - refused),
        )
        gauge.update(
            wait_ms=0.0,
            objective_ms=300.0,
            utilization=min(1.0, arriving / capacity),
            now=step * 100.0,
        )
        if step >= 300:
            total += gauge.level
    return total / 300


def test_the_gauge_settles_where_the_demand_fits_the_capacity() -> None:
    """Half of the demand exceeds the capacity."""
    level = settled_level(offered=200, capacity=100)
    assert 0.42 < level < 0.55


def test_the_gauge_stays_at_zero_without_overload() -> None:
    assert settled_level(offered=90, capacity=100) == 0.0


def test_shedding_ends_soon_after_capacity_is_free_again() -> None:
    """Guards against shedding on after the burst at a start of all nodes."""
    gauge = pressure.Gauge()
    gauge.level = 0.9
    for step in range(1, 21):
        gauge.update(
            wait_ms=0.0,
            objective_ms=300.0,
            utilization=0.35,
            now=step * 100.0,
        )
    assert gauge.level == 0.0


def test_a_route_that_does_not_need_the_overloaded_service_is_not_shed() -> (
    None
):
    """Guards against shedding requests that don't call the deep service.

    Uploads go to a service whose other requests call an overloaded one.
    """
    shedder = pressure.Shedder(random.Random(2))
    levels = {"deep": 0.8}
    for step in range(100):
        shedder.record_end(
            route="upload", levels=levels, failed=False, now=step * 10.0
        )
        shedder.record_end(
            route="read", levels=levels, failed=step % 4 == 0, now=step * 10.0
        )
    shed = {
        route: sum(
            bool(
                shedder.shed_for(
                    route=route,
                    service="middle",
                    rank=3,
                    levels=levels,
                    now=1_000.0 + step,
                )
            )
            for step in range(200)
        )
        for route in ("upload", "read")
    }
    assert shed["upload"] == 0
    assert shed["read"] > 100


def test_levels_are_weighted_by_slots() -> None:
    levels = pressure.mean([(30, {"deep": 0.9}), (10, {}), (20, {"deep": 0.3})])
    assert levels == {"deep": (30 * 0.9 + 20 * 0.3) / 60}
