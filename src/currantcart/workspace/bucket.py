"""Token bucket for one workspace at one node."""

from __future__ import annotations

from currantcart import clock


class TokenBucket:
    """Admits calls so that they never exceed rate x time + burst.

    Attributes:
      rate: Tokens a second.
      burst: Most tokens held.
      tokens: Tokens at `updated_ms`.
      updated_ms: Time of the last refill.
    """

    def __init__(self, *, rate: float, burst: float, now: float) -> None:
        self.rate = rate
        self.burst = burst
        self.tokens = burst
        self.updated_ms = now

    def refill(self, now: float) -> None:
        """Adds what the rate brought since the last refill."""
        elapsed_ms = max(0.0, now - self.updated_ms)
        gained = elapsed_ms * self.rate / clock.MS_PER_SECOND
        self.tokens = min(self.burst, self.tokens + gained)
        self.updated_ms = max(now, self.updated_ms)

    def resize(self, *, rate: float, burst: float, now: float) -> None:
        """Takes new limits; tokens in hand never grow by it."""
        self.refill(now)
        self.rate = rate
        self.burst = burst
        self.tokens = min(self.tokens, burst)

    def take(self, now: float) -> bool:
        """Takes one token if there is one."""
        self.refill(now)
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True

    def wait_ms(self, now: float) -> float:
        """Returns how long until the next token, in ms."""
        self.refill(now)
        missing = max(0.0, 1.0 - self.tokens)
        if self.rate <= 0:
            return clock.MS_PER_MINUTE
        return missing / self.rate * clock.MS_PER_SECOND
