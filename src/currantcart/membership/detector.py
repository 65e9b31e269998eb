"""SWIM failure detector: ping, ping-req, suspect, confirm dead.

It does no input or output: `tick` and `receive` return the datagrams to send.
"""

from __future__ import annotations

import dataclasses
import random

from currantcart.membership import messages, model, table

PERIOD_MS = 500.0
PING_TIMEOUT_MS = 200.0
SUSPICION_TIMEOUT_MS = 2_000.0
INDIRECT_PROBES = 2
GOSSIP_FANOUT = 4
SUSPECTS_PINGED = 4
UPDATES_PER_DATAGRAM = 6
SEED_PERIOD_MS = 2_000.0


@dataclasses.dataclass(frozen=True, slots=True)
class Outgoing:
    """A datagram and its destination address."""

    address: str
    datagram: messages.Datagram


@dataclasses.dataclass(slots=True)
class Probe:
    """A ping that has not been acknowledged yet.

    Attributes:
      member: The member that was pinged.
      sequence: Sequence number of the ping.
      sent_ms: When the ping was sent.
      asked_others: Whether other members were asked to ping it.
    """

    member: model.Member
    sequence: int
    sent_ms: float
    asked_others: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Relay:
    """A ping sent on behalf of another member (an indirect probe).

    Attributes:
      requester: Address that the ack is forwarded to.
      sequence: Sequence number in the request.
      sent_ms: When the request was received.
    """

    requester: str
    sequence: int
    sent_ms: float


class Detector:
    """Detects failed members and disseminates membership updates.

    Attributes:
      table: The members.
      revision: Configuration revision that datagrams carry.
      unknown_senders: Datagrams from senders that are unknown or dead in the
        local table; the tables of both nodes have to be compared.
    """

    def __init__(
        self,
        *,
        members: table.MemberTable,
        seeds: list[str],
        rng: random.Random,
        now: float,
    ) -> None:
        self.table = members
        self.seeds = [s for s in seeds if s != members.own.peers]
        self.rng = rng
        self.sequence = 0
        self.revision = 0
        self.probe: Probe | None = None
        self.relays: dict[int, Relay] = {}
        self.next_probe_ms = now
        self.next_seed_ms = now
        self.order: list[str] = []
        self.unknown_senders: list[messages.Datagram] = []

    def build(
        self, kind: messages.Kind, *, sequence: int, subject: str = ""
    ) -> messages.Datagram:
        """Returns a datagram with the pending updates piggybacked."""
        return messages.Datagram(
            kind=kind,
            sequence=sequence,
            sender=self.table.own.instance,
            sender_address=self.table.own.peers,
            subject=subject,
            revision=self.revision,
            updates=self.table.take_updates(UPDATES_PER_DATAGRAM),
        )

    def ping(self, address: str, *, sequence: int) -> Outgoing:
        """Returns a ping to an address."""
        return Outgoing(
            address, self.build(messages.Kind.PING, sequence=sequence)
        )

    def next_sequence(self) -> int:
        """Returns the next sequence number."""
        self.sequence += 1
        return self.sequence

    def tick(self, now: float) -> list[Outgoing]:
        """Sends the probes that are due and expires suspects.

        To be called several times a protocol period.

        Returns:
          The datagrams to send.
        """
        sending: list[Outgoing] = []
        sending += self.check_probe(now)
        if now >= self.next_probe_ms:
            self.next_probe_ms = now + PERIOD_MS
            self.confirm_suspects(now)
            sending += self.start_probe(now)
            sending += self.ping_suspects()
            self.table.remove_dead(now)
            self.relays = {
                sequence: relay
                for sequence, relay in self.relays.items()
                if now - relay.sent_ms < PERIOD_MS
            }
        if now >= self.next_seed_ms:
            self.next_seed_ms = now + SEED_PERIOD_MS
            sending += self.ping_seed()
        return sending

    def ping_seed(self) -> list[Outgoing]:
        """Pings one seed that is not known to be alive, to join or rejoin.

        During a long partition each side confirms the other dead and removes
        it from its table. Without these pings the two sides would not merge
        after the partition has healed.
        """
        alive = {m.peers for m in self.table.others(model.Status.ALIVE)}
        unknown = [seed for seed in self.seeds if seed not in alive]
        if not unknown:
            return []
        seed = self.rng.choice(unknown)
        ping = self.ping(seed, sequence=self.next_sequence())
        updates = (*ping.datagram.updates, self.table.own)
        return [
            Outgoing(seed, dataclasses.replace(ping.datagram, updates=updates))
        ]

    def ping_suspects(self) -> list[Outgoing]:
        """Pings a few suspects directly, with the suspicion in the datagram.

        Lost datagrams cause suspicion of members that are alive. Disseminated
        by gossip alone, the suspicion may reach its subject too late to be
        refuted before the suspicion time-out.
        """
        suspects = self.table.others(model.Status.SUSPECT)
        chosen = self.rng.sample(suspects, min(SUSPECTS_PINGED, len(suspects)))
        sending = []
        for member in chosen:
            ping = self.ping(member.peers, sequence=self.next_sequence())
            updates = (*ping.datagram.updates, member)
            sending.append(
                Outgoing(
                    ping.address,
                    dataclasses.replace(ping.datagram, updates=updates),
                )
            )
        return sending

    def next_member(self) -> model.Member | None:
        """Returns the next member to probe: round-robin in shuffled order."""
        statuses = (model.Status.ALIVE, model.Status.SUSPECT)
        present = {m.instance: m for m in self.table.others(*statuses)}
        while self.order:
            member = present.get(self.order.pop())
            if member is not None:
                return member
        self.order = list(present)
        self.rng.shuffle(self.order)
        return present[self.order.pop()] if self.order else None

    def start_probe(self, now: float) -> list[Outgoing]:
        """Suspects the last member if it sent no ack, and probes the next."""
        if self.probe is not None:
            self.table.change_status(
                self.probe.member.instance, model.Status.SUSPECT, now
            )
            self.probe = None
        member = self.next_member()
        if member is None:
            return []
        sequence = self.next_sequence()
        self.probe = Probe(member, sequence, now)
        return [self.ping(member.peers, sequence=sequence)]

    def check_probe(self, now: float) -> list[Outgoing]:
        """Sends ping requests to other members if a ping has timed out."""
        probe = self.probe
        if probe is None or probe.asked_others:
            return []
        if now - probe.sent_ms < PING_TIMEOUT_MS:
            return []
        probe.asked_others = True
        others = [
            m
            for m in self.table.others(model.Status.ALIVE)
            if m.instance != probe.member.instance
        ]
        helpers = self.rng.sample(others, min(INDIRECT_PROBES, len(others)))
        return [
            Outgoing(
                helper.peers,
                self.build(
                    messages.Kind.PING_REQUEST,
                    sequence=probe.sequence,
                    subject=probe.member.peers,
                ),
            )
            for helper in helpers
        ]

    def confirm_suspects(self, now: float) -> None:
        """Confirms suspects dead that did not refute within the time-out."""
        for member in self.table.others(model.Status.SUSPECT):
            entry = self.table.entries[member.instance]
            if now - entry.changed_ms >= SUSPICION_TIMEOUT_MS:
                self.table.change_status(
                    member.instance, model.Status.DEAD, now
                )

    def receive(
        self, datagram: messages.Datagram, now: float
    ) -> list[Outgoing]:
        """Handles a datagram and returns the datagrams to send in reply."""
        sending: list[Outgoing] = []
        if self.is_unknown_sender(datagram.sender):
            self.unknown_senders.append(datagram)
        for update in datagram.updates:
            self.table.merge(update, now)
        self.table.record_revision(datagram.sender, datagram.revision)
        if datagram.kind is messages.Kind.PING:
            sending.append(self.build_ack(datagram))
        elif datagram.kind is messages.Kind.PING_REQUEST:
            sequence = self.next_sequence()
            self.relays[sequence] = Relay(
                datagram.sender_address, datagram.sequence, now
            )
            sending.append(self.ping(datagram.subject, sequence=sequence))
        else:
            sending += self.handle_ack(datagram)
        return sending

    def is_unknown_sender(self, instance: str) -> bool:
        """Returns whether a sender is unknown or dead in the local table.

        All members on its side of a healed partition may be unknown here, and
        an update is sent only a limited number of times, so the complete
        tables have to be compared.
        """
        entry = self.table.entries.get(instance)
        return entry is None or entry.member.status is model.Status.DEAD

    def take_unknown_senders(self) -> list[messages.Datagram]:
        """Returns the datagrams of unknown senders since the last call."""
        unknown_senders, self.unknown_senders = self.unknown_senders, []
        return unknown_senders

    def build_ack(self, ping: messages.Datagram) -> Outgoing:
        """Returns the ack of a ping.

        If the sender is suspected, leaving or dead in the local table, the
        ack carries that entry, so that the sender can refute it.
        """
        ack = self.build(messages.Kind.ACK, sequence=ping.sequence)
        entry = self.table.entries.get(ping.sender)
        if entry is not None and entry.member.status is not model.Status.ALIVE:
            ack = dataclasses.replace(ack, updates=(*ack.updates, entry.member))
        return Outgoing(ping.sender_address, ack)

    def handle_ack(self, ack: messages.Datagram) -> list[Outgoing]:
        """Ends the current probe, or forwards the ack of a relayed ping."""
        if self.probe is not None and ack.sequence == self.probe.sequence:
            self.probe = None
            return []
        relay = self.relays.pop(ack.sequence, None)
        if relay is None:
            return []
        return [
            Outgoing(
                relay.requester,
                self.build(messages.Kind.ACK, sequence=relay.sequence),
            )
        ]

    def gossip_updates(self) -> list[Outgoing]:
        """Returns pings that carry pending updates to a few random members."""
        others = self.table.others(model.Status.ALIVE)
        chosen = self.rng.sample(others, min(GOSSIP_FANOUT, len(others)))
        return [
            self.ping(member.peers, sequence=self.next_sequence())
            for member in chosen
        ]

    def broadcast_updates(self) -> list[Outgoing]:
        """Returns pings that carry pending updates to all other members."""
        return [
            self.ping(member.peers, sequence=self.next_sequence())
            for member in self.table.others(
                model.Status.ALIVE, model.Status.SUSPECT
            )
        ]
