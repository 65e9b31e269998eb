"""Whether this node may be missing withdrawals of keys.

A node that hears neither the store nor any peer cannot know of a withdrawal,
and neither can one that was paused and goes on. After a bound it refuses root
calls until it hears of either again.
"""

from __future__ import annotations

ISOLATED_MS = 12_000.0


class Isolation:
    """When this node last heard from anyone.

    Attributes:
      heard_ms: Last word of the store or of a peer.
      had_peers: Whether there has ever been a peer. A fleet of one node has
        none to miss, and an outage of the store must not end its service.
    """

    def __init__(self, *, now: float) -> None:
        self.heard_ms = now
        self.had_peers = False

    def heard_store(self, now: float) -> None:
        """Notes an answer of the store."""
        self.heard_ms = now

    def heard_peer(self, now: float) -> None:
        """Notes a datagram of a peer."""
        self.heard_ms = now
        self.had_peers = True

    def is_isolated(self, now: float) -> bool:
        """Tells whether withdrawals may have been missed for too long."""
        return self.had_peers and now - self.heard_ms > ISOLATED_MS
