"""State of one peer."""

from __future__ import annotations

import asyncio
import dataclasses
from collections.abc import Iterable

import msgspec

from currantcart.proxy.streams import frames, link
from currantcart.routing import picker


def target_of(member: frames.Member) -> picker.Target:
    """Returns a node's target, in the state before its first report."""
    return picker.Target(member.instance, member.service, member.failure_domain)


@dataclasses.dataclass(slots=True)
class Peer:
    """A peer, from its discovery until it is removed.

    Attributes:
      member: Its description of itself.
      target: Its target.
      outgoing: Stream on which this node opens calls to it.
      incoming: Stream on which it opens calls to this node.
      dialling: Task that opens the outgoing stream, while it runs.
      dial_after: Earliest time to open the outgoing stream again.
      received_at: When its introduction or last status was received; at first,
        when it was discovered.
      has_reported: Whether its process has sent a status.
      version: Configuration version that it serves.
      started_at: Start of its process; negative infinity while unknown.
      ended: Whether it has sent a leave message.
      sequence: `sequence` of the newest status that was applied, directly or
        through a relay; 0 before the first.
      relays: Whether it can relay statuses, as far as is known.
      state: State of its target that was reported last.
    """

    member: frames.Member
    target: picker.Target
    outgoing: link.Link | None = None
    incoming: link.Link | None = None
    dialling: asyncio.Task[None] | None = None
    dial_after: float = 0.0
    received_at: float = 0.0
    has_reported: bool = False
    version: int = 0
    started_at: float = float("-inf")
    ended: bool = False
    sequence: int = 0
    relays: bool = True
    state: frames.TargetState = dataclasses.field(
        default_factory=frames.TargetState
    )

    def links(self) -> Iterable[link.Link]:
        """Returns the open streams."""
        return [item for item in (self.outgoing, self.incoming) if item]

    def is_restart(self, member: frames.Member) -> bool:
        """Returns whether a member is this one with another process."""
        return member != self.member and self.member == msgspec.structs.replace(
            member, process=self.member.process
        )

    def restart(self, member: frames.Member) -> None:
        """Resets the state that the previous process has reported."""
        self.member = member
        self.target = target_of(member)
        self.has_reported = False
        self.version = 0
        self.started_at = float("-inf")
        self.ended = False
        self.sequence = 0
        self.relays = True
        self.state = frames.TargetState()
