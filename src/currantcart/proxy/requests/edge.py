"""Shedding where a request begins, by how full the services below it are."""

from __future__ import annotations

from collections.abc import Callable

from currantcart.admission import pressure
from currantcart.proxy import context as proxy_context
from currantcart.proxy.requests import call as call_module

CALLED_MS = 3_000.0
"""Time for which a service counts as called by the own target."""


class Edge:
    """One node's shedding of the requests that begin at it.

    Attributes:
      called: Services that the own target calls, and when it did last.
      shedder: What has to go, by route and service below.
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
        """Returns the service that has no room for a request, or nothing."""
        request = call.request
        call.levels = self.pressure_on(call.service)
        if not call.levels:
            return ""
        return self.shedder.shed_by(
            route=request.route.name,
            service=call.service,
            rank=request.priority,
            levels=call.levels,
            now=self.context.now,
        )

    def note_end(self, call: call_module.Call, *, failed: bool) -> None:
        """Takes how a request ended that was let through."""
        if call.levels:
            self.shedder.note_end(
                route=call.request.route.name,
                levels=call.levels,
                failed=failed,
                now=self.context.now,
            )

    def note_called(self, service: str) -> None:
        """Takes that the own target calls a service."""
        self.called[service] = self.context.now

    def called_pressure(self) -> pressure.Pressure:
        """Returns how full the services are that the own target calls."""
        recent = self.context.now - CALLED_MS
        own = self.context.settings.service
        levels = pressure.strongest(
            self.pressure_on(service)
            for service, at in self.called.items()
            if at > recent and service != own
        )
        levels.pop(own, None)
        return levels
