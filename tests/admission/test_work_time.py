"""Tests of the work time that is reported for a target."""

from __future__ import annotations

import random

import pytest

from currantcart.admission import work_time


def test_nothing_is_reported_before_enough_samples() -> None:
    """Guards against a node looking the fastest just after its start."""
    measured = work_time.WorkTime()
    for _ in range(work_time.SAMPLES_MIN - 1):
        measured.record(100.0)
    assert measured.reported_ms == 0.0
    measured.record(100.0)
    assert measured.reported_ms == pytest.approx(100.0)


def test_a_slower_target_is_reported_within_a_hundred_requests() -> None:
    measured = work_time.WorkTime()
    for _ in range(200):
        measured.record(50.0)
    for _ in range(100):
        measured.record(200.0)
    assert measured.reported_ms > 150.0


def test_targets_with_the_same_mix_of_work_report_similar_times() -> None:
    rng = random.Random(3)
    reported = []
    for _ in range(20):
        measured = work_time.WorkTime()
        for _ in range(500):
            measured.record(880.0 if rng.random() < 0.04 else 55.0)
        reported.append(measured.reported_ms)
    assert max(reported) / min(reported) < 1.3
