"""Calls under which targets end, at nodes of the product's own interface."""

from __future__ import annotations

import asyncio

from tests.fakes.world import Place, World

ENDS_MAX = 3
"""Targets that may end under a call before no other one gets it."""
DOWN_SECONDS = 1.5
STEP_SECONDS = 0.002


async def end_targets(world: World, ended: list[str]) -> None:
    """Ends each target that runs a call, and starts it again."""
    seen: dict[str, int] = {}
    while True:
        for name, place in list(world.places.items()):
            runs = len(place.target.history)
            if runs > seen.get(name, 0):
                seen[name] = runs
                ended.append(name)
                await end_target(world, place)
        await asyncio.sleep(STEP_SECONDS)


async def end_target(world: World, place: Place) -> None:
    """Closes a target's port and connections, and opens the port later."""
    host, _, port = place.settings.target.address.rpartition(":")
    address = (host, int(port))
    listening = world.loop.ports.pop(address)
    world.loop.drop_connections(f"target-{place.name}")
    world.loop.call_later(
        DOWN_SECONDS, world.loop.ports.__setitem__, address, listening
    )


async def test_a_call_that_ends_targets_reaches_three_of_them(
    world: World,
) -> None:
    """Guards against a caller whose repeats end one target after another."""
    for number in range(6):
        await world.start(f"grades-{number}", "grades", work_ms=100.0)
    await world.settle()
    ended: list[str] = []
    watcher = asyncio.ensure_future(end_targets(world, ended))
    for _ in range(12):
        await world.call("grades-0", "/grades/fatal")
        await world.settle(0.5)
    watcher.cancel()
    assert len(ended) == ENDS_MAX
