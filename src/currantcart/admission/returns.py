"""When a caller that was refused is told to come back.

What is refused is refused for a moment's surplus of demand; the next moment
has room, or the demand stays too high and every moment is as good as another.
So a caller is best told the latest moment at which its answer would still
meet the latency objective. Told the moment at which the next token is due, all
that were refused come back into the same surplus and spend the one return
that they have.
"""

from __future__ import annotations

WAIT_OF_OBJECTIVE = 0.4
"""Part of the latency objective that a refused caller waits.

With more, answers to those that return are late; with less, fewer of them
find room.
"""
WAIT_MS_MAX = 2_000.0


def return_after_ms(*, objective_ms: float, least_ms: float = 0.0) -> float:
    """Returns when a refused request may come back.

    Args:
      objective_ms: Latency objective of its route.
      least_ms: Time before which it would surely be refused again.
    """
    wait = max(WAIT_OF_OBJECTIVE * objective_ms, least_ms)
    return min(WAIT_MS_MAX, wait)
