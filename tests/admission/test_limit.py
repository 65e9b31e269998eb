"""Tests of the adaptive limit: internal queueing or a slower target."""

from __future__ import annotations

from collections.abc import Callable

from currantcart.admission import limit


def settled_limit(
    concurrency: limit.ConcurrencyLimit,
    latency: Callable[[float], float],
    *,
    windows: int = 60,
) -> float:
    """Applies windows of a saturated target and returns the final limit."""
    for _ in range(windows):
        concurrency.adjust(latency(concurrency.value), saturated=True)
    return concurrency.value


def test_target_that_queues_internally_is_limited_to_what_it_runs() -> None:
    """Guards against internal queues: 50 slots are announced, 10 run."""
    concurrency = limit.ConcurrencyLimit(slots=50, now=0.0)
    concurrency.adjust(10.0, saturated=False)
    settled = settled_limit(concurrency, lambda value: max(10.0, value))
    assert 8 <= settled <= 25


def test_target_that_became_slower_keeps_its_slots() -> None:
    """Guards against starving a target that fewer calls don't speed up.

    A deep service slows to a quarter of its speed.
    """
    concurrency = limit.ConcurrencyLimit(slots=50, now=0.0)
    concurrency.adjust(10.0, saturated=False)
    assert settled_limit(concurrency, lambda _: 40.0) >= 45


def test_slower_target_gets_one_trial_cut_only() -> None:
    """Guards against repeated trials, each of which costs goodput."""
    concurrency = limit.ConcurrencyLimit(slots=50, now=0.0)
    concurrency.adjust(10.0, saturated=False)
    cuts = 0
    for window in range(100):
        concurrency.adjust(40.0 + window % 3, saturated=True)
        cuts += concurrency.trial is not None
    assert cuts == 1


def test_refusal_for_overload_cuts_at_once() -> None:
    concurrency = limit.ConcurrencyLimit(slots=50, now=0.0)
    concurrency.cut_for_overload()
    assert concurrency.value == 40
