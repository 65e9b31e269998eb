"""Publishes a node's status and counts to its peers, at a bounded rate."""

from __future__ import annotations

from collections.abc import Callable, Iterable

from currantcart.proxy import context as proxy_context
from currantcart.proxy.streams import frames, framing, link

STATUS_MS = 400.0
STATUS_MS_PER_PEER = 6.0
"""Added to the interval per peer beyond `SMALL_FLEET`; bounds a node's cost."""
SMALL_FLEET = 12
COUNTS_MS = 45.0
COUNTS_MS_PER_PEER = 0.5
"""Added to the interval between two updates of expedited counts.

Between two updates each node admits on its own, so a workspace near its limit
may exceed it by what arrives in the meantime.
"""


def status_interval_ms(peers: int) -> float:
    """Returns the time between two statuses of a node with so many peers."""
    return STATUS_MS + STATUS_MS_PER_PEER * max(0, peers - SMALL_FLEET)


def counts_interval_ms(peers: int) -> float:
    """Returns the time between two updates of expedited counts."""
    return COUNTS_MS + COUNTS_MS_PER_PEER * peers


class Publisher:
    """Publishes this node's status, and between statuses expedited counts.

    Attributes:
      published_at: When the last status was sent.
      expedited_at: When expedited counts were last due.
      expedited_counts: Expedited counts that were last sent.
    """

    def __init__(
        self,
        context: proxy_context.Context,
        *,
        introduced_links: Callable[[], Iterable[link.Link]],
        peer_count: Callable[[], int],
        status: Callable[[link.Link], frames.Status],
        expedited: Callable[[], dict[str, int]],
    ) -> None:
        """Initializes the publisher.

        Args:
          context: Shared state of the node.
          introduced_links: Returns one stream to each peer.
          peer_count: Returns how many peers are known.
          status: Returns the status for a stream.
          expedited: Returns the counts to send before the next status.
        """
        self.context = context
        self.introduced_links = introduced_links
        self.peer_count = peer_count
        self.status = status
        self.expedited = expedited
        self.published_at = 0.0
        self.expedited_at = 0.0
        self.expedited_counts: dict[str, int] = {}

    def publish(self) -> None:
        """Sends this node's status to all peers now."""
        self.published_at = self.context.now
        for item in self.introduced_links():
            item.send_status(self.status(item))

    def tick(self, now: float) -> None:
        """Sends the status and the expedited counts if they are due."""
        count = self.peer_count()
        self.context.status_interval_ms = status_interval_ms(count)
        if now - self.published_at >= self.context.status_interval_ms:
            self.publish()
        if now - self.expedited_at >= counts_interval_ms(count):
            self.expedited_at = now
            self.publish_counts(self.expedited())

    def publish_counts(self, counts: dict[str, int]) -> None:
        """Sends the counts that have changed to all peers.

        A peer that is introduced later gets all counts with its first status.
        """
        changed = {
            name: count
            for name, count in counts.items()
            if self.expedited_counts.get(name) != count
        }
        if not changed:
            return
        self.expedited_counts.update(changed)
        encoded = framing.encode_frame(frames.Counts(changed))
        for item in self.introduced_links():
            item.send_encoded(encoded)
