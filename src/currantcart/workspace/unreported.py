"""Estimates the admissions that other nodes have not reported yet.

Each node subtracts from its copy of a bucket what it admits and what its peers
report. Between two reports, all nodes would admit requests on the same tokens.
Until the reports arrive, a node therefore assumes that the others admit at the
same rate as it does, in proportion to their shares of the workspace's demand.
"""

from __future__ import annotations

import collections

HALF_LIFE_MS = 10_000.0
"""Half-life of the observed shares of the nodes.

Callers keep to their nodes for longer than most pauses between two requests.
"""
PRIOR_REQUESTS = 4.0
"""Requests, evenly divided over the nodes, assumed before any are observed."""
RECENT_STEP_MS = 10.0


class Unreported:
    """Estimate of the unreported admissions of one workspace.

    Attributes:
      local: Requests that this node admitted, decayed with time. Recent ones
        are excluded, as the others' admissions of that time are not known yet.
      fleet: The same for all nodes.
      updated_at: Time up to which `local` and `fleet` are decayed.
      recent: Recent requests that this node admitted, as pairs of time and
        count; the others' admissions of that time may be unreported.
      recent_sum: Number of recent requests.
      last: Estimate of the others' unreported admissions when `count` was
        called last.
    """

    def __init__(self) -> None:
        self.local = 0.0
        self.fleet = 0.0
        self.updated_at = 0.0
        self.recent: collections.deque[tuple[float, int]] = collections.deque()
        self.recent_sum = 0
        self.last = 0.0

    def decay(self, now: float) -> None:
        """Decays the observed requests up to the current time."""
        weight = 0.5 ** (max(0.0, now - self.updated_at) / HALF_LIFE_MS)
        self.updated_at = now
        self.local *= weight
        self.fleet *= weight

    def record_local(self, now: float) -> None:
        """Records a request that this node admits."""
        self.recent_sum += 1
        if self.recent and now - self.recent[-1][0] < RECENT_STEP_MS:
            began_at, count = self.recent[-1]
            self.recent[-1] = (began_at, count + 1)
        else:
            self.recent.append((now, 1))

    def record_peer(self, count: int, now: float) -> None:
        """Records requests that a peer reports to have admitted."""
        self.decay(now)
        self.fleet += max(0, count)

    def share(self, nodes: int) -> float:
        """Returns this node's share of the workspace's admissions, 0 to 1."""
        return (self.local + PRIOR_REQUESTS / nodes) / (
            self.fleet + PRIOR_REQUESTS
        )

    def count(
        self, now: float, *, nodes: int, lag_ms: float, free: float
    ) -> float:
        """Returns the estimate of what others have admitted and not reported.

        Args:
          now: Milliseconds of the node's clock.
          nodes: Nodes that admit requests, this one included.
          lag_ms: Time after which an admission has been reported to this node.
          free: Requests of the others that are not counted.
        """
        while self.recent and self.recent[0][0] <= now - lag_ms:
            reported = self.recent.popleft()[1]
            self.recent_sum -= reported
            self.decay(now)
            self.local += reported
            self.fleet += reported
        # A single request is no evidence of demand at the other nodes.
        demand = max(0, self.recent_sum - 1) if nodes > 1 else 0
        self.last = demand * (1.0 / self.share(nodes) - 1.0)
        return max(0.0, self.last - free)
