"""How many repeated arrivals a service gets from this node.

All nodes together may send a service a ratio of its requests plus a fixed
number again in any window. The requests of the window itself count, or those
of the one before it, whichever are more; a choice of the larger one by each
node would add up to more than that where callers move between nodes. So each
node counts the mean of both. The mean of the sums is the sum of the means, and
no more than the larger sum: the bound holds however callers move, whatever a
node knows of the others, and whenever it starts and knows nothing of before.
"""

from __future__ import annotations

import dataclasses
import math

BUCKETS = 40
RATIO_KEPT = 0.92
"""Part of the allowed ratio that is used.

A repeat may wait beside its target, so that those of a little more than one
window can arrive in one.
"""
SLACK_KEPT = 0.75


@dataclasses.dataclass(frozen=True, slots=True)
class Standing:
    """What a budget holds at a moment.

    Attributes:
      requests: Requests of the present window.
      repeats: Repeats of the present window.
      left: Repeats that may still be sent.
    """

    requests: int
    repeats: int
    left: float


class RetryBudget:
    """Requests and repeats of one service over a sliding window.

    Attributes:
      ratio: Repeats allowed for each request.
      slack: Repeats that all nodes may send beyond the ratio.
      window_ms: Length of the window.
      bucket_ms: Length of the pieces of time that are counted together.
      requests: Requests by piece of time.
      repeats: Repeats by piece of time.
      refused_at: When it had none for one that asked.
    """

    def __init__(self, *, ratio: float, slack: float, window_ms: float) -> None:
        self.ratio = ratio
        self.slack = slack
        self.window_ms = window_ms
        self.bucket_ms = window_ms / BUCKETS
        self.requests: dict[int, int] = {}
        self.repeats: dict[int, int] = {}
        self.refused_at = float("-inf")

    def note_request(self, now: float) -> None:
        """Counts a request for the service."""
        self.add(self.requests, now)

    def take(self, now: float, *, share: float) -> bool:
        """Takes one repeat out of the budget, if there is one.

        Args:
          now: Milliseconds of the node's clock.
          share: This node's part of the fixed number, 0 to 1.
        """
        return self.spend(now, left=self.left(now, share=share))

    def spend(self, now: float, *, left: float) -> bool:
        """Takes one repeat out of what is known to be left, if it is one."""
        if left < 1:
            self.refused_at = now
            return False
        self.add(self.repeats, now)
        return True

    def left(self, now: float, *, share: float) -> float:
        """Returns how many repeats may be sent now, 0 at least.

        Every window that the present moment lies in has to bear them, so the
        least of what they bear is left. Pieces of time that lie only partly
        in a window count for repeats and not for requests.

        Args:
          now: Milliseconds of the node's clock.
          share: This node's part of the fixed number, 0 to 1.
        """
        requests, repeats = self.requests, self.repeats
        fixed = self.slack * SLACK_KEPT * share
        per_request = self.ratio * RATIO_KEPT / 2
        counted = self.requests_in_window(now)
        sent, least = 0, math.inf
        newest = self.bucket(now)
        for start in range(newest, newest - BUCKETS - 1, -1):
            sent += repeats.get(start, 0)
            least = min(least, per_request * counted + fixed - sent)
            counted += requests.get(start - BUCKETS, 0)
        return max(0.0, least)

    def standing(self, now: float, *, share: float) -> Standing:
        """Returns what the budget holds now.

        Args:
          now: Milliseconds of the node's clock.
          share: This node's part of the fixed number, 0 to 1.
        """
        return Standing(
            self.requests_in_window(now),
            self.repeats_in_window(now),
            self.left(now, share=share),
        )

    def requests_in_window(self, now: float) -> int:
        """Returns the requests of the window that ends now."""
        return self.in_window(self.requests, now)

    def repeats_in_window(self, now: float) -> int:
        """Returns the repeats of the window that ends now."""
        return self.in_window(self.repeats, now)

    def in_window(self, counts: dict[int, int], now: float) -> int:
        """Returns the sum of the pieces of the window that ends now."""
        newest = self.bucket(now)
        pieces = range(newest - BUCKETS + 1, newest + 1)
        return sum(counts.get(bucket, 0) for bucket in pieces)

    def bucket(self, now: float) -> int:
        """Returns the number of the piece of time that a moment lies in."""
        return int(now // self.bucket_ms)

    def add(self, counts: dict[int, int], now: float) -> None:
        """Adds one to the newest piece of time; forgets the oldest ones."""
        bucket = self.bucket(now)
        if bucket in counts:
            counts[bucket] += 1
            return
        oldest = bucket - 2 * BUCKETS
        for passed in [key for key in counts if key < oldest]:
            del counts[passed]
        counts[bucket] = 1
