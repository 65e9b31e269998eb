"""Paces the requests to a target that accepts only so many per second.

All requests to a target pass the node beside it, so its bucket bounds what the
target gets from the whole fleet.
"""

from __future__ import annotations

import math

BURST_MS = 250.0
"""Time for which unused requests are saved up, so that bursts lose little."""
PER_SECOND_MIN = 0.5
"""Rate to a target that accepts nothing.

Only the answer to a request can show that the target accepts more again.
"""
UNKNOWN_BURST = 3.0
"""Requests sent at once before the first answer.

Requests differ in work, so the first of several is answered soon.
"""
UNKNOWN_PER_SECOND = 2.0
"""Rate after them, until the first answer of the target.

It may have stated a limit to the previous process of this node, or before it
started anew. Until an answer shows whether it still has one, it must not get
all that it can run at once.
"""


class TargetRate:
    """Token bucket of one target.

    Attributes:
      per_second: Requests per second that the target gets; infinite without a
        limit.
      is_known: Whether an answer of the target has shown its limit, or that it
        has none.
      tokens: Requests that could be sent at `refilled_at`.
      refilled_at: When `tokens` was worked out, on the node's clock.
    """

    def __init__(
        self, per_second: float = math.inf, *, is_known: bool = True
    ) -> None:
        self.per_second = per_second
        self.is_known = is_known
        self.tokens = 0.0 if is_known else UNKNOWN_BURST
        self.refilled_at = 0.0

    @property
    def is_limited(self) -> bool:
        """Whether the target has stated a limit."""
        return self.is_known and self.per_second < math.inf

    def set_limit(self, per_second: float, now: float) -> None:
        """Applies a limit that the target has stated.

        Args:
          per_second: Requests per second; infinite for no limit.
          now: Milliseconds of the node's clock.
        """
        limit = max(PER_SECOND_MIN, per_second)
        if self.is_known and limit == self.per_second:
            return
        had_limit = self.is_limited
        self.refill(now)
        self.is_known = True
        self.per_second = limit
        # What was sent without a limit counts against the new one.
        self.tokens = min(self.tokens, self.burst) if had_limit else 0.0

    def forget_limit(self, now: float) -> None:
        """Makes a limit unknown, as the target has started anew."""
        if self.is_limited:
            self.refill(now)
            self.per_second, self.is_known = UNKNOWN_PER_SECOND, False
            self.tokens = UNKNOWN_BURST

    @property
    def burst(self) -> float:
        """Most requests that are saved up."""
        if not self.is_known:
            return UNKNOWN_BURST
        return max(1.0, self.per_second * BURST_MS / 1e3)

    def refill(self, now: float) -> None:
        """Adds the requests that were allowed since the last call."""
        if self.per_second < math.inf:
            elapsed_ms = now - self.refilled_at
            earned = self.per_second * elapsed_ms / 1e3
            self.tokens = min(self.burst, self.tokens + earned)
        self.refilled_at = now

    def wait_ms(self, now: float, *, ahead: int = 0) -> float:
        """Returns the time until a request may be sent, in ms.

        Args:
          now: Milliseconds of the node's clock.
          ahead: Requests that are sent before it.
        """
        if self.per_second == math.inf:
            return 0.0
        self.refill(now)
        return max(0.0, (1 + ahead - self.tokens) * 1e3 / self.per_second)

    def expected_wait_ms(self, now: float, *, ahead: int) -> float:
        """Returns the expected wait of a request, in ms.

        Before the first answer none is expected: the answer is due soon, and
        mostly ends the assumed limit.
        """
        return self.wait_ms(now, ahead=ahead) if self.is_known else 0.0

    def take(self, now: float) -> None:
        """Counts a request that is sent."""
        if self.per_second < math.inf:
            self.refill(now)
            self.tokens -= 1.0

    def give_back(self) -> None:
        """Takes back the count of a request that was not sent after all."""
        self.tokens += 1.0


def unknown() -> TargetRate:
    """Returns the rate of a target before its first answer."""
    return TargetRate(UNKNOWN_PER_SECOND, is_known=False)
