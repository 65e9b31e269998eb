"""When nodes that are cut off count as silent."""

from __future__ import annotations

import pytest

from currantcart.proxy.streams import link, publisher, silence
from tests.fakes import mesh as fake_mesh

SECONDS = 0.5


async def pressed(mesh: fake_mesh.Mesh) -> list[fake_mesh.Place]:
    """Starts twelve nodes in three domains with a workspace at its limit."""
    places = [
        await mesh.add(f"{domain}{number}", domain=domain)
        for domain in "abc"
        for number in range(4)
    ]
    await mesh.settle(6.0)
    for place in places:
        place.node.quotas.expedited = lambda: {"mill": 1}  # type: ignore[method-assign]
    return places


def held_up(place: fake_mesh.Place) -> silence.Silence:
    """Has a node hear nothing for a while; returns its watch."""
    for peer in place.node.peers.by_instance.values():
        peer.heard_at -= 400.0
    return place.node.silence


def shares(mesh: fake_mesh.Mesh) -> dict[str, float]:
    return {
        name: round(place.node.quotas.silent_share * 12)
        for name, place in mesh.places.items()
    }


async def test_a_domain_that_is_cut_off_is_missed_at_once(
    mesh: fake_mesh.Mesh,
) -> None:
    """Both sides of a cut use a workspace's whole rate until it is noticed."""
    await pressed(mesh)
    mesh.loop.cut_off("a0", "a1", "a2", "a3", others=mesh.places)
    await mesh.settle(SECONDS)
    assert shares(mesh) == {
        name: 8 if name[0] == "a" else 4 for name in mesh.places
    }


async def test_a_node_that_is_cut_off_misses_all_others_at_once(
    mesh: fake_mesh.Mesh,
) -> None:
    """Nodes that are cut off one by one use the whole rate each."""
    await pressed(mesh)
    mesh.loop.cut_off("b2", others=mesh.places)
    await mesh.settle(SECONDS)
    assert shares(mesh)["b2"] == 11


async def test_nobody_is_missed_while_all_are_there(
    mesh: fake_mesh.Mesh,
) -> None:
    await pressed(mesh)
    for _ in range(40):
        await mesh.settle(0.1)
        assert set(shares(mesh).values()) == {0}


async def test_a_node_that_was_held_up_hears_the_others_first(
    mesh: fake_mesh.Mesh,
) -> None:
    """A pause of the process looks like the silence of everybody else."""
    watch = held_up((await pressed(mesh))[0])
    for _ in range(silence.ANSWER_TICKS):
        watch.tick(asking=True)
        assert watch.share() == 0.0
    watch.tick(asking=True)
    assert watch.share() > 0.9


async def test_without_a_workspace_at_its_limit_nobody_is_asked(
    mesh: fake_mesh.Mesh,
) -> None:
    watch = held_up((await pressed(mesh))[0])
    for _ in range(10):
        watch.tick(asking=False)
    assert watch.share() == 0.0


@pytest.mark.parametrize("nodes", [12, 91, 195, 980])
def test_a_single_peer_is_asked_before_its_stream_is_suspect(
    nodes: int,
) -> None:
    pace = publisher.status_pace_ms(nodes - 1)
    assert silence.late_ms(pace) + 200 < link.suspect_ms(pace) / 1.5
