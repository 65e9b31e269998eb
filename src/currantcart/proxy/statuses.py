"""Builds the statuses sent to peers and applies those received from them."""

from __future__ import annotations

import math
from collections.abc import Callable

from currantcart.proxy import context as proxy_context
from currantcart.proxy.streams import (
    config_feed,
    evidence_exchange,
    frames,
    link,
)
from currantcart.proxy.streams import peer as peer_module
from currantcart.proxy.streams import peers as peers_module
from currantcart.proxy.targets import guard
from currantcart.workspace import quota

STATE_CACHE_MS = 10.0


def floor_ms(milliseconds: float) -> float:
    """Returns a time rounded down, because fractions compress poorly."""
    if math.isinf(milliseconds):
        return milliseconds
    return math.floor(milliseconds)


class Statuses:
    """Builds and applies the statuses of one node.

    Attributes:
      evidence: Exchange of the evidence against requests.
    """

    def __init__(
        self,
        context: proxy_context.Context,
        *,
        local_guard: guard.Guard,
        quotas: quota.Quotas,
        feed: config_feed.ConfigFeed,
        on_status: Callable[[], None],
        on_target_left: Callable[[str, int], None],
    ) -> None:
        """Initializes the component; `peers` is set later by the node.

        Args:
          context: Shared state of the node.
          local_guard: Guard of the local target.
          quotas: Rate limits of workspaces.
          feed: Source of the configuration.
          on_status: Called for each status received from a peer.
          on_target_left: Called with the id and incarnation of the local
            target when a peer's status reports that it is leaving.
        """
        self.context = context
        self.guard = local_guard
        self.quotas = quotas
        self.feed = feed
        self.on_status = on_status
        self.on_target_left = on_target_left
        self.evidence = evidence_exchange.EvidenceExchange(context)
        self.peers: peers_module.Peers | None = None
        self.state = local_guard.state()
        self.state_of = local_guard.life_cycle()
        self.state_at = context.now
        self.counts_cache: dict[int, dict[str, int]] = {}
        self.counts_sequence = 0
        self.changes = 1
        self.changed_state: tuple[object, int] = (self.state_of, 0)
        self.own_cursor = 0

    def status_for(self, item: link.Link) -> frames.Status:
        """Returns the status to send on a stream."""
        assert self.peers is not None
        now = self.context.now
        known = self.context.freshness
        return frames.Status(
            now_ms=floor_ms(now),
            echo_ms=item.status_now,
            held_ms=floor_ms(now - item.status_at),
            version=known.version,
            as_of_ms=floor_ms(known.as_of),
            target=self.target_state(now),
            counts=self.unsent_counts(item),
            left=self.peers.leaving_targets.get(item.peer.instance)
            if item.peer
            else None,
            evacuations=self.feed.evacuations.unsent(item),
            sequence=self.count_changes() + self.quotas.sequence,
            evidence=self.evidence.unsent(item),
        )

    def own_status(self, complete: bool) -> frames.Status:
        """Returns the status as this node relays it itself.

        Args:
          complete: Whether all counts are returned, rather than those that
            have changed since the last call.
        """
        now, known = self.context.now, self.context.freshness
        cursor = 0 if complete else self.own_cursor
        self.own_cursor = self.quotas.sequence
        return frames.Status(
            now_ms=now,
            echo_ms=0.0,
            held_ms=0.0,
            version=known.version,
            as_of_ms=known.as_of,
            target=self.target_state(now),
            counts=self.quotas.counts_since(cursor),
            sequence=self.count_changes() + self.quotas.sequence,
        )

    def count_changes(self) -> int:
        """Returns how often the target's life cycle or the version changed."""
        state = (self.guard.life_cycle(), self.context.freshness.version)
        if state != self.changed_state:
            self.changed_state = state
            self.changes += 1
        return self.changes

    def counts_for(self, item: link.Link) -> frames.Counts:
        """Returns the counts to send on a stream before the next status.

        The sequence number is that of the last status, which every change
        other than of counts is sent with.
        """
        return frames.Counts(
            self.unsent_counts(item), self.changes + self.quotas.sequence
        )

    def unsent_counts(self, item: link.Link) -> dict[str, int]:
        """Returns the counts that a peer lacks, and records them as sent.

        One result serves all peers that were last sent their counts at the
        same time.
        """
        sequence = self.quotas.sequence
        if sequence != self.counts_sequence:
            self.counts_cache.clear()
            self.counts_sequence = sequence
        counts = self.counts_cache.get(item.sent_counts)
        if counts is None:
            counts = self.quotas.counts_since(item.sent_counts)
            self.counts_cache[item.sent_counts] = counts
        item.sent_counts = sequence
        return counts

    def target_state(self, now: float) -> frames.TargetState:
        """Returns the target's state; one serves a whole round of statuses.

        Working it out for each peer costs more than encoding the status.
        """
        life_cycle = self.guard.life_cycle()
        if now - self.state_at >= STATE_CACHE_MS or life_cycle != self.state_of:
            self.state = self.guard.state()
            self.state_of, self.state_at = life_cycle, now
        return self.state

    def apply_status(
        self, peer: peer_module.Peer, item: link.Link, status: frames.Status
    ) -> None:
        """Applies a status received from a peer."""
        self.on_status()
        if status.left:
            self.on_target_left(*status.left)
        self.feed.handle_status(peer, item, status)
        self.evidence.handle(item, status)
        self.apply_counts(peer, status.counts)

    def apply_row(
        self, peer: peer_module.Peer, item: link.Link, row: frames.Row
    ) -> None:
        """Applies what a relay knows of a peer."""
        self.on_status()
        self.feed.handle_row(item, row, is_sender=peer.member == item.peer)
        self.apply_counts(peer, row.counts)

    def apply_counts(
        self, peer: peer_module.Peer, counts: dict[str, int]
    ) -> None:
        """Applies a peer's counts of admitted requests to the rate limits."""
        if not counts and peer.member.process in self.quotas.reported:
            return
        self.quotas.apply_counts(
            peer.member.process,
            counts,
            self.context.now,
            started_at=peer.started_at,
        )
