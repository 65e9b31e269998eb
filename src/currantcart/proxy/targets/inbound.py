"""Requests that peers send for the local target."""

from __future__ import annotations

import dataclasses

from currantcart.proxy import context as proxy_context
from currantcart.proxy.streams import frames, link
from currantcart.proxy.targets import guard
from currantcart.proxy.targets import job as job_module

TRANSIT_MS_MAX = 500.0
"""Transit time above which a request from a peer is refused.

The caller may have left meanwhile, and the cancel of the request is queued
behind it. A link that recovers delivers requests and their cancels together,
and without this limit all of the requests would be started first.
"""


@dataclasses.dataclass(slots=True, eq=False)
class Arrival:
    """A request from a peer.

    Attributes:
      inbound: Component that received it.
      link: Stream that it came on.
      opening: Frame that opened it; its body is set once complete.
      chunks: Parts of the body received so far.
      missing: Bytes of the body not received yet.
      job: The request at the guard; None until the body is complete.
      held: Bytes that are reserved for its whole body.
    """

    inbound: Inbound
    link: link.Link
    opening: frames.Open
    chunks: list[bytes]
    missing: int
    job: job_module.Job | None = None
    held: int = 0

    def add_chunk(self, chunk: bytes) -> None:
        """Adds a part of the body; offers the request once it is complete.

        Parts after that are more than the peer has announced. They are not on
        the account, so they are not kept.
        """
        if self.missing <= 0:
            return
        self.chunks.append(chunk)
        self.missing -= len(chunk)
        if self.missing <= 0:
            self.opening.body = b"".join(self.chunks)
            self.chunks.clear()
            self.inbound.offer(self)

    def release(self) -> None:
        """Removes the request from its stream and releases its memory."""
        self.link.calls.pop(self.opening.call, None)
        self.inbound.context.held.release(self.held)
        self.held = 0
        self.chunks.clear()

    def answered(self, status: int, head: bytes, body: bytes) -> None:
        """Sends the target's response to the peer."""
        self.release()
        number = self.opening.call
        first, more = frames.first_chunk(body)
        self.link.send(
            frames.Answer(
                call=number,
                status=status,
                head=head,
                body=first,
                more=more,
                busy=self.inbound.guard.busy,
                limit=self.inbound.guard.limit(),
            )
        )
        frames.send_rest(number, body, self.link.send)

    def refused(
        self, code: str, *, at_target: bool, retry_after_ms: float
    ) -> None:
        """Notifies the peer that the request did not run and will not run."""
        self.release()
        self.link.send(
            frames.Refuse(
                call=self.opening.call,
                code=code,
                at_target=at_target,
                retry_after_ms=retry_after_ms,
                busy=self.inbound.guard.busy,
                limit=self.inbound.guard.limit(),
            )
        )

    def lost(self, code: str, *, end_number: int = 0) -> None:
        """Notifies the peer that the outcome is unknown."""
        self.release()
        self.link.send(
            frames.Lost(
                call=self.opening.call,
                code=code,
                busy=self.inbound.guard.busy,
                limit=self.inbound.guard.limit(),
                end_number=end_number,
            )
        )


class Inbound:
    """Handles the frames of calls that peers open."""

    def __init__(
        self, context: proxy_context.Context, local_guard: guard.Guard
    ) -> None:
        self.context = context
        self.guard = local_guard

    def handle_frame(self, stream: link.Link, frame: frames.Frame) -> None:
        """Handles a frame of a call on a stream that a peer dialled.

        Raises:
          errors.StreamError: The frame is a response; on a stream that a peer
            dialled, only this node responds.
        """
        if isinstance(frame, frames.Open):
            self.open(stream, frame)
            return
        if not isinstance(frame, frames.Data | frames.Cancel):
            raise frames.invalid(
                "response frame for a call that was not opened"
            )
        arrival = stream.calls.get(frame.call)
        if not isinstance(arrival, Arrival):
            return
        if isinstance(frame, frames.Data):
            arrival.add_chunk(frame.chunk)
        else:
            self.cancel(arrival)

    def open(self, stream: link.Link, opening: frames.Open) -> None:
        """Accepts or refuses a request; its body may be incomplete."""
        arrival = Arrival(self, stream, opening, [], opening.more)
        stream.calls[opening.call] = arrival
        reason = self.refusal_reason(stream, opening)
        if not reason:
            size = len(opening.body) + opening.more
            if self.context.held.reserve(size):
                arrival.held = size
            else:
                reason = "memory_full"
        if reason:
            arrival.refused(reason, at_target=False, retry_after_ms=0.0)
        elif opening.more:
            arrival.chunks.append(opening.body)
            opening.body = b""
        else:
            self.offer(arrival)

    def refusal_reason(self, stream: link.Link, opening: frames.Open) -> str:
        """Returns why a request is refused on arrival; empty if it is not."""
        if self.context.leaving:
            return "draining"
        sent_at = stream.clock.to_own(opening.sent_ms)
        if self.context.now - sent_at > TRANSIT_MS_MAX:
            return "held_up"
        return ""

    def offer(self, arrival: Arrival) -> None:
        """Submits a complete request to the guard.

        Its deadline is computed from the time at which the peer sent it, so
        that a delay in transit counts against the time left.
        """
        opening = arrival.opening
        sent_at = arrival.link.clock.to_own(opening.sent_ms)
        now = self.context.now
        arrival.job = self.guard.submit(
            opening,
            expires_at=min(sent_at, now) + opening.left_ms,
            reply=arrival,
        )

    def cancel(self, arrival: Arrival) -> None:
        """Cancels a request whose peer no longer waits for it."""
        arrival.release()
        if arrival.job is not None:
            self.guard.cancel(arrival.job)

    def handle_link_lost(self, stream: link.Link) -> None:
        """Cancels all requests of a stream that was lost."""
        for arrival in list(stream.calls.values()):
            if isinstance(arrival, Arrival):
                self.cancel(arrival)
