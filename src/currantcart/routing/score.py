"""Cost of sending one more call to a target; the lowest cost wins.

The cost of utilization rises in three ranges, like the marginal costs in
"Content-aware Load Balancing for Distributed Backup", section 4.1: slowly,
then faster, then steeply where the target is over its limit. So the distance
between failure domains decides among targets with spare capacity, and matters
little for a target near its limit.
"""

from __future__ import annotations

UTILIZATION_LOW = 0.8
UTILIZATION_FULL = 1.0
SLOPE_LOW = 1.0
SLOPE_HIGH = 6.0
SLOPE_OVER = 30.0
DISTANCE_COST_DOMAIN = 0.35
DISTANCE_COST_REGION = 3.0
SHEDDING_COST = 20.0


def utilization_cost(utilization: float) -> float:
    """Returns the cost of a utilization; 1 is the target's limit."""
    cost = SLOPE_LOW * min(utilization, UTILIZATION_LOW)
    if utilization > UTILIZATION_LOW:
        cost += SLOPE_HIGH * (
            min(utilization, UTILIZATION_FULL) - UTILIZATION_LOW
        )
    if utilization > UTILIZATION_FULL:
        cost += SLOPE_OVER * (utilization - UTILIZATION_FULL)
    return cost


def ramp_share(age_ms: float, *, ramp_ms: float) -> float:
    """Returns the share of its limit that a new target may use."""
    if ramp_ms <= 0 or age_ms >= ramp_ms:
        return 1.0
    return max(0.1, age_ms / ramp_ms)


def distance_cost(*, same_domain: bool, same_region: bool) -> float:
    """Returns the cost of the distance to a target."""
    if same_domain:
        return 0.0
    if same_region:
        return DISTANCE_COST_DOMAIN
    return DISTANCE_COST_REGION
