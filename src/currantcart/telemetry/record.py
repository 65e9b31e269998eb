"""Bounded record of recent decisions, from which `explain` answers."""

from __future__ import annotations

import collections
import dataclasses
import enum
from collections.abc import Callable

RECORD_MAX = 20_000


class Event(enum.StrEnum):
    """Decisions on a call's way."""

    ACCEPTED = "accepted"
    REFUSED = "refused"
    ROUTED = "routed"
    RETRIED = "retried"
    REROUTED = "rerouted"
    QUEUED = "queued"
    RUNNING = "running"
    SHED = "shed"
    ANSWERED = "answered"
    CANCELLED = "cancelled"


@dataclasses.dataclass(frozen=True, slots=True)
class Decision:
    """One decision.

    Attributes:
      wall_ms: When.
      root_id: Root call of the chain.
      call_id: The call.
      event: What was decided.
      service: Service called.
      peer: Instance involved; empty without one.
      detail: Why, or what came out.
    """

    wall_ms: float
    root_id: str
    call_id: str
    event: Event
    service: str
    peer: str
    detail: str


class Recorder:
    """The latest decisions of one node.

    Attributes:
      entries: Oldest first, as field tuples: they are built for each call,
        and turned into `Decision`s only when someone asks.
    """

    def __init__(
        self, *, wall: Callable[[], float], most: int = RECORD_MAX
    ) -> None:
        self.wall = wall
        self.entries: collections.deque[
            tuple[float, str, str, Event, str, str, str]
        ] = collections.deque(maxlen=most)

    def note(
        self,
        event: Event,
        *,
        root_id: str,
        call_id: str,
        service: str,
        peer: str = "",
        detail: str = "",
    ) -> None:
        """Records one decision."""
        self.entries.append(
            (self.wall(), root_id, call_id, event, service, peer, detail)
        )

    def find(self, call_id: str) -> list[Decision]:
        """Returns the decisions on a call and its whole chain."""
        roots = {
            entry[1]
            for entry in self.entries
            if call_id in (entry[1], entry[2])
        }
        return [Decision(*e) for e in self.entries if e[1] in roots]
