"""In-memory implementation of the port to the platform's store."""

from __future__ import annotations

import asyncio

from currantcart.store import port


class MemoryStore:
    """A store that can be down or lose answers.

    Attributes:
      values: Entries by key.
      index: Index of the latest change.
      down: Whether all calls fail.
      lose_answers: Number of next writes that take effect without an answer.
      calls: Number of calls received.
      changed: Set when an entry changes, then replaced by a new event.
    """

    def __init__(self) -> None:
        self.values: dict[str, port.Entry] = {}
        self.index = 0
        self.down = False
        self.lose_answers = 0
        self.calls = 0
        self.changed = asyncio.Event()

    def check(self) -> None:
        self.calls += 1
        if self.down:
            raise port.StoreUnavailable("down", peer="store")

    async def get(self, key: str) -> port.Entry:
        self.check()
        return self.values.get(key, port.MISSING)

    async def compare_and_swap(
        self, key: str, value: bytes, *, index: int
    ) -> bool:
        self.check()
        if self.values.get(key, port.MISSING).index != index:
            return False
        self.put(key, value)
        if self.lose_answers > 0:
            self.lose_answers -= 1
            raise port.StoreOutcomeUnknown("lost", peer="store")
        return True

    def put(self, key: str, value: bytes, *, lease: str = "") -> None:
        self.index += 1
        self.values[key] = port.Entry(value, self.index, lease)
        self.changed.set()
        self.changed = asyncio.Event()

    async def watch(
        self, key: str, *, index: int, wait_ms: float
    ) -> port.Entry:
        self.check()
        if self.values.get(key, port.MISSING).index == index:
            try:
                async with asyncio.timeout(wait_ms / 1_000):
                    await self.changed.wait()
            except TimeoutError:
                pass
        self.check()
        return self.values.get(key, port.MISSING)

    async def grant_lease(self, *, ttl_ms: float) -> str:
        del ttl_ms
        self.check()
        self.index += 1
        return f"lease-{self.index}"

    async def keep_alive(self, lease: str) -> bool:
        self.check()
        return bool(lease)

    async def acquire(self, key: str, value: bytes, *, lease: str) -> bool:
        self.check()
        held = self.values.get(key, port.MISSING)
        if held.lease not in ("", lease):
            return False
        self.put(key, value, lease=lease)
        return True

    async def release(self, lease: str) -> None:
        self.check()
        self.values = {
            key: entry
            for key, entry in self.values.items()
            if entry.lease != lease
        }
