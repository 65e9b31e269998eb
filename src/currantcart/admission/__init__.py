"""Admission control: queues, limits, load shedding, ingress throttling."""
