"""Streams between nodes: liveness, clocks and the calls on them.

The node that dials opens calls; the other answers them. Both sides tell their
state at a steady pace, so a stream that has gone silent is noticed by either
side without waiting for the kernel, which would take minutes.
"""

from __future__ import annotations

import asyncio
import itertools
from typing import Protocol, cast

from currantcart import errors
from currantcart.http1 import transport as stream
from currantcart.proxy import context as proxy_context
from currantcart.proxy.streams import compression, frames

PROTOCOL = 1
SUSPECT_MS = 900.0
SUSPECT_PACES = 2.0
"""Silence after which no new call is opened on a stream.

Two statuses may be late on a link that loses packets; a fleet of many nodes
tells them less often, and its streams would be suspect between any two.
"""
SILENT_MS = 1_600.0
SILENT_PACES = 3.5
"""Silence after which a stream is cut."""
OWED_PACES = 1.5
"""The same after the peer was asked for a sign of life."""
QUIET_MS = 120.0
"""Silence after which a stream with calls on it is asked for a sign of life."""
OVERDUE_MS = 200.0
"""Time without an answer after which a peer counts as quiet.

It gets no new call then, as long as another one can take it. A peer that has
gone silent keeps the load that it told last, and looks the emptier the more
the others fill up: in a burst, most requests would go to the one that is cut
off, until its stream is suspect.
"""
RESOLUTION_MS = 1.0
"""Statuses tell whole milliseconds; what that hides counts as transit."""
REASONS = frozenset(
    {"silent", "closed", "replaced", "started_anew", "stopping"}
)
WRITE_BYTES_MAX = 8 * 1024 * 1024


def suspect_ms(pace_ms: float) -> float:
    """Returns the silence after which a stream gets no new call."""
    return max(SUSPECT_MS, SUSPECT_PACES * pace_ms)


def silent_ms(pace_ms: float) -> float:
    """Returns the silence after which a stream is cut."""
    return max(SILENT_MS, SILENT_PACES * pace_ms)


def owed_ms(pace_ms: float) -> float:
    """Returns the time after which a stream that owes an answer is cut."""
    return max(SILENT_MS, OWED_PACES * pace_ms)


class LinkOwner(Protocol):
    """What a link tells the node that holds it."""

    member: frames.Member

    def link_ready(self, link: Link) -> None:
        """Takes that both sides know each other."""

    def link_lost(self, link: Link) -> None:
        """Takes the end of a link."""

    def status_heard(self, link: Link, status: frames.Status) -> None:
        """Takes a peer's status."""

    def config_heard(self, link: Link, config: frames.Config) -> None:
        """Takes a configuration from a peer."""

    def counts_heard(self, link: Link, counts: frames.Counts) -> None:
        """Takes what a peer has admitted."""

    def leave_heard(self, link: Link) -> None:
        """Takes that the peer's process ends."""

    def fetch_heard(self, link: Link) -> None:
        """Takes that the peer asks for the configuration."""

    def call_frame(self, link: Link, frame: frames.Frame) -> None:
        """Takes a frame of a call."""


class PeerClock:
    """How a peer's clock stands to the own one.

    Attributes:
      offset_ms: Added to a reading of the peer's clock, it gives a time on the
        own clock that is never later than the true one.
      round_trip_ms: Round trip of the sample that it comes from.
    """

    def __init__(self) -> None:
        self.offset_ms = 0.0
        self.round_trip_ms = float("inf")

    def sample(
        self, *, now: float, peer_now: float, echo: float, held: float
    ) -> None:
        """Takes an exchange; the one with the least round trip counts.

        The whole round trip is taken off, so that a frame that was held up
        on its way can only look older than it is, never fresh.
        """
        round_trip = max(0.0, now - echo - held) + RESOLUTION_MS
        if round_trip <= self.round_trip_ms:
            self.round_trip_ms = round_trip
            self.offset_ms = now - peer_now - round_trip

    def to_own(self, peer_ms: float) -> float:
        """Returns a moment of the peer's clock on the own one."""
        return peer_ms + self.offset_ms


class Link(asyncio.Protocol):
    """One stream to a peer.

    Attributes:
      dialled: Whether this side opened it and may open calls.
      peer: The node on the other side; None before its first frame.
      peer_started_at: When its process began; far back when that isn't known.
      fetches: Whether the peer asks for a configuration that it lacks.
      sent_version: Newest configuration that was sent on it.
      ready: Whether both sides know each other's clocks.
      heard_at: When something arrived last.
      echoed_at: When the newest status was sent that the peer has echoed.
      asked_at: When the peer was asked for a sign of life that has not come;
        0 while none is due.
      quiet: Whether the peer was logged as quiet.
      calls: Calls on it by number; what they are is the owner's matter.
    """

    def __init__(
        self,
        context: proxy_context.Context,
        owner: LinkOwner,
        *,
        dialled: bool,
    ) -> None:
        self.context = context
        self.owner = owner
        self.dialled = dialled
        self.peer: frames.Member | None = None
        self.peer_started_at = float("-inf")
        self.ready = False
        self.heard_at = context.now
        self.calls: dict[int, object] = {}
        self.numbers = itertools.count(1)
        self.clock = PeerClock()
        self.status_now = 0.0
        self.status_at = 0.0
        self.echoed_at = 0.0
        self.asked_at = 0.0
        self.quiet = False
        self.published_counts: dict[str, int] = {}
        self.sent_version = 0
        self.fetches = False
        self.transport: asyncio.Transport | None = None
        self.writer = frames.FrameWriter()
        self.reader = frames.FrameReader()
        self.flushing = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Introduces this side."""
        # uvloop's transports are no subclasses of asyncio's.
        self.transport = cast(asyncio.Transport, transport)
        self.send(
            frames.Hello(
                PROTOCOL,
                self.owner.member,
                self.context.now,
                unpacks=True,
                age_ms=self.context.now - self.context.started_at,
                fetches=True,
            )
        )

    def unpublished(self, counts: dict[str, int]) -> dict[str, int]:
        """Returns the counts that the peer was not sent, and notes them."""
        told = self.published_counts
        changed = {
            name: count
            for name, count in counts.items()
            if told.get(name) != count
        }
        told.update(changed)
        return changed

    def send(self, frame: frames.Frame) -> None:
        """Sends a frame at the end of this turn of the loop."""
        if self.transport is None:
            return
        self.writer.add(frame)
        if not self.flushing:
            self.flushing = True
            self.context.loop.call_soon(self.flush)

    def flush(self) -> None:
        """Writes what this turn has gathered."""
        self.flushing = False
        transport = self.transport
        if not stream.write(transport, self.writer.take_packed()):
            return
        assert transport is not None
        if transport.get_write_buffer_size() > WRITE_BYTES_MAX:
            # A peer that takes nothing would fill this node's memory.
            self.cut("write_buffer_full")

    def data_received(self, data: bytes) -> None:
        """Takes frames; a bad one ends this stream only."""
        self.heard_at = self.context.now
        self.asked_at = 0.0
        try:
            for frame in self.reader.feed(data):
                self.receive(frame)
        except errors.StreamError as error:
            self.cut(error.code)

    def receive(self, frame: frames.Frame) -> None:
        """Takes one frame."""
        if isinstance(frame, frames.Status):
            self.hear_status(frame)
        elif isinstance(frame, frames.Hello):
            self.hear_hello(frame)
        elif self.peer is None:
            raise frames.invalid("a frame before the introduction")
        elif isinstance(frame, frames.Config):
            self.owner.config_heard(self, frame)
        elif isinstance(frame, frames.Counts):
            self.owner.counts_heard(self, frame)
        elif isinstance(frame, frames.Leave):
            self.owner.leave_heard(self)
        elif isinstance(frame, frames.Fetch):
            self.owner.fetch_heard(self)
        else:
            self.owner.call_frame(self, frame)

    def hear_hello(self, hello: frames.Hello) -> None:
        """Takes the introduction, and answers it with the first status."""
        if hello.protocol != PROTOCOL:
            raise errors.StreamError(
                errors.Code.VERSION_UNSUPPORTED, f"protocol {hello.protocol}"
            )
        self.peer = hello.member
        far = hello.member.failure_domain != self.owner.member.failure_domain
        if far and hello.unpacks:
            self.writer.compressor = compression.Compressor()
        self.fetches = hello.fetches
        self.status_now, self.status_at = hello.now_ms, self.context.now
        if hello.age_ms >= 0.0:
            self.peer_started_at = self.context.now - hello.age_ms
        self.owner.link_ready(self)

    def hear_status(self, status: frames.Status) -> None:
        """Takes a status."""
        if self.peer is None:
            raise frames.invalid("a status before the introduction")
        now = self.context.now
        if status.echo_ms:
            self.clock.sample(
                now=now,
                peer_now=status.now_ms,
                echo=status.echo_ms,
                held=status.held_ms,
            )
            self.ready = True
            self.echoed_at = status.echo_ms
        self.status_now, self.status_at = status.now_ms, now
        self.owner.status_heard(self, status)

    def send_status(self, status: frames.Status) -> None:
        """Sends a status; the side that was dialled answers it at once."""
        self.send(status)
        if self.dialled and not self.asked_at:
            self.asked_at = self.context.now

    def is_due_to_ask(self, now: float) -> bool:
        """Whether calls wait on the stream and nothing has come for long."""
        return (
            bool(self.calls)
            and not self.asked_at
            and now - self.heard_at > QUIET_MS
        )

    def is_quiet(self, now: float) -> bool:
        """Whether the peer owes a sign of life."""
        return bool(self.asked_at) and now - self.asked_at > OVERDUE_MS

    def log_quiet(self, now: float) -> None:
        """Logs that the peer has become quiet, or is heard again."""
        if self.is_quiet(now) == self.quiet:
            return
        self.quiet = not self.quiet
        self.context.log.event(
            "peer_quiet" if self.quiet else "peer_heard_again",
            peer=self.peer.instance if self.peer else "",
            calls=len(self.calls),
            silent_ms=round(now - self.heard_at),
        )

    def usable(self, now: float) -> bool:
        """Whether a new call may be opened.

        Hearing the peer is not enough: what this side sends may lie in a
        queue for seconds while the other way is free. The peer's echo of a
        late status shows that it does not.
        """
        limit = suspect_ms(self.context.pace_ms)
        return (
            self.ready
            and self.transport is not None
            and now - self.heard_at < limit
            and now - self.echoed_at < limit + self.context.pace_ms
        )

    def check(self, now: float) -> None:
        """Cuts the stream if it has gone silent."""
        pace = self.context.pace_ms
        silent = now - self.heard_at > silent_ms(pace)
        owed = bool(self.asked_at) and now - self.asked_at > owed_ms(pace)
        if self.transport is not None and (silent or owed):
            self.cut("silent")

    def cut(self, reason: str) -> None:
        """Ends the stream and all calls on it."""
        transport, self.transport = self.transport, None
        if transport is None:
            return
        transport.abort()
        known = reason if reason in REASONS else "connection"
        self.context.counts.add("links_lost", known)
        self.context.log.event(
            "link_lost",
            peer=self.peer.instance if self.peer else "",
            dialled=self.dialled,
            reason=reason,
            calls=len(self.calls),
            silent_ms=round(self.context.now - self.heard_at),
        )
        self.owner.link_lost(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Takes the end of the stream."""
        self.cut(str(exc) if exc else "closed")
