"""The service graph: services, routes, priorities and call time-outs."""

from __future__ import annotations

import dataclasses
import enum

from currantcart import clock

DEPTH_MAX = 14
PRIORITY_STEP_IMPORTANCE = 8
PRIORITY_STEP_WORKSPACE = 2
NO_SHEDDING = -1


class Importance(enum.IntEnum):
    """Importance of a call; the higher, the later it is shed."""

    SHEDDABLE = 0
    NORMAL = 1
    IMPORTANT = 2
    CRITICAL = 3


def priority(
    importance: Importance, workspace_importance: Importance, *, depth: int
) -> int:
    """Returns the priority of a call for load shedding.

    The importance of the route decides first, so that browsing is shed before
    payments, whatever the workspace. The workspace's importance comes next. A
    call inside a chain has priority over a new root call, since work has
    already been done for it.

    Args:
      importance: Importance of the root call's route.
      workspace_importance: Importance of the workspace.
      depth: Depth of the call in its chain; 0 for a root call.

    Returns:
      A number from 0 to 31; the higher, the later it is shed.
    """
    inside_chain = 1 if depth else 0
    return (
        importance * PRIORITY_STEP_IMPORTANCE
        + workspace_importance * PRIORITY_STEP_WORKSPACE
        + inside_chain
    )


@dataclasses.dataclass(frozen=True, slots=True)
class PatienceSpan:
    """Call time-out that applies during a part of the day.

    Attributes:
      start_minute: First minute of the local day, 0 to 1439.
      end_minute: First minute after the span; below `start_minute` if the
        span includes midnight.
      patience_ms: How long callers wait for an answer during the span.
    """

    start_minute: int
    end_minute: int
    patience_ms: float

    def covers(self, minute: int) -> bool:
        """Returns whether a minute of the day lies in the span."""
        if self.start_minute <= self.end_minute:
            return self.start_minute <= minute < self.end_minute
        return minute >= self.start_minute or minute < self.end_minute


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """A part of a service with its own importance.

    Attributes:
      method: HTTP method, or `*` for any.
      path: Prefix of the request path.
      importance: Importance of a root call to the route.
      idempotent: Whether a call may be executed more than once.
      once: Whether calls need an idempotency key and are executed at most once
        per key.
    """

    method: str
    path: str
    importance: Importance
    idempotent: bool
    once: bool = False

    def matches(self, method: str, path: str) -> bool:
        """Returns whether a request matches the route."""
        return self.method in ("*", method) and path.startswith(self.path)


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """One service.

    Attributes:
      name: Name of the service.
      depends_on: Services that its targets may call.
      routes: Routes in matching order; the last one matches every request.
      patience_ms: How long callers wait for an answer outside of all spans.
      spans: Call time-outs by time of day.
      retries: Retry allowance of a root call to the service.
      max_importance: Upper limit on the importance of calls to the service.
    """

    name: str
    depends_on: frozenset[str]
    routes: tuple[Route, ...]
    patience_ms: float
    spans: tuple[PatienceSpan, ...] = ()
    retries: int = 2
    max_importance: Importance = Importance.CRITICAL

    def route(self, method: str, path: str) -> Route:
        """Returns the first route that matches."""
        for route in self.routes:
            if route.matches(method, path):
                return route
        return self.routes[-1]

    def patience_at(self, wall_ms: float, *, utc_offset_minutes: int) -> float:
        """Returns how long callers wait at a time of day, in milliseconds.

        Args:
          wall_ms: Wall-clock time, in milliseconds since 1970.
          utc_offset_minutes: Offset of the local time of day from UTC.
        """
        if not self.spans:
            return self.patience_ms
        local_ms = wall_ms + utc_offset_minutes * clock.MS_PER_MINUTE
        minute = int(local_ms % clock.MS_PER_DAY // clock.MS_PER_MINUTE)
        for span in self.spans:
            if span.covers(minute):
                return span.patience_ms
        return self.patience_ms


@dataclasses.dataclass(frozen=True, slots=True)
class Graph:
    """All services of the fleet.

    Attributes:
      services: Services by name.
      utc_offset_minutes: Offset of the local time of day from UTC.
    """

    services: dict[str, Service]
    utc_offset_minutes: int = 0
