"""How many repeated arrivals a service gets from this node.

All nodes together may send a service a ratio of its requests plus a fixed
number again in any window. The ratio part each node keeps by counting its
own requests; of the fixed part each node takes an even share, since a fault
that makes one node repeat usually makes all of them repeat.
"""

from __future__ import annotations

import collections

BUCKETS = 10
RATIO_KEPT = 0.8
"""Part of the allowed ratio that is used.

A repeated request also repeats the calls that its target makes, and those
count at services further down, where this node does not see them.
"""
SLACK_KEPT = 0.75


class RetryBudget:
    """Requests and repeats of one service over a sliding window.

    Attributes:
      ratio: Repeats allowed for each request.
      slack: Repeats that this node may send beyond the ratio.
      window_ms: Length of the window.
      refused_at: When it had none for one that asked.
    """

    def __init__(self, *, ratio: float, slack: float, window_ms: float) -> None:
        self.ratio = ratio
        self.slack = slack
        self.window_ms = window_ms
        self.bucket_ms = window_ms / BUCKETS
        self.requests: collections.deque[tuple[float, int]] = (
            collections.deque()
        )
        self.repeats: collections.deque[tuple[float, int]] = collections.deque()
        self.request_sum = 0
        self.repeat_sum = 0
        self.refused_at = float("-inf")

    def note_request(self, now: float) -> None:
        """Counts a request for the service."""
        self.add(self.requests, now)
        self.request_sum += 1

    def take(self, now: float, *, share: float) -> bool:
        """Takes one repeat out of the budget, if there is one.

        Args:
          now: Milliseconds of the node's clock.
          share: This node's part of the fixed number, 0 to 1.
        """
        self.expire(now)
        allowed = (
            self.ratio * RATIO_KEPT * self.request_sum
            + self.slack * SLACK_KEPT * share
        )
        if self.repeat_sum + 1 > allowed:
            self.refused_at = now
            return False
        self.add(self.repeats, now)
        self.repeat_sum += 1
        return True

    def add(
        self, buckets: collections.deque[tuple[float, int]], now: float
    ) -> None:
        """Adds one to the newest bucket."""
        self.expire(now)
        start = now - now % self.bucket_ms
        if buckets and buckets[-1][0] == start:
            buckets[-1] = (start, buckets[-1][1] + 1)
        else:
            buckets.append((start, 1))

    def expire(self, now: float) -> None:
        """Forgets what lies before the window.

        Requests are forgotten as soon as their bucket begins to leave the
        window, repeats only when it has left whole, so that the rounding
        never allows more.
        """
        while self.requests and self.requests[0][0] < now - self.window_ms:
            self.request_sum -= self.requests.popleft()[1]
        oldest = now - self.window_ms - self.bucket_ms
        while self.repeats and self.repeats[0][0] < oldest:
            self.repeat_sum -= self.repeats.popleft()[1]
