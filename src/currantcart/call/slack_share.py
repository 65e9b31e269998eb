"""This node's share of the retry slack, which all nodes share evenly."""

from __future__ import annotations

import collections

REMEMBERED_WINDOWS = 6
"""Time for which a larger fleet is remembered, in windows.

A node that is cut off, and nodes that others no longer see, still use their
shares.
"""


class SlackShare:
    """One node's share, by the largest fleet that it has seen recently.

    A process has no share in its first window: its predecessor may have used
    the node's share up, and the number of nodes isn't known yet.

    Attributes:
      window_ms: Length of the window in which the slack may be used once.
      started_at: When this process began to count retries.
      sizes: Fleet sizes and when they were observed: those that are, or may
        become, the largest of the remembered time, in descending order.
      nodes: Number of nodes assumed to share the slack; 0 for unknown.
      nodes_at: When that number last changed.
    """

    def __init__(self, *, window_ms: float, started_at: float) -> None:
        self.window_ms = window_ms
        self.started_at = started_at
        self.sizes: collections.deque[tuple[float, int]] = collections.deque()
        self.nodes = 0
        self.nodes_at = started_at

    def observe_nodes(self, nodes: int, now: float) -> None:
        """Records the number of known nodes, with this one; 0 for unknown."""
        while self.sizes and self.sizes[-1][1] <= nodes:
            self.sizes.pop()
        self.sizes.append((now, nodes))
        oldest = now - REMEMBERED_WINDOWS * self.window_ms
        while self.sizes[0][0] < oldest:
            self.sizes.popleft()
        largest = self.sizes[0][1]
        if largest != self.nodes:
            self.nodes, self.nodes_at = largest, now

    def share(self, now: float) -> float:
        """Returns this node's share of the slack, 0 to 1."""
        if not self.nodes or now - self.started_at < self.window_ms:
            return 0.0
        return 1.0 / self.nodes
