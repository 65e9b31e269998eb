"""Relays: what a node must know of all others in a large fleet.

In a fleet of more than `mesh_nodes_max` nodes, a node sends its status to the
relays of its failure domain only. These send what has changed to the nodes of
their failure domain and to the relays of the others, and forward what those
send to the nodes of their own.

Each node applies digests in the same way, whoever sent them. A node acts as a
relay as long as it is one of the first live nodes of its failure domain as it
sees it itself; nothing has to be agreed on.
"""

from __future__ import annotations

import bisect
import collections
import dataclasses
from collections.abc import Callable, Iterable, Iterator, Mapping

from currantcart.fleet import digest as digest_module
from currantcart.fleet import relays
from currantcart.proxy import context as proxy_context
from currantcart.proxy.streams import frames, framing, link
from currantcart.proxy.streams import peer as peer_module

PAUSED_MS = 150.0
"""Time between two ticks after which this process has been paused."""
HOLD_TICKS = 3
"""Ticks after a pause in which silence is not judged.

In between, the node reads what it has received meanwhile.
"""
LINGER_MS = 15_000.0
"""Time for which a relay goes on after the fleet has become small.

Other nodes notice that later.
"""
SHRUNK_MS = 5_000.0
"""Time for which a fleet has to be small before a node uses the full mesh."""
LARGE_MS = 1_000.0
"""Time for which a relay's report of a large fleet holds."""
JUDGE_TICKS = 3
"""Ticks between two selections of relays."""
SHARE_TICKS = 4
"""Ticks between two counts of the silent nodes, while no rate is near."""
EXPIRE_TICKS = 200


@dataclasses.dataclass(frozen=True, slots=True)
class Known:
    """State of a process without its counts.

    Attributes:
      member: The node.
      started_at: Start of its process, on the own clock.
      version: Configuration version that it serves.
      as_of: When that version was known to be the newest, on the own clock.
      target: State of its target.
      sequence: `sequence` of the status that this is taken from.
      relays: Whether it can relay statuses.
      ended: Whether it has sent a leave message.
    """

    member: frames.Member
    started_at: float
    version: int
    as_of: float
    target: frames.TargetState
    sequence: int
    relays: bool
    ended: bool


def known_of(peer: peer_module.Peer) -> Known:
    """Returns the state of a peer."""
    return Known(
        peer.member,
        peer.started_at,
        peer.version,
        float("-inf"),
        peer.state,
        peer.sequence,
        peer.relays,
        peer.ended,
    )


def floor_age(age_ms: float) -> float:
    """Returns an age in whole milliseconds, or infinity."""
    return age_ms if age_ms == float("inf") else int(age_ms)


class Relay:
    """Roles in a large fleet, the digests of this node, and its peers'.

    Attributes:
      enabled: Whether the fleet is too large for a full mesh.
      small_since: Since when the fleet is small enough; None while it is not.
      large_until: Time up to which a relay has reported a large fleet.
      lingers_until: Time until which this node relays in a full mesh.
      names: Instances of each failure domain in order of their names, this
        node's included.
      successions: Relays of the own failure domain; those of the others too
        while this node is a relay.
      heard_at: Time as of which a digest of each failure domain was sent there.
      vouched: By stream and failure domain, the processes whose rows were
        received on the stream; the sender vouches for all that it does not
        list as silent.
      table: What this node relays; None while it is no relay.
      cursors: Sequence number of the table at the last digest of each failure
        domain on each stream.
      urgent: Failure domains whose digests are sent at the next tick.
      sent_at: When digests were sent last.
      ticked_at: When the last tick took place.
      hold: Ticks for which silence is not judged.
      share: Share of the fleet that is silent, 0 to 1.
    """

    def __init__(
        self,
        context: proxy_context.Context,
        *,
        member: frames.Member,
        by_instance: Mapping[str, peer_module.Peer],
        own_status: Callable[[bool], frames.Status],
        reported_counts: Callable[[str], dict[str, int]],
        identify: Callable[[frames.Member, link.Link], peer_module.Peer | None],
        on_row: Callable[[peer_module.Peer, link.Link, frames.Row], None],
    ) -> None:
        """Initializes the relay.

        Args:
          context: Shared state of the node.
          member: This node.
          by_instance: Peers by instance.
          own_status: Returns the status of this node, with all counts if its
            argument is true, else with those that have changed since the last
            call.
          reported_counts: Returns all counts that a process has reported.
          identify: Returns the peer of a member that a row names; None if it
            is this node.
          on_row: Applies the state in a row that is newer than what is known.
        """
        self.context = context
        self.member = member
        self.by_instance = by_instance
        self.own_status = own_status
        self.reported_counts = reported_counts
        self.identify = identify
        self.on_row = on_row
        self.enabled = False
        self.small_since: float | None = None
        self.large_until = float("-inf")
        self.lingers_until = float("-inf")
        self.names: dict[str, list[str]] = {
            member.failure_domain: [member.instance]
        }
        self.successions: dict[str, relays.Succession] = {}
        self.heard_at: dict[str, float] = {}
        self.vouched: dict[
            link.Link, dict[str, dict[str, peer_module.Peer]]
        ] = {}
        self.table: digest_module.Table[Known] | None = None
        self.cursors: dict[link.Link, dict[str, int]] = {}
        self.urgent: set[str] = set()
        self.sent_at = float("-inf")
        self.ticked_at = context.now
        self.ticks = 0
        self.hold = 0
        self.share = 0.0

    # Members.

    def add_name(self, member: frames.Member) -> None:
        """Adds an instance that has become known."""
        names = self.names.setdefault(member.failure_domain, [])
        bisect.insort(names, member.instance)

    def remove_name(self, member: frames.Member) -> None:
        """Removes an instance that is no longer known."""
        self.names[member.failure_domain].remove(member.instance)

    def remove_process(self, member: frames.Member) -> None:
        """Removes a process that has ended or was replaced."""
        if self.table is not None:
            self.table.remove(member.process, self.context.now)

    def forget_link(self, item: link.Link) -> None:
        """Removes the state of a lost stream."""
        self.cursors.pop(item, None)
        self.vouched.pop(item, None)

    def update_mode(self, nodes: int) -> bool:
        """Selects full mesh or relays; returns whether this has changed.

        A node that knows too few nodes follows a relay that knows more: while
        a fleet starts, the nodes that use relays no longer dial all others. A
        fleet that has grown uses relays at once. One that has shrunk keeps
        them for `SHRUNK_MS`, so that a node that comes and goes changes
        nothing.
        """
        now = self.context.now
        nodes_max = self.context.settings.exchange.mesh_nodes_max
        is_small = not nodes_max or (
            nodes <= nodes_max and now >= self.large_until
        )
        if not is_small:
            self.small_since = None
        elif self.small_since is None:
            self.small_since = now
        if is_small != self.enabled:
            return False
        if self.enabled:
            assert self.small_since is not None
            if now - self.small_since < SHRUNK_MS:
                return False
            self.lingers_until = now + LINGER_MS
        else:
            self.heard_at = dict.fromkeys(self.names, now)
        self.enabled = not self.enabled
        self.context.log.event(
            "exchange_changed", relays=self.enabled, nodes=nodes
        )
        return True

    @property
    def is_acting(self) -> bool:
        """Whether this node relays."""
        return self.table is not None

    def current(self, domain: str) -> tuple[str, ...]:
        """Returns the relays of a failure domain."""
        succession = self.successions.get(domain)
        return succession.current if succession else ()

    def told(self) -> set[str]:
        """Returns the instances to which this node sends each status.

        These are the relays of its failure domain, those of the others if it
        is a relay itself, and nodes that do not read digests.
        """
        own = self.member.failure_domain
        found = set(self.current(own))
        if self.is_acting:
            for succession in self.successions.values():
                found.update(succession.current)
        found.discard(self.member.instance)
        found.update(
            name for name, peer in self.by_instance.items() if not peer.relays
        )
        return found

    # Ticks.

    def tick(self, *, pressing: bool) -> bool:
        """Updates roles and silence, and sends the digests that are due.

        Args:
          pressing: Whether a workspace is near its rate limit.

        Returns:
          Whether relays have changed.
        """
        now = self.context.now
        self.ticks += 1
        if now - self.ticked_at > PAUSED_MS:
            self.hold = HOLD_TICKS + 1
        self.ticked_at = now
        if not self.enabled and now >= self.lingers_until:
            self.stop()
            return False
        self.hold = max(0, self.hold - 1)
        if self.hold:
            return False
        changed = False
        if self.ticks % JUDGE_TICKS == 0:
            changed = self.update_relays(now)
        if self.enabled and (pressing or self.ticks % SHARE_TICKS == 0):
            self.share = self.silent_share(now, pressing=pressing)
        if self.table is not None:
            self.send_due(self.table, now)
            if self.ticks % EXPIRE_TICKS == 0:
                self.table.expire(now)
        return changed

    def stop(self) -> None:
        """Ends what a node does in a large fleet only."""
        if self.table is not None:
            self.set_acting(False)
        self.share = 0.0

    def update_relays(self, now: float) -> bool:
        """Selects the relays of the own failure domain, and begins or ends.

        Those of the others are selected by relays only, which receive them
        directly. What others know of them is too old to judge their silence.
        """
        own = self.member
        changed = self.update_domain(own.failure_domain, now)
        is_relay = own.instance in self.current(own.failure_domain)
        if is_relay != self.is_acting:
            self.set_acting(is_relay)
        if self.is_acting:
            for domain in self.names:
                if domain != own.failure_domain:
                    changed |= self.update_domain(domain, now)
        return changed

    def update_domain(self, domain: str, now: float) -> bool:
        """Selects the relays of one failure domain."""
        succession = self.successions.setdefault(domain, relays.Succession())
        if not succession.update(self.candidates(self.names[domain], now)):
            return False
        self.context.log.event(
            "relays_changed",
            domain=domain,
            relays=",".join(succession.current),
        )
        return True

    def candidates(
        self, names: Iterable[str], now: float
    ) -> Iterator[tuple[str, float]]:
        """Yields the nodes that can relay, with the time of their silence."""
        for name in names:
            if name == self.member.instance:
                yield name, 0.0
                continue
            peer = self.by_instance[name]
            if peer.relays and not peer.ended:
                yield name, now - peer.received_at

    def set_acting(self, acting: bool) -> None:
        """Begins or ends to relay.

        A node that begins has no cursors, so each stream first gets all rows.
        """
        self.cursors.clear()
        self.context.log.event("relay_started" if acting else "relay_ended")
        if not acting:
            self.table = None
            own = self.member.failure_domain
            self.successions = {own: self.successions[own]}
            return
        self.table = digest_module.Table()
        for peer in self.by_instance.values():
            if peer.has_reported:
                self.record(peer, self.reported_counts(peer.member.process))
        self.record_own(self.table, complete=True)
        self.urgent = set(self.names)

    def silent_share(self, now: float, *, pressing: bool) -> float:
        """Returns the share of the fleet that is silent, 0 to 1."""
        limit = digest_module.domain_silent_ms(pressing=pressing)
        silent_domains = {
            domain
            for domain in self.names
            if now - self.heard_at.setdefault(domain, now) >= limit
        }
        oldest = now - digest_module.PEER_SILENT_MS
        silent = count = 0
        for peer in self.by_instance.values():
            if peer.ended:
                continue
            count += 1
            if not peer.relays:
                # It is received directly, at an interval of its own.
                silent += now - peer.received_at >= link.suspect_ms(
                    self.context.direct_interval_ms
                )
            else:
                silent += (
                    peer.received_at <= oldest
                    or peer.member.failure_domain in silent_domains
                )
        return silent / (count + 1)

    # Sending.

    def record(
        self,
        peer: peer_module.Peer,
        counts: dict[str, int],
        *,
        urgent: bool = False,
    ) -> None:
        """Records a change of a peer, to be sent with the next digest.

        Args:
          peer: The peer.
          counts: Those of its counts that have changed.
          urgent: Whether the digest is sent at the next tick.
        """
        if self.table is None:
            return
        member = peer.member
        if urgent:
            self.urgent.add(member.failure_domain)
        self.table.record(
            member.process, member.failure_domain, known_of(peer), counts
        )

    def record_own(
        self, table: digest_module.Table[Known], *, complete: bool = False
    ) -> None:
        """Records a change of this node or of its proof."""
        status = self.own_status(complete)
        entry = table.entries.get(self.member.process)
        known = Known(
            self.member,
            self.context.started_at,
            status.version,
            status.as_of_ms,
            status.target,
            status.sequence,
            relays=True,
            ended=False,
        )
        if entry is None or (
            (entry.info.sequence, entry.info.as_of)
            != (known.sequence, known.as_of)
        ):
            table.record(
                self.member.process,
                self.member.failure_domain,
                known,
                status.counts,
            )

    def audience(self) -> Iterator[link.Link]:
        """Yields the streams on which this node sends digests.

        Those that peers have dialled come first: a node keeps its streams to
        its relays, and a change of the stream takes all rows again.
        """
        own = self.member.failure_domain
        for peer in self.by_instance.values():
            item = peer.incoming
            if item is None or item.peer is None:
                item = peer.outgoing
            if item is None or item.peer is None or not item.relays:
                continue
            domain = peer.member.failure_domain
            if domain == own or peer.member.instance in self.current(domain):
                yield item

    def send_due(self, table: digest_module.Table[Known], now: float) -> None:
        """Sends the digests that are due, and all rows on new streams."""
        own = self.member.failure_domain
        urgent, self.urgent = self.urgent, set()
        is_regular = now - self.sent_at >= digest_module.DIGEST_MS
        if is_regular:
            self.sent_at = now
        due = set(self.names) if is_regular else urgent
        encoded: dict[tuple[str, int], bytes] = {}
        recorded = False
        for item in self.audience():
            assert item.peer is not None
            domains: Iterable[str] = due
            cursors = self.cursors.get(item)
            if cursors is None:
                cursors = self.cursors[item] = {}
                domains = self.names
            if item.peer.failure_domain != own:
                domains = {own}.intersection(domains)
            if not domains:
                continue
            if not recorded:
                recorded = True
                self.record_own(table)
            for domain in domains:
                cursor = cursors.get(domain, 0)
                key = (domain, cursor)
                if key not in encoded:
                    encoded[key] = framing.encode_frame(
                        self.digest(
                            table, domain, cursor, now, urgent=domain in urgent
                        )
                    )
                item.send_encoded(encoded[key])
                cursors[domain] = table.sequence
            self.context.counts.add("digests", "sent")

    def digest(
        self,
        table: digest_module.Table[Known],
        domain: str,
        cursor: int,
        now: float,
        *,
        urgent: bool,
    ) -> frames.Digest:
        """Returns what this node knows of a failure domain.

        Args:
          table: The table.
          domain: The failure domain.
          cursor: Sequence number up to which the peer was sent the rows.
          now: Milliseconds of the node's clock.
          urgent: Whether it is to be forwarded before the next regular digest.
        """
        is_own = domain == self.member.failure_domain
        survey = digest_module.survey(
            self.evidence(domain),
            now=now,
            silent_ms=digest_module.LOCAL_SILENT_MS
            if is_own
            else digest_module.FORWARDED_SILENT_MS,
        )
        return frames.Digest(
            now_ms=now,
            domain=domain,
            age_ms=survey.age_ms,
            rows=[
                self.row(lacking, now)
                for lacking in table.lacking(domain, cursor)
            ],
            silent=survey.silent,
            heard_ms=0.0 if is_own else now - self.heard_at.get(domain, 0.0),
            urgent=urgent,
            nodes=len(self.by_instance) + 1,
        )

    def evidence(self, domain: str) -> Iterator[tuple[str, float]]:
        """Yields the processes of a domain, and when they were last live."""
        for name in self.names[domain]:
            peer = self.by_instance.get(name)
            if peer is not None and peer.has_reported and not peer.ended:
                yield peer.member.process, peer.received_at

    def row(
        self, lacking: digest_module.Lacking[Known], now: float
    ) -> frames.Row:
        """Returns a row as sent in a digest."""
        known = lacking.entry.info
        return frames.Row(
            known.member,
            floor_age(now - known.started_at),
            known.version,
            floor_age(now - known.as_of),
            known.target,
            lacking.counts,
            known.sequence,
            lacking.complete,
            known.relays,
            known.ended,
            lacking.entry.removed_at is not None,
        )

    # Receiving.

    def handle_status(self, peer: peer_module.Peer) -> None:
        """Records that a status of a peer was received directly.

        Its own members are what a relay hears of its failure domain.
        """
        domain = peer.member.failure_domain
        if self.is_acting and domain == self.member.failure_domain:
            self.heard_at[domain] = max(
                self.heard_at.get(domain, 0.0), peer.received_at
            )

    def handle_digest(
        self, item: link.Link, sender: peer_module.Peer, digest: frames.Digest
    ) -> None:
        """Applies a digest.

        Args:
          item: Stream that it was received on.
          sender: The relay that sent it.
          digest: The digest.
        """
        now = self.context.now
        self.context.counts.add("digests", "received")
        if digest.nodes > self.context.settings.exchange.mesh_nodes_max:
            self.large_until = now + LARGE_MS
        # The offset of a peer's clock is such that times are never too late.
        at = now
        if item.ready:
            at = min(now, item.clock.to_own(digest.now_ms))
            sender.received_at = max(sender.received_at, at)
        domain = digest.domain
        processes = self.vouched.setdefault(
            item, collections.defaultdict(dict)
        )[domain]
        for row in digest.rows:
            if not self.apply_row(item, processes, row, at):
                item.abort("incomplete")
                return
        if not item.ready:
            return
        self.context.counts.observe(
            "digest_age_seconds", now - at + digest.age_ms
        )
        self.heard_at[domain] = max(
            self.heard_at.get(domain, 0.0), at - max(0.0, digest.heard_ms)
        )
        live_at = at - max(0.0, digest.age_ms)
        silent = set(digest.silent)
        for process, peer in processes.items():
            if (
                peer.received_at < live_at
                and process not in silent
                and peer.member.process == process
                and not peer.ended
            ):
                peer.received_at = live_at
        if digest.urgent and self.is_acting:
            own = self.member.failure_domain
            if domain == sender.member.failure_domain != own:
                self.urgent.add(domain)

    def apply_row(
        self,
        item: link.Link,
        processes: dict[str, peer_module.Peer],
        row: frames.Row,
        at: float,
    ) -> bool:
        """Applies a row of a digest.

        Args:
          item: Stream that it was received on.
          processes: Those for which the sender vouches on this stream.
          row: The row.
          at: Time as of which its ages hold.

        Returns:
          Whether the stream can go on: False if the row is a difference to
          something that is not known here.
        """
        process = row.member.process
        if row.member.instance == self.member.instance:
            return True
        if row.removed:
            processes.pop(process, None)
            return True
        started_at = at - row.age_ms
        peer = self.by_instance.get(row.member.instance)
        if peer is None or peer.member.process != process:
            if peer is not None and started_at <= peer.started_at:
                # A relay that has not received the newer process yet.
                processes.pop(process, None)
                return True
            if not row.complete:
                return False
            if not row.member.is_dialable:
                self.context.log.event(
                    "row_unreadable", detail="address is not IP:PORT"
                )
                return True
            peer = self.identify(row.member, item)
            if peer is None:
                return True
            peer.started_at = started_at
        if not row.complete and not peer.sequence and row.relays:
            return False
        processes[process] = peer
        self.apply_known(item, peer, row, started_at)
        return True

    def apply_known(
        self,
        item: link.Link,
        peer: peer_module.Peer,
        row: frames.Row,
        started_at: float,
    ) -> None:
        """Applies a row to its peer.

        A node that does not count changes sends its statuses to all nodes, so
        its row only makes it known.
        """
        if row.ended and not peer.ended:
            peer.ended = True
            self.context.log.event("peer_ended", peer=peer.member.instance)
            self.record(peer, {}, urgent=True)
        if not row.relays:
            peer.relays = False
            return
        is_newer = row.sequence > peer.sequence
        if is_newer:
            if peer.started_at == float("-inf"):
                peer.started_at = started_at
            peer.sequence = row.sequence
            peer.version = row.version
            peer.has_reported = True
        if is_newer or peer.member == item.peer:
            self.on_row(peer, item, row)
        if is_newer:
            self.record(peer, row.counts)
