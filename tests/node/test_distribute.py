"""The configuration reaches all nodes, and its revision never decreases."""

from __future__ import annotations

import asyncio
import collections
import random

import pytest

from currantcart.config import document
from currantcart.membership import model
from currantcart.node import distribute
from tests.fakes.store import MemoryStore
from tests.fakes.world import KEY, World, default_document
from tests.membership.test_detector import own


def without_key(revision: int) -> document.Document:
    """Returns the default configuration with the first key withdrawn."""
    base = default_document()
    return base.model_copy(
        update={"revision": revision, "keys": {"k2": base.keys["k2"]}}
    )


@pytest.fixture
async def fleet(world: World) -> World:
    for number in range(1, 6):
        await world.start(f"grades-{number}", "grades")
    await world.settle()
    return world


def revisions(fleet: World) -> list[int]:
    return [p.node.context.config.revision for p in fleet.places.values()]


async def test_withdrawn_key_stops_on_connected_callers(fleet: World) -> None:
    """A key is withdrawn while its caller stays connected."""
    assert (await fleet.call("grades-1", "/grades/a")).whole
    fleet.configure(without_key(2))
    await asyncio.sleep(2)
    replies = [await fleet.call(name, "/grades/a") for name in fleet.places]
    assert {reply.code for reply in replies} == {"key_unknown"}
    other = await fleet.call("grades-1", "/grades/a", key=f"{KEY}2")
    assert other.whole


async def test_call_that_waits_does_not_outlive_its_key(fleet: World) -> None:
    """A key is withdrawn while one of its calls waits for a slot."""
    for place in fleet.places.values():
        place.node.guard.admission.limit.value = 1
        place.target.behaviour.work_ms = 1_500
    calls = [
        asyncio.create_task(fleet.call("grades-1", "/grades/a"))
        for _ in range(8)
    ]
    await asyncio.sleep(0.1)
    fleet.configure(without_key(2))
    replies = await asyncio.gather(*calls)
    ran = {entry["id"] for entry in fleet.history("grades")}
    busy = [p for p in fleet.places.values() if p.target.history]
    assert len(ran) == len(busy) < len(replies)
    assert {r.code for r in replies if r.request_id in ran} == {""}
    late = {r.code for r in replies if r.request_id not in ran}
    assert late == {"key_unknown"}


async def test_older_store_changes_nothing(fleet: World) -> None:
    """The store is restored from an older backup."""
    fleet.configure(without_key(7))
    await asyncio.sleep(3)
    fleet.configure(without_key(3))
    await asyncio.sleep(15)
    assert revisions(fleet) == [7] * 5


async def test_restarted_node_takes_it_from_peers(fleet: World) -> None:
    """A node starts while the store is down."""
    fleet.store.down = True
    await fleet.start("permits-1", "permits")
    await asyncio.sleep(3)
    assert revisions(fleet) == [1] * 6


async def test_node_with_neither_store_nor_peers_serves_nothing(
    world: World,
) -> None:
    world.store.down = True
    await world.start("grades-1", "grades")
    await asyncio.sleep(3)
    reply = await world.call("grades-1", "/grades/a")
    assert (reply.status, reply.code) == (503, "not_ready")
    assert reply.fields["not_run"]


async def test_background_task_that_fails_runs_again(
    fleet: World, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A bug raises an exception in the task that watches the store."""
    faults = iter([True, True])
    watch_once = distribute.Distributor.watch_once

    async def failing(self: distribute.Distributor) -> None:
        if next(faults, False):
            raise TypeError("a fault")
        await watch_once(self)

    monkeypatch.setattr(distribute.Distributor, "watch_once", failing)
    fleet.configure(without_key(2))
    await asyncio.sleep(20)
    assert revisions(fleet) == [2] * 5


def test_watchers_do_not_grow_with_the_fleet() -> None:
    for count in (1, 10, 300):
        members = [own(number) for number in range(count)]
        watchers = [m for m in members if distribute.is_watcher(m, members)]
        assert len(watchers) == min(count, distribute.WATCHERS_PER_DOMAIN)


def test_dead_watcher_is_followed_by_the_next() -> None:
    members = [own(number) for number in range(10)]
    random.Random(1).shuffle(members)
    first = next(m for m in members if distribute.is_watcher(m, members))
    rest = [m for m in members if m is not first]
    gone = [
        model.Member(**{**{f: getattr(first, f) for f in first.__slots__},
                        "status": model.Status.DEAD})
    ]  # fmt: skip
    watchers = [m for m in rest if distribute.is_watcher(m, rest + gone)]
    assert len(watchers) == distribute.WATCHERS_PER_DOMAIN


async def test_isolated_node_stops_within_a_bound(fleet: World) -> None:
    """A key is withdrawn while a node reaches neither peers nor the store.

    The node must stop accepting keys, and must not accept the withdrawn key
    once it is connected again.
    """
    names = list(fleet.places)
    node = fleet.places[names[0]].node
    for other in names[1:]:
        fleet.loop.cuts.add(frozenset((names[0], other)))
        fleet.loop.drop_connections(names[0], other)
    node.distributor.store = MemoryStore()
    node.distributor.store.down = True
    fleet.configure(without_key(2))
    await asyncio.sleep(20)
    assert (await fleet.call(names[0], "/grades/a")).code == "not_ready"
    assert (await fleet.call(names[1], "/grades/a")).code == "key_unknown"
    fleet.loop.cuts.clear()
    await asyncio.sleep(20)
    assert (await fleet.call(names[0], "/grades/a")).code == "key_unknown"
    reply = await fleet.call(names[0], "/grades/a", key=f"{KEY}2")
    assert reply.whole


async def test_only_node_outlasts_an_outage_of_the_store(world: World) -> None:
    await world.start("grades-1", "grades")
    await world.settle()
    world.store.down = True
    await asyncio.sleep(300)
    assert (await world.call("grades-1", "/grades/a")).whole


async def test_long_queue_of_a_withdrawn_key_ends_at_once(
    world: World,
) -> None:
    """A key is withdrawn while nearly 1000 of its calls wait in a queue.

    Each refused call frees a slot for the next one; if that one were started
    by a nested call, the recursion limit would be exceeded.
    """
    place = await world.start("grades-1", "grades", slots=100, work_ms=500)
    await world.settle()
    admission = place.node.guard.admission
    admission.limit.value = admission.limit.slots = 1.0
    admission.capacity = 2_000
    calls = [
        asyncio.create_task(world.call("grades-1", "/grades/a"))
        for _ in range(990)
    ]
    await asyncio.sleep(0.1)
    assert admission.queue.size > 950
    world.configure(without_key(2))
    replies = await asyncio.gather(*calls)
    codes = collections.Counter(reply.code for reply in replies)
    assert codes == {"": 1, "key_unknown": 989}
