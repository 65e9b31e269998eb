"""One side of a call on a stream, with per-call flow control.

The same class serves the caller's side and the target's side. A call that stays
in one node uses two `CallStream`s joined without a connection between them.
"""

from __future__ import annotations

import asyncio
import collections
from collections.abc import Callable

from currantcart import errors
from currantcart.wire import messages

WINDOW_BYTES = 256 * 1024
WINDOW_UPDATE_BYTES = WINDOW_BYTES // 2

Head = messages.Answer | messages.Refuse


def drop_message(message: messages.Message) -> None:
    """Discards a message of a call that has ended."""
    del message


class CallStream:
    """Response head, body and flow control of one side of a call.

    Attributes:
      call_number: Number of the call on its stream.
      peer: Instance on the other side.
      head: Head of the answer or the refusal; None until it arrives.
      credit: Bytes of the body that may still be sent.
      unread: Bytes received and not yet read.
      consumed: Bytes read since the last window update.
      on_reset: Called when the call fails.
      on_close: Called with the call number when the call has ended.
    """

    def __init__(
        self,
        *,
        call_number: int,
        peer: str,
        send: Callable[[messages.Message], None],
        on_close: Callable[[int], None],
        loop: asyncio.AbstractEventLoop,
    ) -> None:
        self.call_number = call_number
        self.peer = peer
        self.send_message = send
        self.on_close = on_close
        self.loop = loop
        self.head: Head | None = None
        self.chunks: collections.deque[bytes] = collections.deque()
        self.received_last = False
        self.sent_last = False
        self.error: errors.StreamError | None = None
        self.waiter: asyncio.Future[None] | None = None
        self.send_waiter: asyncio.Future[None] | None = None
        self.credit = WINDOW_BYTES
        self.unread = 0
        self.consumed = 0
        self.on_reset: Callable[[], object] | None = None

    def hold_body(self) -> None:
        """Withholds the rest of the body until the peer grants credit.

        An upload that is refused before admission can then be sent in full
        to another target, since the bytes sent so far are still at hand.
        """
        self.credit = 0

    def grant_body(self) -> None:
        """Grants the peer credit to send the rest of its body."""
        if not self.received_last:
            self.send_message(messages.Window(self.call_number, WINDOW_BYTES))

    def wake(self) -> None:
        """Wakes the reader if it waits for a message."""
        waiter, self.waiter = self.waiter, None
        if waiter is not None and not waiter.done():
            waiter.set_result(None)

    def wake_sender(self) -> None:
        """Wakes the writer if it waits for credit."""
        waiter, self.send_waiter = self.send_waiter, None
        if waiter is not None and not waiter.done():
            waiter.set_result(None)

    def receive(self, message: messages.Message) -> None:
        """Handles a message of this call.

        Raises:
          errors.StreamError: The peer exceeded the flow control window.
        """
        if isinstance(message, messages.Answer):
            self.head = message
            self.feed(message.chunk, last=message.last)
        elif isinstance(message, messages.Data):
            self.feed(message.chunk, last=message.last)
        elif isinstance(message, messages.Window):
            self.credit += max(0, message.credit)
            self.wake_sender()
        elif isinstance(message, messages.Refuse):
            self.head = message
            self.received_last = True
            self.close()
            self.wake()
        elif isinstance(message, messages.Reset):
            self.fail(
                errors.StreamError(
                    errors.Code.ANSWER_ABORTED, message.detail, peer=self.peer
                )
            )

    def feed(self, chunk: bytes, *, last: bool) -> None:
        """Buffers received bytes of the body.

        Raises:
          errors.StreamError: The peer exceeded the flow control window.
        """
        self.unread += len(chunk)
        if self.unread > WINDOW_BYTES + messages.CHUNK_BYTES_MAX:
            raise errors.StreamError(
                errors.Code.FLOW_VIOLATION,
                "peer exceeded the flow control window of the call",
                peer=self.peer,
            )
        if chunk:
            self.chunks.append(chunk)
        self.received_last = self.received_last or last
        self.wake()

    def fail(self, error: errors.StreamError) -> None:
        """Ends the call with an error for its reader and writer."""
        if self.error is None:
            self.error = error
        on_reset = self.on_reset
        self.close()
        self.wake()
        self.wake_sender()
        if on_reset is not None:
            on_reset()

    async def wait(self) -> None:
        """Waits until a message arrives or the call fails."""
        self.waiter = self.loop.create_future()
        await self.waiter

    async def answer(self) -> Head:
        """Waits for the head of the answer or for a refusal.

        Raises:
          errors.StreamError: The call failed before either arrived.
        """
        while self.head is None:
            if self.error is not None:
                raise self.error
            await self.wait()
        return self.head

    def read_nowait(self) -> bytes:
        """Returns all buffered bytes and sends a window update when due."""
        chunk = (
            self.chunks.popleft()
            if len(self.chunks) == 1
            else b"".join(self.chunks)
        )
        self.chunks.clear()
        self.unread -= len(chunk)
        self.consumed += len(chunk)
        if self.consumed >= WINDOW_UPDATE_BYTES and not self.received_last:
            self.send_message(messages.Window(self.call_number, self.consumed))
            self.consumed = 0
        return chunk

    @property
    def at_end(self) -> bool:
        """Whether the body of the other side was read to its end."""
        return self.received_last and not self.chunks

    async def read(self) -> bytes:
        """Returns the next bytes of the body; empty at its end.

        Raises:
          errors.StreamError: The call failed before the end of the body.
        """
        while not self.chunks:
            if self.error is not None:
                raise self.error
            if self.received_last:
                return b""
            await self.wait()
        return self.read_nowait()

    async def send(self, chunk: bytes, *, last: bool) -> None:
        """Sends bytes of this side's body, waiting for credit.

        Raises:
          errors.StreamError: The call has failed.
        """
        for start in range(0, len(chunk), messages.CHUNK_BYTES_MAX):
            part = chunk[start : start + messages.CHUNK_BYTES_MAX]
            await self.wait_for_credit()
            self.credit -= len(part)
            final = last and start + len(part) == len(chunk)
            self.send_data(part, last=final)
        if last and not chunk:
            if self.error is not None:
                raise self.error
            self.send_data(b"", last=True)

    async def wait_for_credit(self) -> None:
        """Waits until the other side grants credit.

        Raises:
          errors.StreamError: The call has failed.
        """
        while self.credit <= 0 and self.error is None:
            self.send_waiter = self.loop.create_future()
            await self.send_waiter
        if self.error is not None:
            raise self.error

    def send_data(self, chunk: bytes, *, last: bool) -> None:
        """Sends one part of the body without waiting."""
        self.sent_last = self.sent_last or last
        self.send_message(messages.Data(self.call_number, chunk, last))

    def send_answer(self, answer: messages.Answer) -> None:
        """Sends the head of the answer and the first bytes of its body."""
        self.credit -= len(answer.chunk)
        self.sent_last = answer.last
        self.send_message(answer)

    def refuse(self, refuse: messages.Refuse) -> None:
        """Ends the call with a refusal."""
        self.sent_last = True
        self.send_message(refuse)
        self.close()

    def reset(self, code: errors.Code, detail: str) -> None:
        """Aborts the call on both sides, unless both have finished."""
        if self.error is None and not (self.sent_last and self.received_last):
            self.send_message(messages.Reset(self.call_number, code, detail))
            self.error = errors.StreamError(code, detail, peer=self.peer)
        self.close()

    def close(self) -> None:
        """Removes the call from its stream and breaks reference cycles.

        The stream and the call refer to each other. If such cycles were left
        to the garbage collector, its pauses would cause the slowest calls.
        """
        self.on_close(self.call_number)
        self.on_reset = None
        self.send_message = drop_message
