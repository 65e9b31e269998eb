"""The member table and the news that is still to be spread."""

from __future__ import annotations

import dataclasses
import math
from collections.abc import Iterable

from currantcart.membership import model

RETRANSMIT_FACTOR = 3
DEAD_MEMORY_MS = 60_000.0


@dataclasses.dataclass(slots=True)
class Entry:
    """What is known of one member.

    Attributes:
      member: Last news of it.
      changed_ms: When its status changed here.
      sends_left: How often its news is still to be sent.
    """

    member: model.Member
    changed_ms: float
    sends_left: int


class MemberTable:
    """All members known to one node, itself included.

    Attributes:
      own: This node's own entry as it announces it.
      entries: All members by instance, this node included.
    """

    def __init__(self, *, own: model.Member, now: float) -> None:
        self.own = own
        self.entries: dict[str, Entry] = {}
        self.version = 0
        self.announce(own, now)

    def sends(self) -> int:
        """Returns how often one piece of news is sent by each node.

        Logarithmic in the fleet: enough to reach all with high probability,
        while the bytes of a datagram stay bounded.
        """
        return RETRANSMIT_FACTOR * math.ceil(math.log2(len(self.entries) + 2))

    def announce(self, own: model.Member, now: float) -> None:
        """Takes a new state of this node itself and spreads it."""
        self.own = own
        self.put(own, now)

    def put(self, member: model.Member, now: float) -> None:
        """Stores news and queues it for spreading."""
        self.entries[member.instance] = Entry(member, now, self.sends())
        self.version += 1

    def note_revision(self, instance: str, revision: int) -> None:
        """Remembers the revision of a member, without spreading it."""
        entry = self.entries.get(instance)
        if entry is not None and entry.member.revision < revision:
            entry.member = dataclasses.replace(entry.member, revision=revision)
            if instance == self.own.instance:
                self.own = entry.member

    def merge(self, news: model.Member, now: float) -> bool:
        """Takes news from a peer.

        Returns:
          Whether it changed anything.
        """
        if news.instance == self.own.instance:
            return self.merge_own(news, now)
        entry = self.entries.get(news.instance)
        if entry is None:
            if news.status is model.Status.DEAD:
                return False
            self.put(news, now)
            return True
        if not news.supersedes(entry.member):
            return False
        self.put(news, now)
        return True

    def merge_table(self, members: Iterable[model.Member], now: float) -> None:
        """Takes a peer's whole table.

        A peer from the other side of a healed partition believes this whole
        side dead. Taken at its word, a healing would make every instance
        disappear until it refutes; as a suspicion it only asks for that.
        """
        for member in members:
            status = min(member.status, model.Status.SUSPECT)
            if member.status is model.Status.LEAVING:
                status = member.status
            entry = self.entries.get(member.instance)
            if member.status is model.Status.DEAD and entry is None:
                continue
            self.merge(dataclasses.replace(member, status=status), now)

    def merge_own(self, news: model.Member, now: float) -> bool:
        """Answers news about this node itself.

        A node that is suspected or called dead, since it was paused or cut
        off, is avoided by all until it says otherwise: it refutes with a
        higher incarnation.
        """
        if not news.supersedes(self.own):
            return False
        if news.incarnation == self.own.incarnation and (
            news.status <= self.own.status
        ):
            return False
        self.announce(
            dataclasses.replace(self.own, incarnation=news.incarnation + 1),
            now,
        )
        return True

    def change_status(
        self, instance: str, status: model.Status, now: float
    ) -> bool:
        """Raises the status of a member on this node's own evidence."""
        entry = self.entries.get(instance)
        if entry is None or entry.member.status >= status:
            return False
        self.put(dataclasses.replace(entry.member, status=status), now)
        return True

    def take_news(self, most: int) -> tuple[model.Member, ...]:
        """Returns the least spread news and counts it as sent."""
        pending = [e for e in self.entries.values() if e.sends_left > 0]
        pending.sort(key=lambda entry: -entry.sends_left)
        chosen = pending[:most]
        for entry in chosen:
            entry.sends_left -= 1
        return tuple(entry.member for entry in chosen)

    def forget_dead(self, now: float) -> None:
        """Drops members that have been dead or gone for long."""
        for instance, entry in list(self.entries.items()):
            gone = entry.member.status in (
                model.Status.DEAD,
                model.Status.LEAVING,
            )
            if gone and now - entry.changed_ms > DEAD_MEMORY_MS:
                del self.entries[instance]
                self.version += 1

    def others(self, *statuses: model.Status) -> list[model.Member]:
        """Returns the other members of given statuses."""
        return [
            entry.member
            for entry in self.entries.values()
            if entry.member.status in statuses
            and entry.member.instance != self.own.instance
        ]

    def members(self) -> list[model.Member]:
        """Returns all members, this node included."""
        return [entry.member for entry in self.entries.values()]
