"""Admission at a target: queue, limit, shedding; throttle at the edge."""
