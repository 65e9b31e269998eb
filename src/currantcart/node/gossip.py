"""Gossip over UDP: sends and receives the failure detector's datagrams."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import cast

from currantcart import errors
from currantcart.membership import detector, messages
from currantcart.node import context as node_context
from currantcart.settings import model as settings_model

TICK_SECONDS = 0.1


class Gossip(asyncio.DatagramProtocol):
    """Datagram protocol of one node's gossip.

    Attributes:
      detector: Decides which datagrams are sent.
      on_members_changed: Called when the member table changed.
      on_missing_state: Called with instance and address of a sender that has
        state which this node is missing.
      key: Key that authenticates datagrams.
      table_version: Version of the member table at the latest call of
        `on_members_changed`.
      bytes_sent: Bytes of datagrams sent, as a measure of control traffic.
    """

    def __init__(
        self,
        context: node_context.NodeContext,
        *,
        failure_detector: detector.Detector,
        on_members_changed: Callable[[], None],
        on_missing_state: Callable[[str, str], None],
    ) -> None:
        self.context = context
        self.detector = failure_detector
        self.on_members_changed = on_members_changed
        self.on_missing_state = on_missing_state
        self.key = messages.derive_key(context.settings.secret())
        self.transport: asyncio.DatagramTransport | None = None
        self.table_version = -1
        self.bytes_sent = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Stores the transport of the socket."""
        self.transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Processes a datagram; counts and drops a forged or malformed one."""
        del addr
        try:
            datagram = messages.decode(self.key, data)
        except errors.StreamError as error:
            self.context.metrics.streams.labels(error.code).inc()
            return
        now = self.context.clock.now()
        self.context.isolation.on_datagram(now)
        self.send(self.detector.receive(datagram, now))
        self.notify_changes()
        if datagram.revision > self.context.config.revision:
            self.on_missing_state(datagram.sender, datagram.sender_address)
        for unknown in self.detector.take_unknown_senders():
            self.on_missing_state(unknown.sender, unknown.sender_address)

    def send(self, outgoing: list[detector.Outgoing]) -> None:
        """Encodes and sends datagrams."""
        if self.transport is None or self.transport.is_closing():
            return
        for item in outgoing:
            data = messages.encode(self.key, item.datagram)
            self.bytes_sent += len(data)
            self.transport.sendto(
                data, settings_model.split_address(item.address)
            )

    def notify_changes(self) -> None:
        """Notifies the node if the member table has changed."""
        if self.table_version != self.detector.table.version:
            self.table_version = self.detector.table.version
            self.on_members_changed()

    async def run(self) -> None:
        """Runs the failure detector's ticks until cancelled."""
        while True:
            self.detector.revision = self.context.config.revision
            self.send(self.detector.tick(self.context.clock.now()))
            self.notify_changes()
            await asyncio.sleep(TICK_SECONDS)

    def announce(self) -> None:
        """Sends this node's entry to all peers at once."""
        self.detector.revision = self.context.config.revision
        self.send(self.detector.broadcast_updates())
        self.notify_changes()

    def announce_revision(self) -> None:
        """Sends a new revision to a few random peers, which disseminate it."""
        self.detector.revision = self.context.config.revision
        self.send(self.detector.gossip_updates())
        self.notify_changes()
