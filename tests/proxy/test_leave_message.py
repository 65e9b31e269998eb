"""Rates of workspaces on the remaining nodes after a node has left."""

from __future__ import annotations

import asyncio

from tests.fakes import mesh as fake_mesh


async def add_three(mesh: fake_mesh.Mesh) -> list[fake_mesh.Place]:
    places = [await mesh.add(name) for name in "abc"]
    await mesh.settle()
    return places


async def test_a_node_that_shuts_down_does_not_count_as_silent(
    mesh: fake_mesh.Mesh,
) -> None:
    """A node that sent a leave message must not reserve a part of the rates.

    Its target was removed for good, and the node was shut down with it.
    """
    remaining, _, leaving = await add_three(mesh)
    await leaving.node.drain()
    await leaving.node.stop()
    for _ in range(12):
        await asyncio.sleep(1.0)
        assert remaining.node.quotas.silent_share == 0.0


async def test_a_killed_node_counts_as_silent(
    mesh: fake_mesh.Mesh,
) -> None:
    """A node that ends without a leave message may be behind a partition."""
    remaining, _, killed = await add_three(mesh)
    mesh.kill(killed)
    await asyncio.sleep(3.0)
    assert remaining.node.quotas.silent_share > 0.3


async def test_a_restarted_node_counts_as_silent_when_killed(
    mesh: fake_mesh.Mesh,
) -> None:
    """The leave message of a node must not apply to its next process."""
    remaining, _, other = await add_three(mesh)
    await other.node.drain()
    await other.node.stop()
    await mesh.restart(other)
    await mesh.settle()
    mesh.kill(other)
    await asyncio.sleep(3.0)
    assert remaining.node.quotas.silent_share > 0.3
