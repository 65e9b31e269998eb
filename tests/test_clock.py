"""The suspend-aware clock."""

from __future__ import annotations

import time

import pytest

from currantcart import clock
from currantcart.fleet import freshness

SECOND_NS = 1_000_000_000


def test_suspension_counts_towards_freshness(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A key may be withdrawn while the machine is suspended for 6 seconds."""
    boot_ns = 100 * SECOND_NS
    monkeypatch.setattr(
        time,
        "clock_gettime_ns",
        lambda which: boot_ns if which == time.CLOCK_BOOTTIME else 0,
    )
    made = clock.suspend_aware_clock()
    known = freshness.Freshness(1, made.now())
    assert known.may_serve_keys(made.now(), bound_ms=5_000.0)
    boot_ns += 6 * SECOND_NS
    assert made.now() == pytest.approx(106_000.0)
    assert not known.may_serve_keys(made.now(), bound_ms=5_000.0)
