"""What a node knows of its target's warm-up."""

from __future__ import annotations

import math

import pytest

from currantcart.platform import names
from tests.fakes import mesh as fake_mesh


async def cold_service(mesh: fake_mesh.Mesh) -> fake_mesh.Place:
    """Starts a node of a service whose cold targets bear 6.5 a second."""
    mesh.store.operate(names.CONFIG_KEY, fake_mesh.document(2, cold_rate=6.5))
    place = await mesh.add("a")
    await mesh.settle(2.0)
    return place


async def test_a_cold_target_has_the_rate_of_its_service(
    mesh: fake_mesh.Mesh,
) -> None:
    warm_up = (await cold_service(mesh)).node.guard.warm_up
    assert warm_up.rate_limit() == math.inf
    warm_up.set_remaining(500.0)
    assert warm_up.rate_limit() == warm_up.slow_start.limit < math.inf
    await mesh.settle(0.3)
    assert warm_up.remaining_ms() == pytest.approx(200.0)
    await mesh.settle(0.3)
    assert warm_up.rate_limit() == math.inf


async def test_a_target_that_is_assumed_to_be_cold_is_asked(
    mesh: fake_mesh.Mesh,
) -> None:
    place = await cold_service(mesh)
    warm_up = place.node.guard.warm_up
    place.target.cold_ms = 700.0
    warm_up.assume_cold("t-a")
    assert warm_up.assumed_for == "t-a"
    await mesh.settle(0.1)
    assert warm_up.assumed_for is None
    assert 500 < warm_up.remaining_ms() < 700


async def test_a_target_of_an_unknown_service_is_assumed_to_warm_up(
    mesh: fake_mesh.Mesh,
) -> None:
    place = await mesh.add("a", service="other")
    place.node.guard.warm_up.assume_cold("t-a")
    assert place.node.guard.warm_up.remaining_ms() > 0
