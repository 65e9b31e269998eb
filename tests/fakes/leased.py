"""In-memory store with leases, and faults that nodes must tolerate."""

from __future__ import annotations

import asyncio
import collections
import dataclasses
import itertools

from currantcart.store import leased, port
from tests.fakes import loop as fake_loop

LATE_SECONDS = 2.0
WATCH_STEP_MS = 10.0


@dataclasses.dataclass
class FakeLeasedStore:
    """One store for all nodes.

    Attributes:
      items: Items and their leases, by key.
      refusing: Whether it refuses every call.
      silent: Whether it answers no call.
      losing: Whether it applies writes and loses the answers.
      late: Whether it applies writes later, without an answer.
      compacted: Revision up to which the history is compacted.
      behind: Keys that stale reads return; None for all.
      older: Items that stale reads return; None for the current ones.
      reads: Number of calls that read.
      writes: Number of calls that write.
      calls: Number of calls by node and kind.
      leases: Leases that have not ended.
      removed: Revision at which the operator has removed a key, by key.
      numbers: Source of revisions and lease ids.
    """

    items: dict[str, tuple[leased.Item, int]] = dataclasses.field(
        default_factory=dict
    )
    refusing: bool = False
    silent: bool = False
    losing: bool = False
    late: bool = False
    compacted: int = 0
    behind: set[str] | None = None
    older: dict[str, tuple[leased.Item, int]] | None = None
    reads: int = 0
    writes: int = 0
    calls: collections.Counter[tuple[str, str]] = dataclasses.field(
        default_factory=collections.Counter
    )
    leases: set[int] = dataclasses.field(default_factory=set)
    removed: dict[str, int] = dataclasses.field(default_factory=dict)
    numbers: itertools.count[int] = dataclasses.field(
        default_factory=lambda: itertools.count(1)
    )

    def made(self, *kinds: str, by: str = "") -> int:
        """Returns how many calls of some kinds were made.

        Args:
          kinds: Kinds of call.
          by: Node that made them; all nodes if empty.
        """
        return sum(
            count
            for (node, kind), count in self.calls.items()
            if kind in kinds and by in ("", node)
        )

    async def meet_faults(self, kind: str) -> None:
        self.calls[fake_loop.OWNER.get(), kind] += 1
        await asyncio.sleep(0.004)
        if self.silent:
            await asyncio.sleep(1.2)
            raise port.StoreOutcomeUnknown("silent", peer="store")
        if self.refusing:
            raise port.StoreUnavailable("busy", peer="store")

    @property
    def revision(self) -> int:
        """Newest revision of the items, removed ones included."""
        return max(
            [0, *self.removed.values()]
            + [held[0].revision for held in self.items.values()]
        )

    def operate(self, key: str, value: bytes) -> None:
        """Writes a key without a lease, as the operator does."""
        item = leased.Item(key, value, next(self.numbers))
        self.items[key] = (item, 0)

    def remove(self, key: str) -> None:
        """Removes a key, as the operator does."""
        del self.items[key]
        self.removed[key] = next(self.numbers)

    def lapse(self) -> None:
        """Expires all leases and deletes their keys."""
        self.leases.clear()
        self.items = {
            key: held for key, held in self.items.items() if not held[1]
        }

    async def get(self, key: str) -> leased.Item | None:
        self.reads += 1
        await self.meet_faults("get")
        held = self.items.get(key)
        if held is None:
            return None
        return dataclasses.replace(held[0], as_of=self.revision)

    async def read_range(self, prefix: str) -> leased.Range:
        self.reads += 1
        await self.meet_faults("get")
        items = [
            held[0]
            for key, held in sorted(self.items.items())
            if key.startswith(prefix)
        ]
        return leased.Range(items, self.revision)

    async def list(self, prefix: str, *, stale: bool) -> list[leased.Item]:
        self.reads += 1
        await self.meet_faults("list_stale" if stale else "list")
        items = self.older if stale and self.older is not None else self.items
        known = self.behind if stale and self.behind is not None else items
        return [
            dataclasses.replace(held[0], lease=held[1])
            for key, held in sorted(items.items())
            if key.startswith(prefix) and key in known
        ]

    async def watch(
        self, prefix: str, *, after: int, wait_ms: float
    ) -> leased.Changes:
        self.reads += 1
        await self.meet_faults("watch")
        if after < self.compacted:
            raise leased.HistoryLost("compacted", peer="store")
        for _ in range(round(wait_ms / WATCH_STEP_MS)):
            changed = {
                key: held[0].revision for key, held in self.items.items()
            }
            changed.update(self.removed)
            if any(
                key.startswith(prefix) and revision > after
                for key, revision in changed.items()
            ):
                return leased.Changes(any=True, as_of=self.revision)
            await asyncio.sleep(WATCH_STEP_MS / 1_000)
            if self.refusing or self.silent:
                raise port.StoreOutcomeUnknown("cut", peer="store")
        return leased.Changes(any=False, as_of=self.revision)

    async def put(
        self, key: str, value: bytes, *, lease: int, expected: int
    ) -> leased.PutAnswer:
        self.writes += 1
        await self.meet_faults("put")
        if self.late:
            asyncio.get_running_loop().call_later(
                LATE_SECONDS, self.write, key, value, lease, expected
            )
            raise port.StoreOutcomeUnknown("late", peer="store")
        answer = self.write(key, value, lease, expected)
        if self.losing:
            raise port.StoreOutcomeUnknown("lost", peer="store")
        return answer

    def write(
        self, key: str, value: bytes, lease: int, expected: int
    ) -> leased.PutAnswer:
        """Applies a write, even if its caller no longer waits for it."""
        held = self.items.get(key)
        if (held[0].revision if held else 0) != expected:
            return leased.PutAnswer(
                leased.PutOutcome.CHANGED,
                held[0].revision if held else 0,
                held[0] if held else None,
            )
        if lease not in self.leases:
            return leased.PutAnswer(leased.PutOutcome.LEASE_ENDED)
        item = leased.Item(key, value, next(self.numbers))
        self.items[key] = (item, lease)
        return leased.PutAnswer(leased.PutOutcome.WRITTEN, item.revision)

    async def grant(self, *, ttl_ms: float) -> int:
        del ttl_ms
        self.writes += 1
        await self.meet_faults("grant")
        lease = next(self.numbers)
        self.leases.add(lease)
        return lease

    async def keep(self, lease: int) -> bool:
        self.reads += 1
        await self.meet_faults("keep")
        return lease in self.leases

    async def end(self, lease: int) -> None:
        self.leases.discard(lease)
