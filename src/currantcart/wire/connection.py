"""Stream to another node: calls multiplexed over one TCP connection."""

from __future__ import annotations

import asyncio
from typing import Protocol, cast

from currantcart import errors
from currantcart.wire import call_stream, codec, handshake, messages

HANDSHAKE_SECONDS_MAX = 5.0
CALLS_MAX = 65_536


class Service(Protocol):
    """Handlers of a node for the events of its streams."""

    def opened(self, stream: Connection) -> None:
        """Handles the completed handshake of a stream."""

    def call_arrived(
        self, opening: messages.Open, call: call_stream.CallStream
    ) -> None:
        """Handles a call opened by a peer."""

    def state_message(
        self, message: messages.Fetch | messages.State, stream: Connection
    ) -> None:
        """Handles a message about the configuration and the members."""

    def rate_message(
        self, message: messages.Ask | messages.Give, stream: Connection
    ) -> None:
        """Handles a message about loans of workspaces' tokens."""

    def closed(self, stream: Connection, error: Exception | None) -> None:
        """Handles the end of a stream."""


class Connection(asyncio.Protocol):
    """One stream to a peer.

    Attributes:
      handshake: State of the handshake.
      calls: Open calls by number. Calls of the dialer have odd numbers and
        those of the acceptor even ones, so that both may open calls.
      ready: Completed when the handshake is done or has failed.
    """

    def __init__(
        self,
        *,
        service: Service,
        shake: handshake.Handshake,
        loop: asyncio.AbstractEventLoop,
    ) -> None:
        self.service = service
        self.handshake = shake
        self.loop = loop
        self.calls: dict[int, call_stream.CallStream] = {}
        self.frames = codec.FrameReader()
        self.transport: asyncio.Transport | None = None
        self.ready: asyncio.Future[None] = loop.create_future()
        dialer = shake.role is handshake.Role.DIALER
        self.next_number = 1 if dialer else 2
        self.error: Exception | None = None
        self.timer: asyncio.TimerHandle | None = None
        self.last_call_number = 0

    @property
    def peer(self) -> str:
        """Instance on the other side."""
        return self.handshake.peer

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Starts the handshake."""
        self.transport = cast(asyncio.Transport, transport)
        self.timer = self.loop.call_later(
            HANDSHAKE_SECONDS_MAX, self.on_handshake_timeout
        )
        self.send(self.handshake.hello())

    def on_handshake_timeout(self) -> None:
        """Aborts the stream when the handshake times out."""
        self.abort(self.handshake.failed("handshake timed out"))

    def send(self, message: messages.Message) -> None:
        """Sends a message, or discards it if the stream is closed."""
        if self.transport is not None and not self.transport.is_closing():
            self.transport.write(codec.encode(message))

    def data_received(self, data: bytes) -> None:
        """Handles received bytes; an invalid frame aborts only this stream."""
        try:
            for message in self.frames.feed(data):
                self.receive(message)
        except errors.StreamError as error:
            self.abort(error)
        except ValueError as error:
            self.abort(codec.invalid(str(error)))

    def receive(self, message: messages.Message) -> None:
        """Dispatches one message."""
        if not self.handshake.done:
            self.receive_handshake(message)
        elif isinstance(message, messages.Open):
            self.receive_open(message)
        elif isinstance(message, (messages.Fetch, messages.State)):
            self.service.state_message(message, self)
        elif isinstance(message, (messages.Ask, messages.Give)):
            self.service.rate_message(message, self)
        elif isinstance(message, (messages.Hello, messages.Proof)):
            raise self.handshake.failed("unexpected second handshake")
        else:
            call = self.calls.get(message.call_number)
            # A message may arrive after its call has ended. It is discarded
            # and cannot reach another call, since numbers are not reused.
            if call is not None:
                call.receive(message)

    def receive_handshake(self, message: messages.Message) -> None:
        """Handles a handshake message."""
        reply = self.handshake.receive(message)
        if reply is not None:
            self.send(reply)
        if self.handshake.done:
            if self.timer is not None:
                self.timer.cancel()
            if not self.ready.done():
                self.ready.set_result(None)
            self.service.opened(self)

    def receive_open(self, opening: messages.Open) -> None:
        """Registers a call opened by the peer.

        Raises:
          errors.StreamError: The call number is invalid or was used before,
            or too many calls are open.
        """
        local_parity = self.next_number % 2
        if opening.call_number % 2 == local_parity or (
            opening.call_number <= self.last_call_number
        ):
            raise errors.StreamError(
                errors.Code.FRAME_INVALID,
                "call number is invalid or was used before",
                peer=self.peer,
            )
        if len(self.calls) >= CALLS_MAX:
            raise errors.StreamError(
                errors.Code.FLOW_VIOLATION,
                "too many open calls",
                peer=self.peer,
            )
        self.last_call_number = opening.call_number
        call = self.new_call(opening.call_number)
        call.feed(opening.chunk, last=opening.last)
        self.service.call_arrived(opening, call)

    def new_call(self, call_number: int) -> call_stream.CallStream:
        """Creates and registers this side of a call."""
        call = call_stream.CallStream(
            call_number=call_number,
            peer=self.peer,
            send=self.send,
            on_close=self.remove_call,
            loop=self.loop,
        )
        self.calls[call_number] = call
        return call

    def remove_call(self, call_number: int) -> None:
        """Removes a call that has ended."""
        self.calls.pop(call_number, None)

    def open(self, opening: messages.Open) -> call_stream.CallStream:
        """Opens a call to the peer.

        Raises:
          errors.StreamError: The stream is not usable; nothing was sent.
        """
        if not self.usable:
            raise errors.StreamError(
                errors.Code.PEER_UNREACHABLE, "stream is closed", peer=self.peer
            )
        opening.call_number = self.next_number
        self.next_number += 2
        call = self.new_call(opening.call_number)
        call.hold_body()
        call.sent_last = opening.last
        self.send(opening)
        return call

    @property
    def usable(self) -> bool:
        """Whether calls can be opened on the stream."""
        return (
            self.handshake.done
            and self.transport is not None
            and not self.transport.is_closing()
        )

    def abort(self, error: Exception) -> None:
        """Aborts the stream, which fails all calls on it."""
        self.error = self.error or error
        if self.transport is not None:
            self.transport.abort()

    def close(self) -> None:
        """Closes the stream after the buffered data was sent."""
        if self.transport is not None:
            self.transport.close()

    def connection_lost(self, exc: Exception | None) -> None:
        """Fails all open calls of the stream."""
        if self.timer is not None:
            self.timer.cancel()
        error = self.error or exc
        if not self.ready.done():
            detail = str(error) if error else "closed during the handshake"
            self.ready.set_exception(self.handshake.failed(detail))
            self.ready.exception()
        for call in list(self.calls.values()):
            call.fail(
                errors.StreamError(
                    errors.Code.PEER_LOST,
                    f"lost the stream to {self.peer}",
                    peer=self.peer,
                )
            )
        self.calls.clear()
        self.service.closed(self, error)


def join_local(
    opening: messages.Open,
    *,
    instance: str,
    loop: asyncio.AbstractEventLoop,
) -> tuple[call_stream.CallStream, call_stream.CallStream]:
    """Creates both sides of a call that stays in one node.

    Returns:
      The caller's side and the target's side.
    """

    def ignore(call_number: int) -> None:
        del call_number

    def to_target(message: messages.Message) -> None:
        target_side.receive(message)

    def to_caller(message: messages.Message) -> None:
        caller_side.receive(message)

    caller_side = call_stream.CallStream(
        call_number=0, peer=instance, send=to_target, on_close=ignore, loop=loop
    )
    target_side = call_stream.CallStream(
        call_number=0, peer=instance, send=to_caller, on_close=ignore, loop=loop
    )
    caller_side.hold_body()
    caller_side.sent_last = opening.last
    target_side.feed(opening.chunk, last=opening.last)
    return caller_side, target_side
