"""Tests of the comparison of targets by their reported work times."""

from __future__ import annotations

import pytest

from currantcart.routing import speed


def targets(
    *factors: float, times: dict[str, float] | None = None
) -> dict[str, dict[str, float]]:
    """Returns the reports of targets with factors on the usual times."""
    times = times or {"short": 30.0, "long": 800.0}
    return {
        f"t{number}": {kind: value * each for kind, value in times.items()}
        for number, each in enumerate(factors)
    }


def test_slowness_is_relative_to_the_median_target() -> None:
    speeds = speed.compare(targets(0.67, 1.0, 1.0, 1.0, 2.0))
    assert speeds.work_ms == {"short": 30.0, "long": 800.0}
    assert speeds.slowness["t1"] == 1.0
    assert 0.67 <= speeds.slowness["t0"] < 0.85
    assert 1.6 < speeds.slowness["t4"] <= 2.0
    assert speeds.fastest == speeds.slowness["t0"]
    assert speeds.differ


def test_the_mix_of_requests_does_not_matter() -> None:
    """Guards against a target that gets the long requests looking slow."""
    reported = {
        "t0": {"short": 30.0},
        "t1": {"long": 800.0},
        "t2": {"short": 30.0, "long": 800.0},
    }
    speeds = speed.compare(reported)
    assert set(speeds.slowness.values()) == {1.0}
    assert not speeds.differ


def test_small_differences_count_as_none() -> None:
    """Guards against traffic between domains because of noise."""
    speeds = speed.compare(targets(0.93, 0.97, 1.0, 1.04, 1.08))
    assert set(speeds.slowness.values()) == {1.0}


def test_when_all_targets_are_slow_none_is() -> None:
    speeds = speed.compare(targets(2.5, 2.5, 2.5))
    assert set(speeds.slowness.values()) == {1.0}
    assert speeds.work_ms["short"] == 75.0


def test_a_target_without_measurements_counts_as_usual() -> None:
    """A node of an older release, or a target that has just started."""
    reported = targets(1.0, 2.0, 1.0)
    reported["t3"] = {}
    assert speed.compare(reported).slowness["t3"] == 1.0


def test_without_any_measurement_nothing_is_known() -> None:
    assert speed.compare({"t0": {}, "t1": {}}) == speed.Speeds()
    assert speed.compare({}) == speed.Speeds()


def test_a_kind_that_few_targets_report_weighs_little() -> None:
    """Guards against one odd measurement that makes a target look slow."""
    reported = targets(*[1.0] * 8, times={"common": 50.0})
    reported["t0"]["rare"] = 100.0
    reported["t1"]["rare"] = 500.0
    speeds = speed.compare(reported)
    assert speeds.slowness["t0"] > 0.85
    assert speeds.slowness["t1"] < 1.25


def test_slowness_is_bounded() -> None:
    """Guards against a faulty report that excludes a target for good."""
    assert speed.compare(targets(1, 1, 1, 1e6)).slowness["t3"] == (
        speed.SLOWNESS_MAX
    )


@pytest.mark.parametrize(
    ("reported", "median"), [([], 1.0), ([1, 1, 2.5], 1.0), ([2, 2, 1], 2)]
)
def test_the_usual_pace_is_the_median(
    reported: list[float], median: float
) -> None:
    assert speed.with_slow_now(speed.Speeds(), reported).slow_now == median
