"""HTTP server: one protocol instance for each connection of a caller."""

from __future__ import annotations

import asyncio
import collections
import contextlib
import http
from collections.abc import Awaitable, Callable

import aiohttp
from aiohttp import base_protocol, http_exceptions, http_parser, streams
from aiohttp import http as aiohttp_http
from multidict import CIMultiDict

from currantcart import eager, errors
from currantcart.telemetry import log

LINE_BYTES_MAX = 8_190
HEADERS_MAX = 100
BODY_BUFFER_BYTES = 64 * 1024
PIPELINED_MAX = 16
HEAD_SECONDS_MAX = 10.0
IDLE_SECONDS_MAX = 75.0
LINGER_SECONDS = 2.0
LINGER_BYTES_MAX = 16 * 1024 * 1024
BODILESS = frozenset({204, 304})
CONTENT_LENGTH = "Content-Length"
PAYLOAD_ERRORS = (
    aiohttp.ClientPayloadError,
    http_exceptions.HttpProcessingError,
    ConnectionError,
)

Handler = Callable[["Exchange"], Awaitable[None]]


class Exchange:
    """One request and its answer.

    Attributes:
      message: Parsed head of the request.
      body: Body of the request.
      started: Whether the head of the answer was started.
      finished: Whether the answer was sent completely.
      complete_body: The complete body once it was read; None before.
      keep_alive: Whether the connection may serve another request.
    """

    def __init__(
        self,
        connection: ServerConnection,
        message: http_parser.RawRequestMessage,
        body: streams.StreamReader,
    ) -> None:
        self.connection = connection
        self.message = message
        self.body = body
        self.started = False
        self.finished = False
        self.complete_body: bytes | None = None
        self.keep_alive = not message.should_close
        self.writer = aiohttp_http.StreamWriter(connection, connection.loop)
        self.expects_continue = (
            message.headers.get("Expect", "").lower() == "100-continue"
        )

    def continue_body(self) -> None:
        """Sends 100 Continue to a caller that expects it."""
        if self.expects_continue and not self.started:
            self.expects_continue = False
            transport = self.connection.transport
            if transport is not None:
                transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    async def start(
        self, status: int, headers: CIMultiDict[str], *, body: bytes | None
    ) -> None:
        """Prepares the head of the answer.

        Args:
          status: HTTP status.
          headers: End-to-end headers of the answer.
          body: The complete body; None if it will be streamed.
        """
        self.started = True
        bodiless = status in BODILESS or self.message.method == "HEAD"
        if body is not None and not bodiless:
            headers[CONTENT_LENGTH] = str(len(body))
        elif bodiless:
            self.writer.length = 0
        elif CONTENT_LENGTH in headers:
            self.writer.length = int(headers[CONTENT_LENGTH])
        else:
            self.writer.enable_chunking()
            headers["Transfer-Encoding"] = "chunked"
        if not self.body.is_eof():
            # The rest of the body would be parsed as the next request.
            self.keep_alive = False
        if not self.keep_alive:
            headers["Connection"] = "close"
        try:
            reason = http.HTTPStatus(status).phrase
        except ValueError:
            reason = "Unknown"
        await self.writer.write_headers(f"HTTP/1.1 {status} {reason}", headers)

    async def write(self, chunk: bytes) -> None:
        """Sends a part of the body; waits while the caller reads slowly."""
        await self.writer.write(chunk)

    async def finish(self, chunk: bytes = b"") -> None:
        """Sends the last part of the body."""
        await self.writer.write_eof(chunk)
        self.finished = True

    async def respond(
        self, status: int, headers: CIMultiDict[str], body: bytes
    ) -> None:
        """Sends a complete answer."""
        await self.start(status, headers, body=body)
        await self.finish(b"" if self.message.method == "HEAD" else body)

    def cancel(self) -> None:
        """Cancels the task that handles this exchange."""
        if self.connection.task is not None:
            self.connection.task.cancel()

    def abort(self) -> None:
        """Aborts the connection, which marks the answer as incomplete."""
        self.keep_alive = False
        if self.connection.transport is not None:
            self.connection.transport.abort()


class ServerConnection(base_protocol.BaseProtocol):
    """Connection of one caller.

    Attributes:
      handler: Answers an exchange.
      refuse: Returns the bytes of the answer for a refusal.
      registry: All open connections.
      waiting: Pipelined requests that were not started yet.
      task: Task of the current exchange; None while idle.
      refused: Refusal of malformed input, until it is sent.
    """

    def __init__(
        self,
        *,
        handler: Handler,
        refuse: Callable[[errors.Refusal], bytes],
        registry: set[ServerConnection],
        loop: asyncio.AbstractEventLoop,
    ) -> None:
        parser = http_parser.HttpRequestParser(
            self,
            loop,
            BODY_BUFFER_BYTES,
            max_line_size=LINE_BYTES_MAX,
            max_field_size=LINE_BYTES_MAX,
            max_headers=HEADERS_MAX,
            payload_exception=aiohttp.ClientPayloadError,
            auto_decompress=False,
        )
        super().__init__(loop, parser)
        self.parser = parser
        self.loop = loop
        self.handler = handler
        self.refuse = refuse
        self.registry = registry
        self.waiting: collections.deque[
            tuple[http_parser.RawRequestMessage, streams.StreamReader]
        ] = collections.deque()
        self.task: asyncio.Task[None] | None = None
        self.timer: asyncio.TimerHandle | None = None
        self.head_pending = False
        self.refused: errors.Refusal | None = None
        self.lingering = False
        self.lingered_bytes = 0
        self.draining = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Registers the connection."""
        super().connection_made(transport)
        self.registry.add(self)
        self.set_timer(HEAD_SECONDS_MAX)

    def set_timer(self, seconds: float) -> None:
        """Restarts the time limit for the next request."""
        if self.timer is not None:
            self.timer.cancel()
        self.timer = self.loop.call_later(seconds, self.on_timeout)

    def on_timeout(self) -> None:
        """Closes a connection that sent no complete request head in time."""
        if self.task is None and self.transport is not None:
            self.transport.close()

    def data_received(self, data: bytes) -> None:
        """Parses received bytes and starts the next exchange."""
        if self.lingering:
            self.lingered_bytes += len(data)
            if (
                self.lingered_bytes > LINGER_BYTES_MAX
                and self.transport is not None
            ):
                self.transport.abort()
            return
        if self.refused is not None:
            return
        try:
            parsed, _, _ = self.parser.feed_data(data)
        except http_exceptions.HttpProcessingError as error:
            self.refuse_malformed(error)
            return
        for message, body in parsed:
            self.waiting.append((message, body))
        if len(self.waiting) > PIPELINED_MAX and self.transport is not None:
            self.transport.abort()
            return
        if self.task is None:
            if self.waiting:
                self.start_next()
            elif data and not self.head_pending:
                self.head_pending = True
                self.set_timer(HEAD_SECONDS_MAX)

    def refuse_malformed(
        self, error: http_exceptions.HttpProcessingError
    ) -> None:
        """Refuses malformed input, then closes the connection."""
        large = isinstance(error, http_exceptions.LineTooLong)
        code = (
            errors.Code.HEADERS_TOO_LARGE if large else errors.Code.BAD_REQUEST
        )
        summary = str(error.message).split("\n", maxsplit=1)[0].rstrip(":")
        self.refused = errors.Refusal(
            code, errors.Step.PARSE, summary, not_run=True
        )
        if self.task is None:
            self.send_refused()

    def send_refused(self) -> None:
        """Sends the refusal of malformed input and lingers."""
        if self.refused is not None and self.transport is not None:
            self.transport.write(self.refuse(self.refused))
            self.linger()

    def start_next(self) -> None:
        """Starts the next exchange."""
        if self.timer is not None:
            self.timer.cancel()
        self.head_pending = False
        message, body = self.waiting.popleft()
        exchange = Exchange(self, message, body)
        self.task = eager.start(self.loop, self.run(exchange))

    async def run(self, exchange: Exchange) -> None:
        """Runs one exchange, then starts the next or ends the connection."""
        try:
            await self.handler(exchange)
        finally:
            self.task = None
        if self.transport is None:
            return
        if not exchange.finished:
            self.transport.abort()
        elif self.refused is not None:
            self.send_refused()
        elif not exchange.keep_alive or self.draining:
            if exchange.body.is_eof():
                self.transport.close()
            else:
                self.linger()
        elif self.waiting:
            self.start_next()
        else:
            self.set_timer(IDLE_SECONDS_MAX)

    def linger(self) -> None:
        """Discards input for a limited time before closing (lingering close).

        Closing with unread bytes makes the kernel send a reset, and the
        caller may lose the answer that gives the reason.
        """
        if self.transport is None:
            return
        self.lingering = True
        try:
            self.transport.write_eof()
        except (OSError, NotImplementedError, RuntimeError) as error:
            # The caller has gone, or TLS cannot close one direction alone.
            log.get().debug("connection closed at once", detail=str(error))
            self.transport.close()
            return
        self._reading_paused = False
        self._resume_transport_reading()
        self.loop.call_later(LINGER_SECONDS, self.close)

    def drain(self) -> None:
        """Closes the connection when idle or after the current exchange."""
        self.draining = True
        if self.task is None and self.transport is not None:
            self.transport.close()

    def close(self) -> None:
        """Closes the connection."""
        if self.transport is not None:
            self.transport.close()

    def eof_received(self) -> None:
        """Lets the transport close: a caller that closed its side has left.

        A half-closed connection can't be told from a closed one, and work for
        callers that have left sustains an overload.
        """

    def connection_lost(self, exc: BaseException | None) -> None:
        """Cancels the exchange of a caller that disconnected."""
        super().connection_lost(exc)
        self.registry.discard(self)
        if self.timer is not None:
            self.timer.cancel()
        with contextlib.suppress(Exception):
            self.parser.feed_eof()
        if self.task is not None:
            self.task.cancel()
