"""The node's peers: streams to them, their targets, their reports."""

from __future__ import annotations

import asyncio
import collections
from collections.abc import Callable, Iterable

from currantcart.proxy import context as proxy_context
from currantcart.proxy import settings as proxy_settings
from currantcart.proxy.streams import frames, link, publisher, reachability
from currantcart.proxy.streams import peer as peer_module
from currantcart.routing import picker

DIAL_SECONDS_MAX = 0.7
REDIAL_MS = 300.0
GONE_MS = 12_000.0


class Peers:
    """All peers of one node.

    Attributes:
      member: This node.
      by_instance: Peers by instance.
      by_service: Targets of each service, the own one included.
      named: Whether the store has once named all nodes.
      own: The own target, as the router sees it.
      reachability: Which targets can be reached now, and how full they are.
      left: Targets that were said to leave, by the instance beside them.
      publisher: Sends this node's state at its pace.
    """

    def __init__(
        self,
        context: proxy_context.Context,
        *,
        status: Callable[[link.Link], frames.Status],
        on_status: Callable[[peer_module.Peer, link.Link, frames.Status], None],
        on_config: Callable[[link.Link, frames.Config], None],
        on_fetch: Callable[[link.Link], None],
        on_call_frame: Callable[[link.Link, frames.Frame], None],
        on_lost: Callable[[link.Link], None],
        on_gone: Callable[[peer_module.Peer], None],
        on_counts: Callable[[peer_module.Peer, dict[str, int]], None],
        expedited: Callable[[], dict[str, int]],
    ) -> None:
        settings = context.settings
        self.context = context
        self.status = status
        self.on_status = on_status
        self.on_config = on_config
        self.on_fetch = on_fetch
        self.on_call_frame = on_call_frame
        self.on_lost = on_lost
        self.on_gone = on_gone
        self.on_counts = on_counts
        self.member = frames.Member(
            instance=settings.instance,
            process=context.process,
            address=settings.listen.advertised or settings.listen.peers,
            service=settings.service,
            failure_domain=settings.failure_domain,
        )
        self.own = peer_module.target_of(self.member)
        self.by_instance: dict[str, peer_module.Peer] = {}
        self.by_service: dict[str, list[picker.Target]] = {
            settings.service: [self.own]
        }
        self.named = False
        self.accepted: set[link.Link] = set()
        self.left: dict[str, tuple[str, int]] = {}
        self.reachability = reachability.Reachability(
            context,
            own=self.own,
            by_service=self.by_service,
            link_to=self.link_to,
        )
        self.publisher = publisher.Publisher(
            context,
            introduced=self.introduced,
            peer_count=lambda: len(self.by_instance),
            status=status,
            expedited=expedited,
        )

    # Members.

    def learn(self, member: frames.Member) -> peer_module.Peer | None:
        """Takes the word that a node exists."""
        if member.instance == self.member.instance:
            return None
        peer = self.by_instance.get(member.instance)
        if peer is not None and peer.member == member:
            return peer
        if peer is not None:
            self.drop(peer, "started_anew")
        target = peer_module.target_of(member)
        peer = peer_module.Peer(member, target, heard_at=self.context.now)
        self.by_instance[member.instance] = peer
        self.by_service.setdefault(member.service, []).append(target)
        self.context.log.event(
            "peer_known",
            peer=member.instance,
            address=member.address,
            service=member.service,
            peers=len(self.by_instance),
        )
        self.dial(peer)
        return peer

    def introduced_as(
        self, member: frames.Member, item: link.Link
    ) -> peer_module.Peer | None:
        """Takes a peer's word of itself; None if it is this node."""
        peer = self.by_instance.get(member.instance)
        if peer is None or not peer.is_restart(member):
            return self.learn(member)
        for other in peer.links():
            # A stream that no process has introduced yet may be the new one's.
            if other is not item and other.peer == peer.member:
                other.cut("started_anew")
        self.on_gone(peer)
        self.by_service[member.service].remove(peer.target)
        peer.restart(member)
        self.by_service[member.service].append(peer.target)
        self.reachability.forget()
        self.context.log.event(
            "peer_restarted", peer=member.instance, process=member.process
        )
        self.dial(peer)
        return peer

    def drop(self, peer: peer_module.Peer, reason: str) -> None:
        """Forgets a peer and cuts its streams."""
        self.by_instance.pop(peer.member.instance, None)
        self.by_service[peer.member.service].remove(peer.target)
        if peer.dialling is not None:
            peer.dialling.cancel()
        for item in peer.links():
            item.cut(reason)
        self.context.log.event(
            "peer_dropped", peer=peer.member.instance, reason=reason
        )
        self.on_gone(peer)

    def still_named(
        self, members: Iterable[frames.Member], settled: bool
    ) -> None:
        """Takes the members that the store names, and drops the others.

        A peer that the store does not name but whose stream stands stays:
        entries lapse while the store is away, and its target is as good as
        before.

        Args:
          members: The members that the store names.
          settled: Whether it names all that live.
        """
        self.named = self.named or settled
        named = {member.instance: member for member in members}
        for member in named.values():
            known = self.by_instance.get(member.instance)
            if known is None or not self.is_reached(known):
                self.learn(member)
        now = self.context.now
        for peer in list(self.by_instance.values()):
            lost = now - peer.heard_at > GONE_MS and not self.is_reached(peer)
            if lost and peer.member.instance not in named:
                self.drop(peer, "not_named_and_silent")

    def is_reached(self, peer: peer_module.Peer) -> bool:
        """Tells whether a peer was heard lately."""
        silence = self.context.now - peer.heard_at
        return silence < link.silent_ms(self.context.pace_ms)

    def rank(self) -> int:
        """Returns this node's place among the live nodes.

        The first of each failure domain come before the second of any, so
        that a domain that is cut off from the store holds up nobody else.
        """
        own = self.member
        ahead = 0
        sizes: collections.Counter[str] = collections.Counter()
        for name, peer in self.by_instance.items():
            if not self.is_reached(peer):
                continue
            domain = peer.member.failure_domain
            if domain != own.failure_domain:
                sizes[domain] += 1
            elif name < own.instance:
                ahead += 1
        return ahead + sum(
            min(size, ahead + (domain < own.failure_domain))
            for domain, size in sizes.items()
        )

    # Streams.

    def accept(self) -> link.Link:
        """Returns the protocol for a stream that a peer dials."""
        accepted = link.Link(self.context, self, dialled=False)
        self.accepted.add(accepted)
        return accepted

    def dial(self, peer: peer_module.Peer) -> None:
        """Opens a stream to a peer unless there is one."""
        if peer.dialling is None and peer.outgoing is None:
            peer.dial_after = self.context.now + REDIAL_MS
            peer.dialling = self.context.loop.create_task(self.open(peer))

    async def open(self, peer: peer_module.Peer) -> None:
        """Opens a stream to a peer."""
        try:
            async with asyncio.timeout(DIAL_SECONDS_MAX):
                _, opened = await self.context.loop.create_connection(
                    lambda: link.Link(self.context, self, dialled=True),
                    *proxy_settings.split_address(peer.member.address),
                )
            peer.outgoing = opened
        except (OSError, TimeoutError):
            pass
        finally:
            peer.dialling = None

    def peer_of(self, item: link.Link) -> peer_module.Peer | None:
        """Returns the peer at the other end of a stream."""
        if item.peer is None:
            return None
        return self.by_instance.get(item.peer.instance)

    def link_ready(self, item: link.Link) -> None:
        """Takes the introduction on a stream."""
        self.reachability.forget()
        assert item.peer is not None
        peer = self.introduced_as(item.peer, item)
        if peer is None:
            item.cut("own_address")
            return
        peer.heard_at = self.context.now
        peer.started_at = item.peer_started_at
        if item.dialled:
            self.drop_predecessors(peer, item)
            peer.outgoing = item
        else:
            stale, peer.incoming = peer.incoming, item
            if stale is not None and stale is not item:
                stale.cut("replaced")
        item.send(self.status(item))

    def drop_predecessors(
        self, peer: peer_module.Peer, item: link.Link
    ) -> None:
        """Forgets a peer at whose address another one answers.

        Addresses are used again; calls for the target that was there would go
        to a node that has another one, and come back refused.
        """
        for other in list(self.by_instance.values()):
            if other is not peer and other.outgoing is item:
                other.outgoing = None
                self.drop(other, "address_taken")

    def link_lost(self, item: link.Link) -> None:
        """Takes the end of a stream."""
        self.reachability.forget()
        self.accepted.discard(item)
        for peer in self.by_instance.values():
            if peer.outgoing is item:
                peer.outgoing = None
                peer.dial_after = self.context.now + REDIAL_MS / 4
            if peer.incoming is item:
                peer.incoming = None
        self.on_lost(item)

    def status_heard(self, item: link.Link, status: frames.Status) -> None:
        """Takes what a peer tells of itself and its target."""
        peer = self.peer_of(item)
        if peer is None:
            return
        peer.heard_at = self.context.now
        peer.has_told = True
        peer.version = status.version
        self.take_target(peer.target, status.target)
        self.on_status(peer, item, status)
        if not item.dialled:
            # The dialler sets the pace; its status is answered at once, by
            # which both learn the round trip.
            item.send(self.status(item))

    def take_target(
        self, known: picker.Target, told: frames.TargetState
    ) -> None:
        """Takes a target's state."""
        if known.target_id != told.target_id or known.ready != told.ready:
            self.reachability.forget()
            self.context.log.event(
                "target_state",
                peer=known.instance,
                target=told.target_id,
                ready=told.ready,
                limit=told.limit,
            )
        if told.leaving:
            self.left[known.instance] = (told.target_id, told.born)
        known.target_id = told.target_id
        known.ready = told.ready
        known.cold_until = self.context.now + told.cold_ms
        known.pressure = told.pressure
        known.work_ms = told.work_ms
        known.hear(busy=told.busy, limit=told.limit, now=self.context.now)

    def config_heard(self, item: link.Link, config: frames.Config) -> None:
        """Takes a configuration."""
        self.on_config(item, config)

    def fetch_heard(self, item: link.Link) -> None:
        """Takes that a peer asks for the configuration."""
        self.on_fetch(item)

    def counts_heard(self, item: link.Link, counts: frames.Counts) -> None:
        """Takes what a peer has admitted."""
        peer = self.peer_of(item)
        if peer is not None:
            self.on_counts(peer, counts.counts)

    def leave_heard(self, item: link.Link) -> None:
        """Takes that a peer's process ends."""
        peer = self.peer_of(item)
        if peer is not None and not peer.ended:
            peer.ended = True
            self.context.log.event("peer_ended", peer=peer.member.instance)

    def announce_leave(self) -> None:
        """Announces to all peers that this process ends."""
        for item in self.introduced():
            item.send(frames.Leave())

    def call_frame(self, item: link.Link, frame: frames.Frame) -> None:
        """Takes a frame of a call."""
        self.on_call_frame(item, frame)

    def link_to(self, instance: str) -> link.Link | None:
        """Returns the stream on which calls to a peer are opened."""
        peer = self.by_instance.get(instance)
        if peer is None or peer.outgoing is None:
            return None
        return peer.outgoing if peer.outgoing.usable(self.context.now) else None

    def introduced(self) -> list[link.Link]:
        """Returns one stream to each peer that has introduced itself."""
        streams = [
            peer.outgoing or peer.incoming for peer in self.by_instance.values()
        ]
        return [item for item in streams if item and item.peer]

    def publish(self) -> None:
        """Tells all peers this node's status now."""
        self.publisher.publish()

    def tick(self) -> None:
        """Tells the status when it is time, and notices silence."""
        now = self.context.now
        for peer in list(self.by_instance.values()):
            for item in peer.links():
                item.check(now)
            found = peer.outgoing
            if found is not None and found.peer:
                if found.is_due_to_ask(now):
                    found.send_status(self.status(found))
                found.log_quiet(now)
            if peer.outgoing is None and now >= peer.dial_after:
                self.dial(peer)
        for item in list(self.accepted):
            item.check(now)
        self.publisher.tick(now)

    def close(self) -> None:
        """Cuts all streams."""
        for peer in list(self.by_instance.values()):
            if peer.dialling is not None:
                peer.dialling.cancel()
            for item in peer.links():
                item.cut("stopping")
        for item in list(self.accepted):
            item.cut("stopping")
