"""Dissemination of a configuration between nodes."""

from __future__ import annotations

from currantcart.platform import names
from currantcart.proxy.streams import frames, link
from tests.fakes import mesh as fake_mesh


class Received:
    """Configurations that nodes received, with the senders' failure domains."""

    def __init__(self, *places: fake_mesh.Place) -> None:
        self.by_name: dict[str, list[str]] = {}
        for place in places:
            self.watch(place)

    def watch(self, place: fake_mesh.Place) -> None:
        """Records what a node receives from now on."""
        received: list[str] = []
        self.by_name[place.name] = received
        inner = place.node.peers.on_config

        def on_config(item: link.Link, config: frames.Config) -> None:
            assert item.peer is not None
            received.append(item.peer.failure_domain)
            inner(item, config)

        place.node.peers.on_config = on_config

    def crossing(self, mesh: fake_mesh.Mesh) -> int:
        """Returns how many came from another failure domain."""
        return sum(
            domain != mesh.places[name].settings.failure_domain
            for name, received in self.by_name.items()
            for domain in received
        )


async def domains(mesh: fake_mesh.Mesh, each: int) -> list[fake_mesh.Place]:
    """Starts some nodes in each of three failure domains."""
    places = [
        await mesh.add(f"{domain}{number}", domain=domain)
        for domain in "abc"
        for number in range(each)
    ]
    await mesh.settle(6.0)
    return places


def versions(mesh: fake_mesh.Mesh) -> set[int]:
    return {
        place.node.context.freshness.version for place in mesh.places.values()
    }


async def test_a_started_node_is_sent_the_configuration_by_one_peer(
    mesh: fake_mesh.Mesh,
) -> None:
    """Otherwise every peer sends a large configuration to a starting node."""
    places = await domains(mesh, 3)
    await mesh.restart(places[4])
    received = Received(places[4])
    await mesh.settle(1.0)
    assert received.by_name["b1"] == ["b"]


async def test_a_change_crosses_into_a_failure_domain_at_two_nodes(
    mesh: fake_mesh.Mesh,
) -> None:
    """Otherwise the node that reads from the store sends it to every node."""
    places = await domains(mesh, 5)
    received = Received(*places)
    mesh.store.operate(names.CONFIG_KEY, fake_mesh.document(5))
    await mesh.settle(0.2)
    assert versions(mesh) == {5}
    assert received.crossing(mesh) <= 2 * 2 + 2


async def test_a_change_reaches_a_domain_whose_first_nodes_are_cut_off(
    mesh: fake_mesh.Mesh,
) -> None:
    """The nodes through which a version would enter have just become silent."""
    places = await domains(mesh, 5)
    lost = ("b0", "b1")
    mesh.loop.cut_off(*lost, others=mesh.places)
    mesh.store.operate(names.CONFIG_KEY, fake_mesh.document(5))
    await mesh.settle(1.0)
    for place in places:
        if place.name not in lost:
            assert place.node.context.freshness.version == 5


async def test_a_node_of_a_release_without_fetch_is_sent_a_change(
    mesh: fake_mesh.Mesh,
) -> None:
    """During a rolling upgrade, nodes of the old release never send `Fetch`."""
    places = await domains(mesh, 2)
    old = mesh.places["c1"]
    for place in places:
        for peer in place.node.peers.by_instance.values():
            for item in peer.links():
                if "c1" in (place.name, peer.member.instance):
                    item.fetches = False
    mesh.store.operate(names.CONFIG_KEY, fake_mesh.document(5))
    await mesh.settle(0.2)
    assert old.node.context.freshness.version == 5
