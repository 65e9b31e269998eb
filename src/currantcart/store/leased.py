"""The port to a store with leases, transactions and cheap stale reads.

Callers have to expect `StoreUnavailable` (nothing was done) and
`StoreOutcomeUnknown` (a write may have been done, or may be done later).
"""

from __future__ import annotations

import dataclasses
import enum
from typing import Protocol

from currantcart import errors


@dataclasses.dataclass(frozen=True, slots=True)
class Item:
    """A stored value.

    Attributes:
      key: Its key.
      value: Its bytes.
      revision: The store's revision as it was written.
      as_of: The store's revision as it was read; 0 where that wasn't told.
      lease: Lease that holds it; 0 without one.
    """

    key: str
    value: bytes
    revision: int
    as_of: int = 0
    lease: int = 0


class PutOutcome(enum.Enum):
    """What became of a write under a condition."""

    WRITTEN = "written"
    CHANGED = "changed"
    LEASE_ENDED = "lease_ended"


@dataclasses.dataclass(frozen=True, slots=True)
class PutAnswer:
    """The store's answer to a write under a condition.

    Attributes:
      outcome: What became of it.
      revision: The key's revision now; 0 when it does not exist.
      present: What the key holds instead, where it has changed.
    """

    outcome: PutOutcome
    revision: int = 0
    present: Item | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Changes:
    """What a watch has told.

    Attributes:
      any: Whether something has changed.
      as_of: The revision to go on from.
    """

    any: bool
    as_of: int


class HistoryLost(errors.CurrantcartError):
    """The store no longer knows what has changed since a revision."""

    def __init__(self, detail: str, *, peer: str) -> None:
        super().__init__(
            errors.Code.STORE_HISTORY_LOST,
            errors.Step.STORE,
            detail,
            peer=peer,
        )


class LeasedStore(Protocol):
    """What a node needs of the store."""

    async def get(self, key: str) -> Item | None:
        """Reads a key; the answer is the newest."""

    async def list(self, prefix: str, *, stale: bool) -> list[Item]:
        """Reads all keys of a prefix.

        Args:
          prefix: Start of the keys.
          stale: Whether an answer that is seconds old will do.
        """

    async def watch(
        self, prefix: str, *, after: int, wait_ms: float
    ) -> Changes:
        """Waits until something below a prefix changes, or for `wait_ms`.

        Raises:
          HistoryLost: What has changed since `after` is no longer known.
        """

    async def put(
        self, key: str, value: bytes, *, lease: int, expected: int
    ) -> PutAnswer:
        """Writes a key under a lease if it still has a revision.

        A write without an answer may be done seconds later. Under a condition
        it does nothing then, once a later write has been done.

        Args:
          key: The key.
          value: Its new bytes.
          lease: Lease that holds it.
          expected: Its present revision; 0 means it must not exist.
        """

    async def grant(self, *, ttl_ms: float) -> int:
        """Creates a lease."""

    async def keep(self, lease: int) -> bool:
        """Renews a lease; False when it has ended."""

    async def end(self, lease: int) -> None:
        """Ends a lease; its keys go with it."""
