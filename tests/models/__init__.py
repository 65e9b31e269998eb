"""Model checks: every short order of events, or many generated ones."""
