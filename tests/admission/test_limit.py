"""The adaptive limit against two targets that look alike."""

from __future__ import annotations

from collections.abc import Callable

from currantcart.admission import limit


def settle(
    concurrency: limit.ConcurrencyLimit,
    latency: Callable[[float], float],
    *,
    windows: int = 60,
) -> float:
    """Feeds windows of a saturated target and returns the limit."""
    for _ in range(windows):
        concurrency.judge(latency(concurrency.value), saturated=True)
    return concurrency.value


def test_target_that_queues_inside_is_limited_to_what_it_runs() -> None:
    """A target announces 50 slots and runs 10."""
    concurrency = limit.ConcurrencyLimit(slots=50, now=0.0)
    concurrency.judge(10.0, saturated=False)
    settled = settle(concurrency, lambda value: max(10.0, value))
    assert 8 <= settled <= 25


def test_target_that_became_slower_keeps_its_slots() -> None:
    """A deep service slows to a quarter; fewer calls would not speed it up."""
    concurrency = limit.ConcurrencyLimit(slots=50, now=0.0)
    concurrency.judge(10.0, saturated=False)
    assert settle(concurrency, lambda _: 40.0) >= 45


def test_slower_target_is_not_tried_again_and_again() -> None:
    """Each trial cut of a target at its capacity costs a part of goodput."""
    concurrency = limit.ConcurrencyLimit(slots=50, now=0.0)
    concurrency.judge(10.0, saturated=False)
    cuts = 0
    for window in range(100):
        concurrency.judge(40.0 + window % 3, saturated=True)
        cuts += concurrency.trial is not None
    assert cuts == 1


def test_refusal_for_overload_cuts_at_once() -> None:
    concurrency = limit.ConcurrencyLimit(slots=50, now=0.0)
    concurrency.overloaded()
    assert concurrency.value == 40
