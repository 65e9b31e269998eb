"""The server for probes, reports and metrics."""

from __future__ import annotations

import asyncio
from typing import Any

from currantcart.proxy import control
from tests.fakes import loop as fake_loop
from tests.fakes import mesh as fake_mesh

ADDRESS = ("10.0.0.1", 8001)
SECONDS_MAX = 5.0


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
