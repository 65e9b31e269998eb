"""Load shedding at the ingress, by the pressure on services further down."""

from __future__ import annotations

from collections.abc import Callable

from currantcart.admission import pressure
from currantcart.proxy import context as proxy_context
from currantcart.proxy.requests import call as call_module

CALLED_MS = 3_000.0
"""Time for which a service counts as called by the local target."""


class IngressShedder:
    """Sheds root requests at the node that receives them.

    Attributes:
      called: Services that the local target calls, with the time of the last
        call.
      shedder: Decides what is shed, by route and saturated service.
    """

    def __init__(
        self,
        context: proxy_context.Context,
        *,
        pressure_on: Callable[[str], pressure.Pressure],
    ) -> None:
        self.context = context
        self.pressure_on = pressure_on
        self.called: dict[str, float] = {}
        self.shedder = pressure.Shedder(context.rng)

    def shed_by(self, call: call_module.Call) -> str:
        """Returns the saturated service that a request is shed for.

        The text is empty when the request is admitted.
        """
        request = call.request
        call.levels = self.pressure_on(call.service)
        if not call.levels:
            return ""
        return self.shedder.shed_for(
            route=request.route.name,
            service=call.service,
            rank=request.priority,
            levels=call.levels,
            now=self.context.now,
        )

    def record_end(self, call: call_module.Call, *, failed: bool) -> None:
        """Records the result of an admitted request."""
        if call.levels:
            self.shedder.record_end(
                route=call.request.route.name,
                levels=call.levels,
                failed=failed,
                now=self.context.now,
            )

    def record_called(self, service: str) -> None:
        """Records that the local target calls a service."""
        self.called[service] = self.context.now

    def called_pressure(self) -> pressure.Pressure:
        """Returns the pressure on the services that the local target calls."""
        recent = self.context.now - CALLED_MS
        own = self.context.settings.service
        levels = pressure.highest_levels(
            self.pressure_on(service)
            for service, at in self.called.items()
            if at > recent and service != own
        )
        levels.pop(own, None)
        return levels
