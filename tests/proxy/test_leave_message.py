"""Nodes that leave for good, and the rates of those that stay."""

from __future__ import annotations

import asyncio

from tests.fakes import mesh as fake_mesh


async def three(mesh: fake_mesh.Mesh) -> list[fake_mesh.Place]:
    places = [await mesh.add(name) for name in "abc"]
    await mesh.settle()
    return places


async def test_a_node_that_ends_leaves_its_part_of_the_rates(
    mesh: fake_mesh.Mesh,
) -> None:
    """A target is taken away for good, and its node with it."""
    stays, _, leaves = await three(mesh)
    await leaves.node.drain()
    await leaves.node.stop()
    for _ in range(12):
        await asyncio.sleep(1.0)
        assert stays.node.quotas.silent_share == 0.0


async def test_a_node_that_is_killed_may_yet_live_behind_a_cut(
    mesh: fake_mesh.Mesh,
) -> None:
    stays, _, killed = await three(mesh)
    mesh.kill(killed)
    await asyncio.sleep(3.0)
    assert stays.node.quotas.silent_share > 0.3


async def test_a_node_that_comes_back_counts_again(
    mesh: fake_mesh.Mesh,
) -> None:
    stays, _, other = await three(mesh)
    await other.node.drain()
    await other.node.stop()
    await mesh.restart(other)
    await mesh.settle()
    mesh.kill(other)
    await asyncio.sleep(3.0)
    assert stays.node.quotas.silent_share > 0.3
