"""How a configuration travels from node to node.

A version crosses into a failure domain at one or two nodes, which pass it on
within the domain. A node that has missed it, or has just started, fetches it
from one peer, a near one if there is any.
"""

from __future__ import annotations

import collections
from collections.abc import Iterator

from currantcart.fleet import freshness
from currantcart.proxy import context as proxy_context
from currantcart.proxy.streams import frames, link, peers
from currantcart.proxy.streams import peer as peer_module

ENTRIES_PER_DOMAIN = 2
"""Nodes of another failure domain that are sent a version; one may be away."""
FETCH_AGAIN_MS = 250.0
NEAR_FIRST_MS = 150.0
"""Time that a node gives its own failure domain before it asks a far peer."""
PUSH_AGAIN_MS = 300.0


class ConfigExchange:
    """Sends one node's configuration to its peers, and fetches theirs.

    Attributes:
      document: The configuration in force, as the store holds it.
      taken_at: When it was taken.
      lacking_since: Since when peers have had a newer one; None if none has.
      fetched_at: When a peer was last asked for its configuration.
    """

    def __init__(self, context: proxy_context.Context) -> None:
        self.context = context
        self.peers: peers.Peers | None = None
        self.document = b""
        self.taken_at = 0.0
        self.lacking_since: float | None = None
        self.fetched_at = freshness.NEVER

    def take(self, document: bytes) -> None:
        """Notes the configuration that is in force now."""
        self.document = document
        self.taken_at = self.context.now
        self.lacking_since = None
        self.fetched_at = freshness.NEVER

    # Sending.

    def spread(self, source: link.Link | None) -> None:
        """Passes a version on that was just taken.

        Args:
          source: Stream that it came by; None if it was read in the store.
        """
        assert self.peers is not None
        if source is not None and self.is_near(source.peer):
            return
        for peer in self.peers.by_instance.values():
            if self.is_near(peer.member) or not self.fetches(peer):
                self.send_to(peer)
        if source is None:
            for peer in self.entries():
                self.send_to(peer)

    def entries(self) -> Iterator[peer_module.Peer]:
        """Yields the nodes by which a version enters the other domains."""
        assert self.peers is not None
        found: collections.Counter[str] = collections.Counter()
        for _, peer in sorted(self.peers.by_instance.items()):
            domain = peer.member.failure_domain
            if self.is_near(peer.member) or not self.peers.is_reached(peer):
                continue
            if found[domain] < ENTRIES_PER_DOMAIN:
                found[domain] += 1
                yield peer

    def send_to(self, peer: peer_module.Peer) -> None:
        """Sends the configuration to a peer that has an older one."""
        for item in list(peer.links())[:1]:
            self.send(peer, item)

    def send(self, peer: peer_module.Peer, item: link.Link) -> None:
        """Sends the configuration on a stream, once a version."""
        known = self.context.freshness
        if peer.version >= known.version or item.peer is None:
            return
        if item.sent_version >= known.version:
            return
        item.sent_version = known.version
        item.send(frames.Config(known.version, known.as_of, self.document))

    # What peers tell.

    def older_heard(self, peer: peer_module.Peer, item: link.Link) -> None:
        """Takes that a peer has an older version; it may not know to ask."""
        lasts = self.context.now - self.taken_at > PUSH_AGAIN_MS
        if self.document and lasts and not item.fetches:
            self.send(peer, item)

    def newer_heard(self, item: link.Link) -> None:
        """Takes that a peer has a newer version, and may ask for it."""
        now = self.context.now
        if self.lacking_since is None:
            self.lacking_since = now
        if not item.fetches or now - self.fetched_at < FETCH_AGAIN_MS:
            return
        waited = now - self.lacking_since >= NEAR_FIRST_MS
        if self.is_near(item.peer) or waited or self.is_first_of_domain():
            self.fetched_at = now
            item.send(frames.Fetch())

    def fetch_heard(self, item: link.Link) -> None:
        """Answers a peer that asks for the configuration."""
        assert self.peers is not None
        peer = self.peers.peer_of(item)
        if peer is not None and self.document:
            self.send(peer, item)

    # Who is where.

    def is_near(self, member: frames.Member | None) -> bool:
        """Tells whether a node is in the own failure domain."""
        own = self.context.settings.failure_domain
        return member is not None and member.failure_domain == own

    def is_first_of_domain(self) -> bool:
        """Tells whether no near peer that is reached comes before this one."""
        assert self.peers is not None
        own = self.context.settings.instance
        return not any(
            name < own
            and self.is_near(peer.member)
            and self.peers.is_reached(peer)
            for name, peer in self.peers.by_instance.items()
        )

    def fetches(self, peer: peer_module.Peer) -> bool:
        """Tells whether a peer asks for what it lacks."""
        return any(item.fetches for item in peer.links())
