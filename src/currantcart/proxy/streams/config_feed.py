"""The configuration: from the store or a peer into force, and on to others."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from currantcart import errors
from currantcart.catalog import model as catalog_model
from currantcart.fleet import freshness
from currantcart.proxy import context as proxy_context
from currantcart.proxy.streams import config_exchange, frames, link, peers
from currantcart.proxy.streams import peer as peer_module
from currantcart.store import leased

UNREAD_MAX = 20
WATCH_MS = 10_000.0
WATCH_AGAIN_SECONDS = 1.0

Parse = Callable[[bytes], catalog_model.Catalog]


class ConfigFeed:
    """Keeps one node's configuration.

    Attributes:
      exchange: The configuration in force, and its way to the peers.
      as_of: The store's revision as the configuration was read last.
      found_at: When the store first named the peers; None before.
    """

    def __init__(
        self,
        context: proxy_context.Context,
        *,
        store: leased.LeasedStore,
        key: str,
        parse: Parse,
        on_change: Callable[[], None],
    ) -> None:
        self.context = context
        self.store = store
        self.key = key
        self.parse = parse
        self.on_change = on_change
        self.peers: peers.Peers | None = None
        self.exchange = config_exchange.ConfigExchange(context)
        self.as_of = 0
        self.found_at: float | None = None
        self.last_poll = freshness.NEVER
        self.read_as_of = freshness.NEVER
        self.polling: asyncio.Task[None] | None = None
        self.reached = True

    def tick(self) -> None:
        """Asks the store when it is this node's turn."""
        if self.is_due():
            self.begin_poll()

    def is_due(self) -> bool:
        """Tells whether it is this node's turn to ask the store."""
        assert self.peers is not None
        known = self.context.freshness
        if known.version:
            return freshness.poll_due(
                now=self.context.now,
                as_of=known.as_of,
                last_poll=self.last_poll,
                rank=self.peers.rank(),
                is_reader=known.as_of == self.read_as_of,
                failing=not self.reached,
            )
        # Peers that the store names are asked before the store itself.
        return self.found_at is not None and freshness.first_poll_due(
            now=self.context.now,
            found_at=self.found_at,
            last_poll=self.last_poll,
            rank=self.peers.rank(),
        )

    def begin_poll(self) -> asyncio.Task[None]:
        """Reads the configuration, unless that is under way."""
        if self.polling is None:
            self.last_poll = self.context.now
            self.polling = self.context.loop.create_task(self.poll())
        return self.polling

    async def watch(self) -> None:
        """Reads the configuration as soon as the store tells of a change.

        A change would otherwise wait for the next poll.
        A watch proves nothing by its silence, for the store may have dropped
        its history or the connection may be dead, so the polls go on beside
        it. One node watches for all.
        """
        while True:
            assert self.peers is not None
            if not self.as_of or self.peers.rank() > 0:
                await asyncio.sleep(WATCH_AGAIN_SECONDS)
                continue
            try:
                changes = await self.store.watch(
                    self.key, after=self.as_of, wait_ms=WATCH_MS
                )
            except errors.CurrantcartError:
                # The next poll tells from where to go on.
                self.as_of = 0
                await asyncio.sleep(WATCH_AGAIN_SECONDS)
                continue
            self.as_of = max(self.as_of, changes.as_of)
            if changes.any:
                await asyncio.wait([self.begin_poll()])

    async def poll(self) -> None:
        """Reads the configuration once."""
        asked_at = self.context.now
        try:
            item = await self.store.get(self.key)
        except errors.CurrantcartError as error:
            if self.reached:
                self.context.log.event(
                    "config_unread", code=error.code, detail=error.detail
                )
            self.reached = False
            return
        finally:
            self.polling = None
        if not self.reached:
            self.context.log.event("config_read_again")
        self.reached = True
        if item is None:
            return
        self.as_of = item.as_of
        self.read_as_of = asked_at
        if self.take(item.value, asked_at, "store"):
            self.exchange.spread(None)

    def take(self, document: bytes, as_of: float, source: str) -> bool:
        """Takes a document; returns whether it brought a newer version."""
        known = self.context.freshness
        if document == self.exchange.document:
            known.confirm(known.version, as_of)
            return False
        try:
            catalog = self.parse(document)
        except errors.CurrantcartError as error:
            self.context.log.event(
                "config_invalid", source=source, detail=error.detail
            )
            return False
        if catalog.version <= known.version:
            # One version has one document; an older one may come late from a
            # peer, and going back to it is forbidden.
            return False
        self.context.log.event(
            "config_taken",
            version=catalog.version,
            before=known.version,
            source=source,
            age_ms=round(self.context.now - as_of),
        )
        if catalog.unread:
            self.context.log.event(
                "config_fields_unread",
                version=catalog.version,
                fields=",".join(catalog.unread[:UNREAD_MAX]),
            )
        self.exchange.take(document)
        self.context.catalog = catalog
        known.take(catalog.version, as_of)
        self.on_change()
        return True

    def status_heard(
        self, peer: peer_module.Peer, item: link.Link, status: frames.Status
    ) -> None:
        """Takes a peer's word on how current its version is."""
        known = self.context.freshness
        if status.version == known.version and item.ready:
            as_of = min(self.context.now, item.clock.to_own(status.as_of_ms))
            known.confirm(status.version, as_of)
            return
        if status.version < known.version:
            self.exchange.older_heard(peer, item)
        elif status.version > known.version:
            self.exchange.newer_heard(item)

    def config_heard(self, item: link.Link, config: frames.Config) -> None:
        """Takes a configuration from a peer."""
        as_of = freshness.NEVER
        if item.ready:
            as_of = min(self.context.now, item.clock.to_own(config.as_of_ms))
        name = item.peer.instance if item.peer else ""
        if self.take(config.document, as_of, name):
            self.exchange.spread(item)
