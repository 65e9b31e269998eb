"""Publishes a node's status and counts to its peers, at a bounded pace."""

from __future__ import annotations

from collections.abc import Callable, Iterable

from currantcart.proxy import context as proxy_context
from currantcart.proxy.streams import frames, link

STATUS_MS = 400.0
STATUS_MS_PER_PEER = 6.0
"""Added to the pace for each peer beyond a few: a node's cost stays bounded."""
SMALL_FLEET = 12
COUNTS_MS = 45.0
COUNTS_MS_PER_PEER = 0.5
"""Added to the interval between two updates of expedited counts.

Between two updates each node admits on its own, so a workspace near its limit
may exceed it by what arrives in the meantime.
"""


def status_pace_ms(peers: int) -> float:
    """Returns the time between two statuses of a node with so many peers."""
    return STATUS_MS + STATUS_MS_PER_PEER * max(0, peers - SMALL_FLEET)


def counts_pace_ms(peers: int) -> float:
    """Returns the time between two updates of expedited counts."""
    return COUNTS_MS + COUNTS_MS_PER_PEER * peers


class Publisher:
    """Publishes this node's status, and between statuses expedited counts.

    Attributes:
      published_at: When the last status was sent.
      expedited_at: When expedited counts were last due.
    """

    def __init__(
        self,
        context: proxy_context.Context,
        *,
        introduced: Callable[[], Iterable[link.Link]],
        peer_count: Callable[[], int],
        status: Callable[[link.Link], frames.Status],
        expedited: Callable[[], dict[str, int]],
    ) -> None:
        """Sets it up.

        Args:
          context: What the parts of the node share.
          introduced: Returns one stream to each peer.
          peer_count: Returns how many peers are known.
          status: Returns the status for a stream.
          expedited: Returns counts that can't wait for the next status.
        """
        self.context = context
        self.introduced = introduced
        self.peer_count = peer_count
        self.status = status
        self.expedited = expedited
        self.published_at = 0.0
        self.expedited_at = 0.0

    def publish(self) -> None:
        """Sends all peers this node's status now."""
        self.published_at = self.context.now
        for item in self.introduced():
            item.send_status(self.status(item))

    def tick(self, now: float) -> None:
        """Sends what is due."""
        count = self.peer_count()
        self.context.pace_ms = status_pace_ms(count)
        if now - self.published_at >= self.context.pace_ms:
            self.publish()
        if now - self.expedited_at >= counts_pace_ms(count):
            self.expedited_at = now
            self.publish_counts(self.expedited())

    def publish_counts(self, counts: dict[str, int]) -> None:
        """Sends all peers the counts that have changed."""
        if not counts:
            return
        for item in self.introduced():
            changed = item.unpublished(counts)
            if changed:
                item.send(frames.Counts(changed))
