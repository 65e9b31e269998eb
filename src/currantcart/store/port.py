"""Port to a key-value store with compare-and-swap and leases.

Every caller has to handle four cases: `StoreOutcomeUnknown` after a write (it
may have taken effect), `StoreUnavailable` (a write had no effect, or a read
failed), a watch that returns without a change or after several changes, and a
value whose index is lower than before (the store was restored from a backup).
"""

from __future__ import annotations

import dataclasses
from typing import Protocol

from currantcart import errors


class StoreUnavailable(errors.CurrantcartError):
    """The store could not serve a call, and nothing was written."""

    def __init__(self, detail: str, *, peer: str) -> None:
        super().__init__(
            errors.Code.STORE_UNAVAILABLE, errors.Step.STORE, detail, peer=peer
        )


class StoreOutcomeUnknown(errors.CurrantcartError):
    """The answer to a write was lost; it may have taken effect."""

    def __init__(self, detail: str, *, peer: str) -> None:
        super().__init__(
            errors.Code.STORE_OUTCOME_UNKNOWN,
            errors.Step.STORE,
            detail,
            peer=peer,
        )


@dataclasses.dataclass(frozen=True, slots=True)
class Entry:
    """A stored value.

    Attributes:
      value: Stored bytes.
      index: Increases with each write of the key; 0 if it does not exist.
      lease: Lease that holds the key; empty without one.
    """

    value: bytes
    index: int
    lease: str = ""


MISSING = Entry(value=b"", index=0)


class Store(Protocol):
    """Operations that the store offers."""

    async def get(self, key: str) -> Entry:
        """Reads a key; `MISSING` if it does not exist."""

    async def compare_and_swap(
        self, key: str, value: bytes, *, index: int
    ) -> bool:
        """Writes a key if its index is as given; 0 means it must not exist."""

    async def watch(self, key: str, *, index: int, wait_ms: float) -> Entry:
        """Waits for a change after an index, and reads the key."""

    async def grant_lease(self, *, ttl_ms: float) -> str:
        """Creates a lease and returns its id."""

    async def keep_alive(self, lease: str) -> bool:
        """Renews a lease; False if it has expired."""

    async def acquire(self, key: str, value: bytes, *, lease: str) -> bool:
        """Writes a key under a lease unless another lease holds it."""

    async def release(self, lease: str) -> None:
        """Revokes a lease and deletes its keys."""
