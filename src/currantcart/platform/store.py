"""Adapter for the platform's key-value store."""

from __future__ import annotations

import asyncio
import base64
import urllib.parse
from typing import Annotated, TypeVar

import msgspec

from currantcart import bounds, decoding, held_bytes
from currantcart import clock as clock_module
from currantcart.http1 import pool
from currantcart.store import leased, port

TIMEOUT_SECONDS = 1.2
RANGE_BYTES_MAX = 32 * held_bytes.MIB
"""Size of keys and values up to which a range is read."""
ENTRY_BYTES_MAX = 64 * 1024
"""Size up to which the value of a node's entry is read."""
PAGES_MAX = 200
"""Pages of a range, of some 500 items or 1 MB each."""
# Statuses with which the store rejects a call before it takes effect.
REJECTED_STATUSES = frozenset({429, 503})
Body = TypeVar("Body")


class StoredItem(msgspec.Struct, rename="kebab"):
    """An item in an answer of the store."""

    key: str
    value: str = ""
    revision: bounds.Ordinal = 0
    as_of: bounds.Ordinal = 0
    lease: bounds.Ordinal = 0


class Event(msgspec.Struct):
    """A change in the answer to a watch; only its key is used."""

    key: str


class Events(msgspec.Struct, rename="kebab"):
    """The answer to a watch."""

    events: list[Event]
    as_of: bounds.Ordinal


class Written(msgspec.Struct):
    """The answer to a transaction that took effect."""

    revision: bounds.Ordinal


class Present(msgspec.Struct):
    """The answer to a transaction whose condition did not hold."""

    items: list[StoredItem]


class Page(msgspec.Struct, rename="kebab"):
    """A page of a range of items."""

    items: list[StoredItem]
    has_more: bool = False
    as_of: bounds.Ordinal = 0


class Lease(msgspec.Struct):
    """The answer to the creation of a lease."""

    lease: Annotated[int, msgspec.Meta(ge=1, le=bounds.INT64_MAX)]


def base64_length(size: int) -> int:
    """Returns the length of some bytes in Base64."""
    return (size + 2) // 3 * 4


def item_of(stored: StoredItem) -> leased.Item:
    """Converts an item of the store to the port's item.

    Raises:
      port.StoreOutcomeUnknown: The value is not Base64.
    """
    try:
        value = base64.b64decode(stored.value, validate=True)
    except ValueError as error:
        raise port.StoreOutcomeUnknown(
            f"value of {stored.key} is not Base64: {error}", peer="store"
        ) from error
    return leased.Item(
        stored.key,
        value,
        stored.revision,
        stored.as_of,
        stored.lease,
    )


class KeyValueStore:
    """The platform's store.

    Each call uses a connection exclusively and has a time limit. A connection
    on which an answer was lost delivers no further answers, and this shows
    only by the time-out.
    """

    def __init__(
        self,
        address: tuple[str, int],
        *,
        clock: clock_module.Clock,
        loop: asyncio.AbstractEventLoop,
        held: held_bytes.HeldBytes,
    ) -> None:
        self.pool = pool.Pool(address=address, loop=loop, held=held)
        self.peer = f"{address[0]}:{address[1]}"
        self.clock = clock
        self.loop = loop
        self.calls = 0

    async def connect(self) -> pool.Connection:
        """Returns an idle or new connection for one call.

        Raises:
          port.StoreUnavailable: The connection could not be opened.
        """
        idle = self.pool.take(self.clock.now())
        if idle is not None:
            return idle
        opened: asyncio.Future[pool.Connection] = self.loop.create_future()

        def on_open(connection: pool.Connection) -> None:
            if opened.done():
                connection.abort()
            else:
                opened.set_result(connection)

        def on_failed(reason: str) -> None:
            if not opened.done():
                opened.set_exception(
                    port.StoreUnavailable(reason, peer=self.peer)
                )

        self.pool.dial(on_open, on_failed)
        return await opened

    async def exchange(
        self, method: str, path: str, body: bytes
    ) -> pool.Response:
        """Sends one request and returns the answer.

        Raises:
          port.StoreUnavailable: Nothing was sent.
          port.StoreOutcomeUnknown: The connection broke before the answer.
        """
        connection = await self.connect()
        answered: asyncio.Future[pool.Response] = self.loop.create_future()

        def on_answer(response: pool.Response) -> bool:
            if not answered.done():
                answered.set_result(response)
            return True

        def on_lost(reason: str) -> None:
            if not answered.done():
                answered.set_exception(
                    port.StoreOutcomeUnknown(reason, peer=self.peer)
                )

        head = (
            f"{method} {path} HTTP/1.1\r\nHost: {self.peer}\r\n"
            "Content-Type: application/json\r\n"
            f"Content-Length: {len(body)}\r\n\r\n"
        )
        self.calls += 1
        connection.send(head.encode() + body, on_answer, on_lost)
        try:
            response = await answered
        except BaseException:
            connection.abort()
            raise
        self.pool.give_back(connection, self.clock.now())
        return response

    async def call(
        self,
        method: str,
        path: str,
        body: object = None,
        *,
        seconds: float = TIMEOUT_SECONDS,
    ) -> pool.Response:
        """Makes one call within a time limit.

        Args:
          method: HTTP method.
          path: Path with its query.
          body: Body, to be encoded as JSON; None for an empty one.
          seconds: Time limit.

        Raises:
          port.StoreUnavailable: The call had no effect.
          port.StoreOutcomeUnknown: The call may have taken effect, or may do
            so later.
        """
        data = b"" if body is None else msgspec.json.encode(body)
        try:
            async with asyncio.timeout(seconds):
                response = await self.exchange(method, path, data)
        except TimeoutError as error:
            raise port.StoreOutcomeUnknown(
                "store did not answer within the time limit", peer=self.peer
            ) from error
        if response.status in REJECTED_STATUSES:
            raise port.StoreUnavailable(
                f"store rejected the call with status {response.status}",
                peer=self.peer,
            )
        return response

    def read(
        self, response: pool.Response, kind: type[Body], *, status: int = 200
    ) -> Body:
        """Parses the body of an answer.

        Args:
          response: The answer.
          kind: Type of the body.
          status: Expected status.

        Raises:
          port.StoreOutcomeUnknown: The answer has another status, or its body
            is not of the type.
        """
        if response.status != status:
            raise port.StoreOutcomeUnknown(
                f"store answered with unexpected status {response.status}",
                peer=self.peer,
            )
        try:
            return msgspec.json.decode(response.body, type=kind)
        except decoding.ERRORS as error:
            raise port.StoreOutcomeUnknown(
                str(error), peer=self.peer
            ) from error

    async def get(self, key: str) -> leased.Item | None:
        """Reads a key."""
        query = urllib.parse.urlencode({"key": key})
        response = await self.call("GET", f"/currantcart/kv-key?{query}")
        if response.status == 404:
            return None
        return item_of(self.read(response, StoredItem))

    async def read_range(self, prefix: str) -> leased.Range:
        """Reads all keys with a prefix, in their latest state."""
        return await self.read_pages(prefix, stale=False)

    async def list(self, prefix: str, *, stale: bool) -> list[leased.Item]:
        """Reads all keys with a prefix.

        A value above `ENTRY_BYTES_MAX` is returned empty: a node's entry is
        short, and others may have written to the same prefix.
        """
        found = await self.read_pages(
            prefix, stale=stale, value_bytes_max=ENTRY_BYTES_MAX
        )
        return found.items

    async def read_pages(
        self,
        prefix: str,
        *,
        stale: bool,
        value_bytes_max: int = RANGE_BYTES_MAX,
    ) -> leased.Range:
        """Reads all keys with a prefix, page by page.

        Pages are read one after the other, so the result holds as of the
        first one: a later change may be missing.

        Args:
          prefix: Prefix of the keys.
          stale: Whether the store may return outdated items.
          value_bytes_max: Size above which a value is returned empty.

        Raises:
          port.StoreUnavailable: A page could not be read.
          port.StoreOutcomeUnknown: A page could not be read, ends where an
            earlier one did, or is the last of too many, or the range exceeds
            `RANGE_BYTES_MAX`.
        """
        items: list[leased.Item] = []
        as_of = size = 0
        ends: set[str] = set()
        query = {"prefix": prefix}
        if stale:
            query["allow-stale"] = "1"
        for _ in range(PAGES_MAX):
            response = await self.call(
                "GET", f"/currantcart/kv-range?{urllib.parse.urlencode(query)}"
            )
            page = self.read(response, Page)
            for stored in page.items:
                if len(stored.value) > base64_length(value_bytes_max):
                    stored.value = ""
                items.append(item_of(stored))
                size += len(stored.key) + len(items[-1].value)
            as_of = as_of or page.as_of
            if not page.has_more or not page.items:
                return leased.Range(items, as_of)
            after = page.items[-1].key
            if after in ends or size > RANGE_BYTES_MAX:
                break
            ends.add(after)
            query["after"] = after
        raise port.StoreOutcomeUnknown(
            f"range {prefix} doesn't end after {size} bytes", peer=self.peer
        )

    async def watch(
        self, prefix: str, *, after: int, wait_ms: float
    ) -> leased.Changes:
        """Waits until a key with a prefix changes."""
        query = urllib.parse.urlencode(
            {"prefix": prefix, "after": after, "wait-ms": round(wait_ms)}
        )
        response = await self.call(
            "GET",
            f"/currantcart/kv-watch?{query}",
            seconds=wait_ms / 1_000 + TIMEOUT_SECONDS,
        )
        if response.status == 410:
            raise leased.HistoryLost(
                f"store no longer has the changes after revision {after}",
                peer=self.peer,
            )
        watched = self.read(response, Events)
        return leased.Changes(any=bool(watched.events), as_of=watched.as_of)

    async def put(
        self, key: str, value: bytes, *, lease: int, expected: int
    ) -> leased.PutAnswer:
        """Writes a key under a lease if its revision is as expected."""
        write = {
            "key": key,
            "value": base64.b64encode(value).decode(),
            "lease": lease,
        }
        response = await self.call(
            "POST",
            "/currantcart/kv-txn",
            {
                "expect": [{"key": key, "revision": expected}],
                "writes": [write],
                "delete-keys": [],
            },
        )
        if response.status == 404:
            return leased.PutAnswer(leased.PutOutcome.LEASE_ENDED)
        if response.status == 412:
            return self.changed(key, response)
        revision = self.read(response, Written).revision
        return leased.PutAnswer(leased.PutOutcome.WRITTEN, revision)

    def changed(self, key: str, response: pool.Response) -> leased.PutAnswer:
        """Returns the answer to a write whose condition did not hold.

        Args:
          key: Key of the write.
          response: The store's answer, with the current items.
        """
        current = self.read(response, Present, status=412)
        for stored in current.items:
            if stored.key == key and stored.revision:
                return leased.PutAnswer(
                    leased.PutOutcome.CHANGED, stored.revision, item_of(stored)
                )
        return leased.PutAnswer(leased.PutOutcome.CHANGED)

    async def grant(self, *, ttl_ms: float) -> int:
        """Creates a lease and returns its id."""
        response = await self.call(
            "POST", "/currantcart/kv-lease", {"ttl-s": ttl_ms / 1_000}
        )
        return self.read(response, Lease).lease

    async def keep(self, lease: int) -> bool:
        """Renews a lease; False if the store does not confirm it."""
        response = await self.call("POST", f"/currantcart/kv-keep/{lease}")
        return response.status == 200

    async def end(self, lease: int) -> None:
        """Revokes a lease."""
        await self.call("DELETE", f"/currantcart/kv-lease-end/{lease}")

    def close(self) -> None:
        """Closes the idle connections."""
        self.pool.close()
