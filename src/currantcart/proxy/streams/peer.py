"""One peer, from the first word of it until it is gone."""

from __future__ import annotations

import asyncio
import dataclasses
from collections.abc import Iterable

import msgspec

from currantcart.proxy.streams import frames, link
from currantcart.routing import picker


def target_of(member: frames.Member) -> picker.Target:
    """Returns the target beside a node, of which nothing is known yet."""
    return picker.Target(member.instance, member.service, member.failure_domain)


@dataclasses.dataclass(slots=True)
class Peer:
    """A peer, from the first word of it until it is gone.

    Attributes:
      member: What it says of itself.
      target: The target beside it.
      outgoing: Stream on which this node opens calls to it.
      incoming: Stream on which it opens calls to this node.
      heard_at: When it was heard last, or first named.
      has_told: Whether it has told its status.
      version: Configuration version that it serves.
      started_at: When its process began; far back when that isn't known.
      ended: Whether it said that its process ends.
    """

    member: frames.Member
    target: picker.Target
    outgoing: link.Link | None = None
    incoming: link.Link | None = None
    dialling: asyncio.Task[None] | None = None
    dial_after: float = 0.0
    heard_at: float = 0.0
    has_told: bool = False
    version: int = 0
    started_at: float = float("-inf")
    ended: bool = False

    def links(self) -> Iterable[link.Link]:
        """Returns the streams that stand."""
        return [item for item in (self.outgoing, self.incoming) if item]

    def is_restart(self, member: frames.Member) -> bool:
        """Tells whether a member is this one with another process."""
        return member != self.member and self.member == msgspec.structs.replace(
            member, process=self.member.process
        )

    def restart(self, member: frames.Member) -> None:
        """Forgets what the process before has told."""
        self.member = member
        self.target = target_of(member)
        self.has_told = False
        self.version = 0
        self.started_at = float("-inf")
        self.ended = False
