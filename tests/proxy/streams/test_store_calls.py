"""Number of calls to the store when many nodes start or it is unavailable."""

from __future__ import annotations

from currantcart.platform import names
from currantcart.proxy.streams import registration
from tests.fakes import mesh as fake_mesh

FLEET = 16


async def fleet(mesh: fake_mesh.Mesh, count: int = FLEET) -> None:
    """Starts nodes in four failure domains."""
    for number in range(count):
        await mesh.add(f"n{number:02}", domain="abcd"[number % 4])


async def test_nodes_that_start_before_the_configuration_share_their_polls(
    mesh: fake_mesh.Mesh,
) -> None:
    """Otherwise all nodes poll for a configuration that isn't written yet."""
    mesh.store.items.clear()
    await fleet(mesh)
    await mesh.settle(1.0)
    mesh.store.operate(names.CONFIG_KEY, fake_mesh.document(1))
    await mesh.settle(1.0)
    assert all(place.node.is_ready() for place in mesh.places.values())
    assert mesh.store.made("get") <= 2 * FLEET


async def test_a_node_that_restarts_gets_the_configuration_from_a_peer(
    mesh: fake_mesh.Mesh,
) -> None:
    """Otherwise each start in a rolling restart reads it from the store."""
    await fleet(mesh, 6)
    await mesh.settle(2.0)
    place = mesh.places["n05"]
    before = mesh.store.made("get", by="n05")
    await mesh.restart(place)
    await mesh.settle(0.3)
    assert place.node.context.freshness.version == 1
    assert mesh.store.made("get", by="n05") == before


async def test_nodes_that_all_restart_get_the_configuration_soon(
    mesh: fake_mesh.Mesh,
) -> None:
    """All machines lose power at the same time."""
    await fleet(mesh)
    await mesh.settle(2.0)
    before = mesh.store.made("get")
    for place in mesh.places.values():
        mesh.kill(place)
    for place in mesh.places.values():
        await mesh.restart(place)
    await mesh.settle(1.0)
    assert all(place.node.is_ready() for place in mesh.places.values())
    assert mesh.store.made("get") - before <= FLEET / 2


async def test_an_unavailable_store_is_polled_by_few(
    mesh: fake_mesh.Mesh,
) -> None:
    """Otherwise every node polls such a store twice in three seconds."""
    await fleet(mesh, 48)
    await mesh.settle(4.0)
    before = mesh.store.made("get")
    mesh.store.refusing = True
    await mesh.settle(9.0)
    mesh.store.refusing = False
    assert mesh.store.made("get") - before <= 9 * 48 / 2.5
    await mesh.settle(2.5)
    for place in mesh.places.values():
        known = place.node.context.freshness
        assert known.age(mesh.clock.now()) < 2_500


async def test_the_first_of_each_failure_domain_come_before_the_second(
    mesh: fake_mesh.Mesh,
) -> None:
    """The failure domain whose names sort first may be cut off."""
    for domain in "abc":
        for number in range(4):
            await mesh.add(f"{domain}{number}", domain=domain)
    await mesh.settle(6.0)
    ranks = {
        name: place.node.peers.rank() for name, place in mesh.places.items()
    }
    assert sorted(ranks, key=ranks.__getitem__) == [
        f"{domain}{number}" for number in range(4) for domain in "abc"
    ]
    assert sorted(ranks.values()) == list(range(12))


async def test_a_node_that_restarts_reuses_its_lease(
    mesh: fake_mesh.Mesh,
) -> None:
    """Otherwise a rolling restart grants a lease and writes twice per node."""
    await fleet(mesh, 6)
    await mesh.settle(2.0)
    place = mesh.places["n05"]
    before = {
        kind: mesh.store.made(kind, by="n05")
        for kind in ("list", "grant", "put", "keep")
    }
    await mesh.restart(place)
    await mesh.report(place)
    await mesh.settle(1.0)
    made = {
        kind: mesh.store.made(kind, by="n05") - count
        for kind, count in before.items()
    }
    assert made == {"list": 0, "grant": 0, "put": 1, "keep": 1}
    assert place.node.guard.target_id == place.target.target_id


async def test_a_stale_read_does_not_restore_a_target_that_is_leaving(
    mesh: fake_mesh.Mesh,
) -> None:
    """A starting node reads an entry from before its target's leave report."""
    front = await mesh.add("a", service="other")
    back = await mesh.add("b")
    await mesh.settle()
    mesh.store.older = dict(mesh.store.items)
    await mesh.report(back, state="draining")
    for place in (front, back):
        mesh.kill(place)
    for place in (front, back):
        await mesh.restart(place)
    await mesh.settle(0.6)
    back.target.seen.clear()
    await mesh.report(back, sequence=1)
    assert (await mesh.ask(front, fake_mesh.request())).status == 503
    assert not back.target.seen


async def test_an_expired_entry_does_not_restore_a_target(
    mesh: fake_mesh.Mesh,
) -> None:
    """A stale read returns an entry whose lease has since expired."""
    place = await mesh.add("a")
    await mesh.settle()
    mesh.store.older = dict(mesh.store.items)
    mesh.kill(place)
    mesh.store.lapse()
    await mesh.restart(place)
    await mesh.settle(0.6)
    assert not place.node.guard.target_id
    assert (await mesh.report(place)) == 200
    assert place.node.guard.target_id == place.target.target_id


async def test_a_write_does_not_delay_the_renewal_of_the_lease(
    mesh: fake_mesh.Mesh,
) -> None:
    """The lease would expire while a target changes often, with many writes."""
    place = await mesh.add("a")
    await mesh.settle()
    before = mesh.store.made("keep")
    for _ in range(10):
        place.node.registration.mark_dirty()
        await mesh.settle(1.0)
    slowest = registration.RENEW_MS + registration.RETRY_MS
    assert mesh.store.made("keep") - before >= 10_000 // slowest


async def test_nodes_that_all_restart_dial_each_other_once(
    mesh: fake_mesh.Mesh,
) -> None:
    """The store still lists the previous processes of all peers."""
    await fleet(mesh)
    await mesh.settle(4.0)
    for place in mesh.places.values():
        mesh.kill(place)
    mesh.lines.clear()
    for place in mesh.places.values():
        await mesh.restart(place)
    await mesh.settle(2.0)
    lost = [line for line in mesh.lines if "event=link_lost" in line]
    assert not lost
    for place in mesh.places.values():
        peers = place.node.peers.by_instance.values()
        assert len(peers) == FLEET - 1
        assert all(peer.outgoing and peer.incoming for peer in peers)


async def test_an_unavailable_store_is_called_once_a_second_per_node(
    mesh: fake_mesh.Mesh,
) -> None:
    """Otherwise each step makes every call that is due, and fails at each."""
    await fleet(mesh)
    await mesh.settle(4.0)
    kinds = ("keep", "put", "grant", "list", "list_stale")
    mesh.store.refusing = True
    mesh.store.lapse()
    before = mesh.store.made(*kinds)
    await mesh.settle(12.0)
    assert mesh.store.made(*kinds) - before <= FLEET * 12
    mesh.store.refusing = False
    await mesh.settle(2.0)
    named = [key for key in mesh.store.items if "/nodes/" in key]
    assert len(named) == FLEET
