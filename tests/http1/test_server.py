"""Malformed requests get a coded error and affect no other call."""

from __future__ import annotations

import asyncio
import json
from typing import Any
from unittest import mock

import pytest
import structlog

from currantcart.http1 import server
from currantcart.settings import model as settings_model
from tests.fakes.world import KEY, World

AUTHORIZED = f"Host: x\r\nAuthorization: Bearer {KEY}\r\n"


@pytest.fixture
async def fleet(world: World) -> World:
    await world.start("grades-1", "grades")
    await world.settle()
    return world


async def send_raw(fleet: World, data: bytes) -> tuple[int, dict[str, Any]]:
    """Sends raw bytes and returns status and body of the answer."""
    address = fleet.places["grades-1"].settings.listen.callers
    host, port = settings_model.split_address(address)
    reader, writer = await asyncio.open_connection(host, port)
    writer.write(data)
    head = await reader.readuntil(b"\r\n\r\n")
    length = int(head.lower().split(b"content-length:")[1].split()[0])
    body = await reader.readexactly(length)
    writer.close()
    return int(head.split()[1]), json.loads(body)


@pytest.mark.parametrize(
    ("request_text", "status", "code"),
    [
        ("nonsense\r\n\r\n", 400, "bad_request"),
        (
            "POST /grades/a HTTP/1.1\r\n" + AUTHORIZED
            + "Content-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n",
            400,
            "bad_request",
        ),
        (
            "GET /grades/a HTTP/1.1\r\n" + AUTHORIZED
            + f"X-Large: {'x' * 9_000}\r\n\r\n",
            431,
            "headers_too_large",
        ),
        (
            "GET /grades/a HTTP/1.1\r\n" + AUTHORIZED
            + "Currantcart-Timeout-Ms: 99999999999\r\n\r\n",
            400,
            "deadline_invalid",
        ),
        (
            "GET /grades/a HTTP/1.1\r\n" + AUTHORIZED
            + "Currantcart-Timeout-Ms: nan\r\n\r\n",
            400,
            "deadline_invalid",
        ),
        (
            "GET /grades/a HTTP/1.1\r\n" + AUTHORIZED
            + f"Idempotency-Key: {'k' * 200}\r\n\r\n",
            400,
            "idempotency_key_invalid",
        ),
        (
            "GET /none/a HTTP/1.1\r\n" + AUTHORIZED + "\r\n",
            404,
            "unknown_service",
        ),
        (
            "GET /grades/a HTTP/1.1\r\nHost: x\r\n\r\n",
            401,
            "key_missing",
        ),
        (
            "GET /grades/a HTTP/1.1\r\nHost: x\r\n"
            "Authorization: Bearer wrong\r\n\r\n",
            401,
            "key_unknown",
        ),
        (
            "GET /grades/a HTTP/1.1\r\nHost: x\r\n"
            "Currantcart-Context: Zm9yZ2VkZm9yZ2VkZm9yZ2Vk\r\n\r\n",
            401,
            "context_invalid",
        ),
        ("OPTIONS * HTTP/1.1\r\nHost: x\r\n\r\n", 400, "bad_request"),
    ],
)  # fmt: skip
async def test_bad_input_is_refused_with_a_code(
    fleet: World, request_text: str, status: int, code: str
) -> None:
    got, fields = await send_raw(fleet, request_text.encode())
    assert (got, fields["code"], fields["not_run"]) == (status, code, True)
    assert (await fleet.call("grades-1", "/grades/a")).whole


async def test_pipelined_requests_are_answered_in_order(fleet: World) -> None:
    address = fleet.places["grades-1"].settings.listen.callers
    host, port = settings_model.split_address(address)
    reader, writer = await asyncio.open_connection(host, port)
    for name in ("a", "b"):
        writer.write(
            f"GET /grades/a HTTP/1.1\r\n{AUTHORIZED}"
            f"X-Request-Id: {name}\r\n\r\n".encode()
        )
    text = b""
    while text.count(b"HTTP/1.1 200") < 2 or not text.endswith(b"}"):
        text += await reader.read(4_096)
    assert text.index(b'"a"') < text.index(b'"b"')
    writer.close()


async def test_truncated_body_never_counts_as_complete(fleet: World) -> None:
    """A caller's connection breaks in the middle of an upload."""
    address = fleet.places["grades-1"].settings.listen.callers
    host, port = settings_model.split_address(address)
    _, writer = await asyncio.open_connection(host, port)
    writer.write(
        f"POST /grades/a HTTP/1.1\r\n{AUTHORIZED}"
        "Content-Length: 100000\r\n\r\n".encode()
    )
    writer.write(b"x" * 70_000)
    await asyncio.sleep(0.2)
    writer.close()
    await asyncio.sleep(1)
    assert fleet.history("grades") == []
    guard = fleet.places["grades-1"].node.guard
    assert (guard.admission.running, guard.pool.leased) == (0, 0)
    assert (await fleet.call("grades-1", "/grades/a")).whole


async def test_caller_that_leaves_cancels_the_work(fleet: World) -> None:
    """A caller disconnects while the target works on its request."""
    place = fleet.places["grades-1"]
    place.target.behaviour.work_ms = 5_000
    address = place.settings.listen.callers
    host, port = settings_model.split_address(address)
    _, writer = await asyncio.open_connection(host, port)
    writer.write(f"GET /grades/a HTTP/1.1\r\n{AUTHORIZED}\r\n".encode())
    await asyncio.sleep(0.2)
    assert place.node.guard.admission.running == 1
    writer.close()
    await asyncio.sleep(0.2)
    assert place.node.guard.admission.running == 0
    assert not place.target.connections


async def test_slow_upload_holds_up_no_other_call(fleet: World) -> None:
    """A caller uploads slowly to a target on another node."""
    await fleet.start("permits-1", "permits")
    await fleet.settle()
    chunks = [(0.3, b"x" * 60_000) for _ in range(20)]
    upload = asyncio.create_task(
        fleet.call("permits-1", "/grades/a", method="POST", chunks=chunks)
    )
    await asyncio.sleep(1)
    replies = [await fleet.call("permits-1", "/grades/a") for _ in range(20)]
    assert not upload.done()
    assert all(reply.whole and reply.seconds < 0.1 for reply in replies)
    assert (await upload).whole
    assert max(e["bytes"] for e in fleet.history("grades")) == 20 * 60_000


async def test_large_answer_arrives_completely(fleet: World) -> None:
    place = fleet.places["grades-1"]
    place.target.behaviour.answer_bytes = 1_000_000
    await fleet.start("permits-1", "permits")
    await fleet.settle()
    reply = await fleet.call("permits-1", "/grades/a")
    assert reply.whole
    assert len(reply.body) == 1_000_000


async def test_head_gets_no_body(fleet: World) -> None:
    reply = await fleet.call("grades-1", "/grades/a", method="HEAD")
    assert (reply.status, reply.body) == (200, b"")
    assert (await fleet.call("grades-1", "/grades/a")).whole


@pytest.mark.parametrize("error", [OSError, NotImplementedError, RuntimeError])
async def test_a_connection_that_cannot_linger_is_closed_and_logged(
    error: type[Exception],
) -> None:
    """Guards against an error that is passed over without a line."""
    connection = server.ServerConnection(
        handler=mock.AsyncMock(),
        refuse=mock.Mock(),
        registry=set(),
        loop=asyncio.get_running_loop(),
    )
    transport = mock.Mock()
    transport.write_eof.side_effect = error("gone")
    connection.connection_made(transport)
    with structlog.testing.capture_logs() as lines:
        connection.linger()
    transport.close.assert_called_once_with()
    assert [line["detail"] for line in lines] == ["gone"]
