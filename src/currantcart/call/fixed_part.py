"""This node's part of a number of repeats that all nodes share evenly."""

from __future__ import annotations

import collections

REMEMBERED_WINDOWS = 6
"""Time for which a larger fleet is remembered, in windows.

A node that is cut off, and nodes that others have lost sight of, still share.
"""


class FixedPart:
    """One node's part, by the largest fleet that it has known lately.

    A process takes no part in its first window: the one before it may have
    used the node's part up, and how many nodes there are isn't known yet.

    Attributes:
      window_ms: Length of the window in which the number may be used once.
      started_at: When this process began to count repeats.
      known: Numbers of nodes with their times, those that may be the largest
        of a remembered time, the largest first.
      nodes: Nodes that are assumed to share the number; 0 for unknown.
      nodes_at: When that number changed last.
    """

    def __init__(self, *, window_ms: float, started_at: float) -> None:
        self.window_ms = window_ms
        self.started_at = started_at
        self.known: collections.deque[tuple[float, int]] = collections.deque()
        self.nodes = 0
        self.nodes_at = started_at

    def note(self, nodes: int, now: float) -> None:
        """Takes how many nodes are known, this one included; 0 for unknown."""
        while self.known and self.known[-1][1] <= nodes:
            self.known.pop()
        self.known.append((now, nodes))
        oldest = now - REMEMBERED_WINDOWS * self.window_ms
        while self.known[0][0] < oldest:
            self.known.popleft()
        largest = self.known[0][1]
        if largest != self.nodes:
            self.nodes, self.nodes_at = largest, now

    def share(self, now: float) -> float:
        """Returns this node's part, 0 to 1."""
        if not self.nodes or now - self.started_at < self.window_ms:
            return 0.0
        return 1.0 / self.nodes
