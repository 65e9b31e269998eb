"""The whole path through real nodes."""

from __future__ import annotations

import asyncio

import pytest

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
