"""Logs changes of state that no single request shows."""

from __future__ import annotations

from typing import Protocol, TypeVar

from currantcart.call import budget
from currantcart.proxy import context as proxy_context
from currantcart.workspace import quota

EXHAUSTED_MS = 1_000.0
"""Time after a refusal for which a rate or a budget counts as exhausted.

Under a steady surplus either has something left again and again.
"""


class StateLog:
    """Logs when freshness, rates and retry budgets are exhausted or restored.

    Attributes:
      budgets: Retry budgets by service; whoever made this adds to it.
      fresh: Whether keys could be served at the last look.
      over_rate: Workspaces that were over their rate at the last look.
      spent: Services without repeats left at the last look.
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
        """Logs what has changed since the last time."""
        self.log_freshness(now)
        self.log_rates(now)
        self.log_budgets(now)

    def log_freshness(self, now: float) -> None:
        """Logs that keys can, or can no longer, be shown to be current."""
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
        """Logs workspaces that have come to the end of their rate, or back."""
        present = refused_lately(self.quotas.buckets, now)
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
        """Logs services whose repeats are used up, or are there again."""
        present = refused_lately(self.budgets, now)
        for name in sorted(present.keys() - self.spent):
            self.context.log.event(
                "budget_exhausted",
                service=name,
                requests=present[name].requests_in_window(now),
                repeats=present[name].repeats_in_window(now),
            )
        for name in sorted(self.spent - present.keys()):
            self.context.log.event("budget_regained", service=name)
        self.spent = set(present)


class Refusing(Protocol):
    """What refuses when it has nothing left."""

    refused_at: float


Held = TypeVar("Held", bound=Refusing)


def refused_lately(all_: dict[str, Held], now: float) -> dict[str, Held]:
    """Returns those that had nothing left for one that asked lately."""
    return {
        name: held
        for name, held in all_.items()
        if now - held.refused_at < EXHAUSTED_MS
    }
