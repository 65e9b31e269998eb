"""Stand-in for the platform's store, with its documented faults."""

from __future__ import annotations

import asyncio
import base64
import dataclasses
import enum
import itertools
import json
import urllib.parse
from collections.abc import Callable
from typing import Any, cast

import httptools


class Fault(enum.Enum):
    """Fault that the store applies to calls.

    Attributes:
      NONE: Calls are answered.
      BUSY: Calls are answered with status 503.
      MANY: Calls are answered with status 429.
      RESET: The connection is aborted.
      SILENT: Calls are neither carried out nor answered.
      LOST: Writes take effect but are not answered.
      LATE: Writes take effect after `LATE_SECONDS` and are not answered.
    """

    NONE = "none"
    BUSY = "busy"
    MANY = "many"
    RESET = "reset"
    SILENT = "silent"
    LOST = "lost"
    LATE = "late"


LATE_SECONDS = 2.0
WATCH_STEP_SECONDS = 0.01


@dataclasses.dataclass
class Item:
    """A stored item.

    Attributes:
      value: Value in Base64.
      revision: Revision of the last write.
      created_at: Revision of the write that created it.
      lease: Lease that the item ends with; 0 without one.
    """

    value: str
    revision: int
    created_at: int
    lease: int


class KeyValueStandIn:
    """State of the store.

    Attributes:
      now: Returns the time in seconds.
      items: Stored items by key.
      leases: End and time to live of each lease, in seconds.
      fault: Fault applied to calls; `LOST` and `LATE` apply to writes only.
      delay_seconds: Delay before each answer.
      page_items: Maximum number of items in a page.
      revision: Revision of the last change.
      removed: Revision at which the operator has removed a key, by key.
      compacted: Watches from a revision below this one are answered with 410.
      calls: Method and path of each call received.
    """

    def __init__(self, now: Callable[[], float]) -> None:
        self.now = now
        self.items: dict[str, Item] = {}
        self.leases: dict[int, tuple[float, float]] = {}
        self.fault = Fault.NONE
        self.delay_seconds = 0.004
        self.page_items = 500
        self.revision = 10
        self.removed: dict[str, int] = {}
        self.compacted = 0
        self.lease_numbers = itertools.count(100)
        self.calls: list[str] = []

    def accept(self) -> StoreConnection:
        """Returns the protocol of a new connection."""
        return StoreConnection(self)

    def operate(self, key: str, value: bytes) -> None:
        """Writes an item without a lease, as an operator does."""
        self.write(key, base64.b64encode(value).decode(), 0)

    def remove(self, key: str) -> None:
        """Removes an item, as an operator does."""
        del self.items[key]
        self.revision += 1
        self.removed[key] = self.revision

    def write(self, key: str, value: str, lease: int) -> None:
        """Writes an item at the next revision."""
        self.revision += 1
        previous = self.items.get(key)
        created = previous.created_at if previous else self.revision
        self.items[key] = Item(value, self.revision, created, lease)

    def expire(self) -> None:
        """Removes expired leases and the items attached to them."""
        now = self.now()
        ended = {n for n, (end, _) in self.leases.items() if end <= now}
        for number in ended:
            del self.leases[number]
        for key, item in list(self.items.items()):
            if item.lease in ended:
                del self.items[key]
                self.revision += 1

    def handle(self, method: str, url: str, body: bytes) -> tuple[int, Any]:
        """Carries out one call.

        Returns:
          Status and JSON value of the answer.
        """
        self.expire()
        parts = urllib.parse.urlsplit(url)
        query = dict(urllib.parse.parse_qsl(parts.query))
        name = parts.path.removeprefix("/currantcart/")
        values = json.loads(body) if body else {}
        if name == "kv-key":
            return self.key(query["key"])
        if name == "kv-range":
            return self.range(query["prefix"], query.get("after", ""))
        if name == "kv-txn":
            return self.transact(values)
        if name == "kv-lease":
            number = next(self.lease_numbers)
            ttl = float(values["ttl-s"])
            self.leases[number] = (self.now() + ttl, ttl)
            return 200, {"lease": number, "ttl-s": ttl}
        action, _, number_text = name.partition("/")
        return self.lease_call(action, int(number_text))

    def lease_call(self, action: str, number: int) -> tuple[int, Any]:
        """Renews a lease, or ends it with its items."""
        if number not in self.leases:
            return 404, {"error": "no such lease"}
        ttl = self.leases[number][1]
        if action == "kv-keep":
            self.leases[number] = (self.now() + ttl, ttl)
        else:
            self.leases[number] = (self.now(), ttl)
            self.expire()
        return 200, {"ttl-s": ttl}

    def encoded(self, key: str) -> dict[str, Any]:
        """Returns the JSON value of an item."""
        item = self.items[key]
        return {
            "key": key,
            "value": item.value,
            "revision": item.revision,
            "created-at": item.created_at,
            "lease": item.lease,
        }

    def key(self, key: str) -> tuple[int, Any]:
        """Reads one item."""
        if key not in self.items:
            return 404, {"error": "none", "as-of": self.revision}
        return 200, {**self.encoded(key), "as-of": self.revision}

    def range(self, prefix: str, after: str) -> tuple[int, Any]:
        """Reads one page of the items with a prefix."""
        keys = sorted(
            key for key in self.items if key.startswith(prefix) and key > after
        )
        page = keys[: self.page_items]
        return 200, {
            "items": [self.encoded(key) for key in page],
            "has-more": len(keys) > len(page),
            "as-of": self.revision,
        }

    def current_items(self, rows: list[dict[str, Any]]) -> list[dict[str, Any]]:
        """Returns the current items of a transaction's conditions."""
        return [
            self.encoded(row["key"])
            if row["key"] in self.items
            else {"key": row["key"], "revision": 0}
            for row in rows
        ]

    def changes(self, prefix: str, after: int) -> tuple[int, Any] | None:
        """Returns the answer to a watch, or None if nothing has changed."""
        if after < self.compacted:
            return 410, {"error": "history is gone"}
        events = [
            self.encoded(key)
            for key, item in self.items.items()
            if key.startswith(prefix) and item.revision > after
        ]
        events += [
            {"key": key, "revision": revision, "removed": True}
            for key, revision in self.removed.items()
            if key.startswith(prefix) and revision > after
        ]
        if not events:
            return None
        return 200, {"events": events, "as-of": self.revision}

    def transact(self, values: dict[str, Any]) -> tuple[int, Any]:
        """Writes all items of a transaction if its conditions hold."""
        for row in values["expect"]:
            item = self.items.get(row["key"])
            if (item.revision if item else 0) != row["revision"]:
                return 412, {"items": self.current_items(values["expect"])}
        for row in values["writes"]:
            if row.get("lease") and row["lease"] not in self.leases:
                return 404, {"error": "no such lease"}
        for row in values["writes"]:
            self.write(row["key"], row["value"], row.get("lease", 0))
        return 200, {"revision": self.revision}


class StoreConnection(asyncio.Protocol):
    """One connection to the store."""

    def __init__(self, store: KeyValueStandIn) -> None:
        self.store = store
        self.parser = httptools.HttpRequestParser(self)
        self.transport: asyncio.Transport | None = None
        self.silent = False
        self.url, self.body = b"", b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Stores the transport."""
        self.transport = cast(asyncio.Transport, transport)

    def connection_lost(self, exc: Exception | None) -> None:
        """Discards the transport."""
        del exc
        self.transport = None

    def data_received(self, data: bytes) -> None:
        """Parses received data."""
        self.parser.feed_data(data)

    def on_message_begin(self) -> None:
        """Discards the URL and the body of the previous call."""
        self.url, self.body = b"", b""

    def on_url(self, url: bytes) -> None:
        """Appends a part of the URL."""
        self.url += url

    def on_body(self, body: bytes) -> None:
        """Appends a part of the body."""
        self.body += body

    def on_message_complete(self) -> None:
        """Schedules the answer to a call after the delay of the store."""
        method = self.parser.get_method().decode()
        url, body = self.url.decode(), self.body
        self.store.calls.append(f"{method} {url}")
        loop = asyncio.get_running_loop()
        loop.call_later(
            self.store.delay_seconds, self.answer, method, url, body
        )

    def answer(self, method: str, url: str, body: bytes) -> None:
        """Answers one call, or applies the fault in force."""
        fault = self.store.fault
        if fault in (Fault.LOST, Fault.LATE) and method == "GET":
            fault = Fault.NONE
        if fault is Fault.SILENT or self.silent:
            return
        if fault is Fault.RESET:
            if self.transport is not None:
                self.transport.abort()
            return
        if fault is Fault.BUSY or fault is Fault.MANY:
            self.reply(503 if fault is Fault.BUSY else 429, {})
            return
        if fault is Fault.LATE:
            self.silent = True
            asyncio.get_running_loop().call_later(
                LATE_SECONDS, self.store.handle, method, url, body
            )
            return
        if "/kv-watch?" in url:
            query = dict(urllib.parse.parse_qsl(url.partition("?")[2]))
            end = self.store.now() + float(query["wait-ms"]) / 1_000
            self.watch(query["prefix"], int(query["after"]), end)
            return
        status, values = self.store.handle(method, url, body)
        if fault is Fault.LOST:
            # After a lost answer the connection sends nothing more.
            self.silent = True
            return
        self.reply(status, values)

    def watch(self, prefix: str, after: int, end: float) -> None:
        """Answers a watch on the first change, or when its time is over."""
        found = self.store.changes(prefix, after)
        if found is None and self.store.now() < end:
            asyncio.get_running_loop().call_later(
                WATCH_STEP_SECONDS, self.watch, prefix, after, end
            )
            return
        self.reply(
            *(found or (200, {"events": [], "as-of": self.store.revision}))
        )

    def reply(self, status: int, values: Any) -> None:
        """Sends an answer if the connection is still open."""
        if self.transport is None:
            return
        body = json.dumps(values).encode()
        self.transport.write(
            f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
            f"Content-Length: {len(body)}\r\n\r\n".encode()
            + body
        )
