"""All connections of callers, and the memory reserved for them."""

from __future__ import annotations

import asyncio
import contextlib
import itertools

from currantcart import isolation
from currantcart.admission import connections as connection_bounds
from currantcart.catalog import model as catalog_model
from currantcart.http1 import status
from currantcart.proxy import context as proxy_context
from currantcart.proxy.callers import caller, rate_wait
from currantcart.proxy.callers import exchange as exchange_module
from currantcart.proxy.requests import call as call_module
from currantcart.proxy.requests import intake, outbound


class CallerServer:
    """All connections of callers.

    Attributes:
      connections: Open connections.
      idle: Connections without a request, the longest idle first.
      bound: Limit on the number of open connections.
      all_closed: Set when the last open connection is closed.
      saturated: Whether there are so many that idle ones are closed.
      rate_wait: Requests that wait for a token of their workspace's rate.
    """

    def __init__(
        self,
        context: proxy_context.Context,
        *,
        checks: intake.Intake,
        router: outbound.Outbound,
    ) -> None:
        self.context = context
        self.intake = checks
        self.outbound = router
        self.connections: set[caller.CallerConnection] = set()
        self.idle: dict[caller.CallerConnection, None] = {}
        self.bound = connection_bounds.ConnectionLimit(
            connection_bounds.caller_limit(
                descriptors=context.settings.descriptors, peers=0, slots=0
            )
        )
        self.all_closed = asyncio.Event()
        self.saturated = False
        self.rate_wait = rate_wait.RateWait(
            context,
            quotas=checks.quotas,
            check=self.check_granted,
            begin=self.begin,
            reject=self.reject,
            on_error=self.fail,
        )
        self.use_settings()

    @property
    def limits(self) -> catalog_model.CallerLimits:
        """Limits of the current configuration."""
        catalog = self.context.catalog
        return catalog.limits if catalog else DEFAULT_LIMITS

    def accept(self) -> caller.CallerConnection:
        """Returns the protocol for a new connection."""
        return caller.CallerConnection(self)

    def opened(self, connection: caller.CallerConnection) -> None:
        """Registers a new connection; evicts an idle one above the limit.

        Without a free descriptor no connection could be accepted, and neither
        the target nor the store could be reached.
        """
        self.connections.add(connection)
        self.idle[connection] = None
        if self.bound.is_full(len(self.connections)):
            self.evict(next(iter(self.idle)), "full")

    def evict(self, connection: caller.CallerConnection, cause: str) -> None:
        """Closes an idle connection to make room for others."""
        self.context.counts.add("callers_closed", cause)
        self.closed(connection)
        connection.end()

    def closed(self, connection: caller.CallerConnection) -> None:
        """Removes a connection that has ended."""
        self.connections.discard(connection)
        self.idle.pop(connection, None)
        if not self.connections:
            self.all_closed.set()

    def became_busy(self, connection: caller.CallerConnection) -> None:
        """Marks a connection as busy: it has a request."""
        self.idle.pop(connection, None)

    def became_idle(self, connection: caller.CallerConnection) -> None:
        """Marks a connection as idle: it has no request."""
        self.idle[connection] = None

    def is_last_answer(self, code: int) -> bool:
        """Returns whether a connection is closed after an answer."""
        return self.context.draining or self.bound.closes_after(
            opened=len(self.connections), failed=code >= status.NO_SUCCESS
        )

    def route(self, exchange: exchange_module.Exchange) -> None:
        """Checks a complete request, and routes or rejects it."""
        try:
            self.check_and_route(exchange)
        except Exception as error:
            self.fail(exchange, error)

    def fail(
        self, exchange: exchange_module.Exchange, error: Exception
    ) -> None:
        """Rejects a request whose checks have raised an error.

        Neither the request nor those after it on the connection would be
        answered otherwise.
        """
        isolation.report(self.context.loop, error, "request")
        if exchange.answer is not None or exchange.call is not None:
            return
        rejection = intake.INTERNAL_ERROR
        self.context.counts.add("rejections", rejection.code)
        head, body = intake.local_answer(
            rejection.code, retry_after_ms=rejection.retry_after_ms
        )
        exchange.set_answer(rejection.status, head, body)

    def check_and_route(self, exchange: exchange_module.Exchange) -> None:
        """Checks a complete request; routes, holds or rejects it.

        Args:
          exchange: The request.
        """
        checked: intake.Request | intake.Rejection | intake.TokenNeeded
        if exchange.rejection is not None:
            checked = exchange.rejection
        else:
            checked = self.intake.check(
                exchange.head,
                self.context.catalog,
                self.context.freshness,
                self.context.now,
                closing=self.context.rejecting_callers,
                ends_at=self.context.ends_at,
            )
        if isinstance(checked, intake.Rejection):
            self.reject(exchange, checked)
        elif isinstance(checked, intake.TokenNeeded):
            self.rate_wait.offer(exchange, checked.request)
        else:
            self.begin(exchange, checked)

    def begin(
        self, exchange: exchange_module.Exchange, request: intake.Request
    ) -> None:
        """Routes a request that passed the checks."""
        request.body = b"".join(exchange.parts)
        exchange.parts.clear()
        exchange.call = self.outbound.begin(
            request,
            self.rate_wait.timed(exchange, request)
            if request.workspace in self.rate_wait.queue.lines
            else exchange.set_answer,
        )

    def check_granted(
        self, exchange: exchange_module.Exchange
    ) -> intake.Request | intake.Rejection:
        """Checks a request that has waited for its token again."""
        checked = self.intake.check(
            exchange.head,
            self.context.catalog,
            self.context.freshness,
            self.context.now,
            closing=self.context.rejecting_callers,
            ends_at=self.context.ends_at,
            has_token=True,
        )
        assert not isinstance(checked, intake.TokenNeeded)
        return checked

    def cancel_wait(self, exchange: exchange_module.Exchange) -> None:
        """Cancels the wait of a request whose caller has disconnected."""
        self.rate_wait.cancel(exchange)

    def use_settings(self) -> None:
        """Applies the settings in force."""
        enabled = self.context.settings.rate_queue.enabled
        self.intake.rate_queue = self.rate_wait.queue if enabled else None
        self.rate_wait.use_settings()

    def cancel(self, call: call_module.Call) -> None:
        """Cancels a request whose caller has disconnected."""
        self.outbound.cancel(call)

    def reject(
        self, exchange: exchange_module.Exchange, rejection: intake.Rejection
    ) -> None:
        """Answers a request that is not routed."""
        self.context.counts.add("rejections", rejection.code)
        self.context.log.event(
            "request_rejected",
            id=exchange.head.request_id,
            host=exchange.head.host,
            path=exchange.head.path[:80],
            status=rejection.status,
            code=rejection.code,
            route=self.route_name(exchange.head),
            workspace=rejection.workspace,
            version=self.context.freshness.version,
            age_ms=round(
                min(1e9, self.context.freshness.age(self.context.now))
            ),
        )
        after = rejection.retry_after_ms
        if not rejection.spread:
            after = intake.jitter(after, self.context.rng)
        head, body = intake.local_answer(rejection.code, retry_after_ms=after)
        exchange.set_answer(rejection.status, head, body)

    def route_name(self, head: intake.RequestHead) -> str:
        """Returns the name of a request's route; empty if it has none."""
        catalog = self.context.catalog
        if catalog is None:
            return ""
        found = head.match(catalog)
        return found.name if found is not None else ""

    def sweep(self) -> None:
        """Closes connections that are idle, too slow or above the limit."""
        now = self.context.now
        for connection in list(self.connections):
            connection.check(now)
        self.close_surplus()

    def close_surplus(self) -> None:
        """Closes the longest idle connections while there are too many."""
        surplus = self.bound.surplus(len(self.connections))
        if bool(surplus) != self.saturated:
            self.saturated = bool(surplus)
            self.context.log.event(
                "connections_crowded" if surplus else "connections_eased",
                opened=len(self.connections),
                idle=len(self.idle),
                limit=self.bound.limit,
            )
        for connection in list(itertools.islice(self.idle, surplus)):
            self.evict(connection, "crowded")

    def close_idle(self) -> None:
        """Rejects waiting requests, and closes connections without one."""
        self.rate_wait.reject_all()
        for connection in list(self.connections):
            if not connection.exchanges and connection.transport is not None:
                connection.transport.close()

    async def end(self, flush_seconds: float) -> None:
        """Closes all connections, once what was written has been sent.

        Args:
          flush_seconds: Longest wait for callers that read slowly.
        """
        for connection in list(self.connections):
            connection.end()
        if self.connections:
            self.all_closed.clear()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(flush_seconds):
                    await self.all_closed.wait()


DEFAULT_LIMITS = catalog_model.CallerLimits()
