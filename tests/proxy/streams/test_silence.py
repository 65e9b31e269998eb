"""Detection of silent nodes during a network partition."""

from __future__ import annotations

import pytest

from currantcart.proxy.streams import link, publisher, silence
from tests.fakes import mesh as fake_mesh

SECONDS = 0.5


async def at_limit(mesh: fake_mesh.Mesh) -> list[fake_mesh.Place]:
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


def paused(place: fake_mesh.Place) -> silence.SilenceDetector:
    """Makes a node's last received frames older; returns its detector."""
    for peer in place.node.peers.by_instance.values():
        peer.received_at -= 400.0
    return place.node.silence


def shares(mesh: fake_mesh.Mesh) -> dict[str, float]:
    return {
        name: round(place.node.quotas.silent_share * 12)
        for name, place in mesh.places.items()
    }


async def test_a_domain_that_is_cut_off_is_detected_at_once(
    mesh: fake_mesh.Mesh,
) -> None:
    """Until then, both sides of a partition use a workspace's full rate."""
    await at_limit(mesh)
    mesh.loop.cut_off("a0", "a1", "a2", "a3", others=mesh.places)
    await mesh.settle(SECONDS)
    assert shares(mesh) == {
        name: 8 if name[0] == "a" else 4 for name in mesh.places
    }


async def test_a_node_that_is_cut_off_detects_it_at_once(
    mesh: fake_mesh.Mesh,
) -> None:
    """Several isolated nodes would each use a workspace's full rate."""
    await at_limit(mesh)
    mesh.loop.cut_off("b2", others=mesh.places)
    await mesh.settle(SECONDS)
    assert shares(mesh)["b2"] == 11


async def test_no_node_counts_as_silent_while_all_are_reachable(
    mesh: fake_mesh.Mesh,
) -> None:
    await at_limit(mesh)
    for _ in range(40):
        await mesh.settle(0.1)
        assert set(shares(mesh).values()) == {0}


async def test_a_node_that_was_paused_reads_what_it_received_first(
    mesh: fake_mesh.Mesh,
) -> None:
    """After a pause of its own process, all peers appear silent to a node."""
    detector = paused((await at_limit(mesh))[0])
    for _ in range(silence.ANSWER_TICKS):
        detector.tick(probing=True)
        assert detector.share() == 0.0
    detector.tick(probing=True)
    assert detector.share() > 0.9


async def test_without_a_workspace_at_its_limit_no_peer_is_probed(
    mesh: fake_mesh.Mesh,
) -> None:
    detector = paused((await at_limit(mesh))[0])
    for _ in range(10):
        detector.tick(probing=False)
    assert detector.share() == 0.0


@pytest.mark.parametrize("nodes", [12, 91, 195, 980])
def test_a_single_peer_is_probed_before_its_stream_is_suspect(
    nodes: int,
) -> None:
    interval = publisher.status_interval_ms(nodes - 1)
    assert silence.late_ms(interval) + 200 < link.suspect_ms(interval) / 1.5
