"""Accepts the HTTP requests of callers and of the node's target."""

from __future__ import annotations

import asyncio

from currantcart import errors
from currantcart.admission import throttle
from currantcart.call import model as call_model
from currantcart.http1 import server
from currantcart.node import context as node_context
from currantcart.node import (
    forward,
    intake,
    operations,
    outcome,
    problem,
    rates,
)
from currantcart.operation import register
from currantcart.telemetry import record

CLIENT_CLOSED = 499
LEAVING_RETRY_AFTER_MS = 1_000.0


class Ingress:
    """Answers the HTTP requests that reach one node.

    Attributes:
      connections: Open connections of callers.
      closing: Whether each connection closes after its answer.
      refusing: Whether only calls of the node's own target are accepted.
      stopping: Whether the calls in progress are cut, since the node stops.
    """

    def __init__(
        self,
        context: node_context.NodeContext,
        *,
        forwarder: forward.Forwarder,
        operations: operations.Operations,
        rates: rates.Rates,
    ) -> None:
        self.context = context
        self.intake = intake.Intake(context)
        self.forwarder = forwarder
        self.operations = operations
        self.rates = rates
        self.connections: set[server.ServerConnection] = set()
        self.closing = False
        self.refusing = False
        self.stopping = False

    def accept(self) -> server.ServerConnection:
        """Returns the protocol for a new connection of a caller."""
        return server.ServerConnection(
            handler=self.handle,
            refuse=self.refuse_bytes,
            registry=self.connections,
            loop=self.context.loop,
        )

    def refuse_bytes(self, refusal: errors.Refusal) -> bytes:
        """Returns the answer to bytes that are not a valid request."""
        self.context.metrics.refusals.labels("", refusal.code).inc()
        return problem.raw_response(refusal, instance=self.context.instance)

    async def handle(self, exchange: server.Exchange) -> None:
        """Answers one request."""
        call: call_model.Call | None = None
        exchange.keep_alive = exchange.keep_alive and not self.closing
        try:
            message = exchange.message
            call = self.intake.check(
                message.method, message.path, message.headers
            )
            await self.admit(call)
            await self.serve(call, exchange)
        except errors.Refusal as refusal:
            await self.refuse(exchange, call, refusal)
        except ConnectionError:
            exchange.abort()
        except asyncio.CancelledError:
            if self.stopping:
                await self.answer_cut(exchange, call)
                return
            if call is not None:
                self.record_event(
                    record.Event.CANCELLED, call, "the caller left"
                )
            exchange.abort()
        except Exception:
            # A bug must not stop the node; it is logged with its traceback.
            self.context.logger.exception("call failed", step="relay")
            exchange.abort()

    async def admit(self, call: call_model.Call) -> None:
        """Applies the rate limit and the ingress throttle.

        Raises:
          errors.Refusal: The call is over its workspace's rate or is shed, or
            the node is leaving.
        """
        if self.refusing and call.parent is None:
            raise errors.Refusal(
                errors.Code.DRAINING,
                errors.Step.ADMIT,
                "the node is leaving",
                not_run=True,
                retry_after_ms=LEAVING_RETRY_AFTER_MS,
            )
        self.record_event(record.Event.ACCEPTED, call, call.workspace)
        if not self.context.controlled:
            return
        if call.parent is None:
            await self.rates.admit(call.workspace)
        now = self.context.clock.now()
        if not self.context.throttle.admit(outcome.traffic_class_of(call), now):
            level = self.context.throttle.level(call.service, now)
            if call.parent is not None:
                # The level is sent upstream with the answer of the parent.
                call.parent.record_shedding(max(level, call.priority))
            raise errors.Refusal(
                errors.Code.OVERLOADED,
                errors.Step.ADMIT,
                f"{call.service} or a service below it is overloaded",
                not_run=True,
                retry_after_ms=throttle.HALF_WINDOW_MS,
                shed_level=level,
            )

    async def serve(
        self, call: call_model.Call, exchange: server.Exchange
    ) -> None:
        """Runs an admitted call in a span and counts its answer."""
        started_ms = self.context.clock.now()
        if call.parent is not None:
            call.parent.cancels.add(exchange.cancel)
        hop = self.context.tracing.begin("call", call.traceparent)
        if hop is not None:
            call.traceparent = hop.traceparent
        status = CLIENT_CLOSED
        try:
            status = await self.run_call(call, exchange)
        finally:
            if call.parent is not None:
                call.parent.cancels.discard(exchange.cancel)
            if hop is not None:
                hop.end(
                    service=call.service,
                    instance=self.context.instance,
                    call_id=call.call_id,
                    status=status,
                )
        self.count(call, started_ms, status)

    async def run_call(
        self, call: call_model.Call, exchange: server.Exchange
    ) -> int:
        """Forwards a call, under a claim if it must run at most once.

        Returns:
          HTTP status of the answer.
        """
        if not call.once:
            return (await self.forwarder.forward(call, exchange)).status
        begun = await self.operations.begin(call, exchange)
        if not isinstance(begun, register.Claim):
            return await self.operations.replay(begun, call, exchange)
        try:
            answer = await self.forwarder.forward(call, exchange)
        except errors.Refusal as refusal:
            self.operations.refused(begun, refusal)
            raise
        self.operations.answered(begun, answer)
        return answer.status

    def count(
        self, call: call_model.Call, started_ms: float, status: int
    ) -> None:
        """Records an answered call in the metrics."""
        seconds = (self.context.clock.now() - started_ms) / 1_000
        self.context.metrics.answered(call.service, status, seconds)

    async def answer_cut(
        self, exchange: server.Exchange, call: call_model.Call | None
    ) -> None:
        """Answers a call that is cut because the node stops."""
        exchange.keep_alive = False
        refusal = errors.Refusal(
            errors.Code.ANSWER_ABORTED,
            errors.Step.RELAY,
            "the node stopped before the answer",
            not_run=False,
        )
        await self.refuse(exchange, call, refusal)

    async def refuse(
        self,
        exchange: server.Exchange,
        call: call_model.Call | None,
        refusal: errors.Refusal,
    ) -> None:
        """Answers a refused call.

        If the head of an answer was sent already, the connection is aborted.
        """
        service = call.service if call else ""
        self.context.metrics.refusals.labels(service, refusal.code).inc()
        call_id = ""
        if call is not None:
            call_id = call.call_id
            self.record_event(
                record.Event.REFUSED, call, f"{refusal.code}: {refusal.detail}"
            )
        if exchange.started:
            exchange.abort()
            return
        body = problem.body_of(
            refusal, instance=self.context.instance, call_id=call_id
        )
        try:
            await exchange.respond(
                refusal.status,
                problem.headers_of(refusal, call_id=call_id),
                body,
            )
        except ConnectionError:
            exchange.abort()

    def record_event(
        self, event: record.Event, call: call_model.Call, detail: str
    ) -> None:
        """Records a decision on a call."""
        self.context.recorder.note(
            event,
            root_id=call.root_id,
            call_id=call.call_id,
            service=call.service,
            detail=detail,
        )
