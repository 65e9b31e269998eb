"""A stand-in of the platform's store, with the faults that its pages name."""

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
    """What the store does to a call."""

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
class Held:
    """An item that is held."""

    value: str
    revision: int
    created_at: int
    lease: int


class KeyValueStandIn:
    """The store.

    Attributes:
      items: What it holds.
      leases: When each lease ends, in seconds of the loop.
      fault: What happens to calls; `LOST` and `LATE` to writes only.
      delay_seconds: Time for an answer.
      page_items: Most items of a page.
      compacted: Revision up to which the history is gone.
      calls: Method and path of each call.
    """

    def __init__(self, now: Callable[[], float]) -> None:
        self.now = now
        self.items: dict[str, Held] = {}
        self.leases: dict[int, tuple[float, float]] = {}
        self.fault = Fault.NONE
        self.delay_seconds = 0.004
        self.page_items = 500
        self.revision = 10
        self.compacted = 0
        self.lease_numbers = itertools.count(100)
        self.calls: list[str] = []

    def accept(self) -> StoreSide:
        """Returns the protocol of a connection."""
        return StoreSide(self)

    def operate(self, key: str, value: bytes) -> None:
        """Writes as the operator does."""
        self.write(key, base64.b64encode(value).decode(), 0)

    def write(self, key: str, value: str, lease: int) -> None:
        """Writes an item."""
        self.revision += 1
        before = self.items.get(key)
        created = before.created_at if before else self.revision
        self.items[key] = Held(value, self.revision, created, lease)

    def expire(self) -> None:
        """Ends the leases whose time is over, with their keys."""
        now = self.now()
        ended = {n for n, (end, _) in self.leases.items() if end <= now}
        for number in ended:
            del self.leases[number]
        for key, held in list(self.items.items()):
            if held.lease in ended:
                del self.items[key]
                self.revision += 1

    def handle(self, method: str, url: str, body: bytes) -> tuple[int, Any]:
        """Carries out one call."""
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
        """Renews or ends a lease."""
        if number not in self.leases:
            return 404, {"error": "no such lease"}
        ttl = self.leases[number][1]
        if action == "kv-keep":
            self.leases[number] = (self.now() + ttl, ttl)
        else:
            self.leases[number] = (self.now(), ttl)
            self.expire()
        return 200, {"ttl-s": ttl}

    def told(self, key: str) -> dict[str, Any]:
        """Returns an item as it is told."""
        held = self.items[key]
        return {
            "key": key,
            "value": held.value,
            "revision": held.revision,
            "created-at": held.created_at,
            "lease": held.lease,
        }

    def key(self, key: str) -> tuple[int, Any]:
        """Reads a key."""
        if key not in self.items:
            return 404, {"error": "none", "as-of": self.revision}
        return 200, {**self.told(key), "as-of": self.revision}

    def range(self, prefix: str, after: str) -> tuple[int, Any]:
        """Reads a page of a prefix."""
        keys = sorted(
            key for key in self.items if key.startswith(prefix) and key > after
        )
        page = keys[: self.page_items]
        return 200, {
            "items": [self.told(key) for key in page],
            "has-more": len(keys) > len(page),
            "as-of": self.revision,
        }

    def present(self, rows: list[dict[str, Any]]) -> list[dict[str, Any]]:
        """Returns the items of a condition as they are."""
        return [
            self.told(row["key"])
            if row["key"] in self.items
            else {"key": row["key"], "revision": 0}
            for row in rows
        ]

    def changes(self, prefix: str, after: int) -> tuple[int, Any] | None:
        """Returns what a watch is told; None while there is nothing."""
        if after < self.compacted:
            return 410, {"error": "history is gone"}
        events = [
            self.told(key)
            for key, held in self.items.items()
            if key.startswith(prefix) and held.revision > after
        ]
        if not events:
            return None
        return 200, {"events": events, "as-of": self.revision}

    def transact(self, values: dict[str, Any]) -> tuple[int, Any]:
        """Carries out a transaction."""
        for row in values["expect"]:
            held = self.items.get(row["key"])
            if (held.revision if held else 0) != row["revision"]:
                return 412, {"items": self.present(values["expect"])}
        for row in values["writes"]:
            if row.get("lease") and row["lease"] not in self.leases:
                return 404, {"error": "no such lease"}
        for row in values["writes"]:
            self.write(row["key"], row["value"], row.get("lease", 0))
        return 200, {"revision": self.revision}


class StoreSide(asyncio.Protocol):
    """One connection of the store."""

    def __init__(self, store: KeyValueStandIn) -> None:
        self.store = store
        self.parser = httptools.HttpRequestParser(self)
        self.transport: asyncio.Transport | None = None
        self.silent = False
        self.url, self.body = b"", b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keeps the transport."""
        self.transport = cast(asyncio.Transport, transport)

    def connection_lost(self, exc: Exception | None) -> None:
        """Drops the transport."""
        del exc
        self.transport = None

    def data_received(self, data: bytes) -> None:
        """Parses what arrives."""
        self.parser.feed_data(data)

    def on_message_begin(self) -> None:
        """Starts a call."""
        self.url, self.body = b"", b""

    def on_url(self, url: bytes) -> None:
        """Takes the path."""
        self.url += url

    def on_body(self, body: bytes) -> None:
        """Takes a part of the body."""
        self.body += body

    def on_message_complete(self) -> None:
        """Answers a call after its delay, or does what the fault says."""
        method = self.parser.get_method().decode()
        url, body = self.url.decode(), self.body
        self.store.calls.append(f"{method} {url}")
        loop = asyncio.get_running_loop()
        loop.call_later(
            self.store.delay_seconds, self.answer, method, url, body
        )

    def answer(self, method: str, url: str, body: bytes) -> None:
        """Answers one call."""
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
            # A connection on which an answer is lost returns nothing more.
            self.silent = True
            return
        self.reply(status, values)

    def watch(self, prefix: str, after: int, end: float) -> None:
        """Answers a watch as soon as there is something to tell."""
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
        """Writes an answer."""
        if self.transport is None:
            return
        body = json.dumps(values).encode()
        self.transport.write(
            f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
            f"Content-Length: {len(body)}\r\n\r\n".encode()
            + body
        )
