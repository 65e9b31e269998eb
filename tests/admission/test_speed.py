"""How long a target works on a request, as it is told."""

from __future__ import annotations

import random

import pytest

from currantcart.admission import speed


def test_nothing_is_told_before_enough_was_measured() -> None:
    """A node that has just started must not look the fastest of all."""
    made = speed.Speed()
    for _ in range(speed.MEASURED_MIN - 1):
        made.note(100.0)
    assert made.reported_ms == 0.0
    made.note(100.0)
    assert made.reported_ms == pytest.approx(100.0)


def test_a_target_that_turns_slow_is_told_within_some_requests() -> None:
    made = speed.Speed()
    for _ in range(200):
        made.note(50.0)
    for _ in range(100):
        made.note(200.0)
    assert made.reported_ms > 150.0


def test_targets_with_the_same_mix_of_work_seem_alike() -> None:
    rng = random.Random(3)
    told = []
    for _ in range(20):
        made = speed.Speed()
        for _ in range(500):
            made.note(880.0 if rng.random() < 0.04 else 55.0)
        told.append(made.reported_ms)
    assert max(told) / min(told) < 1.3
