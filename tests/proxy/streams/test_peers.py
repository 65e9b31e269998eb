"""The peers of a node: discovery and removal."""

from __future__ import annotations

from currantcart.proxy.streams import frames, peers
from tests.fakes import mesh as fake_mesh

SEEN = 5_000
"""Peers that come and go in the life of a process."""
AT_ONCE = 100


def member(number: int) -> frames.Member:
    return frames.Member(
        f"n{number}",
        f"p{number}",
        f"10.1.{number // 250}.{number % 250}:7000",
        f"service{number}",
        "a",
    )


async def test_peers_that_are_gone_leave_nothing(mesh: fake_mesh.Mesh) -> None:
    """Guards against memory that grows with the peers of a long life."""
    place = await mesh.add("a")
    await mesh.settle()
    known = place.node.peers
    mesh.store.refusing = True
    for start in range(0, SEEN, AT_ONCE):
        found = [member(number) for number in range(start, start + AT_ONCE)]
        known.update_members(found, complete=True)
        assert len(known.by_instance) <= 2 * AT_ONCE
        await mesh.settle(peers.DROP_MS / 1_000 + 0.1)
    known.update_members([], complete=True)
    assert not known.by_instance
    assert list(known.by_service) == ["grades"]
    assert known.relay.names == {"a": ["a"]}
    assert not known.ranked
    assert not known.dialled
    assert not known.accepted
    quotas = place.node.quotas
    assert not quotas.reported
    assert len(place.node.silence.processes) <= 2 * AT_ONCE
