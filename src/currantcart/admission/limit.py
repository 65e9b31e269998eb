"""Adaptive limit on the calls that run concurrently at one target.

The slots that a target announces are only an upper bound: a target that runs
fewer than announced queues the rest internally, where nothing can be shed. A
plain latency gradient fails the other way: a target that has become permanently
slower looks overloaded at any limit, and the gradient starves it. Each cut is
therefore a trial. It stays only if latency fell; otherwise the higher latency
becomes the new baseline and the previous limit is restored.
"""

from __future__ import annotations

import dataclasses

WINDOW_COMPLETIONS_MIN = 20
WINDOW_MS_MIN = 100.0
SLOW_FACTOR = 1.6
CUT_FACTOR = 0.8
GROWTH_FACTOR = 1.1
LATENCY_RATIO_MAX = 0.9
BASE_SMOOTHING = 0.02
LIMIT_MIN = 1.0
SATURATED_SHARE = 0.9


@dataclasses.dataclass(slots=True)
class Trial:
    """A cut of the limit whose effect is not known yet.

    Attributes:
      previous_limit: Limit to restore if latency does not fall.
      previous_ms: Mean latency before the cut.
    """

    previous_limit: float
    previous_ms: float


class ConcurrencyLimit:
    """Concurrency limit that adapts to the observed latency.

    Attributes:
      slots: Upper bound, as announced by the target.
      value: The limit in force.
      base_ms: Latency without queueing in the target; 0 if unknown.
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
        """Records the latency of one completed call.

        Args:
          latency_ms: Time that the target took to answer.
          running: Calls running when it ended, itself included.
          now: Current time, in ms.
        """
        self.window_count += 1
        self.window_sum_ms += latency_ms
        self.window_peak = max(self.window_peak, running)
        has_enough = self.window_count >= WINDOW_COMPLETIONS_MIN
        if has_enough and now - self.window_start_ms >= WINDOW_MS_MIN:
            self.close_window(now)

    def cut_for_overload(self) -> None:
        """Cuts the limit at once, after the target refused for overload."""
        self.value = max(LIMIT_MIN, self.value * CUT_FACTOR)
        self.trial = None

    def close_window(self, now: float) -> None:
        """Evaluates the current window and starts the next one."""
        mean_ms = self.window_sum_ms / self.window_count
        saturated = self.window_peak >= self.value * SATURATED_SHARE
        self.window_start_ms = now
        self.window_count = 0
        self.window_sum_ms = 0.0
        self.window_peak = 0
        self.adjust(mean_ms, saturated=saturated)

    def adjust(self, mean_ms: float, *, saturated: bool) -> None:
        """Adjusts the limit to the mean latency of a window."""
        if self.base_ms == 0.0 or mean_ms < self.base_ms:
            self.base_ms = mean_ms
        if self.trial is not None:
            self.evaluate_trial(mean_ms, self.trial)
        elif saturated and mean_ms > self.base_ms * SLOW_FACTOR:
            self.trial = Trial(previous_limit=self.value, previous_ms=mean_ms)
            self.value = max(LIMIT_MIN, self.value * CUT_FACTOR)
        else:
            self.base_ms += (mean_ms - self.base_ms) * BASE_SMOOTHING
            self.value = min(self.slots, self.value * GROWTH_FACTOR)

    def evaluate_trial(self, mean_ms: float, trial: Trial) -> None:
        """Keeps a cut that lowered latency, and reverts one that did not."""
        self.trial = None
        if mean_ms <= trial.previous_ms * LATENCY_RATIO_MAX:
            return
        self.value = trial.previous_limit
        self.base_ms = max(self.base_ms, mean_ms)
