"""Adaptive limit on the calls that run at one target at once.

The announced slots are the upper bound, never a truth: a target that runs fewer
than it says queues the rest inside, where nothing can be shed. A plain latency
gradient has the opposite fault: a target that became slower for good looks
overloaded at any limit, and the gradient starves it. So each cut is a trial:
it stays only if latency fell for it; otherwise the slower time is the new
normal and the limit goes back.
"""

from __future__ import annotations

import dataclasses

WINDOW_COMPLETIONS_MIN = 20
WINDOW_MS_MIN = 100.0
SLOW_FACTOR = 1.6
CUT = 0.8
GROWTH = 1.1
LATENCY_FALL_MIN = 0.9
BASE_DRIFT = 0.02
LIMIT_MIN = 1.0
SATURATION = 0.9


@dataclasses.dataclass(slots=True)
class Trial:
    """A cut whose worth is not known yet.

    Attributes:
      previous_limit: Limit to return to.
      previous_ms: Mean latency before the cut.
    """

    previous_limit: float
    previous_ms: float


class ConcurrencyLimit:
    """The limit and what it learned.

    Attributes:
      slots: Upper bound.
      value: The limit in force.
      base_ms: Latency of a target that is not queueing inside; 0 unknown.
    """

    def __init__(self, *, slots: int, now: float) -> None:
        self.slots = float(slots)
        self.value = float(slots)
        self.base_ms = 0.0
        self.trial: Trial | None = None
        self.window_start_ms = now
        self.window_count = 0
        self.window_sum_ms = 0.0
        self.window_peak = 0

    def record(self, latency_ms: float, *, running: int, now: float) -> None:
        """Counts one completed call.

        Args:
          latency_ms: Time that the target took.
          running: Calls that ran at once when it ended, itself included.
          now: Present time.
        """
        self.window_count += 1
        self.window_sum_ms += latency_ms
        self.window_peak = max(self.window_peak, running)
        full = self.window_count >= WINDOW_COMPLETIONS_MIN
        if full and now - self.window_start_ms >= WINDOW_MS_MIN:
            self.close_window(now)

    def overloaded(self) -> None:
        """Cuts at once: the target itself refused for overload."""
        self.value = max(LIMIT_MIN, self.value * CUT)
        self.trial = None

    def close_window(self, now: float) -> None:
        """Judges the window and starts the next one."""
        mean_ms = self.window_sum_ms / self.window_count
        saturated = self.window_peak >= self.value * SATURATION
        self.window_start_ms = now
        self.window_count = 0
        self.window_sum_ms = 0.0
        self.window_peak = 0
        self.judge(mean_ms, saturated=saturated)

    def judge(self, mean_ms: float, *, saturated: bool) -> None:
        """Moves the limit after a window of a mean latency."""
        if self.base_ms == 0.0 or mean_ms < self.base_ms:
            self.base_ms = mean_ms
        if self.trial is not None:
            self.judge_trial(mean_ms, self.trial)
        elif saturated and mean_ms > self.base_ms * SLOW_FACTOR:
            self.trial = Trial(previous_limit=self.value, previous_ms=mean_ms)
            self.value = max(LIMIT_MIN, self.value * CUT)
        else:
            self.base_ms += (mean_ms - self.base_ms) * BASE_DRIFT
            self.value = min(self.slots, self.value * GROWTH)

    def judge_trial(self, mean_ms: float, trial: Trial) -> None:
        """Keeps a cut that lowered latency, and takes back one that did not."""
        self.trial = None
        if mean_ms <= trial.previous_ms * LATENCY_FALL_MIN:
            return
        self.value = trial.previous_limit
        self.base_ms = max(self.base_ms, mean_ms)
