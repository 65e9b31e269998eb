"""A node's entry in the store under a lease, and the discovery of peers."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
from collections.abc import Awaitable, Callable

import msgspec

from currantcart import decoding, errors
from currantcart.fleet import target_record
from currantcart.proxy import context as proxy_context
from currantcart.proxy.streams import frames
from currantcart.store import leased

TTL_MS = 12_000.0
RENEW_MS = 3_000.0
RETRY_MS = 700.0
SETTLED_MS = 3_000.0
"""Time for which the store must be reachable before its entries are complete.

Nodes rewrite expired entries within about two seconds of its recovery.
"""
LIST_MS = 2_500.0
LIST_MS_PER_PEER = 40.0
"""Added to `LIST_MS` for each peer.

It bounds the reads of the fleet to some tens per second. A node that starts
dials the others and is thereby discovered at once; the list serves to discover
nodes that could not be dialled then.
"""
LIST_MS_ALONE = 300.0
FRESH_READ_EVERY = 4
"""Without known peers, the newest entries are read once in so many reads."""
FAILURES_BEFORE_BACKOFF = 2
BACKOFF_MS = (900.0, 1_700.0)
"""Range of the random delay between calls after repeated failures.

It applies after more than `FAILURES_BEFORE_BACKOFF` failures in a row.
"""
END_SECONDS_MAX = 0.4
"""Longest last write; a part of the time reserved for closing the node."""
WRITE_ATTEMPTS_MAX = 3
"""Attempts to write the entry when its content is not as expected."""


class Entry(msgspec.Struct):
    """A node's value in the store.

    Attributes:
      member: The node.
      target: Last valid report of its target; None before the first.
      written_ms: When it was written, in milliseconds since 1970; 0 if the
        process is of a release that doesn't state it.
      ending: Whether the process was ending as requested.
    """

    member: frames.Member
    target: target_record.Report | None = None
    written_ms: float = 0.0
    ending: bool = False


ENTRY = msgspec.json.Decoder(Entry)


@dataclasses.dataclass(frozen=True, slots=True)
class PreviousEntry:
    """The entry that the previous process of this node has left.

    Attributes:
      entry: Its content; None if it can't be read.
      lease: Lease that holds the entry; 0 without one.
    """

    entry: Entry | None
    lease: int

    @property
    def target(self) -> target_record.Report | None:
        """Last valid report of the target; None without one."""
        return self.entry.target if self.entry is not None else None


class Registration:
    """Maintains one node's entry and reads those of the others.

    Attributes:
      lease: Lease that holds the entry; 0 without one.
      previous: Entry of the previous process as a stale read shows it; None
        without one. It is confirmed only by a write under its revision.
      revision: The store's revision of the entry; 0 while there is none.
      dirty: Whether the entry has to be written again.
      ending: Whether this process is ending as requested.
      listed: Set once the entries were read.
      confirmed: Set once the entry of the previous process is confirmed, or
        its absence.
      renewed_at: When the lease was last granted or renewed.
      listed_at: When the last read of all entries began.
      list_reads: Number of periodic reads of all entries.
      is_store_reachable: Whether the last call to the store succeeded.
      reachable_since: When the store last became reachable, or the node
        started.
      failures: Consecutive failures of `try_call`.
      unreadable: Revisions of the entries that were last logged as unreadable,
        by key.
    """

    def __init__(
        self,
        context: proxy_context.Context,
        *,
        store: leased.LeasedStore,
        prefix: str,
        member: frames.Member,
        record: target_record.TargetRecord,
        on_members: Callable[[list[frames.Member], bool], None],
        on_restored: Callable[[], None],
        peer_count: Callable[[], int],
    ) -> None:
        self.context = context
        self.store = store
        self.prefix = prefix
        self.member = member
        self.record = record
        self.on_members = on_members
        self.on_restored = on_restored
        self.peer_count = peer_count
        self.lease = 0
        self.previous: PreviousEntry | None = None
        self.revision = 0
        self.dirty = True
        self.ending = False
        self.listed = asyncio.Event()
        self.confirmed = asyncio.Event()
        self.renewed_at = 0.0
        self.listed_at = 0.0
        self.list_reads = 0
        self.failures = 0
        self.unreadable: dict[str, int] = {}
        self.writing = asyncio.Lock()
        self.is_store_reachable = True
        self.reachable_since = context.now

    @property
    def is_settled(self) -> bool:
        """Whether entries that expired during an outage are written again."""
        return (
            self.is_store_reachable
            and self.context.now - self.reachable_since > SETTLED_MS
        )

    @property
    def key(self) -> str:
        """Key of this node's entry."""
        return self.prefix + self.member.instance

    @property
    def is_written(self) -> bool:
        """Whether the store holds the entry as it is now."""
        return not (self.dirty or self.writing.locked())

    def mark_dirty(self) -> None:
        """Schedules the entry to be written in the next iteration of `run`."""
        self.dirty = True

    async def start(self) -> None:
        """Reads the entries, including that of the previous process.

        A node that finds no peer reads once more, as nodes that start at the
        same time find no entries at first.
        """
        while not self.listed.is_set():
            if await self.try_call(self.read(stale=True)):
                self.listed.set()
            else:
                await self.pause(LIST_MS_ALONE)
        if not self.peer_count():
            await asyncio.sleep(LIST_MS_ALONE / 1_000)
            await self.try_call(self.read(stale=True))

    async def pause(self, milliseconds: float) -> None:
        """Waits between two calls, longer while the store is unavailable."""
        if self.failures > FAILURES_BEFORE_BACKOFF:
            milliseconds = self.context.rng.uniform(*BACKOFF_MS)
        await asyncio.sleep(milliseconds / 1_000)

    async def read(self, *, stale: bool) -> None:
        """Reads all entries, and reports the members found in them.

        Args:
          stale: Whether the store may return outdated entries.
        """
        self.listed_at = self.context.now
        members: list[frames.Member] = []
        items = await self.store.list(self.prefix, stale=stale)
        self.forget_unreadable(items)
        for item in items:
            entry = self.decode(item)
            if item.key == self.key:
                self.record_previous(item, entry)
            elif entry is not None:
                members.append(entry.member)
        self.on_members(members, self.is_settled)

    def record_previous(self, item: leased.Item, entry: Entry | None) -> None:
        """Records this node's entry unless this process has confirmed it."""
        if self.confirmed.is_set():
            return
        self.revision = item.revision
        self.previous = PreviousEntry(entry, item.lease)

    def decode(self, item: leased.Item) -> Entry | None:
        """Decodes an entry; returns None and logs it if it is malformed."""
        try:
            entry = ENTRY.decode(item.value)
        except decoding.ERRORS as error:
            self.log_unreadable(item, str(error))
            return None
        if item.key != self.prefix + entry.member.instance:
            self.log_unreadable(item, "entry of another instance")
            return None
        if not entry.member.is_dialable:
            self.log_unreadable(item, "address is not IP:PORT")
            return None
        return entry

    def forget_unreadable(self, items: list[leased.Item]) -> None:
        """Forgets the unreadable entries that the store no longer holds."""
        if self.unreadable:
            keys = {item.key for item in items}
            self.unreadable = {
                key: revision
                for key, revision in self.unreadable.items()
                if key in keys
            }

    def log_unreadable(self, item: leased.Item, detail: str) -> None:
        """Logs an entry that names no node, once for each write of it."""
        if self.unreadable.get(item.key) == item.revision:
            return
        self.unreadable[item.key] = item.revision
        self.context.log.event("entry_unreadable", key=item.key, detail=detail)

    async def try_call(self, work: Awaitable[object]) -> bool:
        """Makes calls to the store, and records whether it is reachable.

        Args:
          work: The calls.

        Returns:
          Whether they succeeded.
        """
        try:
            await work
        except errors.CurrantcartError as error:
            if self.is_store_reachable:
                self.context.log.event(
                    "store_lost", code=error.code, detail=error.detail
                )
            self.is_store_reachable = False
            self.failures += 1
            return False
        if not self.is_store_reachable:
            self.context.log.event("store_regained")
            self.reachable_since = self.context.now
        self.is_store_reachable = True
        self.failures = 0
        return True

    async def write(self) -> None:
        """Writes the entry, under a new lease if the last one has expired."""
        async with self.writing:
            for _ in range(WRITE_ATTEMPTS_MAX):
                await self.write_once()
                if not self.dirty:
                    return

    async def write_once(self) -> None:
        """Writes the entry on condition that its revision is as expected."""
        if not self.lease:
            self.lease = await self.acquire_lease()
            self.renewed_at = self.context.now
        previous = self.previous
        # A report that arrives during the write must cause another one.
        self.dirty = False
        entry = Entry(
            self.member, self.target(), self.context.clock.wall(), self.ending
        )
        value = msgspec.json.encode(entry)
        try:
            answer = await self.store.put(
                self.key, value, lease=self.lease, expected=self.revision
            )
        except errors.CurrantcartError:
            self.dirty = True
            raise
        self.revision = answer.revision
        if answer.outcome is leased.PutOutcome.WRITTEN:
            self.confirm(previous)
            return
        self.dirty = True
        if answer.outcome is leased.PutOutcome.LEASE_ENDED:
            self.lease = 0
        elif answer.present is not None:
            self.handle_conflict(answer.present)
        else:
            # The entry has expired, so the result of a stale read is outdated.
            self.previous = None

    async def acquire_lease(self) -> int:
        """Renews the lease of the previous process, or grants a new one."""
        if self.previous is not None and self.previous.lease:
            if await self.store.keep(self.previous.lease):
                return self.previous.lease
            self.previous = None
        return await self.store.grant(ttl_ms=TTL_MS)

    def target(self) -> target_record.Report | None:
        """Returns the target's report to store in the entry."""
        previous = self.previous.target if self.previous else None
        return target_record.newest(previous, self.record.last)

    def confirm(self, previous: PreviousEntry | None) -> None:
        """Confirms the entry of the previous process after a write.

        Args:
          previous: The entry as read before the write; None if there was none.
        """
        if not self.confirmed.is_set():
            self.restore(previous.entry if previous else None)

    def handle_conflict(self, present: leased.Item) -> None:
        """Merges an entry whose revision was not the expected one.

        Either an earlier write of this process was carried out without an
        answer, or the previous process wrote the entry and this one has not
        read it: what that process has acknowledged must not be overwritten.
        """
        entry = self.decode(present)
        self.context.log.event(
            "entry_changed",
            revision=present.revision,
            phase=entry.target.phase if entry and entry.target else "",
        )
        if entry is not None:
            self.restore(entry)

    def restore(self, entry: Entry | None) -> None:
        """Restores the target's report from the previous process.

        Args:
          entry: The entry that it has left; None without one.
        """
        if entry is not None and not self.confirmed.is_set():
            self.log_previous(entry)
        self.previous = None
        self.confirmed.set()
        self.record.restore(entry.target if entry is not None else None)
        self.on_restored()

    def log_previous(self, entry: Entry) -> None:
        """Logs how the previous process has ended, as far as is known."""
        if entry.member.process == self.member.process:
            return
        age: dict[str, float] = {}
        if entry.written_ms:
            age["written_ms_ago"] = round(
                self.context.clock.wall() - entry.written_ms
            )
        self.context.log.event(
            "previous_process",
            process=entry.member.process,
            clean=entry.ending,
            **age,
        )

    def announce_end(self) -> None:
        """Has the entry tell the next process that this one ends as requested.

        It is written while the requests in progress are served. A store that
        can't be reached must not delay the end, so it is not told then.
        """
        self.ending = True
        if self.is_store_reachable:
            self.mark_dirty()

    async def try_write(self) -> None:
        """Writes the entry, and records whether the store is reachable."""
        await self.try_call(self.write())

    async def renew(self) -> None:
        """Renews the lease; an expired one is granted again by `write`."""
        if await self.store.keep(self.lease):
            self.renewed_at = self.context.now
            return
        self.context.log.event("entry_lapsed")
        self.lease = 0
        self.dirty = True

    async def run(self) -> None:
        """Maintains the entry and reads the others', until cancelled."""
        await self.listed.wait()
        while True:
            await self.try_call(self.run_due())
            await self.pause(LIST_MS_ALONE if self.dirty else RETRY_MS)

    async def run_due(self) -> None:
        """Renews, writes and lists what is due, until a call fails."""
        if self.lease and self.context.now - self.renewed_at >= RENEW_MS:
            await self.renew()
        if self.dirty or not self.lease:
            await self.write()
        if self.context.now - self.listed_at >= self.list_interval_ms():
            self.list_reads += 1
            fresh = (
                not self.peer_count()
                and self.list_reads % FRESH_READ_EVERY == 0
            )
            await self.read(stale=not fresh)

    def list_interval_ms(self) -> float:
        """Returns the time between two reads of all entries."""
        count = self.peer_count()
        if not count:
            return LIST_MS_ALONE
        return LIST_MS + LIST_MS_PER_PEER * count

    async def end(self) -> None:
        """Writes pending changes of the entry for the next process.

        A store that doesn't answer must not keep the process until it is
        killed, so the write is given up after `END_SECONDS_MAX`.
        """
        if not self.dirty:
            return
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(END_SECONDS_MAX):
                await self.try_write()
