"""Retry delay that is sent to refused callers.

A request is refused because demand exceeds capacity at that moment. Either
capacity is free again soon, or demand stays too high and no later moment is
better than another. A caller is therefore asked to retry as late as its
response can still meet the latency objective. If it were sent the time at which
the next token is due, all refused callers would retry into the same excess and
use up their one retry.
"""

from __future__ import annotations

WAIT_OF_OBJECTIVE = 0.4
"""Share of the latency objective that a refused caller waits.

With a larger share, responses to retries are late; with a smaller one, more
retries are refused again.
"""
WAIT_MS_MAX = 2_000.0


def delay_ms(*, objective_ms: float, least_ms: float = 0.0) -> float:
    """Returns the delay after which a refused request may be retried, in ms.

    Args:
      objective_ms: Latency objective of the route.
      least_ms: Delay before which a retry would be refused for certain.
    """
    wait = max(WAIT_OF_OBJECTIVE * objective_ms, least_ms)
    return min(WAIT_MS_MAX, wait)
