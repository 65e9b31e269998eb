"""Smoothed times from the grant of a token to the response, by route."""

from __future__ import annotations

import dataclasses

MEAN_WEIGHT = 0.125
DEVIATION_WEIGHT = 0.25
DEVIATIONS = 2.0
"""Mean deviations above the mean that the estimate leaves for the work."""
UNKNOWN_OF_OBJECTIVE = 0.5
ROUTES_MAX = 256


@dataclasses.dataclass(slots=True)
class Smoothed:
    """Moving average and mean deviation of a time.

    Attributes:
      mean: Mean, in ms.
      deviation: Mean absolute deviation, in ms.
    """

    mean: float
    deviation: float

    def record(self, milliseconds: float) -> None:
        """Records a time."""
        error = milliseconds - self.mean
        self.mean += MEAN_WEIGHT * error
        self.deviation += DEVIATION_WEIGHT * (abs(error) - self.deviation)


class ResponseTimes:
    """Times to a response of the routes of one node.

    Attributes:
      by_route: Times by route name, the least recently added first.
    """

    def __init__(self) -> None:
        self.by_route: dict[str, Smoothed] = {}

    def record(self, route: str, milliseconds: float) -> None:
        """Records the time that a response took."""
        known = self.by_route.get(route)
        if known is not None:
            known.record(milliseconds)
            return
        if len(self.by_route) >= ROUTES_MAX:
            del self.by_route[next(iter(self.by_route))]
        self.by_route[route] = Smoothed(milliseconds, milliseconds / 2.0)

    def estimate(self, route: str, objective_ms: float) -> float:
        """Returns the time to leave for the work of a request, in ms."""
        known = self.by_route.get(route)
        if known is None:
            return UNKNOWN_OF_OBJECTIVE * objective_ms
        return known.mean + DEVIATIONS * known.deviation
