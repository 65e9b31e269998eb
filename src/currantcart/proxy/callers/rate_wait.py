"""Requests of callers that wait for a token of their workspace's rate limit.

`workspace.rate_queue` decides; this module runs its timer, checks a granted
request again, and answers a refused one.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from currantcart.proxy import context as proxy_context
from currantcart.proxy.callers import exchange as exchange_module
from currantcart.proxy.requests import intake
from currantcart.workspace import quota, rate_line, rate_queue, response_times

MS = 1_000.0
DRAINING_RETRY_MS = intake.NOT_READY_RETRY_MS


class RateWait:
    """Waiting requests of one node.

    Attributes:
      queue: Decides which requests wait and in which order they go on.
      times: Times to a response of requests near a rate limit.
      exchanges: Exchange of each waiting request.
      timer: Calls `sweep`; None if nothing waits.
    """

    def __init__(
        self,
        context: proxy_context.Context,
        *,
        quotas: quota.Quotas,
        check: Callable[
            [exchange_module.Exchange], intake.Request | intake.Rejection
        ],
        begin: Callable[[exchange_module.Exchange, intake.Request], None],
        reject: Callable[[exchange_module.Exchange, intake.Rejection], None],
        on_error: Callable[[exchange_module.Exchange, Exception], None],
    ) -> None:
        """Initializes it.

        Args:
          context: Shared state of the node.
          quotas: Rate limits of the workspaces.
          check: Checks a request that has a token again.
          begin: Routes a request that has a token.
          reject: Answers a request that is not routed.
          on_error: Answers a request whose handling has raised an error.
        """
        self.context = context
        self.quotas = quotas
        self.check = check
        self.begin = begin
        self.reject = reject
        self.on_error = on_error
        bounds = context.settings.rate_queue
        self.queue = rate_queue.RateQueue(
            quotas,
            rng=context.rng,
            requests_max=bounds.requests_max,
            bytes_max=bounds.bytes_max,
        )
        self.times = response_times.ResponseTimes()
        self.exchanges: dict[rate_line.Waiter, exchange_module.Exchange] = {}
        self.timer: asyncio.TimerHandle | None = None

    def use_settings(self) -> None:
        """Applies the bounds of the settings in force to new requests."""
        bounds = self.context.settings.rate_queue
        self.queue.requests_max = bounds.requests_max
        self.queue.bytes_max = bounds.bytes_max

    def review(self) -> None:
        """Checks all requests against changed rate limits."""
        self.queue.review_all()
        self.sweep()

    # Arrival.

    def offer(
        self, exchange: exchange_module.Exchange, request: intake.Request
    ) -> None:
        """Holds or refuses a request that has no token."""
        now = self.context.now
        waiter = self.waiter_of(exchange, request, now)
        if self.context.draining:
            outcome = self.queue.refuse_new(waiter, now)
        else:
            outcome = self.queue.offer(waiter, now)
        if outcome.decision is rate_queue.Decision.REFUSED:
            self.refuse(exchange, outcome, decision="refused")
            return
        exchange.waiter = waiter
        self.exchanges[waiter] = exchange
        self.record("rate_queued", exchange, outcome, decision="queued")
        self.sweep()

    def waiter_of(
        self,
        exchange: exchange_module.Exchange,
        request: intake.Request,
        now: float,
    ) -> rate_line.Waiter:
        """Returns what the queue has to know of a request."""
        route, received_at = request.route, request.head_received_at
        deadline_ms = min(request.deadline_ms, route.timeout_ms)
        return rate_line.Waiter(
            workspace=request.workspace,
            rank=request.priority,
            queued_at=now,
            grant_by=rate_line.latest_grant(
                now,
                received_at=received_at,
                deadline_ms=deadline_ms,
                objective_ms=route.objective_ms,
                work_ms=self.times.estimate(route.name, route.objective_ms),
            ),
            expires_at=received_at + deadline_ms,
            objective_ms=route.objective_ms,
            size=exchange.size,
        )

    def timed(
        self, exchange: exchange_module.Exchange, request: intake.Request
    ) -> Callable[[int, bytes, bytes], None]:
        """Returns an answer function that records the time to the response."""
        began_at = self.context.now

        def answer(code: int, head: bytes, body: bytes) -> None:
            if code < 500:
                took_ms = self.context.now - began_at
                self.times.record(request.route.name, took_ms)
            exchange.set_answer(code, head, body)

        return answer

    # End of a wait.

    def cancel(self, exchange: exchange_module.Exchange) -> None:
        """Removes a request whose caller has disconnected."""
        waiter = exchange.waiter
        if waiter is None:
            return
        self.remove(exchange, waiter)
        self.queue.remove(waiter)
        self.context.counts.add("rate_decisions", "caller_left")
        self.context.log.event(
            "caller_left",
            id=exchange.head.request_id,
            workspace=waiter.workspace,
            rank=waiter.rank,
            waited_ms=round(self.context.now - waiter.queued_at),
            outcomes="",
            had_it="",
        )
        self.schedule()

    def reject_all(self) -> None:
        """Rejects all waiting requests at the end of a shutdown."""
        for waiter, exchange in list(self.exchanges.items()):
            if self.exchanges.get(waiter) is not exchange:
                # The answer to another one has closed its connection.
                continue
            self.remove(exchange, waiter)
            self.queue.remove(waiter)
            self.context.counts.add("rate_decisions", "draining")
            self.reject(
                exchange,
                intake.Rejection(
                    503, "draining", DRAINING_RETRY_MS, waiter.workspace
                ),
            )
        self.schedule()

    def remove(
        self, exchange: exchange_module.Exchange, waiter: rate_line.Waiter
    ) -> None:
        """Removes the link between a request and its exchange."""
        exchange.waiter = None
        self.exchanges.pop(waiter, None)

    def sweep(self) -> None:
        """Grants and refuses the requests whose wait ends now."""
        for outcome in self.queue.advance(self.context.now):
            exchange = self.exchanges.get(outcome.waiter)
            if exchange is None:
                # The answer to another one has closed its connection.
                if outcome.decision is rate_queue.Decision.GRANTED:
                    self.quotas.give_back(outcome.waiter.workspace)
                continue
            try:
                self.end_wait(exchange, outcome)
            except Exception as error:
                self.on_error(exchange, error)
        self.schedule()

    def end_wait(
        self, exchange: exchange_module.Exchange, outcome: rate_queue.Outcome
    ) -> None:
        """Grants or refuses a request whose wait has ended."""
        waiter = outcome.waiter
        granted = outcome.decision is rate_queue.Decision.GRANTED
        self.remove(exchange, waiter)
        decision = "granted" if granted else "expired"
        waited_ms = self.context.now - waiter.queued_at
        self.context.counts.observe("rate_wait_seconds", waited_ms, decision)
        if granted:
            self.grant(exchange, outcome)
        else:
            self.refuse(exchange, outcome, decision=decision)

    def schedule(self) -> None:
        """Sets the timer for the next sweep."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        now = self.context.now
        due = self.queue.next_at(now)
        if due is not None:
            self.timer = self.context.loop.call_later(
                (due - now) / MS, self.sweep
            )

    def grant(
        self, exchange: exchange_module.Exchange, outcome: rate_queue.Outcome
    ) -> None:
        """Routes a request that has got its token, if it may still run.

        Its key may have been withdrawn and the configuration changed while it
        waited, so it is checked again.
        """
        waiter = outcome.waiter
        self.record("rate_granted", exchange, outcome, decision="granted")
        checked = self.check(exchange)
        if (
            isinstance(checked, intake.Rejection)
            or checked.workspace != waiter.workspace
        ):
            self.quotas.give_back(waiter.workspace)
        if isinstance(checked, intake.Rejection):
            self.reject(exchange, checked)
        elif checked.workspace != waiter.workspace:
            # Its key now belongs to another workspace.
            self.reject(exchange, intake.NOT_READY)
        else:
            self.begin(exchange, checked)

    def refuse(
        self,
        exchange: exchange_module.Exchange,
        outcome: rate_queue.Outcome,
        *,
        decision: str,
    ) -> None:
        """Answers a request that gets no token in time."""
        waiter = outcome.waiter
        self.record("rate_refused", exchange, outcome, decision=decision)
        if waiter.expires_at <= self.context.now:
            rejection = intake.Rejection(
                504, "deadline_exceeded", workspace=waiter.workspace
            )
        else:
            rejection = intake.Rejection(
                429,
                "rate_exceeded",
                outcome.retry_after_ms,
                waiter.workspace,
                spread=True,
            )
        self.reject(exchange, rejection)

    def record(
        self,
        event: str,
        exchange: exchange_module.Exchange,
        outcome: rate_queue.Outcome,
        *,
        decision: str,
    ) -> None:
        """Counts and logs a decision."""
        waiter = outcome.waiter
        self.context.counts.add("rate_decisions", decision)
        self.context.log.event(
            event,
            id=exchange.head.request_id,
            workspace=waiter.workspace,
            rank=waiter.rank,
            waited_ms=round(self.context.now - waiter.queued_at),
            tokens=round(outcome.tokens, 1),
            ahead=outcome.ahead,
        )
