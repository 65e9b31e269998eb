"""Parses a caller's bytes into requests, with limits on all sizes."""

from __future__ import annotations

from collections.abc import Callable

import httptools

from currantcart import held_bytes
from currantcart.catalog import model as catalog_model
from currantcart.http1 import framing_limit
from currantcart.proxy import context as proxy_context
from currantcart.proxy.callers import exchange as exchange_module
from currantcart.proxy.requests import intake

MEMORY_RETRY_MS = 500.0
HEAD_PART_BYTES = 4 * 1024
"""Bytes that are parsed at once where heads are expected.

A request of a few bytes costs many times its size in memory once it is parsed.
"""
BODY_PART_BYTES = 16 * 1024
"""The same within a body."""


class ParseError(Exception):
    """The received bytes are not a valid request, or exceed a limit.

    Attributes:
      status: HTTP status of the answer.
      code: Error code of the answer.
      detail: Message of the parser.
    """

    def __init__(self, status: int, code: str, detail: str) -> None:
        super().__init__(detail)
        self.status = status
        self.code = code
        self.detail = detail


class RequestReader:
    """Reads the requests of one connection.

    Attributes:
      reading: The request that is being read; None between two requests.
      head_started_at: When the first bytes of its head were received; 0
        between two heads.
      framing: Limit on the bytes of a request that belong to no body.
      completed: Number of complete requests.
      error_code: Why the parser was stopped; empty for its own errors.
    """

    def __init__(
        self,
        context: proxy_context.Context,
        *,
        limits: Callable[[], catalog_model.CallerLimits],
        held: held_bytes.HeldBytes,
        new_exchange: Callable[[], exchange_module.Exchange],
        add_exchange: Callable[[exchange_module.Exchange], None],
        send_continue: Callable[[], None],
        has_room: Callable[[], bool],
    ) -> None:
        """Initializes the reader.

        Args:
          context: State that the parts of the node share.
          limits: Returns the current limits on what a caller may send.
          held: Account of the bodies in memory.
          new_exchange: Returns the exchange for a new request.
          add_exchange: Adds an exchange whose head is complete.
          send_continue: Sends 100 Continue to the caller.
          has_room: Returns whether further requests may be parsed.
        """
        self.context = context
        self.limits = limits
        self.held = held
        self.new_exchange = new_exchange
        self.add_exchange = add_exchange
        self.send_continue = send_continue
        self.has_room = has_room
        self.parser = httptools.HttpRequestParser(self)
        self.reading: exchange_module.Exchange | None = None
        self.head_started_at = 0.0
        self.url = b""
        self.header_bytes = 0
        self.hosts = 0
        self.head_done = False
        self.connection_options: set[bytes] = set()
        self.error_code = ""
        self.framing = framing_limit.FramingLimit()
        self.completed = 0

    def feed(self, data: bytes) -> bytes:
        """Parses received bytes for as long as there is room for requests.

        Returns:
          The bytes that were not parsed.

        Raises:
          ParseError: They are not a valid request, or exceed a limit.
        """
        if not self.has_room():
            return data
        if self.head_started_at == 0.0 and self.reading is None:
            self.head_started_at = self.context.now
        start = 0
        try:
            while start < len(data) and self.has_room():
                end = start + self.part_bytes()
                self.feed_part(data[start:end])
                start = end
        except httptools.HttpParserUpgrade as error:
            raise ParseError(
                400, "upgrade_unsupported", "protocol upgrade requested"
            ) from error
        except httptools.HttpParserError as error:
            raise ParseError(*self.error_status(), str(error)) from error
        return data[start:]

    def part_bytes(self) -> int:
        """Returns how many bytes are parsed before limits are checked."""
        is_in_body = self.reading is not None and self.head_done
        return BODY_PART_BYTES if is_in_body else HEAD_PART_BYTES

    def feed_part(self, part: bytes) -> None:
        """Parses a part of the received bytes.

        A part may hold several short requests. What it has of the last one
        counts from the next part on.

        Raises:
          httptools.HttpParserError: It isn't part of a request, or exceeds a
            limit.
        """
        completed = self.completed
        self.parser.feed_data(part)
        if self.completed != completed:
            self.framing.reset()
        elif self.framing.is_exceeded_by(len(part)):
            self.error_code = "" if self.head_done else "headers_too_large"
            raise httptools.HttpParserError(
                f"over {self.framing.limit} bytes of head or framing"
            )

    def error_status(self) -> tuple[int, str]:
        """Returns status and code of the answer to a parser error."""
        if self.error_code == "headers_too_large":
            return 431, self.error_code
        if self.error_code == "body_too_large":
            return 413, self.error_code
        return 400, self.error_code or "bad_request"

    # Callbacks of the parser.

    def on_message_begin(self) -> None:
        """Starts a new request."""
        self.reading = self.new_exchange()
        self.url = b""
        self.header_bytes = 0
        self.framing.limit = max(
            framing_limit.BYTES_MAX, self.limits().header_bytes
        )
        self.hosts = 0
        self.head_done = False
        self.connection_options = set()

    def on_url(self, url: bytes) -> None:
        """Adds a part of the request target."""
        self.url += url
        self.count_header(len(url))

    def count_header(self, size: int) -> None:
        """Counts bytes of the head against its limit.

        Raises:
          ValueError: The head is too large.
        """
        self.header_bytes += size
        if self.header_bytes > self.limits().header_bytes:
            self.error_code = "headers_too_large"
            raise ValueError(self.error_code)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Adds a header line, unless it is not forwarded to the target.

        The parser also reports trailer fields here, after the body. They are
        dropped: treated as headers, they could carry a key or an id past the
        checks.
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
            self.set_connection_options(value)
            return
        elif low == b"expect":
            if value.lower() == b"100-continue":
                self.send_continue()
            return
        elif low in keys.stripped:
            return
        head.lines.append(name + b": " + value + b"\r\n")

    def set_connection_options(self, value: bytes) -> None:
        """Records the headers that are named as connection options.

        They concern this connection only and are not forwarded.
        """
        if value.lower() not in (b"keep-alive", b"close"):
            named = {item.strip().lower() for item in value.split(b",")}
            self.connection_options = named

    def on_headers_complete(self) -> None:
        """Completes the head of a request."""
        exchange = self.reading
        assert exchange is not None
        self.head_done = True
        self.head_started_at = 0.0
        head = exchange.head
        head.head_received_at = self.context.now
        head.method = self.parser.get_method().decode("latin-1")
        head.path = self.url.decode("latin-1")
        named = self.connection_options
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
        self.add_exchange(exchange)

    def on_body(self, chunk: bytes) -> None:
        """Adds a part of the body.

        Raises:
          ValueError: The body is too large.
        """
        exchange = self.reading
        assert exchange is not None
        self.framing.add_body(len(chunk))
        exchange.size += len(chunk)
        if exchange.size > self.limits().body_bytes:
            self.error_code = "body_too_large"
            raise ValueError(self.error_code)
        if exchange.rejection is not None:
            return
        if not self.held.reserve(len(chunk)):
            exchange.rejection = intake.Rejection(
                503, "memory_full", MEMORY_RETRY_MS
            )
            exchange.close = True
            self.held.release(exchange.held)
            exchange.held = 0
            exchange.parts.clear()
            return
        exchange.held += len(chunk)
        exchange.parts.append(chunk)

    def on_message_complete(self) -> None:
        """Completes a request."""
        self.completed += 1
        if self.reading is not None:
            self.reading.complete = True
            self.reading = None
