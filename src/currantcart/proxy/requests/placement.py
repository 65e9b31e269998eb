"""Selects the target of a request by its expected completion."""

from __future__ import annotations

from currantcart.proxy import context as proxy_context
from currantcart.proxy.requests import call as call_module
from currantcart.proxy.requests import moves, suspects
from currantcart.proxy.streams import reachability
from currantcart.routing import completion, estimates, picker, speed

FAR_IF_SPEEDS_DIFFER = 6
"""Targets of other domains sampled where the targets differ in speed.

Fast ones may be few, and three of another domain often include none.
"""
RATIO_UNIT = 1_000.0
"""Histograms count in thousandths."""


class Placement:
    """Selection of targets for the requests of one node.

    Attributes:
      picker: Selects among candidates.
      by_service: What is expected of the requests to each service.
    """

    def __init__(self, context: proxy_context.Context) -> None:
        settings = context.settings
        self.context = context
        self.picker = picker.Picker(
            instance=settings.instance,
            failure_domain=settings.failure_domain,
            rng=context.rng,
        )
        self.by_service: dict[str, estimates.Estimates] = {}

    def choose(
        self, call: call_module.Call, reachable: reachability.Reachability
    ) -> picker.Target | None:
        """Returns the target for the next attempt of a request.

        Args:
          call: The request.
          reachable: Targets that can be reached.

        Returns:
          The target; None if there is none.
        """
        now = self.context.now
        suspected = suspects.choose(
            self.context, call, reachable.reachable(call.service)
        )
        if suspected is not None:
            call.expected_ms = 0.0
            return suspected
        forecast = None
        far_max = reachability.CANDIDATES_FAR
        if self.context.settings.placement.by_completion:
            expected = self.estimates_of(call.service, reachable, now)
            if expected.speeds.differ:
                far_max = FAR_IF_SPEEDS_DIFFER
            forecast = forecast_of(call, expected, now)
        chosen = self.picker.choose(
            moves.candidates(
                reachable,
                call,
                now=now,
                rng=self.context.rng,
                far_max=far_max,
            ),
            now=now,
            exclude=call.tried_instances,
            objective_ms=call.request.route.objective_ms,
            forecast=forecast,
        )
        call.expected_ms = 0.0
        if chosen is not None and forecast is not None:
            self.record_choice(call, chosen, forecast, now)
        return chosen

    def estimates_of(
        self, service: str, reachable: reachability.Reachability, now: float
    ) -> estimates.Estimates:
        """Returns what is expected of a service, of the last 250 ms."""
        expected = self.by_service.get(service)
        if expected is None:
            expected = self.by_service[service] = estimates.Estimates()
        if expected.is_due(now):
            changes = expected.compare(
                (
                    speed.Report(
                        target.instance, target.work_by_kind, target.slow_now
                    )
                    for target in reachable.by_service.get(service, ())
                    if target.ready
                ),
                now,
            )
            for change in changes:
                self.context.log.event(
                    "target_speed",
                    service=service,
                    peer=change.instance,
                    slowness=round(change.slowness, 2),
                    before=round(change.before, 2),
                )
        return expected

    def record_choice(
        self,
        call: call_module.Call,
        chosen: picker.Target,
        forecast: completion.Forecast,
        now: float,
    ) -> None:
        """Records what is expected of a request at the chosen target."""
        call.placed_at = now
        call.expected_ms = chosen.expected_ms(forecast, now)
        call.expects_wait = chosen.load() >= 1.0
        counts = self.context.counts
        counts.add("placed", call.service, self.place_of(chosen))
        counts.observe(
            "placed_slowness",
            RATIO_UNIT * chosen.slowness(forecast, now),
            call.service,
        )

    def place_of(self, target: picker.Target) -> str:
        """Returns how near a target is: `own`, `near` or `far`."""
        if target.instance == self.picker.instance:
            return "own"
        near = target.failure_domain == self.picker.failure_domain
        return "near" if near else "far"

    def record_end(self, call: call_module.Call, *, answered: bool) -> None:
        """Learns from the time of a request how much times vary.

        A wait for a slot would count as variation of the work, so only
        requests are taken that found a free one.

        Args:
          call: The request, before its attempt is ended.
          answered: Whether its target answered it; otherwise its time ended.
        """
        expected = self.by_service.get(call.service)
        if expected is None or not call.expected_ms or call.expects_wait:
            return
        expected.record(
            call.request.route.name,
            actual_ms=self.context.now - call.placed_at,
            expected_ms=call.expected_ms,
            answered=answered,
        )


def forecast_of(
    call: call_module.Call, expected: estimates.Estimates, now: float
) -> completion.Forecast | None:
    """Returns what is known of a request; None if its work is not known."""
    request = call.request
    objective_at = request.head_received_at + request.route.objective_ms
    return expected.forecast(
        request.route.name,
        objective_ms=objective_at - now,
        left_ms=call.expires_at - now,
        priority=request.priority,
    )
