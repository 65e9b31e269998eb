"""Distributes the configuration: store watches, gossip and anti-entropy."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import xxhash

from currantcart import errors
from currantcart.config import document
from currantcart.membership import messages as membership_messages
from currantcart.membership import model as membership_model
from currantcart.membership import table
from currantcart.node import context as node_context
from currantcart.node import links as node_links
from currantcart.store import port
from currantcart.wire import codec, connection, messages

WATCHERS_PER_DOMAIN = 2
WATCH_MS = 5_000.0
PAUSE_SECONDS_MIN = 0.3
PAUSE_SECONDS_MAX = 1.5
SYNC_SECONDS_MIN = 5.0
SYNC_SECONDS_PER_MEMBER = 0.06


def rank(instance: str) -> int:
    """Returns the rank of an instance; the lowest of a domain are watchers."""
    return xxhash.xxh64_intdigest(instance.encode())


def is_watcher(
    local: membership_model.Member, members: list[membership_model.Member]
) -> bool:
    """Returns whether a node watches the store itself.

    The nodes of the lowest ranks in each failure domain do. So the number of
    watches does not grow with the fleet, and each domain still reaches the
    store when failure domains are partitioned from each other.
    """
    peers = [
        member
        for member in members
        if member.failure_domain == local.failure_domain
        and member.status is membership_model.Status.ALIVE
        and member.instance != local.instance
    ]
    before = sum(1 for m in peers if rank(m.instance) < rank(local.instance))
    return before < WATCHERS_PER_DOMAIN


class Distributor:
    """Fetches new revisions of the configuration and serves them to peers.

    Attributes:
      on_change: Called when a new revision is in force at this node.
      fetching: The latest fetch from a peer; one runs at a time.
      store_index: Index of the stored entry that was seen last.
      store_calls: Watches sent to the store, as a measure of control traffic.
    """

    def __init__(
        self,
        context: node_context.NodeContext,
        *,
        store: port.Store,
        links: node_links.Links,
        members: table.MemberTable,
        on_change: Callable[[], None],
    ) -> None:
        self.context = context
        self.store = store
        self.links = links
        self.members = members
        self.on_change = on_change
        self.fetching: asyncio.Task[None] | None = None
        self.store_index = 0
        self.store_calls = 0

    def offer(self, text: bytes, source: str) -> None:
        """Applies a document if its revision is newer than the one in force."""
        try:
            changed = self.context.config.apply(text)
        except errors.SettingsError as error:
            self.context.logger.error(
                "configuration refused", source=source, error=str(error)
            )
            return
        if changed:
            self.context.logger.info(
                "configuration in force",
                revision=self.context.config.revision,
                source=source,
            )
            self.on_change()

    def fetch_from(self, instance: str, address: str) -> None:
        """Starts a fetch from a peer, unless one is running."""
        if self.fetching is None or self.fetching.done():
            self.fetching = self.context.loop.create_task(
                self.fetch(instance, address)
            )

    async def fetch(self, instance: str, address: str) -> None:
        """Requests the configuration and the members from a peer."""
        entry = self.members.entries.get(instance)
        try:
            if entry is not None:
                stream = await self.links.connect(entry.member)
            else:
                stream = await self.links.dial(address)
            stream.send(messages.Fetch(self.context.config.revision))
        except errors.StreamError as error:
            self.context.logger.debug("fetch failed", error=str(error))

    def state_message(
        self,
        message: messages.Fetch | messages.State,
        stream: connection.Connection,
    ) -> None:
        """Answers a peer's fetch, or applies the state that a peer sent."""
        if isinstance(message, messages.Fetch):
            stream.send(self.state(message.revision))
            return
        if message.document:
            self.offer(message.document, stream.peer)
        try:
            members = [
                membership_messages.read_member(fields)
                for fields in message.members
            ]
        except ValueError as error:
            raise codec.invalid(str(error)) from error
        self.members.merge_table(members, self.context.clock.now())

    def state(self, revision: int) -> messages.State:
        """Returns the state for a peer: a newer document, and all members."""
        view = self.context.config.view
        newer = view is not None and view.revision > revision
        return messages.State(
            revision=self.context.config.revision,
            document=view.text if view is not None and newer else b"",
            members=[
                membership_messages.member_fields(member)
                for member in self.members.members()
            ],
        )

    async def watch(self) -> None:
        """Watches the store while this node is a watcher.

        A node without a configuration watches it too, whatever its rank.
        """
        while True:
            watches = is_watcher(self.members.own, self.members.members())
            if watches or self.context.config.view is None:
                try:
                    await self.watch_once()
                    continue
                except port.StoreUnavailable as error:
                    self.context.logger.warning(
                        "store unavailable", error=str(error)
                    )
            # Jitter: watchers that lost the store at the same time would
            # otherwise all reconnect at the same time.
            await asyncio.sleep(
                self.context.rng.uniform(PAUSE_SECONDS_MIN, PAUSE_SECONDS_MAX)
            )

    async def watch_once(self) -> None:
        """Waits for one change of the stored document."""
        self.store_calls += 1
        entry = await self.store.watch(
            document.STORE_KEY, index=self.store_index, wait_ms=WATCH_MS
        )
        self.context.isolation.on_store_answer(self.context.clock.now())
        if entry.index < self.store_index:
            self.context.logger.error(
                "store went back",
                code=errors.Code.STORE_REVERTED,
                index=entry.index,
                seen=self.store_index,
            )
        if entry.index == 0:
            await asyncio.sleep(PAUSE_SECONDS_MIN)
        elif entry.index != self.store_index:
            self.offer(entry.value, "store")
        self.store_index = entry.index

    async def sync(self) -> None:
        """Fetches the complete state of a random peer periodically.

        Gossip disseminates an update a bounded number of times. A node that
        was paused or partitioned meanwhile receives it this way
        (anti-entropy).
        """
        while True:
            others = self.members.others(membership_model.Status.ALIVE)
            if others:
                peer = self.context.rng.choice(others)
                await self.fetch(peer.instance, peer.peers)
            pause = max(SYNC_SECONDS_MIN, len(others) * SYNC_SECONDS_PER_MEMBER)
            await asyncio.sleep(pause * self.context.rng.uniform(0.7, 1.3))

    async def join(self) -> None:
        """Requests configuration and members from the seeds at start."""
        for seed in self.context.settings.seeds:
            if seed != self.members.own.peers:
                await self.fetch("", seed)
