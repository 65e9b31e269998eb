"""Retry allowance of one root call, and the retry budget of one node.

Retries multiply at each hop of a deep chain, because each level retries all
that the levels below it have retried already. So one allowance is created with
the root call and only ever divided: it bounds the retries of the complete
chain.
"""

from __future__ import annotations


class Allowance:
    """Retries left for one call and all calls below it.

    Each downstream call is lent a part, and what it did not use is returned
    with its answer. A part lent to a call whose answer is lost is not
    returned, so the sum over the chain never grows.

    Attributes:
      remaining: Retries left.
    """

    def __init__(self, remaining: int) -> None:
        self.remaining = max(0, remaining)

    def lend(self) -> int:
        """Lends the larger half to a call one level down and returns it."""
        lent = (self.remaining + 1) // 2
        self.remaining -= lent
        return lent

    def give_back(self, unused: int, *, lent: int) -> None:
        """Returns the unused part of a loan to the allowance.

        Args:
          unused: Retries left according to the answer.
          lent: Retries lent to the call. A larger `unused` is reduced to it,
            so that a faulty peer cannot create retries.
        """
        self.remaining += max(0, min(unused, lent))

    def spend(self) -> bool:
        """Uses one retry; returns whether one was left."""
        if self.remaining == 0:
            return False
        self.remaining -= 1
        return True


RETRY_RATIO = 0.1
RETRY_BURST = 10.0


class RetryBudget:
    """Limits the retries of one node to a ratio of its first attempts.

    The allowance bounds the retries of one call. This bounds their sum, so
    that a service that fails for all callers does not get a retry from each.

    Attributes:
      ratio: Retries earned by each first attempt.
      burst: Largest number of retries that can be saved up.
      credit: Retries available now.
    """

    def __init__(
        self, *, ratio: float = RETRY_RATIO, burst: float = RETRY_BURST
    ) -> None:
        self.ratio = ratio
        self.burst = burst
        self.credit = burst

    def count_first_attempt(self) -> None:
        """Counts a first attempt, which earns a fraction of a retry."""
        self.credit = min(self.burst, self.credit + self.ratio)

    def spend(self) -> bool:
        """Uses one retry; returns whether the ratio allowed it."""
        if self.credit < 1.0:
            return False
        self.credit -= 1.0
        return True
