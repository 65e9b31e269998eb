"""Health of one target as seen from this node: ejection and recovery."""

from __future__ import annotations

from typing import TYPE_CHECKING

import transitions

FAILURES_IN_ROW = 5
FAILURE_WEIGHT = 0.1
FAILURE_RATIO_MAX = 0.5
PROBE_SUCCESSES = 3
BACKOFF_MS_FIRST = 1_000.0
BACKOFF_MS_MAX = 30_000.0

HEALTHY = "healthy"
EJECTED = "ejected"
PROBING = "probing"


class TargetHealth:
    """State machine: healthy, ejected for a time, probing, healthy.

    A target that fails fast looks idle and would attract more and more calls,
    and a failing target may still pass its health check. So only the answers
    to calls count.

    Attributes:
      state: One of `HEALTHY`, `EJECTED` and `PROBING`.
      failures_in_row: Failures since the last answer.
      failure_ratio: Exponential moving average of the failures.
      probe_successes: Probes answered in the present probing.
      probe_running: Whether a probe is in flight.
      ejections: Ejections since the target was last healthy.
      ejected_until_ms: End of the present ejection.
    """

    if TYPE_CHECKING:
        state: str

        def eject(self) -> bool:
            """Excludes the target from selection for a time."""

        def probe(self) -> bool:
            """Lets single calls go to the target again."""

        def recover(self) -> bool:
            """Gives the target its full share of calls again."""

    def __init__(self) -> None:
        self.failures_in_row = 0
        self.failure_ratio = 0.0
        self.probe_successes = 0
        self.probe_running = False
        self.ejections = 0
        self.ejected_until_ms = 0.0
        self.machine = transitions.Machine(
            model=self,
            states=[HEALTHY, EJECTED, PROBING],
            initial=HEALTHY,
            auto_transitions=False,
            transitions=[
                ["eject", [HEALTHY, PROBING], EJECTED],
                ["probe", EJECTED, PROBING],
                ["recover", PROBING, HEALTHY],
            ],
        )

    def usable(self, now: float) -> bool:
        """Returns whether a call may be sent; ends an ejection that is over."""
        if self.state == EJECTED and now >= self.ejected_until_ms:
            self.probe()
            self.probe_successes = 0
            self.probe_running = False
        if self.state == PROBING:
            return not self.probe_running
        return self.state == HEALTHY

    def started(self) -> None:
        """Records that a call is sent to the target."""
        self.probe_running = self.state == PROBING

    def succeeded(self) -> None:
        """Counts an answer."""
        self.failures_in_row = 0
        self.failure_ratio *= 1.0 - FAILURE_WEIGHT
        self.probe_running = False
        if self.state == PROBING:
            self.probe_successes += 1
            if self.probe_successes >= PROBE_SUCCESSES:
                self.recover()
                self.ejections = 0
                self.failure_ratio = 0.0

    def failed(self, now: float) -> None:
        """Counts a failure: no answer, an incomplete one or a target error."""
        self.failures_in_row += 1
        self.failure_ratio += (1.0 - self.failure_ratio) * FAILURE_WEIGHT
        self.probe_running = False
        if self.state == PROBING or self.is_failing():
            self.begin_ejection(now)

    def released(self) -> None:
        """Records the end of a call that shows nothing about the target."""
        self.probe_running = False

    def is_failing(self) -> bool:
        """Returns whether a healthy target has to be ejected."""
        return self.state == HEALTHY and (
            self.failures_in_row >= FAILURES_IN_ROW
            or self.failure_ratio > FAILURE_RATIO_MAX
        )

    def begin_ejection(self, now: float) -> None:
        """Ejects the target; the time doubles with each ejection in a row."""
        backoff_ms = BACKOFF_MS_FIRST * 2.0 ** min(self.ejections, 10)
        self.ejected_until_ms = now + min(BACKOFF_MS_MAX, backoff_ms)
        self.ejections += 1
        self.failures_in_row = 0
        self.eject()
