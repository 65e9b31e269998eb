"""Retry budget of a service at one node.

Retries are further attempts of a request and the calls made by a retry. In any
window, all nodes together may send a service a ratio of its requests plus a
fixed number (the slack) as retries. The ratio applies to the requests
of that window or of the one before it, whichever are more. If each node took
the larger of the two, the sum would exceed the bound where callers move
between nodes, so each node uses the mean of both. The sum of the means is the
mean of the sums and no more than the larger sum: the bound holds however
callers move, whatever a node knows about the others, and also for a node that
has just started and has no counts from before.
"""

from __future__ import annotations

import dataclasses
import math

BUCKETS = 40
RATIO_FRACTION = 0.92
"""Fraction of the allowed ratio that is used.

A retry may wait at its target, so the retries sent in slightly more than one
window can arrive within one.
"""
SLACK_FRACTION = 0.75


@dataclasses.dataclass(frozen=True, slots=True)
class Usage:
    """Usage of a retry budget at one moment.

    Attributes:
      requests: Requests in the window that ends now.
      repeats: Retries in the window that ends now.
      left: Retries that may still be sent.
    """

    requests: int
    repeats: int
    left: float


class RetryBudget:
    """Requests and retries of one service in a sliding window.

    Attributes:
      ratio: Retries allowed per request.
      slack: Retries that all nodes together may send beyond the ratio.
      window_ms: Length of the window.
      bucket_ms: Length of a bucket, the resolution of the counts.
      requests: Requests by bucket number.
      retries: Retries by bucket number.
      refused_at: Time of the last refusal; -inf before the first.
    """

    def __init__(self, *, ratio: float, slack: float, window_ms: float) -> None:
        self.ratio = ratio
        self.slack = slack
        self.window_ms = window_ms
        self.bucket_ms = window_ms / BUCKETS
        self.requests: dict[int, int] = {}
        self.retries: dict[int, int] = {}
        self.refused_at = float("-inf")

    def count_request(self, now: float) -> None:
        """Counts a request for the service."""
        self.add(self.requests, now)

    def take(self, now: float, *, share: float) -> bool:
        """Takes one retry from the budget; returns whether one was left.

        Args:
          now: Milliseconds of the node's clock.
          share: This node's share of the slack, 0 to 1.
        """
        return self.spend(now, left=self.left(now, share=share))

    def spend(self, now: float, *, left: float) -> bool:
        """Takes one retry from the budget; returns whether one was left.

        Args:
          now: Milliseconds of the node's clock.
          left: Result of `left` at this moment.
        """
        if left < 1:
            self.refused_at = now
            return False
        self.add(self.retries, now)
        return True

    def left(self, now: float, *, share: float) -> float:
        """Returns how many retries may be sent now, at least 0.

        Each window that contains the present moment has a limit of its own,
        and the lowest remainder applies. Buckets that lie only partly in a
        window count for its retries but not for its requests.

        Args:
          now: Milliseconds of the node's clock.
          share: This node's share of the slack, 0 to 1.
        """
        requests, retries = self.requests, self.retries
        fixed = self.slack * SLACK_FRACTION * share
        per_request = self.ratio * RATIO_FRACTION / 2
        counted = self.requests_in_window(now)
        sent, least = 0, math.inf
        newest = self.bucket_at(now)
        for start in range(newest, newest - BUCKETS - 1, -1):
            sent += retries.get(start, 0)
            least = min(least, per_request * counted + fixed - sent)
            counted += requests.get(start - BUCKETS, 0)
        return max(0.0, least)

    def usage(self, now: float, *, share: float) -> Usage:
        """Returns the usage of the budget now.

        Args:
          now: Milliseconds of the node's clock.
          share: This node's share of the slack, 0 to 1.
        """
        return Usage(
            self.requests_in_window(now),
            self.retries_in_window(now),
            self.left(now, share=share),
        )

    def requests_in_window(self, now: float) -> int:
        """Returns the number of requests in the window that ends now."""
        return self.count_in_window(self.requests, now)

    def retries_in_window(self, now: float) -> int:
        """Returns the number of retries in the window that ends now."""
        return self.count_in_window(self.retries, now)

    def count_in_window(self, counts: dict[int, int], now: float) -> int:
        """Returns the sum of the buckets of the window that ends now."""
        newest = self.bucket_at(now)
        window = range(newest - BUCKETS + 1, newest + 1)
        return sum(counts.get(bucket, 0) for bucket in window)

    def bucket_at(self, now: float) -> int:
        """Returns the number of the bucket that a moment lies in."""
        return int(now // self.bucket_ms)

    def add(self, counts: dict[int, int], now: float) -> None:
        """Adds one to the present bucket; discards expired buckets."""
        bucket = self.bucket_at(now)
        if bucket in counts:
            counts[bucket] += 1
            return
        oldest = bucket - 2 * BUCKETS
        for expired in [key for key in counts if key < oldest]:
            del counts[expired]
        counts[bucket] = 1
