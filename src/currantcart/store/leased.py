"""Port to a store with leases, transactions and cheap stale reads.

Callers have to handle `StoreUnavailable` (a write had no effect) and
`StoreOutcomeUnknown` (a write may have taken effect, or may do so later).
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
      key: Key of the value.
      value: Stored bytes.
      revision: Revision of the store at the last write of the key.
      as_of: Revision of the store at the time of the read; 0 if the store
        did not report it.
      lease: Lease that holds the key; 0 without one.
    """

    key: str
    value: bytes
    revision: int
    as_of: int = 0
    lease: int = 0


class PutOutcome(enum.Enum):
    """Outcome of a conditional write."""

    WRITTEN = "written"
    CHANGED = "changed"
    LEASE_ENDED = "lease_ended"


@dataclasses.dataclass(frozen=True, slots=True)
class PutAnswer:
    """The store's answer to a conditional write.

    Attributes:
      outcome: Outcome of the write.
      revision: Revision of the key after the call; 0 if it does not exist.
      present: Current item of the key if the condition failed; None if the
        key does not exist.
    """

    outcome: PutOutcome
    revision: int = 0
    present: Item | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Range:
    """Result of a read of all keys with a prefix.

    Attributes:
      items: The items, ordered by key.
      as_of: Revision of the store at the time of the read; 0 if the store did
        not report it.
    """

    items: list[Item]
    as_of: int


@dataclasses.dataclass(frozen=True, slots=True)
class Changes:
    """Result of a watch.

    Attributes:
      any: Whether a key has changed.
      as_of: Revision from which the next watch continues.
    """

    any: bool
    as_of: int


class HistoryLost(errors.CurrantcartError):
    """The store no longer has the changes since a revision."""

    def __init__(self, detail: str, *, peer: str) -> None:
        super().__init__(
            errors.Code.STORE_HISTORY_LOST,
            errors.Step.STORE,
            detail,
            peer=peer,
        )


class LeasedStore(Protocol):
    """Operations on the store that a node needs."""

    async def get(self, key: str) -> Item | None:
        """Reads the latest value of a key; None if it does not exist."""

    async def read_range(self, prefix: str) -> Range:
        """Reads all keys with a prefix, in their latest state."""

    async def list(self, prefix: str, *, stale: bool) -> list[Item]:
        """Reads all keys with a prefix.

        Args:
          prefix: Prefix of the keys.
          stale: Whether the answer may be several seconds out of date.
        """

    async def watch(
        self, prefix: str, *, after: int, wait_ms: float
    ) -> Changes:
        """Waits until a key with a prefix changes, at most `wait_ms`.

        Raises:
          HistoryLost: The store no longer has the changes since `after`.
        """

    async def put(
        self, key: str, value: bytes, *, lease: int, expected: int
    ) -> PutAnswer:
        """Writes a key under a lease if its revision is as expected.

        A write without an answer may take effect seconds later. Because of
        the condition it has no effect once a later write has succeeded.

        Args:
          key: The key.
          value: New bytes.
          lease: Lease that is to hold the key.
          expected: Current revision of the key; 0 means it must not exist.
        """

    async def grant(self, *, ttl_ms: float) -> int:
        """Creates a lease and returns its id."""

    async def keep(self, lease: int) -> bool:
        """Renews a lease; False if it has expired."""

    async def end(self, lease: int) -> None:
        """Revokes a lease and deletes its keys."""
