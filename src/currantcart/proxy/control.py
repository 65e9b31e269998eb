"""Minimal HTTP server for probes, reports and metrics.

Requests and responses are buffered completely; nothing is streamed.
"""

from __future__ import annotations

import asyncio
import dataclasses
from collections.abc import Awaitable, Callable
from typing import cast

import httptools

from currantcart import isolation
from currantcart.http1 import framing_limit, status
from currantcart.http1 import transport as stream

BODY_BYTES_MAX = 256 * 1024
HEAD_BYTES_MAX = 16 * 1024
PIPELINED_READ_MAX = 16
"""Requests of a connection that wait for their answers while it is read."""
PIPELINED_MAX = 64
"""Requests of a connection that may wait for their answers."""
UNREAD_BYTES_MAX = 4 * 1024 * 1024
"""Bytes of responses that a connection may leave unread."""
IDLE_SECONDS = 30.0
"""Time without a byte after which a connection without answers due is closed.

A sender that has left without closing it would hold a descriptor, and the
received part of a request, for ever.
"""


@dataclasses.dataclass(frozen=True, slots=True)
class ControlRequest:
    """A request addressed to the node itself."""

    method: str
    path: str
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class ControlResponse:
    """The response to a `ControlRequest`."""

    status: int
    body: bytes = b""
    content_type: str = "text/plain"


Handler = Callable[[ControlRequest], Awaitable[ControlResponse]]


class ControlConnection(asyncio.Protocol):
    """One connection; pipelined requests are answered in order.

    Attributes:
      url: Request target received so far.
      parts: Parts of the body received so far.
      size: Bytes in `parts`.
      last: Task that answers the latest request; None before the first.
      unanswered: Requests that were not answered yet.
      framing: Limit on the bytes of a request that are not of its body.
      completed: Whether the bytes that are parsed complete a request.
      active_at: When bytes were last received, in seconds of the loop.
      timer: Closes the connection when it is idle.
    """

    def __init__(
        self, handler: Handler, loop: asyncio.AbstractEventLoop
    ) -> None:
        self.handler = handler
        self.loop = loop
        self.parser = httptools.HttpRequestParser(self)
        self.transport: asyncio.Transport | None = None
        self.url = b""
        self.parts: list[bytes] = []
        self.size = 0
        self.last: asyncio.Task[None] | None = None
        self.unanswered = 0
        self.framing = framing_limit.FramingLimit()
        self.completed = False
        self.active_at = loop.time()
        self.timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Stores the transport."""
        # uvloop's transports are not subclasses of asyncio's.
        self.transport = cast(asyncio.Transport, transport)
        self.timer = self.loop.call_later(IDLE_SECONDS, self.close_idle)

    def connection_lost(self, exc: Exception | None) -> None:
        """Discards the transport."""
        del exc
        self.transport = None
        if self.timer is not None:
            self.timer.cancel()

    def close_idle(self) -> None:
        """Closes the connection if it is idle; else checks it again later."""
        if self.transport is None:
            return
        left = self.active_at + IDLE_SECONDS - self.loop.time()
        if left <= 0.0 and not self.unanswered:
            self.transport.close()
            return
        self.timer = self.loop.call_later(
            left if left > 0.0 else IDLE_SECONDS, self.close_idle
        )

    def data_received(self, data: bytes) -> None:
        """Parses received bytes; closes the connection if they are not HTTP."""
        self.active_at = self.loop.time()
        try:
            for part in framing_limit.parts(data):
                self.feed(part)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            if self.transport is not None:
                self.transport.close()

    def feed(self, part: bytes) -> None:
        """Parses a part of the received bytes.

        Raises:
          httptools.HttpParserError: The bytes are not a request, or exceed a
            limit.
          httptools.HttpParserUpgrade: The caller changes the protocol.
        """
        self.completed = False
        self.parser.feed_data(part)
        if self.completed:
            self.framing.reset()
        elif self.framing.is_exceeded_by(len(part)):
            raise httptools.HttpParserError(
                f"over {self.framing.limit} bytes of head or framing"
            )

    def on_message_begin(self) -> None:
        """Resets the state for a new request."""
        self.url, self.parts, self.size = b"", [], 0

    def on_url(self, url: bytes) -> None:
        """Appends a part of the request target.

        Raises:
          ValueError: The request target exceeds `HEAD_BYTES_MAX`.
        """
        self.url += url
        if len(self.url) > HEAD_BYTES_MAX:
            raise ValueError(f"request path exceeds {HEAD_BYTES_MAX} bytes")

    def on_body(self, chunk: bytes) -> None:
        """Appends a part of the body.

        Raises:
          ValueError: The body exceeds `BODY_BYTES_MAX`.
        """
        self.framing.add_body(len(chunk))
        self.size += len(chunk)
        if self.size > BODY_BYTES_MAX:
            raise ValueError(f"request body exceeds {BODY_BYTES_MAX} bytes")
        self.parts.append(chunk)

    def on_message_complete(self) -> None:
        """Schedules the response to a complete request.

        Raises:
          ValueError: Over `PIPELINED_MAX` requests wait for their answers.
        """
        self.completed = True
        self.unanswered += 1
        if self.unanswered > PIPELINED_MAX:
            raise ValueError(f"over {PIPELINED_MAX} requests wait")
        if self.unanswered == PIPELINED_READ_MAX and self.transport is not None:
            self.transport.pause_reading()
        request = ControlRequest(
            self.parser.get_method().decode("latin-1"),
            self.url.decode("latin-1"),
            b"".join(self.parts),
        )
        self.parts = []
        self.last = self.loop.create_task(
            self.answer(request, self.last, self.parser.should_keep_alive())
        )

    async def answer(
        self,
        request: ControlRequest,
        previous: asyncio.Task[None] | None,
        keep_alive: bool,
    ) -> None:
        """Answers a request once the previous one has been answered.

        Args:
          request: The request.
          previous: Task that answers the previous request of the connection.
          keep_alive: Whether the connection stays open after the response.
        """
        if previous is not None:
            await asyncio.wait([previous])
        response = await self.handle(request)
        stream.write(
            self.transport,
            status.STATUS_LINES[response.status]
            + f"Content-Type: {response.content_type}\r\n"
            f"Content-Length: {len(response.body)}\r\n"
            f"{'' if keep_alive else 'Connection: close' + chr(13) + chr(10)}"
            "\r\n".encode()
            + response.body,
        )
        self.unanswered -= 1
        if self.transport is None or self.transport.is_closing():
            return
        if self.transport.get_write_buffer_size() > UNREAD_BYTES_MAX:
            self.transport.abort()
        elif not keep_alive:
            self.transport.close()
        elif self.unanswered == PIPELINED_READ_MAX - 1:
            self.transport.resume_reading()

    async def handle(self, request: ControlRequest) -> ControlResponse:
        """Returns the handler's response; 500 if the handler fails."""
        try:
            return await self.handler(request)
        except Exception as error:
            path = request.path.partition("?")[0]
            isolation.report(self.loop, error, f"{request.method} {path}")
            return ControlResponse(500)
