"""The only source of time, in milliseconds.

Code that makes decisions never reads the time from the operating system. It is
passed `now` by a caller that has a `Clock`, so that tests can pass a clock that
they control.
"""

from __future__ import annotations

import dataclasses
import time
from collections.abc import Callable

MS_PER_SECOND = 1_000.0
MS_PER_MINUTE = 60_000.0
MS_PER_DAY = 86_400_000.0


@dataclasses.dataclass(frozen=True, slots=True)
class Clock:
    """A monotonic clock and a wall clock.

    Attributes:
      now: Returns monotonic milliseconds; comparable only within one process.
      wall: Returns milliseconds since 1970 in UTC. It may jump, so it is used
        only for the time of day and for text that people read.
    """

    now: Callable[[], float]
    wall: Callable[[], float]


def system_clock() -> Clock:
    """Returns the system clock; `now` stops while the machine is suspended."""
    return Clock(
        now=lambda: time.monotonic_ns() / 1e6,
        wall=lambda: time.time_ns() / 1e6,
    )


def suspend_aware_clock() -> Clock:
    """Returns a system clock whose `now` advances during suspension.

    Leases and the freshness of the configuration expire also while a machine
    is suspended. The usual monotonic clock stops during suspension, so a
    withdrawn key would be accepted for that much longer.
    """
    return Clock(
        now=lambda: time.clock_gettime_ns(time.CLOCK_BOOTTIME) / 1e6,
        wall=lambda: time.time_ns() / 1e6,
    )
