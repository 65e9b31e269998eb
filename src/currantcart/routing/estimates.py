"""What a node expects of the requests that it sends to one service."""

from __future__ import annotations

import dataclasses
from collections.abc import Iterable, Mapping

from currantcart.routing import completion, speed

COMPARE_MS = 250.0
"""Interval between two comparisons of the targets' reports."""
MEAN_SMOOTHING = 0.02
LEFT_STEP_MS = 25.0
"""Step to which the time that a request has left is rounded down."""
FORECASTS_MAX = 256
LOGGED_RATIO = 1.2
"""Ratio by which a target's slowness must change to be returned as changed."""


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """A change of a target's slowness.

    Attributes:
      instance: Instance of the target's node.
      before: Slowness that was returned last; 1 at first.
      slowness: Slowness now.
    """

    instance: str
    before: float
    slowness: float


class Estimates:
    """Speeds of a service's targets, and work times of its requests.

    Attributes:
      speeds: Result of the last comparison.
      compared_at: Time of it.
      mean_ms: Mean work time of the requests that this node sends, at a median
        target; 0 while it is unknown.
      tails: Spread of the completion times by kind.
      noted: Slowness by instance that was returned as changed last.
      reported: Work times by kind and instance that were compared last.
      forecasts: Forecasts since the last comparison, by kind of request,
        urgency and time left.
    """

    def __init__(self) -> None:
        self.speeds = speed.Speeds()
        self.compared_at = float("-inf")
        self.mean_ms = 0.0
        self.tails: dict[str, completion.Tail] = {}
        self.noted: dict[str, float] = {}
        self.reported: dict[str, Mapping[str, float]] = {}
        self.forecasts: dict[
            tuple[str, int, int, int], completion.Forecast
        ] = {}

    def is_due(self, now: float) -> bool:
        """Returns whether the reports have to be compared again."""
        return now - self.compared_at >= COMPARE_MS

    def compare(
        self, reports: Iterable[speed.Report], now: float
    ) -> list[Change]:
        """Compares the reports of the service's targets.

        Returns:
          Targets whose slowness has changed by a fifth or more.
        """
        self.compared_at = now
        self.forecasts.clear()
        reports = list(reports)
        reported = {item.instance: item.work_by_kind for item in reports}
        slow_now = [item.slow_now for item in reports]
        if reported == self.reported:
            self.speeds = speed.with_slow_now(self.speeds, slow_now)
            return []
        self.reported = reported
        self.speeds = speed.with_slow_now(speed.compare(reported), slow_now)
        slowness = self.speeds.slowness
        if self.tails.keys() - self.speeds.work_ms.keys():
            self.tails = {
                kind: tail
                for kind, tail in self.tails.items()
                if kind in self.speeds.work_ms
            }
        changes = []
        noted = {name: self.noted.get(name, 1.0) for name in slowness}
        for name, value in slowness.items():
            before = noted[name]
            if not before / LOGGED_RATIO < value < before * LOGGED_RATIO:
                changes.append(Change(name, before, value))
                noted[name] = value
        self.noted = noted
        return changes

    def forecast(
        self, kind: str, *, objective_ms: float, left_ms: float, priority: int
    ) -> completion.Forecast | None:
        """Returns what is known of a request; None if its kind is not known.

        Requests with nearly the same time left share one forecast until the
        next comparison.

        Args:
          kind: Kind of the request.
          objective_ms: Time until its objective.
          left_ms: Time until it is ended.
          priority: Its priority; 0 is the most urgent root.
        """
        work_ms = self.speeds.work_ms.get(kind)
        if work_ms is None:
            return None
        before = self.mean_ms or work_ms
        self.mean_ms = before + MEAN_SMOOTHING * (work_ms - before)
        objective_steps = int(min(objective_ms, left_ms) / LEFT_STEP_MS)
        left_steps = int(left_ms / LEFT_STEP_MS)
        urgency = max(0, min(priority, completion.RANKS - 1))
        key = (kind, urgency, objective_steps, left_steps)
        found = self.forecasts.get(key)
        if found is not None:
            return found
        if len(self.forecasts) >= FORECASTS_MAX:
            self.forecasts.clear()
        tail = self.tails.get(kind)
        made = self.forecasts[key] = completion.Forecast(
            completion.Work(
                work_ms=work_ms,
                mean_ms=self.mean_ms,
                sigma=completion.sigma(
                    tail.ratio if tail else completion.TAIL_DEFAULT
                ),
                objective_ms=objective_steps * LEFT_STEP_MS,
                left_ms=left_steps * LEFT_STEP_MS,
                late_cost=completion.late_cost(urgency),
                reserve_cost=completion.reserve_cost(urgency),
            ),
            self.speeds,
        )
        return made

    def record(
        self,
        kind: str,
        *,
        actual_ms: float,
        expected_ms: float,
        answered: bool = True,
    ) -> None:
        """Records the completion of a request that found a free slot.

        Args:
          kind: Kind of the request.
          actual_ms: Time that it took.
          expected_ms: Time that was expected; nothing is recorded if it is 0.
          answered: Whether it was answered; otherwise it was ended before.
        """
        if kind not in self.speeds.work_ms or expected_ms <= 0:
            return
        tail = self.tails.get(kind)
        if tail is None:
            tail = self.tails[kind] = completion.Tail()
        record = tail.record if answered else tail.record_timeout
        record(actual_ms, expected_ms)
