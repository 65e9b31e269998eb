"""The service graph: services, dependencies, importance and patience."""
