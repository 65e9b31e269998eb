"""Builds the statuses sent to peers, and applies those received."""

from __future__ import annotations

import math
from collections.abc import Callable

from currantcart.fleet import target_record
from currantcart.proxy import context as proxy_context
from currantcart.proxy.streams import config_feed, frames, link
from currantcart.proxy.streams import peer as peer_module
from currantcart.proxy.streams import peers as peers_module
from currantcart.proxy.targets import guard
from currantcart.workspace import quota


def whole(milliseconds: float) -> float:
    """Returns a time without its fraction, which compresses badly."""
    if math.isinf(milliseconds):
        return milliseconds
    return math.floor(milliseconds)


class Statuses:
    """Builds and applies the statuses of one node."""

    def __init__(
        self,
        context: proxy_context.Context,
        *,
        own_guard: guard.Guard,
        quotas: quota.Quotas,
        record: target_record.TargetRecord,
        feed: config_feed.ConfigFeed,
        on_heard: Callable[[], None],
        on_left: Callable[[], None],
    ) -> None:
        """Sets it up.

        Args:
          context: What the parts of the node share.
          own_guard: The guard of the own target.
          quotas: Rates of workspaces.
          record: What the own target said last.
          feed: The configuration.
          on_heard: Called with each status of a peer.
          on_left: Called when a peer knew that the own target leaves.
        """
        self.context = context
        self.guard = own_guard
        self.quotas = quotas
        self.record = record
        self.feed = feed
        self.on_heard = on_heard
        self.on_left = on_left
        self.peers: peers_module.Peers | None = None

    def status_for(self, item: link.Link) -> frames.Status:
        """Returns the status for a stream."""
        assert self.peers is not None
        now = self.context.now
        known = self.context.freshness
        return frames.Status(
            now_ms=whole(now),
            echo_ms=item.status_now,
            held_ms=whole(now - item.status_at),
            version=known.version,
            as_of_ms=whole(known.as_of),
            target=self.guard.state(),
            counts=item.unpublished(self.quotas.counts()),
            left=self.peers.left.get(item.peer.instance) if item.peer else None,
        )

    def status_heard(
        self, peer: peer_module.Peer, item: link.Link, status: frames.Status
    ) -> None:
        """Takes a peer's status."""
        self.on_heard()
        if status.left and self.record.hear_left(*status.left):
            self.guard.refuse_target()
            self.on_left()
        self.feed.status_heard(peer, item, status)
        self.counts_heard(peer, status.counts)

    def counts_heard(
        self, peer: peer_module.Peer, counts: dict[str, int]
    ) -> None:
        """Takes what a peer has admitted."""
        self.quotas.hear(
            peer.member.process,
            counts,
            self.context.now,
            started_at=peer.started_at,
        )
