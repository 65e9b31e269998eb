"""Members of the fleet."""

from __future__ import annotations

import dataclasses
import enum


class Status(enum.IntEnum):
    """Status of a member; at equal incarnations the higher value wins."""

    ALIVE = 0
    SUSPECT = 1
    LEAVING = 2
    DEAD = 3


@dataclasses.dataclass(frozen=True, slots=True)
class Member:
    """One instance.

    Attributes:
      instance: Its name.
      incarnation: Increases when the instance restarts, refutes a suspicion
        or changes what it announces.
      started: When its target started to serve, in milliseconds since 1970.
      status: Status as known locally.
      peers: Address for streams and gossip.
      admin: Address of its admin HTTP server.
      failure_domain: Failure domain in which it runs.
      region: Region of the failure domain.
      service: Service of its target.
      slots: Announced slots of its target; 0 while the target is down.
      ramp_ms: Warm-up time of its target.
      revision: Last known configuration revision in force there.
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
        """Returns whether this update overrides another of the instance."""
        return self.order() > other.order()

    def order(self) -> tuple[int, int]:
        """Returns the key that orders updates of one instance.

        The revision is left out: all members change it with each edit, and
        with a thousand members its dissemination alone would fill the
        datagrams.
        """
        return (self.incarnation, self.status)
