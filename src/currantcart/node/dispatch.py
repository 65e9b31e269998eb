"""Sends one call to the target and its answer back to the caller's node."""

from __future__ import annotations

import asyncio
from typing import Protocol

from multidict import CIMultiDict

from currantcart import errors
from currantcart.admission import controller
from currantcart.http1 import client, headers
from currantcart.node import context as node_context
from currantcart.node import incoming as incoming_module
from currantcart.telemetry import record
from currantcart.wire import messages

OVERLOAD_STATUSES = frozenset({429, 503})


class TargetGuard(Protocol):
    """What a dispatch needs of the guard that started it."""

    context: node_context.NodeContext
    host: str
    pool: client.TargetPool
    admission: controller.AdmissionController

    @property
    def load(self) -> int:
        """Number of calls running and waiting."""

    def refuse(
        self, incoming: incoming_module.Incoming, refusal: errors.Refusal
    ) -> None:
        """Sends a refusal to the caller's node."""

    def record_event(
        self,
        event: record.Event,
        incoming: incoming_module.Incoming,
        *,
        detail: str = "",
    ) -> None:
        """Records a decision on a call."""


class Dispatch:
    """One call at the target.

    Attributes:
      connection: The connection to the target, once it is leased.
      body_task: Task that sends a streamed request body.
      reusable: Whether the connection may be used for another request.
      answered: Whether the head of an answer was sent to the caller's node.
      handed_over: Whether any byte may have been sent to the target.
      latency_ms: Time that the target took to answer. None if it is no measure
        of the target: for streamed bodies and calls that failed.
      overloaded: Whether the target refused because of overload.
      status: HTTP status of the answer; 0 without one.
    """

    def __init__(
        self, guard: TargetGuard, incoming: incoming_module.Incoming
    ) -> None:
        self.guard = guard
        self.incoming = incoming
        self.connection: client.TargetConnection | None = None
        self.body_task: asyncio.Task[None] | None = None
        self.reusable = False
        self.answered = False
        self.handed_over = False
        self.latency_ms: float | None = None
        self.overloaded = False
        self.status = 0

    async def run(self, token: str) -> None:
        """Sends the request to the target and relays the answer.

        Args:
          token: Context token for the calls that the target makes.
        """
        opening = self.incoming.opening
        clock = self.guard.context.clock
        self.connection = await self.guard.pool.lease()
        started_ms = clock.now()
        self.handed_over = True
        await self.connection.start(
            method=opening.method,
            path=opening.path,
            headers=self.request_headers(token),
            chunk=opening.chunk,
            last=opening.last,
        )
        if not opening.last:
            self.incoming.stream.read_nowait()
            self.incoming.stream.grant_body()
            self.body_task = self.guard.context.loop.create_task(
                self.send_body(self.connection)
            )
        answer = await self.await_answer(self.connection)
        if opening.last:
            self.latency_ms = clock.now() - started_ms
        self.status = answer.message.code
        if self.refuse_if_not_run(answer):
            return
        await self.relay(answer)
        self.reusable = self.body_task is None or self.body_task.done()

    def request_headers(self, token: str) -> CIMultiDict[str]:
        """Returns the headers of the request to the target."""
        opening = self.incoming.opening
        fields = headers.to_multidict(opening.headers)
        fields["Host"] = self.guard.host
        fields[headers.CONTEXT] = token
        if self.incoming.call.traceparent:
            fields[headers.TRACEPARENT] = self.incoming.call.traceparent
        return fields

    async def await_answer(
        self, connection: client.TargetConnection
    ) -> client.TargetAnswer:
        """Waits for the head of the answer.

        Raises:
          errors.StreamError: The stream of the request body failed first.
          OSError: The connection to the target failed, or another one of
            `client.TRANSPORT_ERRORS`.
        """
        if self.body_task is None:
            return await connection.answer()
        waiting = asyncio.ensure_future(connection.answer())
        try:
            await asyncio.wait(
                {waiting, self.body_task}, return_when=asyncio.FIRST_COMPLETED
            )
            if self.body_task.done() and not waiting.done():
                self.body_task.result()
            return await waiting
        finally:
            waiting.cancel()

    async def send_body(self, connection: client.TargetConnection) -> None:
        """Streams the rest of the request body to the target."""
        stream = self.incoming.stream
        while True:
            chunk = await stream.read()
            await connection.send(chunk, last=stream.at_end)
            if stream.at_end:
                return

    def refuse_if_not_run(self, answer: client.TargetAnswer) -> bool:
        """Refuses the call if the target reports overload and not running it.

        Returns:
          Whether the call was refused.
        """
        self.overloaded = answer.message.code in OVERLOAD_STATUSES
        reports_not_run = (
            answer.message.headers.get(headers.NOT_RUN, "").lower() == "true"
        )
        if not (self.overloaded and reports_not_run):
            return False
        self.reusable = answer.body.is_eof()
        self.refuse(
            incoming_module.refusal(
                errors.Code.OVERLOADED,
                errors.Step.DISPATCH,
                f"the target refused with {answer.message.code}",
                not_run=True,
                retry_after_ms=controller.RETRY_AFTER_MS_MIN,
            )
        )
        return True

    async def relay(self, answer: client.TargetAnswer) -> None:
        """Sends the answer to the caller's node."""
        guard, stream = self.guard, self.incoming.stream
        body = answer.body
        chunk = body.read_nowait() if body.is_eof() else b""
        last = body.is_eof() and len(chunk) <= messages.CHUNK_BYTES_MAX
        first = chunk[: messages.CHUNK_BYTES_MAX]
        now = guard.context.clock.now()
        message = answer.message
        self.answered = True
        stream.send_answer(
            messages.Answer(
                call_number=stream.call_number,
                status=message.code,
                headers=headers.end_to_end_headers(
                    message.headers.items(),
                    stripped=headers.HOP_BY_HOP,
                    connection=message.headers.get("Connection", ""),
                ),
                allowance=self.incoming.call.allowance.remaining,
                shed_level=max(
                    self.incoming.call.shed_level,
                    guard.admission.shed_level(now),
                ),
                load=float(guard.load),
                limit=guard.admission.limit.value,
                chunk=first,
                last=last,
            )
        )
        guard.record_event(
            record.Event.ANSWERED, self.incoming, detail=str(message.code)
        )
        if last:
            stream.close()
            return
        await stream.send(chunk[messages.CHUNK_BYTES_MAX :], last=False)
        while not answer.is_read():
            chunk = await body.readany()
            await stream.send(chunk, last=answer.is_read())
        if not stream.sent_last:
            await stream.send(b"", last=True)
        stream.close()

    def fail(self, code: errors.Code, detail: str) -> None:
        """Ends a call that the target did not answer completely."""
        self.latency_ms = None
        if self.answered:
            # Part of the answer has been sent already; only a reset shows
            # that the rest is missing.
            self.incoming.stream.reset(errors.Code.ANSWER_ABORTED, detail)
            return
        self.refuse(
            incoming_module.refusal(
                code,
                errors.Step.DISPATCH,
                f"target: {detail}",
                not_run=not self.handed_over,
            )
        )

    def refuse(self, refusal: errors.Refusal) -> None:
        """Sends a refusal to the caller's node."""
        self.guard.refuse(self.incoming, refusal)

    def abort(self) -> None:
        """Resets a call whose caller has left, or that a shutdown cuts."""
        self.incoming.stream.reset(errors.Code.CANCELLED, "cancelled")

    def close(self) -> None:
        """Returns the connection to the pool; it is closed unless reusable."""
        if self.body_task is not None and not self.body_task.done():
            self.body_task.cancel()
        if self.connection is not None:
            self.guard.pool.release(self.connection, clean=self.reusable)
