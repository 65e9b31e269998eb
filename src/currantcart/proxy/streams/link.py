"""Streams between nodes: liveness, clock offsets and the calls on them.

The node that dials opens calls; the other one answers them. Both sides send
their status at regular intervals, so either side detects a silent stream
without waiting for the kernel, which would take minutes.
"""

from __future__ import annotations

import asyncio
import dataclasses
import itertools
from typing import Protocol, cast

from currantcart import errors
from currantcart.http1 import transport as stream
from currantcart.proxy import context as proxy_context
from currantcart.proxy.streams import frames, framing, peer_clock

PROTOCOL = 1
SUSPECT_MS = 900.0
SUSPECT_INTERVALS = 2.0
"""Silence after which no new call is opened on a stream.

Two statuses may be late on a link that loses packets. The limit grows with
the status interval: under a fixed limit the streams of a large fleet, which
sends statuses less often, would become suspect between any two of them.
"""
SILENT_MS = 1_600.0
SILENT_INTERVALS = 3.5
"""Silence after which a stream is closed."""
PROBE_TIMEOUT_INTERVALS = 1.5
"""Time after which a stream with an unanswered probe is closed."""
PROBE_AFTER_MS = 120.0
"""Silence after which the peer of a stream with calls on it is probed."""
UNRESPONSIVE_MS = 200.0
"""Time without an answer to a probe after which a peer is unresponsive.

It then gets no new call as long as another target can serve them. The last
load that a silent peer reported stays in use while the load of the others
rises: in a burst, most requests would go to the peer that is cut off, until
its stream is suspect.
"""
IDLE_STATUS_MS = 5_000.0
"""Interval of statuses on a stream without calls in a fleet with relays.

A node has a bounded number of such streams, so its statuses do not increase
with the fleet.
"""
CALLS_STATUS_MS = 600.0
"""The same on a stream with calls, or with calls a short time ago."""
ACTIVE_MS = 3_000.0
"""Time for which a stream counts as one with calls after the last one."""
REASONS = frozenset(
    {
        "closed",
        "incomplete",
        "replaced",
        "silent",
        "started_anew",
        "stopping",
        "unneeded",
    }
)
WRITE_BYTES_MAX = 8 * 1024 * 1024


def suspect_ms(interval_ms: float) -> float:
    """Returns the silence after which a stream gets no new calls."""
    return max(SUSPECT_MS, SUSPECT_INTERVALS * interval_ms)


def silent_ms(interval_ms: float) -> float:
    """Returns the silence after which a stream is closed."""
    return max(SILENT_MS, SILENT_INTERVALS * interval_ms)


def probe_timeout_ms(interval_ms: float) -> float:
    """Returns the time after which an unanswered probe closes a stream."""
    return max(SILENT_MS, PROBE_TIMEOUT_INTERVALS * interval_ms)


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """Limits at which streams are closed.

    Attributes:
      silent_ms: Silence of a stream.
      probe_ms: Time without an answer to a probe.
    """

    silent_ms: float
    probe_ms: float

    @classmethod
    def of(cls, interval_ms: float) -> Limits:
        """Returns the limits for a status interval."""
        return cls(silent_ms(interval_ms), probe_timeout_ms(interval_ms))


IDLE_LIMITS = Limits(
    silent_ms(IDLE_STATUS_MS), probe_timeout_ms(CALLS_STATUS_MS)
)
"""Limits of a stream without calls in a fleet with relays."""


class LinkOwner(Protocol):
    """Callbacks of a link to the node that owns it."""

    member: frames.Member

    def link_introduced(self, link: Link) -> None:
        """Handles the introduction of the peer, after its `Hello`."""

    def link_lost(self, link: Link) -> None:
        """Handles the loss of a link."""

    def handle_status(self, link: Link, status: frames.Status) -> None:
        """Handles a peer's status."""

    def handle_config(self, link: Link, config: frames.Config) -> None:
        """Handles a configuration from a peer."""

    def handle_counts(self, link: Link, counts: frames.Counts) -> None:
        """Handles a peer's counts of admitted requests."""

    def handle_leave(self, link: Link) -> None:
        """Handles the leave message of a peer."""

    def handle_fetch(self, link: Link) -> None:
        """Handles a peer's request for the configuration."""

    def link_active(self, link: Link) -> None:
        """Handles the first call for a while on a link."""

    def handle_digest(self, link: Link, digest: frames.Digest) -> None:
        """Handles what a relay knows of a failure domain."""

    def handle_call_frame(self, link: Link, frame: frames.Frame) -> None:
        """Handles a frame of a call."""


class Link(asyncio.Protocol):
    """One stream to a peer.

    Attributes:
      dialled: Whether this side opened it and may open calls.
      peer: The node on the other side; None before its first frame.
      peer_started_at: Start of the peer's process; negative infinity while
        unknown.
      fetches: Whether the peer fetches a configuration that it lacks.
      sent_version: Newest configuration version that was sent on it.
      ready: Whether the offset of the peer's clock is known.
      received_at: When data was last received.
      echoed_at: When the newest status was sent that the peer has echoed.
      probed_at: When the unanswered probe was sent; 0 without one.
      logged_unresponsive: Whether the peer was last logged as unresponsive.
      status_now: Peer's clock in its last `Hello` or status.
      status_at: When that frame was received.
      sent_counts: Sequence of the counts of admitted requests up to which the
        peer was sent them with a status.
      sent_evacuations: Evacuated failure domains last sent to the peer; None
        before the first, or if the peer is to be sent them again.
      sent_evidence: Sequence of the evidence up to which the peer was sent it.
      calls: Calls on it by number; their type is up to the owner.
      relays: Whether the peer reads `Digest`.
      digest_now: Peer's clock in its last digest.
      idle: Whether it had no calls for a while, in a fleet with relays; the
        peer's status is then received less often.
      opened_at: When a call was opened last.
      active_since: When `idle` ended last.
      published_at: When a status was last sent at an interval of its own.
      unneeded_since: Since when it is not needed; None while it is.
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
        self.received_at = context.now
        self.calls: dict[int, object] = {}
        self.numbers = itertools.count(1)
        self.clock = peer_clock.PeerClock()
        self.status_now = 0.0
        self.status_at = 0.0
        self.echoed_at = 0.0
        self.probed_at = 0.0
        self.logged_unresponsive = False
        self.sent_counts = 0
        self.sent_version = 0
        self.sent_evacuations: frozenset[str] | None = None
        self.sent_evidence = 0
        self.fetches = False
        self.relays = False
        self.digest_now = 0.0
        self.idle = False
        self.opened_at = float("-inf")
        self.active_since = float("-inf")
        self.published_at = float("-inf")
        self.unneeded_since: float | None = None
        self.transport: asyncio.Transport | None = None
        self.writer = framing.FrameWriter()
        self.reader = framing.FrameReader()
        self.flushing = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Sends the introduction of this node."""
        # uvloop's transports are not subclasses of asyncio's.
        self.transport = cast(asyncio.Transport, transport)
        self.send(
            frames.Hello(
                PROTOCOL,
                self.owner.member,
                self.context.now,
                unpacks=True,
                age_ms=self.context.now - self.context.started_at,
                fetches=True,
                relays=self.context.settings.exchange.mesh_nodes_max > 0,
            )
        )

    def send(self, frame: frames.Frame) -> None:
        """Sends a frame at the end of this iteration of the event loop."""
        if self.transport is None:
            return
        if type(frame) is frames.Open:
            self.opened_at = self.context.now
            self.set_idle(False, self.opened_at)
        self.writer.add(frame)
        self.flush_soon()

    def send_encoded(self, encoded: bytes) -> None:
        """Sends a frame that was encoded once for several streams."""
        if self.transport is None:
            return
        self.writer.add_encoded(encoded)
        self.flush_soon()

    def flush_soon(self) -> None:
        """Writes the buffered frames at the end of this iteration."""
        if not self.flushing:
            self.flushing = True
            self.context.loop.call_soon(self.flush)

    def flush(self) -> None:
        """Writes the buffered frames."""
        self.flushing = False
        transport = self.transport
        if not stream.write(transport, self.writer.take_packed()):
            return
        assert transport is not None
        if transport.get_write_buffer_size() > WRITE_BYTES_MAX:
            # A peer that reads nothing would exhaust this node's memory.
            self.abort("write_buffer_full")

    def data_received(self, data: bytes) -> None:
        """Handles received frames; an invalid one closes this stream only."""
        self.received_at = self.context.now
        self.probed_at = 0.0
        try:
            for frame in self.reader.feed(data):
                self.receive(frame)
        except errors.StreamError as error:
            self.abort(error.code)

    def receive(self, frame: frames.Frame) -> None:
        """Dispatches one frame by its type.

        Raises:
          errors.StreamError: The peer has not introduced itself yet, or its
            protocol version is unsupported.
        """
        if isinstance(frame, frames.Status):
            self.handle_status(frame)
        elif isinstance(frame, frames.Hello):
            self.handle_hello(frame)
        elif self.peer is None:
            raise frames.invalid("frame received before the introduction")
        elif isinstance(frame, frames.Config):
            self.owner.handle_config(self, frame)
        elif isinstance(frame, frames.Counts):
            self.owner.handle_counts(self, frame)
        elif isinstance(frame, frames.Digest):
            self.digest_now = frame.now_ms
            self.owner.handle_digest(self, frame)
        elif isinstance(frame, frames.Leave):
            self.owner.handle_leave(self)
        elif isinstance(frame, frames.Fetch):
            self.owner.handle_fetch(self)
        else:
            self.owner.handle_call_frame(self, frame)

    def handle_hello(self, hello: frames.Hello) -> None:
        """Records the peer's introduction and reports it to the owner.

        Raises:
          errors.StreamError: The peer's protocol version is unsupported, or
            its address cannot be dialled.
        """
        if hello.protocol != PROTOCOL:
            raise errors.StreamError(
                errors.Code.VERSION_UNSUPPORTED,
                f"unsupported protocol version {hello.protocol}",
            )
        if not hello.member.is_dialable:
            raise frames.invalid("address is not IP:PORT")
        self.peer = hello.member
        crosses_domains = (
            hello.member.failure_domain != self.owner.member.failure_domain
        )
        if crosses_domains and hello.unpacks:
            self.writer.compresses = True
        self.fetches = hello.fetches
        self.relays = hello.relays
        self.status_now, self.status_at = hello.now_ms, self.context.now
        if hello.age_ms >= 0.0:
            self.peer_started_at = self.context.now - hello.age_ms
        self.owner.link_introduced(self)

    def handle_status(self, status: frames.Status) -> None:
        """Updates the clock offset from a status, and passes it on.

        Raises:
          errors.StreamError: The peer has not introduced itself.
        """
        if self.peer is None:
            raise frames.invalid("status received before the introduction")
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
        self.owner.handle_status(self, status)

    def send_status(self, status: frames.Status) -> None:
        """Sends a status, which also is a probe on a dialled stream.

        The side that was dialled answers each status at once.
        """
        self.send(status)
        if self.dialled and not self.probed_at:
            self.probed_at = self.context.now

    @property
    def is_awaited(self) -> bool:
        """Whether an answer of the peer is awaited, or was last logged late."""
        return bool(self.calls or self.probed_at or self.logged_unresponsive)

    def is_probe_due(self, now: float) -> bool:
        """Returns whether the peer is due to be probed.

        It is if calls are pending, nothing was received for `PROBE_AFTER_MS`
        and no probe is unanswered.
        """
        return (
            bool(self.calls)
            and not self.probed_at
            and now - self.received_at > PROBE_AFTER_MS
        )

    def is_unresponsive(self, now: float) -> bool:
        """Returns whether a probe was not answered within `UNRESPONSIVE_MS`."""
        return bool(self.probed_at) and now - self.probed_at > UNRESPONSIVE_MS

    def log_unresponsive(self, now: float) -> None:
        """Logs when the peer becomes unresponsive, and when it recovers."""
        if self.is_unresponsive(now) == self.logged_unresponsive:
            return
        self.logged_unresponsive = not self.logged_unresponsive
        self.context.log.event(
            "peer_quiet" if self.logged_unresponsive else "peer_heard_again",
            peer=self.peer.instance if self.peer else "",
            calls=len(self.calls),
            silent_ms=round(now - self.received_at),
        )

    def usable(self, now: float) -> bool:
        """Returns whether a new call may be opened.

        Receiving data from the peer is not sufficient: what this side sends
        may be queued for seconds while the opposite direction is clear. The
        peer's echo of a recent status shows that it is not.
        """
        interval = self.context.status_interval_ms
        if self.idle:
            interval = IDLE_STATUS_MS
        limit = suspect_ms(interval)
        # A stream that gets its first call after a while is probed, and is
        # usable until the probe is late.
        since = self.active_since
        return (
            self.ready
            and self.transport is not None
            and now - max(self.received_at, since) < limit
            and now - max(self.echoed_at, since) < limit + interval
        )

    def set_idle(self, idle: bool, now: float) -> None:
        """Sets whether statuses are exchanged less often."""
        if self.idle and not idle:
            self.active_since = now
            self.published_at = float("-inf")
            self.owner.link_active(self)
        elif idle and not self.idle:
            # Streams that become idle together must not all report together.
            phase = self.context.rng.random()
            self.published_at = now - IDLE_STATUS_MS * phase
        self.idle = idle

    def check(self, now: float, limits: Limits) -> None:
        """Closes the stream if it is silent or a probe has timed out.

        Args:
          now: Milliseconds of the node's clock.
          limits: Limits of all streams, worked out once for all of them.
        """
        silent = (
            now - max(self.received_at, self.active_since) > limits.silent_ms
        )
        unanswered = (
            self.probed_at > 0.0 and now - self.probed_at > limits.probe_ms
        )
        if (silent or unanswered) and self.transport is not None:
            self.abort("silent")

    def abort(self, reason: str) -> None:
        """Closes the stream at once, which ends all calls on it."""
        transport, self.transport = self.transport, None
        if transport is None:
            return
        transport.abort()
        label = reason if reason in REASONS else "connection"
        self.context.counts.add("links_lost", label)
        self.context.log.event(
            "link_lost",
            peer=self.peer.instance if self.peer else "",
            dialled=self.dialled,
            reason=reason,
            calls=len(self.calls),
            silent_ms=round(self.context.now - self.received_at),
        )
        self.owner.link_lost(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Handles the loss of the connection."""
        self.abort(str(exc) if exc else "closed")
