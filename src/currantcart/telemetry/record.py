"""Bounded history of recent decisions, used by the `explain` command."""

from __future__ import annotations

import collections
import dataclasses
import enum
from collections.abc import Callable

RECORD_MAX = 20_000


class Event(enum.StrEnum):
    """Decisions along the path of a call."""

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
      wall_ms: Time of the decision, in milliseconds since 1970.
      root_id: Id of the root call of the chain.
      call_id: Id of the call.
      event: What was decided.
      service: Service called.
      peer: Instance involved; empty if there is none.
      detail: Reason or result.
    """

    wall_ms: float
    root_id: str
    call_id: str
    event: Event
    service: str
    peer: str
    detail: str


class Recorder:
    """Bounded history of the latest decisions of one node.

    Attributes:
      entries: Decisions, oldest first. They are stored as field tuples to
        keep the cost per call low, and are converted to `Decision`s on
        request.
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
        """Records one decision; discards the oldest when full."""
        self.entries.append(
            (self.wall(), root_id, call_id, event, service, peer, detail)
        )

    def find(self, call_id: str) -> list[Decision]:
        """Returns the decisions on a call and on its complete chain."""
        roots = {
            entry[1]
            for entry in self.entries
            if call_id in (entry[1], entry[2])
        }
        return [Decision(*e) for e in self.entries if e[1] in roots]
