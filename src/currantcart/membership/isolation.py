"""Detection of isolation, in which a node may miss withdrawals of keys.

A node that receives nothing from the store or any peer cannot know that a key
was withdrawn, and neither can one that resumes after a pause. After a time
limit the node refuses root calls until the store or a peer is heard from again.
"""

from __future__ import annotations

ISOLATION_TIMEOUT_MS = 12_000.0


class Isolation:
    """Tracks when this node last received anything from the store or a peer.

    Attributes:
      last_received_ms: When the store or a peer was last heard from.
      had_peers: Whether a peer was ever heard from. A fleet of one node has
        no peers, and an outage of the store must not end its service.
    """

    def __init__(self, *, now: float) -> None:
        self.last_received_ms = now
        self.had_peers = False

    def on_store_answer(self, now: float) -> None:
        """Records an answer of the store."""
        self.last_received_ms = now

    def on_datagram(self, now: float) -> None:
        """Records a datagram from a peer."""
        self.last_received_ms = now
        self.had_peers = True

    def is_isolated(self, now: float) -> bool:
        """Returns whether nothing was received for longer than the limit."""
        return (
            self.had_peers
            and now - self.last_received_ms > ISOLATION_TIMEOUT_MS
        )
