"""The server for probes, reports and metrics."""

from __future__ import annotations

import asyncio
import dataclasses
from typing import Any, cast

import pytest

from currantcart.proxy import control
from tests.fakes import loop as fake_loop
from tests.fakes import mesh as fake_mesh

ADDRESS = ("10.0.0.1", 8001)
SECONDS_MAX = 5.0
IDLE_SECONDS = 30.0
RESPONSE_BYTES = 64 * 1024
REQUEST = b"GET /state HTTP/1.1\r\nHost: x\r\n\r\n"
RECEIVED_BYTES_MAX = 2 * 1024 * 1024
"""Bytes after which a request without end must have ended its connection."""


@dataclasses.dataclass
class FakeTransport:
    """A transport whose other end reads nothing."""

    unsent: int = 0
    closed: bool = False

    def write(self, data: bytes) -> None:
        self.unsent += len(data)

    def is_closing(self) -> bool:
        return self.closed

    def get_write_buffer_size(self) -> int:
        return self.unsent

    def pause_reading(self) -> None:
        pass

    def resume_reading(self) -> None:
        pass

    def close(self) -> None:
        self.closed = True

    def abort(self) -> None:
        self.closed = True


async def answer(request: control.ControlRequest) -> control.ControlResponse:
    del request
    return control.ControlResponse(200, b"x" * RESPONSE_BYTES)


@dataclasses.dataclass
class Caller:
    """A connection and its transport."""

    connection: control.ControlConnection
    wire: FakeTransport


@pytest.fixture
async def caller() -> Caller:
    connection = control.ControlConnection(answer, asyncio.get_running_loop())
    wire = FakeTransport()
    connection.connection_made(cast(asyncio.BaseTransport, wire))
    return Caller(connection, wire)


async def finish(caller: Caller) -> None:
    """Waits for the response to the latest request."""
    if caller.connection.last is not None:
        await asyncio.wait([caller.connection.last])


async def test_responses_that_nobody_reads_are_bounded(caller: Caller) -> None:
    """Guards against a caller that fills the memory with its responses."""
    for _ in range(1_000):
        if caller.wire.closed:
            break
        caller.connection.data_received(REQUEST)
        await finish(caller)
    assert caller.wire.closed
    assert caller.wire.unsent <= control.UNREAD_BYTES_MAX + 2 * RESPONSE_BYTES


async def test_requests_without_end_at_once_are_bounded(caller: Caller) -> None:
    """Guards against a task for each request of an endless pipeline."""
    before = len(asyncio.all_tasks())
    caller.connection.data_received(REQUEST * 1_000)
    assert caller.wire.closed
    started = len(asyncio.all_tasks()) - before
    assert started <= control.PIPELINED_MAX
    await finish(caller)


@pytest.mark.parametrize(
    ("start", "more"),
    [
        (b"GET /", b"x" * 16_384),
        (b"GET / HTTP/1.1\r\nX-Line: ", b"x" * 16_384),
        (b"GET / HTTP/1.1\r\n", b"X-Line: 1\r\n" * 1_000),
        (
            b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n2;",
            b"x" * 16_384,
        ),
        (b"POST / HTTP/1.1\r\nContent-Length: 9000000\r\n\r\n", b"x" * 16_384),
    ],
    ids=["path", "header line", "header lines", "chunk extension", "body"],
)
async def test_a_request_without_end_ends_its_connection(
    caller: Caller, start: bytes, more: bytes
) -> None:
    """Guards against callers that never end a head or a body."""
    caller.connection.data_received(start)
    received = 0
    while not caller.wire.closed and received < RECEIVED_BYTES_MAX:
        caller.connection.data_received(more)
        received += len(more)
    assert caller.wire.closed


async def test_pipelined_requests_are_answered(caller: Caller) -> None:
    for _ in range(2):
        caller.wire.unsent = 0
        caller.connection.data_received(REQUEST * 8)
        await finish(caller)
        assert caller.wire.unsent > 8 * RESPONSE_BYTES
    assert not caller.wire.closed


async def test_request_whose_handler_fails_is_answered() -> None:
    """Guards against a probe that waits for ever after an error."""
    loop = asyncio.get_running_loop()
    assert isinstance(loop, fake_loop.MemoryLoop)
    reported: list[dict[str, Any]] = []
    loop.set_exception_handler(lambda _, details: reported.append(details))

    async def handle(
        request: control.ControlRequest,
    ) -> control.ControlResponse:
        if request.path == "/bad?full":
            raise OverflowError("too large")
        return control.ControlResponse(200)

    await loop.create_server(
        lambda: control.ControlConnection(handle, loop), *ADDRESS
    )
    _, caller = await loop.create_connection(fake_mesh.Caller, *ADDRESS)
    caller.send(b"GET /bad?full HTTP/1.1\r\nHost: x\r\n\r\n")
    caller.send(b"GET /good HTTP/1.1\r\nHost: x\r\n\r\n")
    async with asyncio.timeout(SECONDS_MAX):
        assert (await caller.reply(1)).status == 500
        assert (await caller.reply(2)).status == 200
    (details,) = reported
    assert details["message"] == "GET /bad"


async def test_pipelined_reports_are_read_as_they_are_answered() -> None:
    """Guards against memory for requests that wait for a slow answer."""
    loop = asyncio.get_running_loop()
    assert isinstance(loop, fake_loop.MemoryLoop)
    answering = asyncio.Event()

    async def handle(
        request: control.ControlRequest,
    ) -> control.ControlResponse:
        await answering.wait()
        return control.ControlResponse(200)

    await loop.create_server(
        lambda: control.ControlConnection(handle, loop), *ADDRESS
    )
    _, caller = await loop.create_connection(fake_mesh.Caller, *ADDRESS)
    count = 200
    for _ in range(count):
        caller.send(
            b"POST /report HTTP/1.1\r\nHost: x\r\n"
            b"Content-Length: 10000\r\n\r\n" + b"x" * 10_000
        )
    await asyncio.sleep(1.0)
    assert isinstance(caller.transport, fake_loop.MemoryTransport)
    assert caller.transport.peer is not None
    assert not caller.transport.peer.reading
    answering.set()
    async with asyncio.timeout(SECONDS_MAX):
        assert (await caller.reply(count)).status == 200
    assert caller.transport.peer.reading


async def test_idle_connection_is_closed() -> None:
    """Guards against descriptors that senders which have left hold."""
    loop = asyncio.get_running_loop()
    assert isinstance(loop, fake_loop.MemoryLoop)

    async def handle(
        request: control.ControlRequest,
    ) -> control.ControlResponse:
        return control.ControlResponse(200)

    await loop.create_server(
        lambda: control.ControlConnection(handle, loop), *ADDRESS
    )
    _, used = await loop.create_connection(fake_mesh.Caller, *ADDRESS)
    _, stuck = await loop.create_connection(fake_mesh.Caller, *ADDRESS)
    stuck.send(b"POST /report HTTP/1.1\r\nContent-Length: 9\r\n\r\nx")
    for number in range(1, 10):
        used.send(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")
        assert (await used.reply(number)).status == 200
        await asyncio.sleep(IDLE_SECONDS / 5)
    assert stuck.ended
    assert not used.ended
    await asyncio.sleep(IDLE_SECONDS + 1)
    assert used.ended
