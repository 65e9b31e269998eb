"""Decides which requests are retried, within the retry budgets."""

from __future__ import annotations

from collections.abc import Callable

from currantcart import clock
from currantcart.call import attempt, budget, slack_share
from currantcart.proxy import context as proxy_context
from currantcart.proxy import settings as proxy_settings
from currantcart.proxy.requests import call as call_module
from currantcart.proxy.targets import guard

CALLED_BY_RETRY = "called_by_repeat"
"""Cause of a call made by a retried run of the request above it."""


class Retries:
    """The retry budgets of one node.

    Attributes:
      budgets: Retry budgets by service.
      slack_share: This node's share of the fixed number of retries that the
        fleet may send beyond the ratio.
    """

    def __init__(
        self, context: proxy_context.Context, *, node_count: Callable[[], int]
    ) -> None:
        self.context = context
        self.node_count = node_count
        self.budgets: dict[str, budget.RetryBudget] = {}
        self.slack_share = self.new_slack_share()

    @property
    def window_ms(self) -> float:
        """Length of the window in which retries are counted."""
        bounds = self.context.settings.bounds
        return bounds.retry_window_seconds * clock.MS_PER_SECOND

    def budget_of(self, service: str) -> budget.RetryBudget:
        """Returns the retry budget of a service."""
        found = self.budgets.get(service)
        if found is None:
            bounds = self.context.settings.bounds
            found = self.budgets[service] = budget.RetryBudget(
                ratio=bounds.retry_ratio,
                slack=bounds.retry_slack,
                window_ms=self.window_ms,
            )
        return found

    def use_bounds(self, bounds: proxy_settings.Bounds) -> None:
        """Applies changed bounds; retries already sent still count."""
        if self.window_ms != self.slack_share.window_ms:
            # Counts of a window of another length can't be converted. As
            # after a start, the budgets that they held count as used up.
            self.budgets.clear()
            self.slack_share = self.new_slack_share()
        for retry_budget in self.budgets.values():
            retry_budget.ratio, retry_budget.slack = (
                bounds.retry_ratio,
                bounds.retry_slack,
            )

    def new_slack_share(self) -> slack_share.SlackShare:
        """Returns the share of a process that starts counting now."""
        return slack_share.SlackShare(
            window_ms=self.window_ms, started_at=self.context.now
        )

    def record_fleet_size(self) -> None:
        """Records the number of known nodes; called at regular intervals."""
        self.slack_share.observe_nodes(self.node_count(), self.context.now)

    def share(self) -> float:
        """Returns this node's share of the fixed number of retries, 0 to 1."""
        return self.slack_share.share(self.context.now)

    def usages(self) -> dict[str, budget.Usage]:
        """Returns the current state of each service's retry budget."""
        now, share = self.context.now, self.share()
        return {
            service: retry_budget.usage(now, share=share)
            for service, retry_budget in self.budgets.items()
        }

    def nodes_age(self) -> float:
        """Returns the seconds since the assumed number of nodes changed."""
        since = self.context.now - self.slack_share.nodes_at
        return since / clock.MS_PER_SECOND

    def gauges(self) -> dict[str, Callable[[], dict[str, float]]]:
        """Returns the gauges of the budgets, by metric name.

        Each reads one value by service.
        """

        def each(
            value: Callable[[budget.Usage], float],
        ) -> Callable[[], dict[str, float]]:
            return lambda: {
                service: value(usage)
                for service, usage in self.usages().items()
            }

        return {
            "retry_budget_requests": each(lambda usage: usage.requests),
            "retry_budget_repeats": each(lambda usage: usage.repeats),
            "retry_budget_left": each(lambda usage: usage.left),
            "retry_budget_share": each(lambda _: self.share()),
        }

    def admit(self, call: call_module.Call) -> bool:
        """Counts a new request; returns whether it may be sent at all.

        A call made by a retried request counts as a retry itself, and is sent
        only if the retry budget of its service allows it.
        """
        if call.lineage.is_retry:
            return self.spend_budget(call, CALLED_BY_RETRY)
        self.budget_of(call.service).count_request(self.context.now)
        self.context.counts.add("budgeted_requests", call.service)
        return True

    def take_retry(self, call: call_module.Call) -> bool:
        """Spends a retry on a request, if route, deadline and budget allow."""
        route, now = call.request.route, self.context.now
        allowed = (
            attempt.may_retry(call.outcomes[-1], idempotent=route.idempotent)
            and call.handed_to_targets < route.attempts_max
            and call.expires_at - now > guard.LATE_MS * 2
        )
        return allowed and self.spend_budget(call, call.last_code)

    def spend_budget(self, call: call_module.Call, cause: str) -> bool:
        """Spends a retry from the budget of a request's service, if any left.

        Args:
          call: The request.
          cause: Why it is a retry, for metrics and log.
        """
        retry_budget, share = self.budget_of(call.service), self.share()
        usage = retry_budget.usage(self.context.now, share=share)
        taken = retry_budget.spend(self.context.now, left=usage.left)
        name = "repeats" if taken else "repeats_refused"
        self.context.counts.add(name, call.service, cause)
        is_call = cause == CALLED_BY_RETRY
        sent = CALLED_BY_RETRY if is_call else "tried_again"
        self.context.log.event(
            sent if taken else "repeat_refused",
            id=call.request.request_id,
            service=call.service,
            cause=cause,
            after_ms=round(self.context.now - call.started_at),
            requests=usage.requests,
            repeats=usage.repeats,
            left=round(usage.left, 1),
            share=round(share, 4),
            nodes=self.slack_share.nodes,
            nodes_age_ms=round(self.nodes_age() * clock.MS_PER_SECOND),
        )
        return taken
