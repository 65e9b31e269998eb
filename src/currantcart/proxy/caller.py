"""One caller's connection: parsing, pipelining, answers in order."""

from __future__ import annotations

import asyncio
import collections
from typing import TYPE_CHECKING, cast

import httptools

from currantcart.http1 import status
from currantcart.http1 import transport as stream
from currantcart.proxy import call as call_module
from currantcart.proxy import intake

if TYPE_CHECKING:
    from currantcart.proxy import frontend

PIPELINED_MAX = 16
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"


class Exchange:
    """One request on a caller's connection, and its answer.

    Attributes:
      head: Head as parsed.
      whole: Whether the whole request was read.
      call: The request on its way.
      answer: The answer's bytes, while they wait for their turn.
      started: Whether routing has begun.
    """

    __slots__ = (
        "answer",
        "call",
        "close",
        "connection",
        "head",
        "parts",
        "rejection",
        "size",
        "started",
        "whole",
    )

    def __init__(self, connection: CallerConnection) -> None:
        self.connection = connection
        self.head = intake.RequestHead()
        self.rejection: intake.Rejection | None = None
        self.parts: list[bytes] = []
        self.size = 0
        self.whole = False
        self.call: call_module.Call | None = None
        self.answer: bytes | None = None
        self.started = False
        self.close = False

    def take_answer(self, code: int, head: bytes, body: bytes) -> None:
        """Takes the answer, to be written when it is its turn."""
        self.call = None
        connection = self.connection
        if connection.server.is_last_answer(code):
            self.close = True
        self.answer = b"".join(
            (
                status.STATUS_LINES[code],
                head,
                b"Connection: close\r\n" if self.close else b"",
                b""
                if code in (204, 304)
                else b"Content-Length: %d\r\n" % len(body),
                b"\r\n",
                b"" if self.head.method == "HEAD" else body,
            )
        )
        connection.write_answers()


class CallerConnection(asyncio.Protocol):
    """One connection of a caller.

    Attributes:
      exchanges: Requests that were not answered yet, the oldest first.
      reading: The request that is being read.
    """

    def __init__(self, server: frontend.CallerServer) -> None:
        self.server = server
        self.context = server.context
        self.parser = httptools.HttpRequestParser(self)
        self.exchanges: collections.deque[Exchange] = collections.deque()
        self.reading: Exchange | None = None
        self.transport: asyncio.Transport | None = None
        self.url = b""
        self.header_bytes = 0
        self.active_at = server.context.now
        self.head_started_at = 0.0
        self.hosts = 0
        self.head_done = False
        self.named_hop_by_hop: set[bytes] = set()
        self.bad = ""
        self.paused = False
        self.write_paused = False
        self.closing = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Registers the connection."""
        # uvloop's transports are no subclasses of asyncio's.
        self.transport = cast(asyncio.Transport, transport)
        self.transport.set_write_buffer_limits(high=256 * 1024)
        self.server.opened(self)

    @property
    def open(self) -> bool:
        """Whether anything can be written; uvloop raises where it can't."""
        return self.transport is not None and not self.transport.is_closing()

    # Parsing.

    def data_received(self, data: bytes) -> None:
        """Parses what arrives."""
        if self.closing:
            return
        self.active_at = self.context.now
        if self.head_started_at == 0.0 and self.reading is None:
            self.head_started_at = self.active_at
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self.reject_connection(400, "upgrade_unsupported")
        except httptools.HttpParserError as error:
            status, code = self.bad_status()
            self.context.log.event(
                "request_unreadable", code=code, detail=str(error)
            )
            self.reject_connection(status, code)
        self.start_exchanges()

    def bad_status(self) -> tuple[int, str]:
        """Returns the status for bytes that the parser gave up on."""
        if self.bad == "headers_too_large":
            return 431, self.bad
        if self.bad == "body_too_large":
            return 413, self.bad
        return 400, self.bad or "bad_request"

    def on_message_begin(self) -> None:
        """Starts a request."""
        self.reading = Exchange(self)
        self.url = b""
        self.header_bytes = 0
        self.hosts = 0
        self.head_done = False
        self.named_hop_by_hop = set()

    def on_url(self, url: bytes) -> None:
        """Takes a part of the request's target."""
        self.url += url
        self.count_header(len(url))

    def count_header(self, size: int) -> None:
        """Bounds the head."""
        self.header_bytes += size
        if self.header_bytes > self.server.limits.header_bytes:
            self.bad = "headers_too_large"
            raise ValueError(self.bad)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Takes a header line, and leaves out what isn't passed on.

        A trailer comes here as well, behind the body. It is dropped: taken
        for a header, it could bring a key or an id past the checks.
        """
        if self.head_done:
            return
        self.count_header(len(name) + len(value) + 4)
        assert self.reading is not None
        head, keys = self.reading.head, self.context.keys
        low = name.lower()
        if low == keys.request_id:
            head.request_id = value.decode("latin-1")
        elif low == keys.deadline:
            head.deadline = value
            return
        elif low == keys.key:
            head.key = value
            return
        elif low == b"host":
            self.hosts += 1
            host = value.decode("latin-1").strip().lower()
            head.host = host.partition(":")[0]
        elif low == b"connection":
            self.strip_named(value)
            return
        elif low == b"expect":
            if value.lower() == b"100-continue":
                stream.write(self.transport, CONTINUE)
            return
        elif low in keys.stripped:
            return
        head.lines.append(name + b": " + value + b"\r\n")

    def strip_named(self, value: bytes) -> None:
        """Remembers headers that concern this connection only."""
        if value.lower() not in (b"keep-alive", b"close"):
            named = {item.strip().lower() for item in value.split(b",")}
            self.named_hop_by_hop = named

    def on_headers_complete(self) -> None:
        """Checks a request as soon as its head is here."""
        exchange = self.reading
        assert exchange is not None
        self.head_done = True
        self.head_started_at = 0.0
        head = exchange.head
        head.begun_at = self.context.now
        head.method = self.parser.get_method().decode("latin-1")
        head.path = self.url.decode("latin-1")
        named = self.named_hop_by_hop
        if named:
            head.lines = [
                line
                for line in head.lines
                if line.partition(b":")[0].lower() not in named
            ]
        if not self.parser.should_keep_alive():
            exchange.close = True
        self.exchanges.append(exchange)
        self.server.idle.pop(self, None)
        if self.hosts != 1 or not head.path.startswith("/"):
            exchange.rejection = intake.Rejection(400, "bad_request")
            exchange.close = True

    def on_body(self, chunk: bytes) -> None:
        """Takes a part of the body."""
        exchange = self.reading
        assert exchange is not None
        exchange.size += len(chunk)
        if exchange.size > self.server.limits.body_bytes:
            self.bad = "body_too_large"
            raise ValueError(self.bad)
        if not self.server.hold(len(chunk)):
            exchange.rejection = intake.Rejection(503, "memory_full", 500.0)
            exchange.close = True
            return
        exchange.parts.append(chunk)

    def on_message_complete(self) -> None:
        """Ends a request."""
        if self.reading is not None:
            self.reading.whole = True
            self.reading = None

    # Routing.

    def start_exchanges(self) -> None:
        """Starts the requests that may start, in order.

        A request that must not repeat waits until all before it on the
        connection are answered: were one of those to close the connection,
        the caller would send it again.
        """
        for place, exchange in enumerate(list(self.exchanges)):
            if not exchange.whole:
                break
            if exchange.started:
                if exchange.close:
                    break
                continue
            if place and not self.may_start_early(exchange):
                break
            self.start(exchange)
            if exchange.close:
                break
        self.pace_reading()

    def may_start_early(self, exchange: Exchange) -> bool:
        """Whether a request may run beside those before it."""
        catalog = self.context.catalog
        if catalog is None or exchange.rejection is not None:
            return False
        path, _, _ = exchange.head.path.partition("?")
        route = catalog.match(exchange.head.host, path)
        return route is not None and route.idempotent

    def start(self, exchange: Exchange) -> None:
        """Checks a whole request and has it routed."""
        exchange.started = True
        rejection = exchange.rejection
        if rejection is None:
            checked = self.server.intake.check(
                exchange.head,
                self.context.catalog,
                self.context.freshness,
                self.context.now,
                closing=self.context.closing,
            )
            if isinstance(checked, intake.Request):
                checked.body = b"".join(exchange.parts)
                exchange.call = self.server.outbound.begin(
                    checked, exchange.take_answer
                )
                return
            rejection = checked
        self.server.reject(exchange, rejection)

    def pace_reading(self) -> None:
        """Reads no further while much is held for this caller."""
        held = len(self.exchanges) >= PIPELINED_MAX or self.write_paused
        if not self.open or held == self.paused:
            return
        assert self.transport is not None
        self.paused = held
        if held:
            self.transport.pause_reading()
        else:
            self.transport.resume_reading()

    def write_answers(self) -> None:
        """Writes the answers whose turn it is."""
        written: list[bytes] = []
        while self.exchanges and (answer := self.exchanges[0].answer):
            exchange = self.exchanges.popleft()
            self.server.release(exchange.size)
            written.append(answer)
            if exchange.close:
                self.closing = True
                break
        if not written or not self.open:
            return
        assert self.transport is not None
        self.active_at = self.context.now
        stream.write(self.transport, b"".join(written))
        if self.closing:
            self.drop_exchanges()
            self.transport.close()
        else:
            if not self.exchanges:
                self.server.idle[self] = None
            self.context.loop.call_soon(self.start_exchanges)

    def reject_connection(self, status: int, code: str) -> None:
        """Answers what can't be read, and closes the connection behind it."""
        exchange = self.reading
        self.reading = None
        if exchange is None or exchange not in self.exchanges:
            exchange = Exchange(self)
            self.exchanges.append(exchange)
        exchange.whole = True
        exchange.close = True
        exchange.rejection = intake.Rejection(status, code)
        if self.open and not self.paused:
            assert self.transport is not None
            self.transport.pause_reading()
            self.paused = True

    # Writing and ending.

    def pause_writing(self) -> None:
        """Stops reading while the caller doesn't read."""
        self.write_paused = True
        self.pace_reading()

    def resume_writing(self) -> None:
        """Reads again."""
        self.write_paused = False
        self.pace_reading()

    def drop_exchanges(self) -> None:
        """Cancels what runs for this connection."""
        exchanges, self.exchanges = self.exchanges, collections.deque()
        for exchange in exchanges:
            self.server.release(exchange.size)
            if exchange.call is not None:
                self.server.outbound.cancel(exchange.call)
                exchange.call = None

    def end(self) -> None:
        """Cancels what runs for this connection, and closes it."""
        self.closing = True
        self.drop_exchanges()
        if self.transport is not None:
            self.transport.close()

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancels what runs for a caller that has left."""
        del exc
        self.transport = None
        self.closing = True
        self.server.closed(self)
        self.drop_exchanges()

    def check(self, now: float) -> None:
        """Closes a connection that is idle, or sends its head too slowly."""
        limits = self.server.limits
        if self.transport is None:
            return
        started = self.head_started_at
        if started and now - started > limits.header_ms:
            if self.reading is not None:
                self.reject_connection(408, "head_too_slow")
                self.start_exchanges()
            else:
                self.transport.close()
        elif now - self.active_at > limits.idle_ms and (
            self.reading is not None or not self.exchanges
        ):
            # Idle, or stalled within a body: its bytes are held until it ends.
            self.transport.close()
