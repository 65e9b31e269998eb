"""Throttle at the node that takes a call: the edge sheds first.

A call refused deep in a chain has already cost every service above it. The
level at which a deep service sheds travels back on answers; the edge then
refuses, by itself, the part of such calls that would be refused below anyway.
The share follows the accepted ones (the client-side throttling of Google's SRE
book, chapter 21), apart for each service, workspace and priority, so a
workspace that floods does not use up the chances of the others.
"""

from __future__ import annotations

import dataclasses
import random

from currantcart.graph import model as graph_model

HALF_WINDOW_MS = 500.0
OVERSEND = 1.5
LEVEL_MEMORY_MS = 500.0
MINIMUM_REQUESTS = 10
IDLE_MS = 10_000.0
SWEEP_AT = 1_024


@dataclasses.dataclass(slots=True)
class Tally:
    """Requests and accepts in the present and the previous half window."""

    started_ms: float
    requests: float = 0.0
    accepts: float = 0.0
    previous_requests: float = 0.0
    previous_accepts: float = 0.0

    def turn(self, now: float) -> None:
        """Moves on to the half window of a time."""
        elapsed_ms = now - self.started_ms
        if elapsed_ms < HALF_WINDOW_MS:
            return
        fresh = elapsed_ms < 2 * HALF_WINDOW_MS
        self.previous_requests = self.requests if fresh else 0.0
        self.previous_accepts = self.accepts if fresh else 0.0
        self.requests = 0.0
        self.accepts = 0.0
        self.started_ms = now

    def refuse_share(self) -> float:
        """Returns the share of calls to refuse here, 0 to 1."""
        requests = self.requests + self.previous_requests
        if requests < MINIMUM_REQUESTS:
            return 0.0
        accepts = self.accepts + self.previous_accepts
        return max(0.0, (requests - OVERSEND * accepts) / (requests + 1.0))


@dataclasses.dataclass(frozen=True, slots=True)
class Stream:
    """Calls that are throttled together."""

    service: str
    workspace: str
    priority: int


@dataclasses.dataclass(frozen=True, slots=True)
class Level:
    """A shedding level heard of, and until when it counts."""

    priority: int
    until_ms: float


class EdgeThrottle:
    """What this node learned about shedding from answers."""

    def __init__(self, *, rng: random.Random) -> None:
        self.rng = rng
        self.tallies: dict[Stream, Tally] = {}
        self.levels: dict[str, Level] = {}

    def level(self, service: str, now: float) -> int:
        """Returns the level at which calls to a service are shed below."""
        level = self.levels.get(service)
        if level is None or level.until_ms <= now:
            return graph_model.NO_SHEDDING
        return level.priority

    def tally(self, stream: Stream, now: float) -> Tally:
        """Returns the tally of a stream, turned to the present."""
        tally = self.tallies.get(stream)
        if tally is None:
            if len(self.tallies) >= SWEEP_AT:
                self.sweep(now)
            tally = self.tallies[stream] = Tally(started_ms=now)
        tally.turn(now)
        return tally

    def sweep(self, now: float) -> None:
        """Drops tallies that have been idle."""
        self.tallies = {
            stream: tally
            for stream, tally in self.tallies.items()
            if now - tally.started_ms < IDLE_MS
        }

    def admit(self, stream: Stream, now: float) -> bool:
        """Decides whether a call goes on from here."""
        tally = self.tally(stream, now)
        tally.requests += 1
        if stream.priority > self.level(stream.service, now):
            return True
        return self.rng.random() >= tally.refuse_share()

    def answered(
        self, stream: Stream, *, accepted: bool, shed_level: int, now: float
    ) -> None:
        """Learns from an answer.

        Args:
          stream: Stream of the call.
          accepted: Whether the call was served, not shed, all the way down.
          shed_level: Level that came back on the answer.
          now: Present time.
        """
        if accepted:
            self.tally(stream, now).accepts += 1
        if shed_level > graph_model.NO_SHEDDING:
            present = self.level(stream.service, now)
            self.levels[stream.service] = Level(
                priority=max(present, shed_level),
                until_ms=now + LEVEL_MEMORY_MS,
            )
