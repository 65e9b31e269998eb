"""Membership of the fleet: failure detection and gossip as in SWIM."""
