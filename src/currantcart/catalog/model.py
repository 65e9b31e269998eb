"""One configuration version as an immutable aggregate.

A node swaps the whole aggregate at once, so that a request sees the routes,
keys and limits of one version and never a mixture of two.
"""

from __future__ import annotations

import dataclasses
import random

PRIORITY_DEFAULT = 1


@dataclasses.dataclass(frozen=True, slots=True)
class Part:
    """A service and its weight in a route's traffic split."""

    service: str
    weight: float


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """Where requests below a path prefix of a host go.

    Attributes:
      name: Name given by the operator.
      host: Lower-case host without port.
      prefix: Path prefix that begins and ends with a slash.
      parts: Services with their weights; one part without a split.
      idempotent: Whether a request may run more than once.
      timeout_ms: Longest time that a caller is kept waiting.
      objective_ms: Latency within which an answer has its full worth.
      priority: Rank, 0 is the most urgent.
      attempts_max: Most targets to which one request may be handed.
      keyless: Whether requests need no workspace's key.
    """

    name: str
    host: str
    prefix: str
    parts: tuple[Part, ...]
    idempotent: bool
    timeout_ms: float
    objective_ms: float
    priority: int
    attempts_max: int
    keyless: bool

    def pick_service(self, rng: random.Random) -> str:
        """Draws a service in proportion to the weights."""
        parts = self.parts
        if len(parts) == 1:
            return parts[0].service
        point = rng.random() * sum(part.weight for part in parts)
        for part in parts:
            point -= part.weight
            if point < 0:
                return part.service
        return parts[-1].service


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """A service and what its targets bear."""

    name: str
    connections_max: int


@dataclasses.dataclass(frozen=True, slots=True)
class Workspace:
    """A workspace with its keys and its rate.

    Attributes:
      name: Name, as targets are told it.
      keys: Keys that show a request to be of this workspace.
      priority: Rank that goes before the route's; None leaves the route's.
      rate_per_second: Requests a second over all nodes; 0 means no limit.
      burst: Requests beyond the rate that may come at once.
    """

    name: str
    keys: tuple[str, ...]
    priority: int | None
    rate_per_second: float
    burst: float


@dataclasses.dataclass(frozen=True, slots=True)
class CallerLimits:
    """Bounds on what a caller may send, and how slowly."""

    header_bytes: int = 16_384
    body_bytes: int = 64 * 1024 * 1024
    header_ms: float = 3_000.0
    idle_ms: float = 15_000.0


class Catalog:
    """All that one configuration version says.

    Attributes:
      version: Its version; grows in uneven steps.
      routes: Routes by host and prefix.
      services: Services by name.
      workspaces: Workspaces by key.
      limits: What callers may send.
      unread: Names of fields that this program does not know.
    """

    def __init__(
        self,
        *,
        version: int,
        routes: tuple[Route, ...],
        services: tuple[Service, ...],
        workspaces: tuple[Workspace, ...],
        keyed: bool,
        limits: CallerLimits,
        unread: tuple[str, ...] = (),
    ) -> None:
        self.version = version
        self.unread = unread
        self.routes: dict[str, dict[str, Route]] = {}
        for route in routes:
            self.routes.setdefault(route.host, {})[route.prefix] = route
        self.services = {service.name: service for service in services}
        self.workspaces = {
            key: workspace for workspace in workspaces for key in workspace.keys
        }
        self.by_name = {workspace.name: workspace for workspace in workspaces}
        self.keyed = keyed
        self.limits = limits

    def match(self, host: str, path: str) -> Route | None:
        """Returns the route with the longest prefix that begins a path.

        Args:
          host: Lower-case host without port.
          path: Path without its query.
        """
        prefixes = self.routes.get(host)
        if prefixes is None:
            return None
        # Prefixes end with a slash, so only the path's own slashes can end
        # one: this looks up each of them, the last first.
        end = path.rfind("/")
        while end >= 0:
            route = prefixes.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind("/", 0, end)
        return None

    def rates(self) -> dict[str, tuple[float, float]]:
        """Returns rate and burst of each workspace that has a limit."""
        return {
            workspace.name: (workspace.rate_per_second, workspace.burst)
            for workspace in self.by_name.values()
            if workspace.rate_per_second > 0
        }
