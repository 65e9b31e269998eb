"""One configuration version as an immutable aggregate.

A node replaces the complete aggregate at once, so that a request uses the
routes, keys and limits of one version and never a mixture of two.
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
    """Routing rule for requests to a host whose path has a prefix.

    Attributes:
      name: Name that the operator has given the route.
      host: Lower-case host without port.
      prefix: Path prefix that begins and ends with a slash.
      parts: Services with their weights; a single part if traffic is not
        split.
      idempotent: Whether targets may execute a request more than once.
      timeout_ms: Maximum time until a request is answered.
      objective_ms: Latency objective; later answers have less than full value.
      priority: Priority; 0 is the most urgent.
      attempts_max: Maximum number of targets to which one request may be sent.
      keyless: Whether requests are accepted without a workspace's key.
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
        """Returns a random service, in proportion to the weights."""
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
    """A service and the limits of its targets.

    Attributes:
      name: Name of the service.
      connections_max: Maximum number of connections that a target accepts.
      cold_ms: Time for which a target is cold after its start.
      cold_rate: Requests per second that a cold target bears; 0 means no
        limit.
      health_path: Path of the health resource of its targets; empty without
        one.
    """

    name: str
    connections_max: int
    cold_ms: float = 0.0
    cold_rate: float = 0.0
    health_path: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Workspace:
    """A workspace with its keys and rate limit.

    Attributes:
      name: Name, as sent to targets.
      keys: API keys that identify requests of this workspace.
      priority: Priority that replaces the route's; None keeps the route's.
      rate_per_second: Requests per second over all nodes; 0 means no limit.
      burst: Requests beyond the rate that may arrive at once.
    """

    name: str
    keys: tuple[str, ...]
    priority: int | None
    rate_per_second: float
    burst: float


@dataclasses.dataclass(frozen=True, slots=True)
class CallerLimits:
    """Limits on the size and duration of callers' requests.

    Attributes:
      header_bytes: Maximum size of a request's head.
      body_bytes: Maximum size of a request's body.
      header_ms: Maximum time until a request's head is complete.
      idle_ms: Maximum time without activity on a caller's connection, also
        within a request's body.
    """

    header_bytes: int = 16_384
    body_bytes: int = 64 * 1024 * 1024
    header_ms: float = 3_000.0
    idle_ms: float = 15_000.0


class Catalog:
    """Contents of one configuration version.

    Attributes:
      version: Version number; increases, not always by one.
      routes: Routes by host, then by prefix.
      services: Services by name.
      workspaces: Workspaces by key.
      by_name: Workspaces by name.
      keyed: Whether requests need the key of a workspace.
      limits: Limits on callers' requests.
      unsupported_fields: Names of unsupported fields in the document.
      default_weight: Weight in fair shares of a workspace without a rate.
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
        unsupported_fields: tuple[str, ...] = (),
    ) -> None:
        self.version = version
        self.unsupported_fields = unsupported_fields
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
        rates = [rate for rate, _ in self.rates().values()]
        self.default_weight = sum(rates) / len(rates) if rates else 1.0

    def weight_of(self, name: str) -> float:
        """Returns a workspace's weight in fair shares: its rate.

        A workspace without a rate has the mean rate of those that have one.
        """
        workspace = self.by_name.get(name)
        if workspace is None or workspace.rate_per_second <= 0:
            return self.default_weight
        return workspace.rate_per_second

    def match(self, host: str, path: str) -> Route | None:
        """Returns the route with the longest prefix of a path.

        Args:
          host: Lower-case host without port.
          path: Path without its query.
        """
        prefixes = self.routes.get(host)
        if prefixes is None:
            return None
        # Prefixes end with a slash, so a matching prefix ends at one of the
        # path's slashes. These are tried from the last to the first.
        end = path.rfind("/")
        while end >= 0:
            route = prefixes.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind("/", 0, end)
        return None

    def rates(self) -> dict[str, tuple[float, float]]:
        """Returns rate and burst of each workspace with a rate limit."""
        return {
            workspace.name: (workspace.rate_per_second, workspace.burst)
            for workspace in self.by_name.values()
            if workspace.rate_per_second > 0
        }
