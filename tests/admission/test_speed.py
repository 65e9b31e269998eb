"""Tests of the work time that is reported for a target."""

from __future__ import annotations

import random

import pytest

from currantcart.admission import speed


def test_nothing_is_reported_before_enough_samples() -> None:
    """Guards against a node looking the fastest just after its start."""
    made = speed.Speed()
    for _ in range(speed.SAMPLES_MIN - 1):
        made.note(100.0)
    assert made.reported_ms == 0.0
    made.note(100.0)
    assert made.reported_ms == pytest.approx(100.0)


def test_a_slower_target_is_reported_within_a_hundred_requests() -> None:
    made = speed.Speed()
    for _ in range(200):
        made.note(50.0)
    for _ in range(100):
        made.note(200.0)
    assert made.reported_ms > 150.0


def test_targets_with_the_same_mix_of_work_report_similar_times() -> None:
    rng = random.Random(3)
    reported = []
    for _ in range(20):
        made = speed.Speed()
        for _ in range(500):
            made.note(880.0 if rng.random() < 0.04 else 55.0)
        reported.append(made.reported_ms)
    assert max(reported) / min(reported) < 1.3
