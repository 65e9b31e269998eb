"""The server for probes, reports and metrics."""

from __future__ import annotations

import asyncio
from typing import Any

from currantcart.proxy import control
from tests.fakes import loop as fake_loop
from tests.fakes import mesh as fake_mesh

ADDRESS = ("10.0.0.1", 8001)
SECONDS_MAX = 5.0
IDLE_SECONDS = 30.0


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
