"""Warm-up of the local target: its length, and what the target bears."""

from __future__ import annotations

import math

from currantcart.admission import slow_start
from currantcart.catalog import model as catalog_model
from currantcart.http1 import pool
from currantcart.proxy import context as proxy_context
from currantcart.proxy.targets import cold_check

ASSUMED_COLD_MS = 3_000.0
"""Warm-up assumed while the service's own is not known."""


class WarmUp:
    """What is known of the target's warm-up.

    Attributes:
      slow_start: Bound on the requests that the target gets while it is cold.
      assumed_for: Id of the target that is taken as cold without knowing it;
        None if the warm-up is known.
      check: Asks the target whether it is cold.
    """

    def __init__(
        self, context: proxy_context.Context, *, connections: pool.Pool
    ) -> None:
        self.context = context
        self.slow_start = slow_start.SlowStart(started_at=context.now)
        self.assumed_for: str | None = None
        self.check = cold_check.ColdCheck(
            context, connections=connections, on_known=self.set_remaining
        )
        self.configure()

    def configure(self) -> None:
        """Applies the limit for a cold target of a new configuration.

        Before the first one the service's rate is not known, and the slack is
        all that a cold target may get in any case.
        """
        service = self.service()
        bounds = self.context.settings.bounds
        if self.context.catalog is None:
            self.slow_start.limit = max(1.0, bounds.cold_slack - 1.0)
            return
        self.slow_start.limit = slow_start.requests_per_second(
            service.cold_rate if service else 0.0,
            overshoot=bounds.cold_overshoot,
            slack=bounds.cold_slack,
        )
        if self.assumed_for is not None:
            # The path of the health resource may be known only now.
            self.assume_cold(self.assumed_for)

    def service(self) -> catalog_model.Service | None:
        """Returns the target's service; None while it is not configured."""
        catalog = self.context.catalog
        if catalog is None:
            return None
        return catalog.services.get(self.context.settings.service)

    def assume_cold(self, target_id: str) -> None:
        """Treats the target as cold until it is known whether it is.

        It may have become cold without a report of it so far. It is asked, and
        its next report tells as well.

        Args:
          target_id: Id of the target.
        """
        service = self.service()
        self.set_remaining(service.cold_ms if service else ASSUMED_COLD_MS)
        self.assumed_for = target_id
        if service and self.slow_start.is_limited(self.context.now):
            self.check.start(service.health_path, target_id)

    def set_remaining(self, cold_ms: float) -> None:
        """Sets the remaining warm-up of the target, in milliseconds."""
        self.assumed_for = None
        self.slow_start.cold_until = self.context.now + cold_ms

    def remaining_ms(self) -> float:
        """Returns the remaining warm-up of the target, in milliseconds."""
        return max(0.0, self.slow_start.cold_until - self.context.now)

    def rate_limit(self) -> float:
        """Returns the requests per second that the target bears for now.

        Infinite if it is warm or its service states no limit for a cold one.
        """
        if not self.slow_start.is_limited(self.context.now):
            return math.inf
        return self.slow_start.limit
