"""The port through which the rest uses the platform's store.

Every caller has to expect four things: `StoreOutcomeUnknown` after a write
(it may have taken effect), `StoreUnavailable` (it certainly did not, or it
was a read), a watch that returns no change or a much later one, and a value
whose index is lower than one seen before (a store restored from a copy).
"""

from __future__ import annotations

import dataclasses
from typing import Protocol

from currantcart import errors


class StoreUnavailable(errors.CurrantcartError):
    """The store gave no answer, and nothing was written."""

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
      value: The bytes.
      index: Grows with each write of the key; 0 when the key does not exist.
      lease: Lease that holds the key; empty without one.
    """

    value: bytes
    index: int
    lease: str = ""


MISSING = Entry(value=b"", index=0)


class Store(Protocol):
    """What the platform's service offers."""

    async def get(self, key: str) -> Entry:
        """Reads a key; `MISSING` when there is none."""

    async def compare_and_swap(
        self, key: str, value: bytes, *, index: int
    ) -> bool:
        """Writes a key if it still has an index; 0 means it must not exist."""

    async def watch(self, key: str, *, index: int, wait_ms: float) -> Entry:
        """Waits for a change after an index, and reads the key."""

    async def grant_lease(self, *, ttl_ms: float) -> str:
        """Creates a lease and returns its id."""

    async def keep_alive(self, lease: str) -> bool:
        """Renews a lease; False when it has lapsed."""

    async def acquire(self, key: str, value: bytes, *, lease: str) -> bool:
        """Writes a key under a lease unless another lease holds it."""

    async def release(self, lease: str) -> None:
        """Ends a lease; its keys go with it."""
