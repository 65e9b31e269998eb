"""Work time of a target, as reported to the nodes of its callers."""

from __future__ import annotations

import dataclasses
import math

SMOOTHING = 0.02
SAMPLES_MIN = 30


@dataclasses.dataclass(slots=True)
class WorkTime:
    """Smoothed work time of a target, as a geometric mean.

    The requests of a service differ widely in work, so the arithmetic means of
    equal targets differ by the few long requests that each happens to receive.
    These hardly affect the geometric mean, which shows a slow target as well.

    Attributes:
      log_ms: Smoothed logarithm of the work times in ms.
      samples: Requests that were measured.
    """

    log_ms: float = 0.0
    samples: int = 0

    def record(self, work_ms: float) -> None:
        """Records the work time of a request that the target completed.

        Refused and failed requests take hardly any time and would make a
        faulty target look fast, so they are not recorded.
        """
        self.samples += 1
        weight = max(SMOOTHING, 1.0 / self.samples)
        self.log_ms += weight * (math.log(max(work_ms, 0.1)) - self.log_ms)

    @property
    def reported_ms(self) -> float:
        """The work time to report, in ms; 0 while there are too few samples."""
        return math.exp(self.log_ms) if self.samples >= SAMPLES_MIN else 0.0
