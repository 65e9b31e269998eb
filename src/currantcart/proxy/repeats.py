"""Which requests are handed to a second target."""

from __future__ import annotations

from collections.abc import Callable

from currantcart.call import attempt, budget
from currantcart.proxy import call as call_module
from currantcart.proxy import context as proxy_context
from currantcart.proxy import guard


class Repeats:
    """The retry budgets of one node.

    Attributes:
      budgets: Retry budgets by service.
    """

    def __init__(
        self, context: proxy_context.Context, *, node_count: Callable[[], int]
    ) -> None:
        self.context = context
        self.node_count = node_count
        self.budgets: dict[str, budget.RetryBudget] = {}

    def budget_of(self, service: str) -> budget.RetryBudget:
        """Returns the retry budget of a service."""
        found = self.budgets.get(service)
        if found is None:
            bounds = self.context.settings.bounds
            found = self.budgets[service] = budget.RetryBudget(
                ratio=bounds.retry_ratio,
                slack=bounds.retry_slack,
                window_ms=bounds.retry_window_seconds * 1_000,
            )
        return found

    def note(self, call: call_module.Call) -> None:
        """Counts a request for a service.

        What a further run calls counts as repeats at the services below.
        """
        kept, now = self.budget_of(call.service), self.context.now
        if call.lineage.repeated:
            kept.note_repeat(now)
        else:
            kept.note_request(now)

    def take(self, call: call_module.Call) -> bool:
        """Takes a repeat for a request, if route, time and budget allow."""
        route, now = call.request.route, self.context.now
        allowed = (
            attempt.may_retry(call.outcomes[-1], idempotent=route.idempotent)
            and call.handed_to_targets < route.attempts_max
            and call.expires_at - now > guard.LATE_MS * 2
        )
        if not allowed:
            return False
        share = 1.0 / self.node_count()
        return self.budget_of(call.service).take(now, share=share)
