"""State of the local target and freshness of the configuration."""
