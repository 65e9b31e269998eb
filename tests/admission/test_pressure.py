"""Shedding at the edge by how full the services below are."""

from __future__ import annotations

import random

from currantcart.admission import pressure


def shares(level: float) -> dict[int, float]:
    """Returns which part of each rank is served at a level."""
    shedder = pressure.Shedder(random.Random(2))
    asked = {1: 0, 2: 0, 3: 0}
    served = {1: 0, 2: 0, 3: 0}
    rng = random.Random(4)
    for step in range(20_000):
        rank = rng.choices([1, 2, 3], weights=[2, 1, 7])[0]
        by = shedder.shed_by(
            route=str(rank),
            service="deep",
            rank=rank,
            levels={"deep": level},
            now=step * 2.0,
        )
        if step > 2_000:
            asked[rank] += 1
            served[rank] += not by
    return {rank: served[rank] / asked[rank] for rank in asked}


def test_the_least_urgent_go_first() -> None:
    served = shares(0.3)
    assert served[1] == served[2] == 1.0
    assert 0.5 < served[3] < 0.65


def test_the_urgent_go_only_when_that_is_not_enough() -> None:
    served = shares(0.75)
    assert served[1] > 0.6
    assert served[3] < 0.25


def test_no_rank_is_starved() -> None:
    assert min(shares(pressure.MOST).values()) > 0.1


def settled_level(*, offered: float, room: float) -> float:
    """Returns where the gauge rests when all shed what it says."""
    gauge = pressure.Gauge()
    total = 0.0
    for step in range(600):
        arrives = offered * (1.0 - gauge.level)
        refused = max(0.0, arrives - room)
        gauge.refused, gauge.taken = round(refused), round(arrives - refused)
        gauge.update(
            wait_ms=0.0,
            objective_ms=300.0,
            utilization=min(1.0, arrives / room),
            now=step * 100.0,
        )
        if step >= 300:
            total += gauge.level
    return total / 300


def test_the_gauge_rests_where_the_demand_just_fits() -> None:
    """Half of what is asked has no room."""
    level = settled_level(offered=200, room=100)
    assert 0.42 < level < 0.55


def test_the_gauge_is_still_without_overload() -> None:
    assert settled_level(offered=90, room=100) == 0.0


def test_demand_returns_soon_when_there_is_room_again() -> None:
    """All nodes start anew; their first second is a crush, then it is calm."""
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


def test_a_route_that_does_not_need_the_full_service_is_not_shed() -> None:
    """Uploads go to a service whose other requests call a full one."""
    shedder = pressure.Shedder(random.Random(2))
    levels = {"deep": 0.8}
    for step in range(100):
        shedder.note_end(
            route="upload", levels=levels, failed=False, now=step * 10.0
        )
        shedder.note_end(
            route="read", levels=levels, failed=step % 4 == 0, now=step * 10.0
        )
    shed = {
        route: sum(
            bool(
                shedder.shed_by(
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


def test_levels_are_weighed_by_slots() -> None:
    told = pressure.mean([(30, {"deep": 0.9}), (10, {}), (20, {"deep": 0.3})])
    assert told == {"deep": (30 * 0.9 + 20 * 0.3) / 60}
