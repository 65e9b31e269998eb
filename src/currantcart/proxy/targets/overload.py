"""Overload of the local target, as reported to the nodes of its callers."""

from __future__ import annotations

from collections.abc import Callable

from currantcart.admission import pressure, slots
from currantcart.proxy import context as proxy_context
from currantcart.proxy.targets import job as job_module

OBJECTIVE_MS = 300.0
"""Latency objective assumed before the first request."""
OBJECTIVE_SMOOTHING = 0.02
"""Weight of each request's objective in the moving average."""


class Overload:
    """Overload level of one target.

    Attributes:
      queue: The target's slots and the queue of requests that wait for one.
      gauge: Overload level of the target.
      objective_ms: Moving average of the requests' latency objectives.
      called_pressure: Returns the pressure of the services that the target
        calls; set by the node.
    """

    def __init__(
        self,
        context: proxy_context.Context,
        *,
        queue: slots.SlotQueue[job_module.Job],
    ) -> None:
        self.context = context
        self.queue = queue
        self.gauge = pressure.Gauge()
        self.objective_ms = OBJECTIVE_MS
        self.called_pressure: Callable[[], pressure.Pressure] = dict

    def record_objective(self, objective_ms: float) -> None:
        """Adds a request's latency objective to the moving average."""
        self.objective_ms += OBJECTIVE_SMOOTHING * (
            objective_ms - self.objective_ms
        )

    def pressure(self) -> pressure.Pressure:
        """Returns the overload of the target and of the services it calls."""
        local: pressure.Pressure = {}
        if self.gauge.level >= pressure.LEVEL_MIN:
            local[self.context.settings.service] = round(self.gauge.level, 3)
        return pressure.highest_levels([local, self.called_pressure()])

    def update(self, *, in_use: bool) -> bool:
        """Updates the overload level.

        Args:
          in_use: Whether the target gets requests. The load of one that gets
            none, or has not answered yet, is unknown and must not count.

        Returns:
          Whether the change is large enough to be published at once.
        """
        if not (in_use and self.queue.rate.is_known):
            self.gauge.level = 0.0
            return False
        before = self.gauge.level
        changed = self.gauge.update(
            wait_ms=self.queue.slot_wait_ms(slots.CALLS_PRIORITY),
            objective_ms=self.objective_ms,
            utilization=self.utilization(),
            now=self.context.now,
        )
        if changed or (before > 0) != (self.gauge.level > 0):
            self.context.log.event(
                "pressure",
                level=round(self.gauge.level, 2),
                **self.queue.load(),
                service_ms=round(self.queue.occupancy.mean_ms()),
                objective_ms=round(self.objective_ms),
            )
        return changed

    def utilization(self) -> float:
        """Returns the used share of the target's slots, or 1 at its rate."""
        if self.queue.rate.wait_ms(self.context.now):
            return 1.0
        return self.queue.running / max(1, self.queue.slots)
