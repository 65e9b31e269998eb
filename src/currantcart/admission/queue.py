"""Bounded queue, ordered by importance, then fairness, then arrival.

Among calls of the same priority, the workspace that was served least is next
(start-time fair queueing). A workspace with excessive load therefore waits
behind its own calls, and not ahead of the others'.
"""

from __future__ import annotations

import collections
import dataclasses
from collections.abc import Iterator


@dataclasses.dataclass(slots=True, eq=False)
class WaitingCall:
    """A call that waits for a slot.

    Attributes:
      call_id: Its id.
      workspace: Its workspace.
      priority: Its priority; calls of a higher one are served first.
      deadline_ms: When its caller stops waiting.
      arrived_ms: When it arrived.
    """

    call_id: str
    workspace: str
    priority: int
    deadline_ms: float
    arrived_ms: float


@dataclasses.dataclass(slots=True)
class Lane:
    """Waiting calls of one priority, by workspace."""

    calls: dict[str, collections.deque[WaitingCall]] = dataclasses.field(
        default_factory=dict
    )


class FairQueue:
    """Waiting calls of one target.

    Attributes:
      size: Calls that wait.
      lanes: Lanes by priority.
      tags: Virtual start time of each workspace's next call.
      virtual_time: Tag of the call served last.
    """

    def __init__(self) -> None:
        self.size = 0
        self.lanes: dict[int, Lane] = {}
        self.tags: dict[str, float] = {}
        self.virtual_time = 0.0

    def push(self, waiting: WaitingCall) -> None:
        """Appends a call to the queue of its workspace."""
        lane = self.lanes.setdefault(waiting.priority, Lane())
        lane.calls.setdefault(waiting.workspace, collections.deque()).append(
            waiting
        )
        self.size += 1

    def remove(self, waiting: WaitingCall) -> None:
        """Removes a call from the queue."""
        lane = self.lanes[waiting.priority]
        calls = lane.calls[waiting.workspace]
        calls.remove(waiting)
        self.size -= 1
        if not calls:
            del lane.calls[waiting.workspace]
        if not lane.calls:
            del self.lanes[waiting.priority]

    def charge(self, workspace: str) -> None:
        """Counts one served call of a workspace."""
        start = max(self.tags.get(workspace, 0.0), self.virtual_time)
        self.virtual_time = start
        self.tags[workspace] = start + 1.0
        if len(self.tags) > 2 * (self.size + 64):
            self.evict_idle_tags()

    def evict_idle_tags(self) -> None:
        """Evicts tags that no longer affect the order."""
        self.tags = {
            name: tag
            for name, tag in self.tags.items()
            if tag > self.virtual_time
        }

    def pop(self, *, newest_first: bool) -> WaitingCall:
        """Removes and returns the call that is served next.

        Args:
          newest_first: Whether a workspace's newest call is served first.

        Returns:
          The call; the queue must not be empty.
        """
        lane = self.lanes[max(self.lanes)]
        workspace = min(lane.calls, key=lambda name: self.tags.get(name, 0.0))
        calls = lane.calls[workspace]
        waiting = calls[-1] if newest_first else calls[0]
        self.remove(waiting)
        self.charge(workspace)
        return waiting

    def victim(self) -> WaitingCall:
        """Returns the call to drop first.

        It is the oldest of the longest queue at the lowest priority.
        """
        lane = self.lanes[min(self.lanes)]
        workspace = max(lane.calls, key=lambda name: len(lane.calls[name]))
        return lane.calls[workspace][0]

    def count_from(self, priority: int) -> int:
        """Returns how many calls of a priority or higher are waiting."""
        return sum(
            len(calls)
            for level, lane in self.lanes.items()
            if level >= priority
            for calls in lane.calls.values()
        )

    def calls_ahead(self, workspace: str, priority: int) -> int:
        """Returns how many calls are served before a workspace's next one."""
        higher = self.count_from(priority + 1)
        lane = self.lanes.get(priority)
        if lane is None:
            return higher
        same = len(lane.calls.get(workspace, ()))
        others = sum(
            min(len(calls), same + 1)
            for name, calls in lane.calls.items()
            if name != workspace
        )
        return higher + same + others

    def __iter__(self) -> Iterator[WaitingCall]:
        """Yields all waiting calls."""
        for lane in list(self.lanes.values()):
            for calls in list(lane.calls.values()):
                yield from list(calls)
