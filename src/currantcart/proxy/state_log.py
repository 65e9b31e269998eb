"""Logs state changes that are not visible in the log of a single request."""

from __future__ import annotations

from typing import Protocol, TypeVar

from currantcart.call import budget
from currantcart.proxy import context as proxy_context
from currantcart.workspace import quota

EXHAUSTED_MS = 1_000.0
"""Time for which a rate or a budget counts as exhausted after a refusal.

Under sustained excess demand either has something left again between refusals;
without this hold time the log would alternate between exhausted and restored.
"""


class StateLog:
    """Logs when freshness, rates and retry budgets are exhausted or restored.

    Attributes:
      budgets: Retry budgets by service; the owner adds entries to it.
      fresh: Whether the configuration was fresh enough to serve requests with
        keys, at the last check.
      over_rate: Workspaces whose rate was exhausted at the last check.
      spent: Services whose retry budget was exhausted at the last check.
    """

    def __init__(
        self,
        context: proxy_context.Context,
        *,
        quotas: quota.Quotas,
        budgets: dict[str, budget.RetryBudget],
    ) -> None:
        self.context = context
        self.quotas = quotas
        self.budgets = budgets
        self.fresh = False
        self.over_rate: set[str] = set()
        self.spent: set[str] = set()

    def log_changes(self, now: float) -> None:
        """Logs all changes since the last call."""
        self.log_freshness(now)
        self.log_rates(now)
        self.log_budgets(now)

    def log_freshness(self, now: float) -> None:
        """Logs that the freshness needed to serve keys was lost or regained."""
        known = self.context.freshness
        bound_ms = self.context.settings.bounds.revoke_seconds * 1_000
        fresh = known.may_serve_keys(now, bound_ms=bound_ms)
        if fresh == self.fresh:
            return
        self.fresh = fresh
        self.context.log.event(
            "freshness_regained" if fresh else "freshness_lost",
            version=known.version,
            age_ms=round(min(1e9, known.age(now))),
        )

    def log_rates(self, now: float) -> None:
        """Logs workspaces whose rate was exhausted or is available again."""
        present = recently_refused(self.quotas.buckets, now)
        for name in sorted(present.keys() - self.over_rate):
            bucket = present[name]
            self.context.log.event(
                "rate_exhausted",
                workspace=name,
                tokens=round(bucket.tokens, 1),
                rate=round(bucket.rate_per_ms * 1_000, 1),
                burst=bucket.burst,
                silent_share=round(self.quotas.silent_share, 2),
            )
        for name in sorted(self.over_rate - present.keys()):
            self.context.log.event("rate_regained", workspace=name)
        self.over_rate = set(present)

    def log_budgets(self, now: float) -> None:
        """Logs services whose retry budget is exhausted or available again."""
        present = recently_refused(self.budgets, now)
        for name in sorted(present.keys() - self.spent):
            self.context.log.event(
                "budget_exhausted",
                service=name,
                requests=present[name].requests_in_window(now),
                repeats=present[name].retries_in_window(now),
            )
        for name in sorted(self.spent - present.keys()):
            self.context.log.event("budget_regained", service=name)
        self.spent = set(present)


class Limiter(Protocol):
    """A rate or budget that records its last refusal.

    Attributes:
      refused_at: Time of the last refusal, on the node's clock.
    """

    refused_at: float


LimiterT = TypeVar("LimiterT", bound=Limiter)


def recently_refused(
    limiters: dict[str, LimiterT], now: float
) -> dict[str, LimiterT]:
    """Returns the limiters that refused within the last `EXHAUSTED_MS`."""
    return {
        name: limiter
        for name, limiter in limiters.items()
        if now - limiter.refused_at < EXHAUSTED_MS
    }
