"""Workspace rates over several nodes: skew, partitions, lost instances."""

from __future__ import annotations

import asyncio

import pytest

from bench import checkers
from currantcart.config import document
from currantcart.node import rates
from tests.fakes.world import World, default_document

RATE, BURST = 90.0, 30.0
NODES = ("grades-1", "grades-2", "grades-3")


@pytest.fixture
async def fleet(world: World) -> World:
    base = default_document()
    limits = document.WorkspaceText(rate=RATE, burst=BURST)
    world.configure(
        base.model_copy(
            update={
                "revision": 2,
                "workspaces": {"mill": limits, "shop": limits},
            }
        )
    )
    for name in NODES:
        await world.start(name, "grades", fleet_instances=3, slots=100)
    await world.settle(6)
    return world


async def send(
    fleet: World, via: tuple[str, ...], *, rate: float, seconds: float,
    key: str = "cck_test",
) -> tuple[list[float], float]:  # fmt: skip
    """Sends calls; returns times of the admitted ones and their share."""
    admitted: list[float] = []
    calls = []
    total = int(rate * seconds)

    async def call(name: str) -> None:
        at = fleet.loop.time() * 1_000
        reply = await fleet.call(name, "/grades/a", key=key)
        assert reply.code in ("", "rate_exceeded")
        if reply.whole:
            admitted.append(at)

    for number in range(total):
        calls.append(asyncio.create_task(call(via[number % len(via)])))
        await asyncio.sleep(1 / rate)
    await asyncio.gather(*calls)
    return admitted, len(admitted) / total


async def test_traffic_at_one_node_uses_the_whole_fleets_rate(
    fleet: World,
) -> None:
    """A workspace sends all its calls through one node, within its rate.

    The node alone has a third of the rate, so it has to borrow tokens.
    """
    admitted, share = await send(fleet, NODES[:1], rate=75, seconds=8)
    assert share > 0.98
    assert checkers.rate_is_kept(admitted, rate=RATE, burst=BURST) == []


async def test_static_share_refuses_most_of_it(
    fleet: World, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(
        rates.Rates, "ask", lambda self, workspace, held, now: None
    )
    _, share = await send(fleet, NODES[:1], rate=75, seconds=8)
    assert share < 0.6


@pytest.mark.parametrize("via", [NODES, NODES[:1], NODES[:2]])
async def test_workspace_at_several_times_its_rate_is_held_to_it(
    fleet: World, via: tuple[str, ...]
) -> None:
    (admitted, _), (_, other) = await asyncio.gather(
        send(fleet, via, rate=400, seconds=5),
        send(fleet, NODES, rate=60, seconds=5, key="cck_test2"),
    )
    assert checkers.rate_is_kept(admitted, rate=RATE, burst=BURST) == []
    assert len(admitted) > 0.8 * RATE * 5
    assert other > 0.98


async def test_partition_and_loss_never_exceed_the_rate(fleet: World) -> None:
    """One node is partitioned from the others, then another one is killed."""
    fleet.loop.cuts.add(frozenset((NODES[0], NODES[1])))
    fleet.loop.cuts.add(frozenset((NODES[0], NODES[2])))
    fleet.loop.drop_connections(NODES[0], NODES[1])
    fleet.loop.drop_connections(NODES[0], NODES[2])
    apart, _ = await send(fleet, NODES, rate=200, seconds=4)
    assert checkers.rate_is_kept(apart, rate=RATE, burst=BURST) == []
    fleet.loop.cuts.clear()
    fleet.loop.kill(NODES[1])
    fleet.loop.kill(f"target-{NODES[1]}")
    await asyncio.sleep(8)
    left = (NODES[0], NODES[2])
    after, share = await send(fleet, left, rate=55, seconds=4)
    assert checkers.rate_is_kept(after, rate=RATE, burst=BURST) == []
    assert share > 0.98


async def test_store_that_is_out_changes_nothing(fleet: World) -> None:
    fleet.store.down = True
    await asyncio.sleep(120)
    _, share = await send(fleet, NODES[:1], rate=75, seconds=4)
    assert share > 0.98
