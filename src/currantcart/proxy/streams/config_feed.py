"""Reads the configuration from the store or a peer, and applies it."""

from __future__ import annotations

import asyncio
import dataclasses
from collections.abc import Callable

from currantcart import errors
from currantcart.catalog import model as catalog_model
from currantcart.fleet import evacuation, freshness
from currantcart.proxy import context as proxy_context
from currantcart.proxy.streams import (
    config_exchange,
    evacuation_exchange,
    frames,
    link,
    peers,
)
from currantcart.proxy.streams import peer as peer_module
from currantcart.store import leased

UNKNOWN_FIELDS_MAX = 20
WATCH_MS = 10_000.0
WATCH_RETRY_SECONDS = 1.0

Parse = Callable[[bytes], catalog_model.Catalog]


@dataclasses.dataclass(frozen=True, slots=True)
class OperatorKeys:
    """Keys that the operator writes.

    Attributes:
      prefix: Prefix of all of them; they are read and watched together.
      config: Key of the configuration.
      evacuations: Prefix of the keys that evacuate a failure domain; the rest
        of the key is its name.
    """

    prefix: str
    config: str
    evacuations: str


class ConfigFeed:
    """Keeps one node's configuration and evacuations up to date.

    Attributes:
      exchange: The configuration in force, and its exchange with peers.
      evacuations: The evacuated failure domains, and their exchange.
      as_of: The store's revision when the configuration was last read.
      peers_listed_at: When the store's entries were first read; None before.
      last_poll: When the last read from the store began.
      read_as_of: When the last successful read from the store began.
      is_store_reachable: Whether the last read from the store succeeded.
    """

    def __init__(
        self,
        context: proxy_context.Context,
        *,
        store: leased.LeasedStore,
        keys: OperatorKeys,
        parse: Parse,
        on_change: Callable[[], None],
        on_evacuation: Callable[[evacuation.Change], None],
    ) -> None:
        self.context = context
        self.store = store
        self.keys = keys
        self.parse = parse
        self.on_change = on_change
        self.evacuations = evacuation_exchange.EvacuationExchange(
            context, on_change=on_evacuation
        )
        self.peers: peers.Peers | None = None
        self.exchange = config_exchange.ConfigExchange(
            context, evacuations=self.evacuations.state
        )
        self.as_of = 0
        self.peers_listed_at: float | None = None
        self.last_poll = freshness.NEVER
        self.read_as_of = freshness.NEVER
        self.polling: asyncio.Task[None] | None = None
        self.is_store_reachable = True

    def tick(self) -> None:
        """Reads the configuration from the store if a read is due."""
        if self.is_due():
            self.begin_poll()

    def is_due(self) -> bool:
        """Returns whether this node is due to read from the store."""
        assert self.peers is not None
        known = self.context.freshness
        if self.context.now - self.last_poll < freshness.FIRST_POLL_MS:
            return False
        if known.version:
            return freshness.poll_due(
                now=self.context.now,
                as_of=known.as_of,
                last_poll=self.last_poll,
                rank=self.peers.rank(),
                is_reader=known.as_of == self.read_as_of,
                failing=not self.is_store_reachable,
            )
        # Peers found in the store are tried before the store is read.
        return self.peers_listed_at is not None and freshness.first_poll_due(
            now=self.context.now,
            peers_listed_at=self.peers_listed_at,
            last_poll=self.last_poll,
            rank=self.peers.rank(),
        )

    def begin_poll(self) -> asyncio.Task[None]:
        """Starts to read the configuration, unless a read is in progress."""
        if self.polling is None:
            self.last_poll = self.context.now
            self.polling = self.context.loop.create_task(self.poll())
        return self.polling

    async def watch(self) -> None:
        """Reads the configuration as soon as the store reports a change.

        Without a watch, a change would wait for the next poll. Polling
        continues beside it: a watch that reports nothing does not show that
        nothing has changed, as the store may have dropped its history or the
        connection may be dead. Only the node with rank 0 watches.
        """
        while True:
            assert self.peers is not None
            if not self.as_of or self.peers.rank() > 0:
                await asyncio.sleep(WATCH_RETRY_SECONDS)
                continue
            try:
                changes = await self.store.watch(
                    self.keys.prefix, after=self.as_of, wait_ms=WATCH_MS
                )
            except errors.CurrantcartError:
                # The next poll sets the revision to resume from.
                self.as_of = 0
                await asyncio.sleep(WATCH_RETRY_SECONDS)
                continue
            self.as_of = max(self.as_of, changes.as_of)
            if changes.any:
                await asyncio.wait([self.begin_poll()])

    async def poll(self) -> None:
        """Reads the configuration and the evacuations once."""
        asked_at = self.context.now
        try:
            found = await self.store.read_range(self.keys.prefix)
        except errors.CurrantcartError as error:
            if self.is_store_reachable:
                self.context.log.event(
                    "config_unread", code=error.code, detail=error.detail
                )
            self.is_store_reachable = False
            return
        finally:
            self.polling = None
        if not self.is_store_reachable:
            self.context.log.event("config_read_again")
        self.is_store_reachable = True
        self.apply_evacuations(found)
        document = next(
            (
                item.value
                for item in found.items
                if item.key == self.keys.config
            ),
            None,
        )
        if document is None:
            return
        self.as_of = found.as_of
        self.read_as_of = asked_at
        if self.apply(document, asked_at, "store"):
            self.exchange.disseminate(None)

    def apply_evacuations(self, found: leased.Range) -> None:
        """Applies the evacuations in the store; a change is published at once.

        Only the key counts: its value is the operator's.
        """
        assert self.peers is not None
        prefix = self.keys.evacuations
        domains = [
            item.key.removeprefix(prefix)
            for item in found.items
            if item.key.startswith(prefix)
        ]
        if self.evacuations.adopt(domains, found.as_of, source="store"):
            self.peers.publish()

    def apply(self, document: bytes, as_of: float, source: str) -> bool:
        """Applies a document if its version is newer.

        Args:
          document: The configuration as the store holds it.
          as_of: Moment as of which it was the newest, on the local clock.
          source: Instance that sent it, or "store"; for the log.

        Returns:
          Whether it was applied.
        """
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
            # Each version has one document. An older one may arrive late from
            # a peer, and must not replace a newer one.
            return False
        self.context.log.event(
            "config_taken",
            version=catalog.version,
            before=known.version,
            source=source,
            age_ms=round(self.context.now - as_of),
        )
        if catalog.unsupported_fields:
            self.context.log.event(
                "config_fields_unread",
                version=catalog.version,
                fields=",".join(
                    catalog.unsupported_fields[:UNKNOWN_FIELDS_MAX]
                ),
            )
        self.exchange.set_current(document)
        self.context.catalog = catalog
        known.adopt(catalog.version, as_of)
        self.on_change()
        return True

    def handle_status(
        self, peer: peer_module.Peer, item: link.Link, status: frames.Status
    ) -> None:
        """Applies a peer's evacuations, and compares its version.

        The same version confirms that the local one is current; a different
        one is sent to the peer or fetched from it.
        """
        known = self.context.freshness
        self.evacuations.handle(item, status.evacuations)
        if status.version == known.version and item.ready:
            as_of = min(self.context.now, item.clock.to_own(status.as_of_ms))
            known.confirm(status.version, as_of)
            return
        if status.version < known.version:
            self.exchange.handle_older_version(peer, item)
        elif status.version > known.version:
            self.exchange.handle_newer_version(item)

    def handle_row(
        self, item: link.Link, row: frames.Row, *, is_sender: bool
    ) -> None:
        """Compares the version that a relay knows of a process.

        Args:
          item: Stream of the relay.
          row: What it knows.
          is_sender: Whether the process is the relay itself, from which a newer
            version can be fetched.
        """
        known = self.context.freshness
        if row.version == known.version and item.ready:
            as_of = item.clock.to_own(item.digest_now) - row.proof_age_ms
            known.confirm(row.version, min(self.context.now, as_of))
        elif row.version > known.version and is_sender:
            self.exchange.handle_newer_version(item)

    def handle_config(self, item: link.Link, config: frames.Config) -> None:
        """Applies a configuration that a peer has sent, and forwards it.

        The evacuations go first: a starting node must not route requests by a
        configuration before it knows them.
        """
        self.evacuations.handle(item, config.evacuations)
        as_of = freshness.NEVER
        if item.ready:
            as_of = min(self.context.now, item.clock.to_own(config.as_of_ms))
        sender = item.peer.instance if item.peer else ""
        if self.apply(config.document, as_of, sender):
            self.exchange.disseminate(item)
