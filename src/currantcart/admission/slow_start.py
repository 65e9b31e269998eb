"""Slow start of a cold target: bounds the requests that it gets in a second.

A target that has just started crashes under the load that a warm one carries.
Its callers would then find it refusing connections, and flood it again as soon
as it is back. So the node beside it, through which all requests pass, bounds
what it sends in any one second, whatever the fleet sends.
"""

from __future__ import annotations

import collections
import math

WINDOW_MS = 1_000.0
TRANSIT_MS = 50.0
"""Added to the window: a request may reach the target later than it is sent,
and then falls into the same second as those that are sent after it."""


class SlowStart:
    """Requests that a target may get while it is cold.

    Attributes:
      limit: Requests in any one second; infinite if the service has no limit.
      cold_until: End of the warm-up, on the node's clock.
      not_before: Earliest request to a cold target. What an earlier process of
        this node sent in the last second is not known.
      sent_at: Times of the requests in the last second, the oldest first.
    """

    def __init__(self, *, started_at: float) -> None:
        self.limit = math.inf
        self.cold_until = 0.0
        self.not_before = started_at + WINDOW_MS + TRANSIT_MS
        self.sent_at: collections.deque[float] = collections.deque()

    def is_limited(self, now: float) -> bool:
        """Returns whether the target is cold and its service has a limit."""
        return now < self.cold_until and self.limit < math.inf

    def record(self, now: float) -> None:
        """Counts a request that is sent to the target."""
        if self.limit == math.inf:
            return
        self.sent_at.append(now)
        self.expire(now)

    def expire(self, now: float) -> None:
        """Removes the requests that are older than the window."""
        while self.sent_at and now - self.sent_at[0] >= WINDOW_MS + TRANSIT_MS:
            self.sent_at.popleft()

    def wait_ms(self, now: float) -> float:
        """Returns the time until another request may be sent, in ms."""
        if not self.is_limited(now):
            return 0.0
        self.expire(now)
        wait = max(0.0, self.not_before - now)
        over = len(self.sent_at) - math.floor(self.limit)
        if over >= 0:
            blocking = self.sent_at[min(over, len(self.sent_at) - 1)]
            wait = max(wait, blocking + WINDOW_MS + TRANSIT_MS - now)
        return min(wait, self.cold_until - now)


def requests_per_second(
    rate_per_second: float, *, overshoot: float, slack: float
) -> float:
    """Returns how many requests a cold target may get in any one second.

    Args:
      rate_per_second: Rate that the service declares for a cold target; 0
        means no limit.
      overshoot: Multiple of that rate that the deployment allows.
      slack: Requests that it allows beyond that.
    """
    if rate_per_second <= 0:
        return math.inf
    return max(1.0, rate_per_second * overshoot + slack - 1.0)
