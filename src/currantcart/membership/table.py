"""Member table and the updates that are still to be disseminated."""

from __future__ import annotations

import dataclasses
import math
from collections.abc import Iterable

from currantcart.membership import model

RETRANSMIT_FACTOR = 3
DEAD_RETENTION_MS = 60_000.0


@dataclasses.dataclass(slots=True)
class Entry:
    """Local state of one member.

    Attributes:
      member: The latest update.
      changed_ms: When the entry last changed locally.
      sends_left: How many more times the update is to be sent.
    """

    member: model.Member
    changed_ms: float
    sends_left: int


class MemberTable:
    """All members known to one node, including the node itself.

    Attributes:
      own: The local member as it is announced.
      entries: All members by instance, including the local one.
      version: Increases when an entry is stored or removed.
    """

    def __init__(self, *, own: model.Member, now: float) -> None:
        self.own = own
        self.entries: dict[str, Entry] = {}
        self.version = 0
        self.announce(own, now)

    def sends_per_update(self) -> int:
        """Returns how many times each node sends one update.

        The number is logarithmic in the size of the fleet: enough to reach
        all members with high probability while datagrams stay bounded.
        """
        return RETRANSMIT_FACTOR * math.ceil(math.log2(len(self.entries) + 2))

    def announce(self, own: model.Member, now: float) -> None:
        """Replaces the local member and queues it for dissemination."""
        self.own = own
        self.put(own, now)

    def put(self, member: model.Member, now: float) -> None:
        """Stores an update and queues it for dissemination."""
        self.entries[member.instance] = Entry(
            member, now, self.sends_per_update()
        )
        self.version += 1

    def record_revision(self, instance: str, revision: int) -> None:
        """Records the revision of a member without disseminating it."""
        entry = self.entries.get(instance)
        if entry is not None and entry.member.revision < revision:
            entry.member = dataclasses.replace(entry.member, revision=revision)
            if instance == self.own.instance:
                self.own = entry.member

    def merge(self, update: model.Member, now: float) -> bool:
        """Applies an update received from a peer.

        Returns:
          Whether the update changed the table.
        """
        if update.instance == self.own.instance:
            return self.refute(update, now)
        entry = self.entries.get(update.instance)
        if entry is None:
            if update.status is model.Status.DEAD:
                return False
            self.put(update, now)
            return True
        if not update.supersedes(entry.member):
            return False
        self.put(update, now)
        return True

    def merge_table(self, members: Iterable[model.Member], now: float) -> None:
        """Merges the complete table of a peer.

        A peer from the other side of a healed partition lists all members of
        this side as dead. If that were applied, every instance would
        disappear until it refutes. So dead is downgraded to suspect, which
        only asks the members to refute.
        """
        for member in members:
            status = min(member.status, model.Status.SUSPECT)
            if member.status is model.Status.LEAVING:
                status = member.status
            entry = self.entries.get(member.instance)
            if member.status is model.Status.DEAD and entry is None:
                continue
            self.merge(dataclasses.replace(member, status=status), now)

    def refute(self, update: model.Member, now: float) -> bool:
        """Refutes an update about the local member with a new incarnation.

        A node that was paused or cut off is suspected or confirmed dead, and
        all others avoid it until it announces a higher incarnation.

        Returns:
          Whether the update was refuted.
        """
        if not update.supersedes(self.own):
            return False
        if update.incarnation == self.own.incarnation and (
            update.status <= self.own.status
        ):
            return False
        self.announce(
            dataclasses.replace(self.own, incarnation=update.incarnation + 1),
            now,
        )
        return True

    def change_status(
        self, instance: str, status: model.Status, now: float
    ) -> bool:
        """Raises the status of a member on local evidence.

        Returns:
          Whether the status changed.
        """
        entry = self.entries.get(instance)
        if entry is None or entry.member.status >= status:
            return False
        self.put(dataclasses.replace(entry.member, status=status), now)
        return True

    def take_updates(self, most: int) -> tuple[model.Member, ...]:
        """Returns the updates sent least often and counts them as sent."""
        pending = [e for e in self.entries.values() if e.sends_left > 0]
        pending.sort(key=lambda entry: -entry.sends_left)
        chosen = pending[:most]
        for entry in chosen:
            entry.sends_left -= 1
        return tuple(entry.member for entry in chosen)

    def remove_dead(self, now: float) -> None:
        """Removes members that were dead or leaving for the retention time."""
        for instance, entry in list(self.entries.items()):
            gone = entry.member.status in (
                model.Status.DEAD,
                model.Status.LEAVING,
            )
            if gone and now - entry.changed_ms > DEAD_RETENTION_MS:
                del self.entries[instance]
                self.version += 1

    def others(self, *statuses: model.Status) -> list[model.Member]:
        """Returns the other members that have one of the statuses."""
        return [
            entry.member
            for entry in self.entries.values()
            if entry.member.status in statuses
            and entry.member.instance != self.own.instance
        ]

    def members(self) -> list[model.Member]:
        """Returns all members, including the local one."""
        return [entry.member for entry in self.entries.values()]
