"""Detection of lost streams between two nodes."""

from __future__ import annotations

import asyncio

import pytest

from currantcart.proxy import settings as proxy_settings
from currantcart.proxy.streams import frames, framing, link, publisher
from tests.fakes import mesh as fake_mesh

PACE_MS = publisher.status_interval_ms(194)


async def stream(mesh: fake_mesh.Mesh) -> link.Link:
    """Returns a stream with the status interval of a large fleet."""
    place = await mesh.add("a")
    await mesh.add("b")
    await mesh.settle()
    item = place.node.peers.by_instance["b"].outgoing
    assert item is not None
    item.context.status_interval_ms = PACE_MS
    return item


async def test_a_stream_with_an_unanswered_probe_is_closed_in_a_large_fleet(
    mesh: fake_mesh.Mesh,
) -> None:
    """Calls to a lost node would hang until three more statuses were due."""
    item = await stream(mesh)
    now = item.context.now
    item.received_at = item.probed_at = now - 2_300.0
    item.check(now, link.Limits.of(PACE_MS))
    assert item.transport is None


@pytest.mark.parametrize(("heard_ago", "asked"), [(2_300.0, 0.0), (50.0, 0.0)])
async def test_a_stream_without_a_probe_is_kept_for_the_interval(
    mesh: fake_mesh.Mesh, heard_ago: float, asked: float
) -> None:
    item = await stream(mesh)
    item.received_at = item.context.now - heard_ago
    item.probed_at = asked
    item.check(item.context.now, link.Limits.of(PACE_MS))
    assert item.transport is not None


@pytest.mark.parametrize("nodes", [12, 91, 195, 980])
def test_the_probe_time_out_is_longer_than_the_interval(nodes: int) -> None:
    interval = publisher.status_interval_ms(nodes - 1)
    assert (
        interval < link.probe_timeout_ms(interval) <= link.silent_ms(interval)
    )


class Stranger(asyncio.Protocol):
    """A stream of a peer that sends what a test gives it.

    Attributes:
      transport: The transport.
      ended: Set when the node has closed the stream.
    """

    def __init__(self) -> None:
        self.transport: asyncio.BaseTransport | None = None
        self.ended = asyncio.Event()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport

    def connection_lost(self, exc: Exception | None) -> None:
        del exc
        self.ended.set()


async def approach(mesh: fake_mesh.Mesh, place: fake_mesh.Place) -> Stranger:
    """Opens a stream to a node, as a peer does."""
    _, stranger = await mesh.loop.create_connection(
        Stranger, *proxy_settings.split_address(place.settings.listen.peers)
    )
    assert isinstance(stranger, Stranger)
    return stranger


def introduction(address: str = "10.0.0.99:7000") -> frames.Hello:
    """Returns the introduction of a peer."""
    member = frames.Member("z", "p99", address, "grades", "a")
    return frames.Hello(link.PROTOCOL, member, 5.0, age_ms=7.0)


@pytest.mark.parametrize("address", ["10.0.0.9:99999999", "peer.example:80"])
async def test_a_peer_with_an_address_that_cannot_be_dialled_is_not_added(
    mesh: fake_mesh.Mesh, address: str
) -> None:
    """Guards against look-ups, and tasks that end with an exception."""
    place = await mesh.add("a")
    stranger = await approach(mesh, place)
    assert isinstance(stranger.transport, asyncio.Transport)
    stranger.transport.write(framing.encode_frame(introduction(address)))
    async with asyncio.timeout(1.0):
        await stranger.ended.wait()
    assert not place.node.peers.by_instance
