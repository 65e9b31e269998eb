"""Stand-ins for the platform's store and for targets."""
