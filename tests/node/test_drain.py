"""Calls that are in progress, or come late, while a node leaves."""

from __future__ import annotations

import asyncio

import pytest

from currantcart.node import drain
from tests.fakes.world import Place, World

DRAIN_MS = 4_000
LONG_MS = 30_000
"""Work of a call that is longer than the drain time."""


@pytest.fixture
async def fleet(world: World) -> World:
    """Two nodes; a long call keeps the first from being drained early."""
    await world.start("grades-1", "grades", work_ms=LONG_MS, drain_ms=DRAIN_MS)
    await world.start("permits-1", "permits", work_ms=1_000)
    await world.settle()
    return world


async def stop(place: Place) -> int:
    """Stops a node as its process does; returns the number of calls cut."""
    cut = await drain.drain(place.node)
    await place.node.stop()
    return cut


async def test_late_in_a_drain_callers_are_refused(fleet: World) -> None:
    """Guards against calls that are taken late and cut at the end."""
    running = asyncio.create_task(fleet.call("grades-1", "/grades/a"))
    await asyncio.sleep(0.1)
    draining = asyncio.create_task(drain.drain(fleet.places["grades-1"].node))
    await asyncio.sleep(1.0)
    early = await fleet.call("grades-1", "/permits/a", method="POST")
    assert early.whole
    await asyncio.sleep(1.5)
    late = await fleet.call("grades-1", "/permits/b", method="POST")
    assert late.status == 503
    assert late.code == "draining"
    assert late.headers.get("Currantcart-Not-Run") == "true"
    assert late.headers.get("Connection") == "close"
    assert float(late.headers["Retry-After"]) > 0
    await draining
    await running


@pytest.mark.parametrize("path", ["/grades/a", "/permits/a"])
async def test_at_the_end_of_a_drain_callers_get_an_answer(
    fleet: World, path: str
) -> None:
    """Guards against calls that are passed on and cut without an answer."""
    fleet.places["permits-1"].target.behaviour.work_ms = LONG_MS
    calls = [
        asyncio.create_task(fleet.call("grades-1", path, method=method))
        for method in ("GET", "POST")
    ]
    await asyncio.sleep(0.1)
    draining = asyncio.create_task(stop(fleet.places["grades-1"]))
    replies = await asyncio.gather(*calls)
    assert [reply.status for reply in replies] == [502, 502]
    for reply in replies:
        assert reply.code == "answer_aborted"
        assert reply.headers.get("Currantcart-Not-Run") != "true"
        assert reply.headers.get("Connection") == "close"
    assert await draining > 0
