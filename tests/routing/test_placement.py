"""Placement by expected completion under load, against that by load alone."""

from __future__ import annotations

import functools

import pytest

from currantcart.routing import estimates
from tests.routing import service_world

LOADS = (0.4, 0.6, 0.8, 0.95)
SPEEDS = (0.5, 1.0, 1.0, 1.5) * 4
"""In the order of the domains: that of the first has slow targets only."""
MIXED = (1.0, 0.5, 1.5, 1.0, 0.5, 1.0, 1.0, 1.5) * 2
"""Each domain has two speeds."""
SLOW_SHARE = 1 / 7


@functools.cache
def played(
    speeds: tuple[float, ...], load: float, *, by_completion: bool
) -> service_world.Result:
    world = service_world.World(
        speeds, by_completion=by_completion, slow_share=SLOW_SHARE
    )
    return world.play(load)


@pytest.mark.parametrize("load", LOADS)
def test_more_requests_are_answered_in_time_at_every_load(load: float) -> None:
    """Guards against callers beside slow targets that miss their time-out."""
    before = played(SPEEDS, load, by_completion=False)
    after = played(SPEEDS, load, by_completion=True)
    lost_before = 1 - before.share_in_time()
    assert 1 - after.share_in_time() < 0.75 * lost_before
    assert after.share_in_time("lookup") > before.share_in_time("lookup") - 0.01
    assert after.share_near > before.share_near - 0.1
    one_round = service_world.SLOTS
    assert after.waiting_max < 1.5 * before.waiting_max + one_round


@pytest.mark.parametrize("load", [0.5, 0.9])
def test_more_are_answered_in_time_where_each_domain_has_two_speeds(
    load: float,
) -> None:
    before = played(MIXED, load, by_completion=False)
    after = played(MIXED, load, by_completion=True)
    assert 1 - after.share_in_time() < 0.9 * (1 - before.share_in_time())
    assert after.share_near > before.share_near - 0.1


def shares(
    speeds: list[float], load: float, *, slow_share: float = 0.0
) -> tuple[tuple[float, float], tuple[float, float]]:
    """Plays a small service with three seeds.

    Returns:
      Shares in time and in the own domain, by load and by completion.
    """
    in_time, near = [0.0, 0.0], [0.0, 0.0]
    for seed in range(3):
        for by_completion in (False, True):
            result = service_world.World(
                speeds,
                by_completion=by_completion,
                domains="abc",
                nodes=9,
                slow_share=slow_share,
                seed=seed,
            ).play(load)
            in_time[by_completion] += result.share_in_time() / 3
            near[by_completion] += result.share_near / 3
    return (in_time[0], near[0]), (in_time[1], near[1])


@pytest.mark.parametrize("load", [0.4, 0.8, 0.95])
@pytest.mark.parametrize(
    "speeds", [[1.0] * 3, [0.55] * 4], ids=["small service", "all slow"]
)
def test_nothing_is_lost_where_speeds_are_equal(
    speeds: list[float], load: float
) -> None:
    """Guards against traffic between domains for differences by chance."""
    before, after = shares(speeds, load)
    # The standard error of the difference is about 0.004.
    assert after[0] > before[0] - 0.003
    assert after[1] > before[1] - 0.02


@pytest.mark.parametrize("load", [0.4, 0.8, 0.95])
def test_requests_leave_for_short_slow_times_only_with_a_gain(
    load: float,
) -> None:
    """Guards against the same for reports of slow times that are over."""
    before, after = shares([1.0] * 3, load, slow_share=SLOW_SHARE)
    assert after[0] > before[0] - 0.001
    assert after[1] > before[1] - 0.05


def test_statuses_without_work_times_change_nothing() -> None:
    """Guards against a fleet that is served worse during an update."""
    before, after = (
        service_world.World(
            SPEEDS, by_completion=by_completion, reports_kinds=False
        ).play(0.6, end_ms=7_000.0)
        for by_completion in (False, True)
    )
    assert after == before


def test_a_target_that_restarts_faster_gets_requests_again() -> None:
    """Guards against a new process that is avoided for its predecessor."""
    speeds = [0.4, 1.0, 1.0, 1.0, 1.0, 1.0]
    sent: list[int] = []
    slowness: list[float] = []

    def look(world: service_world.World) -> None:
        sent.append(world.sent_to["t0", "cross"])
        slowness.append(world.nodes[1].estimates.speeds.slowness["t0"])

    def restart(world: service_world.World) -> None:
        world.servers[0].speed = 1.0
        world.servers[0].forget()
        look(world)

    world = service_world.World(
        speeds, by_completion=True, domains="ab", nodes=12
    )
    silence_ms = service_world.STATUS_MS + estimates.COMPARE_MS
    world.play(
        0.7,
        at=[
            (5_000.0, look),
            (8_000.0, restart),
            (8_000.0 + silence_ms + 50.0, look),
            (9_000.0, look),
            (12_000.0, look),
        ],
    )
    assert slowness[1] > 1.8
    assert slowness[2] < 1.25
    assert slowness[4] < 1.2
    assert sent[4] - sent[3] > 1.4 * (sent[1] - sent[0])
