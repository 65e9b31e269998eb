"""Members of the fleet."""

from __future__ import annotations

import dataclasses
import enum


class Status(enum.IntEnum):
    """What is believed of a member; of equal incarnations the higher wins."""

    ALIVE = 0
    SUSPECT = 1
    LEAVING = 2
    DEAD = 3


@dataclasses.dataclass(frozen=True, slots=True)
class Member:
    """One instance.

    Attributes:
      instance: Its name.
      incarnation: Grows when it starts anew, refutes a suspicion, or changes
        what it announces.
      started: When its target started to serve, as milliseconds since 1970.
      status: What is believed of it.
      peers: Address of its streams and its gossip.
      admin: Address of its admin HTTP.
      failure_domain: Where it runs.
      region: Region of the failure domain.
      service: Service of its target.
      slots: Announced slots of its target; 0 while the target is down.
      ramp_ms: Time over which its target warms up.
      revision: Configuration revision in force there when last heard of.
    """

    instance: str
    incarnation: int
    started: int
    status: Status
    peers: str
    admin: str
    failure_domain: str
    region: str
    service: str
    slots: int
    ramp_ms: float
    revision: int

    def supersedes(self, other: Member) -> bool:
        """Tells whether this news replaces other news of the instance."""
        return self.order() > other.order()

    def order(self) -> tuple[int, int]:
        """Returns the key by which news of one instance is ordered.

        The revision is no news: all members change it with each edit, and at
        a thousand members that alone would fill the datagrams.
        """
        return (self.incarnation, self.status)
