"""One caller's connection: pipelining, answers in order, closing."""

from __future__ import annotations

import asyncio
import collections
from typing import Protocol, cast

from currantcart.catalog import model as catalog_model
from currantcart.http1 import transport as stream
from currantcart.proxy import context as proxy_context
from currantcart.proxy.callers import exchange as exchange_module
from currantcart.proxy.callers import request_reader
from currantcart.proxy.requests import call as call_module
from currantcart.proxy.requests import intake

PIPELINED_MAX = 16
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"


class CallerOwner(Protocol):
    """Owner of the connections of all callers."""

    context: proxy_context.Context

    @property
    def limits(self) -> catalog_model.CallerLimits:
        """Current limits on what a caller may send."""

    def opened(self, connection: CallerConnection) -> None:
        """Registers a new connection."""

    def closed(self, connection: CallerConnection) -> None:
        """Removes a connection that has ended."""

    def became_busy(self, connection: CallerConnection) -> None:
        """Marks a connection as busy: it has a request."""

    def became_idle(self, connection: CallerConnection) -> None:
        """Marks a connection as idle: it has no request."""

    def is_last_answer(self, code: int) -> bool:
        """Returns whether a connection is closed after an answer."""

    def route(self, exchange: exchange_module.Exchange) -> None:
        """Checks a complete request, and routes or rejects it."""

    def cancel(self, call: call_module.Call) -> None:
        """Cancels a request whose caller has disconnected."""

    def cancel_wait(self, exchange: exchange_module.Exchange) -> None:
        """Cancels the wait of a request whose caller has disconnected."""


class CallerConnection(asyncio.Protocol):
    """One connection of a caller.

    Attributes:
      exchanges: Requests that were not answered yet, the oldest first.
      reader: Parses the received bytes.
      active_at: When bytes were last received or answers written.
      paused: Whether reading is paused.
      write_paused: Whether the write buffer is full.
      unread: Received bytes that are not parsed while too many requests are
        queued.
      is_read_due: Whether `unread` is about to be parsed.
      unsent: Bytes of answers in a full write buffer, as last counted.
      closing: Whether the connection is closing, and reads no more.
    """

    def __init__(self, owner: CallerOwner) -> None:
        self.owner = owner
        self.context = owner.context
        self.exchanges: collections.deque[exchange_module.Exchange] = (
            collections.deque()
        )
        self.reader = request_reader.RequestReader(
            owner.context,
            limits=lambda: owner.limits,
            held=owner.context.held,
            new_exchange=lambda: exchange_module.Exchange(self),
            add_exchange=self.add_exchange,
            send_continue=lambda: self.write(CONTINUE),
            has_room=lambda: len(self.exchanges) < PIPELINED_MAX,
        )
        self.transport: asyncio.Transport | None = None
        self.active_at = owner.context.now
        self.paused = False
        self.write_paused = False
        self.unread = b""
        self.is_read_due = False
        self.unsent = 0
        self.closing = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Registers the connection with its owner."""
        # uvloop's transports are not subclasses of asyncio's.
        self.transport = cast(asyncio.Transport, transport)
        self.transport.set_write_buffer_limits(high=256 * 1024)
        self.owner.opened(self)

    @property
    def open(self) -> bool:
        """Whether the connection can be written to; uvloop raises if not."""
        return self.transport is not None and not self.transport.is_closing()

    def write(self, data: bytes) -> None:
        """Writes bytes unless the connection has ended."""
        stream.write(self.transport, data)

    # Reading.

    def data_received(self, data: bytes) -> None:
        """Parses received bytes, and starts the requests that may start."""
        if self.closing:
            return
        self.active_at = self.context.now
        self.read(self.unread + data if self.unread else data)

    def read(self, data: bytes) -> None:
        """Parses bytes, and starts the requests that may start."""
        try:
            self.keep_unread(self.reader.feed(data))
        except request_reader.ParseError as error:
            self.context.log.event(
                "request_unreadable", code=error.code, detail=error.detail
            )
            self.keep_unread(b"")
            self.reject_connection(error.status, error.code)
        self.start_exchanges()

    def read_unread(self) -> None:
        """Parses what was left unread while too many requests were queued."""
        self.is_read_due = False
        if not self.closing and self.unread:
            self.read(self.unread)

    def keep_unread(self, data: bytes) -> None:
        """Keeps bytes to parse them later, and counts them as held."""
        if not data and not self.unread:
            return
        self.context.held.release(len(self.unread))
        self.context.held.hold(len(data))
        self.unread = data

    def add_exchange(self, exchange: exchange_module.Exchange) -> None:
        """Adds a request whose head is complete."""
        self.exchanges.append(exchange)
        self.owner.became_busy(self)

    def reject_connection(self, status: int, code: str) -> None:
        """Rejects an unreadable request, and closes after the answer.

        Args:
          status: HTTP status of the answer.
          code: Error code of the answer.
        """
        exchange = self.reader.reading
        self.reader.reading = None
        if exchange is None or exchange not in self.exchanges:
            exchange = exchange_module.Exchange(self)
            self.exchanges.append(exchange)
        exchange.complete = True
        exchange.close = True
        exchange.rejection = intake.Rejection(status, code)
        if self.open and not self.paused:
            assert self.transport is not None
            self.transport.pause_reading()
            self.paused = True

    def apply_backpressure(self) -> None:
        """Pauses reading while too many requests or answers are queued."""
        is_full = len(self.exchanges) >= PIPELINED_MAX or self.write_paused
        if self.unread and not is_full and not self.is_read_due:
            self.is_read_due = True
            self.context.loop.call_soon(self.read_unread)
        pause = is_full or bool(self.unread)
        if not self.open or pause == self.paused:
            return
        assert self.transport is not None
        self.paused = pause
        if pause:
            self.transport.pause_reading()
        else:
            self.transport.resume_reading()

    # Routing.

    def start_exchanges(self) -> None:
        """Starts the requests that may start, in order.

        A request that isn't idempotent waits until all before it on the
        connection are answered: if one of those closed the connection, the
        caller would send the request again.
        """
        for position, exchange in enumerate(list(self.exchanges)):
            if not exchange.complete:
                break
            if exchange.started:
                if exchange.close:
                    break
                continue
            if position and not self.may_start_early(exchange):
                break
            exchange.started = True
            self.owner.route(exchange)
            # Routing it may have answered an earlier one, and that may have
            # closed the connection: nobody waits for the others any more.
            if exchange.close or self.closing:
                break
        self.apply_backpressure()

    def may_start_early(self, exchange: exchange_module.Exchange) -> bool:
        """Returns whether a request may run along with those before it."""
        catalog = self.context.catalog
        if catalog is None or exchange.rejection is not None:
            return False
        route = exchange.head.match(catalog)
        return route is not None and route.idempotent

    # Answering.

    def is_last_answer(self, code: int) -> bool:
        """Returns whether the connection is closed after an answer."""
        return self.owner.is_last_answer(code)

    def write_answers(self) -> None:
        """Writes the answers that are next in order."""
        written: list[bytes] = []
        while self.exchanges and (answer := self.exchanges[0].answer):
            exchange = self.exchanges.popleft()
            self.context.held.release(exchange.held)
            written.append(answer)
            if exchange.close:
                self.closing = True
                break
        if not written or not self.open:
            return
        assert self.transport is not None
        self.active_at = self.context.now
        self.write(b"".join(written))
        self.hold_unsent()
        if self.closing:
            self.cancel_exchanges()
            self.transport.close()
        else:
            if not self.exchanges:
                self.owner.became_idle(self)
            self.context.loop.call_soon(self.start_exchanges)

    def pause_writing(self) -> None:
        """Pauses reading while the caller does not read its answers."""
        self.write_paused = True
        self.hold_unsent()
        self.apply_backpressure()

    def resume_writing(self) -> None:
        """Resumes reading, if nothing else pauses it."""
        self.write_paused = False
        self.hold_unsent()
        self.apply_backpressure()

    def hold_unsent(self) -> None:
        """Counts what a caller that reads slowly has not read yet."""
        unsent = 0
        if self.write_paused and self.transport is not None:
            unsent = self.transport.get_write_buffer_size()
        self.context.held.release(self.unsent)
        self.context.held.hold(unsent)
        self.unsent = unsent

    # Closing.

    def cancel_exchanges(self) -> None:
        """Cancels the open requests, and releases their memory."""
        self.keep_unread(b"")
        exchanges, self.exchanges = self.exchanges, collections.deque()
        for exchange in exchanges:
            self.context.held.release(exchange.held)
            if exchange.call is not None:
                self.owner.cancel(exchange.call)
                exchange.call = None
            elif exchange.waiter is not None:
                self.owner.cancel_wait(exchange)

    def end(self) -> None:
        """Cancels the requests of this connection, and closes it."""
        self.closing = True
        self.cancel_exchanges()
        if self.transport is not None:
            self.transport.close()

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancels the requests of a caller that has disconnected."""
        del exc
        self.transport = None
        self.closing = True
        self.hold_unsent()
        self.owner.closed(self)
        self.cancel_exchanges()

    def check(self, now: float) -> None:
        """Closes the connection if it is idle or sends a head too slowly."""
        limits = self.owner.limits
        if self.transport is None:
            return
        started = self.reader.head_started_at
        if started and now - started > limits.header_ms:
            if self.reader.reading is not None:
                self.reject_connection(408, "head_too_slow")
                self.start_exchanges()
            else:
                self.transport.close()
        elif now - self.active_at > limits.idle_ms and (
            self.reader.reading is not None or not self.exchanges
        ):
            # Idle, or stalled within a body, whose bytes stay in memory until
            # the connection ends.
            self.transport.close()
