"""Failure detector: ping, ask others to ping, suspect, declare dead.

Pure: `tick` and `receive` return the datagrams to send.
"""

from __future__ import annotations

import dataclasses
import random

from currantcart.membership import messages, model, table

PERIOD_MS = 500.0
DIRECT_WAIT_MS = 200.0
SUSPECT_MS = 2_000.0
HELPERS = 2
RUMOUR_PEERS = 4
SUSPECTS_ASKED = 4
NEWS_PER_DATAGRAM = 6
SEED_PERIOD_MS = 2_000.0


@dataclasses.dataclass(frozen=True, slots=True)
class Outgoing:
    """A datagram and where it goes."""

    address: str
    datagram: messages.Datagram


@dataclasses.dataclass(slots=True)
class Probe:
    """A member that was pinged and has not answered yet."""

    member: model.Member
    sequence: int
    sent_ms: float
    helped: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Relay:
    """A ping sent for another member."""

    requester: str
    sequence: int
    sent_ms: float


class Detector:
    """Detects failures and spreads news.

    Attributes:
      table: The members.
      revision: Configuration revision that datagrams carry.
      strangers: Datagrams of senders whose tables have to be compared.
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
        self.strangers: list[messages.Datagram] = []

    def build(
        self, kind: messages.Kind, *, sequence: int, subject: str = ""
    ) -> messages.Datagram:
        """Returns a datagram with the present news."""
        return messages.Datagram(
            kind=kind,
            sequence=sequence,
            sender=self.table.own.instance,
            sender_address=self.table.own.peers,
            subject=subject,
            revision=self.revision,
            news=self.table.take_news(NEWS_PER_DATAGRAM),
        )

    def ping(self, address: str, *, sequence: int) -> Outgoing:
        """Returns a ping to an address."""
        return Outgoing(
            address, self.build(messages.Kind.PING, sequence=sequence)
        )

    def next_sequence(self) -> int:
        """Returns a fresh sequence number."""
        self.sequence += 1
        return self.sequence

    def tick(self, now: float) -> list[Outgoing]:
        """Does what is due; to be called several times a period."""
        sending: list[Outgoing] = []
        sending += self.check_probe(now)
        if now >= self.next_probe_ms:
            self.next_probe_ms = now + PERIOD_MS
            self.bury_suspects(now)
            sending += self.start_probe(now)
            sending += self.ping_suspects()
            self.table.forget_dead(now)
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
        """Pings one seed that is not known alive, to join or to rejoin.

        After a partition each side has buried the other; without this, two
        halves that forgot each other would stay apart for good.
        """
        alive = {m.peers for m in self.table.others(model.Status.ALIVE)}
        unknown = [seed for seed in self.seeds if seed not in alive]
        if not unknown:
            return []
        seed = self.rng.choice(unknown)
        ping = self.ping(seed, sequence=self.next_sequence())
        news = (*ping.datagram.news, self.table.own)
        return [Outgoing(seed, dataclasses.replace(ping.datagram, news=news))]

    def ping_suspects(self) -> list[Outgoing]:
        """Asks a few suspects directly, telling them of the suspicion.

        Lost datagrams make suspects of the living. Left to gossip alone, the
        suspicion may reach its subject too late for an answer in time.
        """
        suspects = self.table.others(model.Status.SUSPECT)
        chosen = self.rng.sample(suspects, min(SUSPECTS_ASKED, len(suspects)))
        sending = []
        for member in chosen:
            ping = self.ping(member.peers, sequence=self.next_sequence())
            news = (*ping.datagram.news, member)
            sending.append(
                Outgoing(
                    ping.address, dataclasses.replace(ping.datagram, news=news)
                )
            )
        return sending

    def next_member(self) -> model.Member | None:
        """Returns the next member of a shuffled round."""
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
        """Judges the last probe and starts the next."""
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
        """Asks others to ping a member that has not answered directly."""
        probe = self.probe
        if probe is None or probe.helped:
            return []
        if now - probe.sent_ms < DIRECT_WAIT_MS:
            return []
        probe.helped = True
        others = [
            m
            for m in self.table.others(model.Status.ALIVE)
            if m.instance != probe.member.instance
        ]
        helpers = self.rng.sample(others, min(HELPERS, len(others)))
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

    def bury_suspects(self, now: float) -> None:
        """Declares members dead that did not refute in time."""
        for member in self.table.others(model.Status.SUSPECT):
            entry = self.table.entries[member.instance]
            if now - entry.changed_ms >= SUSPECT_MS:
                self.table.change_status(
                    member.instance, model.Status.DEAD, now
                )

    def receive(
        self, datagram: messages.Datagram, now: float
    ) -> list[Outgoing]:
        """Takes a datagram and returns the answers."""
        sending: list[Outgoing] = []
        if self.is_stranger(datagram.sender):
            self.strangers.append(datagram)
        for news in datagram.news:
            self.table.merge(news, now)
        self.table.note_revision(datagram.sender, datagram.revision)
        if datagram.kind is messages.Kind.PING:
            sending.append(self.answer(datagram))
        elif datagram.kind is messages.Kind.PING_REQUEST:
            sequence = self.next_sequence()
            self.relays[sequence] = Relay(
                datagram.sender_address, datagram.sequence, now
            )
            sending.append(self.ping(datagram.subject, sequence=sequence))
        else:
            sending += self.acknowledged(datagram)
        return sending

    def is_stranger(self, instance: str) -> bool:
        """Tells whether a sender was forgotten here, or believed gone.

        Its side of a healed partition is unknown here as a whole, and news
        is spread only a few times; so the tables have to be compared.
        """
        entry = self.table.entries.get(instance)
        return entry is None or entry.member.status is model.Status.DEAD

    def take_strangers(self) -> list[messages.Datagram]:
        """Returns the datagrams of strangers since the last time."""
        strangers, self.strangers = self.strangers, []
        return strangers

    def answer(self, ping: messages.Datagram) -> Outgoing:
        """Returns the ack of a ping; it tells a forgotten sender of itself."""
        ack = self.build(messages.Kind.ACK, sequence=ping.sequence)
        entry = self.table.entries.get(ping.sender)
        if entry is not None and entry.member.status is not model.Status.ALIVE:
            ack = dataclasses.replace(ack, news=(*ack.news, entry.member))
        return Outgoing(ping.sender_address, ack)

    def acknowledged(self, ack: messages.Datagram) -> list[Outgoing]:
        """Takes an ack, for itself or for a member that asked for help."""
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

    def rumour(self) -> list[Outgoing]:
        """Returns datagrams that tell a few random members of own news."""
        others = self.table.others(model.Status.ALIVE)
        chosen = self.rng.sample(others, min(RUMOUR_PEERS, len(others)))
        return [
            self.ping(member.peers, sequence=self.next_sequence())
            for member in chosen
        ]

    def farewell(self) -> list[Outgoing]:
        """Returns datagrams that tell all others, at once, of own news."""
        return [
            self.ping(member.peers, sequence=self.next_sequence())
            for member in self.table.others(
                model.Status.ALIVE, model.Status.SUSPECT
            )
        ]
