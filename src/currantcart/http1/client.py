"""HTTP client: a pool of connections from a node to its local target."""

from __future__ import annotations

import asyncio
import dataclasses

import aiohttp
from aiohttp import client_proto, http_parser, streams
from aiohttp import http as aiohttp_http
from multidict import CIMultiDict

from currantcart import errors
from currantcart.http1 import framing_limit, status

CONNECT_SECONDS_MAX = 3.0
FINAL_STATUS_MIN = 200
"""Lowest status of an answer that is not an interim one (1xx)."""
SWITCHING_PROTOCOLS = 101


@dataclasses.dataclass(slots=True)
class TargetAnswer:
    """Head of a target's answer; the body may still be arriving."""

    message: http_parser.RawResponseMessage
    body: streams.StreamReader

    def is_read(self) -> bool:
        """Returns whether the complete body was read.

        Raises:
          aiohttp.ClientError: The rest of the body will not arrive.
        """
        error = self.body.exception()
        if error is not None:
            raise error
        return self.body.at_eof()


class TargetProtocol(client_proto.ResponseHandler):
    """Client protocol of aiohttp, for targets that may be faulty.

    aiohttp takes a body without length as complete however the connection
    ends, accepts any status of three digits, and queues answers that nobody
    asked for without a limit.

    Attributes:
      due: Whether a final answer is due.
      body: Body of the current answer; None before its head.
      request_sent: Whether the complete request was handed to the transport.
      framing: Limit on the bytes for one request that belong to no body.
        Interim answers count as well.
      uncounted: Bytes received that `framing` has not counted yet.
      counted_body: Bytes of the body that it has counted.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        super().__init__(loop)
        self.due = False
        self.body: streams.StreamReader | None = None
        self.request_sent = False
        self.framing = framing_limit.FramingLimit()
        self.uncounted = 0
        self.counted_body = 0

    def begin(self) -> None:
        """Prepares for the answer to another request."""
        self.due = True
        self.body = None
        self.request_sent = False
        self.framing.reset()
        self.uncounted = self.counted_body = 0

    @property
    def body_incomplete(self) -> bool:
        """Whether more of the current answer's body is due."""
        return self.body is not None and not self.body.is_eof()

    def data_received(self, data: bytes) -> None:
        """Parses received bytes; unsolicited bytes abort the connection."""
        if data and not self.due and not self.body_incomplete:
            # Unsolicited bytes: later answers could not be matched.
            self.drop()
            return
        super().data_received(data)
        self.uncounted += len(data)
        if self._reading_paused:
            # The parser has not parsed all of it.
            return
        if self.body is not None:
            self.framing.add_body(self.body.total_bytes - self.counted_body)
            self.counted_body = self.body.total_bytes
        size, self.uncounted = self.uncounted, 0
        if self.framing.is_exceeded_by(size):
            self.fail(f"over {self.framing.limit} bytes of head or framing")

    def feed_data(
        self,
        data: tuple[http_parser.RawResponseMessage, streams.StreamReader],
        size: int = 0,
    ) -> None:
        """Queues the final answer; discards interim ones (1xx).

        Args:
          data: Head and body of an answer.
          size: Not used by aiohttp.
        """
        message, body = data
        if not self.due:
            self.drop()
            return
        valid = status.is_valid(message.code)
        if valid and message.code < FINAL_STATUS_MIN:
            if message.code != SWITCHING_PROTOCOLS:
                return
            valid = False
        self.due = False
        self.body = body
        if not valid:
            self.fail(f"invalid status {message.code:03}")
            return
        super().feed_data(data, size)

    def eof_received(self) -> None:
        """Fails an answer that a target ended before it had the request.

        A target that stops to read resets the connection, and its answer may
        be a part.
        """
        transport = self.transport
        sent = self.request_sent and (
            transport is None or transport.get_write_buffer_size() == 0
        )
        if not sent:
            self.fail_body("closed before the request was sent")
        super().eof_received()

    def connection_lost(self, exc: BaseException | None) -> None:
        """Fails a body that a lost connection has cut."""
        if exc is not None:
            self.fail_body(str(exc) or type(exc).__name__)
        super().connection_lost(exc)

    def fail(self, reason: str) -> None:
        """Fails the current answer and aborts the connection."""
        self.due = False
        self.fail_body(reason)
        self.set_exception(aiohttp.ClientError(reason))
        self.drop()

    def fail_body(self, reason: str) -> None:
        """Fails the current answer's body unless it is complete."""
        if self.body is not None and self.body_incomplete:
            self.body.set_exception(aiohttp.ClientPayloadError(reason))

    def drop(self) -> None:
        """Aborts the connection; an answer that is complete stays readable."""
        self.force_close()
        if self.transport is not None:
            self.transport.abort()


class TargetConnection:
    """Connection to the target, used by one call at a time.

    Attributes:
      protocol: Protocol of the connection.
      writer: Writer of the current request.
    """

    def __init__(
        self,
        protocol: TargetProtocol,
        loop: asyncio.AbstractEventLoop,
    ) -> None:
        self.protocol = protocol
        self.loop = loop
        self.writer = aiohttp_http.StreamWriter(protocol, loop)

    @property
    def usable(self) -> bool:
        """Whether another call may use the connection."""
        return self.protocol.is_connected() and not self.protocol.should_close

    async def start(
        self,
        *,
        method: str,
        path: str,
        headers: CIMultiDict[str],
        chunk: bytes,
        last: bool,
    ) -> None:
        """Sends the head of a request and the first bytes of its body."""
        self.protocol.begin()
        self.protocol.set_response_params(
            skip_payload=method == "HEAD",
            read_until_eof=True,
            auto_decompress=False,
        )
        self.writer = aiohttp_http.StreamWriter(self.protocol, self.loop)
        if last:
            if chunk or method not in ("GET", "HEAD", "DELETE"):
                headers["Content-Length"] = str(len(chunk))
        elif "Content-Length" in headers:
            self.writer.length = int(headers["Content-Length"])
        else:
            self.writer.enable_chunking()
            headers["Transfer-Encoding"] = "chunked"
        await self.writer.write_headers(f"{method} {path} HTTP/1.1", headers)
        if chunk or last:
            await self.send(chunk, last=last)
        else:
            self.writer.send_headers()

    async def send(self, chunk: bytes, *, last: bool) -> None:
        """Sends a part of the body; waits while the target reads slowly."""
        if last:
            await self.writer.write_eof(chunk)
            self.protocol.request_sent = True
        else:
            await self.writer.write(chunk)

    async def answer(self) -> TargetAnswer:
        """Waits for the final answer's head."""
        message, body = await self.protocol.read()
        return TargetAnswer(message, body)

    def abort(self) -> None:
        """Aborts the connection."""
        self.protocol.abort()


class TargetPool:
    """Pool of connections to one target.

    Attributes:
      idle: Idle connections, the most recently used last.
      leased: Number of connections in use by calls.
    """

    def __init__(
        self,
        *,
        host: str,
        port: int,
        connections_max: int,
        loop: asyncio.AbstractEventLoop,
    ) -> None:
        self.host = host
        self.port = port
        self.connections_max = connections_max
        self.loop = loop
        self.idle: list[TargetConnection] = []
        self.leased = 0

    def take_idle(self) -> TargetConnection | None:
        """Removes and returns an idle connection that is still usable."""
        while self.idle:
            connection = self.idle.pop()
            if connection.usable:
                return connection
            connection.abort()
        return None

    async def lease(self) -> TargetConnection:
        """Returns a connection for one call.

        Raises:
          errors.Refusal: The target cannot be reached or all connections are
            in use; nothing was sent.
        """
        connection = self.take_idle()
        if connection is None:
            if self.leased >= self.connections_max:
                raise self.unreachable("all connections are in use")
            self.leased += 1
            try:
                # `asyncio.timeout` in `connect` must run inside a task.
                return await self.loop.create_task(self.connect())
            except BaseException:
                self.leased -= 1
                raise
        self.leased += 1
        return connection

    async def connect(self) -> TargetConnection:
        """Opens a connection.

        Raises:
          errors.Refusal: The target cannot be reached.
        """
        try:
            async with asyncio.timeout(CONNECT_SECONDS_MAX):
                _, protocol = await self.loop.create_connection(
                    lambda: TargetProtocol(self.loop),
                    self.host,
                    self.port,
                )
        except (OSError, TimeoutError) as error:
            reason = str(error) or "timed out"
            raise self.unreachable(reason) from error
        return TargetConnection(protocol, self.loop)

    def unreachable(self, reason: str) -> errors.Refusal:
        """Returns the refusal for a target without a usable connection."""
        return errors.Refusal(
            errors.Code.TARGET_UNREACHABLE,
            errors.Step.CONNECT,
            f"target: {reason}",
            not_run=True,
            peer=f"{self.host}:{self.port}",
        )

    def release(self, connection: TargetConnection, *, clean: bool) -> None:
        """Returns a connection to the pool, or aborts it.

        Args:
          connection: The leased connection.
          clean: Whether the call ended with a complete request and a complete
            answer. Otherwise the connection is aborted, since a late answer
            would be delivered to the next call, and so to another caller.
        """
        self.leased -= 1
        if clean and connection.usable:
            self.idle.append(connection)
        else:
            connection.abort()

    def close(self) -> None:
        """Closes the idle connections."""
        for connection in self.idle:
            connection.abort()
        self.idle.clear()


TRANSPORT_ERRORS = (
    aiohttp.ClientError,
    aiohttp_http.HttpProcessingError,
    OSError,
)
