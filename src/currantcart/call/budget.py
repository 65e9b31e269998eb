"""How many repeated arrivals a service gets from this node.

All nodes together may send a service a ratio of its requests plus a fixed
number again in any window. The ratio part each node keeps by counting its
own requests; of the fixed part each node takes an even share, since a fault
that makes one node repeat usually makes all of them repeat.
"""

from __future__ import annotations

import collections
import dataclasses

BUCKETS = 10
RATIO_KEPT = 0.9
"""Part of the allowed ratio that is used.

What other nodes count may differ a little from what this one counts.
"""
SLACK_KEPT = 0.75
DECLINE_MAX = 1.25
"""How much more than the present window an earlier one may count.

Chains that fail early make fewer calls, so a service that turns requests away
is asked less and would be repeated less. The bound counts an earlier window
where it has more; each node sees only its own part, and callers that move from
node to node must not count at both.
"""


@dataclasses.dataclass(frozen=True, slots=True)
class Standing:
    """What a budget holds at a moment.

    Attributes:
      requests: Requests of the present window.
      repeats: Repeats of the present window.
      allowed: Repeats that the window may have.
    """

    requests: int
    repeats: int
    allowed: float

    @property
    def left(self) -> float:
        """Repeats that may still be sent."""
        return max(0.0, self.allowed - self.repeats)


class RetryBudget:
    """Requests and repeats of one service over a sliding window.

    Attributes:
      ratio: Repeats allowed for each request.
      slack: Repeats that this node may send beyond the ratio.
      window_ms: Length of the window.
      requests: Requests of the present window, by bucket.
      earlier: Requests of the window before.
      repeats: Repeats of the present window.
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
        self.earlier: collections.deque[tuple[float, int]] = collections.deque()
        self.repeats: collections.deque[tuple[float, int]] = collections.deque()
        self.request_sum = 0
        self.repeat_sum = 0
        self.refused_at = float("-inf")

    def note_request(self, now: float) -> None:
        """Counts a request for the service."""
        self.add(self.requests, now)
        self.request_sum += 1

    def note_repeat(self, now: float) -> None:
        """Counts an arrival that repeats another, whoever decided on it."""
        self.add(self.repeats, now)
        self.repeat_sum += 1

    def take(self, now: float, *, share: float) -> bool:
        """Takes one repeat out of the budget, if there is one.

        Args:
          now: Milliseconds of the node's clock.
          share: This node's part of the fixed number, 0 to 1.
        """
        if self.standing(now, share=share).left < 1:
            self.refused_at = now
            return False
        self.note_repeat(now)
        return True

    def standing(self, now: float, *, share: float) -> Standing:
        """Returns what the budget holds now.

        Args:
          now: Milliseconds of the node's clock.
          share: This node's part of the fixed number, 0 to 1.
        """
        self.expire(now)
        allowed = (
            self.ratio * RATIO_KEPT * self.counted(now)
            + self.slack * SLACK_KEPT * share
        )
        return Standing(self.request_sum, self.repeat_sum, allowed)

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

    def counted(self, now: float) -> float:
        """Returns the requests that the ratio applies to.

        Those of the present window, of the one before it or of the one half
        a window before it, whichever are most.
        """
        whole = now - self.window_ms - self.bucket_ms
        half = whole + self.window_ms * 0.5
        before = sum(count for at, count in self.earlier if at <= whole)
        later = sum(
            count
            for at, count in self.earlier
            if at >= now - 1.5 * self.window_ms
        )
        first = sum(count for at, count in self.requests if at <= half)
        most = max(self.request_sum, before, later + first)
        return min(most, DECLINE_MAX * self.request_sum)

    def expire(self, now: float) -> None:
        """Forgets what lies before the windows.

        Requests leave a window as soon as their bucket begins to leave it,
        repeats only when it has left whole, so that the rounding never
        allows more.
        """
        while self.requests and self.requests[0][0] < now - self.window_ms:
            left = self.requests.popleft()
            self.request_sum -= left[1]
            self.earlier.append(left)
        while self.earlier and self.earlier[0][0] < now - 2 * self.window_ms:
            self.earlier.popleft()
        oldest = now - self.window_ms - self.bucket_ms
        while self.repeats and self.repeats[0][0] < oldest:
            self.repeat_sum -= self.repeats.popleft()[1]
