"""One node's share of a workspace's rate and burst, with loans to other nodes.

Each of the N nodes generates rate/N tokens per second and holds at most
burst/N. A node that lacks tokens borrows from others. A loan is valid for a
short time, which the borrower counts from before its request; for that time the
capacity of the lender is reduced by the loan. The tokens of all nodes are
therefore never more than the burst, and over any span at most rate x time +
burst are spent, even if nodes fail, pause or are partitioned, or messages are
lost.
"""

from __future__ import annotations

import collections

from currantcart import clock

LOAN_MS = 150.0
DEMAND_WINDOW_MS = 500.0
RESERVED_DEMAND_MS = 100.0
ONE_TOKEN = 1.0 - 1e-9


class Loans:
    """Loans that are valid until a time.

    Attributes:
      entries: Pairs of expiry time and amount, in the order they were added.
    """

    def __init__(self) -> None:
        self.entries: collections.deque[tuple[float, float]] = (
            collections.deque()
        )

    def add(self, amount: float, *, until: float) -> None:
        """Adds a loan."""
        self.entries.append((until, amount))

    def total(self, now: float) -> float:
        """Returns the sum of the loans that are still valid."""
        if self.entries and self.entries[0][0] <= now:
            self.entries = collections.deque(
                entry for entry in self.entries if entry[0] > now
            )
        return sum(amount for until, amount in self.entries if until > now)

    def spend(self, amount: float, now: float) -> float:
        """Spends up to an amount, in the order of adding.

        Returns:
          The part of the amount that the loans did not cover.
        """
        self.total(now)
        while self.entries and amount > 0:
            until, available = self.entries.popleft()
            spent = min(available, amount)
            amount -= spent
            if available > spent:
                self.entries.appendleft((until, available - spent))
        return amount


class Share:
    """Tokens of one workspace at one node.

    Attributes:
      rate: Local tokens generated per second.
      burst: Largest number of local tokens held or lent.
      tokens: Local tokens at `updated_ms`.
      lent: Loans to other nodes that are still valid.
      borrowed: Loans from other nodes that are still valid.
      demand: Calls that arrived in the current window.
      previous_demand: Calls that arrived in the previous window.
    """

    def __init__(self, *, rate: float, burst: float, now: float) -> None:
        self.rate = rate
        self.burst = burst
        # A node that started with a full bucket would admit another burst each
        # time it is replaced.
        self.tokens = 0.0
        self.updated_ms = now
        self.lent = Loans()
        self.borrowed = Loans()
        self.demand = 0
        self.previous_demand = 0
        self.window_ms = now

    def refill(self, now: float) -> None:
        """Adds the tokens generated since the last refill."""
        if now <= self.updated_ms:
            return
        generated = (now - self.updated_ms) * self.rate / clock.MS_PER_SECOND
        capacity = max(0.0, self.burst - self.lent.total(now))
        self.tokens = min(capacity, self.tokens + generated)
        self.updated_ms = now

    def resize(self, *, rate: float, burst: float, now: float) -> None:
        """Applies new limits; the tokens held never increase by it."""
        self.refill(now)
        self.rate = rate
        self.burst = burst
        capacity = max(0.0, burst - self.lent.total(now))
        self.tokens = min(self.tokens, capacity)

    def count_demand(self, now: float) -> None:
        """Counts a call that needs a token."""
        elapsed_ms = now - self.window_ms
        if elapsed_ms >= DEMAND_WINDOW_MS:
            is_recent = elapsed_ms < 2 * DEMAND_WINDOW_MS
            self.previous_demand = self.demand if is_recent else 0
            self.demand = 0
            self.window_ms = now
        self.demand += 1

    def demand_over(self, span_ms: float) -> float:
        """Returns the estimated number of calls that arrive within a span."""
        calls = max(self.demand, self.previous_demand)
        return calls * span_ms / DEMAND_WINDOW_MS

    def take(self, now: float) -> bool:
        """Spends one token, if local and borrowed ones add up to one.

        Returns:
          Whether a token was spent.
        """
        self.refill(now)
        if self.tokens + self.borrowed.total(now) < ONE_TOKEN:
            return False
        rest = self.borrowed.spend(1.0, now)
        self.tokens = max(0.0, self.tokens - rest)
        return True

    def lend(self, amount: float, now: float) -> float:
        """Lends tokens that this node is not expected to need soon.

        Args:
          amount: Tokens that another node asks for.
          now: Milliseconds of the node's clock.

        Returns:
          Tokens that were lent; 0 if there are none to spare.
        """
        self.refill(now)
        spare = self.tokens - self.demand_over(RESERVED_DEMAND_MS)
        lent = min(amount, spare)
        if not lent > 0:
            return 0.0
        self.tokens -= lent
        self.lent.add(lent, until=now + LOAN_MS)
        return lent

    def borrow(self, amount: float, *, asked_ms: float) -> None:
        """Adds a loan from another node.

        Args:
          amount: Tokens that were lent.
          asked_ms: When it was requested. That is before the lender granted it,
            so the loan expires at the borrower before it does at the lender.
        """
        self.borrowed.add(amount, until=asked_ms + LOAN_MS)

    def wait_ms(self, now: float) -> float:
        """Returns how long it takes until there is a local token, in ms."""
        self.refill(now)
        missing = max(0.0, 1.0 - self.tokens)
        if self.rate <= 0 or self.burst < ONE_TOKEN:
            return clock.MS_PER_SECOND
        return missing / self.rate * clock.MS_PER_SECOND
