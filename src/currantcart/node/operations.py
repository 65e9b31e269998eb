"""At-most-once operations of calls: claim, run, store the answer."""

from __future__ import annotations

import asyncio

from multidict import CIMultiDict

from currantcart import errors
from currantcart.call import model as call_model
from currantcart.http1 import headers, server
from currantcart.node import context as node_context
from currantcart.operation import model, register
from currantcart.store import port
from currantcart.wire import messages

REPLAYED = "Idempotency-Replayed"
CONTENT_TYPE = "Content-Type"


class Operations:
    """At-most-once operations of the calls that this node accepts.

    Attributes:
      register: Claims and answers in the store.
      finishing: Tasks that write the outcome of an operation to the store
        after the answer was sent.
    """

    def __init__(
        self, context: node_context.NodeContext, *, store: port.Store
    ) -> None:
        self.context = context
        self.register = register.Register(store)
        self.finishing: set[asyncio.Task[None]] = set()

    async def begin(
        self, call: call_model.Call, exchange: server.Exchange
    ) -> register.Claim | model.FirstAnswer:
        """Claims the operation of a call.

        Returns:
          The claim, or the first answer if the operation has run already.

        Raises:
          errors.Refusal: The operation must not run, or could not be claimed.
        """
        key = exchange.message.headers.get(headers.IDEMPOTENCY_KEY)
        if key is None:
            raise errors.Refusal(
                errors.Code.IDEMPOTENCY_KEY_INVALID,
                errors.Step.OPERATION,
                "this route requires an Idempotency-Key header",
                not_run=True,
            )
        operation = model.build(
            service=call.service,
            idempotency_key=key,
            workspace=call.workspace,
            method=call.method,
            path=call.path,
            body=await self.read_body(exchange),
            claim_id=call.call_id,
        )
        return await self.register.claim(operation)

    async def read_body(self, exchange: server.Exchange) -> bytes:
        """Reads the complete body, which the fingerprint covers.

        Raises:
          errors.Refusal: It is too large for an at-most-once operation.
        """
        body = exchange.body
        exchange.continue_body()
        parts: list[bytes] = []
        size = 0
        while not body.at_eof():
            part = await body.readany()
            parts.append(part)
            size += len(part)
            if size > messages.CHUNK_BYTES_MAX:
                raise errors.Refusal(
                    errors.Code.BAD_REQUEST,
                    errors.Step.OPERATION,
                    f"the body of an at-most-once operation exceeds "
                    f"{messages.CHUNK_BYTES_MAX} bytes",
                    not_run=True,
                )
        exchange.complete_body = b"".join(parts)
        return exchange.complete_body

    def answered(self, claim: register.Claim, answer: messages.Answer) -> None:
        """Stores the answer of an operation, after it was sent."""
        pairs = headers.to_multidict(answer.headers)
        first = model.FirstAnswer(
            status=answer.status,
            content_type=pairs.get(CONTENT_TYPE, ""),
            body=answer.chunk if answer.last else None,
        )
        self.finish(self.register.complete(claim, first))

    def refused(self, claim: register.Claim, refusal: errors.Refusal) -> None:
        """Releases a claim if its call certainly did not run."""
        if refusal.not_run:
            self.finish(self.register.release(claim))

    def finish(self, work: register.Work) -> None:
        """Writes the outcome of an operation to the store in the background."""
        task = self.context.loop.create_task(work)
        self.finishing.add(task)
        task.add_done_callback(self.finishing.discard)

    async def replay(
        self,
        answer: model.FirstAnswer,
        call: call_model.Call,
        exchange: server.Exchange,
    ) -> int:
        """Sends the stored first answer.

        Returns:
          HTTP status of the answer.
        """
        fields: CIMultiDict[str] = CIMultiDict(
            {REPLAYED: "true", headers.CALL_ID: call.call_id}
        )
        if answer.content_type:
            fields[CONTENT_TYPE] = answer.content_type
        await exchange.respond(answer.status, fields, answer.body or b"")
        return answer.status
