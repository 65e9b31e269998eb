"""Connections of callers: order, limits, disconnecting."""

from __future__ import annotations

import asyncio
from typing import Any, cast

import pytest

from bench.standins import http_target
from currantcart.proxy.callers import exchange as exchange_module
from tests.fakes import mesh as fake_mesh


class UnsentTransport:
    """A transport whose peer reads nothing."""

    unsent = 1_000_000

    def is_closing(self) -> bool:
        return False

    def get_write_buffer_size(self) -> int:
        return self.unsent

    def pause_reading(self) -> None:
        pass

    def resume_reading(self) -> None:
        pass


async def start_place(mesh: fake_mesh.Mesh) -> fake_mesh.Place:
    place = await mesh.add("a")
    await mesh.settle()
    return place


async def test_pipelined_requests_are_answered_in_order(
    mesh: fake_mesh.Mesh,
) -> None:
    place = await start_place(mesh)
    place.target.script = lambda seen: http_target.sealed(
        seen, body=seen.path.encode()
    )
    caller = await mesh.connect(place)
    for number in range(8):
        caller.send(
            fake_mesh.request(f"/read/{number}", request_id=f"r{number}")
        )
    for number in range(8):
        reply = await caller.reply(number + 1)
        assert reply.body == f"/read/{number}".encode()
    assert place.target.most_running > 1


async def test_a_request_that_is_not_idempotent_waits_for_those_before_it(
    mesh: fake_mesh.Mesh,
) -> None:
    """Guards against a payment that runs twice.

    If the answer before it closes the connection, the caller sends it again.
    """
    place = await start_place(mesh)
    place.target.work_seconds = 0.5
    caller = await mesh.connect(place)
    caller.send(fake_mesh.request(request_id="r1"))
    caller.send(
        fake_mesh.request("/pay/1", method="POST", body=b"fee", request_id="p1")
    )
    await mesh.settle(0.3)
    assert [seen.request_id for seen in place.target.seen] == ["r1"]
    assert (await caller.reply(2)).status == 200


async def test_a_caller_that_disconnects_cancels_its_request(
    mesh: fake_mesh.Mesh,
) -> None:
    front = await mesh.add("b", service="other")
    place = await start_place(mesh)
    place.target.work_seconds = 3.0
    for side in (front, place):
        caller = await mesh.connect(side)
        caller.send(fake_mesh.request())
        await mesh.settle(0.2)
        assert place.target.running == 1
        caller.leave()
        await mesh.settle(0.2)
        assert place.target.running == 0
        assert place.node.guard.queue.running == 0


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (fake_mesh.request("/none/1"), 404),
        (fake_mesh.request(key="wrong"), 401),
        (fake_mesh.request(key=None), 401),
        (fake_mesh.request("/inner/1", key=None), 200),
        (fake_mesh.request(extra=f"X-Long: {'x' * 5_000}\r\n"), 431),
        (fake_mesh.request(extra="Host: two.example\r\n"), 400),
        (b"NONSENSE\r\n\r\n", 400),
        (
            fake_mesh.request("/pay/1", method="POST", body=b"x" * 1_000_001),
            413,
        ),
        (
            fake_mesh.request(
                method="POST",
                extra="Content-Length: 3\r\nTransfer-Encoding: chunked\r\n",
            ),
            400,
        ),
    ],
)
async def test_requests_get_the_status_of_their_checks(
    mesh: fake_mesh.Mesh, data: bytes, status: int
) -> None:
    place = await start_place(mesh)
    assert (await mesh.ask(place, data)).status == status
    assert len(place.target.seen) == (status == 200)


async def test_a_forged_workspace_does_not_reach_the_target(
    mesh: fake_mesh.Mesh,
) -> None:
    place = await start_place(mesh)
    await mesh.ask(
        place,
        fake_mesh.request(
            "/inner/1",
            extra="Currantcart-Tenant: victim\r\n"
            "Currantcart-Caller-Service: victim\r\n"
            "Connection: X-Hop\r\nX-Hop: 1\r\nX-Kept: 2\r\n",
        ),
    )
    headers = place.target.seen[0].headers
    assert "currantcart-tenant" not in headers
    assert headers["currantcart-caller-service"] == "grades"
    assert "x-hop" not in headers
    assert headers["x-kept"] == "2"


async def test_a_chunked_body_is_received_completely(
    mesh: fake_mesh.Mesh,
) -> None:
    place = await start_place(mesh)
    caller = await mesh.connect(place)
    caller.send(
        fake_mesh.request(
            "/pay/1", method="POST", extra="Transfer-Encoding: chunked\r\n"
        )
    )
    for part in (b"3\r\nabc\r\n", b"4\r\ndefg\r\n", b"0\r\n\r\n"):
        caller.send(part)
        await mesh.settle(0.05)
    assert (await caller.reply()).status == 200
    assert place.target.seen[0].body == b"abcdefg"


async def test_a_trailer_field_is_not_a_header(mesh: fake_mesh.Mesh) -> None:
    """Guards against an API key in a trailer field.

    The parser reports fields after a chunked body like headers.
    """
    place = await start_place(mesh)
    caller = await mesh.connect(place)
    caller.send(
        fake_mesh.request(
            "/pay/1",
            method="POST",
            key=None,
            extra="Transfer-Encoding: chunked\r\n",
        )
        + b"1\r\na\r\n0\r\nApi-Key: key-one\r\n\r\n"
    )
    assert (await caller.reply()).status == 401


async def test_a_connection_with_a_slow_head_is_closed(
    mesh: fake_mesh.Mesh,
) -> None:
    place = await start_place(mesh)
    caller = await mesh.connect(place)
    caller.send(b"GET /read/1 HTTP/1.1\r\nHost: ")
    await mesh.settle(4.0)
    assert caller.ended


async def test_an_idle_connection_is_kept_for_its_idle_time_out(
    mesh: fake_mesh.Mesh,
) -> None:
    place = await start_place(mesh)
    caller = await mesh.connect(place)
    caller.send(fake_mesh.request())
    await caller.reply()
    await mesh.settle(13.0)
    caller.send(fake_mesh.request(request_id="r2"))
    assert (await caller.reply(2)).status == 200
    await mesh.settle(17.0)
    assert caller.ended


async def test_what_a_slow_caller_has_not_read_is_held(
    mesh: fake_mesh.Mesh,
) -> None:
    """Guards against answers in write buffers that no limit knows of."""
    place = await start_place(mesh)
    held = place.node.context.held
    caller = await mesh.connect(place)
    (connection,) = place.node.callers.connections
    transport = cast(asyncio.Transport, UnsentTransport())
    connection.transport = transport
    connection.pause_writing()
    assert held.held == UnsentTransport.unsent
    connection.resume_writing()
    assert held.held == 0
    connection.pause_writing()
    connection.connection_lost(None)
    assert held.held == 0
    caller.leave()


async def test_no_request_starts_behind_an_answer_that_closes(
    mesh: fake_mesh.Mesh, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against requests that run although their caller was cut off."""
    place = await start_place(mesh)
    callers = place.node.callers
    routed: list[exchange_module.Exchange] = []

    def route(exchange: exchange_module.Exchange) -> None:
        routed.append(exchange)
        if len(routed) == 2:
            routed[0].close = True
            routed[0].set_answer(503, b"", b"")

    monkeypatch.setattr(callers, "route", route)
    caller = await mesh.connect(place)
    caller.send(
        b"".join(
            fake_mesh.request(request_id=f"r{number}") for number in range(3)
        )
    )
    assert (await caller.reply()).status == 503
    assert [item.head.request_id for item in routed] == ["r0", "r1"]


@pytest.mark.parametrize(
    ("start", "status"),
    [
        (b"GET /read/1", 431),
        (b"GET /read/1 HTTP/1.1\r\nX-Line: ", 431),
        (
            b"POST /pay/1 HTTP/1.1\r\nHost: shop.example\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX-Trailer: ",
            400,
        ),
    ],
    ids=["path", "header line", "trailer"],
)
async def test_a_head_or_trailer_without_end_is_rejected_at_once(
    mesh: fake_mesh.Mesh, start: bytes, status: int
) -> None:
    """Guards against callers whose incomplete lines use up the memory."""
    place = await start_place(mesh)
    caller = await mesh.connect(place)
    caller.send(start)
    sent_bytes = 0
    while not caller.replies and sent_bytes < 1_000_000:
        caller.send(b"x" * 16_384)
        sent_bytes += 16_384
        await mesh.settle(0.01)
    assert caller.replies[0].status == status
    assert sent_bytes < 256 * 1024


async def test_a_connection_that_stalls_within_a_body_is_closed(
    mesh: fake_mesh.Mesh,
) -> None:
    """Guards against stalled callers that use up the memory.

    The received part of each body is kept in memory.
    """
    place = await start_place(mesh)
    caller = await mesh.connect(place)
    caller.send(
        fake_mesh.request(
            "/pay/1", method="POST", extra="Content-Length: 1000\r\n"
        )
        + b"x" * 500
    )
    await mesh.settle(17.0)
    assert caller.ended
    assert place.node.context.held.held == 0


async def test_connection_options_do_not_affect_other_connections(
    mesh: fake_mesh.Mesh,
) -> None:
    """Guards against connection options that are shared by connections.

    A caller names a header in its Connection header and never completes the
    head.
    """
    place = await start_place(mesh)
    broken = await mesh.connect(place)
    broken.send(b"GET /inner/1 HTTP/1.1\r\nConnection: X-Kept\r\nHost: ")
    await mesh.settle(0.1)
    await mesh.ask(place, fake_mesh.request("/inner/1", extra="X-Kept: 2\r\n"))
    assert place.target.seen[0].headers["x-kept"] == "2"


async def test_rejected_callers_on_new_connections_leave_room_for_others(
    mesh: fake_mesh.Mesh,
) -> None:
    """Guards against rejected callers that use up the connections.

    They retry on new connections and keep the old ones open.
    """
    place = await start_place(mesh)
    limit = place.node.callers.bound.limit = 20
    for number in range(3 * limit):
        caller = await mesh.connect(place)
        caller.send(fake_mesh.request(key="none", request_id=f"r{number}"))
        assert (await caller.reply()).status == 401
    assert len(place.node.callers.connections) < limit
    assert (await mesh.ask(place, fake_mesh.request())).status == 200


async def test_a_new_connection_evicts_an_idle_one_and_not_a_busy_one(
    mesh: fake_mesh.Mesh,
) -> None:
    """All connections that callers may have are open, one of them busy."""
    place = await start_place(mesh)
    place.target.work_seconds = 1.0
    limit = place.node.callers.bound.limit = 10
    busy = await mesh.connect(place)
    busy.send(fake_mesh.request())
    await mesh.settle(0.1)
    idle = [await mesh.connect(place) for _ in range(limit + 2)]
    await mesh.settle(0.1)
    assert [caller.ended for caller in idle[:4]] == [True] * 3 + [False]
    assert len(place.node.callers.connections) == limit
    assert (await busy.reply()).status == 200


async def test_request_whose_checks_fail_is_answered(
    mesh: fake_mesh.Mesh, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a connection that waits for ever after an error."""
    place = await start_place(mesh)
    mesh.loop.set_exception_handler(lambda loop, details: None)
    checks = place.node.callers.intake
    check = checks.check

    def fail_once(*args: Any, **kwargs: Any) -> Any:
        monkeypatch.setattr(checks, "check", check)
        raise ValueError("odd value")

    monkeypatch.setattr(checks, "check", fail_once)
    caller = await mesh.connect(place)
    caller.send(fake_mesh.request() + fake_mesh.request(request_id="r2"))
    async with asyncio.timeout(20.0):
        first, second = await caller.reply(1), await caller.reply(2)
    assert (first.status, first.body) == (503, b"internal_error\n")
    assert second.status == 200
    assert [item.path for item in place.target.seen] == ["/read/1"]


@pytest.mark.parametrize("part", ["set_lineage", "dispatch"])
async def test_request_whose_routing_fails_is_answered(
    mesh: fake_mesh.Mesh,
    monkeypatch: pytest.MonkeyPatch,
    part: str,
) -> None:
    """Guards against a request that a shutdown waits for after an error."""
    place = await start_place(mesh)
    mesh.loop.set_exception_handler(lambda loop, details: None)

    def fail(*args: object) -> None:
        raise ValueError("odd value")

    monkeypatch.setattr(place.node.outbound, part, fail)
    caller = await mesh.connect(place)
    caller.send(fake_mesh.request("/pay/1", method="POST"))
    async with asyncio.timeout(20.0):
        assert (await caller.reply()).status == 503
    assert not place.node.outbound.calls


async def test_request_that_fails_after_it_was_sent_has_unknown_outcome(
    mesh: fake_mesh.Mesh, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a second run of a request that may have run."""
    place = await start_place(mesh)
    # Opens the connection to the target that the next request is sent on.
    assert (await mesh.ask(place, fake_mesh.request())).status == 200
    mesh.loop.set_exception_handler(lambda loop, details: None)
    hand_to_local = place.node.outbound.attempts.hand_to_local

    def hand_over_and_fail(*args: Any) -> None:
        hand_to_local(*args)
        raise ValueError("odd value")

    monkeypatch.setattr(
        place.node.outbound.attempts, "hand_to_local", hand_over_and_fail
    )
    caller = await mesh.connect(place)
    caller.send(fake_mesh.request("/pay/1", method="POST"))
    async with asyncio.timeout(20.0):
        reply = await caller.reply()
    assert reply.status == 502
    assert not place.node.outbound.calls


async def test_flood_of_small_requests_is_parsed_as_they_are_answered(
    mesh: fake_mesh.Mesh,
) -> None:
    """Guards against memory that a pipeline of short requests exhausts."""
    place = await start_place(mesh)
    held: list[http_target.Seen] = []
    place.target.script = held.append
    caller = await mesh.connect(place)
    count = 5_000
    caller.send(
        fake_mesh.request("/pay/1", method="POST")
        + b"GET / HTTP/1.1\r\nHost: x\r\n\r\n" * count
    )
    await mesh.settle(0.2)
    (connection,) = place.node.callers.connections
    assert len(connection.exchanges) < 200
    assert connection.paused
    unread = len(connection.unread)
    assert place.node.context.held.held >= unread > 100_000
    async with asyncio.timeout(20.0):
        last = await caller.reply(count + 1)
    assert last.status == 404
    assert not connection.paused
    assert place.node.context.held.held == 0
    caller.leave()


async def test_unread_requests_of_a_caller_that_left_are_released(
    mesh: fake_mesh.Mesh,
) -> None:
    """Guards against bytes that stay on the account of a lost connection."""
    place = await start_place(mesh)
    place.target.script = fake_mesh.silent
    caller = await mesh.connect(place)
    caller.send(
        fake_mesh.request("/pay/1", method="POST")
        + b"GET / HTTP/1.1\r\nHost: x\r\n\r\n" * 5_000
    )
    await mesh.settle(0.2)
    assert place.node.context.held.held > 0
    caller.leave()
    await mesh.settle(0.2)
    assert place.node.context.held.held == 0
    assert not place.node.callers.connections
