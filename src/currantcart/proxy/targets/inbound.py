"""Requests that come from peers for the target beside this node."""

from __future__ import annotations

import dataclasses

from currantcart.proxy import context as proxy_context
from currantcart.proxy.streams import frames, link
from currantcart.proxy.targets import guard
from currantcart.proxy.targets import job as job_module

ASSEMBLED_BYTES_MAX = 96 * 1024 * 1024
TRANSIT_MS_MAX = 500.0
"""Time on the way beyond which a request isn't taken any more.

Its caller may have left meanwhile, and the word of that lies behind it in the
same queue: a link that comes back delivers requests and their cancels at once,
and all of the requests would be started first.
"""


@dataclasses.dataclass(slots=True, eq=False)
class Arrival:
    """A request from a peer.

    Attributes:
      opening: What opened it; its body grows until it is whole.
      chunks: Parts of the body that came so far.
      missing: Bytes of the body that are still to come.
      job: The request at the guard, once its body is whole.
    """

    inbound: Inbound
    link: link.Link
    opening: frames.Open
    chunks: list[bytes]
    missing: int
    job: job_module.Job | None = None

    def take_chunk(self, chunk: bytes) -> None:
        """Takes a further part of the body."""
        self.chunks.append(chunk)
        self.missing -= len(chunk)
        self.inbound.held_bytes += len(chunk)
        if self.missing <= 0 and self.job is None:
            self.opening.body = b"".join(self.chunks)
            self.chunks.clear()
            self.inbound.offer(self)

    def forget(self) -> None:
        """Takes the request off its stream."""
        self.link.calls.pop(self.opening.call, None)
        self.inbound.held_bytes -= len(self.opening.body) + sum(
            map(len, self.chunks)
        )
        self.chunks.clear()

    def answered(self, status: int, head: bytes, body: bytes) -> None:
        """Sends the target's answer back."""
        self.forget()
        number, queue = self.opening.call, self.inbound.guard.queue
        first, more = frames.first_chunk(body)
        self.link.send(
            frames.Answer(
                call=number,
                status=status,
                head=head,
                body=first,
                more=more,
                busy=self.inbound.guard.busy,
                limit=queue.slots,
            )
        )
        frames.send_rest(number, body, self.link.send)

    def refused(
        self, code: str, *, at_target: bool, retry_after_ms: float
    ) -> None:
        """Tells that the request did not run and never will."""
        self.forget()
        self.link.send(
            frames.Refuse(
                call=self.opening.call,
                code=code,
                at_target=at_target,
                retry_after_ms=retry_after_ms,
                busy=self.inbound.guard.busy,
                limit=self.inbound.guard.queue.slots,
            )
        )

    def lost(self, code: str) -> None:
        """Tells that the outcome is unknown."""
        self.forget()
        self.link.send(
            frames.Lost(
                call=self.opening.call,
                code=code,
                busy=self.inbound.guard.busy,
                limit=self.inbound.guard.queue.slots,
            )
        )


class Inbound:
    """Takes the frames of calls that peers open.

    Attributes:
      held_bytes: Bytes of bodies that are held for peers.
    """

    def __init__(
        self, context: proxy_context.Context, own_guard: guard.Guard
    ) -> None:
        self.context = context
        self.guard = own_guard
        self.held_bytes = 0

    def frame(self, found: link.Link, frame: frames.Frame) -> None:
        """Takes a frame of a call."""
        if isinstance(frame, frames.Open):
            self.open(found, frame)
            return
        if not isinstance(frame, frames.Data | frames.Cancel):
            raise frames.invalid("an answer to a call that was not opened")
        arrival = found.calls.get(frame.call)
        if not isinstance(arrival, Arrival):
            return
        if isinstance(frame, frames.Data):
            arrival.take_chunk(frame.chunk)
        else:
            self.cancel(arrival)

    def open(self, found: link.Link, opening: frames.Open) -> None:
        """Takes a request; its body may still come."""
        arrival = Arrival(self, found, opening, [], opening.more)
        found.calls[opening.call] = arrival
        self.held_bytes += len(opening.body)
        reason = self.reason_against(found, opening)
        if reason:
            arrival.refused(reason, at_target=False, retry_after_ms=0.0)
        elif opening.more:
            arrival.chunks.append(opening.body)
            opening.body = b""
        else:
            self.offer(arrival)

    def reason_against(self, found: link.Link, opening: frames.Open) -> str:
        """Returns why a request isn't taken; empty when it is."""
        if self.context.leaving:
            return "draining"
        if self.held_bytes > ASSEMBLED_BYTES_MAX:
            return "memory_full"
        sent_at = found.clock.to_own(opening.sent_ms)
        if self.context.now - sent_at > TRANSIT_MS_MAX:
            return "held_up"
        return ""

    def offer(self, arrival: Arrival) -> None:
        """Offers a whole request to the guard.

        Its age is counted by the sender's clock: what was held up on the way
        must not look fresh because it arrives now.
        """
        opening = arrival.opening
        sent_at = arrival.link.clock.to_own(opening.sent_ms)
        now = self.context.now
        arrival.job = self.guard.arrive(
            opening,
            expires_at=min(sent_at, now) + opening.left_ms,
            reply=arrival,
        )

    def cancel(self, arrival: Arrival) -> None:
        """Ends a request that nobody waits for."""
        arrival.forget()
        if arrival.job is not None:
            self.guard.cancel(arrival.job)

    def link_lost(self, found: link.Link) -> None:
        """Ends the requests of a peer that can't take answers any more."""
        for arrival in list(found.calls.values()):
            if isinstance(arrival, Arrival):
                self.cancel(arrival)
