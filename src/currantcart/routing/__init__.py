"""Choice of a target among those of a service."""
