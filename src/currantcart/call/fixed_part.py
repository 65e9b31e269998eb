"""This node's part of a number of repeats that all nodes share evenly."""

from __future__ import annotations


class FixedPart:
    """One node's part, by the nodes that it knows.

    Attributes:
      window_ms: Length of the window in which the number may be used once.
      started_at: When this process began to count repeats.
      nodes: Nodes that are assumed to share the number.
      nodes_at: When that number changed last.
    """

    def __init__(self, *, window_ms: float, started_at: float) -> None:
        self.window_ms = window_ms
        self.started_at = started_at
        self.nodes = 1
        self.nodes_at = started_at

    def note(self, nodes: int, now: float) -> None:
        """Takes how many nodes are known, this one included; 0 for unknown."""
        if nodes != self.nodes:
            self.nodes, self.nodes_at = nodes, now

    def share(self, now: float) -> float:
        """Returns this node's part, 0 to 1."""
        del now
        return 1.0 / max(1, self.nodes)
