"""One caller's connection: pipelining, answers in order, its end."""

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
    """What holds the connections of all callers."""

    context: proxy_context.Context

    @property
    def limits(self) -> catalog_model.CallerLimits:
        """What a caller may send now."""

    def opened(self, connection: CallerConnection) -> None:
        """Takes a new connection."""

    def closed(self, connection: CallerConnection) -> None:
        """Takes the end of a connection."""

    def became_busy(self, connection: CallerConnection) -> None:
        """Takes that a connection has a request."""

    def became_idle(self, connection: CallerConnection) -> None:
        """Takes that nothing runs on a connection."""

    def is_last_answer(self, code: int) -> bool:
        """Tells whether a connection is closed behind an answer."""

    def hold(self, size: int) -> bool:
        """Counts bytes that are held, if there is room for them."""

    def release(self, size: int) -> None:
        """Counts bytes that are no longer held."""

    def route(self, exchange: exchange_module.Exchange) -> None:
        """Checks a whole request and sends it on its way."""

    def cancel(self, call: call_module.Call) -> None:
        """Ends a request whose caller has left."""


class CallerConnection(asyncio.Protocol):
    """One connection of a caller.

    Attributes:
      exchanges: Requests that were not answered yet, the oldest first.
      reader: Parses what the caller sends.
      active_at: When something last came or went.
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
            hold=owner.hold,
            begin=lambda: exchange_module.Exchange(self),
            take_head=self.take_head,
            send_continue=lambda: self.write(CONTINUE),
        )
        self.transport: asyncio.Transport | None = None
        self.active_at = owner.context.now
        self.paused = False
        self.write_paused = False
        self.closing = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Registers the connection."""
        # uvloop's transports are no subclasses of asyncio's.
        self.transport = cast(asyncio.Transport, transport)
        self.transport.set_write_buffer_limits(high=256 * 1024)
        self.owner.opened(self)

    @property
    def open(self) -> bool:
        """Whether anything can be written; uvloop raises where it can't."""
        return self.transport is not None and not self.transport.is_closing()

    def write(self, data: bytes) -> None:
        """Writes bytes, while the connection stands."""
        stream.write(self.transport, data)

    # Reading.

    def data_received(self, data: bytes) -> None:
        """Takes what arrives."""
        if self.closing:
            return
        self.active_at = self.context.now
        try:
            self.reader.feed(data)
        except request_reader.Unreadable as error:
            self.context.log.event(
                "request_unreadable", code=error.code, detail=error.detail
            )
            self.reject_connection(error.status, error.code)
        self.start_exchanges()

    def take_head(self, exchange: exchange_module.Exchange) -> None:
        """Takes a request whose head is here."""
        self.exchanges.append(exchange)
        self.owner.became_busy(self)

    def reject_connection(self, status: int, code: str) -> None:
        """Answers what can't be read, and closes the connection behind it."""
        exchange = self.reader.reading
        self.reader.reading = None
        if exchange is None or exchange not in self.exchanges:
            exchange = exchange_module.Exchange(self)
            self.exchanges.append(exchange)
        exchange.whole = True
        exchange.close = True
        exchange.rejection = intake.Rejection(status, code)
        if self.open and not self.paused:
            assert self.transport is not None
            self.transport.pause_reading()
            self.paused = True

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
            exchange.started = True
            self.owner.route(exchange)
            if exchange.close:
                break
        self.pace_reading()

    def may_start_early(self, exchange: exchange_module.Exchange) -> bool:
        """Whether a request may run beside those before it."""
        catalog = self.context.catalog
        if catalog is None or exchange.rejection is not None:
            return False
        route = exchange.head.match(catalog)
        return route is not None and route.idempotent

    # Answering.

    def is_last_answer(self, code: int) -> bool:
        """Tells whether the connection is closed behind an answer."""
        return self.owner.is_last_answer(code)

    def write_answers(self) -> None:
        """Writes the answers whose turn it is."""
        written: list[bytes] = []
        while self.exchanges and (answer := self.exchanges[0].answer):
            exchange = self.exchanges.popleft()
            self.owner.release(exchange.size)
            written.append(answer)
            if exchange.close:
                self.closing = True
                break
        if not written or not self.open:
            return
        assert self.transport is not None
        self.active_at = self.context.now
        self.write(b"".join(written))
        if self.closing:
            self.drop_exchanges()
            self.transport.close()
        else:
            if not self.exchanges:
                self.owner.became_idle(self)
            self.context.loop.call_soon(self.start_exchanges)

    def pause_writing(self) -> None:
        """Stops reading while the caller doesn't read."""
        self.write_paused = True
        self.pace_reading()

    def resume_writing(self) -> None:
        """Reads again."""
        self.write_paused = False
        self.pace_reading()

    # Ending.

    def drop_exchanges(self) -> None:
        """Cancels what runs for this connection."""
        exchanges, self.exchanges = self.exchanges, collections.deque()
        for exchange in exchanges:
            self.owner.release(exchange.size)
            if exchange.call is not None:
                self.owner.cancel(exchange.call)
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
        self.owner.closed(self)
        self.drop_exchanges()

    def check(self, now: float) -> None:
        """Closes a connection that is idle, or sends its head too slowly."""
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
            # Idle, or stalled within a body: its bytes are held until it ends.
            self.transport.close()
