"""The peers of a node: streams to them, their targets and their reports."""

from __future__ import annotations

import asyncio
import collections
from collections.abc import Callable, Iterable

from currantcart.fleet import digest as digest_module
from currantcart.proxy import context as proxy_context
from currantcart.proxy import settings as proxy_settings
from currantcart.proxy.streams import (
    frames,
    link,
    publisher,
    reachability,
)
from currantcart.proxy.streams import peer as peer_module
from currantcart.proxy.streams import relay as relay_module
from currantcart.routing import picker, subset

DIAL_SECONDS_MAX = 0.7
REDIAL_MS = 300.0
RANK_CACHE_MS = 200.0
# Silence after which a peer without an entry in the store is removed.
DROP_MS = 12_000.0
CHECK_TICKS = 4
"""Ticks between two checks of the streams on which no answer is awaited.

They close after more than a second of silence, so each tick would be more
often than needed, and there are two for each peer.
"""
CHECK_TICKS_SELECTED = 8
"""The same in a fleet with relays, where these streams are mostly idle."""
UNNEEDED_MS = 5_000.0
"""Time after which a stream without calls that is not needed is closed."""
SELECT_TICKS = 10
"""Ticks between two selections of the streams to keep, without a change."""


class Peers:
    """All peers of one node.

    Attributes:
      member: This node.
      by_instance: Peers by instance.
      by_service: Targets of each service, including the local one.
      members_listed: Whether the store has once listed all nodes.
      rank_cache: When `rank` was last worked out, and its value.
      local_target: This node's target, as the router sees it.
      accepted: Streams that were dialled by peers.
      reachability: Targets that can be reached, and their pressure.
      leaving_targets: Id and start time of targets that were reported as
        leaving, by instance.
      publisher: Sends this node's status periodically.
      relay: Digests, and whether the fleet uses them.
      dialled: Open streams that this node has dialled.
      active: Those of them that are not idle, in a fleet with relays.
      ranked: Targets of each service in other nodes, in the own failure domain
        and in the others, as this node prefers them; empty after a change.
      told: Peers that get each status and all counts, in a fleet with relays.
      wanted: Peers to which streams are kept in a fleet with relays.
      selected: Whether `told` and `wanted` are up to date.
      ticks: Number of ticks since the start.
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
        on_row: Callable[[peer_module.Peer, link.Link, frames.Row], None],
        own_status: Callable[[bool], frames.Status],
        reported_counts: Callable[[str], dict[str, int]],
        counts: Callable[[link.Link], frames.Counts],
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
        self.on_row = on_row
        self.member = frames.Member(
            instance=settings.instance,
            process=context.process,
            address=settings.listen.advertised or settings.listen.peers,
            service=settings.service,
            failure_domain=settings.failure_domain,
        )
        self.local_target = peer_module.target_of(self.member)
        self.by_instance: dict[str, peer_module.Peer] = {}
        self.by_service: dict[str, list[picker.Target]] = {
            settings.service: [self.local_target]
        }
        self.members_listed = False
        self.rank_cache = (float("-inf"), 0)
        self.accepted: set[link.Link] = set()
        self.ticks = 0
        self.leaving_targets: dict[str, tuple[str, int]] = {}
        self.reachability = reachability.Reachability(
            context,
            local_target=self.local_target,
            by_service=self.by_service,
            link_to=self.link_to,
        )
        self.dialled: set[link.Link] = set()
        self.active: set[link.Link] = set()
        self.ranked: dict[
            str, tuple[list[picker.Target], list[picker.Target]]
        ] = {}
        self.told: list[peer_module.Peer] = []
        self.wanted: dict[str, peer_module.Peer] = {}
        self.selected = False
        self.relay = relay_module.Relay(
            context,
            member=self.member,
            by_instance=self.by_instance,
            own_status=own_status,
            reported_counts=reported_counts,
            identify=self.identify_peer,
            on_row=self.handle_row,
        )
        self.publisher = publisher.Publisher(
            context,
            introduced_links=self.introduced_links,
            told_links=self.told_links,
            dialled_links=lambda: list(self.dialled),
            relay=self.relay,
            peer_count=lambda: len(self.by_instance),
            status=status,
            counts=counts,
        )

    # Members.

    def add_member(
        self, member: frames.Member, *, dials: bool = True
    ) -> peer_module.Peer | None:
        """Adds a peer, or replaces one whose description has changed.

        Args:
          member: The peer's description of itself.
          dials: Whether it is dialled at once if all peers are.

        Returns:
          The peer; None if the member is this node.
        """
        if member.instance == self.member.instance:
            return None
        peer = self.by_instance.get(member.instance)
        if peer is not None and peer.member == member:
            return peer
        if peer is not None:
            self.drop(peer, "started_anew")
        target = peer_module.target_of(member)
        peer = peer_module.Peer(member, target, received_at=self.context.now)
        self.by_instance[member.instance] = peer
        self.by_service.setdefault(member.service, []).append(target)
        self.relay.add_name(member)
        self.invalidate_selection()
        self.context.log.event(
            "peer_known",
            peer=member.instance,
            address=member.address,
            service=member.service,
            peers=len(self.by_instance),
        )
        if dials:
            self.dial_member(peer)
        return peer

    def identify_peer(
        self, member: frames.Member, item: link.Link
    ) -> peer_module.Peer | None:
        """Returns the peer that has introduced itself on a stream.

        A new one is added. One with a new process is reset, and the streams
        of its previous process are closed.

        Args:
          member: The peer's description of itself.
          item: The stream.

        Returns:
          The peer; None if it is this node.
        """
        peer = self.by_instance.get(member.instance)
        if peer is None or not peer.is_restart(member):
            return self.add_member(member)
        for other in peer.links():
            # A stream without an introduction may be of the new process.
            if other is not item and other.peer == peer.member:
                other.abort("started_anew")
        self.on_gone(peer)
        self.relay.remove_process(peer.member)
        self.by_service[member.service].remove(peer.target)
        peer.restart(member)
        self.by_service[member.service].append(peer.target)
        self.reachability.invalidate()
        self.invalidate_selection()
        self.context.log.event(
            "peer_restarted", peer=member.instance, process=member.process
        )
        self.dial_member(peer)
        return peer

    def dial_member(self, peer: peer_module.Peer) -> None:
        """Dials a new peer unless only selected peers are dialled."""
        nodes = len(self.by_instance) + 1
        nodes_max = self.context.settings.exchange.mesh_nodes_max
        if not self.relay.enabled and not 0 < nodes_max < nodes:
            self.dial(peer)

    def invalidate_selection(self, *, members: bool = True) -> None:
        """Has the streams to keep selected again at the next tick.

        Args:
          members: Whether peers or their targets have changed.
        """
        self.selected = False
        if members:
            self.ranked.clear()

    def drop(self, peer: peer_module.Peer, reason: str) -> None:
        """Removes a peer and closes its streams."""
        if self.by_instance.pop(peer.member.instance, None) is not None:
            self.relay.remove_name(peer.member)
        self.relay.remove_process(peer.member)
        targets = self.by_service[peer.member.service]
        targets.remove(peer.target)
        if not targets:
            del self.by_service[peer.member.service]
        self.invalidate_selection()
        if peer.dialling is not None:
            peer.dialling.cancel()
        for item in peer.links():
            item.abort(reason)
        self.context.log.event(
            "peer_dropped", peer=peer.member.instance, reason=reason
        )
        self.on_gone(peer)

    def update_members(
        self, members: Iterable[frames.Member], complete: bool
    ) -> None:
        """Adds the members found in the store, and removes silent others.

        A peer that is missing in the store but can be reached is kept: entries
        expire while the store is unavailable, which does not affect the
        peer's target.

        Args:
          members: The members found in the store.
          complete: Whether they include all live nodes.
        """
        self.members_listed = self.members_listed or complete
        listed = {member.instance: member for member in members}
        for member in listed.values():
            known = self.by_instance.get(member.instance)
            if known is None or not self.is_alive(known):
                # All are added before any is dialled: a node that starts in a
                # large fleet must not dial all of it.
                self.add_member(member, dials=False)
        for peer in self.by_instance.values():
            if peer.outgoing is None and self.context.now >= peer.dial_after:
                self.dial_member(peer)
        now = self.context.now
        for peer in list(self.by_instance.values()):
            gone = now - peer.received_at > DROP_MS and not self.is_alive(peer)
            if gone and peer.member.instance not in listed:
                self.drop(peer, "not_named_and_silent")

    def is_alive(self, peer: peer_module.Peer) -> bool:
        """Returns whether a peer is not silent."""
        silence = self.context.now - peer.received_at
        return silence < link.silent_ms(self.context.status_interval_ms)

    def rank(self) -> int:
        """Returns this node's rank among the live nodes, from 0.

        The first nodes of all failure domains rank before the second node of
        any, so that a domain that is cut off from the store delays no other.
        It is worked out anew every `RANK_CACHE_MS`: that takes all peers.
        """
        ranked_at, rank = self.rank_cache
        if self.context.now - ranked_at >= RANK_CACHE_MS:
            rank = self.current_rank()
            self.rank_cache = (self.context.now, rank)
        return rank

    def current_rank(self) -> int:
        """Returns this node's rank among the peers that are live now."""
        own = self.member
        ahead = 0
        sizes: collections.Counter[str] = collections.Counter()
        limit = link.silent_ms(self.context.status_interval_ms)
        alive_after = self.context.now - limit
        for name, peer in self.by_instance.items():
            if peer.received_at <= alive_after:
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
        """Returns the protocol for a stream that a peer has dialled."""
        accepted = link.Link(self.context, self, dialled=False)
        self.accepted.add(accepted)
        return accepted

    def dial(self, peer: peer_module.Peer) -> None:
        """Starts to open a stream to a peer unless there is one."""
        if peer.dialling is None and peer.outgoing is None:
            peer.dial_after = self.context.now + REDIAL_MS
            peer.dialling = self.context.loop.create_task(self.open(peer))

    async def open(self, peer: peer_module.Peer) -> None:
        """Opens a stream to a peer; a failure leaves it to be dialled again."""
        try:
            async with asyncio.timeout(DIAL_SECONDS_MAX):
                _, opened = await self.context.loop.create_connection(
                    lambda: link.Link(self.context, self, dialled=True),
                    *proxy_settings.split_address(peer.member.address),
                )
            peer.outgoing = opened
            if opened.transport is not None:
                self.dialled.add(opened)
                self.active.add(opened)
        except (OSError, TimeoutError):
            pass
        finally:
            peer.dialling = None

    def peer_of(self, item: link.Link) -> peer_module.Peer | None:
        """Returns the peer at the other end of a stream."""
        if item.peer is None:
            return None
        return self.by_instance.get(item.peer.instance)

    def link_introduced(self, item: link.Link) -> None:
        """Assigns a stream to the peer that was introduced on it."""
        self.reachability.invalidate()
        assert item.peer is not None
        peer = self.identify_peer(item.peer, item)
        if peer is None:
            item.abort("own_address")
            return
        if not item.relays:
            peer.relays = False
            self.relay.record(peer, {})
            self.invalidate_selection(members=False)
        peer.received_at = self.context.now
        peer.started_at = item.peer_started_at
        if item.dialled:
            self.drop_predecessors(peer, item)
            peer.outgoing = item
        else:
            stale, peer.incoming = peer.incoming, item
            if stale is not None and stale is not item:
                stale.abort("replaced")
        item.send(self.status(item))

    def drop_predecessors(
        self, peer: peer_module.Peer, item: link.Link
    ) -> None:
        """Removes peers at whose address another one has answered.

        Addresses are reused. Calls to the previous target would reach a node
        with a different target, and be refused.
        """
        for other in list(self.by_instance.values()):
            if other is not peer and other.outgoing is item:
                other.outgoing = None
                self.drop(other, "address_taken")

    def link_lost(self, item: link.Link) -> None:
        """Detaches a lost stream from its peer."""
        self.reachability.invalidate()
        self.accepted.discard(item)
        self.dialled.discard(item)
        self.active.discard(item)
        self.relay.forget_link(item)
        self.invalidate_selection(members=False)
        for peer in self.by_instance.values():
            if peer.outgoing is item:
                peer.outgoing = None
                peer.dial_after = self.context.now + REDIAL_MS / 4
            if peer.incoming is item:
                peer.incoming = None
        self.on_lost(item)

    def handle_status(self, item: link.Link, status: frames.Status) -> None:
        """Applies a peer's report on itself and its target."""
        peer = self.peer_of(item)
        if peer is None:
            return
        peer.received_at = self.sent_at(item, status.now_ms)
        peer.has_reported = True
        peer.target.transit_ms = item.clock.transit_ms
        if status.sequence and status.sequence < peer.sequence:
            # A relay has delivered a newer one.
            status.counts = {}
        else:
            self.handle_newest(peer, status)
        self.on_status(peer, item, status)
        self.relay.handle_status(peer)
        if not item.dialled:
            # The dialler sets the interval: its status is answered at once, and
            # both sides measure the round-trip time by it.
            item.send(self.status(item))

    def handle_newest(
        self, peer: peer_module.Peer, status: frames.Status
    ) -> None:
        """Applies the newest status of a peer."""
        before = peer.state
        is_urgent = peer.version != status.version or (
            (before.target_id, before.born, before.ready, before.leaving)
            != (
                status.target.target_id,
                status.target.born,
                status.target.ready,
                status.target.leaving,
            )
        )
        is_newer = status.sequence > peer.sequence
        peer.version = status.version
        peer.sequence = status.sequence
        peer.state = status.target
        self.update_target(peer.target, status.target)
        if is_newer:
            self.relay.record(peer, status.counts, urgent=is_urgent)

    def sent_at(self, item: link.Link, now_ms: float) -> float:
        """Returns when a frame was sent that was received now.

        A relay that was paused must not take what it reads late for recent.

        Args:
          item: Stream that it was received on.
          now_ms: Sender's clock.
        """
        now = self.context.now
        if not self.relay.enabled or not item.ready:
            return now
        return min(now, item.clock.to_own(now_ms))

    def handle_row(
        self, peer: peer_module.Peer, item: link.Link, row: frames.Row
    ) -> None:
        """Applies what a relay knows of a peer.

        The load of a target on a stream of this node is known from there.
        """
        peer.state = row.target
        target = peer.target
        has_changed = (target.target_id, target.ready) != (
            row.target.target_id,
            row.target.ready,
        )
        if has_changed or row.target.leaving or peer.outgoing is None:
            self.update_target(target, row.target)
        self.on_row(peer, item, row)

    def handle_digest(self, item: link.Link, digest: frames.Digest) -> None:
        """Applies what a relay knows of a failure domain."""
        sender = self.peer_of(item)
        if sender is not None:
            self.relay.handle_digest(item, sender, digest)

    def update_target(
        self, known: picker.Target, state: frames.TargetState
    ) -> None:
        """Applies a target's reported state."""
        if known.target_id != state.target_id or known.ready != state.ready:
            self.reachability.invalidate()
            self.invalidate_selection(members=False)
            self.context.log.event(
                "target_state",
                peer=known.instance,
                target=state.target_id,
                ready=state.ready,
                limit=state.limit,
            )
        if state.leaving and state.target_id:
            self.leaving_targets[known.instance] = (state.target_id, state.born)
        known.target_id = state.target_id
        known.ready = state.ready
        known.cold_until = self.context.now + state.cold_ms
        known.pressure = state.pressure
        known.update_speed(
            work_ms=state.work_ms,
            work_by_kind=state.work_by_kind,
            slow_now=state.slow_now,
            now=self.context.now,
        )
        known.usage = state.usage
        known.update_load(
            busy=state.busy, limit=state.limit, now=self.context.now
        )

    def handle_config(self, item: link.Link, config: frames.Config) -> None:
        """Passes on a configuration that a peer has sent."""
        self.on_config(item, config)

    def handle_fetch(self, item: link.Link) -> None:
        """Passes on a peer's request for the configuration."""
        self.on_fetch(item)

    def handle_counts(self, item: link.Link, counts: frames.Counts) -> None:
        """Passes on a peer's counts of admitted requests."""
        peer = self.peer_of(item)
        if peer is None or (
            counts.sequence and counts.sequence < peer.sequence
        ):
            return
        self.on_counts(peer, counts.counts)
        if counts.sequence:
            peer.sequence = counts.sequence
            self.relay.record(peer, counts.counts, urgent=True)

    def handle_leave(self, item: link.Link) -> None:
        """Marks a peer as ended on its leave message."""
        peer = self.peer_of(item)
        if peer is not None and not peer.ended:
            peer.ended = True
            self.context.log.event("peer_ended", peer=peer.member.instance)
            self.relay.record(peer, {}, urgent=True)

    def announce_leave(self) -> None:
        """Sends a leave message to all peers."""
        for item in self.introduced_links():
            item.send(frames.Leave())

    def handle_call_frame(self, item: link.Link, frame: frames.Frame) -> None:
        """Passes on a frame of a call."""
        self.on_call_frame(item, frame)

    def link_to(self, instance: str) -> link.Link | None:
        """Returns the stream for calls to a peer; None if none is usable."""
        peer = self.by_instance.get(instance)
        if peer is None or peer.outgoing is None:
            return None
        now = self.context.now
        if (
            peer.outgoing.idle
            and now - peer.received_at >= digest_module.PEER_SILENT_MS
        ):
            # Its last status is from a while ago, and no relay vouches for it.
            return None
        return peer.outgoing if peer.outgoing.usable(now) else None

    def introduced_links(self) -> list[link.Link]:
        """Returns one stream for each peer that has introduced itself."""
        streams = [
            peer.outgoing or peer.incoming for peer in self.by_instance.values()
        ]
        return [item for item in streams if item and item.peer]

    def publish(self) -> None:
        """Sends this node's status to all peers now."""
        self.publisher.publish()

    def told_links(self) -> list[link.Link]:
        """Returns one stream to each peer that gets each status."""
        streams = [peer.outgoing or peer.incoming for peer in self.told]
        return [item for item in streams if item and item.peer]

    def tick(self, expedited: dict[str, int]) -> None:
        """Sends what is due, and probes, closes or dials streams.

        Args:
          expedited: Counts to report at once, by workspace; empty while none
            is near its rate limit.
        """
        now = self.context.now
        limits = link.Limits.of(self.context.status_interval_ms)
        self.ticks += 1
        checks_all = self.ticks % CHECK_TICKS == 0
        if self.relay.update_mode(len(self.by_instance) + 1):
            self.invalidate_selection()
            for item in self.dialled:
                item.set_idle(False, now)
                item.unneeded_since = None
        if self.relay.enabled:
            if not self.selected or self.ticks % SELECT_TICKS == 0:
                self.select(now)
                for peer in list(self.wanted.values()):
                    if peer.outgoing is None and now >= peer.dial_after:
                        self.dial(peer)
            self.tick_selected(
                now, limits, checks_all=self.ticks % CHECK_TICKS_SELECTED == 0
            )
        else:
            self.tick_mesh(now, limits, checks_all=checks_all)
        if checks_all:
            for item in list(self.accepted):
                is_idle = self.relay.enabled and not item.calls
                item.check(now, link.IDLE_LIMITS if is_idle else limits)
        if self.relay.tick(pressing=bool(expedited)):
            self.invalidate_selection(members=False)
        self.publisher.tick(now, expedited)

    def tick_mesh(
        self, now: float, limits: link.Limits, *, checks_all: bool
    ) -> None:
        """Probes, closes or dials the streams to all peers."""
        for peer in list(self.by_instance.values()):
            outgoing = peer.outgoing
            if outgoing is None:
                if now >= peer.dial_after:
                    self.dial(peer)
            elif outgoing.is_awaited:
                self.check_awaited(outgoing, now, limits)
            elif checks_all:
                outgoing.check(now, limits)

    def tick_selected(
        self, now: float, limits: link.Limits, *, checks_all: bool
    ) -> None:
        """Probes, closes or dials the streams of a node in a large fleet."""
        for item in list(self.active):
            if item.is_awaited:
                self.check_awaited(item, now, limits)
        if not checks_all:
            return
        self.classify(now)
        for item in list(self.dialled):
            item.check(now, link.IDLE_LIMITS if item.idle else limits)

    def link_active(self, item: link.Link) -> None:
        """Has a stream checked at each tick again."""
        self.active.add(item)

    def classify(self, now: float) -> None:
        """Finds out which streams have no calls, and closes unneeded ones."""
        told = {peer.member.instance for peer in self.told}
        for item in list(self.dialled):
            if item.peer is None:
                continue
            name = item.peer.instance
            is_active = (
                bool(item.calls) or now - item.opened_at < link.ACTIVE_MS
            )
            item.set_idle(not is_active and name not in told, now)
            if item.idle:
                self.active.discard(item)
            if name in self.wanted or is_active:
                item.unneeded_since = None
            elif item.unneeded_since is None:
                item.unneeded_since = now
            elif now - item.unneeded_since > UNNEEDED_MS:
                item.abort("unneeded")

    def select(self, now: float) -> None:
        """Selects the peers to which streams are kept."""
        self.selected = True
        told = self.relay.told()
        self.told = [
            self.by_instance[name] for name in told if name in self.by_instance
        ]
        wanted = {peer.member.instance: peer for peer in self.told}
        count = self.context.settings.exchange.targets_per_service
        for service in self.by_service:
            near, far = self.ranked_targets(service)
            for target in subset.select(
                near,
                far,
                count=count,
                is_usable=lambda target: self.is_target_usable(target, now),
            ):
                wanted[target.instance] = self.by_instance[target.instance]
        self.wanted = wanted

    def ranked_targets(
        self, service: str
    ) -> tuple[list[picker.Target], list[picker.Target]]:
        """Returns the targets of other nodes, near and far, as preferred."""
        found = self.ranked.get(service)
        if found is None:
            own = self.member.failure_domain
            ranked = subset.ranked(
                self.member.instance,
                (
                    target
                    for target in self.by_service[service]
                    if target is not self.local_target
                ),
            )
            found = (
                [item for item in ranked if item.failure_domain == own],
                [item for item in ranked if item.failure_domain != own],
            )
            self.ranked[service] = found
        return found

    def is_target_usable(self, target: picker.Target, now: float) -> bool:
        """Returns whether requests can be placed on a peer's target."""
        peer = self.by_instance[target.instance]
        return (
            target.ready
            and target.closed_until <= now
            and target.failure_domain not in self.context.evacuations.domains
            and now - peer.received_at < digest_module.PEER_SILENT_MS
        )

    def check_awaited(
        self, item: link.Link, now: float, limits: link.Limits
    ) -> None:
        """Checks a stream on which an answer is awaited, and probes it."""
        item.check(now, limits)
        if item.peer:
            if item.is_probe_due(now):
                item.send_status(self.status(item))
            item.log_unresponsive(now)

    def close(self) -> None:
        """Closes all streams."""
        for peer in list(self.by_instance.values()):
            if peer.dialling is not None:
                peer.dialling.cancel()
            for item in peer.links():
                item.abort("stopping")
        for item in list(self.accepted):
            item.abort("stopping")
