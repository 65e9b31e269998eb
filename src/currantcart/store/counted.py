"""Wrapper of a leased store that counts calls by kind and result."""

from __future__ import annotations

from collections.abc import Awaitable
from typing import TypeVar

from currantcart import errors
from currantcart.store import leased
from currantcart.telemetry import counts

Answer = TypeVar("Answer")


class CountedStore:
    """Forwards calls to a store and counts them, failed ones included."""

    def __init__(
        self, store: leased.LeasedStore, counted: counts.Counts
    ) -> None:
        self.store = store
        self.counts = counted

    async def count(self, call: str, work: Awaitable[Answer]) -> Answer:
        """Awaits a call and counts it with its result.

        Args:
          call: Kind of call, a label value of the metric.
          work: The call.
        """
        result = "cancelled"
        try:
            answer = await work
            result = "done"
        except errors.CurrantcartError as error:
            result = error.code
            raise
        finally:
            self.counts.add("store_calls", call, result)
        return answer

    async def get(self, key: str) -> leased.Item | None:
        """Reads a key."""
        return await self.count("read", self.store.get(key))

    async def read_range(self, prefix: str) -> leased.Range:
        """Reads all keys with a prefix, in their latest state."""
        return await self.count("read", self.store.read_range(prefix))

    async def list(self, prefix: str, *, stale: bool) -> list[leased.Item]:
        """Reads all keys with a prefix."""
        call = "list_stale" if stale else "list"
        return await self.count(call, self.store.list(prefix, stale=stale))

    async def watch(
        self, prefix: str, *, after: int, wait_ms: float
    ) -> leased.Changes:
        """Waits until a key with a prefix changes."""
        return await self.count(
            "watch", self.store.watch(prefix, after=after, wait_ms=wait_ms)
        )

    async def put(
        self, key: str, value: bytes, *, lease: int, expected: int
    ) -> leased.PutAnswer:
        """Writes a key under a lease if its revision is as expected."""
        return await self.count(
            "write",
            self.store.put(key, value, lease=lease, expected=expected),
        )

    async def grant(self, *, ttl_ms: float) -> int:
        """Creates a lease."""
        return await self.count("grant", self.store.grant(ttl_ms=ttl_ms))

    async def keep(self, lease: int) -> bool:
        """Renews a lease."""
        return await self.count("renew", self.store.keep(lease))

    async def end(self, lease: int) -> None:
        """Revokes a lease."""
        await self.count("end", self.store.end(lease))
