"""Answers of faulty targets on the connections of the product's interface."""

from __future__ import annotations

import asyncio
import dataclasses
from typing import cast

import pytest
from multidict import CIMultiDict

from currantcart.http1 import client

COMPLETE = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
NO_LENGTH = b"HTTP/1.1 200 OK\r\n\r\n"
CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
PIECE_BYTES = 16 * 1024
ENDLESS_BYTES_MAX = 256 * 1024
"""Bytes after which a connection whose answer never ends must be aborted."""


@dataclasses.dataclass
class FakeTransport:
    """A transport that discards what is written.

    Attributes:
      unsent: Bytes in the write buffer.
      reading: Whether the protocol reads.
    """

    unsent: int = 0
    closed: bool = False
    reading: bool = True

    def get_extra_info(self, name: str) -> None:
        del name

    def write(self, data: bytes) -> None:
        del data

    def writelines(self, data: list[bytes]) -> None:
        del data

    def is_closing(self) -> bool:
        return self.closed

    def get_write_buffer_size(self) -> int:
        return self.unsent

    def pause_reading(self) -> None:
        self.reading = False

    def resume_reading(self) -> None:
        self.reading = True

    def close(self) -> None:
        self.closed = True

    def abort(self) -> None:
        self.closed = True


@dataclasses.dataclass
class Target:
    """A connection with a pending request, and its transport."""

    connection: client.TargetConnection
    wire: FakeTransport

    def send(self, data: bytes) -> None:
        """Delivers bytes of the target."""
        self.connection.protocol.data_received(data)

    async def body(self) -> bytes:
        """Reads an answer as a node relays it.

        Raises:
          aiohttp.ClientError: The answer is not complete.
        """
        answer = await self.connection.answer()
        parts = []
        while not answer.is_read():
            parts.append(await answer.body.readany())
        return b"".join(parts)


async def connect(*, sent: bool = True) -> Target:
    """Returns a connection with a request.

    Args:
      sent: Whether the complete body was sent.
    """
    loop = asyncio.get_running_loop()
    protocol, wire = client.TargetProtocol(loop), FakeTransport()
    protocol.connection_made(cast(asyncio.BaseTransport, wire))
    target = Target(client.TargetConnection(protocol, loop), wire)
    await ask(target, sent=sent)
    return target


async def ask(target: Target, *, sent: bool = True) -> None:
    """Sends a request on a connection."""
    await target.connection.start(
        method="POST", path="/", headers=CIMultiDict(), chunk=b"x", last=sent
    )


@pytest.mark.parametrize(
    "status",
    ["000", "099", "101", "600", "999", "20", "2000", "+200", "0x200"],
)
async def test_a_status_that_is_not_one_of_http_fails_the_request(
    status: str,
) -> None:
    """Guards against callers that get an answer no target can have meant."""
    target = await connect()
    target.send(f"HTTP/1.1 {status} X\r\nContent-Length: 2\r\n\r\nok".encode())
    with pytest.raises(client.TRANSPORT_ERRORS):
        await target.body()
    assert target.wire.closed
    assert not target.connection.usable


async def test_interim_answers_are_discarded() -> None:
    target = await connect()
    target.send(b"HTTP/1.1 100 Continue\r\n\r\n" * 3 + COMPLETE)
    assert await target.body() == b"ok"
    assert target.connection.usable


@pytest.mark.parametrize(
    "error",
    [ConnectionResetError("reset"), BrokenPipeError("broken pipe")],
    ids=["reset seen by the reader", "reset seen by the writer"],
)
@pytest.mark.parametrize("sent", [True, False])
async def test_a_body_without_length_is_cut_by_a_reset(
    error: OSError, *, sent: bool
) -> None:
    """Guards against part of an answer that is taken for all of it."""
    target = await connect(sent=sent)
    target.send(NO_LENGTH + b"part")
    target.connection.protocol.connection_lost(error)
    with pytest.raises(client.TRANSPORT_ERRORS):
        await target.body()


async def test_a_reset_after_the_body_was_read_so_far_cuts_it() -> None:
    """Guards against a reset that comes while nobody waits for more."""
    target = await connect()
    target.send(NO_LENGTH + b"part")
    answer = await target.connection.answer()
    assert await answer.body.readany() == b"part"
    target.connection.protocol.connection_lost(ConnectionResetError("reset"))
    with pytest.raises(client.TRANSPORT_ERRORS):
        answer.is_read()


@pytest.mark.parametrize(("sent", "unsent"), [(False, 0), (True, 40_000)])
async def test_a_body_without_length_is_cut_by_an_end_during_the_upload(
    unsent: int, *, sent: bool
) -> None:
    """Guards against a reset that the end of the stream comes before."""
    target = await connect(sent=sent)
    target.wire.unsent = unsent
    target.send(NO_LENGTH + b"part")
    target.connection.protocol.eof_received()
    target.connection.protocol.connection_lost(None)
    with pytest.raises(client.TRANSPORT_ERRORS):
        await target.body()


async def test_a_body_without_length_is_complete_at_the_end() -> None:
    target = await connect()
    target.send(NO_LENGTH + b"all")
    target.connection.protocol.eof_received()
    target.connection.protocol.connection_lost(None)
    assert await target.body() == b"all"


async def test_an_early_answer_with_length_outlives_its_connection() -> None:
    target = await connect(sent=False)
    target.send(COMPLETE)
    target.connection.protocol.connection_lost(ConnectionResetError("reset"))
    assert await target.body() == b"ok"
    assert not target.connection.usable


@pytest.mark.parametrize(
    ("start", "more"),
    [
        (b"HTTP/1.1 200 ", b"O" * PIECE_BYTES),
        (b"HTTP/1.1 200 OK\r\nX-Line: ", b"x" * PIECE_BYTES),
        (b"HTTP/1.1 200 OK\r\n", b"X-Line: 1\r\n" * 1_000),
        (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 600),
        (CHUNKED + b"2;", b"x" * PIECE_BYTES),
        (CHUNKED, b"0" * PIECE_BYTES),
        (CHUNKED + b"2\r\nok\r\n0\r\nX-Trailer: ", b"x" * PIECE_BYTES),
        (COMPLETE, COMPLETE * 400),
        (b"", b"no answer"),
    ],
    ids=[
        "reason", "header line", "header lines", "interim answers",
        "chunk extension", "chunk size", "trailer", "answers", "no HTTP",
    ],
)  # fmt: skip
async def test_bytes_without_end_that_are_no_body_end_the_connection(
    start: bytes, more: bytes
) -> None:
    """Guards against a target whose answers fill the memory of its node."""
    target = await connect(sent=False)
    target.send(start)
    received = 0
    while not target.wire.closed and received < ENDLESS_BYTES_MAX:
        target.send(more)
        received += len(more)
    assert target.wire.closed
    assert len(target.connection.protocol) <= 1


async def test_a_body_in_the_smallest_chunks_is_whole() -> None:
    """Guards against a limit on framing that ends proper answers."""
    count = 100_000
    target = await connect()
    rest = CHUNKED + b"1\r\nx\r\n" * count + b"0\r\n\r\n"
    reading = asyncio.ensure_future(target.body())
    while rest and not reading.done():
        if target.wire.reading:
            target.send(rest[:ENDLESS_BYTES_MAX])
            rest = rest[ENDLESS_BYTES_MAX:]
        await asyncio.sleep(0)
    assert len(await reading) == count
    assert target.connection.usable


async def test_bytes_on_an_idle_connection_end_it() -> None:
    """Guards against an answer that the next request would get."""
    target = await connect()
    target.send(COMPLETE)
    assert await target.body() == b"ok"
    assert target.connection.usable
    target.send(COMPLETE[:12])
    assert not target.connection.usable


async def test_a_connection_serves_one_request_after_another() -> None:
    target = await connect()
    for _ in range(3):
        target.send(COMPLETE)
        assert await target.body() == b"ok"
        await ask(target)
    assert not target.wire.closed
