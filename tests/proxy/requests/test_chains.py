"""Calls made by targets, and the requests on whose behalf they are made."""

from __future__ import annotations

from currantcart.admission import slots
from currantcart.call import lineage
from currantcart.proxy.requests import call as call_module
from tests.fakes import mesh as fake_mesh


async def start_request(
    mesh: fake_mesh.Mesh, place: fake_mesh.Place, request_id: str
) -> fake_mesh.Caller:
    """Starts a request that its target does not answer."""
    place.target.script = fake_mesh.silent
    caller = await mesh.connect(place)
    caller.send(fake_mesh.request(request_id=request_id))
    await mesh.settle(0.1)
    assert place.node.guard.queue.running == 1
    return caller


async def start_call(
    mesh: fake_mesh.Mesh, place: fake_mesh.Place, request_id: str
) -> call_module.Call:
    """Makes a call as the target would; returns its state at the node."""
    caller = await mesh.connect(place)
    caller.send(fake_mesh.request("/inner/1", request_id=request_id, key=None))
    await mesh.settle(0.1)
    return next(
        call
        for call in place.node.outbound.calls
        if call.request.request_id == request_id
    )


async def test_a_call_has_the_rank_of_its_root(
    mesh: fake_mesh.Mesh,
) -> None:
    place = await mesh.add("a")
    await mesh.settle()
    await start_request(mesh, place, "9c4")
    root = next(iter(place.node.outbound.calls))
    call = await start_call(mesh, place, "9c4.7b4")
    assert call.lineage == root.lineage
    assert call.request.priority < slots.CALLS_PRIORITY
    assert slots.root_rank(call.request.priority) == root.request.priority


async def test_a_call_of_a_call_has_the_lineage_of_the_root(
    mesh: fake_mesh.Mesh,
) -> None:
    place = await mesh.add("a")
    await mesh.settle()
    await start_request(mesh, place, "9c4")
    root = next(iter(place.node.outbound.calls))
    await start_call(mesh, place, "9c4.7b4")
    deeper = await start_call(mesh, place, "9c4.7b4.a1")
    assert deeper.lineage == root.lineage


async def test_nothing_is_assumed_of_a_call_with_an_id_of_another_form(
    mesh: fake_mesh.Mesh,
) -> None:
    """Guards against trusting an id that no request running here has."""
    place = await mesh.add("a")
    await mesh.settle()
    await start_request(mesh, place, "9c4")
    for request_id in ("e51", "e51.7b4", "9c", "9c45.1"):
        call = await start_call(mesh, place, request_id)
        assert call.lineage == lineage.UNKNOWN
        assert call.request.priority == slots.CALLS_PRIORITY


async def test_calls_made_by_a_retry_count_as_retries(
    mesh: fake_mesh.Mesh,
) -> None:
    """Guards against calls made by a retry that count as first requests."""
    far = await mesh.repeated_run("9c4")
    call = await start_call(mesh, far, "9c4.7b4")
    assert call.lineage.is_retry
    kept = far.node.outbound.retries.budgets["grades"]
    now = far.node.context.now
    assert kept.requests_in_window(now) == 0
    assert kept.retries_in_window(now) == 1
