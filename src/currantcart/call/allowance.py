"""Retry allowance of one root call, and the retry ratio of one node.

Retries multiply at each hop of a deep chain: each level repeats all that the
levels below it have repeated. Here one allowance is created with the
root call and only ever divided, so the whole chain retries at most that often.
"""

from __future__ import annotations


class Allowance:
    """Retries that remain to one call and all calls below it.

    A part is lent to each call that goes down and comes back with its answer.
    What is lent to a call whose answer is lost stays lost: the sum over the
    chain never grows.
    """

    def __init__(self, remaining: int) -> None:
        self.remaining = max(0, remaining)

    def lend(self) -> int:
        """Takes the larger half for a call one level down."""
        lent = (self.remaining + 1) // 2
        self.remaining -= lent
        return lent

    def give_back(self, unused: int, *, lent: int) -> None:
        """Takes back what a call below did not use.

        Args:
          unused: What the answer says is left.
          lent: What had been lent; a larger `unused` is cut to it, so that a
            faulty peer cannot create retries.
        """
        self.remaining += max(0, min(unused, lent))

    def spend(self) -> bool:
        """Uses one retry if any is left."""
        if self.remaining == 0:
            return False
        self.remaining -= 1
        return True


RETRY_RATIO = 0.1
RETRY_BURST = 10.0


class RetryBudget:
    """Limits the retries of one node to a share of its first attempts.

    The allowance bounds one call; this bounds the sum, so that a service that
    fails for all callers is not also hit by one retry for each of them.
    """

    def __init__(
        self, *, ratio: float = RETRY_RATIO, burst: float = RETRY_BURST
    ) -> None:
        self.ratio = ratio
        self.burst = burst
        self.credit = burst

    def first_attempt(self) -> None:
        """Counts a first attempt, which earns a part of a retry."""
        self.credit = min(self.burst, self.credit + self.ratio)

    def spend(self) -> bool:
        """Uses one retry if the ratio allows it."""
        if self.credit < 1.0:
            return False
        self.credit -= 1.0
        return True
