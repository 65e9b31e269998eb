"""Load shedding at the ingress, by the pressure on services further down."""

from __future__ import annotations

from collections.abc import Callable

from currantcart.admission import fair_share, pressure
from currantcart.proxy import context as proxy_context
from currantcart.proxy.requests import call as call_module
from currantcart.workspace import usage

CALLED_MS = 3_000.0
"""Time for which a service counts as called by the local target."""


class IngressShedder:
    """Sheds root requests at the node that receives them.

    Attributes:
      called: Services that the local target calls, with the time of the last
        call.
      divider: Shares of the workspaces in saturated services.
      shedder: Decides what is shed, by route and saturated service.
    """

    def __init__(
        self,
        context: proxy_context.Context,
        *,
        pressure_on: Callable[[str], pressure.Pressure],
        usage_on: Callable[[str], dict[int, usage.Demand]],
    ) -> None:
        self.context = context
        self.pressure_on = pressure_on
        self.called: dict[str, float] = {}
        self.divider = fair_share.Divider(
            tracked=context.settings.fair_shares.workspaces_tracked,
            reported=usage_on,
            weight_of=self.weight_of,
        )
        self.shedder = pressure.Shedder(context.rng, divider=self.divider)

    def weight_of(self, workspace: str) -> float:
        """Returns the weight of a workspace in fair shares."""
        catalog = self.context.catalog
        return 1.0 if catalog is None else catalog.weight_of(workspace)

    def shed_by(self, call: call_module.Call) -> str:
        """Returns the saturated service that a request is shed for.

        The text is empty when the request is admitted.
        """
        request = call.request
        call.levels = self.pressure_on(call.service)
        if not call.levels:
            return ""
        shed_for = self.shedder.shed_for(
            route=request.route.name,
            service=call.service,
            rank=request.priority,
            levels=call.levels,
            now=self.context.now,
            workspace=call.lineage.workspace,
        )
        if shed_for and call.lineage.workspace:
            self.record_above_share(call, shed_for)
        return shed_for

    def record_above_share(self, call: call_module.Call, service: str) -> None:
        """Logs and counts a request shed from a workspace above its share."""
        request = call.request
        shares = self.divider.known_shares(service, request.priority)
        excess = 0.0 if shares is None else shares.excess(request.workspace)
        if shares is None or excess <= 1.0:
            return
        self.context.counts.add("fair_shed", service)
        self.context.counts.observe("fair_shed_excess", excess * 1e3)
        self.context.log.event(
            "shed_above_share",
            id=request.request_id,
            workspace=request.workspace,
            service=service,
            rank=request.priority,
            share=round(shares.share_of(request.workspace), 2),
            usage=round(shares.usage[request.workspace], 2),
        )

    def gauges(self) -> dict[str, Callable[[], dict[str, float]]]:
        """Returns the metrics of the shares, read on each scrape."""
        return {
            "fair_share_excess": lambda: self.divider.largest_excess(
                self.context.now
            )
        }

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
