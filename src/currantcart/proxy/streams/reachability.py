"""Which targets can be reached now, and how full they say they are."""

from __future__ import annotations

from collections.abc import Callable

from currantcart.admission import pressure
from currantcart.proxy import context as proxy_context
from currantcart.proxy.streams import link
from currantcart.routing import picker

PRESSURE_MS = 40.0
REACHED_MS = 25.0
CANDIDATES_ALL = 8
CANDIDATES_NEAR = 5
CANDIDATES_FAR = 3
"""Targets that are weighed for one request of a large service.

The least loaded of a few drawn is nearly as good as the least of all, and
nodes that all know the same least one don't send it everything.
"""
FORWARDED = 0.9
"""Part of a level that is left when a service that nobody here reaches is
passed on; it makes a level that goes in a circle die out.
"""


class Reachability:
    """What one node can reach.

    Attributes:
      own: The own target.
      by_service: All targets that are known; whoever made this changes it.
      link_to: Returns the stream on which calls to a peer can be opened.
    """

    def __init__(
        self,
        context: proxy_context.Context,
        *,
        own: picker.Target,
        by_service: dict[str, list[picker.Target]],
        link_to: Callable[[str], link.Link | None],
    ) -> None:
        self.context = context
        self.own = own
        self.by_service = by_service
        self.link_to = link_to
        self.pressures: dict[str, tuple[float, pressure.Pressure]] = {}
        self.reached: dict[str, tuple[float, list[picker.Target]]] = {}

    def forget(self) -> None:
        """Drops what was kept, for a target or a stream has changed."""
        self.reached.clear()

    def reachable(self, service: str) -> list[picker.Target]:
        """Returns the targets of a service that can be reached now.

        Those whose peers owe a sign of life are left out, unless there are
        no others. The list is kept for a moment, unless a target or a stream
        changes: going through all streams for each request costs more than
        routing it.
        """
        now = self.context.now
        at, kept = self.reached.get(service, (0.0, []))
        if now - at < REACHED_MS:
            return kept
        found: list[picker.Target] = []
        quiet: list[picker.Target] = []
        for target in self.by_service.get(service, ()):
            if target is self.own:
                found.append(target)
            elif target.ready and (way := self.link_to(target.instance)):
                (quiet if way.is_quiet(now) else found).append(target)
        if not any(target.ready for target in found):
            found += quiet
        self.reached[service] = (now, found)
        return found

    def candidates(self, service: str) -> list[picker.Target]:
        """Returns the targets to choose from: those near, and some others."""
        found = self.reachable(service)
        if len(found) <= CANDIDATES_ALL:
            return found
        domain = self.own.failure_domain
        near = [item for item in found if item.failure_domain == domain]
        far = [item for item in found if item.failure_domain != domain]
        rng = self.context.rng
        return (
            rng.sample(near, min(len(near), CANDIDATES_NEAR))
            + rng.sample(far, min(len(far), CANDIDATES_FAR))
            + ([self.own] if service == self.own.service else [])
        )

    def pressure_on(self, service: str) -> pressure.Pressure:
        """Returns how full a service and those it calls are."""
        now = self.context.now
        at, levels = self.pressures.get(service, (0.0, {}))
        if now - at < PRESSURE_MS:
            return levels
        levels = {}
        for name, level in self.reported_levels(service).items():
            direct = level if name == service else self.own_level(name)
            heard = level * FORWARDED if direct is None else direct
            if heard >= pressure.LEAST:
                levels[name] = heard
        self.pressures[service] = (now, levels)
        return levels

    def own_level(self, service: str) -> float | None:
        """Returns what a service's targets say of themselves, if any do.

        It goes before what others pass on: where services call each other in
        a circle, a level that is passed on would come back and never fall.
        """
        if not self.reachable(service):
            return None
        return self.reported_levels(service).get(service, 0.0)

    def reported_levels(self, service: str) -> pressure.Pressure:
        """Returns the levels that a service's targets tell, as a mean."""
        return pressure.mean(
            (target.limit, target.pressure)
            for target in self.reachable(service)
        )
