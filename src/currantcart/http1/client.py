"""HTTP client side: leased connections from a node to its own target."""

from __future__ import annotations

import asyncio
import dataclasses

import aiohttp
from aiohttp import client_proto, http_parser, streams
from aiohttp import http as aiohttp_http
from multidict import CIMultiDict

from currantcart import errors

CONNECT_SECONDS_MAX = 3.0


@dataclasses.dataclass(slots=True)
class TargetAnswer:
    """A target's answer whose body may still come."""

    message: http_parser.RawResponseMessage
    body: streams.StreamReader


class TargetConnection:
    """One connection to the target, used by one call at a time.

    Attributes:
      protocol: aiohttp's client protocol.
      writer: Writes the present request.
    """

    def __init__(
        self,
        protocol: client_proto.ResponseHandler,
        loop: asyncio.AbstractEventLoop,
    ) -> None:
        self.protocol = protocol
        self.loop = loop
        self.writer = aiohttp_http.StreamWriter(protocol, loop)

    @property
    def usable(self) -> bool:
        """Whether another call may use it."""
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
        if last:
            await self.writer.write_eof(chunk)
        elif chunk:
            await self.writer.write(chunk)
        else:
            self.writer.send_headers()

    async def send(self, chunk: bytes, *, last: bool) -> None:
        """Sends a part of the body, waiting for a slow target."""
        if last:
            await self.writer.write_eof(chunk)
        else:
            await self.writer.write(chunk)

    async def answer(self) -> TargetAnswer:
        """Waits for the head of the answer, passing over interim ones."""
        while True:
            message, body = await self.protocol.read()
            if message.code >= 200:
                return TargetAnswer(message, body)

    def abort(self) -> None:
        """Cuts the connection."""
        self.protocol.abort()


class TargetPool:
    """Connections to one target.

    Attributes:
      idle: Connections that wait for a call, last used last.
      leased: Connections that calls use now.
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
        """Returns an idle connection that still stands."""
        while self.idle:
            connection = self.idle.pop()
            if connection.usable:
                return connection
            connection.abort()
        return None

    async def lease(self) -> TargetConnection:
        """Returns a connection for one call.

        Raises:
          errors.Refusal: The target cannot be reached; nothing was sent.
        """
        connection = self.take_idle()
        if connection is None:
            if self.leased >= self.connections_max:
                raise self.unreachable("all its connections are in use")
            self.leased += 1
            try:
                # A task of its own: the time limit inside needs one.
                return await self.loop.create_task(self.connect())
            except BaseException:
                self.leased -= 1
                raise
        self.leased += 1
        return connection

    async def connect(self) -> TargetConnection:
        """Opens a connection."""
        try:
            async with asyncio.timeout(CONNECT_SECONDS_MAX):
                _, protocol = await self.loop.create_connection(
                    lambda: client_proto.ResponseHandler(self.loop),
                    self.host,
                    self.port,
                )
        except (OSError, TimeoutError) as error:
            reason = str(error) or "timed out"
            raise self.unreachable(reason) from error
        return TargetConnection(protocol, self.loop)

    def unreachable(self, reason: str) -> errors.Refusal:
        """Returns the refusal for a target that takes no connection."""
        return errors.Refusal(
            errors.Code.TARGET_UNREACHABLE,
            errors.Step.CONNECT,
            f"target: {reason}",
            not_run=True,
            peer=f"{self.host}:{self.port}",
        )

    def release(self, connection: TargetConnection, *, clean: bool) -> None:
        """Takes a connection back.

        Args:
          connection: The leased connection.
          clean: Whether its call ended with a whole request and a whole
            answer. Any other is cut: its late answer would otherwise reach
            the next call, and a guest would read another guest's booking.
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
