"""Estimates the admissions that other nodes have not reported yet.

Each node takes from its copy of a bucket what it admits itself and what its
peers report. Between two reports all nodes would admit on the same tokens, so
a node assumes that the others admit as it does, each by its part of the
workspace's demand, until their reports arrive.
"""

from __future__ import annotations

import collections

HALF_LIFE_MS = 10_000.0
"""Time in which what is known of the nodes' parts loses half its weight.

Callers stay at their nodes for longer than most pauses between two requests.
"""
PRIOR = 4.0
"""Requests, evenly divided, that stand for a workspace nothing is known of."""
STEP_MS = 10.0


class Unreported:
    """The estimate for one workspace.

    Attributes:
      own: Requests that this node admitted, faded with time, without the
        recent ones: of those the others' part isn't known yet.
      fleet: The same of all nodes.
      recent: Requests of this node that the others may not have heard of, with
        their times.
      last: What the others had probably admitted at the last look.
    """

    def __init__(self) -> None:
        self.own = 0.0
        self.fleet = 0.0
        self.at = 0.0
        self.recent: collections.deque[tuple[float, int]] = collections.deque()
        self.recent_sum = 0
        self.last = 0.0

    def fade(self, now: float) -> None:
        """Lets what was known lose weight."""
        kept = 0.5 ** (max(0.0, now - self.at) / HALF_LIFE_MS)
        self.at = now
        self.own *= kept
        self.fleet *= kept

    def note_own(self, now: float) -> None:
        """Takes a request that this node admits."""
        self.recent_sum += 1
        if self.recent and now - self.recent[-1][0] < STEP_MS:
            at, count = self.recent[-1]
            self.recent[-1] = (at, count + 1)
        else:
            self.recent.append((now, 1))

    def note_peer(self, count: int, now: float) -> None:
        """Takes what a peer reports that it has admitted."""
        self.fade(now)
        self.fleet += max(0, count)

    def share(self, nodes: int) -> float:
        """Returns this node's part of the workspace's admissions, 0 to 1."""
        return (self.own + PRIOR / nodes) / (self.fleet + PRIOR)

    def count(
        self, now: float, *, nodes: int, lag_ms: float, free: float
    ) -> float:
        """Returns what the others have probably admitted and not reported.

        Args:
          now: Milliseconds of the node's clock.
          nodes: Nodes that admit, this one included.
          lag_ms: Time after which this node has heard of an admission.
          free: Requests of the others that aren't counted.
        """
        while self.recent and self.recent[0][0] <= now - lag_ms:
            told = self.recent.popleft()[1]
            self.recent_sum -= told
            self.fade(now)
            self.own += told
            self.fleet += told
        # A single request is no evidence of demand at the other nodes.
        pressing = max(0, self.recent_sum - 1) if nodes > 1 else 0
        self.last = pressing * (1.0 / self.share(nodes) - 1.0)
        return max(0.0, self.last - free)
