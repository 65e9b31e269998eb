"""Compares the speeds of a service's targets by the work times they report."""

from __future__ import annotations

import dataclasses
import math
import statistics
from collections.abc import Mapping, Sequence

TOLERANCE = math.log(1.1)
"""Difference, as a logarithm, that counts as none.

Reported times change in steps of a tenth, and vary by as much between equal
targets. Without the tolerance requests would leave their failure domain for it.
"""
PRIOR_KINDS = 0.15
"""Weight of a median time that is assumed in addition, in kinds.

A target that has measured only kinds that few others have is hardly compared.
"""
SLOWNESS_MAX = 4.0
DIFFER_RATIO = 1.25
"""Ratio of the slowest to the fastest from which speeds count as different."""


@dataclasses.dataclass(frozen=True, slots=True)
class Report:
    """Speed that a target reports.

    Attributes:
      instance: Instance of the target's node.
      work_by_kind: Work times by kind of request, in ms.
      slow_now: How much longer than usual its requests take.
    """

    instance: str
    work_by_kind: Mapping[str, float]
    slow_now: float = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class Speeds:
    """Speeds of the targets of one service.

    Attributes:
      work_ms: Work time of each kind at the median target.
      slowness: Factor on the work time by instance; 1 for a median target.
      slow_now: Median of the targets' `slow_now`; if all of them are slow at
        the same time, none is to be avoided.
      fastest: Slowness of the fastest target.
      differ: Whether the targets differ in speed.
    """

    work_ms: dict[str, float] = dataclasses.field(default_factory=dict)
    slowness: dict[str, float] = dataclasses.field(default_factory=dict)
    slow_now: float = 1.0
    fastest: float = 1.0
    differ: bool = False


def with_slow_now(speeds: Speeds, slow_now: Sequence[float]) -> Speeds:
    """Returns speeds with the median of the targets' reported `slow_now`."""
    median = statistics.median_low(slow_now) if slow_now else 1.0
    if median == speeds.slow_now:
        return speeds
    return dataclasses.replace(speeds, slow_now=median)


def compare(reported: Mapping[str, Mapping[str, float]]) -> Speeds:
    """Returns the speeds of a service's targets.

    The slowness is the weighted geometric mean, over kinds, of the ratio of a
    target's time to the median target's. A kind weighs as much as the share of
    the targets that report it. A target that has not measured a kind counts as
    a median one there, so that a few measurements have little effect.

    Args:
      reported: Work times by kind in ms, by instance of the target's node;
        empty for a target without measurements.
    """
    by_kind: dict[str, list[float]] = {}
    for work_by_kind in reported.values():
        for kind, value in work_by_kind.items():
            if value > 0:
                by_kind.setdefault(kind, []).append(value)
    if not by_kind:
        return Speeds()
    medians = {kind: median_ratio(values) for kind, values in by_kind.items()}
    weights = {kind: len(values) for kind, values in by_kind.items()}
    prior = PRIOR_KINDS * len(reported)
    slowness = {}
    for instance, work_by_kind in reported.items():
        logs, total = 0.0, prior
        for kind, value in work_by_kind.items():
            if value > 0:
                logs += weights[kind] * math.log(value / medians[kind])
                total += weights[kind]
        slowness[instance] = tolerant_ratio(logs / total)
    fastest = min(slowness.values())
    return Speeds(
        work_ms=medians,
        slowness=slowness,
        fastest=fastest,
        differ=max(slowness.values()) > DIFFER_RATIO * fastest,
    )


def median_ratio(values: list[float]) -> float:
    """Returns the median; of the two middle values, the geometric mean."""
    return math.sqrt(
        statistics.median_low(values) * statistics.median_high(values)
    )


def tolerant_ratio(log_ratio: float) -> float:
    """Returns a ratio from its logarithm, reduced by the tolerance."""
    reduced = math.copysign(max(0.0, abs(log_ratio) - TOLERANCE), log_ratio)
    return min(SLOWNESS_MAX, math.exp(reduced))
