"""How long a target works on a request, as callers' nodes are told."""

from __future__ import annotations

import dataclasses
import math

SMOOTHING = 0.02
MEASURED_MIN = 30


@dataclasses.dataclass(slots=True)
class Speed:
    """Smoothed time of a target's work, as a geometric mean.

    A service's requests differ widely in work, and the arithmetic means of
    alike targets differ with the few long ones that each happens to get. The
    geometric mean hardly feels those, and a slow target is as plain in it.

    Attributes:
      log_ms: Mean logarithm of what was measured lately.
      measured: Requests that were measured.
    """

    log_ms: float = 0.0
    measured: int = 0

    def note(self, work_ms: float) -> None:
        """Takes a request that the target ran to a good end.

        What it refuses or fails takes it no time, and would make a target
        that is ill look fast.
        """
        self.measured += 1
        weight = max(SMOOTHING, 1.0 / self.measured)
        self.log_ms += weight * (math.log(max(work_ms, 0.1)) - self.log_ms)

    @property
    def reported_ms(self) -> float:
        """The time as it is told; 0 while too little was measured."""
        return math.exp(self.log_ms) if self.measured >= MEASURED_MIN else 0.0
