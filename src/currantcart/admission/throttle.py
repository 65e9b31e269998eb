"""Throttling at the ingress node: calls are shed where they enter.

A call refused deep in a chain has already cost every service above it. The
level at which a deep service sheds is passed back on responses; the ingress
node then refuses locally the share of such calls that would be refused further
down anyway. The share follows the accepted calls (client-side throttling,
Google SRE book, chapter 21), separately for each service, workspace and
priority, so that a workspace with excessive load does not use up the others'
chances.
"""

from __future__ import annotations

import dataclasses
import random

from currantcart.graph import model as graph_model

HALF_WINDOW_MS = 500.0
ACCEPT_MULTIPLIER = 1.5
LEVEL_TTL_MS = 500.0
REQUESTS_MIN = 10
IDLE_MS = 10_000.0
TALLIES_BEFORE_EVICTION = 1_024


@dataclasses.dataclass(slots=True)
class Tally:
    """Requests and accepts in the current and the previous half window."""

    started_ms: float
    requests: float = 0.0
    accepts: float = 0.0
    previous_requests: float = 0.0
    previous_accepts: float = 0.0

    def advance(self, now: float) -> None:
        """Advances to the half window that contains a time."""
        elapsed_ms = now - self.started_ms
        if elapsed_ms < HALF_WINDOW_MS:
            return
        is_recent = elapsed_ms < 2 * HALF_WINDOW_MS
        self.previous_requests = self.requests if is_recent else 0.0
        self.previous_accepts = self.accepts if is_recent else 0.0
        self.requests = 0.0
        self.accepts = 0.0
        self.started_ms = now

    def refuse_share(self) -> float:
        """Returns the share of calls to refuse locally, 0 to 1."""
        requests = self.requests + self.previous_requests
        if requests < REQUESTS_MIN:
            return 0.0
        accepts = self.accepts + self.previous_accepts
        return max(
            0.0, (requests - ACCEPT_MULTIPLIER * accepts) / (requests + 1.0)
        )


@dataclasses.dataclass(frozen=True, slots=True)
class TrafficClass:
    """Calls that are throttled together."""

    service: str
    workspace: str
    priority: int


@dataclasses.dataclass(frozen=True, slots=True)
class ShedLevel:
    """A shedding level received on a response, and when it expires."""

    priority: int
    until_ms: float


class IngressThrottle:
    """Ingress throttle, driven by the shedding levels on responses."""

    def __init__(self, *, rng: random.Random) -> None:
        self.rng = rng
        self.tallies: dict[TrafficClass, Tally] = {}
        self.levels: dict[str, ShedLevel] = {}

    def level(self, service: str, now: float) -> int:
        """Returns the priority up to which a service sheds calls."""
        level = self.levels.get(service)
        if level is None or level.until_ms <= now:
            return graph_model.NO_SHEDDING
        return level.priority

    def tally(self, traffic_class: TrafficClass, now: float) -> Tally:
        """Returns the tally of a traffic class, advanced to a time."""
        tally = self.tallies.get(traffic_class)
        if tally is None:
            if len(self.tallies) >= TALLIES_BEFORE_EVICTION:
                self.evict_idle(now)
            tally = self.tallies[traffic_class] = Tally(started_ms=now)
        tally.advance(now)
        return tally

    def evict_idle(self, now: float) -> None:
        """Evicts tallies that have been idle."""
        self.tallies = {
            traffic_class: tally
            for traffic_class, tally in self.tallies.items()
            if now - tally.started_ms < IDLE_MS
        }

    def admit(self, traffic_class: TrafficClass, now: float) -> bool:
        """Returns whether a call is admitted, counting it as a request."""
        tally = self.tally(traffic_class, now)
        tally.requests += 1
        if traffic_class.priority > self.level(traffic_class.service, now):
            return True
        return self.rng.random() >= tally.refuse_share()

    def record_response(
        self,
        traffic_class: TrafficClass,
        *,
        accepted: bool,
        shed_level: int,
        now: float,
    ) -> None:
        """Records the outcome of a call and the shedding level it returned.

        Args:
          traffic_class: Traffic class of the call.
          accepted: Whether no service in the chain shed the call.
          shed_level: Shedding level on the response.
          now: Current time, in ms.
        """
        if accepted:
            self.tally(traffic_class, now).accepts += 1
        if shed_level > graph_model.NO_SHEDDING:
            current = self.level(traffic_class.service, now)
            self.levels[traffic_class.service] = ShedLevel(
                priority=max(current, shed_level),
                until_ms=now + LEVEL_TTL_MS,
            )
