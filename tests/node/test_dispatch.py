"""What callers get when a target's answer is faulty."""

from __future__ import annotations

import asyncio
from typing import cast

import pytest

from tests.fakes import loop as fake_loop
from tests.fakes.world import Place, World

UPLOAD_CHUNK = b"x" * 16_384


class FaultyTarget(asyncio.Protocol):
    """Answers with fixed bytes as soon as a request begins.

    Attributes:
      answer: The bytes.
      resets: Whether it resets the connection afterwards.
    """

    def __init__(self, answer: bytes, *, resets: bool) -> None:
        self.answer = answer
        self.resets = resets
        self.transport: fake_loop.MemoryTransport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(fake_loop.MemoryTransport, transport)

    def data_received(self, data: bytes) -> None:
        del data
        answer, self.answer = self.answer, b""
        if not answer or self.transport is None:
            return
        self.transport.write(answer)
        if self.resets:
            asyncio.get_running_loop().call_later(0.1, self.transport.reset)


async def start_faulty(
    world: World, answer: bytes, *, resets: bool = False
) -> Place:
    """Starts two nodes; the service's only target is a faulty one."""
    place = await world.start("grades-1", "grades")
    await world.start("permits-1", "permits")
    await world.settle()
    host, _, port = place.settings.target.address.rpartition(":")
    world.loop.ports[host, int(port)] = (
        lambda: FaultyTarget(answer, resets=resets),
        "target-grades-1",
    )
    world.loop.drop_connections("target-grades-1")
    await world.settle(0.1)
    return place


@pytest.mark.parametrize("via", ["grades-1", "permits-1"])
@pytest.mark.parametrize("status", ["000", "099", "101", "999"])
async def test_a_status_that_is_not_one_of_http_is_a_failure_of_the_target(
    world: World, status: str, via: str
) -> None:
    """Guards against a caller that gets such a status, or none in time."""
    answer = f"HTTP/1.1 {status} X\r\nContent-Length: 2\r\n\r\nok"
    await start_faulty(world, answer.encode())
    reply = await world.call(via, "/grades/a", method="POST", body=b"x")
    assert reply.status == 502
    assert reply.code == "target_failed"
    assert reply.seconds < 1.0


@pytest.mark.parametrize("via", ["grades-1", "permits-1"])
async def test_an_answer_that_is_reset_during_the_upload_is_not_complete(
    world: World, via: str
) -> None:
    """Guards against part of an answer that is taken for all of it."""
    await start_faulty(world, b"HTTP/1.1 200 OK\r\n\r\npart", resets=True)
    reply = await world.call(
        via,
        "/grades/a",
        method="POST",
        chunks=[(0.05, UPLOAD_CHUNK)] * 20,
    )
    assert reply.status != 200
