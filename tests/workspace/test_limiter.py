"""Rate and burst at one node."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from currantcart import errors
from currantcart.workspace import bucket, limiter, model

MILL = model.Workspace("mill", rate=100, burst=20)


def admitted(limits: limiter.RateLimiter, now: float) -> bool:
    try:
        limits.admit(MILL, now)
    except errors.Refusal as refusal:
        assert refusal.not_run
        assert refusal.retry_after_ms > 0
        return False
    return True


@given(st.lists(st.floats(0, 50), max_size=200), st.integers(1, 5))
def test_share_is_never_exceeded(gaps: list[float], instances: int) -> None:
    """Calls come at any times, at a node that just started."""
    limits = limiter.RateLimiter(fleet_instances=instances)
    now = 0.0
    count = 0
    for gap in gaps:
        now += gap
        count += admitted(limits, now)
        share = MILL.rate * now / 1_000 + MILL.burst
        assert count <= share / instances + 1e-6


def test_restarted_node_does_not_hand_out_a_second_burst() -> None:
    """A node is killed and comes back each second.

    If each start brought a full bucket, a workspace would get its burst as
    often as instances are replaced.
    """
    total = 0
    for start in range(0, 5_000, 1_000):
        limits = limiter.RateLimiter(fleet_instances=1)
        total += sum(admitted(limits, start) for _ in range(50))
    assert total <= 5


def test_smaller_limits_hold_at_once() -> None:
    held = bucket.TokenBucket(rate=10, burst=100, now=0.0)
    held.resize(rate=10, burst=2, now=0.0)
    assert [held.take(0.0) for _ in range(3)] == [True, True, False]


def test_clock_that_runs_back_gives_nothing() -> None:
    held = bucket.TokenBucket(rate=1_000, burst=1, now=10.0)
    held.take(10.0)
    assert not held.take(5.0)
    assert not held.take(10.0)
