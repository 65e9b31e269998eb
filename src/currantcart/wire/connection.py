"""One stream to another node: many calls over one TCP connection."""

from __future__ import annotations

import asyncio
from typing import Protocol, cast

from currantcart import errors
from currantcart.wire import call_stream, codec, handshake, messages

HANDSHAKE_SECONDS_MAX = 5.0
CALLS_MAX = 65_536


class Service(Protocol):
    """What a node does with streams."""

    def opened(self, stream: Connection) -> None:
        """Notes a stream whose handshake is done."""

    def call_arrived(
        self, opening: messages.Open, call: call_stream.CallStream
    ) -> None:
        """Takes a call from a peer."""

    def state_message(
        self, message: messages.Fetch | messages.State, stream: Connection
    ) -> None:
        """Takes a message about configuration and members."""

    def rate_message(
        self, message: messages.Ask | messages.Give, stream: Connection
    ) -> None:
        """Takes a message about workspaces' rates."""

    def closed(self, stream: Connection, error: Exception | None) -> None:
        """Notes the end of a stream."""


class Connection(asyncio.Protocol):
    """One stream.

    Attributes:
      handshake: Its handshake.
      calls: Calls that run on it, by number. The dialer's calls have odd
        numbers and the acceptor's even ones, so both may open calls.
      ready: Done when the handshake is.
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
        self.calls_taken = 0

    @property
    def peer(self) -> str:
        """Instance on the other side."""
        return self.handshake.peer

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Starts the handshake."""
        self.transport = cast(asyncio.Transport, transport)
        self.timer = self.loop.call_later(
            HANDSHAKE_SECONDS_MAX, self.handshake_late
        )
        self.send(self.handshake.hello())

    def handshake_late(self) -> None:
        """Ends a stream whose peer never proves itself."""
        self.abort(self.handshake.failed("the handshake took too long"))

    def send(self, message: messages.Message) -> None:
        """Sends a message; a stream that is gone drops it."""
        if self.transport is not None and not self.transport.is_closing():
            self.transport.write(codec.encode(message))

    def data_received(self, data: bytes) -> None:
        """Decodes what arrived; a bad frame ends this stream only."""
        try:
            for message in self.frames.feed(data):
                self.receive(message)
        except errors.StreamError as error:
            self.abort(error)
        except ValueError as error:
            self.abort(codec.invalid(str(error)))

    def receive(self, message: messages.Message) -> None:
        """Takes one message."""
        if not self.handshake.done:
            self.receive_handshake(message)
        elif isinstance(message, messages.Open):
            self.receive_open(message)
        elif isinstance(message, (messages.Fetch, messages.State)):
            self.service.state_message(message, self)
        elif isinstance(message, (messages.Ask, messages.Give)):
            self.service.rate_message(message, self)
        elif isinstance(message, (messages.Hello, messages.Proof)):
            raise self.handshake.failed("a second handshake")
        else:
            call = self.calls.get(message.call_number)
            # A message may cross the end of its call on the way; it is
            # dropped, and cannot reach another call: numbers are not reused.
            if call is not None:
                call.receive(message)

    def receive_handshake(self, message: messages.Message) -> None:
        """Takes a message of the handshake."""
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
        """Takes a call that the peer opens."""
        own_parity = self.next_number % 2
        if opening.call_number % 2 == own_parity or (
            opening.call_number <= self.calls_taken
        ):
            raise errors.StreamError(
                errors.Code.FRAME_INVALID,
                "a call number was used twice",
                peer=self.peer,
            )
        if len(self.calls) >= CALLS_MAX:
            raise errors.StreamError(
                errors.Code.FLOW_VIOLATION, "too many calls", peer=self.peer
            )
        self.calls_taken = opening.call_number
        call = self.new_call(opening.call_number)
        call.feed(opening.chunk, last=opening.last)
        self.service.call_arrived(opening, call)

    def new_call(self, call_number: int) -> call_stream.CallStream:
        """Registers one side of a call."""
        call = call_stream.CallStream(
            call_number=call_number,
            peer=self.peer,
            send=self.send,
            forget=self.forget,
            loop=self.loop,
        )
        self.calls[call_number] = call
        return call

    def forget(self, call_number: int) -> None:
        """Drops a call that has ended."""
        self.calls.pop(call_number, None)

    def open(self, opening: messages.Open) -> call_stream.CallStream:
        """Opens a call to the peer.

        Raises:
          errors.StreamError: The stream is gone; nothing was sent.
        """
        if not self.usable:
            raise errors.StreamError(
                errors.Code.PEER_UNREACHABLE, "stream closed", peer=self.peer
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
        """Whether calls can be opened on it."""
        return (
            self.handshake.done
            and self.transport is not None
            and not self.transport.is_closing()
        )

    def abort(self, error: Exception) -> None:
        """Ends the stream and all calls on it."""
        self.error = self.error or error
        if self.transport is not None:
            self.transport.abort()

    def close(self) -> None:
        """Closes the stream after what was written."""
        if self.transport is not None:
            self.transport.close()

    def connection_lost(self, exc: Exception | None) -> None:
        """Fails every call that still ran on the stream."""
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
                    f"stream to {self.peer} was lost",
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
    """Joins two sides of a call that stays in one node.

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
        call_number=0, peer=instance, send=to_target, forget=ignore, loop=loop
    )
    target_side = call_stream.CallStream(
        call_number=0, peer=instance, send=to_caller, forget=ignore, loop=loop
    )
    caller_side.hold_body()
    caller_side.sent_last = opening.last
    target_side.feed(opening.chunk, last=opening.last)
    return caller_side, target_side
