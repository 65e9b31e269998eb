"""Parsing of a caller's bytes into requests, with all sizes bounded."""

from __future__ import annotations

from collections.abc import Callable

import httptools

from currantcart.catalog import model as catalog_model
from currantcart.proxy import context as proxy_context
from currantcart.proxy.callers import exchange as exchange_module
from currantcart.proxy.requests import intake

MEMORY_RETRY_MS = 500.0


class Unreadable(Exception):
    """Bytes that are no request.

    Attributes:
      status: HTTP status for the caller.
      code: Why.
      detail: What the parser says.
    """

    def __init__(self, status: int, code: str, detail: str) -> None:
        super().__init__(detail)
        self.status = status
        self.code = code
        self.detail = detail


class RequestReader:
    """Reads the requests of one connection.

    Attributes:
      reading: The request that is being read.
      head_started_at: When its head began to come; 0 between two heads.
    """

    def __init__(
        self,
        context: proxy_context.Context,
        *,
        limits: Callable[[], catalog_model.CallerLimits],
        hold: Callable[[int], bool],
        begin: Callable[[], exchange_module.Exchange],
        take_head: Callable[[exchange_module.Exchange], None],
        send_continue: Callable[[], None],
    ) -> None:
        """Sets it up.

        Args:
          context: What the parts of the node share.
          limits: Returns what a caller may send now.
          hold: Counts bytes that are held; tells whether there is room.
          begin: Returns the exchange of a request that begins.
          take_head: Takes an exchange whose head is here.
          send_continue: Tells the caller to send the body.
        """
        self.context = context
        self.limits = limits
        self.hold = hold
        self.begin = begin
        self.take_head = take_head
        self.send_continue = send_continue
        self.parser = httptools.HttpRequestParser(self)
        self.reading: exchange_module.Exchange | None = None
        self.head_started_at = 0.0
        self.url = b""
        self.header_bytes = 0
        self.hosts = 0
        self.head_done = False
        self.named_hop_by_hop: set[bytes] = set()
        self.bad = ""

    def feed(self, data: bytes) -> None:
        """Parses what has arrived.

        Raises:
          Unreadable: It is no request.
        """
        if self.head_started_at == 0.0 and self.reading is None:
            self.head_started_at = self.context.now
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade as error:
            raise Unreadable(
                400, "upgrade_unsupported", "an upgrade"
            ) from error
        except httptools.HttpParserError as error:
            raise Unreadable(*self.bad_status(), str(error)) from error

    def bad_status(self) -> tuple[int, str]:
        """Returns status and code for bytes that the parser gave up on."""
        if self.bad == "headers_too_large":
            return 431, self.bad
        if self.bad == "body_too_large":
            return 413, self.bad
        return 400, self.bad or "bad_request"

    # Called by the parser.

    def on_message_begin(self) -> None:
        """Starts a request."""
        self.reading = self.begin()
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
        if self.header_bytes > self.limits().header_bytes:
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
                self.send_continue()
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
        """Completes a head."""
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
        if self.hosts != 1 or not head.path.startswith("/"):
            exchange.rejection = intake.Rejection(400, "bad_request")
            exchange.close = True
        self.take_head(exchange)

    def on_body(self, chunk: bytes) -> None:
        """Takes a part of the body."""
        exchange = self.reading
        assert exchange is not None
        exchange.size += len(chunk)
        if exchange.size > self.limits().body_bytes:
            self.bad = "body_too_large"
            raise ValueError(self.bad)
        if not self.hold(len(chunk)):
            exchange.rejection = intake.Rejection(
                503, "memory_full", MEMORY_RETRY_MS
            )
            exchange.close = True
            return
        exchange.parts.append(chunk)

    def on_message_complete(self) -> None:
        """Ends a request."""
        if self.reading is not None:
            self.reading.whole = True
            self.reading = None
