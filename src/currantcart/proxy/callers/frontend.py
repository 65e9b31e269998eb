"""All connections of callers, and what is held for them."""

from __future__ import annotations

import itertools

from currantcart.admission import connections as connection_bounds
from currantcart.catalog import model as catalog_model
from currantcart.http1 import status
from currantcart.proxy import context as proxy_context
from currantcart.proxy.callers import caller
from currantcart.proxy.callers import exchange as exchange_module
from currantcart.proxy.requests import call as call_module
from currantcart.proxy.requests import intake, outbound


class CallerServer:
    """All connections of callers.

    Attributes:
      connections: Those that are open.
      idle: Those on which nothing runs, the longest idle first.
      bound: How many may be open.
      held_bytes: Bytes of bodies that are held.
    """

    HELD_BYTES_MAX = 96 * 1024 * 1024

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
        self.crowded = False
        self.held_bytes = 0

    @property
    def limits(self) -> catalog_model.CallerLimits:
        """Limits of the configuration in force."""
        catalog = self.context.catalog
        return catalog.limits if catalog else DEFAULT_LIMITS

    def accept(self) -> caller.CallerConnection:
        """Returns the protocol for a new connection."""
        return caller.CallerConnection(self)

    def opened(self, connection: caller.CallerConnection) -> None:
        """Takes a new connection, at the cost of another where none is left.

        Without a free descriptor nothing could be accepted, and the target
        and the store could not be reached either.
        """
        self.connections.add(connection)
        self.idle[connection] = None
        if self.bound.is_full(len(self.connections)):
            self.let_go(next(iter(self.idle)), "full")

    def let_go(self, connection: caller.CallerConnection, cause: str) -> None:
        """Closes an idle connection for the sake of others."""
        self.context.counts.add("callers_closed", cause)
        self.closed(connection)
        connection.end()

    def closed(self, connection: caller.CallerConnection) -> None:
        """Takes the end of a connection."""
        self.connections.discard(connection)
        self.idle.pop(connection, None)

    def became_busy(self, connection: caller.CallerConnection) -> None:
        """Takes that a connection has a request."""
        self.idle.pop(connection, None)

    def became_idle(self, connection: caller.CallerConnection) -> None:
        """Takes that nothing runs on a connection."""
        self.idle[connection] = None

    def is_last_answer(self, code: int) -> bool:
        """Tells whether a connection is closed behind an answer."""
        return self.context.draining or self.bound.closes_after(
            opened=len(self.connections), failed=code >= status.NO_SUCCESS
        )

    def hold(self, size: int) -> bool:
        """Counts bytes that are held, if there is room for them."""
        if self.held_bytes + size > self.HELD_BYTES_MAX:
            return False
        self.held_bytes += size
        return True

    def release(self, size: int) -> None:
        """Counts bytes that are no longer held."""
        self.held_bytes = max(0, self.held_bytes - size)

    def route(self, exchange: exchange_module.Exchange) -> None:
        """Checks a whole request and sends it on its way."""
        checked: intake.Request | intake.Rejection
        if exchange.rejection is not None:
            checked = exchange.rejection
        else:
            checked = self.intake.check(
                exchange.head,
                self.context.catalog,
                self.context.freshness,
                self.context.now,
                closing=self.context.closing,
            )
        if isinstance(checked, intake.Rejection):
            self.reject(exchange, checked)
            return
        checked.body = b"".join(exchange.parts)
        exchange.call = self.outbound.begin(checked, exchange.take_answer)

    def cancel(self, call: call_module.Call) -> None:
        """Ends a request whose caller has left."""
        self.outbound.cancel(call)

    def reject(
        self, exchange: exchange_module.Exchange, rejection: intake.Rejection
    ) -> None:
        """Answers a request that goes nowhere."""
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
        head, body = intake.local_answer(
            rejection.code,
            retry_after_ms=intake.jitter(after, self.context.rng),
        )
        exchange.take_answer(rejection.status, head, body)

    def route_name(self, head: intake.RequestHead) -> str:
        """Returns the name of a request's route; empty if it has none."""
        catalog = self.context.catalog
        if catalog is None:
            return ""
        found = head.match(catalog)
        return found.name if found is not None else ""

    def sweep(self) -> None:
        """Closes connections that are idle or too slow."""
        now = self.context.now
        for connection in list(self.connections):
            connection.check(now)
        self.close_surplus()

    def close_surplus(self) -> None:
        """Closes the longest idle connections where there are too many."""
        surplus = self.bound.surplus(len(self.connections))
        if bool(surplus) != self.crowded:
            self.crowded = bool(surplus)
            self.context.log.event(
                "connections_crowded" if surplus else "connections_eased",
                opened=len(self.connections),
                idle=len(self.idle),
                limit=self.bound.limit,
            )
        for connection in list(itertools.islice(self.idle, surplus)):
            self.let_go(connection, "crowded")

    def close_idle(self) -> None:
        """Closes the connections on which nothing runs."""
        for connection in list(self.connections):
            if not connection.exchanges and connection.transport is not None:
                connection.transport.close()


DEFAULT_LIMITS = catalog_model.CallerLimits()
