"""One node's share of a workspace's rate and burst, with loans to other nodes.

Each of the N nodes of the fleet generates rate/N tokens a second and holds at
most burst/N. A node that lacks tokens borrows from others. A loan serves only
for a moment, counted by the borrower from before it asked, and for that moment
the lender holds as much less. So at every time all tokens in the fleet are at
most the burst, and over any span no more than rate x time + burst are spent:
whoever dies, is paused or cut off, and whatever messages are lost.
"""

from __future__ import annotations

import collections

from currantcart import clock

LOAN_MS = 150.0
DEMAND_WINDOW_MS = 500.0
RESERVE_MS = 100.0
WHOLE = 1.0 - 1e-9


class Loans:
    """Amounts that count until a time.

    Attributes:
      entries: Pairs of the end and the amount, in the order they were made.
    """

    def __init__(self) -> None:
        self.entries: collections.deque[tuple[float, float]] = (
            collections.deque()
        )

    def add(self, amount: float, *, until: float) -> None:
        """Adds an amount."""
        self.entries.append((until, amount))

    def total(self, now: float) -> float:
        """Returns the sum of what still counts."""
        if self.entries and self.entries[0][0] <= now:
            self.entries = collections.deque(
                entry for entry in self.entries if entry[0] > now
            )
        return sum(amount for until, amount in self.entries if until > now)

    def spend(self, amount: float, now: float) -> float:
        """Takes up to an amount, what ends first first; returns the rest."""
        self.total(now)
        while self.entries and amount > 0:
            until, held = self.entries.popleft()
            used = min(held, amount)
            amount -= used
            if held > used:
                self.entries.appendleft((until, held - used))
        return amount


class Share:
    """Tokens of one workspace at one node.

    Attributes:
      rate: Own tokens a second.
      burst: Most own tokens held or lent.
      tokens: Own tokens at `updated_ms`.
      lent: Loans to others that still count.
      borrowed: Loans from others that still serve.
      demand: Calls that came in the present and the previous window.
    """

    def __init__(self, *, rate: float, burst: float, now: float) -> None:
        self.rate = rate
        self.burst = burst
        # A node that starts full would hand out another burst each time it
        # is replaced.
        self.tokens = 0.0
        self.updated_ms = now
        self.lent = Loans()
        self.borrowed = Loans()
        self.demand = 0
        self.previous_demand = 0
        self.window_ms = now

    def refill(self, now: float) -> None:
        """Adds what the rate brought since the last refill."""
        if now <= self.updated_ms:
            return
        gained = (now - self.updated_ms) * self.rate / clock.MS_PER_SECOND
        room = max(0.0, self.burst - self.lent.total(now))
        self.tokens = min(room, self.tokens + gained)
        self.updated_ms = now

    def resize(self, *, rate: float, burst: float, now: float) -> None:
        """Takes new limits; tokens in hand never grow by it."""
        self.refill(now)
        self.rate = rate
        self.burst = burst
        room = max(0.0, burst - self.lent.total(now))
        self.tokens = min(self.tokens, room)

    def count_demand(self, now: float) -> None:
        """Counts a call that wants a token."""
        elapsed_ms = now - self.window_ms
        if elapsed_ms >= DEMAND_WINDOW_MS:
            fresh = elapsed_ms < 2 * DEMAND_WINDOW_MS
            self.previous_demand = self.demand if fresh else 0
            self.demand = 0
            self.window_ms = now
        self.demand += 1

    def demand_over(self, span_ms: float) -> float:
        """Estimates the calls that will come within a span."""
        seen = max(self.demand, self.previous_demand)
        return seen * span_ms / DEMAND_WINDOW_MS

    def take(self, now: float) -> bool:
        """Takes one token if own and borrowed ones make up one."""
        self.refill(now)
        if self.tokens + self.borrowed.total(now) < WHOLE:
            return False
        rest = self.borrowed.spend(1.0, now)
        self.tokens = max(0.0, self.tokens - rest)
        return True

    def lend(self, amount: float, now: float) -> float:
        """Lends to another node what this one does not soon need itself."""
        self.refill(now)
        spare = self.tokens - self.demand_over(RESERVE_MS)
        given = min(amount, spare)
        if not given > 0:
            return 0.0
        self.tokens -= given
        self.lent.add(given, until=now + LOAN_MS)
        return given

    def borrow(self, amount: float, *, asked_ms: float) -> None:
        """Takes a loan.

        Args:
          amount: Its size.
          asked_ms: When it was asked for: earlier than the lender lent it,
            so it ends here before it ends there.
        """
        self.borrowed.add(amount, until=asked_ms + LOAN_MS)

    def wait_ms(self, now: float) -> float:
        """Returns how long until a token of its own, in ms."""
        self.refill(now)
        missing = max(0.0, 1.0 - self.tokens)
        if self.rate <= 0 or self.burst < WHOLE:
            return clock.MS_PER_SECOND
        return missing / self.rate * clock.MS_PER_SECOND
