"""Overload of a target as its node reports it."""

from __future__ import annotations

import math

from currantcart.admission import slots, target_rate
from currantcart.proxy.targets import job as job_module
from currantcart.proxy.targets import overload
from tests.fakes import mesh as fake_mesh


async def overload_of(
    mesh: fake_mesh.Mesh, rate: target_rate.TargetRate
) -> overload.Overload:
    """Returns the overload of a target, with all refused in this step."""
    context = (await mesh.add("a")).node.context
    queue: slots.SlotQueue[job_module.Job] = slots.SlotQueue(rate)
    queue.configure(10)
    measured = overload.Overload(context, queue=queue)
    measured.gauge.count_offer(refused=True)
    return measured


async def test_refusals_raise_the_level_of_a_target_in_use(
    mesh: fake_mesh.Mesh,
) -> None:
    measured = await overload_of(mesh, target_rate.TargetRate())
    assert measured.update(in_use=True)
    assert measured.pressure()["grades"] > 0


async def test_a_target_that_gets_no_requests_shows_no_overload(
    mesh: fake_mesh.Mesh,
) -> None:
    measured = await overload_of(mesh, target_rate.TargetRate())
    assert not measured.update(in_use=False)
    assert not measured.pressure()


async def test_a_target_before_its_first_answer_shows_no_overload(
    mesh: fake_mesh.Mesh,
) -> None:
    measured = await overload_of(mesh, target_rate.unknown())
    assert not measured.update(in_use=True)
    assert not measured.pressure()


async def test_a_target_at_its_rate_has_nothing_to_spare(
    mesh: fake_mesh.Mesh,
) -> None:
    rate = target_rate.TargetRate()
    measured = await overload_of(mesh, rate)
    assert measured.utilization() == 0.0
    rate.set_limit(5.0, measured.context.now)
    assert measured.utilization() == 1.0
    rate.set_limit(math.inf, measured.context.now)
    assert measured.utilization() == 0.0


async def test_objectives_are_averaged(mesh: fake_mesh.Mesh) -> None:
    measured = await overload_of(mesh, target_rate.TargetRate())
    for _ in range(500):
        measured.record_objective(1_200.0)
    assert 1_190 < measured.objective_ms < 1_200
