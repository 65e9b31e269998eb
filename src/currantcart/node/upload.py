"""Sends the body of a request to the node of a target.

A small body is part of the opening message and is kept, so that the call can be
retried. A larger one is streamed once the target's node has admitted the call,
and from then on the call cannot be retried.
"""

from __future__ import annotations

import asyncio
import dataclasses

from currantcart import errors
from currantcart.http1 import server
from currantcart.wire import call_stream, messages


@dataclasses.dataclass(slots=True)
class FirstBytes:
    """Part of a body that the opening message contains.

    Attributes:
      chunk: The bytes.
      last: Whether they are the complete body.
    """

    chunk: bytes
    last: bool


class Upload:
    """The body of one exchange.

    Attributes:
      first: Part that the opening message contains.
      streamed: Whether streaming to a target has begun.
      task: Task that streams the body.
    """

    def __init__(
        self, exchange: server.Exchange, loop: asyncio.AbstractEventLoop
    ) -> None:
        self.exchange = exchange
        self.loop = loop
        self.first = first_bytes(exchange)
        self.streamed = False
        self.task: asyncio.Task[None] | None = None

    def begin(self, stream: call_stream.CallStream) -> None:
        """Starts streaming a body that is not in the opening message."""
        if not self.first.last:
            self.exchange.continue_body()
            self.task = self.loop.create_task(self.send(stream))

    def end(self) -> None:
        """Stops streaming."""
        if self.task is not None:
            self.task.cancel()
            self.task = None

    async def send(self, stream: call_stream.CallStream) -> None:
        """Streams the caller's body with backpressure from the target."""
        body = self.exchange.body
        try:
            await stream.wait_for_credit()
            self.streamed = True
            while not body.at_eof():
                chunk = await body.readany()
                await stream.send(chunk, last=body.at_eof())
            if not stream.sent_last:
                await stream.send(b"", last=True)
        except errors.StreamError:
            return
        except server.PAYLOAD_ERRORS as error:
            stream.reset(errors.Code.BODY_INCOMPLETE, str(error))
            stream.fail(
                errors.StreamError(
                    errors.Code.BODY_INCOMPLETE, "the body was cut short"
                )
            )


def first_bytes(exchange: server.Exchange) -> FirstBytes:
    """Returns the body if it has arrived completely, without waiting."""
    body = exchange.body
    if exchange.complete_body is not None:
        return FirstBytes(exchange.complete_body, last=True)
    if body.is_eof() and body.total_bytes <= messages.CHUNK_BYTES_MAX:
        return FirstBytes(body.read_nowait(), last=True)
    return FirstBytes(b"", last=False)
