"""HTTP target whose faults can be set while it runs."""

from __future__ import annotations

import asyncio
import dataclasses
import random
from collections.abc import Callable
from typing import cast

import httptools


@dataclasses.dataclass
class Seen:
    """A request as received by the target."""

    method: str
    path: str
    headers: dict[str, str]
    body: bytes

    @property
    def request_id(self) -> str:
        return self.headers.get("currantcart-request-id", "")


def sealed(seen: Seen, *, status: int = 200, body: bytes = b"done") -> bytes:
    """Returns a complete answer, with the seal that the node expects."""
    return (
        f"HTTP/1.1 {status} OK\r\n"
        f"Currantcart-Request-Id: {seen.request_id}\r\n"
        "Currantcart-Server-Seal: s1\r\n"
        "Keep-Alive: timeout=10\r\n"
        f"Content-Length: {len(body)}\r\n\r\n"
    ).encode() + body


def not_executed(seen: Seen, *, status: int = 503) -> bytes:
    """Returns an answer that says that the request was not executed."""
    return (
        f"HTTP/1.1 {status} No\r\n"
        f"Currantcart-Request-Id: {seen.request_id}\r\n"
        "Currantcart-Not-Executed: 1\r\n"
        "Content-Length: 0\r\n\r\n"
    ).encode()


@dataclasses.dataclass(frozen=True)
class Endless:
    """Bytes that are sent until the caller closes the connection.

    Attributes:
      start: Sent once.
      piece: Sent again and again.
    """

    start: bytes
    piece: bytes


HEALTH_PATH = "/health"
Script = Callable[[Seen], bytes | None]


@dataclasses.dataclass
class HttpTarget:
    """A target with its faults and counts.

    Attributes:
      target_id: Id that requests are checked against.
      script: Returns the bytes of an answer, or None to send no answer.
      endless: Answers without end, by the path of the request; they take the
        place of the script's.
      work_seconds: Processing time of a request.
      shed_ratio: Share of requests that are answered as not executed.
      on_run: Called with each request that runs.
      cold_ms: Remaining warm-up that health answers state, unless it is 0;
        None leaves health requests unanswered.
      cut_after: Whether the connection is closed after each answer.
      limit: Requests per second that each answer states as its limit; None
        states no limit.
      leaving: Whether each answer states that the target is leaving.
      seen: Requests received, including those not executed.
      running: Number of requests that are running.
      most_running: Highest number of requests that ran at once.
      dropped: Number of requests whose connection ended before their answer.
      connections: All connections accepted so far.
    """

    target_id: str = "t1"
    script: Script = sealed
    endless: dict[str, Endless] = dataclasses.field(default_factory=dict)
    work_seconds: float = 0.01
    shed_ratio: float = 0.0
    on_run: Callable[[Seen], None] | None = None
    cold_ms: float | None = None
    cut_after: bool = False
    limit: float | None = None
    leaving: bool = False
    seen: list[Seen] = dataclasses.field(default_factory=list)
    running: int = 0
    most_running: int = 0
    dropped: int = 0
    connections: list[TargetConnection] = dataclasses.field(
        default_factory=list
    )

    def accept(self) -> TargetConnection:
        connection = TargetConnection(self)
        self.connections.append(connection)
        return connection

    def with_stated(self, answer: bytes) -> bytes:
        """Returns an answer with what the target states of itself."""
        stated = b""
        if self.limit is not None:
            stated += f"Server-Limit: {self.limit}\r\n".encode()
        if self.leaving:
            stated += b"Server-Leaving: 1\r\n"
        first, line_end, rest = answer.partition(b"\r\n")
        return first + line_end + stated + rest


class TargetConnection(asyncio.Protocol):
    """One connection to the target."""

    def __init__(self, target: HttpTarget) -> None:
        self.target = target
        self.parser = httptools.HttpRequestParser(self)
        self.transport: asyncio.Transport | None = None
        self.tasks: set[asyncio.Task[None]] = set()
        self.writable = asyncio.Event()
        self.writable.set()
        self.begin()

    def begin(self) -> None:
        self.url, self.body = b"", b""
        self.headers: dict[str, str] = {}

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        self.parser.feed_data(data)

    def on_message_begin(self) -> None:
        self.begin()

    def on_url(self, url: bytes) -> None:
        self.url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        self.headers[name.decode().lower()] = value.decode()

    def on_body(self, body: bytes) -> None:
        self.body += body

    def on_message_complete(self) -> None:
        method = self.parser.get_method().decode()
        seen = Seen(method, self.url.decode(), self.headers, self.body)
        if seen.path == HEALTH_PATH:
            self.answer_health()
            return
        self.target.seen.append(seen)
        task = asyncio.get_running_loop().create_task(self.work(seen))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def answer_health(self) -> None:
        """Answers a health request with the remaining warm-up."""
        cold_ms = self.target.cold_ms
        if cold_ms is None or self.transport is None:
            return
        stated = f"Currantcart-Cold-Ms: {cold_ms:.0f}\r\n" if cold_ms else ""
        self.write(
            (
                "HTTP/1.1 200 OK\r\n"
                f"Currantcart-Instance-Id: {self.target.target_id}\r\n"
                f"{stated}Content-Length: 0\r\n\r\n"
            ).encode()
        )

    def write(self, answer: bytes) -> None:
        """Writes an answer unless the connection has ended."""
        if self.transport is not None:
            self.transport.write(self.target.with_stated(answer))

    async def write_endless(self, answer: Endless) -> None:
        """Writes as fast as the caller reads, until it closes."""
        data = answer.start
        while self.transport is not None:
            self.transport.write(data)
            data = answer.piece
            await asyncio.sleep(0)
            await self.writable.wait()

    def pause_writing(self) -> None:
        self.writable.clear()

    def resume_writing(self) -> None:
        self.writable.set()

    async def work(self, seen: Seen) -> None:
        target = self.target
        if target.shed_ratio and random.random() < target.shed_ratio:
            self.write(not_executed(seen))
            return
        expected = seen.headers.get("currantcart-expect-instance")
        if expected not in (None, target.target_id):
            self.write(not_executed(seen, status=421))
            return
        if target.on_run is not None:
            target.on_run(seen)
        target.running += 1
        target.most_running = max(target.most_running, target.running)
        try:
            await asyncio.sleep(target.work_seconds)
        finally:
            target.running -= 1
        endless = target.endless.get(seen.path)
        answer = target.script(seen) if endless is None else None
        if endless is not None:
            await self.write_endless(endless)
        if answer is not None:
            self.write(answer)
        if target.cut_after and self.transport is not None:
            self.transport.close()

    def connection_lost(self, exc: Exception | None) -> None:
        del exc
        self.transport = None
        self.writable.set()
        self.target.dropped += len(self.tasks)
        for task in self.tasks:
            task.cancel()
