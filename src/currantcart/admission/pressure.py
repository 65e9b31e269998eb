"""Sheds root requests before work is spent on chains that can't finish.

An overloaded deep service refuses calls one by one. A chain needs several of
them in turn, so a few refusals fail most chains, and the work done for them is
wasted. An overloaded target therefore reports which share of the demand has to
be shed, and the nodes propagate that from called to calling services. The node
where a request enters sheds it before any work is done, the least urgent first,
and sends a retry delay with the refusal.
"""

from __future__ import annotations

import dataclasses
import math
import random
from collections.abc import Iterable

from currantcart.admission import fair_share

STEP_MS = 100.0
"""Time between two updates of the gauge."""
RISE_PER_REFUSED = 0.3
FAIR_REFUSED_WEIGHT = 0.25
"""Weight of a refused request at a queue that serves by usage.

Such a queue is short, and refuses requests of workspaces above their share. If
the level rises as fast as for others, it exceeds what is needed before the
nodes have received it, and slots are idle: with a weight of 0.5, 3 in 100
requests fewer are served.
"""
RISE_PER_WAIT = 0.02
RISE_MAX = 0.12
"""Largest increase of the level in one step.

A change of demand takes some steps to reach a deep service. A gauge that reacts
much faster than that oscillates between no shedding and full shedding.
"""
FALL = 0.012
"""Decrease in one step; small, so that the level stays near its balance."""
FALL_WITH_SPARE = 0.06
"""Decrease while slots are free, when shedding refuses callers needlessly."""
SPARE_UTILIZATION = 0.75
"""Utilization of the slots below which there is spare capacity."""
REPORTED_CHANGE_MIN = 0.04
LEVEL_MAX = 0.9
LEVEL_MIN = 0.01
LEVEL_STEPS = 256
"""Steps of a reported level; a fraction of few bits compresses well."""
WAIT_OF_OBJECTIVE = 0.15
HISTOGRAM_HALF_LIFE_MS = 2_000.0
SHED_SHARE_MAX = 0.85
"""Largest share of one rank that is shed, so that none is starved."""
EVIDENCE_HALF_LIFE_MS = 30_000.0
PRIOR_FAILED, PRIOR_ENDED = 1.0, 10.0
DEPENDS_FAILED_SHARE = 0.03
EVIDENCE_LEVEL_MIN = 0.05


class Gauge:
    """Share of the demand on one target that has to be shed, 0 to 1.

    Attributes:
      level: The current share.
      updated_at: When the level was updated last.
      refused: Requests refused since then.
      accepted: Requests accepted since then.
      reported: Level that was reported last.
    """

    def __init__(self) -> None:
        self.level = 0.0
        self.updated_at = 0.0
        self.refused = 0.0
        self.accepted = 0.0
        self.reported = 0.0

    def count_offer(self, *, refused: bool, fair: bool = False) -> None:
        """Counts a request that the target's queue refused or accepted.

        Args:
          refused: Whether it was refused.
          fair: Whether the queue serves by usage, so that it refuses requests
            of workspaces above their share.
        """
        if refused:
            weight = FAIR_REFUSED_WEIGHT if fair else 1.0
            self.refused += weight
            self.accepted += 1.0 - weight
        else:
            self.accepted += 1.0

    def update(
        self,
        *,
        wait_ms: float,
        objective_ms: float,
        utilization: float,
        now: float,
    ) -> bool:
        """Updates the level, at most once in each step.

        Args:
          wait_ms: Expected wait of a call that arrives now.
          objective_ms: Latency objective of the calls.
          utilization: Share of the slots that is in use.
          now: Milliseconds of the node's clock.

        Returns:
          Whether the level has changed enough to be reported.
        """
        if now - self.updated_at < STEP_MS:
            return False
        self.updated_at = now
        refused, self.refused = self.refused, 0.0
        accepted, self.accepted = self.accepted, 0.0
        rise = 0.0
        if refused:
            rise += RISE_PER_REFUSED * refused / (refused + accepted)
        excess = wait_ms / (objective_ms * WAIT_OF_OBJECTIVE) - 1.0
        if excess > 0.0:
            rise += RISE_PER_WAIT * min(2.0, excess)
        if rise:
            self.level += min(RISE_MAX, rise)
        else:
            self.level -= (
                FALL if utilization > SPARE_UTILIZATION else FALL_WITH_SPARE
            )
        self.level = min(LEVEL_MAX, max(0.0, self.level))
        changed = abs(self.level - self.reported) >= REPORTED_CHANGE_MIN
        if changed:
            self.reported = self.level
        return changed


Pressure = dict[str, float]
"""Levels by the service that is overloaded."""


def mean(parts: Iterable[tuple[int, Pressure]]) -> Pressure:
    """Returns the mean levels over targets, weighted by their slots.

    Args:
      parts: Slots and levels of each target.
    """
    total = 0
    sums: Pressure = {}
    for weight, levels in parts:
        total += weight
        for name, level in levels.items():
            sums[name] = sums.get(name, 0.0) + weight * level
    return {
        name: value / total
        for name, value in sums.items()
        if value / total >= LEVEL_MIN
    }


def quantize(levels: Pressure) -> Pressure:
    """Returns levels as reported: rounded down, so that echoes die out."""
    reported = {
        name: math.floor(level * LEVEL_STEPS) / LEVEL_STEPS
        for name, level in levels.items()
    }
    return {
        name: level for name, level in reported.items() if level >= LEVEL_MIN
    }


def highest_levels(parts: Iterable[Pressure]) -> Pressure:
    """Returns the highest level of each service."""
    merged: Pressure = {}
    for levels in parts:
        for name, level in levels.items():
            if level > merged.get(name, 0.0):
                merged[name] = level
    return merged


@dataclasses.dataclass(slots=True)
class Evidence:
    """Evidence that a route's requests fail when a service is overloaded.

    Attributes:
      failed: Requests that failed, decayed with time.
      ended: Requests that ended, decayed with time.
      updated_at: When one was recorded last.
    """

    failed: float = PRIOR_FAILED
    ended: float = PRIOR_ENDED
    updated_at: float = 0.0

    def record(self, *, failed: bool, now: float) -> None:
        """Records the end of a request."""
        decay = 0.5 ** ((now - self.updated_at) / EVIDENCE_HALF_LIFE_MS)
        self.updated_at = now
        self.failed = PRIOR_FAILED + (self.failed - PRIOR_FAILED) * decay
        self.ended = PRIOR_ENDED + (self.ended - PRIOR_ENDED) * decay
        self.failed += float(failed)
        self.ended += 1.0

    @property
    def depends(self) -> bool:
        """Whether the route's requests appear to need the service.

        Which requests make which calls is not known. A route depends on the
        service if its requests fail while the service is overloaded.
        """
        return self.failed / self.ended > DEPENDS_FAILED_SHARE


class RankHistogram:
    """Recent demand by rank."""

    def __init__(self) -> None:
        self.counts: dict[int, float] = {}
        self.updated_at = 0.0

    def record(self, rank: int, now: float) -> None:
        """Counts a request."""
        decay = 0.5 ** (
            max(0.0, now - self.updated_at) / HISTOGRAM_HALF_LIFE_MS
        )
        if decay < 0.98:
            self.updated_at = now
            for key in self.counts:
                self.counts[key] *= decay
        self.counts[rank] = self.counts.get(rank, 0.0) + 1.0

    def shed_share(self, rank: int, level: float) -> float:
        """Returns the share of a rank to shed for a share of the total."""
        return shed_share(self.counts, rank, level)


def shed_share(counts: dict[int, float], rank: int, level: float) -> float:
    """Returns the share of a rank to shed for a share of the total demand.

    Args:
      counts: Demand by rank, in any unit.
      rank: The rank; the least urgent ones are shed first.
      level: Share of the total demand that has to be shed, 0 to 1.
    """
    total = sum(counts.values())
    same = counts.get(rank, 0.0)
    if total <= 0.0 or same <= 0.0:
        return 0.0
    less_urgent = sum(n for key, n in counts.items() if key > rank)
    share = (level * total - less_urgent * SHED_SHARE_MAX) / same
    return min(SHED_SHARE_MAX, max(0.0, share))


class Shedder:
    """Decides at the ingress node which root requests to shed.

    Attributes:
      divider: Shares of the workspaces; None if they are not considered.
    """

    def __init__(
        self,
        rng: random.Random,
        *,
        divider: fair_share.Divider | None = None,
    ) -> None:
        self.rng = rng
        self.divider = divider
        self.histograms: dict[str, RankHistogram] = {}
        self.evidence: dict[tuple[str, str], Evidence] = {}

    def shed_for(
        self,
        *,
        route: str,
        service: str,
        rank: int,
        levels: Pressure,
        now: float,
        workspace: str = "",
    ) -> str:
        """Returns the overloaded service for which to shed a request.

        Args:
          route: Route of the request.
          service: Service that the request is sent to.
          rank: Rank of the request; 0 is the most urgent.
          levels: Levels of that service and of those that it calls.
          now: Milliseconds of the node's clock.
          workspace: Workspace of the request; empty if all requests of a rank
            are treated alike.

        Returns:
          Name of the service; empty if the request is not shed.
        """
        shed_for = ""
        for overloaded, level in levels.items():
            if overloaded != service:
                evidence = self.evidence.get((route, overloaded))
                if evidence is not None and not evidence.depends:
                    continue
            histogram = self.histograms.setdefault(overloaded, RankHistogram())
            histogram.record(rank, now)
            share = histogram.shed_share(rank, level)
            if self.divider is not None and workspace:
                self.divider.record(overloaded, rank, workspace, now)
                if share:
                    shares = self.divider.shares(
                        overloaded, rank, shed=share, now=now
                    )
                    share = shares.shed_share(workspace)
            if self.rng.random() < share:
                shed_for = overloaded
        return shed_for

    def record_end(
        self, *, route: str, levels: Pressure, failed: bool, now: float
    ) -> None:
        """Records how a request ended that was not shed."""
        for overloaded, level in levels.items():
            if level >= EVIDENCE_LEVEL_MIN:
                key = (route, overloaded)
                evidence = self.evidence.setdefault(
                    key, Evidence(updated_at=now)
                )
                evidence.record(failed=failed, now=now)
