"""Calls through complete nodes, and the shutdown of a node."""

from __future__ import annotations

import asyncio
import gc

import pytest

from currantcart.node import drain
from tests.fakes.world import World


@pytest.fixture
async def fleet(world: World) -> World:
    await world.start("grades-1", "grades")
    await world.start("grades-2", "grades")
    await world.start("permits-1", "permits", calls=("/grades/a",))
    await world.settle()
    return world


@pytest.mark.parametrize("via", ["grades-1", "grades-2", "permits-1"])
async def test_any_node_takes_a_call_for_any_service(
    fleet: World, via: str
) -> None:
    reply = await fleet.call(via, "/permits/status")
    assert reply.whole, reply
    assert [entry["id"] for entry in fleet.history("grades")] == [
        reply.request_id
    ]


async def test_many_calls_at_once_each_get_their_own_answer(
    fleet: World,
) -> None:
    replies = await asyncio.gather(
        *(fleet.call("permits-1", "/permits/status") for _ in range(20))
    )
    assert [r.code for r in replies if not r.whole] == []


async def test_no_target_sees_the_key_or_a_forged_header(fleet: World) -> None:
    reply = await fleet.call(
        "grades-1", "/permits/status", Currantcart_Workspace="other"
    )
    assert reply.whole
    entries = fleet.history("permits") + fleet.history("grades")
    assert [entry["leaked"] for entry in entries] == [False, False]


async def test_leaving_node_still_carries_its_targets_own_calls(
    fleet: World,
) -> None:
    """A node is requested to stop while its target is running a call.

    The node must still accept the calls that the target makes for it.
    """
    place = fleet.places["permits-1"]
    place.target.behaviour.work_ms = 500
    call = asyncio.create_task(fleet.call("grades-1", "/permits/status"))
    await asyncio.sleep(0.1)
    place.node.request_stop()
    cut = await drain.drain(place.node)
    assert (await call).whole
    assert cut == 0


async def test_callers_of_a_leaving_node_are_served_meanwhile(
    fleet: World,
) -> None:
    """Callers stay connected to a leaving node and send more calls.

    They must be served, and each answer must close its connection.
    """
    place = fleet.places["grades-1"]
    place.target.behaviour.work_ms = 500
    running = asyncio.create_task(fleet.call("grades-1", "/grades/a"))
    await asyncio.sleep(0.1)
    draining = asyncio.create_task(drain.drain(place.node))
    await asyncio.sleep(0.1)
    replies = [await fleet.call("grades-1", "/grades/a") for _ in range(5)]
    assert all(reply.whole for reply in replies)
    assert {reply.headers.get("Connection") for reply in replies} == {"close"}
    assert (await running).whole
    assert await draining == 0


async def test_calls_leave_nothing_to_the_garbage_collector(
    fleet: World,
) -> None:
    """Reference cycles left by calls would cause long collector pauses.

    A node serves thousands of calls a second.
    """
    calls = 50
    for _ in range(5):
        await fleet.call("permits-1", "/grades/a")
    gc.collect()
    gc.disable()
    try:
        for _ in range(calls):
            await fleet.call("permits-1", "/grades/a")
        # The client in this test leaves a few cycles itself.
        assert gc.collect() < 10 * calls
    finally:
        gc.enable()
