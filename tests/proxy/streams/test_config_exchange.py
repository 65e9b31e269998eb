"""How a configuration travels between nodes."""

from __future__ import annotations

from currantcart.platform import names
from currantcart.proxy.streams import frames, link
from tests.fakes import mesh as fake_mesh


class Received:
    """Configurations that nodes were sent, with the domains they came from."""

    def __init__(self, *places: fake_mesh.Place) -> None:
        self.by_name: dict[str, list[str]] = {}
        for place in places:
            self.watch(place)

    def watch(self, place: fake_mesh.Place) -> None:
        """Notes what a node is sent from now on."""
        came: list[str] = []
        self.by_name[place.name] = came
        inner = place.node.peers.on_config

        def on_config(item: link.Link, config: frames.Config) -> None:
            assert item.peer is not None
            came.append(item.peer.failure_domain)
            inner(item, config)

        place.node.peers.on_config = on_config

    def crossing(self, mesh: fake_mesh.Mesh) -> int:
        """Returns how many came from another failure domain."""
        return sum(
            domain != mesh.places[name].settings.failure_domain
            for name, came in self.by_name.items()
            for domain in came
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
    """Every peer sends a large configuration to each node that starts."""
    places = await domains(mesh, 3)
    await mesh.restart(places[4])
    received = Received(places[4])
    await mesh.settle(1.0)
    assert received.by_name["b1"] == ["b"]


async def test_a_change_crosses_into_a_failure_domain_at_two_nodes(
    mesh: fake_mesh.Mesh,
) -> None:
    """The node that reads for all sends a large configuration to each."""
    places = await domains(mesh, 5)
    received = Received(*places)
    mesh.store.operate(names.CONFIG_KEY, fake_mesh.document(5))
    await mesh.settle(0.2)
    assert versions(mesh) == {5}
    assert received.crossing(mesh) <= 2 * 2 + 2


async def test_a_change_reaches_a_domain_whose_first_nodes_are_cut_off(
    mesh: fake_mesh.Mesh,
) -> None:
    """Those by which a version would enter have just gone silent."""
    places = await domains(mesh, 5)
    lost = ("b0", "b1")
    mesh.loop.cut_off(*lost, others=mesh.places)
    mesh.store.operate(names.CONFIG_KEY, fake_mesh.document(5))
    await mesh.settle(1.0)
    for place in places:
        if place.name not in lost:
            assert place.node.context.freshness.version == 5


async def test_a_node_of_a_release_that_does_not_ask_is_sent_a_change(
    mesh: fake_mesh.Mesh,
) -> None:
    """Half of the fleet is upgraded, and the other half waits to be told."""
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
