"""Publishes a node's status and counts to its peers, at a bounded rate."""

from __future__ import annotations

from collections.abc import Callable, Iterable

from currantcart.fleet import digest
from currantcart.proxy import context as proxy_context
from currantcart.proxy.streams import frames, framing, link
from currantcart.proxy.streams import relay as relay_module

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
DUE_TICKS = 2
"""Ticks between two checks of which relays need a status."""
CALLS_TICKS = 4
"""Ticks between two checks of which streams with calls need a status."""


def status_interval_ms(peers: int) -> float:
    """Returns the time between two statuses of a node with so many peers."""
    return STATUS_MS + STATUS_MS_PER_PEER * max(0, peers - SMALL_FLEET)


def counts_interval_ms(peers: int) -> float:
    """Returns the time between two updates of expedited counts."""
    return COUNTS_MS + COUNTS_MS_PER_PEER * peers


class Publisher:
    """Publishes this node's status, and between statuses expedited counts.

    Attributes:
      ticks: Ticks in a fleet with relays.
      published_at: When the last status was sent.
      expedited_at: When expedited counts were last due.
      expedited_counts: Expedited counts that were last sent.
    """

    def __init__(
        self,
        context: proxy_context.Context,
        *,
        introduced_links: Callable[[], Iterable[link.Link]],
        told_links: Callable[[], Iterable[link.Link]],
        dialled_links: Callable[[], Iterable[link.Link]],
        relay: relay_module.Relay,
        peer_count: Callable[[], int],
        status: Callable[[link.Link], frames.Status],
        counts: Callable[[link.Link], frames.Counts],
    ) -> None:
        """Initializes the publisher.

        Args:
          context: Shared state of the node.
          introduced_links: Returns one stream to each peer.
          told_links: In a fleet with relays, returns one stream to each peer
            that gets all statuses and counts.
          dialled_links: Returns the streams that this node has dialled.
          relay: Says whether there are relays, and whether this node is one.
          peer_count: Returns how many peers are known.
          status: Returns the status for a stream.
          counts: Returns all counts that a stream lacks.
        """
        self.context = context
        self.introduced_links = introduced_links
        self.told_links = told_links
        self.dialled_links = dialled_links
        self.relay = relay
        self.peer_count = peer_count
        self.status = status
        self.counts = counts
        self.ticks = 0
        self.published_at = 0.0
        self.expedited_at = 0.0
        self.expedited_counts: dict[str, int] = {}

    def publish(self) -> None:
        """Sends this node's status to all peers now."""
        now = self.published_at = self.context.now
        if self.relay.is_acting:
            self.relay.urgent.add(self.context.settings.failure_domain)
        for item in self.introduced_links():
            item.published_at = now
            if item.idle:
                # The next ones must not all be due together.
                item.published_at -= (
                    link.IDLE_STATUS_MS * self.context.rng.random()
                )
            item.send_status(self.status(item))

    def tick(self, now: float, expedited: dict[str, int]) -> None:
        """Sends the status and the expedited counts if they are due.

        Args:
          now: Milliseconds of the node's clock.
          expedited: Counts to send before the next status, by workspace.
        """
        count = self.peer_count()
        direct = self.context.direct_interval_ms = status_interval_ms(count)
        if self.relay.enabled:
            self.context.status_interval_ms = link.CALLS_STATUS_MS
            self.publish_due(now)
            counts_ms = COUNTS_MS
        else:
            self.context.status_interval_ms = direct
            if now - self.published_at >= direct:
                self.publish()
            counts_ms = counts_interval_ms(count)
        if now - self.expedited_at >= counts_ms:
            self.expedited_at = now
            self.publish_counts(expedited)

    def publish_due(self, now: float) -> None:
        """Sends the status on each stream at the stream's own interval."""
        self.ticks += 1
        if self.ticks % DUE_TICKS:
            return
        told = set(self.told_links())
        self.publish_older(told, now - digest.STATUS_MS)
        if self.ticks % CALLS_TICKS:
            return
        streams = [item for item in self.dialled_links() if item.peer]
        self.publish_older(
            [item for item in streams if not item.idle and item not in told],
            now - link.CALLS_STATUS_MS,
        )
        self.publish_older(
            [item for item in streams if item.idle], now - link.IDLE_STATUS_MS
        )

    def publish_older(self, items: Iterable[link.Link], due: float) -> None:
        """Sends the status on streams on which it was last sent long ago.

        Args:
          items: The streams.
          due: Time up to which the last status must have been sent.
        """
        for item in items:
            if item.published_at <= due:
                item.published_at = self.context.now
                item.send_status(self.status(item))

    def publish_counts(self, counts: dict[str, int]) -> None:
        """Sends the counts if expedited ones have changed.

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
        if self.context.settings.exchange.mesh_nodes_max:
            self.publish_unsent_counts()
            return
        encoded = framing.encode_frame(frames.Counts(changed))
        for item in self.introduced_links():
            item.send_encoded(encoded)

    def publish_unsent_counts(self) -> None:
        """Sends all counts that the peers lack.

        What a relay passes on has to be complete as of its sequence number.
        A relay sends its own counts in its digests.
        """
        items = self.introduced_links()
        if self.relay.enabled:
            items = self.told_links()
            if self.relay.is_acting:
                self.relay.urgent.add(self.context.settings.failure_domain)
                items = [item for item in items if not item.relays]
        encoded: dict[int, bytes] = {}
        for item in items:
            cursor = item.sent_counts
            counts = self.counts(item)
            if cursor not in encoded:
                encoded[cursor] = framing.encode_frame(counts)
            item.send_encoded(encoded[cursor])
