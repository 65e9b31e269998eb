"""Requests of callers and of targets while a node shuts down."""

from __future__ import annotations

import asyncio
import math

import pytest

from currantcart.platform import names
from currantcart.proxy import shutdown
from tests.fakes import mesh as fake_mesh

STORE_SECONDS = 0.6
"""Time that a slow store takes for a write."""


async def start_place(mesh: fake_mesh.Mesh) -> fake_mesh.Place:
    place = await mesh.add("a")
    await mesh.settle()
    return place


async def test_a_draining_node_finishes_accepted_requests(
    mesh: fake_mesh.Mesh,
) -> None:
    place = await start_place(mesh)
    place.target.work_seconds = 3.0
    caller = await mesh.connect(place)
    caller.send(fake_mesh.request())
    await mesh.settle(0.1)
    draining = mesh.loop.create_task(place.node.drain())
    await mesh.settle(0.1)
    assert not place.node.is_ready()
    reply = await caller.reply()
    assert reply.status == 200
    assert reply.headers["connection"] == "close"
    assert await draining == 0


async def test_late_in_a_shutdown_requests_of_callers_are_rejected(
    mesh: fake_mesh.Mesh,
) -> None:
    """Guards against requests that are cut off when the process ends."""
    place = await start_place(mesh)
    place.target.work_seconds = 3.5
    running = await mesh.connect(place)
    running.send(fake_mesh.request(request_id="before"))
    await mesh.settle(0.1)
    draining = mesh.loop.create_task(place.node.drain())
    await mesh.settle(2.5)
    place.target.work_seconds = 0.01
    reply = await mesh.ask(place, fake_mesh.request(request_id="late"))
    assert reply.status == 503
    assert float(reply.headers["retry-after"]) > 0
    assert (await running.reply()).status == 200
    assert await draining == 0


@pytest.mark.parametrize("keyed", [True, False])
@pytest.mark.parametrize("key", [fake_mesh.KEY, None])
async def test_late_in_a_shutdown_callers_without_a_key_are_rejected(
    mesh: fake_mesh.Mesh, key: str | None, *, keyed: bool
) -> None:
    """Guards against callers that are taken for the target."""
    document = fake_mesh.document(2, keyed=keyed)
    mesh.store.operate(names.CONFIG_KEY, document)
    peer = await mesh.add("b", domain="b")
    place = await start_place(mesh)
    place.target.work_seconds = 3.5
    running = await mesh.connect(place)
    running.send(fake_mesh.request(request_id="before", deadline=3_900))
    await mesh.settle(0.1)
    draining = mesh.loop.create_task(place.node.drain())
    await mesh.settle(2.5)
    place.target.work_seconds = 0.01
    late = fake_mesh.request("/inner/1", request_id="late", key=key)
    reply = await mesh.ask(place, late)
    assert reply.status == 503
    assert float(reply.headers["retry-after"]) > 0
    assert not peer.target.seen
    assert (await running.reply()).status == 200
    assert await draining == 0


@pytest.mark.parametrize(
    ("request_id", "deadline"), [("before.1", 9_000), ("other", 900)]
)
async def test_late_in_a_shutdown_calls_of_the_target_are_accepted(
    mesh: fake_mesh.Mesh, request_id: str, deadline: int
) -> None:
    """Guards against running requests that fail since a call is refused."""
    peer = await mesh.add("b", domain="b")
    place = await start_place(mesh)
    place.target.work_seconds = 3.5
    running = await mesh.connect(place)
    running.send(fake_mesh.request(request_id="before"))
    await mesh.settle(0.1)
    draining = mesh.loop.create_task(place.node.drain())
    await mesh.settle(2.5)
    call = fake_mesh.request(
        "/inner/1", request_id=request_id, deadline=deadline, key=None
    )
    assert (await mesh.ask(place, call)).status == 200
    assert [seen.request_id for seen in peer.target.seen] == [request_id]
    assert (await running.reply()).status == 200
    assert await draining == 0


async def test_at_the_end_of_a_shutdown_requests_are_answered(
    mesh: fake_mesh.Mesh,
) -> None:
    """Guards against connections that are closed without an answer."""
    place = await mesh.add("a", slots=2)
    peer = await mesh.add("b", service="other")
    await mesh.settle()
    place.target.script = fake_mesh.silent
    callers = []
    for name, node in (("ran", place), ("waits", place), ("peers", peer)):
        callers.append(await mesh.connect(node))
        callers[-1].send(
            fake_mesh.request(
                "/pay/1", method="POST", body=b"fee", request_id=name,
                deadline=20_000,
            )
        )  # fmt: skip
        await mesh.settle(0.05)
    for _, _, ticket in place.node.guard.queue.heap:
        ticket.wait_until = math.inf
    for call in place.node.outbound.calls | peer.node.outbound.calls:
        assert call.timer is not None
        call.timer.cancel()
    assert await place.node.drain()
    statuses = [(await caller.reply()).status for caller in callers]
    assert statuses == [502, 503, 503]
    assert [seen.request_id for seen in place.target.seen] == ["ran"]


async def test_a_slow_caller_leaves_the_store_its_time(
    mesh: fake_mesh.Mesh, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a kill at the end of the grace period."""
    place = await start_place(mesh)
    monkeypatch.setattr(place.node.callers, "end", lambda s: asyncio.sleep(s))
    monkeypatch.setattr(
        place.node.registration, "end", lambda: asyncio.sleep(STORE_SECONDS)
    )
    begin = mesh.loop.time()
    await place.node.drain()
    ended_after = mesh.loop.time() - begin
    idle_seconds = shutdown.SERVE_CALLERS_MS / 1e3 + shutdown.TICK_SECONDS
    assert ended_after <= idle_seconds + STORE_SECONDS


@pytest.mark.parametrize("work_seconds", [0.5, 60.0])
async def test_a_silent_store_does_not_keep_a_process_past_its_grace(
    mesh: fake_mesh.Mesh, work_seconds: float
) -> None:
    """Guards against processes that are killed while they end."""
    place = await start_place(mesh)
    place.target.work_seconds = work_seconds
    running = await mesh.connect(place)
    mesh.store.silent = True
    began = mesh.loop.time()
    draining = mesh.loop.create_task(place.node.drain())
    await mesh.settle(1.7)
    running.send(fake_mesh.request(deadline=20_000))
    await draining
    await place.node.stop()
    grace_seconds = place.settings.bounds.grace_seconds
    assert mesh.loop.time() - began < grace_seconds
