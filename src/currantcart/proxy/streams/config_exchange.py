"""Dissemination of the configuration from node to node.

A version enters a failure domain through one or two nodes, which forward it
within the domain. A node that has missed it, or has just started, fetches it
from one peer, preferably in its own failure domain.
"""

from __future__ import annotations

import collections
from collections.abc import Callable, Iterator

from currantcart.fleet import freshness
from currantcart.proxy import context as proxy_context
from currantcart.proxy.streams import frames, link, peers
from currantcart.proxy.streams import peer as peer_module

ENTRY_PEERS_PER_DOMAIN = 2
"""Nodes of another failure domain that a version is sent to.

There is more than one because one may be unavailable.
"""
FETCH_RETRY_MS = 250.0
LOCAL_FETCH_MS = 150.0
"""Time for which a node fetches from its own failure domain only.

The first node of a domain fetches from any domain at once.
"""
# Age of a version after which it is pushed to peers with an older one.
PUSH_AFTER_MS = 300.0


class ConfigExchange:
    """Sends the local configuration to peers, and fetches newer versions.

    Attributes:
      document: The configuration in force, as the store holds it.
      applied_at: When it was applied.
      outdated_since: When a peer first reported a newer version; None while
        none has.
      fetched_at: When `Fetch` was last sent to a peer.
      evacuations: Returns the evacuations to send with the configuration.
    """

    def __init__(
        self,
        context: proxy_context.Context,
        *,
        evacuations: Callable[[], frames.Evacuations | None],
    ) -> None:
        self.context = context
        self.evacuations = evacuations
        self.peers: peers.Peers | None = None
        self.document = b""
        self.applied_at = 0.0
        self.outdated_since: float | None = None
        self.fetched_at = freshness.NEVER

    def set_current(self, document: bytes) -> None:
        """Records the configuration that is now in force."""
        self.document = document
        self.applied_at = self.context.now
        self.outdated_since = None
        self.fetched_at = freshness.NEVER

    # Sending.

    def disseminate(self, source: link.Link | None) -> None:
        """Forwards a version that was just applied.

        A relay forwards what another node of its failure domain has read, as
        that node has no streams to the others.

        Args:
          source: Stream that it was received on; None if it was read from the
            store.
        """
        assert self.peers is not None
        if source is not None and self.is_local(source.peer):
            relay = self.peers.relay
            assert source.peer is not None
            relays = relay.current(source.peer.failure_domain)
            if not relay.is_acting or source.peer.instance in relays:
                return
            source = None
        for peer in self.peers.by_instance.values():
            if self.is_local(peer.member) or not self.fetches(peer):
                self.send_to(peer)
        if source is None:
            for peer in self.entry_peers():
                self.send_to(peer)

    def entry_peers(self) -> Iterator[peer_module.Peer]:
        """Yields the peers through which a version enters other domains."""
        assert self.peers is not None
        found: collections.Counter[str] = collections.Counter()
        for _, peer in sorted(self.peers.by_instance.items()):
            domain = peer.member.failure_domain
            if self.is_local(peer.member) or not self.peers.is_alive(peer):
                continue
            if found[domain] < ENTRY_PEERS_PER_DOMAIN:
                found[domain] += 1
                yield peer

    def send_to(self, peer: peer_module.Peer) -> None:
        """Sends the configuration to a peer if its version is older."""
        for item in list(peer.links())[:1]:
            self.send(peer, item)

    def send(self, peer: peer_module.Peer, item: link.Link) -> None:
        """Sends the configuration on a stream, at most once per version."""
        known = self.context.freshness
        if peer.version >= known.version or item.peer is None:
            return
        if item.sent_version >= known.version:
            return
        item.sent_version = known.version
        item.send(
            frames.Config(
                known.version, known.as_of, self.document, self.evacuations()
            )
        )

    # Handling of peers' reports.

    def handle_older_version(
        self, peer: peer_module.Peer, item: link.Link
    ) -> None:
        """Sends the configuration to a peer that stays on an older version.

        Only peers of a release without `Fetch` are sent it; others fetch it.
        """
        push_due = self.context.now - self.applied_at > PUSH_AFTER_MS
        if self.document and push_due and not item.fetches:
            self.send(peer, item)

    def handle_newer_version(self, item: link.Link) -> None:
        """Fetches a newer version that a peer has reported.

        It is fetched from a peer in another failure domain only by the first
        node of this domain, or once `LOCAL_FETCH_MS` have passed.
        """
        now = self.context.now
        if self.outdated_since is None:
            self.outdated_since = now
        if not item.fetches or now - self.fetched_at < FETCH_RETRY_MS:
            return
        has_waited = now - self.outdated_since >= LOCAL_FETCH_MS
        if self.is_local(item.peer) or has_waited or self.is_first_in_domain():
            self.fetched_at = now
            item.send(frames.Fetch())

    def handle_fetch(self, item: link.Link) -> None:
        """Sends the configuration to a peer that requests it."""
        assert self.peers is not None
        peer = self.peers.peer_of(item)
        if peer is not None and self.document:
            self.send(peer, item)

    # Predicates on peers.

    def is_local(self, member: frames.Member | None) -> bool:
        """Returns whether a node is in the local failure domain."""
        own = self.context.settings.failure_domain
        return member is not None and member.failure_domain == own

    def is_first_in_domain(self) -> bool:
        """Returns whether this node is the first live one of its domain."""
        assert self.peers is not None
        own = self.context.settings.instance
        return not any(
            name < own
            and self.is_local(peer.member)
            and self.peers.is_alive(peer)
            for name, peer in self.peers.by_instance.items()
        )

    def fetches(self, peer: peer_module.Peer) -> bool:
        """Returns whether a peer fetches configurations that it lacks."""
        return any(item.fetches for item in peer.links())
