"""The service graph: services, dependencies, importance and call time-outs."""
