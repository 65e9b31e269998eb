"""Targets that state in their answers that they are leaving."""

from __future__ import annotations

from currantcart.platform import names
from tests.fakes import load as load_module
from tests.fakes import mesh as fake_mesh


async def fleet_with(
    mesh: fake_mesh.Mesh, *, targets: int
) -> list[fake_mesh.Place]:
    """Starts nodes with targets of one service."""
    places = [await mesh.add(f"n{number}") for number in range(targets)]
    await mesh.settle(2.0)
    return places


async def test_a_target_that_answers_that_it_leaves_gets_no_more_requests(
    mesh: fake_mesh.Mesh,
) -> None:
    """Its reports still say that it is ready, also after the answer."""
    places = await fleet_with(mesh, targets=3)
    leaving = places[0]
    leaving.target.leaving = True
    load = load_module.Load(mesh)
    await load.run(per_second=100, seconds=1.0)
    arrivals = load_module.record_arrivals(mesh, leaving)
    await mesh.report(leaving)
    await load.run(per_second=100, seconds=3.0)
    assert not arrivals
    assert load.statuses.count(200) == len(load.statuses)


async def test_a_restarted_node_knows_that_its_target_answered_that_it_leaves(
    mesh: fake_mesh.Mesh,
) -> None:
    """The process that passed the answer on ends right after it."""
    places = await fleet_with(mesh, targets=3)
    leaving = places[0]
    leaving.target.leaving = True
    load = load_module.Load(mesh)
    task = mesh.loop.create_task(load.run(per_second=100, seconds=5.0))
    await mesh.settle(0.05)
    arrivals = load_module.record_arrivals(mesh, leaving)
    await mesh.restart(leaving)
    await mesh.report(leaving)
    await mesh.settle(0.5)
    await mesh.report(leaving)
    await task
    assert not arrivals


async def test_an_acknowledged_leave_stated_before_survives_a_power_loss(
    mesh: fake_mesh.Mesh,
) -> None:
    """All nodes end right after the acknowledgement, and none remembers it."""
    (leaving,) = await fleet_with(mesh, targets=1)
    front = await mesh.add("front", service="other")
    await mesh.settle(2.0)
    leaving.target.leaving = True
    assert (await mesh.ask(front, fake_mesh.request())).status == 200
    assert await mesh.report(leaving, state="draining") == 200
    arrivals = load_module.record_arrivals(mesh, leaving)
    for place in (leaving, front):
        mesh.kill(place)
    for place in (leaving, front):
        await mesh.restart(place)
    await load_module.Load(mesh).run(per_second=50, seconds=3.0)
    assert not arrivals


async def test_a_new_incarnation_of_a_target_that_left_is_used(
    mesh: fake_mesh.Mesh,
) -> None:
    mesh.store.operate(names.CONFIG_KEY, fake_mesh.document(2))
    places = await fleet_with(mesh, targets=2)
    left = places[0]
    left.target.leaving = True
    load = load_module.Load(mesh)
    await load.run(per_second=100, seconds=1.0)
    left.target.leaving = False
    left.born += 1
    left.sequence = 0
    arrivals = load_module.record_arrivals(mesh, left)
    await mesh.report(left)
    await load.run(per_second=100, seconds=1.0)
    assert len(arrivals) >= 30
