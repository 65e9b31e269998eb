"""Work times of a target by kind of request, and its pace at the moment.

A target that gets long requests is not slow. So its speed is measured for each
kind of request, and compared with that of other targets kind by kind.
"""

from __future__ import annotations

import dataclasses
import math

KINDS_MAX = 8
SAMPLES_MIN = 20
SMOOTHING = 0.02
REPORT_RATIO = 1.1
"""Ratio by which a work time must change before it is reported anew."""
EXPIRY_MS = 30_000.0
"""Time without a request of a kind after which its work time is discarded.

A target that is avoided gets no more requests that would show its recovery;
without reported times it counts as usual again and is tried.
"""
PACE_HALF_LIFE_MS = 150.0
"""Half-life of the recent sums.

Slow times last 600 ms; with 500 ms they were over before they were reported.
"""
USUAL_HALF_LIFE_MS = 20_000.0
PACE_PRIOR = 3.0
"""Completed requests at the usual pace that are assumed in addition.

With fewer completions in the window, the ratio is mostly noise.
"""
USUAL_PRIOR = 50.0
SLOW_NOW_MIN = 2.0
"""Ratio below which the pace is reported as usual.

With 1.4, reports of short slow times that were over sent requests to few other
targets, and gained nothing.
"""
SLOW_NOW_MAX = 4.0
SLOW_NOW_STEP = 0.25


@dataclasses.dataclass(slots=True)
class KindTime:
    """Work time of one kind of request, as a geometric mean.

    Attributes:
      log_ms: Smoothed logarithm of the work times in ms.
      samples: Requests that were measured.
      recorded_at: Time of the last one.
    """

    log_ms: float = 0.0
    samples: int = 0
    recorded_at: float = 0.0

    def record(self, work_ms: float, now: float) -> None:
        """Records the work time of a completed request."""
        self.samples += 1
        self.recorded_at = now
        weight = max(SMOOTHING, 1.0 / self.samples)
        self.log_ms += weight * (math.log(max(work_ms, 0.1)) - self.log_ms)


class WorkByKind:
    """Work times of one target by kind of request.

    Attributes:
      kinds: Measured kinds, at most `KINDS_MAX`.
      reported: Work times in ms that were reported last.
    """

    def __init__(self) -> None:
        self.kinds: dict[str, KindTime] = {}
        self.reported: dict[str, float] = {}

    def record(self, kind: str, work_ms: float, now: float) -> None:
        """Records the work time of a request that the target completed.

        A new kind beyond `KINDS_MAX` replaces one that has expired, and is
        ignored if none has.

        Args:
          kind: Kind of the request; nothing is recorded if it is empty.
          work_ms: Time from handing it over to the answer.
          now: Milliseconds of the node's clock.
        """
        known = self.kinds.get(kind)
        if known is None:
            if not kind:
                return
            if len(self.kinds) >= KINDS_MAX:
                self.remove_expired(now)
                if len(self.kinds) >= KINDS_MAX:
                    return
            known = self.kinds[kind] = KindTime()
        known.record(work_ms, now)

    def record_cancelled(
        self, kind: str, elapsed_ms: float, now: float
    ) -> None:
        """Records a request that was cancelled while it ran.

        It would have taken longer still. Without those that time out, the work
        time of a slow target would be that of its short requests only.

        Args:
          kind: Kind of the request.
          elapsed_ms: Time since it was handed to the target; ignored unless it
            exceeds the work time known so far.
          now: Milliseconds of the node's clock.
        """
        known = self.kinds.get(kind)
        if known is None or elapsed_ms > math.exp(known.log_ms):
            self.record(kind, elapsed_ms, now)

    def remove_expired(self, now: float) -> None:
        """Removes kinds that were not recorded for `EXPIRY_MS`."""
        for kind, known in list(self.kinds.items()):
            if now - known.recorded_at > EXPIRY_MS:
                del self.kinds[kind]

    def usual_ms(self, kind: str) -> float:
        """Returns the usual work time of a kind; 0 while it is unknown."""
        known = self.kinds.get(kind)
        if known is None or known.samples < SAMPLES_MIN:
            return 0.0
        return math.exp(known.log_ms)

    def report(self, now: float) -> dict[str, float]:
        """Returns the work times to report, in whole ms.

        The last report is repeated until one of them has changed by a tenth.
        """
        self.remove_expired(now)
        current = {
            kind: math.exp(known.log_ms)
            for kind, known in self.kinds.items()
            if known.samples >= SAMPLES_MIN
        }
        if is_changed(current, self.reported):
            self.reported = {
                kind: max(1, round(value)) for kind, value in current.items()
            }
        return self.reported


def is_changed(current: dict[str, float], reported: dict[str, float]) -> bool:
    """Returns whether work times differ by a tenth or more from reported ones.

    Half a millisecond, the error of a reported time, is no difference.
    """
    return current.keys() != reported.keys() or any(
        value > reported[kind] * REPORT_RATIO + 0.5
        or value < reported[kind] / REPORT_RATIO - 0.5
        for kind, value in current.items()
    )


@dataclasses.dataclass(slots=True)
class Window:
    """Decayed sums of work expected and of requests completed.

    Attributes:
      half_life_ms: Time after which half of a sum is left.
      exposure: Time that requests were running, each in multiples of the usual
        work time of its kind.
      completed: Requests that were completed.
    """

    half_life_ms: float
    exposure: float = 0.0
    completed: float = 0.0

    def advance(self, elapsed_ms: float, running: float) -> None:
        """Adds a time during which the same requests were running.

        Args:
          elapsed_ms: The time.
          running: Sum of the inverse usual times of the running requests.
        """
        decay = 0.5 ** (elapsed_ms / self.half_life_ms)
        mean_life = self.half_life_ms / math.log(2)
        self.exposure *= decay
        self.exposure += running * mean_life * (1.0 - decay)
        self.completed *= decay


class Pace:
    """How much longer than usual a target takes at the moment.

    The time that requests have been running, including those that still run,
    is compared with the number completed. Requests that are overdue are thus
    noticed before they end.

    Attributes:
      recent: Sums over the last moments.
      usual: Sums over a long time.
      running: Sum of the inverse usual times of the running requests.
      updated_at: Time as of which the sums hold.
    """

    def __init__(self) -> None:
        self.recent = Window(PACE_HALF_LIFE_MS)
        self.usual = Window(USUAL_HALF_LIFE_MS)
        self.running = 0.0
        self.updated_at = 0.0

    def reset(self) -> None:
        """Discards the sums; requests that still run keep their weight."""
        self.recent = Window(PACE_HALF_LIFE_MS)
        self.usual = Window(USUAL_HALF_LIFE_MS)

    def advance(self, now: float) -> None:
        """Updates the sums."""
        elapsed_ms = now - self.updated_at
        if elapsed_ms > 0:
            self.recent.advance(elapsed_ms, self.running)
            self.usual.advance(elapsed_ms, self.running)
            self.updated_at = now

    def start(self, usual_ms: float, now: float) -> float:
        """Records that a request was handed to the target.

        Args:
          usual_ms: Usual work time of its kind; 0 if unknown: it is ignored.
          now: Milliseconds of the node's clock.

        Returns:
          Its weight, for `end`.
        """
        if not usual_ms:
            return 0.0
        self.advance(now)
        self.running += 1.0 / usual_ms
        return 1.0 / usual_ms

    def end(self, weight: float, now: float, *, completed: bool) -> None:
        """Records that a request has ended.

        Args:
          weight: Its weight.
          now: Milliseconds of the node's clock.
          completed: Whether the target answered it, and not with an error.
        """
        if not weight:
            return
        self.advance(now)
        # Rounding errors of many additions must not become a negative sum.
        self.running = max(0.0, self.running - weight)
        if completed:
            self.recent.completed += 1.0
            self.usual.completed += 1.0

    def slow_now(self, now: float) -> float:
        """Returns the ratio to report: 1 when requests take as long as usual.

        The mean of long-tailed times exceeds their geometric mean, so the
        ratio is compared with its own long-term value.
        """
        self.advance(now)
        usual = (self.usual.exposure + USUAL_PRIOR) / (
            self.usual.completed + USUAL_PRIOR
        )
        ratio = (self.recent.exposure / usual + PACE_PRIOR) / (
            self.recent.completed + PACE_PRIOR
        )
        if ratio < SLOW_NOW_MIN:
            return 1
        steps = round(min(SLOW_NOW_MAX, ratio) / SLOW_NOW_STEP)
        return steps * SLOW_NOW_STEP
