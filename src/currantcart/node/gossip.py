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
      on_news: Called when the member table changed.
      on_lack: Called with instance and address of a sender that has state
        which this node is missing.
      key: Key that authenticates datagrams.
      table_version: Version of the member table last passed to `on_news`.
      bytes_sent: Bytes of datagrams sent, as a measure of control traffic.
    """

    def __init__(
        self,
        context: node_context.NodeContext,
        *,
        failure_detector: detector.Detector,
        on_news: Callable[[], None],
        on_lack: Callable[[str, str], None],
    ) -> None:
        self.context = context
        self.detector = failure_detector
        self.on_news = on_news
        self.on_lack = on_lack
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
        self.context.isolation.heard_peer(now)
        self.send(self.detector.receive(datagram, now))
        self.check_news()
        if datagram.revision > self.context.config.revision:
            self.on_lack(datagram.sender, datagram.sender_address)
        for stranger in self.detector.take_strangers():
            self.on_lack(stranger.sender, stranger.sender_address)

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

    def check_news(self) -> None:
        """Notifies the node if the member table has changed."""
        if self.table_version != self.detector.table.version:
            self.table_version = self.detector.table.version
            self.on_news()

    async def run(self) -> None:
        """Runs the failure detector's ticks until cancelled."""
        while True:
            self.detector.revision = self.context.config.revision
            self.send(self.detector.tick(self.context.clock.now()))
            self.check_news()
            await asyncio.sleep(TICK_SECONDS)

    def announce(self) -> None:
        """Sends this node's entry to all peers at once."""
        self.detector.revision = self.context.config.revision
        self.send(self.detector.farewell())
        self.check_news()

    def spread_rumour(self) -> None:
        """Sends a new revision to a few random peers, which disseminate it."""
        self.detector.revision = self.context.config.revision
        self.send(self.detector.rumour())
        self.check_news()
