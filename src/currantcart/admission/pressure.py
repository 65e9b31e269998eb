"""Shedding root requests before work is spent on chains that can't finish.

A deep service that is full refuses calls one by one; a chain needs several of
them in turn, so a few refusals fail most chains, and all the work above was
for nothing. So a full target tells how much of the demand has to go, every
node passes that up along the services that call each other, and the node where
a request begins sheds it there: the least urgent first, before any work, with
a word on when to come back.
"""

from __future__ import annotations

import dataclasses
import math
import random
from collections.abc import Iterable

STEP_MS = 100.0
"""Time between two steps of the gauge."""
RISE_PER_REFUSED = 0.3
RISE_PER_WAIT = 0.02
RISE_MOST = 0.12
"""Most that one step adds.

Demand takes some steps to come down to a deep service; a gauge that is much
quicker than that swings between empty and full.
"""
FALL = 0.012
"""What a step takes off; small, so that the gauge rests near its place."""
FALL_WITH_ROOM = 0.06
"""The same while slots are free: shedding then turns callers away in vain."""
ROOM = 0.75
"""Part of the slots in use below which there is room."""
TOLD_CHANGE = 0.04
MOST = 0.9
LEAST = 0.01
STEPS = 256
"""Steps of a level as it is told; a fraction of few bits compresses well."""
WAIT_OF_OBJECTIVE = 0.15
HISTOGRAM_HALF_LIFE_MS = 2_000.0
SHED_SHARE_MAX = 0.85
"""Most of one rank that is shed, so that none is starved."""
EVIDENCE_HALF_LIFE_MS = 30_000.0
PRIOR_FAILED, PRIOR_ENDED = 1.0, 10.0
DEPENDS_SHARE = 0.03
PRESSED = 0.05


class Gauge:
    """How much of the demand on one target has to go, 0 to 1.

    Attributes:
      level: The present word.
    """

    def __init__(self) -> None:
        self.level = 0.0
        self.at = 0.0
        self.refused = 0
        self.taken = 0
        self.told = 0.0

    def note_offer(self, *, refused: bool) -> None:
        """Takes what became of a request at the target's queue."""
        if refused:
            self.refused += 1
        else:
            self.taken += 1

    def update(
        self,
        *,
        wait_ms: float,
        objective_ms: float,
        utilization: float,
        now: float,
    ) -> bool:
        """Moves the level; returns whether it has changed much.

        Args:
          wait_ms: Expected wait of a call that arrives now.
          objective_ms: Latency objective of the calls.
          utilization: Part of the slots that is in use.
          now: Milliseconds of the node's clock.
        """
        if now - self.at < STEP_MS:
            return False
        self.at = now
        refused, self.refused = self.refused, 0
        taken, self.taken = self.taken, 0
        rise = 0.0
        if refused:
            rise += RISE_PER_REFUSED * refused / (refused + taken)
        over = wait_ms / (objective_ms * WAIT_OF_OBJECTIVE) - 1.0
        if over > 0.0:
            rise += RISE_PER_WAIT * min(2.0, over)
        if rise:
            self.level += min(RISE_MOST, rise)
        else:
            self.level -= FALL if utilization > ROOM else FALL_WITH_ROOM
        self.level = min(MOST, max(0.0, self.level))
        changed = abs(self.level - self.told) >= TOLD_CHANGE
        if changed:
            self.told = self.level
        return changed


Pressure = dict[str, float]
"""Levels by the service that is full."""


def mean(parts: Iterable[tuple[int, Pressure]]) -> Pressure:
    """Returns the mean over targets, each weighed by its slots.

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
        if value / total >= LEAST
    }


def coarse(levels: Pressure) -> Pressure:
    """Returns levels as they are told: rounded down, so that echoes die out."""
    told = {
        name: math.floor(level * STEPS) / STEPS
        for name, level in levels.items()
    }
    return {name: level for name, level in told.items() if level >= LEAST}


def strongest(parts: Iterable[Pressure]) -> Pressure:
    """Returns the highest level of each service."""
    merged: Pressure = {}
    for levels in parts:
        for name, level in levels.items():
            if level > merged.get(name, 0.0):
                merged[name] = level
    return merged


@dataclasses.dataclass(slots=True)
class Evidence:
    """Whether a route's requests fail when a service is full."""

    failed: float = PRIOR_FAILED
    ended: float = PRIOR_ENDED
    at: float = 0.0

    def note(self, *, failed: bool, now: float) -> None:
        """Takes the end of a request."""
        fade = 0.5 ** ((now - self.at) / EVIDENCE_HALF_LIFE_MS)
        self.at = now
        self.failed = PRIOR_FAILED + (self.failed - PRIOR_FAILED) * fade
        self.ended = PRIOR_ENDED + (self.ended - PRIOR_ENDED) * fade
        self.failed += float(failed)
        self.ended += 1.0

    @property
    def depends(self) -> bool:
        """Whether the route's requests seem to need the service.

        Nothing tells which requests make which calls; that they fail while
        the service is full does.
        """
        return self.failed / self.ended > DEPENDS_SHARE


class RankHistogram:
    """How the demand divides over ranks, lately."""

    def __init__(self) -> None:
        self.counts: dict[int, float] = {}
        self.at = 0.0

    def note(self, rank: int, now: float) -> None:
        """Counts a request."""
        fade = 0.5 ** (max(0.0, now - self.at) / HISTOGRAM_HALF_LIFE_MS)
        if fade < 0.98:
            self.at = now
            for key in self.counts:
                self.counts[key] *= fade
        self.counts[rank] = self.counts.get(rank, 0.0) + 1.0

    def shed_share(self, rank: int, level: float) -> float:
        """Returns which part of a rank goes when so much of all has to go."""
        total = sum(self.counts.values())
        own = self.counts.get(rank, 0.0)
        if total <= 0.0 or own <= 0.0:
            return 0.0
        later = sum(n for key, n in self.counts.items() if key > rank)
        share = (level * total - later * SHED_SHARE_MAX) / own
        return min(SHED_SHARE_MAX, max(0.0, share))


class Shedder:
    """Decides at the node where a request begins."""

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self.histograms: dict[str, RankHistogram] = {}
        self.evidence: dict[tuple[str, str], Evidence] = {}

    def shed_by(
        self,
        *,
        route: str,
        service: str,
        rank: int,
        levels: Pressure,
        now: float,
    ) -> str:
        """Returns the full service for which a request goes; empty if none.

        Args:
          route: Route of the request.
          service: Service that it goes to.
          rank: Its rank, 0 is the most urgent.
          levels: How full that service and those it calls are.
          now: Milliseconds of the node's clock.
        """
        by = ""
        for full, level in levels.items():
            if full != service:
                known = self.evidence.get((route, full))
                if known is not None and not known.depends:
                    continue
            histogram = self.histograms.setdefault(full, RankHistogram())
            histogram.note(rank, now)
            if self.rng.random() < histogram.shed_share(rank, level):
                by = full
        return by

    def note_end(
        self, *, route: str, levels: Pressure, failed: bool, now: float
    ) -> None:
        """Takes how a request ended that was not shed."""
        for full, level in levels.items():
            if level >= PRESSED:
                key = (route, full)
                known = self.evidence.setdefault(key, Evidence(at=now))
                known.note(failed=failed, now=now)
