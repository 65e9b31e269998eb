"""Requests that wait until a target is known."""

from __future__ import annotations

import asyncio

import pytest

from tests.fakes import mesh as fake_mesh


async def test_error_of_a_waiting_request_leaves_the_others(
    mesh: fake_mesh.Mesh, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against waiting requests that are lost by an error of one."""
    place = await mesh.add("a", report=False)
    await mesh.settle()
    mesh.loop.set_exception_handler(lambda loop, details: None)
    callers = [await mesh.connect(place) for _ in range(2)]
    for number, caller in enumerate(callers):
        caller.send(fake_mesh.request(request_id=f"r{number}"))
    await asyncio.sleep(0.005)
    pending = place.node.outbound.pending
    assert len(pending.pending) == 2
    dispatch = pending.dispatch

    def fail_once(*args: object) -> None:
        monkeypatch.setattr(pending, "dispatch", dispatch)
        raise ValueError("odd value")

    monkeypatch.setattr(pending, "dispatch", fail_once)
    await mesh.report(place)
    async with asyncio.timeout(2.0):
        assert (await callers[0].reply()).status == 503
        assert (await callers[1].reply()).status == 200
