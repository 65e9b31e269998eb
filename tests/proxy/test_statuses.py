"""The target's state in the statuses of its node."""

from __future__ import annotations

import pytest

from tests.fakes import mesh as fake_mesh


@pytest.mark.parametrize("change", ["leave", "restart", "refuse"])
async def test_a_change_of_the_target_is_in_the_next_status(
    mesh: fake_mesh.Mesh, change: str
) -> None:
    """Guards against a cached state that outlives a change of life cycle."""
    place = await mesh.add("a")
    await mesh.settle(1.0)
    node = place.node
    statuses, guard = node.statuses, node.guard
    before = statuses.target_state(mesh.clock.now())
    assert before.ready
    if change == "leave":
        guard.mark_target_leaving()
    elif change == "restart":
        guard.born += 1
    else:
        guard.mark_unreachable(refused=True)
    after = statuses.target_state(mesh.clock.now())
    assert (after.ready, after.leaving, after.born) == (
        guard.is_open,
        not guard.ready,
        guard.born,
    )
    assert after != before


async def test_a_target_that_leaves_while_it_is_down_is_reported(
    mesh: fake_mesh.Mesh,
) -> None:
    place = await mesh.add("a")
    await mesh.settle(1.0)
    place.node.guard.mark_unreachable(refused=True)
    now = mesh.clock.now()
    assert not place.node.statuses.target_state(now).leaving
    place.node.guard.mark_target_leaving()
    assert place.node.statuses.target_state(now).leaving
