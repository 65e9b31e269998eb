"""Admission at a target's node: queue, limit, shedding; throttle at the edge."""
